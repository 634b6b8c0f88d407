use arbutuspick_model::CentreName;

/// Maximum concurrency limit of one entry VM for one upstream; an upstream has 8 slots.
pub const MAX_UPSTREAM_LIMIT: u16 = 8;
/// Number of connections that an upstream accepts from all entry VMs together.
pub const UPSTREAM_CONNECTIONS: u32 = 64;

/// Options of a routing table.
///
/// ```
/// use arbutuspick_model::CentreName;
/// use arbutuspick_route::RoutingOptions;
/// let options = RoutingOptions::new(CentreName::try_from("trent")?).with_entry_vms(6).with_seed(1);
/// assert_eq!(options.entry_vms, 6);
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingOptions {
    /// Data centre whose upstreams are preferred.
    pub own_centre: CentreName,
    /// Number of entry VMs that share the connections of an upstream.
    pub entry_vms: u32,
    /// Seed of the random selection, which is reproducible within a single thread.
    pub seed: u64,
    /// Initial concurrency limit of a new upstream, from 1 to 8.
    pub initial_limit: u16,
    /// Rounds of `limit` successes after which the limit is raised by one, from 1 to 64.
    pub rounds_per_raise: u16,
}

impl RoutingOptions {
    /// Creates options for 7 entry VMs, an initial limit of 2 and 16 rounds for each raise of a limit.
    pub fn new(own_centre: CentreName) -> Self {
        // At 90% load with 7 entry VMs, 10% of the requests are not served with 1 round and 0.2% with 16
        // (examples/limit_trial.rs): raising faster makes the VMs overload the upstream slots they share.
        // With an initial limit of 2, 7 entry VMs send at most 14 concurrent requests to the 8 slots of an
        // upstream.
        Self {
            own_centre,
            entry_vms: 7,
            seed: 0,
            initial_limit: 2,
            rounds_per_raise: 16,
        }
    }

    /// Sets the number of entry VMs.
    #[must_use]
    pub fn with_entry_vms(mut self, entry_vms: u32) -> Self {
        self.entry_vms = entry_vms;
        self
    }

    /// Sets the seed of the random selection.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the number of rounds of `limit` successes before a limit is raised; clamped to 1 to 64.
    ///
    /// In `examples/limit_trial.rs` at 90% load, 1 leaves 10% of the requests without a slot, because limits
    /// near 1 are raised after every success and the extra request is refused; 16 leaves 0.2%.
    #[must_use]
    pub fn with_rounds_per_raise(mut self, rounds: u16) -> Self {
        self.rounds_per_raise = rounds.clamp(1, 64);
        self
    }

    /// Sets the initial limit; clamped to 1 to 8.
    #[must_use]
    pub fn with_initial_limit(mut self, limit: u16) -> Self {
        self.initial_limit = limit.clamp(1, MAX_UPSTREAM_LIMIT);
        self
    }
}

/// Returns the number of connections that each of `entry_vms` may open to one upstream, at least 1.
pub(crate) fn connection_share(entry_vms: u32) -> u32 {
    (UPSTREAM_CONNECTIONS / entry_vms.max(1)).max(1)
}
