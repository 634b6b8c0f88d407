//! Estimates how fast each worker is in comparison with the others.
//!
//! Load pattern: workers differ in speed by a factor of two or more, a few tasks take many times as long as
//! others wherever they run, and a gang ends with its slowest member. A long task is one sample, a slow worker
//! shows in many, so the estimate is a median: no single sample decides, however far off it is.

use arbutuspick_model::ClockTime;

/// Weight of the assumption that a worker has the usual speed, in samples of single tasks.
const PRIOR_WEIGHT: f64 = 1.5;
/// Weight of a run of a single task; sizes of siblings differ.
const SINGLE_WEIGHT: f64 = 1.0;
/// Weight of a member of a gang; all members have the same work, so their rates differ by their workers only.
const GANG_WEIGHT: f64 = 4.0;
/// Maximum weight of an estimate of an earlier leader.
const MAX_RESTORED_WEIGHT: f64 = 4.0;
/// Maximum number of samples kept for a worker.
const MAX_SAMPLES: usize = 8;
/// Time after which a sample no longer counts, in milliseconds; a worker may become faster or slower.
const SAMPLE_LIFETIME_MS: u64 = 120_000;
/// Largest factor between two workers that counts as a difference in speed; beyond it, a run has stalled.
pub(crate) const MAX_SPEED_RATIO: f64 = 4.0;
/// Factor below the estimated speed within which a sample confirms it.
const CONFIRMING_RATIO: f64 = 2.0;
/// Factor between a worker and the usual speed from which it counts as fast or slow.
const MIN_DIFFERENCE: f64 = 1.1;
/// Standard error of the logarithmic speed by a sample of weight 1; sizes of siblings differ by a third.
const SAMPLE_ERROR: f64 = 0.3;

/// Speed of a worker in comparison with the others, the fastest first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SpeedTier {
    Fast,
    #[default]
    Usual,
    Slow,
}

/// Workers on which a unit is placed first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SpeedPreference {
    /// The fastest ones.
    Fast,
    /// Those of the usual speed, so that the fast ones are left to others.
    #[default]
    Usual,
    /// The slow ones, since the unit has time.
    Slow,
}

impl SpeedPreference {
    /// Returns the order in which a single task takes workers of a tier; it leaves no capacity idle for it.
    pub(crate) fn order(self, tier: SpeedTier) -> u8 {
        match (self, tier) {
            (Self::Fast, SpeedTier::Fast) | (Self::Slow, SpeedTier::Slow) => 0,
            (Self::Fast, SpeedTier::Usual) | (Self::Slow, _) => 1,
            (Self::Usual, SpeedTier::Fast | SpeedTier::Usual) => 1,
            (_, SpeedTier::Slow) => 2,
        }
    }
}

/// What one run has shown about the speed of its worker.
#[derive(Clone, Copy, Debug)]
struct SpeedSample {
    /// Natural logarithm of the relative speed.
    log_speed: f64,
    weight: f64,
    expires_at: ClockTime,
}

/// Relative speed of a worker: the weighted median of what its latest runs have shown.
#[derive(Clone, Debug, Default)]
pub(crate) struct SpeedEstimate {
    samples: Vec<SpeedSample>,
    log_speed: f64,
    weight: f64,
}

impl SpeedEstimate {
    /// Returns the estimate that an earlier leader stored.
    pub(crate) fn restored(log_speed: f64, weight: f64, now: ClockTime) -> Self {
        let mut estimate = Self::default();
        estimate.insert(log_speed, weight.clamp(0.0, MAX_RESTORED_WEIGHT), now);
        estimate
    }

    /// Adds what a run has shown: the logarithm of the speed of its worker, with gangs counted higher.
    pub(crate) fn record(&mut self, log_speed: f64, gang: bool, now: ClockTime) {
        let weight = if gang { GANG_WEIGHT } else { SINGLE_WEIGHT };
        self.insert(log_speed, weight, now);
    }

    fn insert(&mut self, log_speed: f64, weight: f64, now: ClockTime) {
        let limit = MAX_SPEED_RATIO.ln();
        self.samples.retain(|sample| sample.expires_at > now);
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.remove(0);
        }
        self.samples.push(SpeedSample {
            log_speed: log_speed.clamp(-limit, limit),
            weight,
            expires_at: now + SAMPLE_LIFETIME_MS,
        });
        let weights = self
            .samples
            .iter()
            .map(|sample| (sample.log_speed, sample.weight));
        let mut weighted: Vec<(f64, f64)> = weights.chain([(0.0, PRIOR_WEIGHT)]).collect();
        weighted.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
        self.log_speed = weighted_median(weighted.iter().copied());
        self.weight = self.samples.iter().map(|sample| sample.weight).sum();
    }

    /// Returns the natural logarithm of the relative speed.
    pub(crate) fn log_speed(&self) -> f64 {
        self.log_speed
    }

    /// Returns the relative speed; 1 is the usual one.
    pub(crate) fn speed(&self) -> f64 {
        self.log_speed.exp()
    }

    /// Returns the weight of the samples behind the estimate; 0 if nothing is known.
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the mean distance of the samples from the estimate, as a factor.
    pub(crate) fn spread(&self) -> f64 {
        if self.weight <= 0.0 {
            return 1.0;
        }
        let distances = self
            .samples
            .iter()
            .map(|sample| (sample.log_speed - self.log_speed).abs() * sample.weight);
        (distances.sum::<f64>() / self.weight).exp()
    }

    /// Returns whether a run has shown since `start` that the worker is not much slower than estimated.
    pub(crate) fn is_confirmed_since(&self, start: ClockTime) -> bool {
        let mut recent = self
            .samples
            .iter()
            .filter(|sample| sample.expires_at > start + SAMPLE_LIFETIME_MS);
        recent.any(|sample| sample.log_speed > self.log_speed - CONFIRMING_RATIO.ln())
    }

    /// Returns the speed tier, which is the usual one until several runs or one gang show another.
    pub(crate) fn tier(&self) -> SpeedTier {
        let certain = 2.0 * SAMPLE_ERROR / (self.weight + PRIOR_WEIGHT).sqrt();
        if self.log_speed >= MIN_DIFFERENCE.ln().max(certain) {
            SpeedTier::Fast
        } else if self.log_speed < -MIN_DIFFERENCE.ln().max(certain) {
            SpeedTier::Slow
        } else {
            SpeedTier::Usual
        }
    }
}

/// Returns the median of ascending values with weights; halfway between two values if both are equally far from the
/// ends.
pub(crate) fn weighted_median<I>(ascending: I) -> f64
where
    I: Iterator<Item = (f64, f64)> + Clone,
{
    let half: f64 = ascending.clone().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut passed = 0.0;
    let mut lower = None;
    for (value, weight) in ascending {
        if let Some(lower) = lower {
            return f64::midpoint(lower, value);
        }
        passed += weight;
        if passed > half + f64::EPSILON {
            return value;
        }
        if passed >= half - f64::EPSILON {
            lower = Some(value);
        }
    }
    lower.unwrap_or(0.0)
}
