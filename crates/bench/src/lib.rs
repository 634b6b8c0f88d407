//! Measuring commands for the decision cores in virtual time.
