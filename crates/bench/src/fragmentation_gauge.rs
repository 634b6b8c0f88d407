use arbutuspick_model::{CellGuarantee, GangAdjacency, GangShape};

use crate::host_pool::{HostPool, HostState};

/// Measures fragmentation: the free accelerators of one data centre that no given shape can use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FragmentationGauge<'pool> {
    pub(crate) pool: &'pool HostPool,
    /// Whether the policy allocates only aligned cells, rounded up to a power of two.
    pub(crate) aligned: bool,
}

impl FragmentationGauge<'_> {
    /// Returns the number of free accelerators that no placement of any of the shapes can use.
    pub(crate) fn unusable_accelerators(&self, shapes: &[GangShape]) -> u32 {
        let mut max_usable = vec![0; self.pool.hosts.len()];
        for shape in shapes.iter().filter(|shape| shape.accelerators > 0) {
            for (most_usable, usable) in max_usable.iter_mut().zip(self.usable_per_host(shape)) {
                *most_usable = usable.max(*most_usable);
            }
        }
        let hosts = self.pool.hosts.iter().zip(max_usable);
        hosts
            .map(|(host, usable)| host.free_mask.count_ones() - usable)
            .sum()
    }

    /// Returns the number of free accelerators of each worker that placements of the shape can use.
    fn usable_per_host(&self, shape: &GangShape) -> Vec<u32> {
        let hosts = &self.pool.hosts;
        let slots: Vec<u32> = hosts.iter().map(|host| self.task_slots(host, shape)).collect();
        let total: u32 = slots.iter().sum();
        let rack_slots = |rack: usize| {
            let slots_in_rack = hosts
                .iter()
                .zip(&slots)
                .filter(move |(host, _)| host.rack == rack);
            slots_in_rack.map(|(_, slots)| slots).sum::<u32>()
        };
        let usable_slots = hosts.iter().zip(&slots).map(|(host, slots)| {
            let reachable_slots = match shape.adjacency {
                GangAdjacency::Task => total,
                GangAdjacency::Worker => *slots,
                GangAdjacency::Rack => rack_slots(host.rack),
            };
            if reachable_slots < shape.tasks { 0 } else { *slots }
        });
        usable_slots.map(|slots| slots * shape.accelerators).collect()
    }

    /// Returns how many tasks of the shape fit on a worker at the same time.
    fn task_slots(&self, host: &HostState, shape: &GangShape) -> u32 {
        let slots = host.task_slots(shape);
        if !self.aligned {
            return slots;
        }
        let cell_size = shape.accelerators.next_power_of_two();
        let mask = ((1u16 << cell_size) - 1) as u8;
        let offsets = (0..8u32).step_by(cell_size as usize);
        let free_cells = offsets
            .filter(|offset| host.free_mask >> offset & mask == mask)
            .count();
        slots.min(free_cells as u32)
    }
}

/// Returns the shape of a gang that fills one cell of a guarantee.
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
