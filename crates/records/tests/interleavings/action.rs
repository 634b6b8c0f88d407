use proptest::prelude::*;
use proptest::strategy::Union;
use proptest_state_machine::ReferenceStateMachine;

/// A change that a simulated process or operator plans from the current rows. Numbers select one of the
/// candidates, modulo their count.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Submit {
        key: u8,
        body: u8,
        idempotent: bool,
        centre: u8,
    },
    Claim {
        vm: u8,
        key: u8,
        body: u8,
    },
    Respond {
        pick: u8,
        not_run: bool,
    },
    Withdraw {
        pick: u8,
    },
    TakeOver {
        vm: u8,
        centre: u8,
    },
    Renew {
        holder: u8,
    },
    Release {
        holder: u8,
    },
    AcceptNotice {
        holder: u8,
        pick: u8,
    },
    Start {
        holder: u8,
        pick: u8,
        runs: bool,
    },
    Confirm {
        holder: u8,
        pick: u8,
    },
    End {
        holder: u8,
        pick: u8,
        end: EndKind,
    },
    Cancel {
        pick: u8,
    },
    Move {
        pick: u8,
        centre: u8,
    },
    Order {
        centre: u8,
        out: bool,
    },
    Progress {
        holder: u8,
    },
    Propose,
    Accept {
        pick: u8,
        owner: u8,
    },
    Reject {
        pick: u8,
        owner: u8,
    },
    AdvanceTurn,
}

/// How a holder ends an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum EndKind {
    RequeueUnstarted,
    RequeueCheckpointed,
    RequeueLost,
    Ran,
    Refused,
    Voided,
    Unknown,
    Cancelled,
}

/// What the network does with a call to the table.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Delivery {
    Delivered,
    ResponseLost,
    RequestLost,
    /// The call is not sent yet; other actions come first.
    Delayed,
}

/// A step of a simulation.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Act(Action, Delivery),
    /// Two actions are planned from the same rows, and the second commits first.
    Race(Action, Action),
    /// The caller of an unresolved commit makes its next call.
    Continue(u8, Delivery),
    /// A delayed copy of a transaction that was sent earlier reaches the table.
    Duplicate(u16),
    Wait(u64),
    /// A decision is planned 2 s before the month ends and commits after the turn is advanced.
    MonthEnd(Action),
    /// A process restarts and loses its in-memory state.
    Restart(u8),
}

