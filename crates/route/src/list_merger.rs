use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use arbutuspick_model::{CentreName, ClockTime, UpstreamName};

use crate::upstream_state::UpstreamState;
use crate::{RoutingOptions, UpstreamEntry};

/// Time, in milliseconds, for which the tombstone of a leaving upstream is kept after it is no longer listed.
///
/// The list lags and may show such an upstream as live again. A VM that restarts at the same address gets
/// requests after this time.
const TOMBSTONE_RETENTION_MS: u64 = 60_000;

/// Merges a new list with the known upstreams; used by writers only, under a lock.
#[derive(Debug, Default)]
pub(crate) struct ListMerger {
    pub(crate) closed_centres: BTreeSet<CentreName>,
    tombstones: BTreeMap<UpstreamName, UpstreamTombstone>,
}

/// Record of a leaving incarnation that is no longer listed.
#[derive(Debug)]
struct UpstreamTombstone {
    address: SocketAddr,
    expires_at: ClockTime,
}

impl ListMerger {
    /// Returns the upstreams of a new list; those that were listed before keep their state.
    pub(crate) fn merge<Entries>(
        &mut self,
        old: &BTreeMap<UpstreamName, Arc<UpstreamState>>,
        entries: Entries,
        options: &RoutingOptions,
        now: ClockTime,
    ) -> BTreeMap<UpstreamName, Arc<UpstreamState>>
    where
        Entries: IntoIterator<Item = UpstreamEntry>,
    {
        let mut merged = BTreeMap::new();
        for entry in entries {
            let name = entry.name.clone();
            let upstream = self.merge_entry(old.get(&name), entry, options, now);
            merged.insert(name, upstream);
        }
        self.record_tombstones(old, &merged, now);
        merged
    }

    fn merge_entry(
        &self,
        old: Option<&Arc<UpstreamState>>,
        entry: UpstreamEntry,
        options: &RoutingOptions,
        now: ClockTime,
    ) -> Arc<UpstreamState> {
        let leaving = entry.leaving || self.is_known_leaving(old, &entry, now);
        let upstream = match old {
            Some(old) if old.entry.is_same_incarnation(&entry) => Arc::clone(old),
            _ => {
                let open = !self.closed_centres.contains(&entry.data_centre);
                Arc::new(UpstreamState::new(entry, options, open))
            }
        };
        if leaving {
            upstream.mark_leaving(now);
        }
        upstream
    }

    /// Returns whether the upstream at this address, listed or recently delisted, was known to be leaving.
    fn is_known_leaving(
        &self,
        old: Option<&Arc<UpstreamState>>,
        entry: &UpstreamEntry,
        now: ClockTime,
    ) -> bool {
        let listed = old.is_some_and(|old| old.entry.address == entry.address && old.is_leaving());
        let delisted = self
            .tombstones
            .get(&entry.name)
            .is_some_and(|tombstone| tombstone.address == entry.address && now < tombstone.expires_at);
        listed || delisted
    }

    fn record_tombstones(
        &mut self,
        old: &BTreeMap<UpstreamName, Arc<UpstreamState>>,
        merged: &BTreeMap<UpstreamName, Arc<UpstreamState>>,
        now: ClockTime,
    ) {
        self.tombstones
            .retain(|name, tombstone| tombstone.expires_at > now && !merged.contains_key(name));
        let delisted = old
            .iter()
            .filter(|(name, upstream)| !merged.contains_key(name) && upstream.is_leaving());
        for (name, upstream) in delisted {
            let tombstone = UpstreamTombstone {
                address: upstream.entry.address,
                expires_at: now + TOMBSTONE_RETENTION_MS,
            };
            self.tombstones.insert(name.clone(), tombstone);
        }
    }
}
