use arbutuspick_model::ClockTime;
use arbutuspick_sched::PlacementOptions;

/// Times and load of a run.
///
/// ```
/// use arbutuspick_bench::RunSettings;
/// assert!(RunSettings::default().leave_at() < RunSettings::default().back_at());
/// ```
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Offered load as a part of all accelerators.
    pub load: f64,
    /// Time over which jobs arrive.
    pub horizon_ms: u64,
    /// Time from the order to leave until what still runs is stopped.
    pub drain_ms: u64,
    /// Time from the order to leave until the order to return.
    pub absence_ms: u64,
    /// Time after the return until which the work of departure and return is counted.
    pub settle_ms: u64,
    /// Options of the core.
    pub options: PlacementOptions,
}

impl Default for RunSettings {
    fn default() -> Self {
        Self {
            load: 0.85,
            horizon_ms: 4 * 3_600_000,
            drain_ms: 120_000,
            absence_ms: 1_200_000,
            settle_ms: 300_000,
            options: PlacementOptions::default(),
        }
    }
}

impl RunSettings {
    /// Returns when a data centre is ordered out.
    pub fn leave_at(&self) -> ClockTime {
        ClockTime(self.horizon_ms / 2)
    }

    /// Returns when it is ordered to return.
    pub fn back_at(&self) -> ClockTime {
        self.leave_at() + self.absence_ms
    }

    /// Returns the end of the time over which the work of departure and return is counted.
    pub fn window_end(&self) -> ClockTime {
        self.back_at() + self.settle_ms
    }

    /// Returns when one worker begins to fail everything.
    pub fn bad_from(&self) -> ClockTime {
        ClockTime(self.horizon_ms / 10)
    }

    /// Returns when a run is given up with jobs unfinished.
    pub fn give_up_at(&self) -> ClockTime {
        ClockTime(6 * self.horizon_ms)
    }
}