fn action() -> BoxedStrategy<Action> {
    let end = prop_oneof![
        2 => Just(EndKind::RequeueUnstarted),
        4 => Just(EndKind::RequeueCheckpointed),
        3 => Just(EndKind::RequeueLost),
        6 => Just(EndKind::Ran),
        1 => Just(EndKind::Refused),
        2 => Just(EndKind::Voided),
        1 => Just(EndKind::Unknown),
        2 => Just(EndKind::Cancelled),
    ];
    let pick = || any::<u8>();
    let pair = || (any::<u8>(), any::<u8>());
    let weighted: Vec<(u32, BoxedStrategy<Action>)> = vec![
        (
            6,
            (0..8u8, 0..4u8, any::<bool>(), 0..2u8)
                .prop_map(|(key, body, idempotent, centre)| Action::Submit {
                    key,
                    body: body / 3,
                    idempotent,
                    centre,
                })
                .boxed(),
        ),
        (
            12,
            (0..2u8, 7..9u8, 0..4u8)
                .prop_map(|(vm, key, body)| Action::Claim {
                    vm,
                    key,
                    body: body / 3,
                })
                .boxed(),
        ),
        (
            4,
            (pick(), any::<bool>())
                .prop_map(|(pick, not_run)| Action::Respond { pick, not_run })
                .boxed(),
        ),
        (6, pick().prop_map(|pick| Action::Withdraw { pick }).boxed()),
        (
            6,
            (0..3u8, 0..2u8)
                .prop_map(|(vm, centre)| Action::TakeOver { vm, centre })
                .boxed(),
        ),
        (4, pick().prop_map(|holder| Action::Renew { holder }).boxed()),
        (1, pick().prop_map(|holder| Action::Release { holder }).boxed()),
        (
            8,
            pair()
                .prop_map(|(holder, pick)| Action::AcceptNotice { holder, pick })
                .boxed(),
        ),
        (
            24,
            (pair(), any::<bool>())
                .prop_map(|((holder, pick), runs)| Action::Start { holder, pick, runs })
                .boxed(),
        ),
        (
            4,
            pair()
                .prop_map(|(holder, pick)| Action::Confirm { holder, pick })
                .boxed(),
        ),
        (
            16,
            (pair(), end)
                .prop_map(|((holder, pick), end)| Action::End { holder, pick, end })
                .boxed(),
        ),
        (2, pick().prop_map(|pick| Action::Cancel { pick }).boxed()),
        (
            3,
            (pick(), 0..2u8)
                .prop_map(|(pick, centre)| Action::Move { pick, centre })
                .boxed(),
        ),
        (
            6,
            (0..2u8, 0..5u8)
                .prop_map(|(centre, kind)| Action::Order {
                    centre,
                    out: kind == 0,
                })
                .boxed(),
        ),
        (3, pick().prop_map(|holder| Action::Progress { holder }).boxed()),
        (5, Just(Action::Propose).boxed()),
        (
            12,
            (pick(), 0..2u8)
                .prop_map(|(pick, owner)| Action::Accept { pick, owner })
                .boxed(),
        ),
        (
            1,
            (pick(), 0..2u8)
                .prop_map(|(pick, owner)| Action::Reject { pick, owner })
                .boxed(),
        ),
        (3, Just(Action::AdvanceTurn).boxed()),
    ];
    Union::new_weighted(weighted).boxed()
}

fn accept() -> BoxedStrategy<Action> {
    (any::<u8>(), 0..2u8)
        .prop_map(|(pick, owner)| Action::Accept { pick, owner })
        .boxed()
}

/// Pairs of actions that conflict, so that the table decides which one commits.
fn race() -> BoxedStrategy<(Action, Action)> {
    let pick = any::<u8>;
    let start = (pick(), pick()).prop_map(|(holder, pick)| Action::Start {
        holder,
        pick,
        runs: true,
    });
    let order_out = (0..2u8).prop_map(|centre| Action::Order { centre, out: true });
    prop_oneof![
        (start, order_out),
        (accept(), accept()),
        (action(), action()),
        (action(), action())
    ]
    .boxed()
}

fn delivery() -> BoxedStrategy<Delivery> {
    prop_oneof![
        6 => Just(Delivery::Delivered),
        2 => Just(Delivery::ResponseLost),
        1 => Just(Delivery::RequestLost),
        3 => Just(Delivery::Delayed),
    ]
    .boxed()
}

fn step() -> BoxedStrategy<Step> {
    prop_oneof![
        20 => (action(), delivery()).prop_map(|(action, delivery)| Step::Act(action, delivery)),
        3 => race().prop_map(|(first, second)| Step::Race(first, second)),
        10 => (any::<u8>(), delivery()).prop_map(|(pick, delivery)| Step::Continue(pick, delivery)),
        4 => any::<u16>().prop_map(Step::Duplicate),
        4 => (500..5_000u64).prop_map(Step::Wait),
        1 => accept().prop_map(Step::MonthEnd),
        1 => (0..3u8).prop_map(Step::Restart),
    ]
    .boxed()
}

thread_local! {
    // Cached, because building the strategy anew for each step takes most of the run time.
    static STEP_STRATEGY: BoxedStrategy<Step> = step();
}

/// Every step is possible in every state, so the reference state is empty.
#[derive(Clone, Debug)]
pub(crate) struct StepSequence;

impl ReferenceStateMachine for StepSequence {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        STEP_STRATEGY.with(BoxedStrategy::clone)
    }

    fn apply((): (), _: &Step) {}
}
