//! JSON types and HTTP clients of the platform's services, workers and upstreams.
