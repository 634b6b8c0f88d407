use std::ops::{Index, IndexMut};

use arbutuspick_model::CellLevel;
use serde::{Deserialize, Serialize};

/// Number of cells at each level.
///
/// ```
/// use arbutuspick_model::CellLevel;
/// use arbutuspick_sched::CellCounts;
/// let mut counts = CellCounts::default();
/// counts[CellLevel::Worker] += 2;
/// assert_eq!(counts.accelerators(), 16);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CellCounts(pub [u32; 7]);

impl CellCounts {
    /// Returns whether every count is 0.
    pub fn is_empty(&self) -> bool {
        self.0 == [0; 7]
    }

    /// Returns the total number of accelerators of all cells.
    pub fn accelerators(&self) -> u32 {
        CellLevel::ALL
            .into_iter()
            .map(|level| self[level] * level.accelerators())
            .sum()
    }

    /// Removes one cell of the level, splitting the smallest larger cell if there is none of that level.
    ///
    /// Returns whether a cell could be removed.
    pub fn take(&mut self, level: CellLevel) -> bool {
        let larger = CellLevel::ALL.into_iter().filter(|from| *from >= level);
        let Some(from) = larger.into_iter().find(|from| self[*from] > 0) else {
            return false;
        };
        self[from] -= 1;
        for half in CellLevel::ALL
            .into_iter()
            .filter(|half| (level..from).contains(half))
        {
            self[half] += 1;
        }
        true
    }

    /// Returns whether every count is at most the count of the same level in `other`.
    pub fn is_within(&self, other: &Self) -> bool {
        self.0.iter().zip(other.0).all(|(count, limit)| *count <= limit)
    }
}

impl Index<CellLevel> for CellCounts {
    type Output = u32;
    fn index(&self, level: CellLevel) -> &u32 {
        &self.0[level as usize]
    }
}

impl IndexMut<CellLevel> for CellCounts {
    fn index_mut(&mut self, level: CellLevel) -> &mut u32 {
        &mut self.0[level as usize]
    }
}
