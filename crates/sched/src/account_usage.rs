use arbutuspick_model::ClockTime;

/// Borrowed accelerators of an account: those held now and their decayed average.
#[derive(Clone, Debug)]
pub(crate) struct AccountUsage {
    pub(crate) weight: u32,
    pub(crate) max_queued_jobs: u32,
    /// Borrowed accelerators held now.
    pub(crate) borrowed: u32,
    /// Guaranteed accelerators held now.
    pub(crate) guaranteed: u32,
    average: f64,
    updated: ClockTime,
}

impl Default for AccountUsage {
    fn default() -> Self {
        Self {
            weight: 1,
            max_queued_jobs: u32::MAX,
            borrowed: 0,
            guaranteed: 0,
            average: 0.0,
            updated: ClockTime(0),
        }
    }
}

impl AccountUsage {
    /// Brings the average to `now`: it moves half of the way to the current usage in a half-life.
    pub(crate) fn advance(&mut self, now: ClockTime, half_life_ms: u64) {
        let elapsed = now.millis_since(self.updated) as f64;
        let kept = 0.5f64.powf(elapsed / half_life_ms.max(1) as f64);
        self.average = self.average * kept + f64::from(self.borrowed) * (1.0 - kept);
        self.updated = self.updated.max(now);
    }

    /// Returns the share by which accounts are ordered; the smallest goes first.
    ///
    /// The accelerators held now count as well, because the average does not change within a pass.
    pub(crate) fn share(&self) -> f64 {
        (self.average + f64::from(self.borrowed)) / f64::from(self.weight.max(1))
    }
}
