use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use arbutuspick_model::{CentreName, ClockTime, UpstreamName};

use crate::upstream_state::UpstreamState;
use crate::{RoutingOptions, UpstreamEntry};

/// Time, in milliseconds, for which an upstream that left is remembered after it vanished from the list.
///
/// The list lags and may show it again as live; a VM restarted at the same address is used after this time.
const DEPARTED_MS: u64 = 60_000;

/// What must survive a change of the list; used by writers only, under a lock.
#[derive(Debug, Default)]
pub(crate) struct ListKeeper {
    pub(crate) closed: BTreeSet<CentreName>,
    departed: BTreeMap<UpstreamName, DepartedMark>,
}

/// Incarnation that left and is no longer listed.
#[derive(Debug)]
struct DepartedMark {
    address: SocketAddr,
    forget_at: ClockTime,
}

impl ListKeeper {
    /// Returns the upstreams of a new list, with the state of those that stay.
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
        self.remember_departed(old, &merged, now);
        merged
    }

    fn merge_entry(
        &self,
        old: Option<&Arc<UpstreamState>>,
        entry: UpstreamEntry,
        options: &RoutingOptions,
        now: ClockTime,
    ) -> Arc<UpstreamState> {
        let leaving = entry.leaving || self.has_left(old, &entry, now);
        let upstream = match old {
            Some(old) if old.entry.is_same_incarnation(&entry) => Arc::clone(old),
            _ => {
                let open = !self.closed.contains(&entry.data_centre);
                Arc::new(UpstreamState::new(entry, options, open))
            }
        };
        if leaving {
            upstream.mark_leaving(now);
        }
        upstream
    }

    /// Returns whether the incarnation at this address was already known to leave.
    fn has_left(&self, old: Option<&Arc<UpstreamState>>, entry: &UpstreamEntry, now: ClockTime) -> bool {
        let listed = old.is_some_and(|old| old.entry.address == entry.address && old.is_leaving());
        let departed = self
            .departed
            .get(&entry.name)
            .is_some_and(|mark| mark.address == entry.address && now < mark.forget_at);
        listed || departed
    }

    fn remember_departed(
        &mut self,
        old: &BTreeMap<UpstreamName, Arc<UpstreamState>>,
        merged: &BTreeMap<UpstreamName, Arc<UpstreamState>>,
        now: ClockTime,
    ) {
        self.departed
            .retain(|name, mark| mark.forget_at > now && !merged.contains_key(name));
        let gone = old
            .iter()
            .filter(|(name, upstream)| !merged.contains_key(name) && upstream.is_leaving());
        for (name, upstream) in gone {
            let mark = DepartedMark {
                address: upstream.entry.address,
                forget_at: now + DEPARTED_MS,
            };
            self.departed.insert(name.clone(), mark);
        }
    }
}
