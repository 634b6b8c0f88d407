use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

macro_rules! time_type {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(pub u64);

        impl $type {
            /// Returns the milliseconds from `earlier` to this time, or 0 if `earlier` is later.
            pub fn millis_since(self, earlier: Self) -> u64 {
                self.0.saturating_sub(earlier.0)
            }
        }

        impl Add<u64> for $type {
            type Output = Self;
            fn add(self, millis: u64) -> Self {
                Self(self.0.saturating_add(millis))
            }
        }

        impl Sub<u64> for $type {
            type Output = Self;
            fn sub(self, millis: u64) -> Self {
                Self(self.0.saturating_sub(millis))
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{} ms", self.0)
            }
        }
    };
}

time_type!(
    /// Monotonic time of one process in milliseconds; not comparable between processes.
    ///
    /// ```
    /// use arbutuspick_model::ClockTime;
    /// let deadline = ClockTime(100) + 50;
    /// assert_eq!(deadline.millis_since(ClockTime(120)), 30);
    /// ```
    ClockTime);
time_type!(
    /// Monotonic time of one worker in milliseconds, as reported in its responses.
    WorkerTime);
time_type!(
    /// Wall-clock time of the platform in milliseconds since the Unix epoch, as reported in its responses.
    PlatformTime);
