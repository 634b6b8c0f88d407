//! What leading a pool costs a VM, and which VMs can bear it.
//!
//! Load pattern: a deployment of VMs that differ in memory, descriptors, processor and bandwidth, with more workers than the
//! small ones can hold connections and state for. The leader has to be a VM that survives the load of leading.

use arbutuspick_server::CLIENT_MEMORY_PERCENT;

/// Number of workers assumed until a leader has counted them.
const ASSUMED_WORKERS: u64 = 350;
/// Maximum election delay, in milliseconds; other VMs read the leader row at least once in this time and can become leader
/// first.
const MAX_ELECTION_DELAY_MS: u64 = 900;
/// Minimum election delay of a VM that is less fit than another one, in milliseconds.
const MIN_ELECTION_DELAY_MS: u64 = 100;
/// Minimum gain in the share of the scarcest resource, in percentage points, for which leadership moves to a VM that cannot
/// bear the cost either; a handover interrupts scheduling.
const MIN_ADVANTAGE_PERCENT: u64 = 33;

/// Share of the descriptors of a process that leading may take, in percent; from 85% on a leader hands over.
const USABLE_PERCENT: u64 = 80;
/// The same share of the memory, without what clients may hold besides.
const USABLE_MEMORY_PERCENT: u64 = USABLE_PERCENT - CLIENT_MEMORY_PERCENT as u64;
/// Memory of a leader without workers, with the buffers and state of a burst of jobs, in KiB.
const BASE_MEMORY_KIB: u64 = 24_000;
/// Memory for each worker: connections, session, listed runs and placement state, in KiB.
const MEMORY_PER_WORKER_KIB: u64 = 32;
/// Descriptors of a process that are not for workers: files, callers, store, peers.
const BASE_DESCRIPTORS: u64 = 500;
/// Descriptors for each worker in a burst: a listing call and a connection for orders.
const DESCRIPTORS_PER_WORKER: u64 = 2;
/// Processor time of a burst of jobs, in thousandths of a core.
const BASE_CPU_MILLIS: u64 = 200;
/// Processor time for ten workers, in thousandths of a core: their listings, and twice that in a burst.
const CPU_MILLIS_PER_TEN_WORKERS: u64 = 1;
/// Bandwidth of a burst of starts, in kbit/s; with 10 Mbit/s, a third of the starts on 350 workers timed out.
const BASE_LINK_KBITS: u64 = 95_000;
/// Bandwidth for each worker, in kbit/s: its listings, the worker registry, and twice that in a burst.
const LINK_KBITS_PER_WORKER: u64 = 4;

/// What a process may use; 0 for a resource without a known limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, in MiB.
    pub memory_mb: u64,
    /// Number of open descriptors.
    pub max_descriptors: u64,
    /// Processor time, in percent of a core.
    pub cpu_percent: u64,
    /// Network bandwidth, in Mbit/s.
    pub link_mbps: u64,
}

/// What leading a number of workers takes, in the units of [`ProcessLimits`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeadingCost {
    /// Memory, in MiB.
    pub memory_mb: u64,
    /// Number of open descriptors.
    pub descriptors: u64,
    /// Processor time, in percent of a core.
    pub cpu_percent: u64,
    /// Network bandwidth, in Mbit/s.
    pub link_mbps: u64,
}

impl LeadingCost {
    /// Returns the cost of leading this many workers; `None` if no leader has counted them yet.
    pub fn of_workers(workers: Option<u64>) -> Self {
        let workers = workers.unwrap_or(ASSUMED_WORKERS);
        Self {
            memory_mb: (BASE_MEMORY_KIB + MEMORY_PER_WORKER_KIB * workers).div_ceil(1024),
            descriptors: BASE_DESCRIPTORS + DESCRIPTORS_PER_WORKER * workers,
            cpu_percent: (BASE_CPU_MILLIS + CPU_MILLIS_PER_TEN_WORKERS * workers / 10) / 10,
            link_mbps: (BASE_LINK_KBITS + LINK_KBITS_PER_WORKER * workers) / 1_000,
        }
    }
}

/// Shares of a cost that the limits of a VM cover, in percent, at most 100 each, the scarcest resource first.
///
/// VMs are ordered by how well they can lead.
///
/// ```
/// use arbutuspick_dispatch::{LeadingCost, ProcessLimits, VmFitness};
/// let limits = ProcessLimits { link_mbps: 10, ..ProcessLimits::default() };
/// let small = VmFitness::new(limits, LeadingCost::of_workers(Some(350)));
/// let large = VmFitness::new(ProcessLimits::default(), LeadingCost::of_workers(Some(350)));
/// assert!(!small.bears_cost() && large.bears_cost() && small < large);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VmFitness([u64; 4]);

impl VmFitness {
    /// Compares limits with a cost.
    pub fn new(limits: ProcessLimits, cost: LeadingCost) -> Self {
        let usable = |limit: u64, percent: u64| (limit * percent).div_ceil(100);
        let mut shares = [
            covered_percent(usable(limits.memory_mb, USABLE_MEMORY_PERCENT), cost.memory_mb),
            covered_percent(usable(limits.max_descriptors, USABLE_PERCENT), cost.descriptors),
            covered_percent(limits.cpu_percent, cost.cpu_percent),
            covered_percent(limits.link_mbps, cost.link_mbps),
        ];
        shares.sort_unstable();
        Self(shares)
    }

    /// Returns whether the VM has all that the cost takes.
    pub fn bears_cost(&self) -> bool {
        self.scarcest_percent() == 100
    }

    /// Returns the share of the scarcest resource, in percent.
    pub fn scarcest_percent(&self) -> u64 {
        self.0[0]
    }

    /// Returns whether leadership should move from this VM to another one because of what they can bear.
    pub fn yields_to(&self, other: &Self) -> bool {
        let gains =
            other.bears_cost() || other.scarcest_percent() >= self.scarcest_percent() + MIN_ADVANTAGE_PERCENT;
        !self.bears_cost() && gains
    }
}

fn covered_percent(limit: u64, cost: u64) -> u64 {
    if limit == 0 || limit >= cost {
        return 100;
    }
    limit * 100 / cost
}

/// Returns how long a VM waits before it tries to become leader, in milliseconds.
///
/// A VM that bears the cost does not wait. If no known peer does, the fittest of them and those like it do not wait either.
/// The others wait the longer, the less they can bear compared to what is needed.
pub fn election_delay_ms<P>(own: ProcessLimits, peers: P, workers: Option<u64>) -> u64
where
    P: IntoIterator<Item = ProcessLimits>,
{
    let cost = LeadingCost::of_workers(workers);
    let fitness = VmFitness::new(own, cost);
    if fitness.bears_cost() {
        return 0;
    }
    let fittest_peer = peers.into_iter().map(|peer| VmFitness::new(peer, cost)).max();
    if fittest_peer.is_some_and(|peer| peer <= fitness) {
        return 0;
    }
    let needed = fittest_peer.map_or(100, |peer| peer.scarcest_percent().max(1));
    let missing = needed.saturating_sub(fitness.scarcest_percent());
    (MAX_ELECTION_DELAY_MS * missing / needed).max(MIN_ELECTION_DELAY_MS)
}
