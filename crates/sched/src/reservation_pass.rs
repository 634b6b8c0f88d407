use std::collections::{BTreeMap, BTreeSet, VecDeque};

use arbutuspick_model::{CellLevel, ClockTime, GangAdjacency};

use crate::cell_block::{CellBlock, full_blocks, set_bits};
use crate::cell_demand::CellDemand;
use crate::gang_queue::ShapeKey;
use crate::job_entry::{ArrivalRank, JobKey, JobPhase};
use crate::pool_state::resources_by_slot;
use crate::worker_load::{WorkerLoad, WorkerSlot};
use crate::{PlacementCore, PreemptReason};

/// Reservations of blocked jobs: when they are made, which cells they cover, and the start of their jobs.
impl PlacementCore {
    /// Starts the jobs whose reserved cells are free, and preempts backfill where nothing else blocks a
    /// start.
    ///
    /// New reservations are made first, so that an earlier arrival can take over the cells of a later one.
    pub(crate) fn run_reservation_pass(&mut self, now: ClockTime) {
        for (key, loads) in self.reserved_loads() {
            if loads.iter().any(|load| !self.pool.is_up(load.slot)) {
                self.drop_reservation(key);
            }
        }
        self.make_reservations(now);
        self.reassign_ready();
        self.pool.unblock_backfill();
        for (key, _) in self.reserved_loads() {
            // A start may have made another job due for a reservation, which then took over these cells.
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
            if self.pool.can_start_reserved(&loads) {
                self.start_reserved(key, loads, now);
                if std::mem::take(&mut self.reservation_due) {
                    self.make_reservations(now);
                }
            } else if let Some(blockers) = self.preemptible_blockers(&loads) {
                // Otherwise new backfill would start on the cells that the preempted backfill leaves, and the
                // reservation would never become free: in one run two jobs alternated 12,000 times.
                self.pool.block_backfill(&loads);
                for job in blockers {
                    let stop_before = now + self.options.grace_ms;
                    self.preempt(job, PreemptReason::Reservation, stop_before, now);
                }
            }
        }
    }

