use std::sync::Arc;

use arbutuspick_model::{AccountName, ClockTime, RefusalReason};
use arbutuspick_route::{
    AcquireError, AttemptResult, FairQueue, NextAction, QueueRefusal, QueuedRequest, RequestEvent,
    RequestKind, RequestLifecycle, RequestOutcome, RetryBudget, RoutingOptions, RoutingTable, SlotPermit,
};

use super::upstream_oracle::UpstreamOracle;
use super::{centre, service};

pub(crate) const UPSTREAMS: usize = 6;
pub(super) const QUEUE_BOUND: usize = 5;
/// Retries in the budget at the start, few enough that runs exhaust it.
pub(super) const INITIAL_RETRIES: usize = 5;

/// Simulated behaviour of the upstream or the network for one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum InjectedResult {
    Respond,
    Refuse,
    Leave,
    NoConnection,
    Lose { ran: bool },
}

/// Slot that a request holds, with the oracle's state at the time it was taken.
pub(super) struct HeldSlot {
    pub(super) permit: SlotPermit,
    pub(super) index: usize,
    pub(super) incarnation: u32,
    pub(super) halvings: u32,
    pub(super) acquired_at: u64,
}

pub(super) struct TrackedRequest {
    pub(super) lifecycle: RequestLifecycle,
    pub(super) account: usize,
    pub(super) slot: Option<HeldSlot>,
    /// How often an upstream actually ran it.
    pub(super) runs: usize,
    pub(super) outcome: Option<RequestOutcome>,
}

/// System under test (table, queue, budget and requests) with oracles that record what actually happened.
pub(crate) struct RouteHarness {
    pub(crate) table: RoutingTable,
    pub(crate) queue: FairQueue<usize>,
    /// Bit mask of the upstreams that answer every request with a fault.
    pub(crate) broken: u8,
    pub(super) budget: Arc<RetryBudget>,
    pub(super) now: u64,
    pub(super) centre_open: [bool; 2],
    pub(super) oracles: std::cell::RefCell<Vec<UpstreamOracle>>,
    pub(super) requests: Vec<TrackedRequest>,
}

fn has_bit(mask: u8, index: usize) -> bool {
    mask >> index & 1 == 1
}

impl RouteHarness {
    pub(crate) fn new() -> Self {
        let budget = RetryBudget::default();
        while budget.available() as usize > INITIAL_RETRIES {
            assert!(budget.try_take(0));
        }
        let mut harness = Self {
            table: RoutingTable::new(
                RoutingOptions::new(centre("own"))
                    .with_seed(3)
                    .with_rounds_per_raise(1),
            ),
            queue: FairQueue::with_bound(QUEUE_BOUND),
            broken: 0,
            budget: Arc::new(budget),
            now: 0,
            centre_open: [true; 2],
            oracles: std::cell::RefCell::new((0..UPSTREAMS).map(UpstreamOracle::new).collect()),
            requests: Vec::new(),
        };
        harness.update_upstreams(255, 0, 0);
        harness.record_heard(255);
        harness
    }

    pub(crate) fn update_upstreams(&mut self, listed: u8, leaving: u8, moved: u8) {
        let mut entries = Vec::new();
        for (index, oracle) in self.oracles.get_mut().iter_mut().enumerate() {
            if has_bit(listed, index) {
                oracle.add_to_list(has_bit(leaving, index), has_bit(moved, index), self.now);
                let leaving = has_bit(leaving, index);
                entries.push(arbutuspick_route::UpstreamEntry {
                    leaving,
                    ..oracle.entry.clone()
                });
            } else {
                oracle.remove_from_list(self.now);
            }
        }
        self.table.update_upstreams(entries, ClockTime(self.now));
    }

    pub(crate) fn mark_leaving(&mut self, index: usize) {
        let oracle = &mut self.oracles.get_mut()[index];
        assert_eq!(
            self.table.mark_leaving(oracle.name(), ClockTime(self.now)),
            oracle.listed
        );
        oracle.leaving |= oracle.listed;
    }

    pub(crate) fn record_heard(&mut self, mask: u8) {
        for (index, oracle) in self.oracles.get_mut().iter_mut().enumerate() {
            if has_bit(mask, index) && oracle.listed {
                self.table.record_heard(oracle.name(), ClockTime(self.now));
                oracle.last_heard = Some(self.now);
            }
        }
    }

    pub(crate) fn set_centre_open(&mut self, own: bool, open: bool) {
        self.table
            .set_centre_open(&centre(if own { "own" } else { "far" }), open);
        self.centre_open[usize::from(!own)] = open;
    }

