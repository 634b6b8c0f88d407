use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use arbutuspick_model::ClockTime;

/// Consecutive failures after which an upstream is ejected.
const FAILURES_TO_EJECT: u32 = 5;
/// Duration of the first ejection, in milliseconds.
const BASE_EJECTION_MS: u64 = 1_000;
/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 30_000;
/// Time since readmission, in milliseconds, after which the ejection back-off starts over.
const BACKOFF_RESET_MS: u64 = 30_000;

/// Whether an upstream is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionPhase {
    /// Not ejected; may receive any request.
    Admitted,
    /// Ejected; receives no requests until the ejection expires.
    Ejected,
    /// The ejection has expired; a single idempotent request may be sent as a probe.
    ProbeDue,
}

/// Counts consecutive failures of one upstream and times its ejections with exponential back-off.
#[derive(Debug, Default)]
pub(crate) struct EjectionTimer {
    consecutive_failures: AtomicU32,
    /// End of the ejection, or 0 while the upstream is admitted.
    ejected_until: AtomicU64,
    /// Ejections since the back-off last started over.
    backoff_level: AtomicU32,
    readmitted_at: AtomicU64,
    probe_in_flight: AtomicBool,
}

impl EjectionTimer {
    pub(crate) fn phase(&self, now: ClockTime) -> EjectionPhase {
        match self.ejected_until() {
            None => EjectionPhase::Admitted,
            Some(until) if now < until => EjectionPhase::Ejected,
            Some(_) => EjectionPhase::ProbeDue,
        }
    }

    pub(crate) fn ejected_until(&self) -> Option<ClockTime> {
        let ejected_until = self.ejected_until.load(Ordering::Acquire);
        (ejected_until != 0).then_some(ClockTime(ejected_until))
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until().is_some()
    }

    /// Counts a failure and returns whether the upstream should be ejected.
    pub(crate) fn record_failure(&self) -> bool {
        let failures = self.consecutive_failures.fetch_add(1, Ordering::AcqRel) + 1;
        failures >= FAILURES_TO_EJECT
    }

    pub(crate) fn record_success(&self) {
        self.consecutive_failures.store(0, Ordering::Release);
    }

    /// Starts an ejection, twice as long as the previous one, up to the maximum.
    ///
    /// The back-off starts over if the upstream was readmitted long enough ago; after a failed probe, while
    /// the upstream is still ejected, it always continues.
    pub(crate) fn eject(&self, now: ClockTime) {
        let readmitted_at = ClockTime(self.readmitted_at.load(Ordering::Acquire));
        if !self.is_ejected() && now.millis_since(readmitted_at) >= BACKOFF_RESET_MS {
            self.backoff_level.store(0, Ordering::Release);
        }
        // Level 5 (32 s) already exceeds the maximum; the bound keeps the shift from overflowing.
        let backoff_level = self.backoff_level.fetch_add(1, Ordering::AcqRel).min(5);
        let duration_ms = (BASE_EJECTION_MS << backoff_level).min(MAX_EJECTION_MS);
        self.ejected_until.store((now + duration_ms).0, Ordering::Release);
    }

    /// Ends an ejection.
    pub(crate) fn readmit(&self, now: ClockTime) {
        self.consecutive_failures.store(0, Ordering::Release);
        self.readmitted_at.store(now.0, Ordering::Release);
        self.ejected_until.store(0, Ordering::Release);
    }

    /// Reserves the single probe; returns whether the caller holds it and must call `end_probe`.
    pub(crate) fn try_start_probe(&self, now: ClockTime) -> bool {
        if self.probe_in_flight.swap(true, Ordering::AcqRel) {
            return false;
        }
        // Another probe may have failed since the caller read the phase.
        let due = self.phase(now) == EjectionPhase::ProbeDue;
        if !due {
            self.end_probe();
        }
        due
    }

    pub(crate) fn end_probe(&self) {
        self.probe_in_flight.store(false, Ordering::Release);
    }

    /// Delays the next probe by the base ejection time, without increasing the back-off.
    pub(crate) fn postpone_probe(&self, now: ClockTime) {
        if self.is_ejected() {
            self.ejected_until
                .store((now + BASE_EJECTION_MS).0, Ordering::Release);
        }
    }
}
