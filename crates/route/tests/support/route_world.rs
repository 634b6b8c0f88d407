use std::sync::Arc;

use arbutuspick_model::{AccountName, ClockTime, RefusalReason};
use arbutuspick_route::{
    AttemptResult, FairQueue, PlanEvent, PlanStep, QueueRefusal, QueueTicket, RequestKind, RequestOutcome,
    RequestPlan, RetryBudget, RouteRefusal, RoutingOptions, RoutingTable, SlotPermit, UpstreamReport,
};

use super::upstream_oracle::{OWN, UpstreamOracle};
use super::{centre, service};

pub(crate) const UPSTREAMS: usize = 6;
const QUEUE_BOUND: usize = 5;
/// Retries that are left in the budget at the start, so that runs reach its end.
const FIRST_RETRIES: usize = 5;

/// What an upstream or the network does to a request.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    Answer,
    Refuse,
    Leave,
    NoConnection,
    Lose { ran: bool },
}

/// A slot as the oracle counts it.
struct HeldSlot {
    permit: SlotPermit,
    index: usize,
    incarnation: u32,
    halvings: u32,
    taken_at: u64,
}

struct WorldRequest {
    plan: RequestPlan,
    account: usize,
    slot: Option<HeldSlot>,
    /// How often an upstream really ran it.
    runs: usize,
    told: Option<RequestOutcome>,
}

/// A table with its queue and budget, the requests of callers, and what really happened to them.
pub(crate) struct RouteWorld {
    pub(crate) table: RoutingTable,
    pub(crate) queue: FairQueue<usize>,
    /// Upstreams that fail everything, by bit.
    pub(crate) broken: u8,
    budget: Arc<RetryBudget>,
    now: u64,
    open: [bool; 2],
    oracles: std::cell::RefCell<Vec<UpstreamOracle>>,
    requests: Vec<WorldRequest>,
}

fn has_bit(mask: u8, index: usize) -> bool {
    mask >> index & 1 == 1
}

impl RouteWorld {
    pub(crate) fn new() -> Self {
        let budget = RetryBudget::default();
        while budget.available() as usize > FIRST_RETRIES {
            assert!(budget.try_take(0));
        }
        let mut world = Self {
            table: RoutingTable::new(RoutingOptions::new(centre("own")).with_seed(3)),
            queue: FairQueue::with_bound(QUEUE_BOUND),
            broken: 0,
            budget: Arc::new(budget),
            now: 0,
            open: [true; 2],
            oracles: std::cell::RefCell::new((0..UPSTREAMS).map(UpstreamOracle::new).collect()),
            requests: Vec::new(),
        };
        world.update_list(255, 0, 0);
        world.hear(255);
        world
    }

    pub(crate) fn update_list(&mut self, listed: u8, leaving: u8, moved: u8) {
        let mut entries = Vec::new();
        for (index, oracle) in self.oracles.get_mut().iter_mut().enumerate() {
            if has_bit(listed, index) {
                oracle.list(has_bit(leaving, index), has_bit(moved, index), self.now);
                let leaving = has_bit(leaving, index);
                entries.push(arbutuspick_route::UpstreamEntry {
                    leaving,
                    ..oracle.entry.clone()
                });
            } else {
                oracle.unlist(self.now);
            }
        }
        self.table.update_list(entries, ClockTime(self.now));
    }

    pub(crate) fn mark_leaving(&mut self, index: usize) {
        let oracle = &mut self.oracles.get_mut()[index];
        assert_eq!(
            self.table.mark_leaving(oracle.name(), ClockTime(self.now)),
            oracle.listed
        );
        oracle.leaving |= oracle.listed;
    }

    pub(crate) fn hear(&mut self, mask: u8) {
        for (index, oracle) in self.oracles.get_mut().iter_mut().enumerate() {
            if has_bit(mask, index) && oracle.listed {
                self.table.record_heard(oracle.name(), ClockTime(self.now));
                oracle.heard = Some(self.now);
            }
        }
    }

