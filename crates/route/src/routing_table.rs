use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use arbutuspick_model::{CentreName, ClockTime, ServiceName, UpstreamName};
use arc_swap::ArcSwap;
use parking_lot::Mutex;

use crate::candidate_group::{GroupQuery, acquire_probe};
use crate::list_merger::ListMerger;
use crate::random_source::RandomSource;
use crate::route_snapshot::{RouteSnapshot, SharedSnapshot};
use crate::routing_options::connection_share;
use crate::{AcquireError, RequestKind, RoutingOptions, SlotPermit, TableState, UpstreamEntry};

/// Time, in milliseconds, after which a due probe that no idempotent request has taken becomes overdue.
const PROBE_WAIT_MS: u64 = 1_000;

/// Upstreams of all services, and the selection among them.
///
/// Acquiring and finishing are lock-free; only changes of the list and of data centres take a lock.
///
/// ```
/// use arbutuspick_model::{CentreName, ClockTime, ServiceName, UpstreamName};
/// use arbutuspick_route::{AttemptResult, RequestKind, RoutingOptions, RoutingTable, UpstreamEntry};
/// let trent = CentreName::try_from("trent")?;
/// let booking = ServiceName::try_from("booking")?;
/// let name = UpstreamName::try_from("booking-1")?;
/// let table = RoutingTable::new(RoutingOptions::new(trent.clone()));
/// let address = ([127, 0, 0, 1], 9000).into();
/// let entry = UpstreamEntry {
///     name: name.clone(), service: booking.clone(), data_centre: trent, address, leaving: false,
/// };
/// table.update_upstreams([entry], ClockTime(0));
/// table.record_heard(&name, ClockTime(5));
/// let permit = table.acquire(&booking, RequestKind::Idempotent, &[], ClockTime(10)).unwrap();
/// permit.finish(AttemptResult::Succeeded, ClockTime(12));
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
#[derive(Debug)]
pub struct RoutingTable {
    options: RoutingOptions,
    connection_cap: AtomicU32,
    snapshot: SharedSnapshot,
    merger: Mutex<ListMerger>,
    random: RandomSource,
}

impl RoutingTable {
    /// Creates an empty table.
    pub fn new(options: RoutingOptions) -> Self {
        Self {
            connection_cap: AtomicU32::new(connection_share(options.entry_vms)),
            snapshot: Arc::new(ArcSwap::from_pointee(RouteSnapshot::default())),
            merger: Mutex::new(ListMerger::default()),
            random: RandomSource::new(options.seed),
            options,
        }
    }

