use arbutuspick_model::ClockTime;

/// Accelerator usage of an account, with an exponentially decaying average of its borrowed accelerators.
#[derive(Clone, Debug)]
pub(crate) struct AccountUsage {
    pub(crate) weight: u32,
    pub(crate) max_queued_jobs: u32,
    /// Borrowed accelerators currently allocated.
    pub(crate) borrowed: u32,
    /// Guaranteed accelerators currently allocated.
    pub(crate) guaranteed: u32,
    average: f64,
    updated_at: ClockTime,
}

impl Default for AccountUsage {
    fn default() -> Self {
        Self {
            weight: 1,
            max_queued_jobs: u32::MAX,
            borrowed: 0,
            guaranteed: 0,
            average: 0.0,
            updated_at: ClockTime(0),
        }
    }
}

impl AccountUsage {
    /// Updates the average to `now`: in each half-life it moves half of the way to the current usage.
    pub(crate) fn update_average(&mut self, now: ClockTime, half_life_ms: u64) {
        let elapsed = now.millis_since(self.updated_at) as f64;
        let decay = 0.5f64.powf(elapsed / half_life_ms.max(1) as f64);
        self.average = self.average * decay + f64::from(self.borrowed) * (1.0 - decay);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the borrowed usage divided by the weight; the account with the lowest value goes first.
    ///
    /// The current usage is added to the average because the average does not change within a pass.
    pub(crate) fn weighted_usage(&self) -> f64 {
        (self.average + f64::from(self.borrowed)) / f64::from(self.weight.max(1))
    }
}
