//! When a leader hands leadership over, and to which VMs.
//!
//! Load pattern: the leader approaches a limit of its process while it leads: its memory grows with jobs and connections, its
//! descriptors with workers and callers, or its decisions come late because the VM has become slow. It hands over while it
//! still works, instead of being killed or replaced after its row has gone stale.

use std::fmt::{Display, Formatter};

use arbutuspick_model::ClockTime;

use crate::leading_cost::{LeadingCost, ProcessLimits, VmFitness};

/// Share of a limit, in percent, from which a process counts as near it.
const NEAR_LIMIT_PERCENT: u64 = 85;
/// Share of a limit, in percent, below which a process no longer counts as near it.
const CLEAR_LIMIT_PERCENT: u64 = 75;
/// Share of a limit, in percent, below which a process accepts leadership; what it takes on comes on top.
const ACCEPT_LIMIT_PERCENT: u64 = 60;
/// Consecutive samples near a limit before leadership is handed over; a single one may be a burst of callers.
const NEAR_SAMPLES: u32 = 2;
/// Minimum time as leader before a handover because of memory or descriptors, in milliseconds.
const MIN_TERM_MS: u64 = 5_000;
/// Minimum time as leader before a handover because of late decisions, in milliseconds; if the load and not the VM is the
/// cause, the next leader is late as well.
const MIN_LATE_TERM_MS: u64 = 30_000;

/// What a process uses; 0 for a resource that cannot be measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUse {
    /// Resident memory, in MiB.
    pub resident_mb: u64,
    /// Number of open descriptors.
    pub open_descriptors: u64,
}

/// Why a leader hands leadership over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverReason {
    /// The VM cannot bear the cost of leading the workers of the pool.
    Capacity,
    /// The process is near its memory limit.
    Memory,
    /// The process is near its limit of descriptors.
    Descriptors,
    /// Decisions come late.
    LateDecisions,
}

impl Display for HandoverReason {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Capacity => "capacity",
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
            Self::LateDecisions => "late_decisions",
        })
    }
}

/// Counts samples of one resource near its limit.
#[derive(Clone, Copy, Debug, Default)]
struct LimitGauge {
    near_samples: u32,
}

impl LimitGauge {
    fn observe(&mut self, percent: u64) {
        if percent >= NEAR_LIMIT_PERCENT {
            self.near_samples += 1;
        } else if percent < CLEAR_LIMIT_PERCENT {
            self.near_samples = 0;
        }
    }

    fn is_near(&self) -> bool {
        self.near_samples >= NEAR_SAMPLES
    }
}

/// Decides from samples of its own use when a leader hands over.
#[derive(Clone, Debug)]
pub struct HandoverWatch {
    limits: ProcessLimits,
    elected_at: ClockTime,
    memory: LimitGauge,
    descriptors: LimitGauge,
}

impl HandoverWatch {
    /// Returns a watch for a process that became leader at `elected_at`.
    pub fn new(limits: ProcessLimits, elected_at: ClockTime) -> Self {
        Self {
            limits,
            elected_at,
            memory: LimitGauge::default(),
            descriptors: LimitGauge::default(),
        }
    }

    /// Evaluates a sample of the own use, whether decisions come late, and the number of workers; returns a reason to hand
    /// over.
    pub fn observe(
        &mut self,
        usage: ProcessUse,
        is_late: bool,
        workers: Option<u64>,
        now: ClockTime,
    ) -> Option<HandoverReason> {
        let limits = self.limits;
        self.memory
            .observe(used_percent(usage.resident_mb, limits.memory_mb));
        self.descriptors
            .observe(used_percent(usage.open_descriptors, limits.max_descriptors));
        let term_ms = now.millis_since(self.elected_at);
        if term_ms >= MIN_TERM_MS && self.memory.is_near() {
            return Some(HandoverReason::Memory);
        }
        if term_ms >= MIN_TERM_MS && self.descriptors.is_near() {
            return Some(HandoverReason::Descriptors);
        }
        if term_ms >= MIN_LATE_TERM_MS && is_late {
            return Some(HandoverReason::LateDecisions);
        }
        let fitness = VmFitness::new(limits, LeadingCost::of_workers(workers));
        (!fitness.bears_cost()).then_some(HandoverReason::Capacity)
    }
}

/// Returns the peers to which leadership may pass, the fittest first; peers that are alike keep their order.
///
/// None of them can bear less than the leader.
pub fn rank_successors<P, L>(
    own: ProcessLimits,
    peers: Vec<P>,
    limits_of: L,
    workers: Option<u64>,
    reason: HandoverReason,
) -> Vec<P>
where
    L: Fn(&P) -> ProcessLimits,
{
    let cost = LeadingCost::of_workers(workers);
    let fitness = VmFitness::new(own, cost);
    let fitness_of = |peer: &P| VmFitness::new(limits_of(peer), cost);
    let mut eligible = peers;
    eligible.retain(|peer| match reason {
        HandoverReason::Capacity => fitness.yields_to(&fitness_of(peer)),
        HandoverReason::Memory | HandoverReason::Descriptors | HandoverReason::LateDecisions => {
            fitness_of(peer) >= fitness
        }
    });
    eligible.sort_by_key(|peer| std::cmp::Reverse(fitness_of(peer)));
    eligible
}

/// Returns whether a process has room to take leadership over.
pub fn accepts_leadership(limits: ProcessLimits, usage: ProcessUse) -> bool {
    used_percent(usage.resident_mb, limits.memory_mb) < ACCEPT_LIMIT_PERCENT
        && used_percent(usage.open_descriptors, limits.max_descriptors) < ACCEPT_LIMIT_PERCENT
}

/// Returns the used share of a limit, in percent; 0 if there is no known limit.
fn used_percent(usage: u64, limit: u64) -> u64 {
    (usage * 100).checked_div(limit).unwrap_or(0)
}
