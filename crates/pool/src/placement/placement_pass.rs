//! Places waiting units on workers, in the order of [`unit_order`](crate::placement::unit_order).

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use arbutuspick_model::ClockTime;

use crate::accounts::account_ledger::AccountLedger;
use crate::jobs::job_entry::{PlacementStage, RunProgress, TaskEntry, TaskPlacement};
use crate::keys::JobKey;
use crate::placement::blocked_needs::BlockedNeeds;
use crate::placement::contested_workers::mark_contested;
use crate::placement::placement_need::PlacementNeed;
use crate::placement::search_budget::SearchBudget;
use crate::placement::unit_order::Lateness;
use crate::placement::urgent_room::mark_urgent_room;
use crate::placement::wait_reason::WaitReason;
use crate::placement::waiting_unit::{RackMembers, WaitingUnit};
use crate::placement::worker_choice::{choose_gang, choose_worker};
use crate::placement::worker_search::{StepCounts, WorkerCandidate};
use crate::pool_core::{LatencySample, PoolCore};
use crate::preemption::preemption_pass::PreemptionOutcome;
use crate::workers::worker_kind::StepFit;
use crate::workers::worker_view::{RunAllocation, WorkerView};
use crate::{JobStage, PoolOrder, ResourceAmount, StartOrder, WorkerKey};

/// Time after which an order to start must not be sent, in milliseconds.
const START_SEND_LIMIT_MS: u64 = 2_000;

impl PoolCore {
    /// Places the units that fit, and frees capacity for others in the order of their rank.
    pub(crate) fn place_waiting_units(&mut self, now: ClockTime) {
        let context = self.unit_context();
        let mut units = self.waiting_units(&context, now);
        if units.is_empty() {
            self.reservations.clear();
            self.wait_counts.clear();
            return;
        }
        units.sort_by_key(|unit| unit.rank);
        let mut candidates = self.worker_candidates(|view| view.is_schedulable(now), now);
        let busy_services = busy_services(&candidates);
        for (service, demand) in &mut self.urgent_demand {
            mark_urgent_room(&mut candidates, service, demand.expected_workers(now));
        }
        self.urgent_room = candidates
            .iter()
            .filter(|candidate| candidate.urgent_room)
            .count();
        let racks = rack_members(&candidates);
        for unit in &mut units {
            unit.check_local_fit(&candidates, &racks);
            unit.limit_yield(busy_services.contains(&unit.need.service));
        }
        let paused = self.worker_candidates(|view| view.is_paused(now), now);
        if !paused.is_empty() {
            for unit in &mut units {
                unit.check_paused(busy_services.contains(&unit.need.service), &candidates, &paused);
            }
            if units.iter().any(|unit| unit.accepts_paused) {
                candidates.extend(paused);
            }
        }
        let mut ledger = self.account_ledger(now);
        self.serve_reservations(&mut units, &mut candidates, &mut ledger, now);
        let mut blocked = BlockedNeeds::default();
        let mut searches = SearchBudget::new(self.search_round);
        let mut placed_work = None;
        let mut forecast = None;
        let mut gangs_wait = None;
        let mut waiting = Vec::new();
        for unit in &units {
            if unit.tasks.is_empty() {
                if self.awaits_reservation(unit) {
                    waiting.push((unit, WaitReason::NoCapacity));
                }
                continue;
            }
            let need = unit.placement_need(busy_services.contains(&unit.need.service));
            let unplaced = self.place_unit(unit, &need, &mut candidates, &mut ledger, &mut blocked, now);
            if unplaced == 0 {
                continue;
            }
            // Nothing is freed or left free for tasks that the cap of their account keeps from starting.
            let open = ledger.startable_after_stops(unit, unplaced);
            waiting.push((unit, self.wait_reason(unit, &ledger, gangs_wait)));
            if open == 0 {
                let work = placed_work.get_or_insert_with(|| self.placed_work(&candidates, &context, now));
                let shortfall = ledger.shortfall(unit, unplaced);
                if self.preempt_own_account(unit, &need, shortfall, &candidates, work, now) {
                    ledger.take(unit, unplaced);
                    placed_work = None;
                }
                continue;
            }
            let mut outcome = PreemptionOutcome::Excluded;
            if searches.allows(self.search_round_of(unit)) {
                let work = placed_work.get_or_insert_with(|| self.placed_work(&candidates, &context, now));
                outcome = self.preempt_for(unit, &need, open, &mut candidates, work, now);
            }
            if outcome != PreemptionOutcome::Excluded {
                searches.count();
                self.set_search_round(unit, searches.round);
            }
            if outcome == PreemptionOutcome::Stopped {
                placed_work = None;
            }
            let is_reserved = matches!(outcome, PreemptionOutcome::Awaited | PreemptionOutcome::Stopped);
            if is_reserved {
                ledger.take(unit, open);
            }
            if unit.gang && !is_reserved && unit.rank.lateness != Lateness::Overdue {
                let forecast = forecast.get_or_insert_with(|| self.capacity_forecast(&candidates, now));
                let occurrence = self.jobs[unit.key].occurrences.get_mut(&unit.occurrence);
                let Some(step) = occurrence.map(|occurrence| &mut occurrence.steps[unit.step]) else {
                    continue;
                };
                let waits = mark_contested(&need, &mut candidates, forecast, &mut step.claim);
                if waits && gangs_wait.is_none() {
                    gangs_wait = Some(unit.key);
                }
            }
        }
        self.search_round = searches.next_round();
        self.record_wait_reasons(&waiting, gangs_wait, now);
    }

