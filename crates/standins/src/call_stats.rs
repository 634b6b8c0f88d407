use serde::{Deserialize, Serialize};

/// Response to `GET /control/stats`: numbers of calls that the platform received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallStats {
    /// Read calls.
    pub reads: u64,
    /// Write calls.
    pub writes: u64,
    /// Maximum number of reads within one second of the wall clock.
    pub peak_reads_per_s: u64,
    /// Maximum number of writes within one second of the wall clock.
    pub peak_writes_per_s: u64,
}

/// Counts calls in total and per second, to find the peak rates.
#[derive(Debug, Default)]
pub(crate) struct CallCounter {
    stats: CallStats,
    current_second: u64,
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
            current_second,
            reads,
            writes,
        } = self;
        if *current_second != now_ms / 1000 {
            *current_second = now_ms / 1000;
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
