use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What a stand-in worker runs for a payload.
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
    /// Whether the task fails at the end of its work.
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
    /// Reads a payload; one that is no such JSON object gives the default.
    pub fn parse(payload: &str) -> Self {
        serde_json::from_str(payload).unwrap_or_default()
    }
}
