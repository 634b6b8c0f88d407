use arbutuspick_model::{CellGuarantee, GangAdjacency, GangShape};

use crate::host_pool::{FreeHost, HostPool};

/// Counts the free accelerators of one data centre that no waiting or guaranteed shape could use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FragmentGauge<'pool> {
    pub(crate) pool: &'pool HostPool,
    /// Whether the policy uses aligned cells only, rounded up to a power of two.
    pub(crate) aligned: bool,
}

impl FragmentGauge<'_> {
    /// Returns the free accelerators that no placement of any of the shapes could use.
    pub(crate) fn unusable(&self, shapes: &[GangShape]) -> u32 {
        let mut usable = vec![0; self.pool.hosts.len()];
        for shape in shapes.iter().filter(|shape| shape.accelerators > 0) {
            for (most, here) in usable.iter_mut().zip(self.usable_by(shape)) {
                *most = here.max(*most);
            }
        }
        let hosts = self.pool.hosts.iter().zip(usable);
        hosts.map(|(host, usable)| host.free.count_ones() - usable).sum()
    }

    /// Returns for each worker the free accelerators that placements of the shape could use.
    fn usable_by(&self, shape: &GangShape) -> Vec<u32> {
        let hosts = &self.pool.hosts;
        let slots: Vec<u32> = hosts.iter().map(|host| self.slots(host, shape)).collect();
        let total: u32 = slots.iter().sum();
        let in_rack = |rack: usize| {
            let here = hosts
                .iter()
                .zip(&slots)
                .filter(move |(host, _)| host.rack == rack);
            here.map(|(_, slots)| slots).sum::<u32>()
        };
        let tasks = hosts.iter().zip(&slots).map(|(host, slots)| {
            let around = match shape.adjacency {
                GangAdjacency::Task => total,
                GangAdjacency::Worker => *slots,
                GangAdjacency::Rack => in_rack(host.rack),
            };
            if around < shape.tasks { 0 } else { *slots }
        });
        tasks.map(|tasks| tasks * shape.accelerators).collect()
    }

    /// Returns how many tasks fit on a worker.
    fn slots(&self, host: &FreeHost, shape: &GangShape) -> u32 {
        let slots = host.slots(shape);
        if !self.aligned {
            return slots;
        }
        let cell = shape.accelerators.next_power_of_two();
        let mask = ((1u16 << cell) - 1) as u8;
        let offsets = (0..8u32).step_by(cell as usize);
        let cells = offsets
            .filter(|offset| host.free >> offset & mask == mask)
            .count();
        slots.min(cells as u32)
    }
}

/// Returns a gang that fills one cell of a guarantee.
pub(crate) fn guarantee_shape(guarantee: &CellGuarantee) -> GangShape {
    let accelerators = guarantee.cell.accelerators();
    GangShape {
        tasks: accelerators.div_ceil(8),
        accelerators: accelerators.min(8),
        cores: 1,
        memory_mib: 1,
        adjacency: GangAdjacency::Rack,
    }
}