    /// Returns whether capacity is reserved for the unit that is not free yet.
    fn awaits_reservation(&self, unit: &WaitingUnit) -> bool {
        let mut reservations = self.reservations.iter();
        reservations.any(|reservation| {
            reservation.job == unit.key
                && reservation.occurrence == unit.occurrence
                && reservation.step == unit.step
        })
    }

    /// Returns why a unit waits that was not placed; `gangs_wait` names the first gang to which capacity is left.
    fn wait_reason(
        &self,
        unit: &WaitingUnit,
        ledger: &AccountLedger,
        gangs_wait: Option<JobKey>,
    ) -> WaitReason {
        match self.jobs[unit.key].step_fits.get(unit.step) {
            Some(StepFit::NoWorker) => WaitReason::NoWorker,
            Some(StepFit::TooLarge) => WaitReason::TooLarge,
            _ if ledger.startable(unit, unit.needed_together()) == 0 => WaitReason::AccountCap,
            _ if unit.yields_until.is_some() && gangs_wait.is_some() => WaitReason::BehindOthers,
            _ if unit.leaves_urgent_room && self.urgent_room > 0 => WaitReason::BehindOthers,
            _ => WaitReason::NoCapacity,
        }
    }

    /// Returns the round of the latest search for runs to preempt for the unit.
    fn search_round_of(&self, unit: &WaitingUnit) -> u64 {
        let occurrence = self.jobs[unit.key].occurrences.get(&unit.occurrence);
        occurrence.map_or(0, |occurrence| occurrence.steps[unit.step].search_round)
    }

    fn set_search_round(&mut self, unit: &WaitingUnit, round: u64) {
        if let Some(occurrence) = self.jobs[unit.key].occurrences.get_mut(&unit.occurrence) {
            occurrence.steps[unit.step].search_round = round;
        }
    }

    fn worker_candidates<F>(&self, allowed: F, now: ClockTime) -> Vec<WorkerCandidate>
    where
        F: Fn(&WorkerView) -> bool,
    {
        let usable = self
            .workers
            .iter()
            .filter(|(_, view)| allowed(view) && !self.closed_centres.contains(&view.report.centre));
        let candidates = usable.map(|(worker, view)| WorkerCandidate {
            worker,
            free: view.free(),
            capacity: view.report.capacity,
            rack: view.rack,
            contested_until: None,
            service: view.report.service.clone(),
            labels: view.labels.clone(),
            suspect: view.health.is_suspect(now),
            paused: view.is_paused(now),
            slow: view.health.is_slow(now),
            tier: view.speed.tier(),
            urgent_room: false,
        });
        candidates.collect()
    }

