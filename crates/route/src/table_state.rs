use arbutuspick_model::{CentreName, ClockTime};
use serde::Serialize;

use crate::UpstreamEntry;

/// State of a routing table, for the state dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TableState {
    /// Data centre whose upstreams are preferred.
    pub own_centre: CentreName,
    /// Data centres that receive no new requests.
    pub closed_centres: Vec<CentreName>,
    /// Number of connections that this entry VM may have to one upstream.
    pub connection_cap: u32,
    /// Upstreams by name.
    pub upstreams: Vec<UpstreamReport>,
}

/// State of one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct UpstreamReport {
    /// Entry of the upstream in the list.
    pub entry: UpstreamEntry,
    /// Number of requests of this entry VM that are in flight.
    pub in_flight: u16,
    /// Adaptive concurrency limit.
    pub limit: u16,
    /// End of the ejection, if it is ejected.
    pub ejected_until: Option<ClockTime>,
    /// Whether the ejection has expired and a probe may be sent.
    pub probe_due: bool,
    /// Time since which it is known to be leaving, if it is.
    pub leaving_since: Option<ClockTime>,
    /// Time at which it was last heard from.
    pub last_heard: Option<ClockTime>,
    /// Whether it may receive new requests, regardless of ejection and its limit.
    pub live: bool,
    /// Smoothed latency in milliseconds.
    pub latency_ms: u64,
}
