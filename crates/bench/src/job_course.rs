use arbutuspick_model::{AttemptNumber, ClockTime};

/// How a job of a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CourseEnd {
    Ran,
    Refused,
    Cancelled,
    Unknown,
}

/// What a job does at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CoursePhase {
    /// Not submitted, queued, or between data centres.
    Waiting,
    /// Placed; the members are being started.
    Starting,
    /// Every member runs.
    Running { since: ClockTime },
    /// Told to stop; keeps what it holds until the stop has taken effect.
    Stopping { requeue: bool },
    /// Has its outcome.
    Ended(CourseEnd),
}

/// Course of one job through a run.
#[derive(Clone, Debug)]
pub(crate) struct JobCourse {
    pub(crate) centre: Option<usize>,
    pub(crate) attempt: AttemptNumber,
    pub(crate) phase: CoursePhase,
    /// Run time that need not be repeated.
    pub(crate) progress_ms: u64,
    /// When that run time was spent.
    pub(crate) spent: Vec<(ClockTime, ClockTime)>,
    pub(crate) first_start: Option<ClockTime>,
    pub(crate) ended_at: ClockTime,
    pub(crate) cancelled: bool,
    /// Run time that was thrown away.
    pub(crate) lost_ms: u64,
}

impl Default for JobCourse {
    fn default() -> Self {
        Self {
            centre: None,
            attempt: AttemptNumber(0),
            phase: CoursePhase::Waiting,
            progress_ms: 0,
            spent: Vec::new(),
            first_start: None,
            ended_at: ClockTime(0),
            cancelled: false,
            lost_ms: 0,
        }
    }
}

impl JobCourse {
    /// Counts the first `kept_ms` of a run until now as progress and the rest as lost.
    pub(crate) fn bank(&mut self, kept_ms: u64, now: ClockTime) {
        let CoursePhase::Running { since } = self.phase else {
            return;
        };
        let kept_ms = kept_ms.min(now.millis_since(since));
        self.progress_ms += kept_ms;
        self.lost_ms += now.millis_since(since) - kept_ms;
        self.spent.push((since, since + kept_ms));
    }

    pub(crate) fn end(&mut self, end: CourseEnd, now: ClockTime) {
        self.phase = CoursePhase::Ended(end);
        self.ended_at = now;
    }

    pub(crate) fn has_ended(&self) -> bool {
        matches!(self.phase, CoursePhase::Ended(_))
    }

    /// Returns the useful run time within the window.
    pub(crate) fn useful_ms(&self, from: ClockTime, until: ClockTime) -> u64 {
        if self.phase != CoursePhase::Ended(CourseEnd::Ran) {
            return 0;
        }
        let overlap =
            |(start, end): &(ClockTime, ClockTime)| (*end).min(until).millis_since((*start).max(from));
        self.spent.iter().map(overlap).sum()
    }
}
