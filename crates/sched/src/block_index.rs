use std::collections::BTreeSet;

use arbutuspick_model::CellLevel;

use crate::CellCounts;
use crate::cell_block::maximal_blocks;

/// Index of the maximal aligned blocks of a set of accelerators by level; it avoids scans of the whole pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct BlockIndex {
    masks: Vec<u64>,
    racks: [BTreeSet<u32>; 7],
    counts: CellCounts,
}

impl BlockIndex {
    pub(crate) fn counts(&self) -> CellCounts {
        self.counts
    }

    pub(crate) fn mask(&self, rack: u32) -> u64 {
        self.masks.get(rack as usize).copied().unwrap_or(0)
    }

    /// Returns the racks that have a maximal block of the level.
    pub(crate) fn racks(&self, level: CellLevel) -> impl Iterator<Item = u32> + '_ {
        self.racks[level as usize].iter().copied()
    }

    pub(crate) fn set(&mut self, rack: u32, mask: u64) {
        let index = rack as usize;
        if index >= self.masks.len() {
            self.masks.resize(index + 1, 0);
        }
        if self.masks[index] == mask {
            return;
        }
        let before = maximal_blocks(self.masks[index]);
        let after = maximal_blocks(mask);
        self.masks[index] = mask;
        for i in 0..7 {
            self.counts.0[i] = self.counts.0[i] - before[i].count_ones() + after[i].count_ones();
            match (before[i] != 0, after[i] != 0) {
                (false, true) => drop(self.racks[i].insert(rack)),
                (true, false) => drop(self.racks[i].remove(&rack)),
                _ => {}
            }
        }
    }

    /// Returns the counts as they would be if the rack had this mask.
    pub(crate) fn counts_with(&self, rack: u32, mask: u64) -> CellCounts {
        let before = maximal_blocks(self.mask(rack));
        let after = maximal_blocks(mask);
        let mut counts = self.counts;
        for i in 0..7 {
            counts.0[i] = counts.0[i] - before[i].count_ones() + after[i].count_ones();
        }
        counts
    }
}
