//! Forecasts how much of the pool urgent work takes, from the urgent jobs that arrived lately.
//!
//! Load pattern: urgent gangs return every few seconds to a pool that long batch work fills. Each of them stops
//! batch work again or waits for its end, which takes most of the time that the gang has.

use std::collections::VecDeque;

use arbutuspick_model::ClockTime;

/// Time for which an arrival counts, in milliseconds; urgent jobs run for a few seconds.
const WINDOW_MS: u64 = 20_000;
/// Smallest time over which a rate is measured, in milliseconds, so that a first burst is not taken for the usual load.
const MIN_SPAN_MS: u64 = 8_000;
/// Number of arrivals in the window below which nothing is expected.
const MIN_ARRIVALS: usize = 5;
/// Maximum number of arrivals that are kept; the oldest are dropped.
const MAX_ARRIVALS: usize = 2_000;

/// Size and run time of urgent tasks that arrived together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UrgentArrival {
    pub(crate) at: ClockTime,
    /// Size of all tasks together, in thousandths of a worker.
    pub(crate) size: u64,
    pub(crate) run_ms: u64,
}

/// Urgent arrivals of the last seconds. Not stored: a new leader adds the jobs that have not ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct UrgentDemand {
    arrivals: VecDeque<UrgentArrival>,
}

impl UrgentDemand {
    pub(crate) fn record(&mut self, arrival: UrgentArrival) {
        if self.arrivals.len() == MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
        self.arrivals.push_back(arrival);
    }

    /// Returns the number of workers that urgent work is expected to use at once: the mean of the window and one
    /// standard deviation.
    pub(crate) fn expected_workers(&mut self, now: ClockTime) -> usize {
        self.arrivals
            .retain(|arrival| now.millis_since(arrival.at) < WINDOW_MS);
        if self.arrivals.len() < MIN_ARRIVALS {
            return 0;
        }
        let first = self.arrivals.iter().map(|arrival| arrival.at).min();
        let span_ms = first.map_or(0, |at| now.millis_since(at)).max(MIN_SPAN_MS);
        let sums = self.arrivals.iter().fold((0, 0), |(mean, variance), arrival| {
            let load = arrival.size * arrival.run_ms;
            (mean + load, variance + arrival.size * load)
        });
        // Arrivals are independent, so the mean and the variance of what runs at once add up over them.
        let (mean, variance) = (sums.0 / span_ms, sums.1 / span_ms);
        usize::try_from((mean + variance.isqrt()).div_ceil(1_000)).unwrap_or(usize::MAX)
    }
}
