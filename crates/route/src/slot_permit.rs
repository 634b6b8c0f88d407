use std::net::SocketAddr;
use std::sync::Arc;

use arbutuspick_model::{ClockTime, ServiceName, UpstreamName};

use crate::AttemptResult;
use crate::route_snapshot::SharedSnapshot;
use crate::upstream_state::UpstreamState;

/// A slot that was taken from an upstream.
#[derive(Debug)]
pub(crate) struct SlotClaim {
    pub(crate) upstream: Arc<UpstreamState>,
    pub(crate) generation: u16,
    pub(crate) probe: bool,
}

/// Permission to send one request to one upstream; the slot is free again when it is dropped.
///
/// A permit that is dropped without `finish` says nothing about the upstream, for instance when the
/// caller went away.
#[derive(Debug)]
#[must_use = "dropping a permit frees its slot"]
pub struct SlotPermit {
    claim: SlotClaim,
    snapshot: SharedSnapshot,
    taken_at: ClockTime,
}

impl SlotPermit {
    pub(crate) fn new(claim: SlotClaim, snapshot: SharedSnapshot, taken_at: ClockTime) -> Self {
        Self {
            claim,
            snapshot,
            taken_at,
        }
    }

    /// Returns the name of the upstream.
    pub fn upstream(&self) -> &UpstreamName {
        &self.claim.upstream.entry.name
    }

    /// Returns the service that the upstream serves.
    pub fn service(&self) -> &ServiceName {
        &self.claim.upstream.entry.service
    }

    /// Returns the address of the upstream.
    pub fn address(&self) -> SocketAddr {
        self.claim.upstream.entry.address
    }

    /// Returns whether the request is the probe of an ejected upstream.
    pub fn is_probe(&self) -> bool {
        self.claim.probe
    }

    /// Records how the attempt ended and frees the slot.
    pub fn finish(self, result: AttemptResult, now: ClockTime) {
        let SlotClaim {
            upstream,
            generation,
            probe,
        } = &self.claim;
        let elapsed_ms = now.millis_since(self.taken_at);
        upstream.record_result(result, *generation, elapsed_ms, now);
        let failed = result.is_upstream_failure(elapsed_ms);
        if *probe {
            self.finish_probe(result, failed, now);
        } else if failed {
            if upstream.ejection.record_failure() {
                self.snapshot.load().eject(upstream, now);
            }
        } else if result == AttemptResult::Succeeded {
            upstream.ejection.record_success();
        }
    }

    /// Returns the upstream after a success, and repeats the ejection otherwise.
    fn finish_probe(&self, result: AttemptResult, failed: bool, now: ClockTime) {
        let ejection = &self.claim.upstream.ejection;
        if result == AttemptResult::Succeeded {
            ejection.admit(now);
        } else if failed && ejection.is_ejected() {
            ejection.eject(now);
        } else {
            ejection.postpone(now);
        }
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if self.claim.probe {
            self.claim.upstream.ejection.end_probe();
        }
        self.claim.upstream.slots.release();
    }
}
