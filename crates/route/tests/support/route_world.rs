use std::sync::Arc;

use arbutuspick_model::{AccountName, ClockTime, RefusalReason};
use arbutuspick_route::{
    AttemptResult, FairQueue, PlanEvent, PlanStep, QueueRefusal, QueueTicket, RequestKind, RequestOutcome,
    RequestPlan, RetryBudget, RouteRefusal, RoutingOptions, RoutingTable, SlotPermit,
};

use super::upstream_oracle::UpstreamOracle;
use super::{centre, service};

pub(crate) const UPSTREAMS: usize = 6;
pub(super) const QUEUE_BOUND: usize = 5;
/// Retries that are left in the budget at the start, so that runs reach its end.
pub(super) const FIRST_RETRIES: usize = 5;

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
pub(super) struct HeldSlot {
    pub(super) permit: SlotPermit,
    pub(super) index: usize,
    pub(super) incarnation: u32,
    pub(super) halvings: u32,
    pub(super) taken_at: u64,
}

pub(super) struct WorldRequest {
    pub(super) plan: RequestPlan,
    pub(super) account: usize,
    pub(super) slot: Option<HeldSlot>,
    /// How often an upstream really ran it.
    pub(super) runs: usize,
    pub(super) told: Option<RequestOutcome>,
}

/// A table with its queue and budget, the requests of callers, and what really happened to them.
pub(crate) struct RouteWorld {
    pub(crate) table: RoutingTable,
    pub(crate) queue: FairQueue<usize>,
    /// Upstreams that fail everything, by bit.
    pub(crate) broken: u8,
    pub(super) budget: Arc<RetryBudget>,
    pub(super) now: u64,
    pub(super) open: [bool; 2],
    pub(super) oracles: std::cell::RefCell<Vec<UpstreamOracle>>,
    pub(super) requests: Vec<WorldRequest>,
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
            table: RoutingTable::new(
                RoutingOptions::new(centre("own"))
                    .with_seed(3)
                    .with_raise_rounds(1),
            ),
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

    /// Sends the health checks that stand in for probes.
    pub(crate) fn probe(&mut self, result: AttemptResult) {
        let reports = self.table.state(ClockTime(self.now)).upstreams;
        for permit in self.table.overdue_probes(ClockTime(self.now)) {
            self.check_permit(RequestKind::Idempotent, &[], &permit, &reports, &[]);
            let mut oracles = self.oracles.borrow_mut();
            let oracle = oracles
                .iter_mut()
                .find(|oracle| oracle.name() == permit.upstream());
            let oracle = oracle.unwrap();
            permit.finish(result, ClockTime(self.now));
            oracle.record(result, oracle.halvings, true, 0, self.now);
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
}
