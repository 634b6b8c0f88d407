use std::sync::Arc;

use arbutuspick_model::ClockTime;

/// Failed runs of different jobs in a row after which a worker gets no work for a while.
const FAILURES_TO_AVOID: u32 = 2;
/// First pause of a worker that fails what it starts, in milliseconds; doubles up to the longest.
const FIRST_PAUSE_MS: u64 = 5_000;
/// Longest pause in milliseconds.
const LONGEST_PAUSE_MS: u64 = 40_000;
/// A worker that was seen slow gets work only when nothing else will do for this long, in milliseconds.
const SLOW_MS: u64 = 6_000;
/// A worker that left a call unanswered is used last for this long, in milliseconds.
const SILENT_MS: u64 = 1_500;

/// What recent runs say about a worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerHealth {
    failures_in_row: u32,
    /// Job whose run failed last; several failures of one job say more about the job.
    failed_job: Option<Arc<str>>,
    pauses: u32,
    paused_until: ClockTime,
    slow_until: ClockTime,
    silent_until: ClockTime,
}

impl WorkerHealth {
    /// Notes a run that ended as done.
    pub(crate) fn note_success(&mut self) {
        self.failures_in_row = 0;
        self.failed_job = None;
        self.pauses = 0;
    }

    /// Notes a run of a job that failed; returns whether the worker is paused now.
    pub(crate) fn note_failure(&mut self, job: &Arc<str>, now: ClockTime) -> bool {
        if self.failed_job.as_ref() == Some(job) {
            return false;
        }
        self.failed_job = Some(job.clone());
        self.failures_in_row += 1;
        if self.failures_in_row < FAILURES_TO_AVOID {
            return false;
        }
        let pause = (FIRST_PAUSE_MS << self.pauses.min(8)).min(LONGEST_PAUSE_MS);
        self.pauses += 1;
        self.paused_until = now + pause;
        true
    }

    /// Notes that runs on the worker make too little progress.
    pub(crate) fn note_slow(&mut self, now: ClockTime) {
        self.slow_until = now + SLOW_MS;
    }

    /// Notes a call without an answer.
    pub(crate) fn note_silence(&mut self, now: ClockTime) {
        self.silent_until = now + SILENT_MS;
    }

    /// Returns whether new work may be placed on the worker.
    pub(crate) fn takes_work(&self, now: ClockTime) -> bool {
        now >= self.paused_until
    }

    /// Returns whether other workers are to be preferred.
    pub(crate) fn is_doubtful(&self, now: ClockTime) -> bool {
        now < self.silent_until || self.failures_in_row > 0
    }

    /// Returns whether runs on the worker were seen to make far too little progress.
    pub(crate) fn is_slow(&self, now: ClockTime) -> bool {
        now < self.slow_until
    }
}
