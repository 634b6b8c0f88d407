use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use arbutuspick_model::{AccountName, ClockTime, JobId, RackName, WorkerCapacity, WorkerName};
use slotmap::SlotMap;

use crate::account_usage::AccountUsage;
use crate::centre_phase::{CentrePhase, PhaseEvent, PhaseMachine, PhaseState};
use crate::gang_queue::GangQueue;
use crate::guarantee_ledger::GuaranteeLedger;
use crate::job_entry::{ArrivalRank, JobEntry, JobKey};
use crate::pool_state::PoolState;
use crate::worker_load::WorkerSlot;
use crate::{PlacementAction, PlacementEvent, PlacementOptions};

/// Scheduler of one data centre, with its workers, queue, guarantees and running attempts.
///
/// It performs no input or output and reads no clock: the caller reports events with `handle` and carries out
/// the actions that `decide` returns. Events about unknown jobs or earlier attempts are ignored.
///
/// ```
/// use std::sync::Arc;
/// use arbutuspick_model::*;
/// use arbutuspick_sched::{PlacementAction, PlacementCore, PlacementEvent, PlacementOptions};
/// let mut core = PlacementCore::new(PlacementOptions::default());
/// let now = ClockTime(0);
/// let worker = WorkerName::try_from("w1")?;
/// let rack = RackName::try_from("r1")?;
/// let capacity = WorkerCapacity::default();
/// core.handle(PlacementEvent::WorkerJoined { worker: worker.clone(), rack, capacity }, now);
/// assert_eq!(core.decide(now), [PlacementAction::Probe { worker: worker.clone() }]);
/// core.handle(PlacementEvent::WorkerProbed { worker, healthy: true }, now);
/// let spec = Arc::new(JobSpec::new(AccountName::try_from("parks")?));
/// let (job, attempt) = (JobId::generate(), AttemptNumber(0));
/// core.handle(PlacementEvent::JobQueued { job, spec, attempt, queued_at: now }, now);
/// assert!(matches!(core.decide(now)[..], [PlacementAction::Place(_)]));
/// # Ok::<(), FieldError>(())
/// ```
pub struct PlacementCore {
    pub(crate) options: PlacementOptions,
    pub(crate) pool: PoolState,
    pub(crate) ledger: GuaranteeLedger,
    pub(crate) queue: GangQueue,
    pub(crate) usages: BTreeMap<AccountName, AccountUsage>,
    pub(crate) jobs: SlotMap<JobKey, JobEntry>,
    /// Keys of the unfinished jobs by identifier.
    pub(crate) keys_by_id: BTreeMap<JobId, JobKey>,
    pub(crate) phase: PhaseMachine,
    /// Actions that the next call of `decide` returns.
    pub(crate) actions: Vec<PlacementAction>,
    /// Workers that are due for a probe because they joined or the data centre returned.
    pub(crate) due_probes: BTreeSet<WorkerSlot>,
    /// Quarantined workers by the time of their next probe.
    pub(crate) quarantine: BTreeSet<(ClockTime, WorkerSlot)>,
    /// Workers that wait for the slot of a lost worker whose attempts have not ended yet.
    pub(crate) waiting_workers: BTreeMap<WorkerName, (RackName, WorkerCapacity)>,
    /// Adopted attempts with members on workers that have not joined yet.
    pub(crate) adopted: BTreeMap<WorkerName, BTreeSet<JobKey>>,
    /// Adopted attempts whose guaranteed cells are not identified yet.
    pub(crate) rebinding: BTreeSet<JobKey>,
    /// When the set of workers is considered complete.
    pub(crate) settled_at: ClockTime,
    /// The first blocked job that is due for a reservation but has none; jobs after it start only as
    /// backfill.
    pub(crate) barrier: Option<ArrivalRank>,
    /// Whether a job has reached the overtake limit since reservations were last made.
    pub(crate) reservation_due: bool,
    /// Whether the state has changed since the last call of `decide`, or that call left work over.
    pub(crate) dirty: bool,
    /// When a timer requires `decide` to run its passes again.
    pub(crate) wake_at: Option<ClockTime>,
}

impl fmt::Debug for PlacementCore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlacementCore")
            .field("workers", &self.pool.worker_count())
            .field("jobs", &self.jobs.len())
            .finish_non_exhaustive()
    }
}

