//! Request routing decisions: choice of upstream, limits, retries, ejection and shedding.
