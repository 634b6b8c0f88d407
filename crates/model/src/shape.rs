use serde::{Deserialize, Serialize};

use crate::FieldError;

/// Maximum number of tasks in a gang.
pub const MAX_GANG_TASKS: u32 = 1024;
/// Number of accelerators in a full worker.
pub const WORKER_ACCELERATORS: u32 = 8;
/// Number of workers in a full rack.
pub const RACK_WORKERS: u32 = 8;

/// Adjacency constraint on the accelerators of a gang.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GangAdjacency {
    /// The accelerators of each task are on one worker; tasks may be anywhere in the data centre.
    #[default]
    Task,
    /// All tasks are on one worker.
    Worker,
    /// All tasks are in one rack; gangs larger than a rack fill whole racks and part of one more.
    Rack,
}

/// Shape of a gang: tasks that start together, and the resources of each task.
///
/// ```
/// use arbutuspick_model::{GangAdjacency, GangShape};
/// let shape = GangShape { tasks: 4, accelerators: 8, adjacency: GangAdjacency::Rack, ..GangShape::default() };
/// assert_eq!(shape.check().unwrap().total_accelerators(), 32);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GangShape {
    /// Number of tasks.
    pub tasks: u32,
    /// Accelerators per task; 0 for CPU-only work.
    pub accelerators: u32,
    /// CPU cores per task.
    pub cores: u32,
    /// Memory per task in MiB.
    pub memory_mib: u64,
    /// Adjacency constraint.
    pub adjacency: GangAdjacency,
}

impl Default for GangShape {
    fn default() -> Self {
        Self {
            tasks: 1,
            accelerators: 1,
            cores: 1,
            memory_mib: 1024,
            adjacency: GangAdjacency::Task,
        }
    }
}

impl GangShape {
    /// Validates the rules that do not depend on the size of the pool.
    pub fn check(self) -> Result<Self, FieldError> {
        let Self {
            tasks,
            accelerators,
            cores,
            memory_mib,
            adjacency,
        } = self;
        if tasks == 0 || tasks > MAX_GANG_TASKS {
            return Err(FieldError::new("shape.tasks", tasks, "must be from 1 to 1024"));
        }
        if accelerators > WORKER_ACCELERATORS {
            return Err(FieldError::new(
                "shape.accelerators",
                accelerators,
                "must be at most 8",
            ));
        }
        if cores == 0 {
            return Err(FieldError::new("shape.cores", cores, "must be at least 1"));
        }
        if memory_mib == 0 {
            return Err(FieldError::new(
                "shape.memory_mib",
                memory_mib,
                "must be at least 1",
            ));
        }
        if adjacency == GangAdjacency::Worker && tasks * accelerators > WORKER_ACCELERATORS {
            let total = tasks * accelerators;
            return Err(FieldError::new(
                "shape.tasks",
                tasks,
                format!("needs {total} accelerators on one worker of 8"),
            ));
        }
        Ok(self)
    }

    /// Returns the total number of accelerators of the gang.
    pub fn total_accelerators(self) -> u32 {
        self.tasks * self.accelerators
    }
}

/// Size of a cell: a block of adjacent accelerators of one worker, or of adjacent whole workers of one rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "u32", into = "u32")]
pub enum CellLevel {
    /// 1 accelerator.
    One,
    /// 2 accelerators of a worker.
    Two,
    /// 4 accelerators of a worker.
    Four,
    /// 1 whole worker of 8 accelerators.
    Worker,
    /// 2 whole workers of a rack.
    TwoWorkers,
    /// 4 whole workers of a rack.
    FourWorkers,
    /// 8 whole workers, that is, a full rack.
    Rack,
}

impl CellLevel {
    /// All levels, smallest first.
    pub const ALL: [Self; 7] = [
        Self::One,
        Self::Two,
        Self::Four,
        Self::Worker,
        Self::TwoWorkers,
        Self::FourWorkers,
        Self::Rack,
    ];

    /// Returns the number of accelerators in a cell of this level.
    pub fn accelerators(self) -> u32 {
        1 << (self as u32)
    }

    /// Returns the smallest level with at least this many accelerators, if any.
    pub fn covering(accelerators: u32) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|level| level.accelerators() >= accelerators)
    }
}

impl TryFrom<u32> for CellLevel {
    type Error = FieldError;
    fn try_from(value: u32) -> Result<Self, FieldError> {
        Self::ALL
            .into_iter()
            .find(|level| level.accelerators() == value)
            .ok_or_else(|| {
                FieldError::new(
                    "cell",
                    value,
                    "must be one of 1, 2, 4, 8, 16, 32, 64 accelerators",
                )
            })
    }
}

impl From<CellLevel> for u32 {
    fn from(level: CellLevel) -> Self {
        level.accelerators()
    }
}

/// Resources of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerCapacity {
    /// Number of accelerators, at most 8.
    pub accelerators: u32,
    /// Number of CPU cores.
    pub cores: u32,
    /// Memory in MiB.
    pub memory_mib: u64,
}

impl Default for WorkerCapacity {
    fn default() -> Self {
        Self {
            accelerators: 8,
            cores: 64,
            memory_mib: 256 * 1024,
        }
    }
}