    pub(crate) fn set_centre(&mut self, own: bool, open: bool) {
        self.table
            .set_centre_open(&centre(if own { "own" } else { "far" }), open);
        self.open[usize::from(!own)] = open;
    }

    pub(crate) fn arrive(&mut self, kind: RequestKind, wait: u64, account: usize) {
        let plan = RequestPlan::new(kind, ClockTime(self.now + wait), Arc::clone(&self.budget));
        let (slot, runs, told) = (None, 0, None);
        self.requests.push(WorldRequest {
            plan,
            account,
            slot,
            runs,
            told,
        });
        self.place(self.requests.len() - 1);
    }

    /// Moves one open request on.
    pub(crate) fn progress(&mut self, pick: usize, fate: Fate) {
        let open: Vec<_> = (0..self.requests.len())
            .filter(|index| self.requests[*index].slot.is_some())
            .collect();
        if open.is_empty() {
            return;
        }
        let number = open[pick % open.len()];
        let request = &self.requests[number];
        let sending = request.plan.step() == PlanStep::Send;
        let broken = has_bit(self.broken, request.slot.as_ref().unwrap().index);
        let (result, ran) = match fate {
            Fate::NoConnection if sending => (AttemptResult::NotSent, false),
            _ if sending => return self.send(number),
            Fate::Answer | Fate::NoConnection if broken => (AttemptResult::Failed, true),
            Fate::Answer | Fate::NoConnection => (AttemptResult::Succeeded, true),
            Fate::Refuse => (AttemptResult::RefusedNotRun, false),
            Fate::Leave => (AttemptResult::Leaving, false),
            Fate::Lose { ran } => (AttemptResult::Lost, ran),
        };
        self.end(number, result, ran);
    }

    /// Sends a request after a check that a non-idempotent one cannot have run before.
    fn send(&mut self, number: usize) {
        let plan = &mut self.requests[number].plan;
        let attempts = plan.attempts();
        let earlier = &attempts[..attempts.len() - 1];
        let proven = earlier
            .iter()
            .all(|attempt| attempt.result.unwrap().is_proof_of_not_run());
        assert!(
            plan.kind().is_idempotent() || proven,
            "a non-idempotent request is sent twice"
        );
        assert_eq!(plan.handle(PlanEvent::Sent, ClockTime(self.now)), PlanStep::Await);
    }

    fn end(&mut self, number: usize, result: AttemptResult, ran: bool) {
        let now = ClockTime(self.now);
        let request = &mut self.requests[number];
        request.runs += usize::from(ran);
        let HeldSlot {
            permit,
            index,
            incarnation,
            halvings,
            taken_at,
        } = request.slot.take().unwrap();
        let probe = permit.is_probe();
        let before = self.count_ejected();
        permit.finish(result, now);
        self.check_new_ejection(before);
        let oracle = &mut self.oracles.get_mut()[index];
        if oracle.incarnation == incarnation && oracle.listed {
            oracle.in_flight -= 1;
            oracle.record(result, halvings, probe, self.now - taken_at, self.now);
        }
        let step = self.requests[number]
            .plan
            .handle(PlanEvent::Ended { result }, now);
        self.settle(number);
        if step == PlanStep::Acquire {
            self.place(number);
        }
        self.start_waiting();
    }

    /// Takes a slot for the request, lets it wait, or tells its caller that it was refused.
    fn place(&mut self, number: usize) {
        let plan = &self.requests[number].plan;
        let (kind, tried) = (plan.kind(), plan.tried());
        let result = self.table.acquire(&service(), kind, &tried, ClockTime(self.now));
        self.check_choice(kind, &tried, result.as_ref());
        match result {
            Ok(permit) => self.assign(number, permit),
            Err(RouteRefusal::AllBusy) => self.wait(number),
            Err(refusal) => self.decline(number, refusal.reason()),
        }
    }

