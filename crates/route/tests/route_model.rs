//! Stateful test of table, queue and plans together, as an entry VM uses them.

mod support;

use arbutuspick_route::{AttemptResult, RequestKind};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use support::route_world::{Fate, RouteWorld, UPSTREAMS};

#[derive(Clone, Debug)]
enum Action {
    List {
        listed: u8,
        leaving: u8,
        moved: u8,
    },
    Leave {
        index: usize,
    },
    Hear {
        mask: u8,
    },
    Centre {
        own: bool,
        open: bool,
    },
    EntryVms {
        count: u32,
    },
    Break {
        mask: u8,
    },
    Arrive {
        idempotent: bool,
        wait: u64,
        account: usize,
    },
    Progress {
        pick: usize,
        fate: Fate,
    },
    LateAnswer {
        pick: usize,
    },
    Probe {
        result: AttemptResult,
    },
    Tick {
        millis: u64,
    },
    Close,
}

struct Actions;

impl ReferenceStateMachine for Actions {
    type State = ();
    type Transition = Action;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Action> {
        let fate = prop_oneof![
            8 => Just(Fate::Answer),
            3 => Just(Fate::Refuse),
            1 => Just(Fate::Leave),
            1 => Just(Fate::NoConnection),
            2 => any::<bool>().prop_map(|ran| Fate::Lose { ran }),
        ];
        // Most lists show every upstream, none as leaving or moved.
        let few = || prop_oneof![3 => Just(0u8), 1 => (0..UPSTREAMS).prop_map(|index| 1 << index)];
        prop_oneof![
            2 => (few(), few(), few())
                .prop_map(|(missing, leaving, moved)| Action::List { listed: !missing, leaving, moved }),
            1 => (0..UPSTREAMS).prop_map(|index| Action::Leave { index }),
            8 => prop_oneof![3 => Just(255), 1 => any::<u8>()].prop_map(|mask| Action::Hear { mask }),
            1 => any::<(bool, bool)>().prop_map(|(own, open)| Action::Centre { own, open }),
            1 => (1..40u32).prop_map(|count| Action::EntryVms { count }),
            2 => prop_oneof![any::<u8>(), Just(0)].prop_map(|mask| Action::Break { mask }),
            60 => (any::<bool>(), 1..4_000u64, 0..3usize)
                .prop_map(|(idempotent, wait, account)| Action::Arrive { idempotent, wait, account }),
            150 => (any::<usize>(), fate).prop_map(|(pick, fate)| Action::Progress { pick, fate }),
            5 => any::<usize>().prop_map(|pick| Action::LateAnswer { pick }),
            15 => prop_oneof![8 => 0..300u64, 2 => 0..4_000u64].prop_map(|millis| Action::Tick { millis }),
            3 => prop_oneof![Just(AttemptResult::Succeeded), Just(AttemptResult::Lost)]
                .prop_map(|result| Action::Probe { result }),
            1 => Just(Action::Close),
        ]
        .boxed()
    }

    fn apply((): (), _: &Action) {}
}

struct RouteTest;

impl StateMachineTest for RouteTest {
    type SystemUnderTest = RouteWorld;
    type Reference = Actions;

    fn init_test((): &()) -> RouteWorld {
        RouteWorld::new()
    }

    fn apply(mut world: RouteWorld, (): &(), action: Action) -> RouteWorld {
        match action {
            Action::List {
                listed,
                leaving,
                moved,
            } => world.update_list(listed, leaving, moved),
            Action::Leave { index } => world.mark_leaving(index),
            Action::Hear { mask } => world.hear(mask),
            Action::Centre { own, open } => world.set_centre(own, open),
            Action::EntryVms { count } => world.table.set_entry_vms(count),
            Action::Break { mask } => world.broken = mask,
            Action::Arrive {
                idempotent: true,
                wait,
                account,
            } => {
                world.arrive(RequestKind::Idempotent, wait, account);
            }
            Action::Arrive { wait, account, .. } => world.arrive(RequestKind::NonIdempotent, wait, account),
            Action::Progress { pick, fate } => world.progress(pick, fate),
            Action::LateAnswer { pick } => world.answer_late(pick),
            Action::Tick { millis } => world.tick(millis),
            Action::Probe { result } => world.probe(result),
            Action::Close => world.queue.close(),
        }
        world
    }

    fn check_invariants(world: &RouteWorld, (): &()) {
        world.check_upstreams();
        world.check_requests();
    }

    fn teardown(mut world: RouteWorld, (): ()) {
        world.tick(100_000);
        world.check_end();
    }
}

prop_state_machine! {
    #![proptest_config(support::fuzz_config(1_000))]

    /// Guards against broken bounds and wrong outcomes over long sequences of concurrent requests.
    #[test]
    fn route_model(sequential 1..300 => RouteTest);
}
