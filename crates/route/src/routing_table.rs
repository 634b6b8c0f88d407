use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use arbutuspick_model::{CentreName, ClockTime, ServiceName, UpstreamName};
use arc_swap::ArcSwap;
use parking_lot::Mutex;

use crate::candidate_group::{GroupQuery, claim_probe};
use crate::list_keeper::ListKeeper;
use crate::random_source::RandomSource;
use crate::route_snapshot::{RouteSnapshot, SharedSnapshot};
use crate::routing_options::connection_share;
use crate::{RequestKind, RouteRefusal, RoutingOptions, SlotPermit, TableState, UpstreamEntry};

/// Time, in milliseconds, for which a due probe waits for an idempotent request.
const PROBE_WAIT_MS: u64 = 1_000;

/// Upstreams of all services and the choice among them.
///
/// Choosing and finishing take no lock; only changes of the list and of data centres do.
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
/// table.update_list([entry], ClockTime(0));
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
    keeper: Mutex<ListKeeper>,
    random: RandomSource,
}

impl RoutingTable {
    /// Creates an empty table.
    pub fn new(options: RoutingOptions) -> Self {
        Self {
            connection_cap: AtomicU32::new(connection_share(options.entry_vms)),
            snapshot: Arc::new(ArcSwap::from_pointee(RouteSnapshot::default())),
            keeper: Mutex::new(ListKeeper::default()),
            random: RandomSource::new(options.seed),
            options,
        }
    }

    /// Replaces the list; upstreams at the same address keep their state and do not stop leaving.
    ///
    /// A new upstream gets no work until it was heard once. Of equal names the last is used.
    pub fn update_list<Entries>(&self, entries: Entries, now: ClockTime)
    where
        Entries: IntoIterator<Item = UpstreamEntry>,
    {
        let mut keeper = self.keeper.lock();
        let old = self.snapshot.load_full();
        let merged = keeper.merge(&old.by_name, entries, &self.options, now);
        let snapshot = RouteSnapshot::new(merged, &self.options.own_centre);
        self.snapshot.store(Arc::new(snapshot));
    }

    /// Gives an upstream no new work from now on; returns whether it is listed.
    pub fn mark_leaving(&self, name: &UpstreamName, now: ClockTime) -> bool {
        // The lock orders this after a concurrent change of the list, which may replace the state.
        let _keeper = self.keeper.lock();
        let snapshot = self.snapshot.load();
        let upstream = snapshot.by_name.get(name);
        upstream.inspect(|upstream| upstream.mark_leaving(now)).is_some()
    }

    /// Records that an upstream answered a health check or showed any other sign of life.
    pub fn record_heard(&self, name: &UpstreamName, now: ClockTime) {
        if let Some(upstream) = self.snapshot.load().by_name.get(name) {
            upstream.record_heard(now);
        }
    }

    /// Returns the upstreams that need a health check; each is returned at most once a second.
    pub fn stale(&self, now: ClockTime) -> Vec<(UpstreamName, SocketAddr)> {
        let snapshot = self.snapshot.load();
        let due = snapshot
            .by_name
            .values()
            .filter(|upstream| upstream.start_check(now));
        due.map(|upstream| (upstream.entry.name.clone(), upstream.entry.address))
            .collect()
    }

    /// Sets whether the upstreams of a data centre get new requests.
    pub fn set_centre_open(&self, centre: &CentreName, open: bool) {
        let mut keeper = self.keeper.lock();
        if open {
            keeper.closed.remove(centre);
        } else {
            keeper.closed.insert(centre.clone());
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

    /// Returns the connections that this entry VM may have to one upstream.
    pub fn connection_cap(&self) -> u32 {
        self.connection_cap.load(Ordering::Acquire)
    }

    /// Takes a slot of an upstream of the own data centre, or of another when none there has room.
    pub fn acquire(
        &self,
        service: &ServiceName,
        kind: RequestKind,
        excluded: &[UpstreamName],
        now: ClockTime,
    ) -> Result<SlotPermit, RouteRefusal> {
        let snapshot = self.snapshot.load();
        let groups = snapshot.groups(service).ok_or(RouteRefusal::NoUpstream)?;
        let query = GroupQuery {
            kind,
            excluded,
            cap: self.connection_cap(),
            now,
        };
        let (mut any_live, mut any_admitted) = (false, false);
        for group in [&groups.own, &groups.others] {
            let offer = group.offer(query, &self.random);
            if let Some(claim) = offer.claim {
                return Ok(SlotPermit::new(claim, Arc::clone(&self.snapshot), now));
            }
            any_live |= offer.any_live;
            any_admitted |= offer.any_admitted;
        }
        Err(match (any_live, any_admitted) {
            (false, _) => RouteRefusal::NoUpstream,
            (true, false) => RouteRefusal::AllTried,
            (true, true) => RouteRefusal::AllBusy,
        })
    }

    /// Takes the probes that no idempotent request took within 1 s; each is for a health check.
    ///
    /// Without them an upstream whose requests are all non-idempotent would stay ejected for ever.
    pub fn overdue_probes(&self, now: ClockTime) -> Vec<SlotPermit> {
        let snapshot = self.snapshot.load();
        let overdue = snapshot.by_name.values().filter(|upstream| {
            let until = upstream.ejection.until();
            upstream.is_live(now) && until.is_some_and(|until| now >= until + PROBE_WAIT_MS)
        });
        overdue
            .filter_map(|upstream| claim_probe(upstream, self.connection_cap(), now))
            .map(|claim| SlotPermit::new(claim, Arc::clone(&self.snapshot), now))
            .collect()
    }

    /// Returns the state of all upstreams.
    pub fn state(&self, now: ClockTime) -> TableState {
        let closed_centres = self.keeper.lock().closed.iter().cloned().collect();
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