    fn assign(&mut self, number: usize, permit: SlotPermit) {
        let oracles = self.oracles.get_mut();
        let index = oracles
            .iter()
            .position(|oracle| oracle.name() == permit.upstream())
            .unwrap();
        let oracle = &mut oracles[index];
        oracle.in_flight += 1;
        let (incarnation, halvings, taken_at) = (oracle.incarnation, oracle.halvings, self.now);
        let upstream = permit.upstream().clone();
        let request = &mut self.requests[number];
        request.slot = Some(HeldSlot {
            permit,
            index,
            incarnation,
            halvings,
            taken_at,
        });
        let step = request
            .plan
            .handle(PlanEvent::Assigned { upstream }, ClockTime(self.now));
        assert_eq!(step, PlanStep::Send);
    }

    fn wait(&mut self, number: usize) {
        let request = &self.requests[number];
        let ticket = QueueTicket {
            account: AccountName::try_from(format!("a-{}", request.account)).unwrap(),
            weight: 1,
            service: service(),
            deadline: request.plan.deadline(),
            waiter: number,
        };
        let refused = self.queue.push(ticket, ClockTime(self.now)).refused;
        self.refuse(refused);
    }

    fn refuse(&mut self, refused: Vec<QueueRefusal<usize>>) {
        for QueueRefusal { waiter, reason } in refused {
            self.decline(waiter, reason);
        }
    }

    fn decline(&mut self, number: usize, reason: RefusalReason) {
        let plan = &mut self.requests[number].plan;
        assert_eq!(plan.step(), PlanStep::Acquire, "declined while it holds a slot");
        plan.handle(PlanEvent::Declined { reason }, ClockTime(self.now));
        self.settle(number);
    }

    /// Starts requests that wait until one of them has to wait again.
    fn start_waiting(&mut self) {
        loop {
            let length = self.queue.len();
            let result = self.queue.pop(&service(), ClockTime(self.now));
            self.refuse(result.refused);
            let Some(number) = result.waiter else { return };
            self.place(number);
            if self.queue.len() >= length {
                return;
            }
        }
    }

    /// Lets time pass and the deadlines of requests with it.
    pub(crate) fn tick(&mut self, millis: u64) {
        self.now += millis;
        let refused = self.queue.remove_expired(ClockTime(self.now));
        self.refuse(refused);
        for number in 0..self.requests.len() {
            let request = &self.requests[number];
            if request.slot.is_some() && request.plan.deadline().0 <= self.now {
                let sent = request.plan.step() == PlanStep::Await;
                self.end(number, AttemptResult::Expired, sent && number % 2 == 0);
            }
        }
    }

    /// Delivers an answer to a request that has its outcome.
    pub(crate) fn answer_late(&mut self, pick: usize) {
        if self.requests.is_empty() {
            return;
        }
        let number = pick % self.requests.len();
        if self.requests[number].told.is_some() {
            let result = AttemptResult::Succeeded;
            self.requests[number]
                .plan
                .handle(PlanEvent::Ended { result }, ClockTime(self.now));
        }
    }

    /// Compares a new outcome with what really happened.
    fn settle(&mut self, number: usize) {
        let request = &mut self.requests[number];
        let Some(outcome) = request.plan.outcome() else {
            return;
        };
        assert!(request.told.replace(outcome).is_none(), "told twice");
        let attempts = request.plan.attempts();
        match outcome {
            RequestOutcome::NotRun { .. } => assert_eq!(request.runs, 0, "not run, but it ran"),
            RequestOutcome::Ran { attempt } => {
                let answer = attempts[attempt].result;
                assert!(matches!(
                    answer,
                    Some(AttemptResult::Succeeded | AttemptResult::Failed)
                ));
            }
            RequestOutcome::Unknown { .. } => {
                let open = |result| matches!(result, Some(AttemptResult::Lost | AttemptResult::Expired));
                assert!(
                    attempts.iter().any(|attempt| open(attempt.result)),
                    "known, but told unknown"
                );
            }
        }
    }

    fn is_live(&self, index: usize) -> bool {
        let open = self.open[usize::from(index >= OWN)];
        self.oracles.borrow()[index].is_live(open, self.now)
    }

