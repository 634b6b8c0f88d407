//! Model-based test of the wait queue against a list of requests in order of arrival.

mod support;

use arbutuspick_model::{AccountName, ClockTime, RefusalReason, ServiceName};
use arbutuspick_route::{FairQueue, QueueRefusal, QueuedRequest, QueuedRequestId};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const BOUND: usize = 6;
const WEIGHTS: [u32; 4] = [1, 1, 2, 3];

#[derive(Clone, Debug)]
enum Action {
    Push {
        account: usize,
        service: usize,
        wait: u64,
    },
    Pop {
        service: usize,
    },
    Remove {
        selector: usize,
    },
    AdvanceTime {
        millis: u64,
    },
    Close {
        drain: bool,
    },
}

struct ActionSequence;

impl ReferenceStateMachine for ActionSequence {
    type State = ();
    type Transition = Action;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Action> {
        prop_oneof![
            200 => (0..WEIGHTS.len(), 0..2usize, 0..100u64)
                .prop_map(|(account, service, wait)| Action::Push { account, service, wait }),
            60 => (0..2usize).prop_map(|service| Action::Pop { service }),
            10 => any::<usize>().prop_map(|selector| Action::Remove { selector }),
            40 => (0..20u64).prop_map(|millis| Action::AdvanceTime { millis }),
            1 => any::<bool>().prop_map(|drain| Action::Close { drain }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Action) {}
}

/// Request that waits according to the oracle.
#[derive(Clone, Copy)]
struct WaitingRequest {
    waiter: usize,
    id: QueuedRequestId,
    account: usize,
    service: usize,
    deadline: u64,
}

struct QueueHarness {
    queue: FairQueue<usize>,
    now: u64,
    closed: bool,
    waiting: Vec<WaitingRequest>,
    pushed: usize,
    finished: usize,
}

fn service(index: usize) -> ServiceName {
    ServiceName::try_from(format!("s-{index}")).unwrap()
}

impl QueueHarness {
    /// Removes refused requests from the oracle and returns the evicted ones.
    ///
    /// Fails if a request is refused that does not wait, for example a second time.
    fn apply_refusals(
        &mut self,
        refused: Vec<QueueRefusal<usize>>,
        expected: RefusalReason,
    ) -> Vec<WaitingRequest> {
        let mut evicted = Vec::new();
        for QueueRefusal { waiter, reason } in refused {
            let position = self.waiting.iter().position(|waiting| waiting.waiter == waiter);
            let waiting = self
                .waiting
                .remove(position.expect("refused request was waiting"));
            self.finished += 1;
            if reason == RefusalReason::DeadlinePassed {
                assert!(
                    waiting.deadline <= self.now,
                    "refused as expired before its deadline"
                );
            } else {
                assert_eq!(reason, expected);
                evicted.push(waiting);
            }
        }
        assert!(
            self.waiting.iter().all(|waiting| waiting.deadline > self.now),
            "request waits past its deadline"
        );
        evicted
    }

    fn queued(&self, account: usize) -> u32 {
        self.waiting
            .iter()
            .filter(|waiting| waiting.account == account)
            .count() as u32
    }

    /// Returns whether the account has fewer queued requests than its weighted share, in integer arithmetic.
    fn is_below_share(&self, account: usize) -> bool {
        let waits = |other: &usize| *other == account || self.queued(*other) > 0;
        let total: u32 = (0..WEIGHTS.len()).filter(waits).map(|other| WEIGHTS[other]).sum();
        self.queued(account) * total < BOUND as u32 * WEIGHTS[account]
    }

    fn push(&mut self, account: usize, service_index: usize, wait: u64) {
        let (waiter, deadline) = (self.pushed, self.now + wait);
        self.pushed += 1;
        let request = QueuedRequest {
            account: AccountName::try_from(format!("a-{account}")).unwrap(),
            weight: WEIGHTS[account],
            service: service(service_index),
            deadline: ClockTime(deadline),
            waiter,
        };
        let mut result = self.queue.push(request, ClockTime(self.now));
        let own = result.refused.pop_if(|refusal| refusal.waiter == waiter);
        let evicted = self.apply_refusals(result.refused, RefusalReason::Overloaded);
        self.waiting.extend(evicted.iter().copied());
        self.waiting.sort_by_key(|waiting| waiting.waiter);
        self.check_admission(
            account,
            wait,
            own.as_ref().map(|refusal| refusal.reason),
            &evicted,
        );
        self.waiting
            .retain(|waiting| evicted.iter().all(|gone| gone.waiter != waiting.waiter));
        assert_eq!(
            own.is_none(),
            result.admitted.is_some(),
            "request is both admitted and refused, or neither"
        );
        self.finished += usize::from(own.is_some());
        let added = result.admitted.map(|id| WaitingRequest {
            waiter,
            id,
            account,
            service: service_index,
            deadline,
        });
        self.waiting.extend(added);
    }

    fn check_admission(
        &self,
        account: usize,
        wait: u64,
        refusal: Option<RefusalReason>,
        evicted: &[WaitingRequest],
    ) {
        let full = self.waiting.len() == BOUND;
        let expected = match () {
            () if self.closed => Some(RefusalReason::Stopping),
            () if wait == 0 => Some(RefusalReason::DeadlinePassed),
            () if full && !self.is_below_share(account) => Some(RefusalReason::Overloaded),
            () => None,
        };
        assert_eq!(refusal, expected);
        assert_eq!(evicted.len(), usize::from(full && expected.is_none()), "evicted");
        for victim in evicted {
            let newest = self
                .waiting
                .iter()
                .rfind(|waiting| waiting.account == victim.account);
            assert_eq!(
                newest.unwrap().waiter,
                victim.waiter,
                "evicted request is not the newest of its account"
            );
            let most = |other: &usize| {
                self.queued(*other) * WEIGHTS[victim.account] > self.queued(victim.account) * WEIGHTS[*other]
            };
            let more = (0..WEIGHTS.len()).filter(|other| *other != account).find(most);
            assert_eq!(
                more, None,
                "another account has more queued requests for its weight"
            );
        }
    }

    fn pop(&mut self, service_index: usize) {
        let result = self.queue.pop(&service(service_index), ClockTime(self.now));
        self.apply_refusals(result.refused, RefusalReason::DeadlinePassed);
        let matching = |waiting: &&WaitingRequest| waiting.service == service_index;
        assert_eq!(
            result.waiter.is_some(),
            self.waiting.iter().any(|waiting| matching(&waiting))
        );
        let Some(waiter) = result.waiter else { return };
        let position = self.waiting.iter().position(|waiting| waiting.waiter == waiter);
        let popped = self.waiting.remove(position.expect("popped request was waiting"));
        let older = self
            .waiting
            .iter()
            .filter(matching)
            .find(|waiting| waiting.waiter < waiter);
        assert!(
            older.is_none_or(|older| older.account != popped.account),
            "popped request is not the oldest of its account"
        );
        self.finished += 1;
    }

    fn remove(&mut self, selector: usize) {
        if self.waiting.is_empty() {
            return;
        }
        let waiting = self.waiting.remove(selector % self.waiting.len());
        assert_eq!(self.queue.remove(waiting.id), Some(waiting.waiter));
        self.finished += 1;
    }

    fn close(&mut self, drain: bool) {
        self.closed = true;
        if drain {
            let refused = self.queue.close_and_drain();
            self.apply_refusals(refused, RefusalReason::Stopping);
        } else {
            self.queue.close();
        }
    }
}

struct QueueTest;

impl StateMachineTest for QueueTest {
    type SystemUnderTest = QueueHarness;
    type Reference = ActionSequence;

    fn init_test((): &()) -> QueueHarness {
        QueueHarness {
            queue: FairQueue::with_bound(BOUND),
            now: 0,
            closed: false,
            waiting: Vec::new(),
            pushed: 0,
            finished: 0,
        }
    }

    fn apply(mut harness: QueueHarness, (): &(), action: Action) -> QueueHarness {
        match action {
            Action::Push {
                account,
                service,
                wait,
            } => harness.push(account, service, wait),
            Action::Pop { service } => harness.pop(service),
            Action::Remove { selector } => harness.remove(selector),
            Action::AdvanceTime { millis } => {
                harness.now += millis;
                let refused = harness.queue.remove_expired(ClockTime(harness.now));
                harness.apply_refusals(refused, RefusalReason::DeadlinePassed);
            }
            Action::Close { drain } => harness.close(drain),
        }
        harness
    }

    fn check_invariants(harness: &QueueHarness, (): &()) {
        assert!(harness.queue.len() <= BOUND, "queue exceeds its bound");
        assert_eq!(harness.queue.len(), harness.waiting.len());
        assert_eq!(
            harness.pushed,
            harness.finished + harness.waiting.len(),
            "every request leaves the queue exactly once"
        );
    }
}

prop_state_machine! {
    #![proptest_config(support::fuzz_config(2_000))]

    /// Guards against lost, duplicated or unfairly evicted requests over long sequences.
    #[test]
    fn queue_model(sequential 1..150 => QueueTest);
}
