use serde::{Deserialize, Serialize};

/// `GET /control/stats`: calls that the platform received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallStats {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Most reads in one second of the clock.
    pub peak_reads_per_s: u64,
    /// Most writes in one second of the clock.
    pub peak_writes_per_s: u64,
}

/// Counts calls by second.
#[derive(Debug, Default)]
pub(crate) struct CallCounter {
    stats: CallStats,
    second: u64,
    reads: u64,
    writes: u64,
}

impl CallCounter {
    pub(crate) fn stats(&self) -> CallStats {
        self.stats
    }

    pub(crate) fn count(&mut self, now_ms: u64, write: bool) {
        let Self {
            stats,
            second,
            reads,
            writes,
        } = self;
        if *second != now_ms / 1000 {
            *second = now_ms / 1000;
            (*reads, *writes) = (0, 0);
        }
        if write {
            stats.writes += 1;
            *writes += 1;
            stats.peak_writes_per_s = stats.peak_writes_per_s.max(*writes);
        } else {
            stats.reads += 1;
            *reads += 1;
            stats.peak_reads_per_s = stats.peak_reads_per_s.max(*reads);
        }
    }
}
