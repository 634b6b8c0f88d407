//! Stateful test of the wait queue against a list in order of arrival.

mod support;

use arbutuspick_model::{AccountName, ClockTime, RefusalReason, ServiceName};
use arbutuspick_route::{FairQueue, QueueRefusal, QueueTicket, TicketId};
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
        pick: usize,
    },
    Tick {
        millis: u64,
    },
    Close {
        drain: bool,
    },
}

struct Actions;

impl ReferenceStateMachine for Actions {
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
            10 => any::<usize>().prop_map(|pick| Action::Remove { pick }),
            40 => (0..20u64).prop_map(|millis| Action::Tick { millis }),
            1 => any::<bool>().prop_map(|drain| Action::Close { drain }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Action) {}
}

/// A request that the oracle knows to wait.
#[derive(Clone, Copy)]
struct Waiting {
    waiter: usize,
    id: TicketId,
    account: usize,
    service: usize,
    deadline: u64,
}

struct QueueWorld {
    queue: FairQueue<usize>,
    now: u64,
    closed: bool,
    waiting: Vec<Waiting>,
    pushed: usize,
    left: usize,
}

fn service(index: usize) -> ServiceName {
    ServiceName::try_from(format!("s-{index}")).unwrap()
}

impl QueueWorld {
    /// Takes refusals out of the oracle; a waiter that is refused twice or never waited fails here.
    fn refuse(&mut self, refused: Vec<QueueRefusal<usize>>, expected: RefusalReason) -> Vec<Waiting> {
        let mut displaced = Vec::new();
        for QueueRefusal { waiter, reason } in refused {
            let position = self.waiting.iter().position(|waiting| waiting.waiter == waiter);
            let waiting = self
                .waiting
                .remove(position.expect("refused once, while waiting"));
            self.left += 1;
            if reason == RefusalReason::DeadlinePassed {
                assert!(waiting.deadline <= self.now, "refused before its deadline");
            } else {
                assert_eq!(reason, expected);
                displaced.push(waiting);
            }
        }
        assert!(
            self.waiting.iter().all(|waiting| waiting.deadline > self.now),
            "waits past its deadline"
        );
        displaced
    }

    fn queued(&self, account: usize) -> u32 {
        self.waiting
            .iter()
            .filter(|waiting| waiting.account == account)
            .count() as u32
    }

    /// Compares queued/share of the arriving account with 1 in whole numbers.
    fn is_below_share(&self, account: usize) -> bool {
        let waits = |other: &usize| *other == account || self.queued(*other) > 0;
        let total: u32 = (0..WEIGHTS.len()).filter(waits).map(|other| WEIGHTS[other]).sum();
        self.queued(account) * total < BOUND as u32 * WEIGHTS[account]
    }

