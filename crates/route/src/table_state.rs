use arbutuspick_model::{CentreName, ClockTime};
use serde::Serialize;

use crate::UpstreamEntry;

/// State of a routing table, for the state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TableState {
    /// Data centre whose upstreams are preferred.
    pub own_centre: CentreName,
    /// Data centres that get no new requests.
    pub closed_centres: Vec<CentreName>,
    /// Connections that this entry VM may have to one upstream.
    pub connection_cap: u32,
    /// Upstreams by name.
    pub upstreams: Vec<UpstreamReport>,
}

/// State of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UpstreamReport {
    /// Upstream as the list shows it.
    pub entry: UpstreamEntry,
    /// Requests of this entry VM in flight.
    pub in_flight: u16,
    /// Adaptive limit.
    pub limit: u16,
    /// End of the ejection when it is ejected.
    pub ejected_until: Option<ClockTime>,
    /// Whether the ejection has ended and a probe may be sent.
    pub probe_due: bool,
    /// Time from which it is known to be leaving.
    pub leaving_since: Option<ClockTime>,
    /// Time of the last news from it.
    pub last_heard: Option<ClockTime>,
    /// Whether it may take new work, apart from ejection and its limit.
    pub live: bool,
    /// Smoothed latency in milliseconds.
    pub latency_ms: u64,
}
