use serde::{Deserialize, Serialize};

/// State of a data centre.
///
/// Operators order it out of or into service; its placement holder reports when that is complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CentreState {
    /// Accepts work.
    #[default]
    In,
    /// Draining: starts no work; running work is moved away, finishes, or is stopped at the drain deadline.
    Leaving,
    /// Starts and runs no work.
    Out,
    /// Accepts work on a gradually growing share of its workers.
    Returning,
}
