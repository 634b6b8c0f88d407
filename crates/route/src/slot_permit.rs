use std::net::SocketAddr;
use std::sync::Arc;

use arbutuspick_model::{ClockTime, ServiceName, UpstreamName};

use crate::AttemptResult;
use crate::route_snapshot::SharedSnapshot;
use crate::upstream_state::UpstreamState;

/// A slot that was taken on an upstream.
#[derive(Debug)]
pub(crate) struct SlotClaim {
    pub(crate) upstream: Arc<UpstreamState>,
    pub(crate) generation: u16,
    pub(crate) is_probe: bool,
}

/// Permission to send one request to one upstream; dropping it releases the slot.
///
/// A permit that is dropped without `finish`, for example because the caller disconnected, records no result.
#[derive(Debug)]
#[must_use = "dropping a permit releases its slot"]
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
        self.claim.is_probe
    }

    /// Records the result of the attempt and releases the slot.
    pub fn finish(self, result: AttemptResult, now: ClockTime) {
        let SlotClaim {
            upstream,
            generation,
            is_probe,
        } = &self.claim;
        let elapsed_ms = now.millis_since(self.taken_at);
        upstream.record_result(result, *generation, elapsed_ms, now);
        let failed = result.counts_as_failure(elapsed_ms);
        if *is_probe {
            self.finish_probe(result, failed, now);
        } else if failed {
            if upstream.ejection.record_failure() {
                self.snapshot.load().eject(upstream, now);
            }
        } else if result == AttemptResult::Succeeded {
            upstream.ejection.record_success();
        }
    }

    /// Readmits the upstream after a success; otherwise ejects it again or postpones its next probe.
    fn finish_probe(&self, result: AttemptResult, failed: bool, now: ClockTime) {
        let ejection = &self.claim.upstream.ejection;
        if result == AttemptResult::Succeeded {
            ejection.readmit(now);
        } else if failed && ejection.is_ejected() {
            ejection.eject(now);
        } else {
            ejection.postpone_probe(now);
        }
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if self.claim.is_probe {
            self.claim.upstream.ejection.end_probe();
        }
        self.claim.upstream.slots.release();
    }
}
