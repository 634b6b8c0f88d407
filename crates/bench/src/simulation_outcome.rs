use arbutuspick_sched::PreemptReason;
use hdrhistogram::Histogram;

use crate::job_tracker::{JobEnd, JobPhase, JobTracker};
use crate::{JobArrival, PolicyKind, SimulationSettings};

/// Size classes of jobs with the maximum number of accelerators of each.
pub(crate) const SIZE_CLASSES: [(&str, u32); 3] = [("small", 8), ("medium", 32), ("large", u32::MAX)];

/// Upper bound of the completion histograms: 100 days.
const MAX_COMPLETION_MS: u64 = 100 * 24 * 3_600_000;

/// Measurements of one simulation.
///
/// ```
/// use arbutuspick_bench::{PolicyKind, SimulationOutcome};
/// assert_eq!(SimulationOutcome::new(PolicyKind::Core, 1).ran, 0);
/// ```
#[derive(Clone, Debug)]
pub struct SimulationOutcome {
    /// Policy of the simulation.
    pub kind: PolicyKind,
    /// Seed of the simulation.
    pub seed: u64,
    /// Completion times in milliseconds by size class, except of jobs that are to be cancelled.
    pub completions: [Histogram<u64>; 3],
    /// Sum of these completion times.
    pub completion_sum_ms: u64,
    /// Jobs that ran to the end.
    pub ran: u64,
    /// Jobs that were refused.
    pub refused: u64,
    /// Jobs that the client cancelled before they ended.
    pub cancelled: u64,
    /// Non-idempotent jobs that were stopped without a checkpoint, so that their outcome is unknown.
    pub unknown: u64,
    /// Jobs that had not ended at the time limit; their age then counts as completion time.
    pub unfinished: u64,
    /// Jobs that were refused although their shape fits in a data centre.
    pub refused_wrongly: u64,
    /// Started attempts.
    pub starts: u64,
    /// Starts that failed on the faulty worker.
    pub failed_starts: u64,
    /// Queued jobs that a leaving data centre transferred to another one.
    pub transferred: u64,
    /// Attempts that were preempted before they ran.
    pub stopped_starts: u64,
    /// Maximum number of starts of one job.
    pub max_starts: u32,
    /// Preempted running attempts: for a guarantee, a reservation, a leaving data centre, a cancellation.
    pub preempted: [u64; 4],
    /// Lost work in accelerator-seconds.
    pub lost_work: f64,
    /// Useful work in accelerator-seconds while the data centre left and returned.
    pub window_work: f64,
    /// Samples of the free accelerators that no waiting or guaranteed shape can use.
    pub unusable: Vec<u32>,
    /// Samples of the free accelerators.
    pub free: Vec<u32>,
    /// Samples of the free accelerators at times when jobs wait.
    pub free_while_waiting: Vec<u32>,
}

impl SimulationOutcome {
    /// Creates an outcome without measurements.
    pub fn new(kind: PolicyKind, seed: u64) -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_COMPLETION_MS, 3).expect("histogram bounds are valid");
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
            transferred: 0,
            stopped_starts: 0,
            max_starts: 0,
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

    /// Adds the results of all jobs.
    pub(crate) fn with_trackers(
        mut self,
        arrivals: &[JobArrival],
        trackers: &[JobTracker],
        settings: &SimulationSettings,
    ) -> Self {
        for (arrival, tracker) in arrivals.iter().zip(trackers) {
            let accelerators = f64::from(arrival.spec.shape.total_accelerators());
            let useful_ms = tracker.useful_ms(settings.leave_at(), settings.window_end());
            self.window_work += accelerators * useful_ms as f64 / 1000.0;
            self.max_starts = self.max_starts.max(tracker.attempt.0);
            self.lost_work += accelerators * tracker.lost_ms as f64 / 1000.0;
            let ended_at = match tracker.phase {
                JobPhase::Ended(JobEnd::Ran) => {
                    self.ran += 1;
                    tracker.ended_at
                }
                JobPhase::Ended(end) => {
                    self.count_end(arrival, end);
                    continue;
                }
                _ => {
                    self.unfinished += 1;
                    settings.time_limit()
                }
            };
            if arrival.cancel_at.is_none() {
                self.record_completion(arrival, ended_at.millis_since(arrival.at));
            }
        }
        self
    }

    fn count_end(&mut self, arrival: &JobArrival, end: JobEnd) {
        match end {
            JobEnd::Refused => {
                self.refused += 1;
                self.refused_wrongly += u64::from(arrival.placeable);
            }
            JobEnd::Cancelled => self.cancelled += 1,
            JobEnd::Unknown => self.unknown += 1,
            JobEnd::Ran => {}
        }
    }

    fn record_completion(&mut self, arrival: &JobArrival, completion_ms: u64) {
        let size = arrival.spec.shape.total_accelerators();
        let class = SIZE_CLASSES.iter().position(|(_, max_size)| size <= *max_size);
        self.completions[class.unwrap_or(2)].saturating_record(completion_ms);
        self.completion_sum_ms += completion_ms;
    }
}
