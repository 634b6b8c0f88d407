use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arbutuspick_model::ClockTime;

use crate::ejection_timer::{EjectionPhase, EjectionTimer};
use crate::slot_counter::SlotCounter;
use crate::table_state::UpstreamReport;
use crate::{AttemptResult, RoutingOptions, UpstreamEntry};

/// Time without news, in milliseconds, after which an upstream needs a health check.
const CHECK_AFTER_MS: u64 = 1_000;
/// Time without news, in milliseconds, after which an upstream gets no new work.
const SILENT_AFTER_MS: u64 = 3_000;
/// Marks a time that has not come.
const NEVER: u64 = u64::MAX;

/// State of one incarnation of an upstream; every part is atomic.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) entry: UpstreamEntry,
    pub(crate) slots: SlotCounter,
    pub(crate) ejection: EjectionTimer,
    centre_open: AtomicBool,
    leaving_since: AtomicU64,
    last_heard: AtomicU64,
    last_check: AtomicU64,
    /// Smoothed latency in sixteenths of a millisecond.
    latency: AtomicU64,
}

impl UpstreamState {
    pub(crate) fn new(entry: UpstreamEntry, options: &RoutingOptions, centre_open: bool) -> Self {
        Self {
            entry,
            slots: SlotCounter::new(options.initial_limit, options.raise_rounds),
            ejection: EjectionTimer::default(),
            centre_open: AtomicBool::new(centre_open),
            leaving_since: AtomicU64::new(NEVER),
            last_heard: AtomicU64::new(NEVER),
            last_check: AtomicU64::new(NEVER),
            latency: AtomicU64::new(0),
        }
    }

    /// Returns whether the upstream may take new work, apart from ejection and its limit.
    pub(crate) fn is_live(&self, now: ClockTime) -> bool {
        !self.is_leaving()
            && self.centre_open.load(Ordering::Acquire)
            && self
                .last_heard()
                .is_some_and(|heard| now.millis_since(heard) < SILENT_AFTER_MS)
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving_since.load(Ordering::Acquire) != NEVER
    }

    /// Marks the upstream as leaving; only the first call sets the time.
    pub(crate) fn mark_leaving(&self, now: ClockTime) {
        let _ = self
            .leaving_since
            .compare_exchange(NEVER, now.0, Ordering::AcqRel, Ordering::Acquire);
    }

    pub(crate) fn set_centre_open(&self, open: bool) {
        self.centre_open.store(open, Ordering::Release);
    }

    pub(crate) fn record_heard(&self, now: ClockTime) {
        let _ = self
            .last_heard
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |heard| {
                (heard == NEVER || heard < now.0).then_some(now.0)
            });
    }

    fn last_heard(&self) -> Option<ClockTime> {
        time_of(&self.last_heard)
    }

    /// Returns whether a health check is due, and counts it as started.
    pub(crate) fn start_check(&self, now: ClockTime) -> bool {
        let is_old =
            |time: Option<ClockTime>| time.is_none_or(|time| now.millis_since(time) >= CHECK_AFTER_MS);
        let due = !self.is_leaving() && is_old(self.last_heard()) && is_old(time_of(&self.last_check));
        if due {
            self.last_check.store(now.0, Ordering::Release);
        }
        due
    }

    /// Updates the smoothed latency with a weight of one eighth.
    pub(crate) fn record_latency(&self, millis: u64) {
        let sample = millis.saturating_mul(16);
        let _ = self
            .latency
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |latency| {
                Some(if latency == 0 {
                    sample
                } else {
                    (latency * 7).saturating_add(sample) / 8
                })
            });
    }

    /// Returns whether this upstream is a better choice than the other one.
    pub(crate) fn is_better_than(&self, other: &Self) -> bool {
        let (own, others) = (self.slots.load(), other.slots.load());
        let own_load = u32::from(own.in_flight) * u32::from(others.limit);
        let others_load = u32::from(others.in_flight) * u32::from(own.limit);
        let latency = |state: &Self| state.latency.load(Ordering::Acquire);
        (own_load, latency(self)) < (others_load, latency(other))
    }

    /// Applies what the result says about limit, latency, silence and leaving.
    pub(crate) fn record_result(
        &self,
        result: AttemptResult,
        generation: u16,
        elapsed_ms: u64,
        now: ClockTime,
    ) {
        if result.is_answer() {
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
        let count = self.slots.load();
        UpstreamReport {
            entry: self.entry.clone(),
            in_flight: count.in_flight,
            limit: count.limit,
            ejected_until: self.ejection.until(),
            probe_due: self.ejection.phase(now) == EjectionPhase::ProbeDue,
            leaving_since: time_of(&self.leaving_since),
            last_heard: self.last_heard(),
            live: self.is_live(now),
            latency_ms: self.latency.load(Ordering::Acquire) / 16,
        }
    }
}

fn time_of(field: &AtomicU64) -> Option<ClockTime> {
    let millis = field.load(Ordering::Acquire);
    (millis != NEVER).then_some(ClockTime(millis))
}
