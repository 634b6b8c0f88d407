use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Payload of a job that tells a worker stand-in what to simulate.
///
/// ```
/// use arbutuspick_standins::TaskPayload;
/// assert_eq!(TaskPayload::parse(r#"{"run_ms": 300}"#).run_ms, 300);
/// assert_eq!(TaskPayload::parse("anything else").run_ms, 100);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskPayload {
    /// Milliseconds of work at full speed.
    pub run_ms: u64,
    /// Output of every member.
    pub output: Arc<str>,
    /// Whether the task fails when its work is done.
    pub fail: bool,
}

impl Default for TaskPayload {
    fn default() -> Self {
        Self {
            run_ms: 100,
            output: "".into(),
            fail: false,
        }
    }
}

impl TaskPayload {
    /// Parses a payload; any text that is not such a JSON object yields the default.
    pub fn parse(payload: &str) -> Self {
        serde_json::from_str(payload).unwrap_or_default()
    }
}
