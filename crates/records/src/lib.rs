//! Rows of the platform's table and the conditional transactions that change them.
