use serde::Serialize;

macro_rules! placement_options {
    ($($(#[$doc:meta])* $field:ident: $type:ty = $value:expr, $setter:ident;)*) => {
        /// Limits and times of a placement core.
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
    /// Time to checkpoint before work is stopped.
    grace_ms: u64 = 10_000, with_grace_ms;
    /// Time to checkpoint when an urgent guaranteed job needs the cells.
    urgent_grace_ms: u64 = 1_000, with_urgent_grace_ms;
    /// Half-life of the borrowed usage in the fair order.
    usage_half_life_ms: u64 = 600_000, with_usage_half_life_ms;
    /// Starts of later arrivals after which a blocked job gets a reservation.
    max_overtakes: u32 = 16, with_max_overtakes;
    /// Waiting time after which a blocked job gets a reservation.
    reserve_after_ms: u64 = 30_000, with_reserve_after_ms;
    /// Failures in a row that quarantine a worker.
    quarantine_failures: u32 = 3, with_quarantine_failures;
    /// Different jobs that must have seen these failures.
    quarantine_jobs: usize = 2, with_quarantine_jobs;
    /// Time before a job whose start failed is tried again; it doubles with each failed start.
    retry_after_ms: u64 = 100, with_retry_after_ms;
    /// Longest time between failed starts of a job.
    retry_max_ms: u64 = 30_000, with_retry_max_ms;
    /// Time before the first probe of a quarantined worker; it doubles with each failed probe.
    probe_after_ms: u64 = 10_000, with_probe_after_ms;
    /// Longest time between probes.
    probe_max_ms: u64 = 300_000, with_probe_max_ms;
    /// Most gangs that are moved out of a leaving data centre at a time.
    max_moves: usize = 4, with_max_moves;
    /// Time between the quarters of the workers of a returning data centre.
    return_step_ms: u64 = 2_000, with_return_step_ms;
    /// Time without new workers before a job is refused because it can never fit; a new holder
    /// learns its workers one by one.
    settle_ms: u64 = 2_000, with_settle_ms;
    /// Most placements, preemptions and probes that one call of `decide` starts.
    max_actions: usize = 1_024, with_max_actions;
    /// Most jobs that one call of `decide` tries to place.
    max_tries: usize = 8_192, with_max_tries;
    /// Most new reservations that one call of `decide` makes; each reads the whole pool.
    max_new_reservations: usize = 16, with_max_new_reservations;
}