    /// Starts as many tasks of the unit as fit; returns the number of tasks that remain.
    fn place_unit(
        &mut self,
        unit: &WaitingUnit,
        need: &PlacementNeed,
        candidates: &mut [WorkerCandidate],
        ledger: &mut AccountLedger,
        blocked: &mut BlockedNeeds,
        now: ClockTime,
    ) -> usize {
        let startable = ledger.startable(unit, unit.tasks.len());
        if startable == 0 {
            return unit.tasks.len();
        }
        if blocked.contains(need, candidates) {
            return unit.tasks.len();
        }
        let shunned = self.shunned_workers(unit, need, candidates, now);
        if unit.gang {
            let Some(choice) = choose_gang(need, unit.preference, candidates, &shunned) else {
                blocked.insert(need.clone(), &StepCounts::new(), !shunned.is_empty());
                return unit.tasks.len();
            };
            let run = self.next_gang_run(unit);
            let mut placed = Vec::with_capacity(unit.tasks.len());
            for (task, index) in unit.tasks.iter().zip(&choice.candidates) {
                candidates[*index].free -= unit.need.amount;
                self.start_task(unit, *task, run, candidates[*index].worker, choice.remote, now);
                placed.push((*task, candidates[*index].worker));
            }
            ledger.take(unit, placed.len());
            self.log_placed(unit, &placed, choice.remote, now);
            return 0;
        }
        let mut counts = self.step_counts(unit);
        let mut placed = Vec::with_capacity(unit.tasks.len());
        let mut any_remote = false;
        for task in &unit.tasks {
            if placed.len() == startable {
                break;
            }
            let avoided_worker = self.avoided_worker(unit, *task);
            let Some((index, remote)) = choose_worker(
                need,
                unit.preference,
                candidates,
                &counts,
                avoided_worker,
                &shunned,
            ) else {
                blocked.insert(need.clone(), &counts, avoided_worker.is_some());
                if avoided_worker.is_some() {
                    // The other tasks may run there.
                    continue;
                }
                break;
            };
            candidates[index].free -= unit.need.amount;
            *counts.entry(candidates[index].worker).or_default() += 1;
            self.start_task(unit, *task, None, candidates[index].worker, remote, now);
            placed.push((*task, candidates[index].worker));
            any_remote |= remote;
        }
        ledger.take(unit, placed.len());
        self.log_placed(unit, &placed, any_remote, now);
        unit.tasks.len() - placed.len()
    }

    /// Logs the tasks of a unit that were placed together.
    pub(crate) fn log_placed(
        &self,
        unit: &WaitingUnit,
        placed: &[(usize, WorkerKey)],
        remote: bool,
        now: ClockTime,
    ) {
        if placed.is_empty() {
            return;
        }
        let job = &self.jobs[unit.key];
        let placements = placed
            .iter()
            .map(|(task, worker)| format!("{task}@{}", self.workers[*worker].report.id));
        log::info!(
            "[place] job={} occurrence={} step={} waited_ms={} slack_ms={} lateness={:?} remote={remote} policy={} tasks={}",
            job.id,
            unit.occurrence,
            unit.step,
            unit.waited_ms,
            unit.rank.slack_ms(now),
            unit.rank.lateness,
            self.policy.version,
            placements.collect::<Vec<_>>().join(",")
        );
    }

    /// Returns all tasks of the step of a unit.
    fn step_tasks(&self, unit: &WaitingUnit) -> &[TaskEntry] {
        let job = self.jobs.get(unit.key);
        let occurrence = job.and_then(|job| job.occurrences.get(&unit.occurrence));
        occurrence.map_or(&[], |occurrence| &occurrence.steps[unit.step].tasks)
    }

    fn avoided_worker(&self, unit: &WaitingUnit, task: usize) -> Option<WorkerKey> {
        let avoided = self.step_tasks(unit).get(task)?.avoided_worker;
        avoided.map(|avoided| avoided.worker)
    }

    /// Returns the suspect workers to which tasks of the unit that failed there do not return yet, since no others could
    /// run them.
    pub(crate) fn shunned_workers(
        &self,
        unit: &WaitingUnit,
        need: &PlacementNeed,
        candidates: &[WorkerCandidate],
        now: ClockTime,
    ) -> Vec<WorkerKey> {
        let tasks = self.step_tasks(unit);
        let waiting = unit.tasks.iter().filter_map(|task| tasks.get(*task));
        let avoided = waiting.filter_map(|task| task.avoided_worker);
        let failing = avoided.filter(|avoided| {
            let view = self.workers.get(avoided.worker);
            now < avoided.retry_at && view.is_some_and(|view| view.health.is_suspect(now))
        });
        let mut shunned: Vec<WorkerKey> = failing.map(|avoided| avoided.worker).collect();
        if !shunned.is_empty() {
            let others = candidates.iter().filter(|other| {
                need.may_run_in_rack(other) && !other.paused && !shunned.contains(&other.worker)
            });
            if need.fits_on(others) {
                shunned.clear();
            }
        }
        shunned
    }

