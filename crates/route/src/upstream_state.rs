use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arbutuspick_model::ClockTime;

use crate::ejection_timer::{EjectionPhase, EjectionTimer};
use crate::slot_counter::SlotCounter;
use crate::table_state::UpstreamReport;
use crate::{AttemptResult, RoutingOptions, UpstreamEntry};

/// Time since an upstream was last heard from, in milliseconds, after which a health check is due; also the
/// minimum interval between health checks.
const HEALTH_CHECK_AFTER_MS: u64 = 1_000;
/// Time since an upstream was last heard from, in milliseconds, after which it gets no new requests.
const LIVENESS_TIMEOUT_MS: u64 = 3_000;
/// Value of an atomic time that is not set.
const UNSET_TIME: u64 = u64::MAX;

/// State of one incarnation of an upstream; all mutable fields are atomic.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) entry: UpstreamEntry,
    pub(crate) slots: SlotCounter,
    pub(crate) ejection: EjectionTimer,
    /// Whether the data centre of the upstream receives new requests.
    centre_open: AtomicBool,
    leaving_since: AtomicU64,
    last_heard: AtomicU64,
    last_health_check: AtomicU64,
    /// Smoothed latency in sixteenths of a millisecond, 0 before the first sample.
    latency_sixteenths: AtomicU64,
}

impl UpstreamState {
    pub(crate) fn new(entry: UpstreamEntry, options: &RoutingOptions, centre_open: bool) -> Self {
        Self {
            entry,
            slots: SlotCounter::new(options.initial_limit, options.rounds_per_raise),
            ejection: EjectionTimer::default(),
            centre_open: AtomicBool::new(centre_open),
            leaving_since: AtomicU64::new(UNSET_TIME),
            last_heard: AtomicU64::new(UNSET_TIME),
            last_health_check: AtomicU64::new(UNSET_TIME),
            latency_sixteenths: AtomicU64::new(0),
        }
    }

    /// Returns whether the upstream may receive new requests, regardless of ejection and its limit.
    pub(crate) fn is_live(&self, now: ClockTime) -> bool {
        !self.is_leaving()
            && self.centre_open.load(Ordering::Acquire)
            && self
                .last_heard()
                .is_some_and(|heard| now.millis_since(heard) < LIVENESS_TIMEOUT_MS)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.load(Ordering::Acquire) != UNSET_TIME
    }

    /// Marks the upstream as leaving; only the first call sets the time.
    pub(crate) fn mark_leaving(&self, now: ClockTime) {
        let _ = self
            .leaving_since
            .compare_exchange(UNSET_TIME, now.0, Ordering::AcqRel, Ordering::Acquire);
    }

    pub(crate) fn set_centre_open(&self, open: bool) {
        self.centre_open.store(open, Ordering::Release);
    }

    pub(crate) fn record_heard(&self, now: ClockTime) {
        let _ = self
            .last_heard
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |heard| {
                (heard == UNSET_TIME || heard < now.0).then_some(now.0)
            });
    }

    fn last_heard(&self) -> Option<ClockTime> {
        load_time(&self.last_heard)
    }

    /// Returns whether a health check is due, and counts it as started.
    pub(crate) fn try_start_health_check(&self, now: ClockTime) -> bool {
        let is_due =
            |time: Option<ClockTime>| time.is_none_or(|time| now.millis_since(time) >= HEALTH_CHECK_AFTER_MS);
        let due =
            !self.is_leaving() && is_due(self.last_heard()) && is_due(load_time(&self.last_health_check));
        if due {
            self.last_health_check.store(now.0, Ordering::Release);
        }
        due
    }

    /// Updates the exponential moving average of the latency; the new sample has a weight of 1/8.
    pub(crate) fn record_latency(&self, latency_ms: u64) {
        let sample = latency_ms.saturating_mul(16);
        let _ = self
            .latency_sixteenths
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |latency| {
                Some(if latency == 0 {
                    sample
                } else {
                    (latency * 7).saturating_add(sample) / 8
                })
            });
    }

    /// Returns whether this upstream has a lower load relative to its limit, or equal load and lower latency.
    pub(crate) fn is_preferred_over(&self, other: &Self) -> bool {
        // Cross-multiplication compares in_flight/limit without rounding.
        let (own_slots, other_slots) = (self.slots.load(), other.slots.load());
        let own_load = u32::from(own_slots.in_flight) * u32::from(other_slots.limit);
        let other_load = u32::from(other_slots.in_flight) * u32::from(own_slots.limit);
        let latency = |state: &Self| state.latency_sixteenths.load(Ordering::Acquire);
        (own_load, latency(self)) < (other_load, latency(other))
    }

    /// Updates limit, latency, last contact and leaving state from the result of an attempt.
    pub(crate) fn record_result(
        &self,
        result: AttemptResult,
        generation: u16,
        elapsed_ms: u64,
        now: ClockTime,
    ) {
        if result.is_response() {
            self.record_heard(now);
        }
        match result {
            AttemptResult::Succeeded => {
                self.slots.record_success();
                self.record_latency(elapsed_ms);
            }
            AttemptResult::RefusedNotRun => self.slots.record_refusal(generation),
            AttemptResult::Leaving => self.mark_leaving(now),
            AttemptResult::Failed | AttemptResult::NotSent | AttemptResult::Lost | AttemptResult::Expired => {
            }
        }
    }

    pub(crate) fn report(&self, now: ClockTime) -> UpstreamReport {
        let slots = self.slots.load();
        UpstreamReport {
            entry: self.entry.clone(),
            in_flight: slots.in_flight,
            limit: slots.limit,
            ejected_until: self.ejection.ejected_until(),
            probe_due: self.ejection.phase(now) == EjectionPhase::ProbeDue,
            leaving_since: load_time(&self.leaving_since),
            last_heard: self.last_heard(),
            live: self.is_live(now),
            latency_ms: self.latency_sixteenths.load(Ordering::Acquire) / 16,
        }
    }
}

fn load_time(time: &AtomicU64) -> Option<ClockTime> {
    let millis = time.load(Ordering::Acquire);
    (millis != UNSET_TIME).then_some(ClockTime(millis))
}
