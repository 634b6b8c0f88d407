use arbutuspick_model::CentreName;

/// Highest limit of one entry VM for one upstream; an upstream has 8 slots.
pub const MAX_UPSTREAM_LIMIT: u16 = 8;
/// Connections that an upstream accepts from all entry VMs together.
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
    /// Entry VMs that share the connections of an upstream.
    pub entry_vms: u32,
    /// Seed of the random draws; equal seeds give equal draws in a single thread.
    pub seed: u64,
    /// Limit of an upstream that has not answered yet, from 1 to 8.
    pub initial_limit: u16,
    /// Successes for each unit of the limit after which the limit is raised by one, from 1 to 64.
    pub raise_rounds: u16,
}

impl RoutingOptions {
    /// Creates options for 7 entry VMs, an initial limit of 2 and limits that rise slowly.
    pub fn new(own_centre: CentreName) -> Self {
        // At 90% load 7 VMs left 10% of requests unserved with 1 raise round and 0.2% with 16
        // (examples/limit_trial.rs): fast rises make all VMs overload the slots that they share.
        // With 7 entry VMs an initial limit of 2 asks for at most 14 of the 8 slots of an upstream.
        Self {
            own_centre,
            entry_vms: 7,
            seed: 0,
            initial_limit: 2,
            raise_rounds: 16,
        }
    }

    /// Sets the number of entry VMs.
    #[must_use]
    pub fn with_entry_vms(mut self, entry_vms: u32) -> Self {
        self.entry_vms = entry_vms;
        self
    }

    /// Sets the seed of the random draws.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets how slowly limits rise; values outside 1 to 64 are clamped.
    ///
    /// In `examples/limit_trial.rs` at 90% load, 1 leaves a tenth of the requests without a slot, because
    /// limits near 1 are raised after every success and refused again; 16 leaves 0.2%.
    #[must_use]
    pub fn with_raise_rounds(mut self, rounds: u16) -> Self {
        self.raise_rounds = rounds.clamp(1, 64);
        self
    }

    /// Sets the initial limit; values outside 1 to 8 are clamped.
    #[must_use]
    pub fn with_initial_limit(mut self, limit: u16) -> Self {
        self.initial_limit = limit.clamp(1, MAX_UPSTREAM_LIMIT);
        self
    }
}

/// Returns the connections that one of `entry_vms` may open to an upstream, at least 1.
pub(crate) fn connection_share(entry_vms: u32) -> u32 {
    (UPSTREAM_CONNECTIONS / entry_vms.max(1)).max(1)
}