    /// Counts the tasks of the step on each worker, including those with a reservation there.
    pub(crate) fn step_counts(&self, unit: &WaitingUnit) -> StepCounts {
        let mut counts = StepCounts::new();
        if unit.need.spread_limit.is_none() {
            return counts;
        }
        let tasks = self.step_tasks(unit);
        for placement in tasks.iter().filter_map(|task| task.placement) {
            *counts.entry(placement.worker).or_default() += 1;
        }
        let reservations = self.reservations.iter().filter(|reservation| {
            reservation.job == unit.key
                && reservation.occurrence == unit.occurrence
                && reservation.step == unit.step
        });
        for worker in reservations.flat_map(|reservation| &reservation.workers) {
            *counts.entry(*worker).or_default() += 1;
        }
        counts
    }

    /// Returns the number of the next run of a gang, which all its members share.
    pub(crate) fn next_gang_run(&self, unit: &WaitingUnit) -> Option<u32> {
        let occurrence = self.jobs.get(unit.key)?.occurrences.get(&unit.occurrence)?;
        let latest = occurrence.steps[unit.step]
            .tasks
            .iter()
            .map(|task| task.run)
            .max();
        latest.map(|run| run + 1)
    }

    /// Places a task on a worker and orders its start; `gang_run` is the run number that a gang shares.
    pub(crate) fn start_task(
        &mut self,
        unit: &WaitingUnit,
        index: usize,
        gang_run: Option<u32>,
        worker: WorkerKey,
        remote: bool,
        now: ClockTime,
    ) {
        let job = &mut self.jobs[unit.key];
        let name = job.task_name(unit.occurrence, unit.step, index);
        let spec = job.spec.clone();
        if job.stage == JobStage::Queued {
            job.stage = JobStage::Running;
            let waited_ms = now.millis_since(job.arrived_at);
            self.latency_samples.push(LatencySample::FirstStart(waited_ms));
        }
        let Some(task) = job.task_mut(&name) else { return };
        task.run = gang_run.unwrap_or(task.run + 1);
        task.placement = Some(TaskPlacement {
            worker,
            stage: PlacementStage::Starting,
            since: now,
            remote,
        });
        task.stop_cause = None;
        task.progress = RunProgress {
            is_start_unknown: !task.checkpoint.is_empty(),
            ..RunProgress::default()
        };
        let (run, checkpoint) = (task.run, task.checkpoint.clone());
        let view = &mut self.workers[worker];
        view.allocations.insert(
            (name.clone(), run),
            RunAllocation {
                amount: unit.need.amount,
                account: Some(unit.account.clone()),
                expected_since: None,
                ordered_stop: None,
                listed: false,
                unexpected_since: None,
            },
        );
        self.orders.push(PoolOrder::Start(StartOrder {
            task: name,
            run,
            spec,
            checkpoint,
            worker,
            send_before: now + START_SEND_LIMIT_MS,
        }));
        self.mark_changed(unit.key);
    }
}

fn rack_members(candidates: &[WorkerCandidate]) -> RackMembers {
    let mut racks = RackMembers::new();
    for (index, candidate) in candidates.iter().enumerate() {
        if let Some(rack) = candidate.rack {
            racks.entry(rack).or_default().push(index);
        }
    }
    racks
}

/// Returns the services of which more than half of the accelerators or processors are in use.
fn busy_services(candidates: &[WorkerCandidate]) -> HashSet<Arc<str>> {
    let mut sums: HashMap<&Arc<str>, (ResourceAmount, ResourceAmount)> = HashMap::new();
    for candidate in candidates {
        let (free, capacity) = sums.entry(&candidate.service).or_default();
        *free += candidate.free;
        *capacity += candidate.capacity;
    }
    let busy = sums.into_iter().filter(|(_, (free, capacity))| {
        free.accelerators * 2 < capacity.accelerators || free.millicores * 2 < capacity.millicores
    });
    busy.map(|(service, _)| service.clone()).collect()
}
