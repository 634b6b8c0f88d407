//! Model-based test of the routing table, the wait queue and request state machines, used as in an entry VM.

mod support;

use arbutuspick_route::{AttemptResult, RequestKind};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use support::route_harness::{InjectedResult, RouteHarness, UPSTREAMS};

#[derive(Clone, Debug)]
enum Action {
    UpdateUpstreams {
        listed: u8,
        leaving: u8,
        moved: u8,
    },
    MarkLeaving {
        index: usize,
    },
    RecordHeard {
        mask: u8,
    },
    SetCentreOpen {
        own: bool,
        open: bool,
    },
    SetEntryVms {
        count: u32,
    },
    SetBroken {
        mask: u8,
    },
    AddRequest {
        idempotent: bool,
        wait: u64,
        account: usize,
    },
    AdvanceRequest {
        selector: usize,
        injected: InjectedResult,
    },
    DeliverLateResponse {
        selector: usize,
    },
    SendOverdueProbes {
        result: AttemptResult,
    },
    AdvanceTime {
        millis: u64,
    },
    Close,
}

struct ActionSequence;

impl ReferenceStateMachine for ActionSequence {
    type State = ();
    type Transition = Action;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Action> {
        let injected = prop_oneof![
            8 => Just(InjectedResult::Respond),
            3 => Just(InjectedResult::Refuse),
            1 => Just(InjectedResult::Leave),
            1 => Just(InjectedResult::NoConnection),
            2 => any::<bool>().prop_map(|ran| InjectedResult::Lose { ran }),
        ];
        // Most lists contain all upstreams, none of them leaving or moved.
        let rare_mask = || prop_oneof![3 => Just(0u8), 1 => (0..UPSTREAMS).prop_map(|index| 1 << index)];
        prop_oneof![
            2 => (rare_mask(), rare_mask(), rare_mask())
                .prop_map(|(missing, leaving, moved)| {
                    Action::UpdateUpstreams { listed: !missing, leaving, moved }
                }),
            1 => (0..UPSTREAMS).prop_map(|index| Action::MarkLeaving { index }),
            8 => prop_oneof![3 => Just(255), 1 => any::<u8>()].prop_map(|mask| Action::RecordHeard { mask }),
            1 => any::<(bool, bool)>().prop_map(|(own, open)| Action::SetCentreOpen { own, open }),
            1 => (1..40u32).prop_map(|count| Action::SetEntryVms { count }),
            2 => prop_oneof![any::<u8>(), Just(0)].prop_map(|mask| Action::SetBroken { mask }),
            60 => (any::<bool>(), 1..4_000u64, 0..3usize)
                .prop_map(|(idempotent, wait, account)| Action::AddRequest { idempotent, wait, account }),
            150 => (any::<usize>(), injected)
                .prop_map(|(selector, injected)| Action::AdvanceRequest { selector, injected }),
            5 => any::<usize>().prop_map(|selector| Action::DeliverLateResponse { selector }),
            15 => prop_oneof![8 => 0..300u64, 2 => 0..4_000u64]
                .prop_map(|millis| Action::AdvanceTime { millis }),
            3 => prop_oneof![Just(AttemptResult::Succeeded), Just(AttemptResult::Lost)]
                .prop_map(|result| Action::SendOverdueProbes { result }),
            1 => Just(Action::Close),
        ]
        .boxed()
    }

    fn apply((): (), _: &Action) {}
}

struct RouteTest;

impl StateMachineTest for RouteTest {
    type SystemUnderTest = RouteHarness;
    type Reference = ActionSequence;

    fn init_test((): &()) -> RouteHarness {
        RouteHarness::new()
    }

    fn apply(mut harness: RouteHarness, (): &(), action: Action) -> RouteHarness {
        match action {
            Action::UpdateUpstreams {
                listed,
                leaving,
                moved,
            } => harness.update_upstreams(listed, leaving, moved),
            Action::MarkLeaving { index } => harness.mark_leaving(index),
            Action::RecordHeard { mask } => harness.record_heard(mask),
            Action::SetCentreOpen { own, open } => harness.set_centre_open(own, open),
            Action::SetEntryVms { count } => harness.table.set_entry_vms(count),
            Action::SetBroken { mask } => harness.broken = mask,
            Action::AddRequest {
                idempotent: true,
                wait,
                account,
            } => {
                harness.add_request(RequestKind::Idempotent, wait, account);
            }
            Action::AddRequest { wait, account, .. } => {
                harness.add_request(RequestKind::NonIdempotent, wait, account);
            }
            Action::AdvanceRequest { selector, injected } => harness.advance_request(selector, injected),
            Action::DeliverLateResponse { selector } => harness.deliver_late_response(selector),
            Action::AdvanceTime { millis } => harness.advance_time(millis),
            Action::SendOverdueProbes { result } => harness.send_overdue_probes(result),
            Action::Close => harness.queue.close(),
        }
        harness
    }

    fn check_invariants(harness: &RouteHarness, (): &()) {
        harness.check_upstreams();
        harness.check_requests();
    }

    fn teardown(mut harness: RouteHarness, (): ()) {
        harness.advance_time(100_000);
        harness.check_final_state();
    }
}

prop_state_machine! {
    #![proptest_config(support::fuzz_config(1_000))]

    /// Guards against exceeded limits and wrong outcomes over long sequences of concurrent requests.
    #[test]
    fn route_model(sequential 1..300 => RouteTest);
}
