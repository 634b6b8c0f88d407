use arbutuspick_model::{ClockTime, UpstreamName};
use arbutuspick_route::{AcquireError, RequestKind, SlotPermit, UpstreamReport};

use super::centre;
use super::route_harness::{HeldSlot, INITIAL_RETRIES, QUEUE_BOUND, RouteHarness, UPSTREAMS};
use super::upstream_oracle::{LOCAL_UPSTREAMS, UpstreamOracle};

/// Checks of the table's results and of the harness state against the oracles.
impl RouteHarness {
    pub(super) fn is_live(&self, index: usize) -> bool {
        let open = self.centre_open[usize::from(index >= LOCAL_UPSTREAMS)];
        self.oracles.borrow()[index].is_live(open, self.now)
    }

    /// Returns the upstreams that a request that is not a probe may be assigned to.
    pub(super) fn eligible(&self, tried: &[UpstreamName], reports: &[UpstreamReport]) -> Vec<usize> {
        let oracles = self.oracles.borrow();
        let ejected = |index: usize| {
            let mut same = reports
                .iter()
                .filter(|report| report.entry.name == *oracles[index].name());
            same.any(|report| report.ejected_until.is_some())
        };
        let room = |index: usize| {
            let oracle: &UpstreamOracle = &oracles[index];
            oracle.in_flight < oracle.limit.min(self.table.connection_cap())
        };
        (0..UPSTREAMS)
            .filter(|index| self.is_live(*index) && !tried.contains(oracles[*index].name()))
            .filter(|index| !ejected(*index) && room(*index))
            .collect()
    }

    pub(super) fn check_acquire(
        &self,
        kind: RequestKind,
        tried: &[UpstreamName],
        result: Result<&SlotPermit, &AcquireError>,
    ) {
        let reports = self.table.state(ClockTime(self.now)).upstreams;
        let [(ejected, own, _), _] = self.count_ejected();
        assert!(
            ejected * 2 <= own,
            "{ejected} of {own} live upstreams stay ejected"
        );
        let eligible = self.eligible(tried, &reports);
        let live = (0..UPSTREAMS).any(|index| self.is_live(index));
        match result {
            Err(error) => {
                assert!(
                    eligible.is_empty(),
                    "refused although {eligible:?} have free slots"
                );
                assert_eq!(*error == AcquireError::NoUpstream, !live);
            }
            Ok(permit) => self.check_permit(kind, tried, permit, &reports, &eligible),
        }
    }

    pub(super) fn check_permit(
        &self,
        kind: RequestKind,
        tried: &[UpstreamName],
        permit: &SlotPermit,
        reports: &[UpstreamReport],
        eligible: &[usize],
    ) {
        let oracles = self.oracles.borrow();
        let index = oracles
            .iter()
            .position(|oracle| oracle.name() == permit.upstream())
            .unwrap();
        let oracle = &oracles[index];
        assert!(
            self.is_live(index),
            "{} was selected although it is not live",
            oracle.name()
        );
        assert_eq!(permit.address(), oracle.entry.address);
        assert!(!tried.contains(oracle.name()), "upstream was tried before");
        let room = oracle.limit.min(self.table.connection_cap());
        assert!(
            oracle.in_flight < room,
            "{} in flight, {room} allowed",
            oracle.in_flight
        );
        let report = reports
            .iter()
            .find(|report| report.entry.name == *oracle.name())
            .unwrap();
        assert_eq!(permit.is_probe(), report.ejected_until.is_some(), "ejected");
        if permit.is_probe() {
            assert!(
                kind.is_idempotent() && tried.is_empty(),
                "probe with a {kind:?} request or a retry"
            );
            let due = report.ejected_until <= Some(ClockTime(self.now));
            assert!(due, "probe before the end of the ejection");
            let mut slots = self.requests.iter().filter_map(|request| request.slot.as_ref());
            let other = |slot: &HeldSlot| slot.incarnation == oracle.incarnation && slot.permit.is_probe();
            assert!(
                !slots.any(|slot| slot.index == index && other(slot)),
                "two probes in flight"
            );
        } else if index >= LOCAL_UPSTREAMS {
            assert!(
                eligible.iter().all(|other| *other >= LOCAL_UPSTREAMS),
                "upstream of another data centre selected although a local one is eligible"
            );
        }
    }

    /// Returns the numbers of ejected live, live and ejected upstreams, in the own data centre and in others.
    pub(super) fn count_ejected(&self) -> [(usize, usize, usize); 2] {
        let mut counts = [(0, 0, 0); 2];
        for report in self.table.state(ClockTime(self.now)).upstreams {
            let (ejected_live, live, all) =
                &mut counts[usize::from(report.entry.data_centre != centre("own"))];
            let ejected = report.ejected_until.is_some();
            *ejected_live += usize::from(ejected && report.live);
            *live += usize::from(report.live);
            *all += usize::from(ejected);
        }
        counts
    }

    /// Checks that a new ejection leaves at least half of the live upstreams.
    ///
    /// When others leave later, the next acquisition readmits the excess.
    pub(super) fn check_new_ejection(&self, before: [(usize, usize, usize); 2]) {
        for ((_, _, old), (ejected_live, live, all)) in before.into_iter().zip(self.count_ejected()) {
            assert!(
                all <= old || ejected_live * 2 <= live,
                "{ejected_live} of {live} live upstreams are ejected"
            );
        }
    }

    pub(crate) fn check_upstreams(&self) {
        for report in self.table.state(ClockTime(self.now)).upstreams {
            let mut oracles = self.oracles.borrow_mut();
            let oracle = oracles
                .iter_mut()
                .find(|oracle| *oracle.name() == report.entry.name);
            oracle.unwrap().check(&report);
        }
    }

    pub(crate) fn check_requests(&self) {
        assert!(self.queue.len() <= QUEUE_BOUND, "queue exceeds its bound");
        let retries: usize = self
            .requests
            .iter()
            .map(|request| request.lifecycle.attempts().len().saturating_sub(1))
            .sum();
        assert!(
            retries <= INITIAL_RETRIES + self.requests.len() / 10,
            "{retries} retries exceed the budget"
        );
        for request in &self.requests {
            assert!(request.lifecycle.attempts().len() <= 3, "more than 2 retries");
            assert!(
                request.runs <= 1 || request.lifecycle.kind().is_idempotent(),
                "non-idempotent request ran twice"
            );
            assert_eq!(request.lifecycle.outcome(), request.outcome, "outcome changed");
        }
    }

    pub(crate) fn check_final_state(&self) {
        assert!(self.queue.is_empty());
        assert!(
            self.requests.iter().all(|request| request.outcome.is_some()),
            "request without an outcome"
        );
        for report in self.table.state(ClockTime(self.now)).upstreams {
            assert_eq!(report.in_flight, 0);
        }
    }
}