    /// Replaces the list; upstreams with the same address, service and data centre keep their state.
    ///
    /// An upstream that is leaving stays so while it is listed at the same address, and for 60 s after it was
    /// delisted.
    ///
    /// A new upstream gets no requests until it was heard from. Of entries with equal names the last is used.
    pub fn update_upstreams<Entries>(&self, entries: Entries, now: ClockTime)
    where
        Entries: IntoIterator<Item = UpstreamEntry>,
    {
        let mut merger = self.merger.lock();
        let old = self.snapshot.load_full();
        let merged = merger.merge(&old.by_name, entries, &self.options, now);
        let snapshot = RouteSnapshot::new(merged, &self.options.own_centre);
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Sends no new requests to an upstream from now on; returns whether it is listed.
    pub fn mark_leaving(&self, name: &UpstreamName, now: ClockTime) -> bool {
        // The lock serialises this with a concurrent change of the list, which may replace the state.
        let _merger = self.merger.lock();
        let snapshot = self.snapshot.load();
        let upstream = snapshot.by_name.get(name);
        upstream.inspect(|upstream| upstream.mark_leaving(now)).is_some()
    }

    /// Records that an upstream responded to a health check or was otherwise heard from.
    pub fn record_heard(&self, name: &UpstreamName, now: ClockTime) {
        if let Some(upstream) = self.snapshot.load().by_name.get(name) {
            upstream.record_heard(now);
        }
    }

    /// Returns the upstreams whose health check is due, and counts the checks as started.
    ///
    /// Each upstream is returned at most once a second.
    pub fn due_health_checks(&self, now: ClockTime) -> Vec<(UpstreamName, SocketAddr)> {
        let snapshot = self.snapshot.load();
        let due = snapshot
            .by_name
            .values()
            .filter(|upstream| upstream.try_start_health_check(now));
        due.map(|upstream| (upstream.entry.name.clone(), upstream.entry.address))
            .collect()
    }

    /// Sets whether the upstreams of a data centre receive new requests.
    pub fn set_centre_open(&self, centre: &CentreName, open: bool) {
        let mut merger = self.merger.lock();
        if open {
            merger.closed_centres.remove(centre);
        } else {
            merger.closed_centres.insert(centre.clone());
        }
        for upstream in self.snapshot.load().by_name.values() {
            if upstream.entry.data_centre == *centre {
                upstream.set_centre_open(open);
            }
        }
    }

    /// Sets the number of entry VMs that share the connections of an upstream.
    pub fn set_entry_vms(&self, entry_vms: u32) {
        self.connection_cap
            .store(connection_share(entry_vms), Ordering::Release);
    }

    /// Returns the number of connections that this entry VM may have to one upstream.
    pub fn connection_cap(&self) -> u32 {
        self.connection_cap.load(Ordering::Acquire)
    }

    /// Acquires a slot in the own data centre, or in another one if no upstream there has a free slot.
    pub fn acquire(
        &self,
        service: &ServiceName,
        kind: RequestKind,
        excluded: &[UpstreamName],
        now: ClockTime,
    ) -> Result<SlotPermit, AcquireError> {
        let snapshot = self.snapshot.load();
        let groups = snapshot.groups(service).ok_or(AcquireError::NoUpstream)?;
        let query = GroupQuery {
            kind,
            excluded,
            connection_cap: self.connection_cap(),
            now,
        };
        let (mut any_live, mut any_admitted) = (false, false);
        for group in [&groups.local, &groups.remote] {
            let selection = group.select(query, &self.random);
            if let Some(slot) = selection.slot {
                return Ok(SlotPermit::new(slot, Arc::clone(&self.snapshot), now));
            }
            any_live |= selection.any_live;
            any_admitted |= selection.any_admitted;
        }
        Err(match (any_live, any_admitted) {
            (false, _) => AcquireError::NoUpstream,
            (true, false) => AcquireError::AllExcluded,
            (true, true) => AcquireError::AllBusy,
        })
    }

    /// Acquires the probes that no idempotent request has taken within 1 s, to be sent as health checks.
    ///
    /// Without them, an upstream that gets only non-idempotent requests would stay ejected indefinitely.
    pub fn overdue_probes(&self, now: ClockTime) -> Vec<SlotPermit> {
        let snapshot = self.snapshot.load();
        let overdue = snapshot.by_name.values().filter(|upstream| {
            let until = upstream.ejection.ejected_until();
            upstream.is_live(now) && until.is_some_and(|until| now >= until + PROBE_WAIT_MS)
        });
        overdue
            .filter_map(|upstream| acquire_probe(upstream, self.connection_cap(), now))
            .map(|slot| SlotPermit::new(slot, Arc::clone(&self.snapshot), now))
            .collect()
    }

    /// Returns the state of the table and of all upstreams.
    pub fn state(&self, now: ClockTime) -> TableState {
        let closed_centres = self.merger.lock().closed_centres.iter().cloned().collect();
        let snapshot = self.snapshot.load();
        let upstreams = snapshot.by_name.values().map(|upstream| upstream.report(now));
        TableState {
            own_centre: self.options.own_centre.clone(),
            closed_centres,
            connection_cap: self.connection_cap(),
            upstreams: upstreams.collect(),
        }
    }
}
