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

/// Which accelerators a search may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PoolArea {
    /// Free and not set aside for anybody.
    Open,
    /// Free, including reserved ones; for backfill that yields.
    Lendable,
}

/// Workers of the data centre and what they hold.
#[derive(Default)]
pub(crate) struct PoolState {
    pub(crate) racks: Vec<RackEntry>,
    rack_groups: BTreeMap<RackName, Vec<u32>>,
    names: BTreeMap<WorkerName, WorkerSlot>,
    /// All known workers.
    pub(crate) known: BlockIndex,
    /// Workers that may take work, whatever they hold.
    pub(crate) alive: BlockIndex,
    pub(crate) open: BlockIndex,
    pub(crate) lendable: BlockIndex,
    /// What a new guaranteed cell may use: everything but guaranteed cells in use.
    pub(crate) claimable: BlockIndex,
    /// Workers by free cores, for work on processors only.
    by_cores: BTreeSet<(u32, WorkerSlot)>,
    listed_cores: BTreeMap<WorkerSlot, u32>,
    /// Capacities of the known workers, for the reference worker.
    capacities: BTreeMap<(u32, u64, u32), u32>,
}

impl PoolState {
    pub(crate) fn slot(&self, worker: &WorkerName) -> Option<WorkerSlot> {
        self.names.get(worker).copied()
    }

