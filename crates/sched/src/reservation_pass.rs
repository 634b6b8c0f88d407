use std::collections::{BTreeMap, BTreeSet, VecDeque};

use arbutuspick_model::{CellLevel, ClockTime, GangAdjacency};

use crate::cell_block::{CellBlock, full_blocks, set_bits};
use crate::cell_demand::CellDemand;
use crate::gang_queue::ShapeKey;
use crate::job_entry::{ArrivalRank, JobKey, JobPhase};
use crate::pool_state::resources_by_slot;
use crate::worker_load::{WorkerLoad, WorkerSlot};
use crate::{PlacementCore, PreemptReason};

/// Reservations of blocked jobs: when they are due, which cells they get, and their start.
impl PlacementCore {
    /// Starts the jobs whose reservation is free, and stops backfill on those that are otherwise free.
    ///
    /// Reservations are made first, so that an earlier arrival can take the cells of a later one.
    pub(crate) fn pass_reserved(&mut self, now: ClockTime) {
        for (key, loads) in self.reserved_loads() {
            if loads.iter().any(|load| !self.pool.is_up(load.slot)) {
                self.drop_reservation(key);
            }
        }
        self.make_reservations(now);
        self.swap_ready();
        self.pool.reopen();
        for (key, _) in self.reserved_loads() {
            // A start may have made another job due, which then took over cells of this one.
            let JobPhase::Queued {
                reservation: Some(loads),
            } = &self.jobs[key].phase
            else {
                continue;
            };
            let loads = loads.clone();
            if !self.has_budget() {
                return;
            }
            if self.pool.are_unclaimed(&loads) {
                self.start_reserved(key, loads, now);
                if std::mem::take(&mut self.newly_due) {
                    self.make_reservations(now);
                }
            } else if let Some(yielding) = self.yielding_blockers(&loads) {
                // Otherwise new backfill would start on the cells that the stopped backfill left, and the
                // reservation would never be free: two jobs alternated 12,000 times in a measured run.
                self.pool.close(&loads);
                for job in yielding {
                    let stop_before = now + self.options.grace_ms;
                    self.preempt(job, PreemptReason::Reservation, stop_before, now);
                }
            }
        }
    }

    /// Gives cells that became free first to the earliest arrival that reserved cells of the same shape.
    fn swap_ready(&mut self) {
        let mut ready: BTreeMap<ShapeKey, VecDeque<JobKey>> = BTreeMap::new();
        let reserved = self.reserved_loads();
        for (key, loads) in &reserved {
            if self.pool.are_unclaimed(loads) {
                ready
                    .entry(ShapeKey::new(&self.jobs[*key].spec))
                    .or_default()
                    .push_back(*key);
            }
        }
        for (key, _) in reserved {
            let Some(other) = ready
                .get_mut(&ShapeKey::new(&self.jobs[key].spec))
                .and_then(VecDeque::pop_front)
            else {
                continue;
            };
            if let Some([job, other]) = self.jobs.get_disjoint_mut([key, other]) {
                std::mem::swap(&mut job.phase, &mut other.phase);
            }
        }
    }

    /// Returns the reservations in order of arrival.
    fn reserved_loads(&self) -> Vec<(JobKey, Vec<WorkerLoad>)> {
        let reserved = self.queue.reserved.values();
        reserved
            .filter_map(|key| match &self.jobs[*key].phase {
                JobPhase::Queued {
                    reservation: Some(loads),
                } => Some((*key, loads.clone())),
                _ => None,
            })
            .collect()
    }

    pub(crate) fn drop_reservation(&mut self, key: JobKey) {
        let entry = &mut self.jobs[key];
        let rank = entry.rank();
        if let JobPhase::Queued { reservation } = &mut entry.phase
            && let Some(loads) = reservation.take()
        {
            for load in &loads {
                self.pool.reserve(load, false);
            }
            self.queue.reserved.remove(&rank);
            // The job at the barrier may be able to reserve what this one gives back.
            self.dirty |= self.barrier.is_some();
        }
    }

