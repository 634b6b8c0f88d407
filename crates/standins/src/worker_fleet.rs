use std::io;
use std::net::SocketAddr;

use arbutuspick_clients::VmEntry;
use arbutuspick_model::{CentreName, FieldError, RackName, WorkerCapacity, WorkerName};

use crate::checkpoint_store::CheckpointStore;
use crate::worker_standin::{WorkerOptions, WorkerStandin};

/// Difference between the clocks of successive workers, large enough that a mix-up of clocks is noticed.
const CLOCK_OFFSET_STEP_MS: u64 = 1_000_003;

/// Options of the workers of one data centre.
#[derive(Clone, Debug)]
pub struct WorkerFleetOptions {
    /// Number of workers.
    pub count: usize,
    /// Data centre.
    pub data_centre: CentreName,
    /// Number of workers in a rack.
    pub rack_size: usize,
    /// Capacity of each worker.
    pub capacity: WorkerCapacity,
    /// Port of the first worker, or 0 for ephemeral ports.
    pub base_port: u16,
    /// Platform whose object store keeps checkpoints; without one, they are kept in memory.
    pub platform: Option<SocketAddr>,
}

impl WorkerFleetOptions {
    /// Creates options for workers of default capacity on ephemeral ports, with 8 workers in a rack.
    pub fn new(count: usize, data_centre: CentreName) -> Self {
        Self {
            count,
            data_centre,
            rack_size: 8,
            capacity: WorkerCapacity::default(),
            base_port: 0,
            platform: None,
        }
    }

    fn worker(&self, index: usize) -> Result<WorkerOptions, FieldError> {
        let centre = &self.data_centre;
        let rack = index / self.rack_size.max(1);
        let mut options = WorkerOptions::new(
            WorkerName::try_from(format!("{centre}-w{index:03}"))?,
            centre.clone(),
            RackName::try_from(format!("{centre}-r{rack:02}"))?,
        );
        options.capacity = self.capacity;
        options.platform = self.platform;
        options.clock_offset_ms = (index as u64 + 1) * CLOCK_OFFSET_STEP_MS;
        if self.base_port > 0 {
            options.port = u16::try_from(usize::from(self.base_port) + index)
                .map_err(|_| FieldError::new("base-port", self.base_port, "leaves too few ports"))?;
        }
        Ok(options)
    }
}

/// Workers of one data centre, each with its own listener.
#[derive(Debug)]
pub struct WorkerFleet {
    /// Workers in order of their names.
    pub workers: Vec<WorkerStandin>,
}

impl WorkerFleet {
    /// Starts the workers, which stop when the fleet is dropped.
    pub async fn start(options: &WorkerFleetOptions) -> io::Result<Self> {
        let store = CheckpointStore::new(options.platform);
        let mut workers = Vec::with_capacity(options.count);
        for index in 0..options.count {
            let worker = options.worker(index).map_err(io::Error::other)?;
            workers.push(WorkerStandin::start_with(worker, store.clone()).await?);
        }
        Ok(Self { workers })
    }

    /// Returns the workers' entries in the platform's list of VMs.
    pub fn entries(&self) -> Vec<VmEntry> {
        self.workers.iter().map(WorkerStandin::entry).collect()
    }
}
