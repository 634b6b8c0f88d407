use std::collections::{BTreeMap, BTreeSet};

use arbutuspick_model::{RackName, WorkerCapacity, WorkerName};

use crate::block_index::BlockIndex;
use crate::cell_block::{CellBlock, set_bits};
use crate::cell_demand::CellDemand;
use crate::job_entry::JobKey;
use crate::rack_entry::RackEntry;
use crate::worker_entry::{HostResources, WorkerEntry};
use crate::worker_health::HealthMachine;
use crate::worker_load::{WorkerLoad, WorkerSlot};

/// The set of accelerators that a search may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PoolArea {
    /// Free accelerators that are neither claimed nor reserved.
    Unreserved,
    /// Free unclaimed accelerators including reserved ones, for preemptible backfill.
    Backfill,
}

/// Workers of the data centre and the use of their resources.
#[derive(Default)]
pub(crate) struct PoolState {
    pub(crate) racks: Vec<RackEntry>,
    /// Indexes of the racks with the same name; a rack with more than eight workers has several entries.
    racks_by_name: BTreeMap<RackName, Vec<u32>>,
    slots_by_name: BTreeMap<WorkerName, WorkerSlot>,
    /// Accelerators of all known workers, including lost ones.
    pub(crate) known: BlockIndex,
    /// Accelerators of the workers that may take new jobs, whether free or not.
    pub(crate) up: BlockIndex,
    /// Accelerators of `PoolArea::Unreserved`.
    pub(crate) unreserved: BlockIndex,
    /// Accelerators of `PoolArea::Backfill`, except those on which backfill is blocked.
    pub(crate) backfill: BlockIndex,
    /// Accelerators to which a guaranteed cell can be bound: those of no bound cell, on workers that are up.
    pub(crate) bindable: BlockIndex,
    /// Workers that are up by free cores, for CPU-only jobs.
    by_cores: BTreeSet<(u32, WorkerSlot)>,
    /// Number of cores under which each worker is listed in `by_cores`.
    indexed_cores: BTreeMap<WorkerSlot, u32>,
    /// Number of known workers by cores, memory and accelerators, for `reference_workers`.
    capacities: BTreeMap<(u32, u64, u32), u32>,
}

impl PoolState {
    pub(crate) fn slot(&self, worker: &WorkerName) -> Option<WorkerSlot> {
        self.slots_by_name.get(worker).copied()
    }

