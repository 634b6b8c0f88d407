//! Decides whether a run, or a whole gang, is stopped to be started elsewhere for lack of progress.
//!
//! Load pattern: some workers are slow or stall, and some tasks are long wherever they run. A move throws away the
//! work of the whole gang, so it has to gain more than that, and a long task gains nothing.

/// Progress of a run that counts as none: time without gain, in milliseconds; listings are a second apart.
pub(crate) const STALL_LIMIT_MS: u64 = 1_100;
/// Time without gain of a run whose neighbours on the worker gain, in milliseconds; the worker has not stalled then.
const LONE_STALL_LIMIT_MS: u64 = 4_000;
/// Expected percents that a run must have missed before it counts as stalled.
const MISSED_PERCENTS: u64 = 3;
/// Time by which a run that starts elsewhere is later than planned, in milliseconds: decision, call and restore.
pub(crate) const START_MARGIN_MS: u64 = 700;
/// Share of the remaining time by which a move must be sooner, as a divisor.
const MOVE_MARGIN_DIVISOR: u64 = 4;

/// Probability that the worker of a run is slow, rather than the task being long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerDoubt {
    /// Other runs on the worker gain as expected.
    Cleared,
    /// Nothing runs on the worker that could show it, but earlier runs there gained as expected.
    Unlikely,
    /// Nothing has shown anything about the worker.
    Open,
    /// Runs of other jobs on the worker are behind, too, or members of the same gang show it.
    Proven,
}

impl WorkerDoubt {
    /// Returns the probability in percent; in doubt, few tasks in a hundred are long and few workers in a hundred slow.
    fn percent(self) -> u64 {
        match self {
            Self::Cleared => 0,
            Self::Unlikely => 10,
            Self::Open => 40,
            Self::Proven => 100,
        }
    }
}

/// What a move of a run or gang would change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MoveCase {
    /// Shortest time that is left where it runs, by its own progress, in milliseconds.
    pub(crate) left_here_ms: u64,
    /// Time until it would end elsewhere, from the stop on, in milliseconds.
    pub(crate) left_elsewhere_ms: u64,
    /// Time that it has worked since the state that a stop saves, in milliseconds.
    pub(crate) lost_ms: u64,
    /// Time that is left for it if its job is to be on time, in milliseconds.
    pub(crate) slack_ms: u64,
    /// Whether the worker is slow, rather than the task being long.
    pub(crate) doubt: WorkerDoubt,
}

impl MoveCase {
    /// Returns whether the move is worth the work that it throws away.
    ///
    /// A run that is on time where it is stays, since a move could only cost.
    pub(crate) fn is_worthwhile(&self) -> bool {
        if self.left_here_ms <= self.slack_ms {
            return false;
        }
        let needed_ms = self.left_elsewhere_ms + self.left_elsewhere_ms / MOVE_MARGIN_DIVISOR;
        let gain_ms = self.left_here_ms.saturating_sub(needed_ms);
        gain_ms * self.doubt.percent() / 100 > self.lost_ms
    }
}

/// Gains of a run, as its listings show them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GainHistory {
    /// Time between the latest gain and the latest listing, in milliseconds.
    pub(crate) still_ms: u64,
    /// Time that one percent of the run takes, by its earlier progress or its estimate, in milliseconds.
    pub(crate) percent_ms: u64,
    /// Whether another run on the worker has gained meanwhile.
    pub(crate) neighbours_gain: bool,
}

impl GainHistory {
    /// Returns whether the run has stalled, rather than being long.
    pub(crate) fn is_stalled(&self) -> bool {
        let limit_ms = if self.neighbours_gain {
            LONE_STALL_LIMIT_MS
        } else {
            STALL_LIMIT_MS
        };
        self.still_ms > limit_ms.max(self.percent_ms * MISSED_PERCENTS)
    }
}

/// Numbers of runs that were stopped to be started elsewhere; a gang counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MoveCounts {
    /// The worker was leaving.
    pub leaving: u64,
    /// The run stood still, or was so slow that its worker got no further work for a while.
    pub stalled: u64,
    /// The run would end sooner on another worker.
    pub slow: u64,
}
