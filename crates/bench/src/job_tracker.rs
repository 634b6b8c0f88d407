use arbutuspick_model::{AttemptNumber, ClockTime};

/// How a simulated job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobEnd {
    Ran,
    Refused,
    Cancelled,
    Unknown,
}

/// Current phase of a simulated job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobPhase {
    /// Not submitted, queued, or between data centres.
    Waiting,
    /// Placed; the members are being started.
    Starting,
    /// All members are running.
    Running { since: ClockTime },
    /// Preempted; its accelerators stay allocated until the stop has taken effect.
    Stopping { requeue: bool },
    /// Ended with an outcome.
    Ended(JobEnd),
}

/// State and history of one job in a simulation.
#[derive(Clone, Debug)]
pub(crate) struct JobTracker {
    pub(crate) centre: Option<usize>,
    pub(crate) attempt: AttemptNumber,
    pub(crate) phase: JobPhase,
    /// Run time that is finished or saved in a checkpoint and need not be repeated.
    pub(crate) progress_ms: u64,
    /// Intervals in which that progress was made.
    pub(crate) kept_intervals: Vec<(ClockTime, ClockTime)>,
    pub(crate) first_start: Option<ClockTime>,
    pub(crate) ended_at: ClockTime,
    pub(crate) cancelled: bool,
    /// Run time that was lost because an attempt was stopped.
    pub(crate) lost_ms: u64,
}

impl Default for JobTracker {
    fn default() -> Self {
        Self {
            centre: None,
            attempt: AttemptNumber(0),
            phase: JobPhase::Waiting,
            progress_ms: 0,
            kept_intervals: Vec::new(),
            first_start: None,
            ended_at: ClockTime(0),
            cancelled: false,
            lost_ms: 0,
        }
    }
}

impl JobTracker {
    /// Counts the running interval until `now`: its first `kept_ms` as progress, the rest as lost.
    pub(crate) fn record_progress(&mut self, kept_ms: u64, now: ClockTime) {
        let JobPhase::Running { since } = self.phase else {
            return;
        };
        let kept_ms = kept_ms.min(now.millis_since(since));
        self.progress_ms += kept_ms;
        self.lost_ms += now.millis_since(since) - kept_ms;
        self.kept_intervals.push((since, since + kept_ms));
    }

    pub(crate) fn end(&mut self, end: JobEnd, now: ClockTime) {
        self.phase = JobPhase::Ended(end);
        self.ended_at = now;
    }

    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.phase, JobPhase::Ended(_))
    }

    /// Returns the progress made between `from` and `until`, or 0 unless the job ran to the end.
    pub(crate) fn useful_ms(&self, from: ClockTime, until: ClockTime) -> u64 {
        if self.phase != JobPhase::Ended(JobEnd::Ran) {
            return 0;
        }
        let overlap =
            |(start, end): &(ClockTime, ClockTime)| (*end).min(until).millis_since((*start).max(from));
        self.kept_intervals.iter().map(overlap).sum()
    }
}
