use std::sync::atomic::{AtomicU64, Ordering};

/// SplitMix64 generator that threads share without a lock.
#[derive(Debug)]
pub(crate) struct RandomSource {
    state: AtomicU64,
}

impl RandomSource {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            state: AtomicU64::new(seed),
        }
    }

    /// Returns a number below `bound`, which must not be 0.
    pub(crate) fn below(&self, bound: usize) -> usize {
        (self.draw() % bound as u64) as usize
    }

    fn draw(&self) -> u64 {
        const STEP: u64 = 0x9E37_79B9_7F4A_7C15;
        let mut z = self.state.fetch_add(STEP, Ordering::Relaxed).wrapping_add(STEP);
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }
}
