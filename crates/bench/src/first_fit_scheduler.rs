use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arbutuspick_model::{AttemptNumber, CentreState, ClockTime, JobId, JobSpec, RefusalReason, WorkerName};
use arbutuspick_sched::{
    AttemptEnd, CellCounts, GangPlacement, PlacementAction, PlacementEvent, PlacementSummary, PreemptReason,
};

use crate::host_pool::{HostPool, HostState};

/// A queued or placed job.
#[derive(Clone, Debug)]
struct JobEntry {
    spec: Arc<JobSpec>,
    attempt: AttemptNumber,
    queued_at: ClockTime,
    /// Workers on which the job failed to start; they are excluded, or one faulty worker could block the job
    /// forever.
    failed_workers: Vec<WorkerName>,
    placement: Option<GangPlacement>,
    cancelled: bool,
}

/// Baseline scheduler of one data centre: first come, first served with first-fit placement.
///
/// It has the same events and actions as `PlacementCore`, but no guarantees, reservations, quarantine or
/// evacuation: running jobs are stopped at the drain deadline.
///
/// ```
/// use arbutuspick_bench::FirstFitScheduler;
/// use arbutuspick_model::ClockTime;
/// assert!(FirstFitScheduler::new(false).decide(ClockTime(0)).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct FirstFitScheduler {
    /// Whether jobs that do not fit are skipped, so that later jobs can start before them.
    skip_blocked: bool,
    state: CentreState,
    drain_deadline: Option<ClockTime>,
    racks: Vec<arbutuspick_model::RackName>,
    pool: HostPool,
    /// Pool without jobs, to refuse jobs that never fit.
    idle_pool: HostPool,
    jobs: BTreeMap<JobId, JobEntry>,
    queue: BTreeSet<(ClockTime, JobId)>,
    actions: Vec<PlacementAction>,
    /// Whether `decide` was called since the last event; another pass over the queue would place nothing.
    queue_scanned: bool,
}

impl FirstFitScheduler {
    /// Creates a scheduler without workers or jobs; `skip_blocked` lets later jobs start before jobs that do
    /// not fit.
    pub fn new(skip_blocked: bool) -> Self {
        Self {
            skip_blocked,
            state: CentreState::In,
            drain_deadline: None,
            racks: Vec::new(),
            pool: HostPool::default(),
            idle_pool: HostPool::default(),
            jobs: BTreeMap::new(),
            queue: BTreeSet::new(),
            actions: Vec::new(),
            queue_scanned: false,
        }
    }

    /// Applies an event to the state.
    pub fn handle(&mut self, event: PlacementEvent, _now: ClockTime) {
        self.queue_scanned = false;
        match event {
            PlacementEvent::WorkerJoined {
                worker,
                rack,
                capacity,
            } => {
                let index = self.racks.iter().position(|other| *other == rack);
                let index = index.unwrap_or_else(|| {
                    self.racks.push(rack);
                    self.racks.len() - 1
                });
                let host = HostState::new(worker, index, capacity);
                self.pool.hosts.push(host.clone());
                self.idle_pool.hosts.push(host);
            }
            PlacementEvent::JobQueued {
                job,
                spec,
                attempt,
                queued_at,
            } => self.queue_job(job, spec, attempt, queued_at),
            PlacementEvent::JobCancelled { job } => self.cancel_job(job),
            PlacementEvent::AttemptEnded { job, attempt, end } => self.end_attempt(job, attempt, end),
            PlacementEvent::CentreChanged {
                state,
                drain_deadline,
            } => (self.state, self.drain_deadline) = (state, drain_deadline),
            PlacementEvent::WorkerLost { .. }
            | PlacementEvent::WorkerProbed { .. }
            | PlacementEvent::AttemptAdopted { .. }
            | PlacementEvent::AttemptRunning { .. }
            | PlacementEvent::AccountsChanged { .. } => {}
        }
    }

    fn queue_job(&mut self, job: JobId, spec: Arc<JobSpec>, attempt: AttemptNumber, queued_at: ClockTime) {
        // A job that does not fit an idle pool never fits, and would block the queue.
        if self.idle_pool.clone().place(&spec.shape, &[]).is_none() {
            let reason = RefusalReason::NeverFits;
            self.actions.push(PlacementAction::Refuse { job, reason });
            return;
        }
        self.queue.insert((queued_at, job));
        let entry = JobEntry {
            spec,
            attempt,
            queued_at,
            failed_workers: Vec::new(),
            placement: None,
            cancelled: false,
        };
        self.jobs.insert(job, entry);
    }

