//! The placement holder of a data centre: lease, workers, gangs and the loop that joins them with decisions.