    fn start_reserved(&mut self, key: JobKey, loads: Vec<WorkerLoad>, now: ClockTime) {
        self.dequeue(key);
        for load in &loads {
            self.pool.hold(key, load);
        }
        self.count_overtakes(key);
        self.start_attempt(key, loads, Vec::new(), false, now);
    }

    /// Returns the backfill to stop when nothing else keeps the reservation from starting.
    fn yielding_blockers(&self, loads: &[WorkerLoad]) -> Option<BTreeSet<JobKey>> {
        let mut blockers = BTreeSet::new();
        for load in loads {
            let rack = self.pool.rack(load.slot.rack);
            for bit in set_bits(rack.held & load.rack_mask()) {
                let holder = rack.holders[usize::from(bit)]?;
                if !self.is_yielding(holder) {
                    return None;
                }
                blockers.insert(holder);
            }
        }
        for (slot, need) in resources_by_slot(loads) {
            let worker = self.pool.worker(slot)?;
            let need = need.plus(worker.claimed);
            let mut free = worker.free;
            for (holder, amount) in &worker.held {
                if blockers.contains(holder) {
                    free = free.plus(*amount);
                }
            }
            for (holder, amount) in &worker.held {
                if !free.covers(need) && !blockers.contains(holder) && self.is_yielding(*holder) {
                    free = free.plus(*amount);
                    blockers.insert(*holder);
                }
            }
            if !free.covers(need) {
                return None;
            }
        }
        Some(blockers)
    }

    fn is_yielding(&self, holder: JobKey) -> bool {
        let hold = self.jobs[holder].hold();
        hold.is_some_and(|hold| hold.yielding || hold.ending.is_some())
    }

    /// Gives reservations to the blocked jobs that are due, in order of arrival.
    pub(crate) fn make_reservations(&mut self, now: ClockTime) {
        self.barrier = None;
        let mut feasible: BTreeMap<ShapeKey, bool> = BTreeMap::new();
        let mut made = 0;
        let arrivals: Vec<(ArrivalRank, JobKey)> = self
            .queue
            .arrivals
            .iter()
            .map(|(rank, key)| (*rank, *key))
            .collect();
        for (rank, key) in arrivals {
            if !self.is_due(key, now) || self.queue.reserved.contains_key(&rank) {
                continue;
            }
            let Some(demand) = self.borrowed_demand(key) else {
                continue;
            };
            let shape = ShapeKey::new(&self.jobs[key].spec);
            let fits = feasible
                .entry(shape)
                .or_insert_with(|| self.pool.fits_alive(&demand));
            if !*fits {
                continue;
            }
            if made >= self.options.max_new_reservations {
                self.barrier = Some(rank);
                self.dirty = true;
                return;
            }
            made += 1;
            if !self.reserve_for(key, rank, &demand) {
                self.barrier = Some(rank);
                return;
            }
        }
    }

    pub(crate) fn is_due(&self, key: JobKey, now: ClockTime) -> bool {
        let Self { jobs, options, .. } = self;
        let job = &jobs[key];
        job.overtaken >= options.max_overtakes
            || now.millis_since(job.waiting_since) >= options.reserve_after_ms
    }

    /// Reserves cells, taking those of later arrivals if there are no others.
    fn reserve_for(&mut self, key: JobKey, rank: ArrivalRank, demand: &CellDemand) -> bool {
        loop {
            if let Some(loads) = self.plan_reservation(demand) {
                self.queue.reserved.insert(rank, key);
                self.jobs[key].phase = JobPhase::Queued {
                    reservation: Some(loads),
                };
                return true;
            }
            match self.queue.reserved.last_key_value() {
                Some((last, later)) if *last > rank => {
                    let later = *later;
                    self.drop_reservation(later);
                }
                _ => return false,
            }
        }
    }

