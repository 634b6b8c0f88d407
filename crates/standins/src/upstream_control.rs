use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Body of `POST /control` of an upstream; absent fields leave their setting unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamControl {
    /// Announces in every response that the upstream is leaving.
    pub leaving: Option<bool>,
    /// Closes every connection without running its request.
    pub down: Option<bool>,
    /// Runs every request and responds with status 500.
    pub fail: Option<bool>,
    /// Delay of every response in milliseconds, in addition to the service time.
    pub late_ms: Option<u64>,
    /// Truncates the body of every n-th response; 0 disables the fault.
    pub cut_every: Option<u64>,
    /// Runs every n-th request and closes its connection without a response; 0 disables the fault.
    pub close_every: Option<u64>,
}

/// Current fault settings of an upstream; the response to `POST /control`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamFaults {
    /// Announces in every response that the upstream is leaving.
    pub leaving: bool,
    /// Closes every connection without running its request.
    pub down: bool,
    /// Runs every request and responds with status 500.
    pub fail: bool,
    /// Delay of every response in milliseconds, in addition to the service time.
    pub late_ms: u64,
    /// Truncates the body of every n-th response; 0 disables the fault.
    pub cut_every: u64,
    /// Runs every n-th request and closes its connection without a response; 0 disables the fault.
    pub close_every: u64,
}

impl UpstreamFaults {
    /// Applies the fields that are present.
    pub(crate) fn apply(&mut self, control: &UpstreamControl) {
        let old = *self;
        *self = Self {
            leaving: control.leaving.unwrap_or(old.leaving),
            down: control.down.unwrap_or(old.down),
            fail: control.fail.unwrap_or(old.fail),
            late_ms: control.late_ms.unwrap_or(old.late_ms),
            cut_every: control.cut_every.unwrap_or(old.cut_every),
            close_every: control.close_every.unwrap_or(old.close_every),
        };
    }
}

/// Runs of one request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRuns {
    /// Number of runs.
    pub count: u64,
    /// Start of the last run, in milliseconds since the Unix epoch.
    pub last_at: u64,
}

/// Response to `GET /control/log` of an upstream: the requests that ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLog {
    /// Runs by request id.
    pub ran: BTreeMap<String, RequestRuns>,
    /// Requests rejected as "not run" because every slot was in use.
    pub refused: u64,
    /// Maximum number of requests that ran at the same time.
    pub peak_in_flight: u64,
    /// Time since which the upstream is leaving, in milliseconds since the Unix epoch.
    pub leaving_since: Option<u64>,
}