    pub(crate) fn add_request(&mut self, kind: RequestKind, wait: u64, account: usize) {
        let lifecycle = RequestLifecycle::new(kind, ClockTime(self.now + wait), Arc::clone(&self.budget));
        let (slot, runs, outcome) = (None, 0, None);
        self.requests.push(TrackedRequest {
            lifecycle,
            account,
            slot,
            runs,
            outcome,
        });
        self.try_acquire(self.requests.len() - 1);
    }

    /// Advances one request that holds a slot.
    pub(crate) fn advance_request(&mut self, selector: usize, injected: InjectedResult) {
        let in_flight: Vec<_> = (0..self.requests.len())
            .filter(|index| self.requests[*index].slot.is_some())
            .collect();
        if in_flight.is_empty() {
            return;
        }
        let request_index = in_flight[selector % in_flight.len()];
        let request = &self.requests[request_index];
        let before_send = request.lifecycle.next_action() == NextAction::Send;
        let is_broken = has_bit(self.broken, request.slot.as_ref().unwrap().index);
        let (result, did_run) = match injected {
            InjectedResult::NoConnection if before_send => (AttemptResult::NotSent, false),
            _ if before_send => return self.send_request(request_index),
            InjectedResult::Respond | InjectedResult::NoConnection if is_broken => {
                (AttemptResult::Failed, true)
            }
            InjectedResult::Respond | InjectedResult::NoConnection => (AttemptResult::Succeeded, true),
            InjectedResult::Refuse => (AttemptResult::RefusedNotRun, false),
            InjectedResult::Leave => (AttemptResult::Leaving, false),
            InjectedResult::Lose { ran } => (AttemptResult::Lost, ran),
        };
        self.end_attempt(request_index, result, did_run);
    }

    /// Sends a request; checks that a non-idempotent one cannot have run before.
    fn send_request(&mut self, request_index: usize) {
        let lifecycle = &mut self.requests[request_index].lifecycle;
        let attempts = lifecycle.attempts();
        let earlier = &attempts[..attempts.len() - 1];
        let all_not_run = earlier
            .iter()
            .all(|attempt| attempt.result.unwrap().proves_not_run());
        assert!(
            lifecycle.kind().is_idempotent() || all_not_run,
            "non-idempotent request sent again although it may have run"
        );
        assert_eq!(
            lifecycle.handle(RequestEvent::Sent, ClockTime(self.now)),
            NextAction::Await
        );
    }

    fn end_attempt(&mut self, request_index: usize, result: AttemptResult, did_run: bool) {
        let now = ClockTime(self.now);
        let request = &mut self.requests[request_index];
        request.runs += usize::from(did_run);
        let HeldSlot {
            permit,
            index,
            incarnation,
            halvings,
            acquired_at,
        } = request.slot.take().unwrap();
        let is_probe = permit.is_probe();
        let counts_before = self.count_ejected();
        permit.finish(result, now);
        self.check_new_ejection(counts_before);
        let oracle = &mut self.oracles.get_mut()[index];
        if oracle.incarnation == incarnation && oracle.listed {
            oracle.in_flight -= 1;
            oracle.record_result(result, halvings, is_probe, self.now - acquired_at, self.now);
        }
        let action = self.requests[request_index]
            .lifecycle
            .handle(RequestEvent::Ended { result }, now);
        self.check_outcome(request_index);
        if action == NextAction::Acquire {
            self.try_acquire(request_index);
        }
        self.dequeue_waiting();
    }

    /// Acquires a slot for the request, or else queues or declines it.
    fn try_acquire(&mut self, request_index: usize) {
        let lifecycle = &self.requests[request_index].lifecycle;
        let (kind, tried) = (lifecycle.kind(), lifecycle.tried_upstreams());
        let result = self.table.acquire(&service(), kind, &tried, ClockTime(self.now));
        self.check_acquire(kind, &tried, result.as_ref());
        match result {
            Ok(permit) => self.assign(request_index, permit),
            Err(AcquireError::AllBusy) => self.enqueue(request_index),
            Err(error) => self.decline(request_index, error.refusal_reason()),
        }
    }

    fn assign(&mut self, request_index: usize, permit: SlotPermit) {
        let oracles = self.oracles.get_mut();
        let index = oracles
            .iter()
            .position(|oracle| oracle.name() == permit.upstream())
            .unwrap();
        let oracle = &mut oracles[index];
        oracle.in_flight += 1;
        let (incarnation, halvings, acquired_at) = (oracle.incarnation, oracle.halvings, self.now);
        let upstream = permit.upstream().clone();
        let request = &mut self.requests[request_index];
        request.slot = Some(HeldSlot {
            permit,
            index,
            incarnation,
            halvings,
            acquired_at,
        });
        let action = request
            .lifecycle
            .handle(RequestEvent::Assigned { upstream }, ClockTime(self.now));
        assert_eq!(action, NextAction::Send);
    }