    /// Sets aside the cells with the least running work, or nothing when there are not enough.
    fn plan_reservation(&mut self, demand: &CellDemand) -> Option<Vec<WorkerLoad>> {
        let mut loads = Vec::new();
        let planned = if demand.runs.is_empty() {
            self.plan_processes(demand, &mut loads)
        } else {
            self.plan_cells(demand, &mut loads)
        };
        if planned.is_none() {
            for load in &loads {
                self.pool.reserve(load, false);
            }
            return None;
        }
        Some(loads)
    }

    fn plan_cells(&mut self, demand: &CellDemand, loads: &mut Vec<WorkerLoad>) -> Option<()> {
        for run in &demand.runs {
            for _ in 0..run.count {
                for load in self.least_work(run.level, run.tasks, demand)? {
                    self.pool.reserve(&load, true);
                    loads.push(load);
                }
            }
        }
        Some(())
    }

    fn least_work(&self, level: CellLevel, tasks: u32, demand: &CellDemand) -> Option<Vec<WorkerLoad>> {
        let mut best: Option<((u32, u32), CellBlock)> = None;
        for rack in 0..self.pool.racks.len() as u32 {
            let entry = self.pool.rack(rack);
            let usable = self.pool.alive.mask(rack) & !entry.reserved & !entry.claimed;
            for offset in set_bits(full_blocks(usable)[level as usize]) {
                let block = CellBlock { rack, offset, level };
                let cost = self.running_work(block);
                if best.as_ref().is_some_and(|(least, _)| *least <= cost) {
                    continue;
                }
                let loads = WorkerLoad::of_block(block, tasks, demand);
                if loads.iter().all(|load| self.pool.may_reserve(load)) {
                    best = Some((cost, block));
                }
                if cost == (0, 0) && best.is_some() {
                    return best.map(|(_, block)| WorkerLoad::of_block(block, tasks, demand));
                }
            }
        }
        best.map(|(_, block)| WorkerLoad::of_block(block, tasks, demand))
    }

    /// Returns the accelerators whose work has to end first: guaranteed work, which nobody stops, and
    /// other work that does not yield.
    fn running_work(&self, block: CellBlock) -> (u32, u32) {
        let rack = self.pool.rack(block.rack);
        let mut work = (0, 0);
        for bit in set_bits(rack.held & block.mask()) {
            let hold = rack.holders[usize::from(bit)].and_then(|holder| self.jobs[holder].hold());
            match hold {
                Some(hold) if hold.ending.is_some() || hold.yielding => {}
                Some(hold) if hold.is_firm() => work.0 += 1,
                _ => work.1 += 1,
            }
        }
        work
    }

    fn plan_processes(&mut self, demand: &CellDemand, loads: &mut Vec<WorkerLoad>) -> Option<()> {
        let shape = demand.shape;
        let mut slots: Vec<WorkerSlot> = self.pool.slots().collect();
        // Workers with the most free cores need the least running work to end.
        slots.sort_by_key(|slot| {
            let free = self.pool.worker(*slot).map_or(0, |worker| worker.free.cores);
            (u32::MAX - free, *slot)
        });
        if shape.adjacency == GangAdjacency::Worker {
            let load = slots
                .into_iter()
                .map(|slot| WorkerLoad::new(slot, 0, shape.tasks, 0, shape))
                .find(|load| self.pool.may_reserve(load))?;
            self.pool.reserve(&load, true);
            loads.push(load);
            return Some(());
        }
        if shape.adjacency == GangAdjacency::Rack {
            let rack = (0..self.pool.racks.len() as u32).find(|rack| {
                let places = (0..8).map(|place| WorkerSlot { rack: *rack, place });
                places
                    .map(|slot| self.pool.reservable_tasks(slot, demand))
                    .sum::<u32>()
                    >= shape.tasks
            })?;
            slots.retain(|slot| slot.rack == rack);
        }
        let mut left = shape.tasks;
        for slot in slots {
            let tasks = left.min(self.pool.reservable_tasks(slot, demand));
            if tasks > 0 {
                let load = WorkerLoad::new(slot, 0, tasks, 0, shape);
                self.pool.reserve(&load, true);
                loads.push(load);
                left -= tasks;
            }
        }
        (left == 0).then_some(())
    }
}
