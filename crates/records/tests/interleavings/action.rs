use proptest::prelude::*;
use proptest::strategy::Union;
use proptest_state_machine::ReferenceStateMachine;

/// What a simulated process or operator plans from the rows that it reads now. Numbers pick one of the
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
    Answer {
        pick: u8,
        not_run: bool,
    },
    Withdraw {
        pick: u8,
    },
    Take {
        vm: u8,
        centre: u8,
    },
    Renew {
        holder: u8,
    },
    GiveUp {
        holder: u8,
    },
    TakeUp {
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
        how: End,
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
pub(crate) enum End {
    RequeueUnstarted,
    RequeueCheckpointed,
    RequeueLost,
    Ran,
    Refused,
    Voided,
    Doubtful,
    Cancelled,
}

/// What the network does with a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Delivery {
    Answered,
    AnswerLost,
    RequestLost,
    /// Nothing is sent yet; other actions come first.
    Held,
}

#[derive(Clone, Debug)]
pub(crate) enum Step {
    Act(Action, Delivery),
    /// Two actors plan from the same rows, and the second commits first.
    Race(Action, Action),
    /// The caller of an unresolved commit makes its next call.
    Continue(u8, Delivery),
    /// A delayed copy of a transaction that was sent before reaches the table.
    Duplicate(u16),
    Wait(u64),
    /// An owner decides two seconds before the month ends, and the turn is advanced before that commits.
    MonthEnd(Action),
    /// A VM is replaced by a process that remembers nothing.
    Restart(u8),
}

fn action() -> BoxedStrategy<Action> {
    let end = prop_oneof![
        2 => Just(End::RequeueUnstarted),
        4 => Just(End::RequeueCheckpointed),
        3 => Just(End::RequeueLost),
        6 => Just(End::Ran),
        1 => Just(End::Refused),
        2 => Just(End::Voided),
        1 => Just(End::Doubtful),
        2 => Just(End::Cancelled),
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
                .prop_map(|(pick, not_run)| Action::Answer { pick, not_run })
                .boxed(),
        ),
        (6, pick().prop_map(|pick| Action::Withdraw { pick }).boxed()),
        (
            6,
            (0..3u8, 0..2u8)
                .prop_map(|(vm, centre)| Action::Take { vm, centre })
                .boxed(),
        ),
        (4, pick().prop_map(|holder| Action::Renew { holder }).boxed()),
        (1, pick().prop_map(|holder| Action::GiveUp { holder }).boxed()),
        (
            8,
            pair()
                .prop_map(|(holder, pick)| Action::TakeUp { holder, pick })
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
                .prop_map(|((holder, pick), how)| Action::End { holder, pick, how })
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

/// Pairs whose order the table must decide.
fn race() -> BoxedStrategy<(Action, Action)> {
    let pick = any::<u8>;
    let start = (pick(), pick()).prop_map(|(holder, pick)| Action::Start {
        holder,
        pick,
        runs: true,
    });
    let out = (0..2u8).prop_map(|centre| Action::Order { centre, out: true });
    prop_oneof![
        (start, out),
        (accept(), accept()),
        (action(), action()),
        (action(), action())
    ]
    .boxed()
}

fn delivery() -> BoxedStrategy<Delivery> {
    prop_oneof![
        6 => Just(Delivery::Answered),
        2 => Just(Delivery::AnswerLost),
        1 => Just(Delivery::RequestLost),
        3 => Just(Delivery::Held),
    ]
    .boxed()
}

fn step() -> BoxedStrategy<Step> {
    prop_oneof![
        20 => (action(), delivery()).prop_map(|(action, delivery)| Step::Act(action, delivery)),
        3 => race().prop_map(|(late, early)| Step::Race(late, early)),
        10 => (any::<u8>(), delivery()).prop_map(|(pick, delivery)| Step::Continue(pick, delivery)),
        4 => any::<u16>().prop_map(Step::Duplicate),
        4 => (500..5_000u64).prop_map(Step::Wait),
        1 => accept().prop_map(Step::MonthEnd),
        1 => (0..3u8).prop_map(Step::Restart),
    ]
    .boxed()
}

thread_local! {
    // Building the strategy for each step took most of the time of a run.
    static STEPS: BoxedStrategy<Step> = step();
}

/// Every step is possible in every state, so the reference has no state of its own.
#[derive(Clone, Debug)]
pub(crate) struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        STEPS.with(BoxedStrategy::clone)
    }

    fn apply((): (), _: &Step) {}
}
