use arbutuspick_model::ClockTime;
use arbutuspick_sched::PlacementOptions;

/// Load and times of a simulation.
///
/// ```
/// use arbutuspick_bench::SimulationSettings;
/// assert!(SimulationSettings::default().leave_at() < SimulationSettings::default().return_at());
/// ```
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// Offered load as a fraction of all accelerators.
    pub load: f64,
    /// Time during which jobs arrive.
    pub horizon_ms: u64,
    /// Time from the order to leave until jobs that still run are stopped.
    pub drain_ms: u64,
    /// Time from the order to leave until the order to return.
    pub outage_ms: u64,
    /// Time after the order to return until the end of the window in which work is counted.
    pub recovery_ms: u64,
    /// Options of the placement core.
    pub options: PlacementOptions,
}

impl Default for SimulationSettings {
    fn default() -> Self {
        Self {
            load: 0.85,
            horizon_ms: 4 * 3_600_000,
            drain_ms: 120_000,
            outage_ms: 1_200_000,
            recovery_ms: 300_000,
            options: PlacementOptions::default(),
        }
    }
}

impl SimulationSettings {
    /// Returns when a data centre is ordered to leave, which starts the window in which work is counted.
    pub fn leave_at(&self) -> ClockTime {
        ClockTime(self.horizon_ms / 2)
    }

    /// Returns when the data centre is ordered to return.
    pub fn return_at(&self) -> ClockTime {
        self.leave_at() + self.outage_ms
    }

    /// Returns the end of the window in which the work during departure and return is counted.
    pub fn window_end(&self) -> ClockTime {
        self.return_at() + self.recovery_ms
    }

    /// Returns when all starts and probes on one worker begin to fail.
    pub fn faulty_from(&self) -> ClockTime {
        ClockTime(self.horizon_ms / 10)
    }

    /// Returns when the simulation ends even if jobs are unfinished.
    pub fn time_limit(&self) -> ClockTime {
        ClockTime(6 * self.horizon_ms)
    }
}
