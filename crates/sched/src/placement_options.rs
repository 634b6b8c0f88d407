use serde::Serialize;

macro_rules! placement_options {
    ($($(#[$doc:meta])* $field:ident: $type:ty = $value:expr, $setter:ident;)*) => {
        /// Limits and time settings of a placement core.
        ///
        /// ```
        /// use arbutuspick_sched::PlacementOptions;
        /// let options = PlacementOptions::default().with_max_overtakes(8);
        /// assert_eq!(options.grace_ms, 10_000);
        /// ```
        #[derive(Clone, Debug, PartialEq, Serialize)]
        pub struct PlacementOptions {
            $($(#[$doc])* pub $field: $type,)*
        }

        impl Default for PlacementOptions {
            fn default() -> Self {
                Self { $($field: $value,)* }
            }
        }

        impl PlacementOptions {
            $($(#[$doc])*
            #[must_use]
            pub fn $setter(mut self, value: $type) -> Self {
                self.$field = value;
                self
            })*
        }
    };
}

placement_options! {
    /// Time for a preempted attempt to checkpoint before it is stopped.
    grace_ms: u64 = 10_000, with_grace_ms;
    /// Time for a preempted attempt to checkpoint if an urgent guaranteed job needs its accelerators.
    urgent_grace_ms: u64 = 1_000, with_urgent_grace_ms;
    /// Half-life of the average borrowed usage in the fair-share order.
    usage_half_life_ms: u64 = 600_000, with_usage_half_life_ms;
    /// Number of later arrivals that may start before a blocked job gets a reservation.
    max_overtakes: u32 = 16, with_max_overtakes;
    /// Time in the queue after which a blocked job gets a reservation.
    reserve_after_ms: u64 = 30_000, with_reserve_after_ms;
    /// Consecutive failures after which a worker is quarantined.
    quarantine_failures: u32 = 3, with_quarantine_failures;
    /// Minimum number of different jobs among these failures.
    quarantine_jobs: usize = 2, with_quarantine_jobs;
    /// Delay before a job is retried after a failed attempt; it doubles with each further failure.
    retry_after_ms: u64 = 100, with_retry_after_ms;
    /// Maximum delay before a job is retried.
    retry_max_ms: u64 = 30_000, with_retry_max_ms;
    /// Delay before the first probe of a quarantined worker; it doubles with each failed probe.
    probe_after_ms: u64 = 10_000, with_probe_after_ms;
    /// Maximum delay before a quarantined worker is probed.
    probe_max_ms: u64 = 300_000, with_probe_max_ms;
    /// Maximum number of attempts that are evacuated from a leaving data centre at the same time.
    max_moves: usize = 4, with_max_moves;
    /// Interval at which a returning data centre enables the next quarter of its workers.
    return_step_ms: u64 = 2_000, with_return_step_ms;
    /// Time without new workers before a job that fits on no known worker is refused; a new placement holder
    /// learns of its workers one by one.
    settle_ms: u64 = 2_000, with_settle_ms;
    /// Number of actions after which one call of `decide` leaves the remaining work to the next call.
    max_actions: usize = 1_024, with_max_actions;
    /// Maximum number of borrowed jobs that one call of `decide` tries to place.
    max_tries: usize = 8_192, with_max_tries;
    /// Maximum number of new reservations that are made at once; each one scans the whole pool.
    max_new_reservations: usize = 16, with_max_new_reservations;
}