    fn cancel_job(&mut self, job: JobId) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        if entry.placement.is_some() {
            entry.cancelled = true;
            self.preempt(job, ClockTime(0), PreemptReason::Cancelled);
        } else {
            self.queue.remove(&(entry.queued_at, job));
            self.jobs.remove(&job);
        }
    }

    fn preempt(&mut self, job: JobId, stop_before: ClockTime, reason: PreemptReason) {
        let attempt = self.jobs[&job].attempt;
        self.actions.push(PlacementAction::Preempt {
            job,
            attempt,
            stop_before,
            reason,
        });
    }

    fn end_attempt(&mut self, job: JobId, attempt: AttemptNumber, end: AttemptEnd) {
        let entry = self.jobs.get_mut(&job).filter(|entry| entry.attempt == attempt);
        let Some(entry) = entry else { return };
        let Some(placement) = entry.placement.take() else {
            return;
        };
        let shape = entry.spec.shape;
        for member in &placement.members {
            if let Some(host) = self.pool.host_mut(&member.worker) {
                host.release(member.accelerators, &shape);
            }
        }
        let requeued = match end {
            AttemptEnd::Finished => false,
            AttemptEnd::Requeued => true,
            AttemptEnd::StartFailed { failed_workers } => {
                entry.failed_workers.extend(failed_workers);
                true
            }
            AttemptEnd::RunFailed { requeue, .. } => requeue,
        };
        if requeued && !entry.cancelled {
            self.queue.insert((entry.queued_at, job));
        } else {
            self.jobs.remove(&job);
        }
    }

    /// Returns the actions to carry out now.
    pub fn decide(&mut self, now: ClockTime) -> Vec<PlacementAction> {
        match self.state {
            CentreState::In | CentreState::Returning if !self.queue_scanned => self.start_queued_jobs(),
            CentreState::Leaving if self.drain_deadline.is_some_and(|deadline| deadline <= now) => {
                self.drain(now);
            }
            CentreState::Out => self.drain(now),
            _ => {}
        }
        self.queue_scanned = true;
        std::mem::take(&mut self.actions)
    }

    /// Returns when `decide` should be called next if no event arrives earlier.
    pub fn next_wakeup(&self, now: ClockTime) -> Option<ClockTime> {
        let deadline = self.drain_deadline.filter(|deadline| *deadline > now);
        deadline.filter(|_| self.state == CentreState::Leaving)
    }

    fn start_queued_jobs(&mut self) {
        let queued: Vec<(ClockTime, JobId)> = self.queue.iter().copied().collect();
        for (queued_at, job) in queued {
            let Some(entry) = self.jobs.get_mut(&job) else {
                continue;
            };
            let Some(members) = self.pool.place(&entry.spec.shape, &entry.failed_workers) else {
                if self.skip_blocked {
                    continue;
                }
                return;
            };
            self.queue.remove(&(queued_at, job));
            entry.attempt = entry.attempt.next();
            let placement = GangPlacement {
                job,
                attempt: entry.attempt,
                members,
                guaranteed: false,
            };
            entry.placement = Some(placement.clone());
            self.actions.push(PlacementAction::Place(placement));
        }
    }

    /// Transfers the queued jobs and stops the running ones.
    fn drain(&mut self, now: ClockTime) {
        for (_, job) in std::mem::take(&mut self.queue) {
            self.jobs.remove(&job);
            self.actions.push(PlacementAction::Transfer { job });
        }
        let running: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in running {
            self.preempt(job, now, PreemptReason::CentreLeaving);
        }
    }

    /// Returns the summary from which the data centre of a job is chosen.
    pub fn summary(&self) -> PlacementSummary {
        let free = self.pool.cell_counts();
        PlacementSummary {
            state: self.state,
            free,
            usable: self.idle_pool.cell_counts(),
            free_accelerators: free.accelerators(),
            queued_jobs: self.queue.len() as u32,
            ..PlacementSummary::default()
        }
    }
}

impl HostPool {
    /// Returns the number of maximal free aligned cells by level.
    fn cell_counts(&self) -> CellCounts {
        let mut counts = CellCounts::default();
        let racks = self.hosts.iter().map(|host| host.rack + 1).max().unwrap_or(0);
        for rack in 0..racks {
            let hosts = self.hosts.iter().filter(|host| host.rack == rack);
            let mask = hosts.enumerate().fold(0, |mask, (position, host)| {
                mask | (u64::from(host.free_mask) << (8 * position))
            });
            count_free_cells(mask, 6, 0, &mut counts);
        }
        counts
    }
}

/// Counts the maximal free aligned cells within the cell at a level and offset.
fn count_free_cells(mask: u64, level: usize, offset: u32, counts: &mut CellCounts) {
    let size = 1u32 << level;
    let cell = if size == 64 {
        u64::MAX
    } else {
        ((1 << size) - 1) << offset
    };
    if mask & cell == cell {
        counts.0[level] += 1;
    } else if level > 0 && mask & cell != 0 {
        count_free_cells(mask, level - 1, offset, counts);
        count_free_cells(mask, level - 1, offset + size / 2, counts);
    }
}
