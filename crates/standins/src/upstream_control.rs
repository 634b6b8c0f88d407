use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// `POST /control` of an upstream: fields that are present are changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct UpstreamControl {
    /// Says in every answer that it leaves.
    pub leaving: Option<bool>,
    /// Closes every connection without running the request.
    pub down: Option<bool>,
    /// Runs every request and answers 500.
    pub fail: Option<bool>,
    /// Delay of every answer in milliseconds, after the request ran.
    pub late_ms: Option<u64>,
    /// Cuts every n-th answer in the middle; 0 for none.
    pub cut_every: Option<u64>,
    /// Runs every n-th request and closes the connection without an answer; 0 for none.
    pub close_every: Option<u64>,
}

/// Present faults of an upstream; the answer to `POST /control`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamFaults {
    /// Says in every answer that it leaves.
    pub leaving: bool,
    /// Closes every connection without running the request.
    pub down: bool,
    /// Runs every request and answers 500.
    pub fail: bool,
    /// Delay of every answer in milliseconds.
    pub late_ms: u64,
    /// Cuts every n-th answer in the middle; 0 for none.
    pub cut_every: u64,
    /// Closes the connection instead of every n-th answer; 0 for none.
    pub close_every: u64,
}

impl UpstreamFaults {
    /// Takes over the fields that are present.
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

/// Runs of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRuns {
    /// How often it ran.
    pub count: u64,
    /// Start of the last run, in milliseconds since the Unix epoch.
    pub last_at: u64,
}

/// `GET /control/log` of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLog {
    /// Requests that ran, by id.
    pub ran: BTreeMap<String, RequestRuns>,
    /// Requests answered with "not run" because every slot was taken.
    pub refused: u64,
    /// Most requests that ran at the same time.
    pub peak_in_flight: u64,
    /// Since when it leaves, in milliseconds since the Unix epoch.
    pub leaving_since: Option<u64>,
}
