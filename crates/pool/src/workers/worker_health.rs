use std::sync::Arc;

use arbutuspick_model::ClockTime;

/// Number of consecutive failures, each of another job, after which a worker is paused.
const FAILURES_BEFORE_PAUSE: u32 = 2;
/// First pause of a failing worker in milliseconds; doubles with each further pause up to `MAX_PAUSE_MS`.
const FIRST_PAUSE_MS: u64 = 5_000;
/// Longest pause of a failing worker in milliseconds.
const MAX_PAUSE_MS: u64 = 40_000;
/// Time for which a slow worker gets only work that found no other worker, in milliseconds.
const SLOW_PERIOD_MS: u64 = 6_000;
/// Time for which a worker that left a call unanswered is used last, in milliseconds.
const UNRESPONSIVE_PERIOD_MS: u64 = 1_500;

/// Health of a worker, as judged by its recent runs and calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerHealth {
    failures_in_row: u32,
    /// Job of the latest failed run; repeated failures of one job point to the job rather than the worker.
    failed_job: Option<Arc<str>>,
    pauses: u32,
    paused_until: ClockTime,
    slow_until: ClockTime,
    unresponsive_until: ClockTime,
}

impl WorkerHealth {
    /// Records a run that ended as done.
    pub(crate) fn record_success(&mut self) {
        self.failures_in_row = 0;
        self.failed_job = None;
        self.pauses = 0;
    }

    /// Records a failed run of a job; returns whether this pauses the worker.
    pub(crate) fn record_failure(&mut self, job: &Arc<str>, now: ClockTime) -> bool {
        if self.failed_job.as_ref() == Some(job) {
            return false;
        }
        self.failed_job = Some(job.clone());
        self.failures_in_row += 1;
        if self.failures_in_row < FAILURES_BEFORE_PAUSE {
            return false;
        }
        let pause = (FIRST_PAUSE_MS << self.pauses.min(8)).min(MAX_PAUSE_MS);
        self.pauses += 1;
        self.paused_until = now + pause;
        true
    }

    /// Records that runs on the worker make too little progress.
    pub(crate) fn mark_slow(&mut self, now: ClockTime) {
        self.slow_until = now + SLOW_PERIOD_MS;
    }

    /// Records a call without an answer.
    pub(crate) fn mark_unresponsive(&mut self, now: ClockTime) {
        self.unresponsive_until = now + UNRESPONSIVE_PERIOD_MS;
    }

    /// Returns whether new work may be placed on the worker.
    pub(crate) fn is_schedulable(&self, now: ClockTime) -> bool {
        now >= self.paused_until
    }

    /// Returns whether other workers should be preferred: a call was not answered lately, or a run failed and
    /// none has succeeded since.
    pub(crate) fn is_suspect(&self, now: ClockTime) -> bool {
        now < self.unresponsive_until || self.failures_in_row > 0
    }

    /// Returns whether runs on the worker made too little progress lately.
    pub(crate) fn is_slow(&self, now: ClockTime) -> bool {
        now < self.slow_until
    }
}
