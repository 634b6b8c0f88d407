//! Estimates how fast each worker is from the run times of its tasks.
//!
//! Load pattern: workers of one kind differ in speed by half. A gang runs as fast as its slowest member, so
//! one slow worker slows all others down; single tasks do not affect each other.

use arbutuspick_model::ClockTime;

use crate::jobs::job_entry::{StepEntry, TaskEntry, TaskPlacement};
use crate::workers::run_pace::StepDurations;
use crate::{StepBody, WorkerKey};

/// Weight of the assumption that a worker has the usual speed, in observed runs.
const PRIOR_RUNS: f64 = 3.0;
/// Number of runs after which older ones lose weight.
const MAX_RUNS: f64 = 24.0;
/// Largest factor between a run time and the expected one that counts as a difference in speed.
const MAX_RATIO: f64 = 2.5;
/// Minimum number of siblings for a comparison with them; runs with fewer are compared with their estimate.
const MIN_COMPARED_RUNS: usize = 3;
/// Relative speed from which a worker is fast.
const FAST_FROM: f64 = 1.1;
/// Relative speed below which a worker is slow.
const SLOW_BELOW: f64 = 0.91;

/// Speed of a worker in comparison with the others, the fastest first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SpeedTier {
    Fast,
    #[default]
    Usual,
    Slow,
}

/// Mean of the logarithms of relative speeds that runs of single tasks have shown.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpeedEstimate {
    sum: f64,
    runs: f64,
}

impl SpeedEstimate {
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn record(&mut self, observation: &SpeedObservation) {
        let ratio = observation.expected_ms.max(1) as f64 / observation.took_ms.max(1) as f64;
        self.sum += ratio.clamp(1.0 / MAX_RATIO, MAX_RATIO).ln();
        self.runs += 1.0;
        if self.runs > MAX_RUNS {
            self.sum *= MAX_RUNS / self.runs;
            self.runs = MAX_RUNS;
        }
    }

    /// Returns the speed tier, which is the usual one until several runs agree on another.
    pub(crate) fn tier(&self) -> SpeedTier {
        let speed = (self.sum / (self.runs + PRIOR_RUNS)).exp();
        if speed >= FAST_FROM {
            SpeedTier::Fast
        } else if speed < SLOW_BELOW {
            SpeedTier::Slow
        } else {
            SpeedTier::Usual
        }
    }
}

/// The time that a run took on a worker, and the time that it should have taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpeedObservation {
    pub(crate) worker: WorkerKey,
    pub(crate) expected_ms: u64,
    pub(crate) took_ms: u64,
}

/// Returns what the end of the single task `index` shows about the speed of its worker. A resumed or remote run
/// shows nothing, and neither does a gang, which runs as fast as its slowest member.
pub(crate) fn speed_observation(
    step: &StepEntry,
    body: &StepBody,
    index: usize,
    remote_factor: u64,
    now: ClockTime,
) -> Option<SpeedObservation> {
    if body.gang || body.endless {
        return None;
    }
    let task = step.tasks.get(index)?;
    let placement = fresh_placement(task)?;
    let siblings = StepDurations::from_step(step, remote_factor).sibling_median(placement.worker);
    let expected_ms = match siblings {
        Some((median_ms, count)) if count >= MIN_COMPARED_RUNS => median_ms,
        _ => body.estimate_ms,
    };
    Some(SpeedObservation {
        worker: placement.worker,
        expected_ms,
        took_ms: now.millis_since(placement.since),
    })
}

/// Returns the placement of a run that is neither remote nor resumed.
fn fresh_placement(task: &TaskEntry) -> Option<TaskPlacement> {
    let is_fresh = !task.progress.is_start_unknown;
    task.placement.filter(|placement| is_fresh && !placement.remote)
}