    fn push(&mut self, account: usize, service_index: usize, wait: u64) {
        let (waiter, deadline) = (self.pushed, self.now + wait);
        self.pushed += 1;
        let ticket = QueueTicket {
            account: AccountName::try_from(format!("a-{account}")).unwrap(),
            weight: WEIGHTS[account],
            service: service(service_index),
            deadline: ClockTime(deadline),
            waiter,
        };
        let mut result = self.queue.push(ticket, ClockTime(self.now));
        let own = result.refused.pop_if(|refusal| refusal.waiter == waiter);
        let displaced = self.refuse(result.refused, RefusalReason::Overloaded);
        self.waiting.extend(displaced.iter().copied());
        self.waiting.sort_by_key(|waiting| waiting.waiter);
        self.check_admission(
            account,
            wait,
            own.as_ref().map(|refusal| refusal.reason),
            &displaced,
        );
        self.waiting
            .retain(|waiting| displaced.iter().all(|gone| gone.waiter != waiting.waiter));
        assert_eq!(
            own.is_none(),
            result.admitted.is_some(),
            "both admitted and refused"
        );
        self.left += usize::from(own.is_some());
        let added = result.admitted.map(|id| Waiting {
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
        displaced: &[Waiting],
    ) {
        let full = self.waiting.len() == BOUND;
        let expected = match () {
            () if self.closed => Some(RefusalReason::Stopping),
            () if wait == 0 => Some(RefusalReason::DeadlinePassed),
            () if full && !self.is_below_share(account) => Some(RefusalReason::Overloaded),
            () => None,
        };
        assert_eq!(refusal, expected);
        assert_eq!(
            displaced.len(),
            usize::from(full && expected.is_none()),
            "displaced"
        );
        for victim in displaced {
            let newest = self
                .waiting
                .iter()
                .rfind(|waiting| waiting.account == victim.account);
            assert_eq!(
                newest.unwrap().waiter,
                victim.waiter,
                "not the newest of its account"
            );
            let most = |other: &usize| {
                self.queued(*other) * WEIGHTS[victim.account] > self.queued(victim.account) * WEIGHTS[*other]
            };
            let more = (0..WEIGHTS.len()).filter(|other| *other != account).find(most);
            assert_eq!(more, None, "another account has more queued");
        }
    }

    fn pop(&mut self, service_index: usize) {
        let result = self.queue.pop(&service(service_index), ClockTime(self.now));
        self.refuse(result.refused, RefusalReason::DeadlinePassed);
        let matching = |waiting: &&Waiting| waiting.service == service_index;
        assert_eq!(
            result.waiter.is_some(),
            self.waiting.iter().any(|waiting| matching(&waiting))
        );
        let Some(waiter) = result.waiter else { return };
        let position = self.waiting.iter().position(|waiting| waiting.waiter == waiter);
        let popped = self.waiting.remove(position.expect("popped once, while waiting"));
        let older = self
            .waiting
            .iter()
            .filter(matching)
            .find(|waiting| waiting.waiter < waiter);
        assert!(
            older.is_none_or(|older| older.account != popped.account),
            "not the oldest"
        );
        self.left += 1;
    }

    fn remove(&mut self, pick: usize) {
        if self.waiting.is_empty() {
            return;
        }
        let waiting = self.waiting.remove(pick % self.waiting.len());
        assert_eq!(self.queue.remove(waiting.id), Some(waiting.waiter));
        self.left += 1;
    }

    fn close(&mut self, drain: bool) {
        self.closed = true;
        if drain {
            let refused = self.queue.close_and_drain();
            self.refuse(refused, RefusalReason::Stopping);
        } else {
            self.queue.close();
        }
    }
}

struct QueueTest;

impl StateMachineTest for QueueTest {
    type SystemUnderTest = QueueWorld;
    type Reference = Actions;

    fn init_test((): &()) -> QueueWorld {
        QueueWorld {
            queue: FairQueue::with_bound(BOUND),
            now: 0,
            closed: false,
            waiting: Vec::new(),
            pushed: 0,
            left: 0,
        }
    }

    fn apply(mut world: QueueWorld, (): &(), action: Action) -> QueueWorld {
        match action {
            Action::Push {
                account,
                service,
                wait,
            } => world.push(account, service, wait),
            Action::Pop { service } => world.pop(service),
            Action::Remove { pick } => world.remove(pick),
            Action::Tick { millis } => {
                world.now += millis;
                let refused = world.queue.remove_expired(ClockTime(world.now));
                world.refuse(refused, RefusalReason::DeadlinePassed);
            }
            Action::Close { drain } => world.close(drain),
        }
        world
    }

    fn check_invariants(world: &QueueWorld, (): &()) {
        assert!(world.queue.len() <= BOUND, "the queue is above its bound");
        assert_eq!(world.queue.len(), world.waiting.len());
        assert_eq!(
            world.pushed,
            world.left + world.waiting.len(),
            "every request leaves once"
        );
    }
}

prop_state_machine! {
    #![proptest_config(support::fuzz_config(2_000))]

    /// Guards against lost, doubled or unfairly displaced requests over long sequences.
    #[test]
    fn queue_model(sequential 1..150 => QueueTest);
}
