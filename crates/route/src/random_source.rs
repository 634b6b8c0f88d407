use std::sync::atomic::{AtomicU64, Ordering};

/// Lock-free SplitMix64 generator that threads share.
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

    /// Returns a random number below `bound`, which must not be 0.
    pub(crate) fn next_below(&self, bound: usize) -> usize {
        (self.next_u64() % bound as u64) as usize
    }

    fn next_u64(&self) -> u64 {
        const INCREMENT: u64 = 0x9E37_79B9_7F4A_7C15;
        let mut z = self
            .state
            .fetch_add(INCREMENT, Ordering::Relaxed)
            .wrapping_add(INCREMENT);
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }
}
