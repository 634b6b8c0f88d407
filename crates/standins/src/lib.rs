//! Stand-ins of the platform, its workers and the upstreams, and a load driver, for demos and tests.
