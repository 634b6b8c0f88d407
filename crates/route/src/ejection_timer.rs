use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use arbutuspick_model::ClockTime;

/// Failures in a row after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 5;
/// Length of the first ejection in milliseconds.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Length of the longest ejection in milliseconds.
const LONGEST_EJECTION_MS: u64 = 30_000;
/// Time after its return, in milliseconds, after which an upstream's next ejection is short again.
const FORGIVENESS_MS: u64 = 30_000;

/// Whether an upstream is ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EjectionPhase {
    Admitted,
    Ejected,
    /// Only one idempotent probe may be sent.
    ProbeDue,
}

/// Counts the failures of one upstream in a row and times its ejections.
#[derive(Debug, Default)]
pub(crate) struct EjectionTimer {
    failures: AtomicU32,
    /// End of the ejection, or 0 while the upstream is admitted.
    until: AtomicU64,
    /// Ejections since the upstream was last forgiven.
    level: AtomicU32,
    returned_at: AtomicU64,
    probing: AtomicBool,
}

impl EjectionTimer {
    pub(crate) fn phase(&self, now: ClockTime) -> EjectionPhase {
        match self.until() {
            None => EjectionPhase::Admitted,
            Some(until) if now < until => EjectionPhase::Ejected,
            Some(_) => EjectionPhase::ProbeDue,
        }
    }

    pub(crate) fn until(&self) -> Option<ClockTime> {
        let until = self.until.load(Ordering::Acquire);
        (until != 0).then_some(ClockTime(until))
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.until().is_some()
    }

    /// Counts a failure and returns whether the upstream should be ejected.
    pub(crate) fn record_failure(&self) -> bool {
        let failures = self.failures.fetch_add(1, Ordering::AcqRel) + 1;
        failures >= EJECTION_FAILURES
    }

    pub(crate) fn record_success(&self) {
        self.failures.store(0, Ordering::Release);
    }

    /// Starts an ejection, twice as long as the previous one unless that was forgiven.
    pub(crate) fn eject(&self, now: ClockTime) {
        let returned_at = ClockTime(self.returned_at.load(Ordering::Acquire));
        if !self.is_ejected() && now.millis_since(returned_at) >= FORGIVENESS_MS {
            self.level.store(0, Ordering::Release);
        }
        let level = self.level.fetch_add(1, Ordering::AcqRel).min(5);
        let length = (FIRST_EJECTION_MS << level).min(LONGEST_EJECTION_MS);
        self.until.store((now + length).0, Ordering::Release);
    }

    /// Ends an ejection.
    pub(crate) fn admit(&self, now: ClockTime) {
        self.failures.store(0, Ordering::Release);
        self.returned_at.store(now.0, Ordering::Release);
        self.until.store(0, Ordering::Release);
    }

    /// Claims the only probe; the claimant must call `end_probe`.
    pub(crate) fn try_probe(&self, now: ClockTime) -> bool {
        if self.probing.swap(true, Ordering::AcqRel) {
            return false;
        }
        // Another probe may have failed between the caller's look at the phase and the claim.
        let due = self.phase(now) == EjectionPhase::ProbeDue;
        if !due {
            self.end_probe();
        }
        due
    }

    pub(crate) fn end_probe(&self) {
        self.probing.store(false, Ordering::Release);
    }

    /// Repeats the wait before the next probe without making it longer.
    pub(crate) fn postpone(&self, now: ClockTime) {
        if self.is_ejected() {
            self.until.store((now + FIRST_EJECTION_MS).0, Ordering::Release);
        }
    }
}
