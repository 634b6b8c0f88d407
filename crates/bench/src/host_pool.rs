use arbutuspick_model::{GangAdjacency, GangShape, WorkerCapacity, WorkerName};
use arbutuspick_sched::MemberPlacement;

/// Accelerators of a full rack.
const RACK_ACCELERATORS: u32 = 64;

/// Free resources of one worker.
#[derive(Clone, Debug)]
pub(crate) struct HostState {
    pub(crate) worker: WorkerName,
    pub(crate) rack: usize,
    /// Bit mask of the free accelerators.
    pub(crate) free_mask: u8,
    pub(crate) cores: u32,
    pub(crate) memory_mib: u64,
}

impl HostState {
    pub(crate) fn new(worker: WorkerName, rack: usize, capacity: WorkerCapacity) -> Self {
        Self {
            worker,
            rack,
            free_mask: ((1u16 << capacity.accelerators) - 1) as u8,
            cores: capacity.cores,
            memory_mib: capacity.memory_mib,
        }
    }

    /// Returns how many tasks of the shape fit at the same time, without regard to alignment.
    pub(crate) fn task_slots(&self, shape: &GangShape) -> u32 {
        let by_memory = (self.memory_mib / shape.memory_mib.max(1)) as u32;
        let by_accelerators = self
            .free_mask
            .count_ones()
            .checked_div(shape.accelerators)
            .unwrap_or(u32::MAX);
        by_accelerators
            .min(self.cores / shape.cores.max(1))
            .min(by_memory)
    }

    /// Allocates the first free accelerators to one task and returns their mask.
    fn allocate_task(&mut self, shape: &GangShape) -> u8 {
        let mut mask = 0;
        for _ in 0..shape.accelerators {
            let bit = (self.free_mask & !mask).trailing_zeros();
            mask |= 1u8 << bit;
        }
        self.allocate(mask, shape);
        mask
    }

    pub(crate) fn allocate(&mut self, mask: u8, shape: &GangShape) {
        self.free_mask &= !mask;
        self.cores -= shape.cores;
        self.memory_mib -= shape.memory_mib;
    }

    pub(crate) fn release(&mut self, mask: u8, shape: &GangShape) {
        self.free_mask |= mask;
        self.cores += shape.cores;
        self.memory_mib += shape.memory_mib;
    }
}

/// Workers of one data centre with their free resources.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostPool {
    pub(crate) hosts: Vec<HostState>,
}

impl HostPool {
    pub(crate) fn host_mut(&mut self, worker: &WorkerName) -> Option<&mut HostState> {
        self.hosts.iter_mut().find(|host| host.worker == *worker)
    }

    /// Allocates the whole gang on the first workers that fit and are not excluded, or allocates nothing.
    pub(crate) fn place(
        &mut self,
        shape: &GangShape,
        excluded: &[WorkerName],
    ) -> Option<Vec<MemberPlacement>> {
        let saved_hosts = self.hosts.clone();
        let placed = self.try_place(shape, excluded);
        if placed.is_none() {
            self.hosts = saved_hosts;
        }
        placed
    }

    fn try_place(&mut self, shape: &GangShape, excluded: &[WorkerName]) -> Option<Vec<MemberPlacement>> {
        let is_usable = |host: &HostState| !excluded.contains(&host.worker);
        let mut members = Vec::new();
        match shape.adjacency {
            GangAdjacency::Task => members.extend(self.allocate_tasks(shape, shape.tasks, is_usable)?),
            GangAdjacency::Worker => {
                let fits = |host: &&HostState| is_usable(host) && host.task_slots(shape) >= shape.tasks;
                let chosen_worker = self.hosts.iter().find(fits)?.worker.clone();
                members.extend(self.allocate_tasks(shape, shape.tasks, |host| host.worker == chosen_worker)?);
            }
            GangAdjacency::Rack => {
                let max_rack_tasks = RACK_ACCELERATORS / shape.accelerators.max(1);
                let mut remaining = shape.tasks;
                while remaining > 0 {
                    let tasks = remaining.min(max_rack_tasks);
                    let rack = self.first_fitting_rack(shape, tasks, is_usable)?;
                    let in_rack = |host: &HostState| host.rack == rack && is_usable(host);
                    members.extend(self.allocate_tasks(shape, tasks, in_rack)?);
                    remaining -= tasks;
                }
            }
        }
        Some(members)
    }

    fn first_fitting_rack<F>(&self, shape: &GangShape, tasks: u32, is_usable: F) -> Option<usize>
    where
        F: Fn(&HostState) -> bool,
    {
        let racks = self.hosts.iter().map(|host| host.rack).max()? + 1;
        (0..racks).find(|rack| {
            let candidates = self
                .hosts
                .iter()
                .filter(|host| host.rack == *rack && is_usable(host));
            candidates.map(|host| host.task_slots(shape)).sum::<u32>() >= tasks
        })
    }

    fn allocate_tasks<F>(
        &mut self,
        shape: &GangShape,
        tasks: u32,
        is_usable: F,
    ) -> Option<Vec<MemberPlacement>>
    where
        F: Fn(&HostState) -> bool,
    {
        let mut members = Vec::new();
        for host in &mut self.hosts {
            while (members.len() as u32) < tasks && is_usable(host) && host.task_slots(shape) > 0 {
                let accelerators = host.allocate_task(shape);
                let worker = host.worker.clone();
                members.push(MemberPlacement { worker, accelerators });
            }
        }
        (members.len() as u32 == tasks).then_some(members)
    }
}
