use arbutuspick_model::CellLevel;
use serde::Serialize;

/// For each cell level, a rack mask with the first bit of every aligned block set.
const BLOCK_STARTS: [u64; 7] = [
    u64::MAX,
    0x5555_5555_5555_5555,
    0x1111_1111_1111_1111,
    0x0101_0101_0101_0101,
    0x0001_0001_0001_0001,
    0x0000_0001_0000_0001,
    1,
];

/// An aligned block of accelerators in a rack.
///
/// Bit `8 * place + accelerator` of a rack mask represents one accelerator of the worker at `place`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct CellBlock {
    /// Index of the rack.
    pub rack: u32,
    /// First bit of the block in the mask of the rack.
    pub offset: u8,
    /// Size of the block.
    pub level: CellLevel,
}

impl CellBlock {
    /// Returns the bits of the block in the mask of its rack.
    pub fn mask(self) -> u64 {
        level_mask(self.level) << self.offset
    }
}

fn level_mask(level: CellLevel) -> u64 {
    match level {
        CellLevel::Rack => u64::MAX,
        level => (1 << level.accelerators()) - 1,
    }
}

/// Returns, for each level, the first bits of the aligned blocks that are completely set in the mask.
pub(crate) fn full_blocks(mask: u64) -> [u64; 7] {
    let mut full = [mask; 7];
    for i in 1..7 {
        full[i] = full[i - 1] & (full[i - 1] >> (1 << (i - 1))) & BLOCK_STARTS[i];
    }
    full
}

/// Returns, for each level, the first bits of the full blocks that are not part of a larger full block.
pub(crate) fn maximal_blocks(mask: u64) -> [u64; 7] {
    let full = full_blocks(mask);
    let mut maximal = full;
    for i in 0..6 {
        let halves = full[i + 1] | (full[i + 1] << (1 << i));
        maximal[i] &= !halves;
    }
    maximal
}

/// Returns the positions of the set bits, lowest first.
pub(crate) fn set_bits(mut mask: u64) -> impl Iterator<Item = u8> {
    std::iter::from_fn(move || {
        let bit = u8::try_from(mask.trailing_zeros()).ok().filter(|bit| *bit < 64)?;
        mask &= mask - 1;
        Some(bit)
    })
}
