use serde::{Deserialize, Serialize};

/// State of a data centre as operators ordered it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CentreState {
    /// Takes work.
    #[default]
    In,
    /// Starts nothing; running work is moved or finishes before the drain deadline.
    Leaving,
    /// Starts nothing and runs nothing.
    Out,
    /// Takes work on a growing part of its workers.
    Returning,
}
