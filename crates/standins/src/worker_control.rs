use serde::{Deserialize, Serialize};

/// Body of `POST /control` of a worker; absent fields leave their setting unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerControl {
    /// Rejects every prepare call with "no capacity".
    pub fail_prepare: Option<bool>,
    /// Fails every start without running the task.
    pub fail_start: Option<bool>,
    /// Makes every task fail shortly after its start.
    pub fail_every_task: Option<bool>,
    /// Performs every n-th call and closes its connection without a response; 0 disables the fault.
    pub lose_answers: Option<u64>,
    /// Leaves every call unperformed and without a response; tasks keep running.
    pub hang: Option<bool>,
    /// Closes every connection; together with `crash`, it simulates a worker that is switched off.
    pub down: Option<bool>,
    /// Delay in milliseconds before a call is performed, even if the client has disconnected.
    pub slow_ms: Option<u64>,
    /// Speed of tasks that start from now on, in percent of full speed.
    pub speed_percent: Option<u64>,
    /// Discards all state at once except the task log, as a restart of the worker does.
    pub crash: bool,
}

/// Current fault settings of a worker; the response to `POST /control`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerFaults {
    /// Rejects every prepare call with "no capacity".
    pub fail_prepare: bool,
    /// Fails every start without running the task.
    pub fail_start: bool,
    /// Makes every task fail shortly after its start.
    pub fail_every_task: bool,
    /// Performs every n-th call and closes its connection without a response; 0 disables the fault.
    pub lose_answers: u64,
    /// Leaves every call unperformed and without a response; tasks keep running.
    pub hang: bool,
    /// Closes every connection.
    pub down: bool,
    /// Delay in milliseconds before a call is performed, even if the client has disconnected.
    pub slow_ms: u64,
    /// Speed of tasks that start from now on, in percent of full speed.
    pub speed_percent: u64,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        Self {
            fail_prepare: false,
            fail_start: false,
            fail_every_task: false,
            lose_answers: 0,
            hang: false,
            down: false,
            slow_ms: 0,
            speed_percent: 100,
        }
    }
}

impl WorkerFaults {
    /// Applies the fields that are present.
    pub(crate) fn apply(&mut self, control: &WorkerControl) {
        let old = *self;
        *self = Self {
            fail_prepare: control.fail_prepare.unwrap_or(old.fail_prepare),
            fail_start: control.fail_start.unwrap_or(old.fail_start),
            fail_every_task: control.fail_every_task.unwrap_or(old.fail_every_task),
            lose_answers: control.lose_answers.unwrap_or(old.lose_answers),
            hang: control.hang.unwrap_or(old.hang),
            down: control.down.unwrap_or(old.down),
            slow_ms: control.slow_ms.unwrap_or(old.slow_ms),
            speed_percent: control.speed_percent.unwrap_or(old.speed_percent).max(1),
        };
    }
}
