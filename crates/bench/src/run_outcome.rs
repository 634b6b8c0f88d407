use arbutuspick_sched::PreemptReason;
use hdrhistogram::Histogram;

use crate::job_course::{CourseEnd, CoursePhase, JobCourse};
use crate::{JobArrival, PolicyKind, RunSettings};

/// Size classes by accelerators, with the largest size of each.
pub(crate) const SIZE_CLASSES: [(&str, u32); 3] = [("small", 8), ("medium", 32), ("large", u32::MAX)];

/// Longest completion time that is told apart: 100 days.
const MOST_COMPLETION_MS: u64 = 100 * 24 * 3_600_000;

/// What was measured in one run.
///
/// ```
/// use arbutuspick_bench::{PolicyKind, RunOutcome};
/// assert_eq!(RunOutcome::new(PolicyKind::Core, 1).ran, 0);
/// ```
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Policy.
    pub kind: PolicyKind,
    /// Seed.
    pub seed: u64,
    /// Completion times in milliseconds by size class, of jobs that nobody cancels.
    pub completions: [Histogram<u64>; 3],
    /// Sum of the completion times.
    pub completion_sum_ms: u64,
    /// Jobs that ran.
    pub ran: u64,
    /// Jobs that were refused.
    pub refused: u64,
    /// Jobs that the caller cancelled before they ended.
    pub cancelled: u64,
    /// Non-idempotent jobs that were stopped.
    pub unknown: u64,
    /// Jobs without an end; they count with their age in the completion times.
    pub unfinished: u64,
    /// Jobs that some data centre can hold and that were refused.
    pub refused_wrongly: u64,
    /// Starts of attempts.
    pub starts: u64,
    /// Starts that the failing worker failed.
    pub failed_starts: u64,
    /// Queued jobs that a leaving data centre gave back.
    pub released: u64,
    /// Attempts that were stopped before they ran.
    pub stopped_starts: u64,
    /// Most starts of one job.
    pub most_starts: u32,
    /// Running attempts that were stopped: for a guarantee, a reservation, a leaving data centre, a caller.
    pub preempted: [u64; 4],
    /// Accelerator-seconds that were thrown away.
    pub lost_work: f64,
    /// Useful accelerator-seconds while the data centre left and returned.
    pub window_work: f64,
    /// Samples of the free accelerators that no waiting or guaranteed shape fits.
    pub unusable: Vec<u32>,
    /// Samples of the free accelerators.
    pub free: Vec<u32>,
    /// Samples of the free accelerators while jobs wait.
    pub free_while_waiting: Vec<u32>,
}

impl RunOutcome {
    /// Creates an outcome without measurements.
    pub fn new(kind: PolicyKind, seed: u64) -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MOST_COMPLETION_MS, 3).expect("fixed bounds are allowed");
        Self {
            kind,
            seed,
            completions: [histogram(), histogram(), histogram()],
            completion_sum_ms: 0,
            ran: 0,
            refused: 0,
            cancelled: 0,
            unknown: 0,
            unfinished: 0,
            refused_wrongly: 0,
            starts: 0,
            failed_starts: 0,
            released: 0,
            stopped_starts: 0,
            most_starts: 0,
            preempted: [0; 4],
            lost_work: 0.0,
            window_work: 0.0,
            unusable: Vec::new(),
            free: Vec::new(),
            free_while_waiting: Vec::new(),
        }
    }

    pub(crate) fn count_preemption(&mut self, reason: PreemptReason) {
        let index = match reason {
            PreemptReason::Reclaim => 0,
            PreemptReason::Reservation => 1,
            PreemptReason::CentreLeaving => 2,
            PreemptReason::Cancelled => 3,
        };
        self.preempted[index] += 1;
    }

    /// Adds what the courses of all jobs show.
    pub(crate) fn with_courses(
        mut self,
        arrivals: &[JobArrival],
        courses: &[JobCourse],
        settings: &RunSettings,
    ) -> Self {
        for (arrival, course) in arrivals.iter().zip(courses) {
            let accelerators = f64::from(arrival.spec.shape.total_accelerators());
            let useful_ms = course.useful_ms(settings.leave_at(), settings.window_end());
            self.window_work += accelerators * useful_ms as f64 / 1000.0;
            self.most_starts = self.most_starts.max(course.attempt.0);
            self.lost_work += accelerators * course.lost_ms as f64 / 1000.0;
            let ended_at = match course.phase {
                CoursePhase::Ended(CourseEnd::Ran) => {
                    self.ran += 1;
                    course.ended_at
                }
                CoursePhase::Ended(end) => {
                    self.count_end(arrival, end);
                    continue;
                }
                _ => {
                    self.unfinished += 1;
                    settings.give_up_at()
                }
            };
            if arrival.cancel_at.is_none() {
                self.record(arrival, ended_at.millis_since(arrival.at));
            }
        }
        self
    }

    fn count_end(&mut self, arrival: &JobArrival, end: CourseEnd) {
        match end {
            CourseEnd::Refused => {
                self.refused += 1;
                self.refused_wrongly += u64::from(arrival.can_run);
            }
            CourseEnd::Cancelled => self.cancelled += 1,
            CourseEnd::Unknown => self.unknown += 1,
            CourseEnd::Ran => {}
        }
    }

    fn record(&mut self, arrival: &JobArrival, completion_ms: u64) {
        let size = arrival.spec.shape.total_accelerators();
        let class = SIZE_CLASSES.iter().position(|(_, most)| size <= *most);
        self.completions[class.unwrap_or(2)].saturating_record(completion_ms);
        self.completion_sum_ms += completion_ms;
    }
}
