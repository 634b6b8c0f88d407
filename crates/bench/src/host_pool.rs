use arbutuspick_model::{GangAdjacency, GangShape, WorkerCapacity, WorkerName};
use arbutuspick_sched::MemberPlacement;

/// Accelerators of a full rack.
const RACK_ACCELERATORS: u32 = 64;

/// What is free on one worker.
#[derive(Clone, Debug)]
pub(crate) struct FreeHost {
    pub(crate) worker: WorkerName,
    pub(crate) rack: usize,
    pub(crate) free: u8,
    pub(crate) cores: u32,
    pub(crate) memory_mib: u64,
}

impl FreeHost {
    pub(crate) fn new(worker: WorkerName, rack: usize, capacity: WorkerCapacity) -> Self {
        Self {
            worker,
            rack,
            free: ((1u16 << capacity.accelerators) - 1) as u8,
            cores: capacity.cores,
            memory_mib: capacity.memory_mib,
        }
    }

    /// Returns how many tasks of the shape fit at the same time.
    pub(crate) fn slots(&self, shape: &GangShape) -> u32 {
        let by_memory = (self.memory_mib / shape.memory_mib.max(1)) as u32;
        let by_accelerators = self
            .free
            .count_ones()
            .checked_div(shape.accelerators)
            .unwrap_or(u32::MAX);
        by_accelerators
            .min(self.cores / shape.cores.max(1))
            .min(by_memory)
    }

    /// Holds one task on the first free accelerators and returns them.
    fn hold_task(&mut self, shape: &GangShape) -> u8 {
        let mut mask = 0;
        for _ in 0..shape.accelerators {
            let bit = (self.free & !mask).trailing_zeros();
            mask |= 1u8 << bit;
        }
        self.hold(mask, shape);
        mask
    }

    pub(crate) fn hold(&mut self, mask: u8, shape: &GangShape) {
        self.free &= !mask;
        self.cores -= shape.cores;
        self.memory_mib -= shape.memory_mib;
    }

    pub(crate) fn release(&mut self, mask: u8, shape: &GangShape) {
        self.free |= mask;
        self.cores += shape.cores;
        self.memory_mib += shape.memory_mib;
    }
}

/// Workers of one data centre with what is free on them.
#[derive(Clone, Debug, Default)]
pub(crate) struct HostPool {
    pub(crate) hosts: Vec<FreeHost>,
}

impl HostPool {
    pub(crate) fn host_mut(&mut self, worker: &WorkerName) -> Option<&mut FreeHost> {
        self.hosts.iter_mut().find(|host| host.worker == *worker)
    }

    /// Holds the whole gang on the first workers that fit, without the excluded ones, or holds nothing.
    pub(crate) fn place(
        &mut self,
        shape: &GangShape,
        excluded: &[WorkerName],
    ) -> Option<Vec<MemberPlacement>> {
        let before = self.hosts.clone();
        let placed = self.place_chunks(shape, excluded);
        if placed.is_none() {
            self.hosts = before;
        }
        placed
    }

    fn place_chunks(&mut self, shape: &GangShape, excluded: &[WorkerName]) -> Option<Vec<MemberPlacement>> {
        let usable = |host: &FreeHost| !excluded.contains(&host.worker);
        let mut members = Vec::new();
        match shape.adjacency {
            GangAdjacency::Task => members.extend(self.hold_tasks(shape, shape.tasks, usable)?),
            GangAdjacency::Worker => {
                let fits = |host: &&FreeHost| usable(host) && host.slots(shape) >= shape.tasks;
                let chosen = self.hosts.iter().find(fits)?.worker.clone();
                members.extend(self.hold_tasks(shape, shape.tasks, |host| host.worker == chosen)?);
            }
            GangAdjacency::Rack => {
                let rack_tasks = RACK_ACCELERATORS / shape.accelerators.max(1);
                let mut left = shape.tasks;
                while left > 0 {
                    let tasks = left.min(rack_tasks);
                    let rack = self.first_rack(shape, tasks, usable)?;
                    let here = |host: &FreeHost| host.rack == rack && usable(host);
                    members.extend(self.hold_tasks(shape, tasks, here)?);
                    left -= tasks;
                }
            }
        }
        Some(members)
    }

    fn first_rack<F>(&self, shape: &GangShape, tasks: u32, usable: F) -> Option<usize>
    where
        F: Fn(&FreeHost) -> bool,
    {
        let racks = self.hosts.iter().map(|host| host.rack).max()? + 1;
        (0..racks).find(|rack| {
            let here = self
                .hosts
                .iter()
                .filter(|host| host.rack == *rack && usable(host));
            here.map(|host| host.slots(shape)).sum::<u32>() >= tasks
        })
    }

    fn hold_tasks<F>(&mut self, shape: &GangShape, tasks: u32, usable: F) -> Option<Vec<MemberPlacement>>
    where
        F: Fn(&FreeHost) -> bool,
    {
        let mut members = Vec::new();
        for host in &mut self.hosts {
            while (members.len() as u32) < tasks && usable(host) && host.slots(shape) > 0 {
                let accelerators = host.hold_task(shape);
                let worker = host.worker.clone();
                members.push(MemberPlacement { worker, accelerators });
            }
        }
        (members.len() as u32 == tasks).then_some(members)
    }
}