    pub(crate) fn slots(&self) -> impl Iterator<Item = WorkerSlot> + '_ {
        self.names.values().copied()
    }

    pub(crate) fn worker_count(&self) -> usize {
        self.names.len()
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
        self.lendable.counts()
    }

    /// Adds a worker, or updates the capacity of a known one; returns its place and whether it is new.
    pub(crate) fn join(
        &mut self,
        name: &WorkerName,
        rack: &RackName,
        capacity: WorkerCapacity,
        health: HealthMachine,
    ) -> (WorkerSlot, bool) {
        if let Some(slot) = self.slot(name) {
            let known = self.worker_mut(slot).map(|worker| worker.capacity);
            if known != Some(capacity) {
                self.count_capacity(known, false);
                self.count_capacity(Some(capacity), true);
                if let Some(worker) = self.worker_mut(slot) {
                    worker.resize(capacity);
                }
                self.list_cores(slot);
                self.refresh(slot.rack);
            }
            return (slot, false);
        }
        let slot = self.vacant_slot(name, rack);
        let entry = WorkerEntry::new(name.clone(), capacity, health);
        let place = &mut self.racks[slot.rack as usize].workers[usize::from(slot.place)];
        if let Some(gone) = place.replace(entry) {
            self.names.remove(&gone.name);
            self.count_capacity(Some(gone.capacity), false);
        }
        self.names.insert(name.clone(), slot);
        self.count_capacity(Some(capacity), true);
        self.refresh(slot.rack);
        (slot, true)
    }

    /// Returns whether the rack is full but for lost workers that still hold something.
    ///
    /// A replacement that took a ninth place instead would leave the rack without a whole cell for good.
    pub(crate) fn awaits_place(&self, worker: &WorkerName, rack: &RackName) -> bool {
        let mut lost = false;
        for index in self.rack_groups.get(rack).into_iter().flatten() {
            for place in &self.racks[*index as usize].workers {
                let Some(entry) = place.as_ref().filter(|entry| entry.name != *worker) else {
                    return false;
                };
                if entry.is_lost() {
                    lost = true;
                    if entry.is_vacant() {
                        return false;
                    }
                }
            }
        }
        lost
    }

    /// Returns the place for a new worker: one never used, or else that of a lost worker.
    ///
    /// The number at the end of the name decides if it can, so that every placement holder comes to the
    /// same places, whatever order workers report in.
    fn vacant_slot(&mut self, name: &WorkerName, rack: &RackName) -> WorkerSlot {
        let preferred = trailing_number(name.as_str()) % 8;
        let groups = self.rack_groups.get(rack).cloned().unwrap_or_default();
        let find = |wanted: &dyn Fn(usize, Option<&WorkerEntry>) -> bool| {
            groups.iter().find_map(|rack| {
                let places = &self.racks[*rack as usize].workers;
                let place = (0..8).find(|place| wanted(*place, places[*place].as_ref()))?;
                let (rack, place) = (*rack, place as u8);
                Some(WorkerSlot { rack, place })
            })
        };
        let found = find(&|place, worker| place == preferred && worker.is_none())
            .or_else(|| find(&|_, worker| worker.is_none()))
            .or_else(|| find(&|_, worker| worker.is_some_and(WorkerEntry::is_vacant)));
        if let Some(slot) = found {
            return slot;
        }
        let index = self.racks.len() as u32;
        self.racks.push(RackEntry::new(rack.clone()));
        self.rack_groups.entry(rack.clone()).or_default().push(index);
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

    /// Returns the least and the most that a worker with accelerators has.
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

    /// Brings the indexes up to date with a rack.
    pub(crate) fn refresh(&mut self, rack: u32) {
        let entry = &self.racks[rack as usize];
        let (known, up) = (entry.known(), entry.up());
        let free = up & !entry.held & !entry.claimed;
        let closing = entry.closing;
        let (open, claimable) = (free & !entry.reserved, up & !entry.bound);
        self.known.set(rack, known);
        self.alive.set(rack, up);
        self.lendable.set(rack, free & !closing);
        self.open.set(rack, open);
        self.claimable.set(rack, claimable);
    }

    fn list_cores(&mut self, slot: WorkerSlot) {
        let cores = self
            .worker(slot)
            .filter(|worker| worker.up)
            .map(|worker| worker.free.cores);
        if let Some(listed) = self.listed_cores.remove(&slot) {
            self.by_cores.remove(&(listed, slot));
        }
        if let Some(cores) = cores {
            self.listed_cores.insert(slot, cores);
            self.by_cores.insert((cores, slot));
        }
    }

    pub(crate) fn set_up(&mut self, slot: WorkerSlot, up: bool) {
        if let Some(worker) = self.worker_mut(slot)
            && worker.up != up
        {
            worker.up = up;
            self.list_cores(slot);
            self.refresh(slot.rack);
        }
    }

    pub(crate) fn hold(&mut self, job: JobKey, load: &WorkerLoad) {
        let rack = self.rack_mut(load.slot.rack);
        let mask = load.rack_mask() & !rack.held;
        rack.held |= mask;
        for bit in set_bits(mask) {
            rack.holders[usize::from(bit)] = Some(job);
        }
        if let Some(worker) = self.worker_mut(load.slot) {
            worker.hold(job, load.resources());
        }
        self.list_cores(load.slot);
        self.refresh(load.slot.rack);
    }

    pub(crate) fn release(&mut self, job: JobKey, load: &WorkerLoad) {
        let rack = self.rack_mut(load.slot.rack);
        for bit in set_bits(load.rack_mask()) {
            let holder = &mut rack.holders[usize::from(bit)];
            if *holder == Some(job) {
                *holder = None;
                rack.held &= !(1 << bit);
            }
        }
        if let Some(worker) = self.worker_mut(load.slot) {
            worker.release(job);
        }
        self.list_cores(load.slot);
        self.refresh(load.slot.rack);
    }

    /// Sets the load aside for a guaranteed job that waits for it, or gives it back.
    pub(crate) fn claim(&mut self, load: &WorkerLoad, claimed: bool) {
        let (mask, amount) = (load.rack_mask(), load.resources());
        let rack = self.rack_mut(load.slot.rack);
        rack.claimed = with_bits(rack.claimed, mask, claimed);
        if let Some(worker) = self.worker_mut(load.slot) {
            worker.claimed = with_amount(worker.claimed, amount, claimed);
        }
        self.refresh(load.slot.rack);
    }

    /// Sets the load aside for a blocked job, or gives it back.
    pub(crate) fn reserve(&mut self, load: &WorkerLoad, reserved: bool) {
        let (mask, amount) = (load.rack_mask(), load.resources());
        let rack = self.rack_mut(load.slot.rack);
        rack.reserved = with_bits(rack.reserved, mask, reserved);
        if let Some(worker) = self.worker_mut(load.slot) {
            worker.reserved = with_amount(worker.reserved, amount, reserved);
        }
        self.refresh(load.slot.rack);
    }

    /// Stops lending the accelerators of a reservation to backfill.
    pub(crate) fn close(&mut self, loads: &[WorkerLoad]) {
        for load in loads {
            self.rack_mut(load.slot.rack).closing |= load.rack_mask();
            self.refresh(load.slot.rack);
        }
    }

    /// Lends reserved accelerators again.
    pub(crate) fn reopen(&mut self) {
        for rack in 0..self.racks.len() as u32 {
            if std::mem::take(&mut self.rack_mut(rack).closing) != 0 {
                self.refresh(rack);
            }
        }
    }

    /// Marks accelerators as part of a guaranteed cell in use, or not.
    pub(crate) fn bind(&mut self, block: CellBlock, bound: bool) {
        let rack = self.rack_mut(block.rack);
        rack.bound = with_bits(rack.bound, block.mask(), bound);
        self.refresh(block.rack);
    }

    pub(crate) fn is_up(&self, slot: WorkerSlot) -> bool {
        self.worker(slot).is_some_and(|worker| worker.up)
    }

    /// Returns whether a guaranteed job can start on what it claimed.
    pub(crate) fn are_ready(&self, loads: &[WorkerLoad]) -> bool {
        let free = |load: &WorkerLoad| self.rack(load.slot.rack).held & load.rack_mask() == 0;
        loads.iter().all(free)
            && resources_by_slot(loads).into_iter().all(|(slot, need)| {
                let worker = self.worker(slot).filter(|worker| worker.up);
                worker.is_some_and(|worker| worker.free.covers(need))
            })
    }

    /// Returns whether a job can start on what it reserved, without what guaranteed jobs wait for.
    pub(crate) fn are_unclaimed(&self, loads: &[WorkerLoad]) -> bool {
        let free = |load: &WorkerLoad| {
            let rack = self.rack(load.slot.rack);
            (rack.held | rack.claimed) & load.rack_mask() == 0
        };
        loads.iter().all(free)
            && resources_by_slot(loads)
                .into_iter()
                .all(|(slot, need)| self.room(slot, PoolArea::Lendable).covers(need))
    }

    /// Returns whether the worker will have the cores and memory once its work has ended.
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

    /// Returns whether the worker has room for the load and did not fail the job before.
    pub(crate) fn suits(&self, load: &WorkerLoad, demand: &CellDemand, area: PoolArea) -> bool {
        self.has_room(load, area) && !demand.avoided.contains(&load.slot)
    }

    fn has_room(&self, load: &WorkerLoad, area: PoolArea) -> bool {
        self.room(load.slot, area).covers(load.resources())
    }

    /// Returns the cores and memory that the area has on the worker.
    pub(crate) fn room(&self, slot: WorkerSlot, area: PoolArea) -> HostResources {
        let Some(worker) = self.worker(slot).filter(|worker| worker.up) else {
            return HostResources::default();
        };
        let free = worker.free.minus(worker.claimed);
        match area {
            PoolArea::Open => free.minus(worker.reserved),
            PoolArea::Lendable => free,
        }
    }

    /// Returns the workers with at least so many free cores, those with fewest first.
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
    // Three digits decide the remainder modulo 8.
    name[name.len() - digits.min(3)..].parse().unwrap_or(0)
}

/// Adds up what the loads need on each worker.
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