    /// Returns the upstreams that an ordinary request could have been given.
    fn eligible(&self, tried: &[arbutuspick_model::UpstreamName], reports: &[UpstreamReport]) -> Vec<usize> {
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

    fn check_choice(
        &self,
        kind: RequestKind,
        tried: &[arbutuspick_model::UpstreamName],
        result: Result<&SlotPermit, &RouteRefusal>,
    ) {
        let reports = self.table.state(ClockTime(self.now)).upstreams;
        let [(ejected, own, _), _] = self.count_ejected();
        assert!(ejected * 2 <= own, "{ejected} of {own} stay ejected");
        let eligible = self.eligible(tried, &reports);
        let live = (0..UPSTREAMS).any(|index| self.is_live(index));
        match result {
            Err(refusal) => {
                assert!(eligible.is_empty(), "refused although {eligible:?} have room");
                assert_eq!(*refusal == RouteRefusal::NoUpstream, !live);
            }
            Ok(permit) => self.check_permit(kind, tried, permit, &reports, &eligible),
        }
    }

    fn check_permit(
        &self,
        kind: RequestKind,
        tried: &[arbutuspick_model::UpstreamName],
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
            "{} gets work though it is leaving, silent or out",
            oracle.name()
        );
        assert_eq!(permit.address(), oracle.entry.address);
        assert!(!tried.contains(oracle.name()), "tried before");
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
            assert!(kind.is_idempotent() && tried.is_empty(), "probe of {kind:?}");
            let due = report.ejected_until <= Some(ClockTime(self.now));
            assert!(due, "probe before the end of the ejection");
            let mut slots = self.requests.iter().filter_map(|request| request.slot.as_ref());
            let other = |slot: &HeldSlot| slot.incarnation == oracle.incarnation && slot.permit.is_probe();
            assert!(
                !slots.any(|slot| slot.index == index && other(slot)),
                "two probes"
            );
        } else if index >= OWN {
            assert!(
                eligible.iter().all(|other| *other >= OWN),
                "own upstreams come first"
            );
        }
    }

    /// Returns the ejected live, the live and all ejected upstreams of the own data centre and of the others.
    fn count_ejected(&self) -> [(usize, usize, usize); 2] {
        let mut counts = [(0, 0, 0); 2];
        for report in self.table.state(ClockTime(self.now)).upstreams {
            let (out, live, all) = &mut counts[usize::from(report.entry.data_centre != centre("own"))];
            let ejected = report.ejected_until.is_some();
            *out += usize::from(ejected && report.live);
            *live += usize::from(report.live);
            *all += usize::from(ejected);
        }
        counts
    }

    /// Checks that an ejection left at least half; later losses of others are made good by the next choice.
    fn check_new_ejection(&self, before: [(usize, usize, usize); 2]) {
        for ((_, _, old), (out, live, all)) in before.into_iter().zip(self.count_ejected()) {
            assert!(all <= old || out * 2 <= live, "{out} of {live} are ejected");
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
        assert!(self.queue.len() <= QUEUE_BOUND, "the queue is above its bound");
        let retries: usize = self
            .requests
            .iter()
            .map(|request| request.plan.attempts().len().saturating_sub(1))
            .sum();
        assert!(
            retries <= FIRST_RETRIES + self.requests.len() / 10,
            "{retries} retries"
        );
        for request in &self.requests {
            assert!(request.plan.attempts().len() <= 3, "more than 2 retries");
            assert!(
                request.runs <= 1 || request.plan.kind().is_idempotent(),
                "ran twice"
            );
            assert_eq!(request.plan.outcome(), request.told, "the outcome changed");
        }
    }

    pub(crate) fn check_end(&self) {
        assert!(self.queue.is_empty());
        assert!(
            self.requests.iter().all(|request| request.told.is_some()),
            "a caller waits forever"
        );
        for report in self.table.state(ClockTime(self.now)).upstreams {
            assert_eq!(report.in_flight, 0);
        }
    }
}