    /// Exchanges reservations among jobs of the same shape, so that the earliest arrivals get the cells that
    /// are free first.
    fn reassign_ready(&mut self) {
        let mut ready: BTreeMap<ShapeKey, VecDeque<JobKey>> = BTreeMap::new();
        let reserved = self.reserved_loads();
        for (key, loads) in &reserved {
            if self.pool.can_start_reserved(loads) {
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
            // The job at the barrier may be able to reserve the released cells.
            self.dirty |= self.barrier.is_some();
        }
    }

    fn start_reserved(&mut self, key: JobKey, loads: Vec<WorkerLoad>, now: ClockTime) {
        self.dequeue(key);
        for load in &loads {
            self.pool.allocate(key, load);
        }
        self.count_overtakes(key);
        self.start_attempt(key, loads, Vec::new(), false, now);
    }

    /// Returns the attempts that block the reservation if all of them are backfill or already preempted,
    /// otherwise `None`.
    fn preemptible_blockers(&self, loads: &[WorkerLoad]) -> Option<BTreeSet<JobKey>> {
        let mut blockers = BTreeSet::new();
        for load in loads {
            let rack = self.pool.rack(load.slot.rack);
            for bit in set_bits(rack.allocated & load.rack_mask()) {
                let owner = rack.owners[usize::from(bit)]?;
                if !self.is_backfill_or_preempted(owner) {
                    return None;
                }
                blockers.insert(owner);
            }
        }
        for (slot, need) in resources_by_slot(loads) {
            let worker = self.pool.worker(slot)?;
            let need = need.plus(worker.claimed);
            let mut free = worker.free;
            for (owner, amount) in &worker.allocated {
                if blockers.contains(owner) {
                    free = free.plus(*amount);
                }
            }
            for (owner, amount) in &worker.allocated {
                if !free.covers(need) && !blockers.contains(owner) && self.is_backfill_or_preempted(*owner) {
                    free = free.plus(*amount);
                    blockers.insert(*owner);
                }
            }
            if !free.covers(need) {
                return None;
            }
        }
        Some(blockers)
    }

    fn is_backfill_or_preempted(&self, owner: JobKey) -> bool {
        let allocation = self.jobs[owner].allocation();
        allocation.is_some_and(|allocation| allocation.backfill || allocation.preemption.is_some())
    }

    /// Makes reservations for the blocked jobs that are due, in order of arrival.
    pub(crate) fn make_reservations(&mut self, now: ClockTime) {
        self.barrier = None;
        let mut fits_by_shape: BTreeMap<ShapeKey, bool> = BTreeMap::new();
        let mut made = 0;
        let arrivals: Vec<(ArrivalRank, JobKey)> = self
            .queue
            .arrivals
            .iter()
            .map(|(rank, key)| (*rank, *key))
            .collect();
        for (rank, key) in arrivals {
            if !self.is_reservation_due(key, now) || self.queue.reserved.contains_key(&rank) {
                continue;
            }
            let Some(demand) = self.borrowed_demand(key) else {
                continue;
            };
            let shape = ShapeKey::new(&self.jobs[key].spec);
            let fits = fits_by_shape
                .entry(shape)
                .or_insert_with(|| self.pool.fits_up_workers(&demand));
            if !*fits {
                continue;
            }
            if made >= self.options.max_new_reservations {
                self.barrier = Some(rank);
                self.dirty = true;
                return;
            }
            made += 1;
            if !self.make_reservation(key, rank, &demand) {
                self.barrier = Some(rank);
                return;
            }
        }
    }

    pub(crate) fn is_reservation_due(&self, key: JobKey, now: ClockTime) -> bool {
        let Self { jobs, options, .. } = self;
        let job = &jobs[key];
        job.overtaken >= options.max_overtakes
            || now.millis_since(job.waiting_since) >= options.reserve_after_ms
    }

    /// Makes a reservation for a job, dropping the reservations of later arrivals if necessary.
    fn make_reservation(&mut self, key: JobKey, rank: ArrivalRank, demand: &CellDemand) -> bool {
        loop {
            if let Some(loads) = self.reserve_gang(demand) {
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

    /// Reserves the least busy cells for the whole gang, or none if it does not fit.
    fn reserve_gang(&mut self, demand: &CellDemand) -> Option<Vec<WorkerLoad>> {
        let mut loads = Vec::new();
        let reserved_all = if demand.requirements.is_empty() {
            self.reserve_cpu_tasks(demand, &mut loads)
        } else {
            self.reserve_cells(demand, &mut loads)
        };
        if reserved_all.is_none() {
            for load in &loads {
                self.pool.reserve(load, false);
            }
            return None;
        }
        Some(loads)
    }

    fn reserve_cells(&mut self, demand: &CellDemand, loads: &mut Vec<WorkerLoad>) -> Option<()> {
        for requirement in &demand.requirements {
            for _ in 0..requirement.count {
                for load in self.find_least_busy(requirement.level, requirement.tasks, demand)? {
                    self.pool.reserve(&load, true);
                    loads.push(load);
                }
            }
        }
        Some(())
    }

    /// Returns the loads of the unreserved cell with the fewest blocking accelerators. Those in use by
    /// guaranteed attempts are compared first.
    fn find_least_busy(&self, level: CellLevel, tasks: u32, demand: &CellDemand) -> Option<Vec<WorkerLoad>> {
        let mut best: Option<((u32, u32), CellBlock)> = None;
        for rack in 0..self.pool.racks.len() as u32 {
            let entry = self.pool.rack(rack);
            let usable = self.pool.up.mask(rack) & !entry.reserved & !entry.claimed;
            for offset in set_bits(full_blocks(usable)[level as usize]) {
                let block = CellBlock { rack, offset, level };
                let cost = self.blocking_accelerators(block);
                if best.as_ref().is_some_and(|(least, _)| *least <= cost) {
                    continue;
                }
                let loads = WorkerLoad::for_block(block, tasks, demand);
                if loads.iter().all(|load| self.pool.may_reserve(load)) {
                    best = Some((cost, block));
                }
                if cost == (0, 0) && best.is_some() {
                    return best.map(|(_, block)| WorkerLoad::for_block(block, tasks, demand));
                }
            }
        }
        best.map(|(_, block)| WorkerLoad::for_block(block, tasks, demand))
    }

    /// Returns the numbers of accelerators in use by guaranteed attempts, which are never preempted for a
    /// reservation, and by other attempts that are neither backfill nor already preempted.
    fn blocking_accelerators(&self, block: CellBlock) -> (u32, u32) {
        let rack = self.pool.rack(block.rack);
        let mut blocking = (0, 0);
        for bit in set_bits(rack.allocated & block.mask()) {
            let allocation = rack.owners[usize::from(bit)].and_then(|owner| self.jobs[owner].allocation());
            match allocation {
                Some(allocation) if allocation.preemption.is_some() || allocation.backfill => {}
                Some(allocation) if allocation.is_guaranteed() => blocking.0 += 1,
                _ => blocking.1 += 1,
            }
        }
        blocking
    }

    fn reserve_cpu_tasks(&mut self, demand: &CellDemand, loads: &mut Vec<WorkerLoad>) -> Option<()> {
        let shape = demand.shape;
        let mut slots: Vec<WorkerSlot> = self.pool.slots().collect();
        // Workers with the most free cores first: there, the fewest running tasks have to end.
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
        let mut remaining = shape.tasks;
        for slot in slots {
            let tasks = remaining.min(self.pool.reservable_tasks(slot, demand));
            if tasks > 0 {
                let load = WorkerLoad::new(slot, 0, tasks, 0, shape);
                self.pool.reserve(&load, true);
                loads.push(load);
                remaining -= tasks;
            }
        }
        (remaining == 0).then_some(())
    }
}