    fn enqueue(&mut self, request_index: usize) {
        let request = &self.requests[request_index];
        let queued = QueuedRequest {
            account: AccountName::try_from(format!("a-{}", request.account)).unwrap(),
            weight: 1,
            service: service(),
            deadline: request.lifecycle.deadline(),
            waiter: request_index,
        };
        let refused = self.queue.push(queued, ClockTime(self.now)).refused;
        self.apply_refusals(refused);
    }

    fn apply_refusals(&mut self, refused: Vec<QueueRefusal<usize>>) {
        for QueueRefusal { waiter, reason } in refused {
            self.decline(waiter, reason);
        }
    }

    fn decline(&mut self, request_index: usize, reason: RefusalReason) {
        let lifecycle = &mut self.requests[request_index].lifecycle;
        assert_eq!(
            lifecycle.next_action(),
            NextAction::Acquire,
            "request declined while it holds a slot"
        );
        lifecycle.handle(RequestEvent::Declined { reason }, ClockTime(self.now));
        self.check_outcome(request_index);
    }

    /// Assigns slots to queued requests until one of them has to be queued again.
    fn dequeue_waiting(&mut self) {
        loop {
            let length = self.queue.len();
            let result = self.queue.pop(&service(), ClockTime(self.now));
            self.apply_refusals(result.refused);
            let Some(request_index) = result.waiter else {
                return;
            };
            self.try_acquire(request_index);
            if self.queue.len() >= length {
                return;
            }
        }
    }

    /// Sends overdue probes as health checks.
    pub(crate) fn send_overdue_probes(&mut self, result: AttemptResult) {
        let reports = self.table.state(ClockTime(self.now)).upstreams;
        for permit in self.table.overdue_probes(ClockTime(self.now)) {
            self.check_permit(RequestKind::Idempotent, &[], &permit, &reports, &[]);
            let mut oracles = self.oracles.borrow_mut();
            let oracle = oracles
                .iter_mut()
                .find(|oracle| oracle.name() == permit.upstream());
            let oracle = oracle.unwrap();
            permit.finish(result, ClockTime(self.now));
            oracle.record_result(result, oracle.halvings, true, 0, self.now);
        }
    }

    /// Advances the time and expires the requests whose deadline has passed.
    pub(crate) fn advance_time(&mut self, millis: u64) {
        self.now += millis;
        let refused = self.queue.remove_expired(ClockTime(self.now));
        self.apply_refusals(refused);
        for request_index in 0..self.requests.len() {
            let request = &self.requests[request_index];
            if request.slot.is_some() && request.lifecycle.deadline().0 <= self.now {
                let sent = request.lifecycle.next_action() == NextAction::Await;
                self.end_attempt(
                    request_index,
                    AttemptResult::Expired,
                    sent && request_index % 2 == 0,
                );
            }
        }
    }

    /// Delivers a response to a request whose outcome is already decided.
    pub(crate) fn deliver_late_response(&mut self, selector: usize) {
        if self.requests.is_empty() {
            return;
        }
        let request_index = selector % self.requests.len();
        if self.requests[request_index].outcome.is_some() {
            let result = AttemptResult::Succeeded;
            self.requests[request_index]
                .lifecycle
                .handle(RequestEvent::Ended { result }, ClockTime(self.now));
        }
    }

    /// Compares a new outcome with what actually happened.
    fn check_outcome(&mut self, request_index: usize) {
        let request = &mut self.requests[request_index];
        let Some(outcome) = request.lifecycle.outcome() else {
            return;
        };
        assert!(
            request.outcome.replace(outcome).is_none(),
            "outcome decided twice"
        );
        let attempts = request.lifecycle.attempts();
        match outcome {
            RequestOutcome::NotRun { .. } => assert_eq!(request.runs, 0, "not run, but it ran"),
            RequestOutcome::Ran { attempt } => {
                let result = attempts[attempt].result;
                assert!(matches!(
                    result,
                    Some(AttemptResult::Succeeded | AttemptResult::Failed)
                ));
            }
            RequestOutcome::Unknown { .. } => {
                let is_unresolved =
                    |result| matches!(result, Some(AttemptResult::Lost | AttemptResult::Expired));
                assert!(
                    attempts.iter().any(|attempt| is_unresolved(attempt.result)),
                    "outcome is unknown although no attempt was lost or expired"
                );
            }
        }
    }
}