impl PlacementCore {
    /// Creates the state of a data centre without workers and jobs.
    pub fn new(options: PlacementOptions) -> Self {
        let phase = CentrePhase::machine(options.return_step_ms);
        Self {
            options,
            pool: PoolState::default(),
            ledger: GuaranteeLedger::default(),
            queue: GangQueue::default(),
            usages: BTreeMap::new(),
            jobs: SlotMap::with_key(),
            keys_by_id: BTreeMap::new(),
            phase,
            actions: Vec::new(),
            due_probes: BTreeSet::new(),
            quarantine: BTreeSet::new(),
            waiting_workers: BTreeMap::new(),
            adopted: BTreeMap::new(),
            rebinding: BTreeSet::new(),
            settled_at: ClockTime(0),
            barrier: None,
            reservation_due: false,
            dirty: false,
            wake_at: None,
        }
    }

    /// Applies an event to the state.
    pub fn handle(&mut self, event: PlacementEvent, now: ClockTime) {
        self.dirty = true;
        match event {
            PlacementEvent::WorkerJoined {
                worker,
                rack,
                capacity,
            } => self.join_worker(&worker, &rack, capacity, now),
            PlacementEvent::WorkerLost { worker } => self.mark_worker_lost(&worker),
            PlacementEvent::WorkerProbed { worker, healthy } => self.record_probe(&worker, healthy, now),
            PlacementEvent::JobQueued {
                job,
                spec,
                attempt,
                queued_at,
            } => self.queue_job(job, spec, attempt, queued_at),
            PlacementEvent::AttemptAdopted {
                job,
                spec,
                placement,
                queued_at,
            } => self.adopt_attempt(job, spec, placement, queued_at),
            PlacementEvent::JobCancelled { job } => self.cancel_job(job, now),
            PlacementEvent::AttemptRunning { job, attempt } => self.mark_running(job, attempt),
            PlacementEvent::AttemptEnded { job, attempt, end } => self.end_attempt(job, attempt, end, now),
            PlacementEvent::AccountsChanged { accounts } => self.change_accounts(&accounts, now),
            PlacementEvent::CentreChanged {
                state,
                drain_deadline,
            } => self.change_centre_state(state, drain_deadline, now),
        }
    }

    /// Returns the actions to carry out now; work beyond the limits of one call is left for the next call.
    pub fn decide(&mut self, now: ClockTime) -> Vec<PlacementAction> {
        if self.dirty || self.wake_at.is_some_and(|wake_at| wake_at <= now) {
            self.dirty = false;
            self.phase.handle(&PhaseEvent::Tick { now });
            self.enable_racks();
            self.probe_workers(now);
            self.retry_delayed(now);
            if self.may_place() {
                self.check_shapes(now);
                self.bind_adopted(now);
                self.run_claim_pass(now);
                self.run_guaranteed_pass(now);
                self.run_reservation_pass(now);
                self.run_borrowed_pass(now);
            } else {
                self.run_evacuation_pass(now);
            }
            self.wake_at = self.compute_wakeup(now);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns when `decide` should be called next if no event arrives earlier.
    pub fn next_wakeup(&self, now: ClockTime) -> Option<ClockTime> {
        if self.dirty || !self.actions.is_empty() {
            return Some(now);
        }
        self.wake_at.map(|wake_at| wake_at.max(now))
    }

    /// Returns whether the data centre may start jobs.
    pub(crate) fn may_place(&self) -> bool {
        matches!(
            self.phase.state(),
            PhaseState::InService { .. } | PhaseState::Returning { .. }
        )
    }

    /// Returns whether one more action may be added in this call; if not, requests another call.
    pub(crate) fn has_budget(&mut self) -> bool {
        let has_room = self.actions.len() < self.options.max_actions;
        if !has_room {
            self.dirty = true;
        }
        has_room
    }

    fn compute_wakeup(&self, now: ClockTime) -> Option<ClockTime> {
        // Workers in disabled racks are probed once their rack is enabled.
        let enabled = |slot: &WorkerSlot| self.pool.rack(slot.rack).enabled;
        let probe = self.quarantine.iter().find(|(_, slot)| enabled(slot));
        let probe = probe.map(|(at, _)| *at);
        let step = match self.phase.state() {
            PhaseState::Returning { quarters, next_at } if *quarters < crate::centre_phase::ALL_QUARTERS => {
                Some(*next_at)
            }
            PhaseState::Leaving { drain_deadline } => drain_deadline.filter(|deadline| *deadline > now),
            _ => None,
        };
        let waits_to_settle = !self.queue.unchecked.is_empty() || !self.rebinding.is_empty();
        let settled = (waits_to_settle && self.settled_at > now).then_some(self.settled_at);
        let retry = self.queue.delayed.keys().next().map(|(at, _)| *at);
        let reservation_times = self.queue.arrivals.values().map(|key| {
            let job = &self.jobs[*key];
            job.waiting_since + self.options.reserve_after_ms
        });
        let reservation = reservation_times.filter(|due| *due > now).min();
        [probe, step, settled, retry, reservation]
            .into_iter()
            .flatten()
            .min()
    }
}
