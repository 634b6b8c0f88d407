use std::ops::{Add, AddAssign, Sub, SubAssign};

/// Number of processor cores that one accelerator counts for when work is compared.
const ACCELERATOR_CORES: u64 = 8;

/// Processors, memory and accelerators; negative while more is reserved than is free.
///
/// ```
/// use arbutuspick_pool::ResourceAmount;
/// let free = ResourceAmount { millicores: 4000, memory_mb: 1024, accelerators: 2 };
/// let task = ResourceAmount { millicores: 1000, memory_mb: 512, accelerators: 1 };
/// assert!((free - task).covers(&task));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ResourceAmount {
    /// Thousandths of a processor core.
    pub millicores: i64,
    /// Memory in MB.
    pub memory_mb: i64,
    /// Accelerators.
    pub accelerators: i64,
}

impl ResourceAmount {
    /// Returns whether `need` fits into this amount.
    pub fn covers(&self, need: &Self) -> bool {
        self.millicores >= need.millicores
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// Returns how many times `need` fits into this amount, at most `limit`.
    pub fn count_fitting(&self, need: &Self, limit: usize) -> usize {
        let part = |have: i64, need: i64| if need <= 0 { i64::MAX } else { have.max(0) / need };
        let fits = part(self.millicores, need.millicores)
            .min(part(self.memory_mb, need.memory_mb))
            .min(part(self.accelerators, need.accelerators));
        usize::try_from(fits).unwrap_or(usize::MAX).min(limit)
    }

    /// Returns `count` times this amount.
    pub fn times(&self, count: usize) -> Self {
        let factor = i64::try_from(count).unwrap_or(i64::MAX);
        Self {
            millicores: self.millicores.saturating_mul(factor),
            memory_mb: self.memory_mb.saturating_mul(factor),
            accelerators: self.accelerators.saturating_mul(factor),
        }
    }

    /// Returns the amount in cores; an accelerator counts as eight.
    pub fn core_equivalents(&self) -> u64 {
        let cores = u64::try_from(self.millicores.max(0)).unwrap_or(0) / 1000;
        cores + u64::try_from(self.accelerators.max(0)).unwrap_or(0) * ACCELERATOR_CORES
    }

    /// Returns the largest share of `total` that any of the resources takes, in thousandths.
    pub fn dominant_share(&self, total: &Self) -> i64 {
        let share = |part: i64, total: i64| {
            if total <= 0 {
                0
            } else {
                part.max(0).saturating_mul(1000) / total
            }
        };
        share(self.millicores, total.millicores)
            .max(share(self.memory_mb, total.memory_mb))
            .max(share(self.accelerators, total.accelerators))
    }
}

impl Add for ResourceAmount {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self {
            millicores: self.millicores + other.millicores,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }
}

impl Sub for ResourceAmount {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        Self {
            millicores: self.millicores - other.millicores,
            memory_mb: self.memory_mb - other.memory_mb,
            accelerators: self.accelerators - other.accelerators,
        }
    }
}

impl AddAssign for ResourceAmount {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl SubAssign for ResourceAmount {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}