    pub(crate) fn slots(&self) -> impl Iterator<Item = WorkerSlot> + '_ {
        self.slots_by_name.values().copied()
    }

    pub(crate) fn worker_count(&self) -> usize {
        self.slots_by_name.len()
    }

    pub(crate) fn rack(&self, rack: u32) -> &RackEntry {
        &self.racks[rack as usize]
    }

    pub(crate) fn rack_mut(&mut self, rack: u32) -> &mut RackEntry {
        &mut self.racks[rack as usize]
    }

    pub(crate) fn worker(&self, slot: WorkerSlot) -> Option<&WorkerEntry> {
        self.racks.get(slot.rack as usize)?.workers[usize::from(slot.place)].as_ref()
    }

    pub(crate) fn worker_mut(&mut self, slot: WorkerSlot) -> Option<&mut WorkerEntry> {
        self.racks.get_mut(slot.rack as usize)?.workers[usize::from(slot.place)].as_mut()
    }

    pub(crate) fn free_counts(&self) -> crate::CellCounts {
        self.backfill.counts()
    }

    /// Adds a worker, or updates the capacity of a known one; returns its slot and whether it is new.
    pub(crate) fn join(
        &mut self,
        name: &WorkerName,
        rack: &RackName,
        capacity: WorkerCapacity,
        health: HealthMachine,
    ) -> (WorkerSlot, bool) {
        if let Some(slot) = self.slot(name) {
            let old_capacity = self.worker_mut(slot).map(|worker| worker.capacity);
            if old_capacity != Some(capacity) {
                self.count_capacity(old_capacity, false);
                self.count_capacity(Some(capacity), true);
                if let Some(worker) = self.worker_mut(slot) {
                    worker.set_capacity(capacity);
                }
                self.index_cores(slot);
                self.refresh(slot.rack);
            }
            return (slot, false);
        }
        let slot = self.choose_slot(name, rack);
        let entry = WorkerEntry::new(name.clone(), capacity, health);
        let entry_slot = &mut self.racks[slot.rack as usize].workers[usize::from(slot.place)];
        if let Some(replaced) = entry_slot.replace(entry) {
            self.slots_by_name.remove(&replaced.name);
            self.count_capacity(Some(replaced.capacity), false);
        }
        self.slots_by_name.insert(name.clone(), slot);
        self.count_capacity(Some(capacity), true);
        self.refresh(slot.rack);
        (slot, true)
    }

    /// Returns whether the rack is full and contains lost workers, all of which still have resources in use.
    ///
    /// The new worker has to wait for one of their slots: if it opened a ninth slot, the rack could never
    /// form a complete rack cell again.
    pub(crate) fn awaits_slot(&self, worker: &WorkerName, rack: &RackName) -> bool {
        let mut lost = false;
        for index in self.racks_by_name.get(rack).into_iter().flatten() {
            for worker_slot in &self.racks[*index as usize].workers {
                let Some(entry) = worker_slot.as_ref().filter(|entry| entry.name != *worker) else {
                    return false;
                };
                if entry.is_lost() {
                    lost = true;
                    if entry.is_replaceable() {
                        return false;
                    }
                }
            }
        }
        lost
    }

    /// Returns the slot for a new worker: preferably an empty one, then that of a replaceable worker, and
    /// otherwise one in a new rack entry.
    ///
    /// The number at the end of the worker's name selects the preferred slot, so that every placement holder
    /// assigns the same slots regardless of the order in which workers report.
    fn choose_slot(&mut self, name: &WorkerName, rack: &RackName) -> WorkerSlot {
        let preferred = trailing_number(name.as_str()) % 8;
        let indexes = self.racks_by_name.get(rack).cloned().unwrap_or_default();
        let find = |accepts: &dyn Fn(usize, Option<&WorkerEntry>) -> bool| {
            indexes.iter().find_map(|rack| {
                let places = &self.racks[*rack as usize].workers;
                let place = (0..8).find(|place| accepts(*place, places[*place].as_ref()))?;
                let (rack, place) = (*rack, place as u8);
                Some(WorkerSlot { rack, place })
            })
        };
        let found = find(&|place, worker| place == preferred && worker.is_none())
            .or_else(|| find(&|_, worker| worker.is_none()))
            .or_else(|| find(&|_, worker| worker.is_some_and(WorkerEntry::is_replaceable)));
        if let Some(slot) = found {
            return slot;
        }
        let index = self.racks.len() as u32;
        self.racks.push(RackEntry::new(rack.clone()));
        self.racks_by_name.entry(rack.clone()).or_default().push(index);
        let place = preferred as u8;
        WorkerSlot { rack: index, place }
    }

    fn count_capacity(&mut self, capacity: Option<WorkerCapacity>, added: bool) {
        let Some(capacity) = capacity else { return };
        let key = (capacity.cores, capacity.memory_mib, capacity.accelerators);
        let count = self.capacities.entry(key).or_default();
        if added {
            *count += 1;
        } else {
            *count -= 1;
            if *count == 0 {
                self.capacities.remove(&key);
            }
        }
    }

    /// Returns the least and the greatest cores and memory among the workers with accelerators.
    ///
    /// For the least values, workers with fewer than eight accelerators are scaled up to eight. The greatest
    /// values are not scaled, but are at least the scaled values of the kind of worker with the fewest cores.
    pub(crate) fn reference_workers(&self) -> (WorkerCapacity, WorkerCapacity) {
        let mut least: Option<WorkerCapacity> = None;
        let mut most: Option<WorkerCapacity> = None;
        for (cores, memory_mib, accelerators) in self.capacities.keys().copied().filter(|key| key.2 > 0) {
            let whole = WorkerCapacity {
                accelerators: 8,
                cores: cores * 8 / accelerators,
                memory_mib: memory_mib * 8 / u64::from(accelerators),
            };
            let low = least.get_or_insert(whole);
            low.cores = low.cores.min(whole.cores);
            low.memory_mib = low.memory_mib.min(whole.memory_mib);
            let high = most.get_or_insert(whole);
            high.cores = high.cores.max(cores);
            high.memory_mib = high.memory_mib.max(memory_mib);
        }
        (least.unwrap_or_default(), most.unwrap_or_default())
    }

    /// Updates the indexes after a change to a rack.
    pub(crate) fn refresh(&mut self, rack: u32) {
        let entry = &self.racks[rack as usize];
        let (known, up) = (entry.known(), entry.up());
        let free = up & !entry.allocated & !entry.claimed;
        let backfill_blocked = entry.backfill_blocked;
        let (unreserved, bindable) = (free & !entry.reserved, up & !entry.bound);
        self.known.set(rack, known);
        self.up.set(rack, up);
        self.backfill.set(rack, free & !backfill_blocked);
        self.unreserved.set(rack, unreserved);
        self.bindable.set(rack, bindable);
    }

    fn index_cores(&mut self, slot: WorkerSlot) {
        let cores = self
            .worker(slot)
            .filter(|worker| worker.up)
            .map(|worker| worker.free.cores);
        if let Some(indexed) = self.indexed_cores.remove(&slot) {
            self.by_cores.remove(&(indexed, slot));
        }
        if let Some(cores) = cores {
            self.indexed_cores.insert(slot, cores);
            self.by_cores.insert((cores, slot));
        }
    }

    pub(crate) fn set_worker_up(&mut self, slot: WorkerSlot, up: bool) {
        if let Some(worker) = self.worker_mut(slot)
            && worker.up != up
        {
            worker.up = up;
            self.index_cores(slot);
            self.refresh(slot.rack);
        }
    }

    pub(crate) fn allocate(&mut self, job: JobKey, load: &WorkerLoad) {
        let rack = self.rack_mut(load.slot.rack);
        let mask = load.rack_mask() & !rack.allocated;
        rack.allocated |= mask;
        for bit in set_bits(mask) {
            rack.owners[usize::from(bit)] = Some(job);
        }
        if let Some(worker) = self.worker_mut(load.slot) {
            worker.allocate(job, load.resources());
        }
        self.index_cores(load.slot);
        self.refresh(load.slot.rack);
    }

    pub(crate) fn release(&mut self, job: JobKey, load: &WorkerLoad) {
        let rack = self.rack_mut(load.slot.rack);
        for bit in set_bits(load.rack_mask()) {
            let owner = &mut rack.owners[usize::from(bit)];
            if *owner == Some(job) {
                *owner = None;
                rack.allocated &= !(1 << bit);
            }
        }
        if let Some(worker) = self.worker_mut(load.slot) {
            worker.release(job);
        }
        self.index_cores(load.slot);
        self.refresh(load.slot.rack);
    }

    /// Claims the load for a guaranteed job, or releases the claim.
    pub(crate) fn claim(&mut self, load: &WorkerLoad, claimed: bool) {
        let (mask, amount) = (load.rack_mask(), load.resources());
        let rack = self.rack_mut(load.slot.rack);
        rack.claimed = with_bits(rack.claimed, mask, claimed);
        if let Some(worker) = self.worker_mut(load.slot) {
            worker.claimed = with_amount(worker.claimed, amount, claimed);
        }
        self.refresh(load.slot.rack);
    }

    /// Reserves the load for a blocked job, or releases the reservation.
    pub(crate) fn reserve(&mut self, load: &WorkerLoad, reserved: bool) {
        let (mask, amount) = (load.rack_mask(), load.resources());
        let rack = self.rack_mut(load.slot.rack);
        rack.reserved = with_bits(rack.reserved, mask, reserved);
        if let Some(worker) = self.worker_mut(load.slot) {
            worker.reserved = with_amount(worker.reserved, amount, reserved);
        }
        self.refresh(load.slot.rack);
    }

    /// Excludes the accelerators of a reservation from backfill.
    pub(crate) fn block_backfill(&mut self, loads: &[WorkerLoad]) {
        for load in loads {
            self.rack_mut(load.slot.rack).backfill_blocked |= load.rack_mask();
            self.refresh(load.slot.rack);
        }
    }

    /// Allows backfill on all reserved accelerators again.
    pub(crate) fn unblock_backfill(&mut self) {
        for rack in 0..self.racks.len() as u32 {
            if std::mem::take(&mut self.rack_mut(rack).backfill_blocked) != 0 {
                self.refresh(rack);
            }
        }
    }

    /// Marks the accelerators of the block as bound to a guaranteed cell, or as unbound.
    pub(crate) fn bind(&mut self, block: CellBlock, bound: bool) {
        let rack = self.rack_mut(block.rack);
        rack.bound = with_bits(rack.bound, block.mask(), bound);
        self.refresh(block.rack);
    }

    pub(crate) fn is_up(&self, slot: WorkerSlot) -> bool {
        self.worker(slot).is_some_and(|worker| worker.up)
    }

    /// Returns whether a guaranteed job can start on its claimed loads.
    pub(crate) fn can_start_claimed(&self, loads: &[WorkerLoad]) -> bool {
        let free = |load: &WorkerLoad| self.rack(load.slot.rack).allocated & load.rack_mask() == 0;
        loads.iter().all(free)
            && resources_by_slot(loads).into_iter().all(|(slot, need)| {
                let worker = self.worker(slot).filter(|worker| worker.up);
                worker.is_some_and(|worker| worker.free.covers(need))
            })
    }

    /// Returns whether a job can start on its reserved loads, excluding resources claimed by guaranteed jobs.
    pub(crate) fn can_start_reserved(&self, loads: &[WorkerLoad]) -> bool {
        let free = |load: &WorkerLoad| {
            let rack = self.rack(load.slot.rack);
            (rack.allocated | rack.claimed) & load.rack_mask() == 0
        };
        loads.iter().all(free)
            && resources_by_slot(loads)
                .into_iter()
                .all(|(slot, need)| self.free_resources(slot, PoolArea::Backfill).covers(need))
    }

    /// Returns whether the worker has enough unclaimed and unreserved cores and memory, including those in
    /// use.
    pub(crate) fn may_reserve(&self, load: &WorkerLoad) -> bool {
        self.reservable(load.slot).covers(load.resources())
    }

    pub(crate) fn reservable_tasks(&self, slot: WorkerSlot, demand: &CellDemand) -> u32 {
        self.reservable(slot).task_count(demand)
    }

    fn reservable(&self, slot: WorkerSlot) -> HostResources {
        let worker = self.worker(slot).filter(|worker| worker.up);
        worker.map_or(HostResources::default(), |worker| {
            worker.total().minus(worker.claimed).minus(worker.reserved)
        })
    }

    /// Returns whether the worker has enough free cores and memory for the load and is not one to avoid.
    pub(crate) fn can_place(&self, load: &WorkerLoad, demand: &CellDemand, area: PoolArea) -> bool {
        self.has_room(load, area) && !demand.avoided_workers.contains(&load.slot)
    }

    fn has_room(&self, load: &WorkerLoad, area: PoolArea) -> bool {
        self.free_resources(load.slot, area).covers(load.resources())
    }

    /// Returns the free cores and memory of the worker that the area may use.
    pub(crate) fn free_resources(&self, slot: WorkerSlot, area: PoolArea) -> HostResources {
        let Some(worker) = self.worker(slot).filter(|worker| worker.up) else {
            return HostResources::default();
        };
        let free = worker.free.minus(worker.claimed);
        match area {
            PoolArea::Unreserved => free.minus(worker.reserved),
            PoolArea::Backfill => free,
        }
    }

    /// Returns the workers with at least this number of free cores, in ascending order of free cores.
    pub(crate) fn slots_by_cores(&self, cores: u32) -> Vec<WorkerSlot> {
        let first = WorkerSlot { rack: 0, place: 0 };
        self.by_cores
            .range((cores, first)..)
            .map(|(_, slot)| *slot)
            .collect()
    }
}

fn trailing_number(name: &str) -> usize {
    let digits = name.len() - name.trim_end_matches(|c: char| c.is_ascii_digit()).len();
    // The last three digits determine the remainder modulo 8.
    name[name.len() - digits.min(3)..].parse().unwrap_or(0)
}

/// Sums the cores and memory of the loads by worker.
pub(crate) fn resources_by_slot(loads: &[WorkerLoad]) -> BTreeMap<WorkerSlot, HostResources> {
    let mut needs: BTreeMap<WorkerSlot, HostResources> = BTreeMap::new();
    for load in loads {
        let need = needs.entry(load.slot).or_default();
        *need = need.plus(load.resources());
    }
    needs
}

fn with_bits(mask: u64, bits: u64, set: bool) -> u64 {
    if set { mask | bits } else { mask & !bits }
}

fn with_amount(total: HostResources, amount: HostResources, added: bool) -> HostResources {
    if added {
        total.plus(amount)
    } else {
        total.minus(amount)
    }
}
