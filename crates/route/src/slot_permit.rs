use std::net::SocketAddr;
use std::sync::Arc;

use arbutuspick_model::{ClockTime, ServiceName, UpstreamName};

use crate::AttemptResult;
use crate::route_snapshot::SharedSnapshot;
use crate::upstream_state::UpstreamState;

/// A slot of an upstream that was acquired for one request.
#[derive(Debug)]
pub(crate) struct AcquiredSlot {
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
    slot: AcquiredSlot,
    snapshot: SharedSnapshot,
    acquired_at: ClockTime,
}

impl SlotPermit {
    pub(crate) fn new(slot: AcquiredSlot, snapshot: SharedSnapshot, acquired_at: ClockTime) -> Self {
        Self {
            slot,
            snapshot,
            acquired_at,
        }
    }

    /// Returns the name of the upstream.
    pub fn upstream(&self) -> &UpstreamName {
        &self.slot.upstream.entry.name
    }

    /// Returns the service that the upstream serves.
    pub fn service(&self) -> &ServiceName {
        &self.slot.upstream.entry.service
    }

    /// Returns the address of the upstream.
    pub fn address(&self) -> SocketAddr {
        self.slot.upstream.entry.address
    }

    /// Returns whether the request is the probe of an ejected upstream.
    pub fn is_probe(&self) -> bool {
        self.slot.is_probe
    }

    /// Records the result of the attempt and releases the slot.
    pub fn finish(self, result: AttemptResult, now: ClockTime) {
        let AcquiredSlot {
            upstream,
            generation,
            is_probe,
        } = &self.slot;
        let elapsed_ms = now.millis_since(self.acquired_at);
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

    /// Readmits the upstream after a success and ejects it again after a failure.
    ///
    /// Any other result, such as a refusal, shows neither and only postpones the next probe.
    fn finish_probe(&self, result: AttemptResult, failed: bool, now: ClockTime) {
        let ejection = &self.slot.upstream.ejection;
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
        if self.slot.is_probe {
            self.slot.upstream.ejection.end_probe();
        }
        self.slot.upstream.slots.release();
    }
}
