//! Decisions on which connections are admitted and which are closed, replayed in virtual time.

use std::sync::Arc;

use arbutuspick_model::ClockTime;
use arbutuspick_server::{Admission, ClientLedger, ClientLimits, ClosureReason, ConnectionKey};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const LIMITS: ClientLimits = ClientLimits {
    max_connections: 40,
    max_bytes: 4 * 1024 * 1024,
};
/// Memory that is reserved for a body of the largest legal size.
const BODY_BYTES: usize = 2 * 262_144;

fn connect(ledger: &mut ClientLedger, now: u64) -> Option<ConnectionKey> {
    match ledger.connect(ClockTime(now)) {
        Admission::Admitted(key) => Some(key),
        Admission::Refused => None,
    }
}

/// Serves a request on a connection, which then is idle.
fn serve(ledger: &mut ClientLedger, key: ConnectionKey, now: u64) {
    let now = ClockTime(now);
    assert!(ledger.receive(key, 300, now) && ledger.reserve(key, 400, now) && ledger.run(key));
    ledger.respond(key, 100, true, now);
    ledger.finish(key, now);
}

/// Guards against a crowd of unfinished bodies that takes all memory, that closes connections of ordinary callers or
/// keeps new ones out.
#[test]
fn stalled_crowd() {
    let mut ledger = ClientLedger::new(LIMITS);
    let callers: Vec<_> = (0..3).filter_map(|_| connect(&mut ledger, 0)).collect();
    for caller in &callers {
        serve(&mut ledger, *caller, 0);
    }
    let running = connect(&mut ledger, 0).unwrap();
    assert!(ledger.receive(running, 300, ClockTime(0)) && ledger.run(running));
    let mut admitted = 0;
    for _ in 0..100 {
        if let Some(key) = connect(&mut ledger, 100) {
            let now = ClockTime(100);
            admitted += usize::from(ledger.receive(key, 8_000, now) && ledger.reserve(key, BODY_BYTES, now));
        }
        assert!(ledger.held_bytes() <= LIMITS.max_bytes);
    }
    // Seven eighths of the memory hold six bodies with their connections.
    assert_eq!(admitted, 6);
    assert_eq!(ledger.open_connections(), LIMITS.max_connections);
    assert!(ledger.take_closures().is_empty(), "nobody has stalled yet");
    for caller in &callers {
        serve(&mut ledger, *caller, 200);
    }
    // A second later every new caller takes the place of a stalled client.
    for _ in 0..20 {
        let key = connect(&mut ledger, 1_300).unwrap();
        serve(&mut ledger, key, 1_300);
    }
    let closures = ledger.take_closures();
    assert_eq!(closures.len(), 20);
    for closure in closures {
        assert_eq!(closure.reason, ClosureReason::Stalled);
        assert!(closure.key != running && !callers.contains(&closure.key));
    }
}

/// Guards against closing connections although there is room.
#[test]
fn calm_clients() {
    let mut ledger = ClientLedger::new(LIMITS);
    let idle = connect(&mut ledger, 0).unwrap();
    serve(&mut ledger, idle, 0);
    let slow = connect(&mut ledger, 0).unwrap();
    assert!(ledger.reserve(slow, BODY_BYTES, ClockTime(0)));
    for second in 1..60 {
        assert!(ledger.receive(slow, 4_096, ClockTime(second * 1_000)));
        let key = connect(&mut ledger, second * 1_000).unwrap();
        serve(&mut ledger, key, second * 1_000);
        ledger.disconnect(key);
    }
    assert!(ledger.run(slow));
    assert!(ledger.take_closures().is_empty());
}

/// Guards against closing an idle or slow connection before a stalled one, and one with a request in process at all.
#[test]
fn closing_order() {
    let limits = ClientLimits {
        max_connections: 4,
        ..LIMITS
    };
    let mut ledger = ClientLedger::new(limits);
    let keys: Vec<_> = (0..4).filter_map(|_| connect(&mut ledger, 0)).collect();
    let [running, slow, idle, stalled] = keys[..] else {
        unreachable!("four connections fit")
    };
    assert!(ledger.receive(running, 1, ClockTime(0)) && ledger.run(running));
    serve(&mut ledger, idle, 0);
    assert!(ledger.receive(stalled, 1, ClockTime(5_500)));
    for now in (0..=9_900).step_by(900) {
        assert!(ledger.receive(slow, 1, ClockTime(now)));
    }
    for _ in 0..3 {
        connect(&mut ledger, 10_000).unwrap();
    }
    let closures = ledger.take_closures();
    let closed: Vec<_> = closures
        .iter()
        .map(|closure| (closure.key, closure.reason))
        .collect();
    let expected = [
        (stalled, ClosureReason::Stalled),
        (idle, ClosureReason::Idle),
        (slow, ClosureReason::Slow),
    ];
    assert_eq!(closed, expected);
    assert_eq!(
        connect(&mut ledger, 10_000),
        None,
        "the newcomers have not stalled yet"
    );
}

/// Guards against a client account that takes all places with connections that it keeps in use, and against closing those
/// of other accounts instead.
#[test]
fn largest_account() {
    let mut ledger = ClientLedger::new(LIMITS);
    let accounts: [Arc<str>; 3] = ["north".into(), "south".into(), "east".into()];
    let [north, south, east] = &accounts;
    let mut callers = Vec::new();
    let mut connect_as = |ledger: &mut ClientLedger, account: &Arc<str>, now| {
        let key = connect(ledger, now).unwrap();
        ledger.identify(key, Some(account.clone()));
        serve(ledger, key, now);
        if account == north {
            callers.push(key);
        }
    };
    for _ in 0..2 {
        connect_as(&mut ledger, north, 0);
    }
    for number in 0..38 {
        connect_as(&mut ledger, if number < 20 { south } else { east }, 100);
    }
    // Nobody has been waiting for long enough to be closed for that reason.
    for _ in 0..10 {
        connect_as(&mut ledger, north, 1_000);
    }
    let closures = ledger.take_closures();
    assert_eq!(closures.len(), 10);
    for closure in closures {
        assert_eq!(closure.reason, ClosureReason::Share);
        assert!(
            !callers.contains(&closure.key),
            "closed a caller of a small account"
        );
    }
}

/// Guards against closing served clients for a crowd of which nothing is known yet.
#[test]
fn unknown_crowd() {
    let mut ledger = ClientLedger::new(LIMITS);
    for _ in 0..3 {
        let caller = connect(&mut ledger, 0).unwrap();
        ledger.identify(caller, Some("north".into()));
        serve(&mut ledger, caller, 0);
    }
    for _ in 0..37 {
        connect(&mut ledger, 100).unwrap();
    }
    assert_eq!(connect(&mut ledger, 200), None);
    assert!(ledger.take_closures().is_empty());
}

/// Guards against closing clients that are served for those of the same account whose requests are refused.
#[test]
fn refused_crowd() {
    let mut ledger = ClientLedger::new(LIMITS);
    for number in 0..40 {
        let key = connect(&mut ledger, number).unwrap();
        ledger.identify(key, Some("north".into()));
        assert!(ledger.receive(key, 300, ClockTime(number)) && ledger.run(key));
        ledger.respond(key, 100, number < 3, ClockTime(number));
        // The other refusals are being written.
        if number < 3 || number == 39 {
            ledger.finish(key, ClockTime(number));
        }
    }
    assert!(connect(&mut ledger, 100).is_some(), "a refused client makes room");
    assert_eq!(connect(&mut ledger, 100), None, "only served clients are waiting");
    let closures = ledger.take_closures();
    assert_eq!(closures.len(), 1);
}

/// Guards against a stop that waits for clients that have stalled, and against one that cuts a request in process or that
/// leaves no time to requests that are arriving.
#[test]
fn stopped_listener() {
    let mut ledger = ClientLedger::new(LIMITS);
    let keys: Vec<_> = (0..4).filter_map(|_| connect(&mut ledger, 0)).collect();
    let [running, arriving, idle, stalled] = keys[..] else {
        unreachable!("four connections fit")
    };
    assert!(ledger.receive(running, 1, ClockTime(0)) && ledger.run(running));
    assert!(ledger.receive(stalled, 1, ClockTime(0)));
    serve(&mut ledger, idle, 0);
    assert!(ledger.receive(arriving, 1, ClockTime(1_900)));
    let mut stop_at = |now| {
        if now < 3_000 {
            ledger.receive(arriving, 1, ClockTime(now));
        }
        ledger.stop(ClockTime(now));
        let closures = ledger.take_closures().into_iter();
        closures
            .map(|closure| (closure.key, closure.reason))
            .collect::<Vec<_>>()
    };
    assert_eq!(stop_at(2_000), [(stalled, ClosureReason::Stalled)]);
    assert_eq!(stop_at(2_900), []);
    let last = [(arriving, ClosureReason::Slow), (idle, ClosureReason::Idle)];
    assert_eq!(stop_at(3_000), last);
    assert_eq!(stop_at(60_000), []);
}

/// Guards against large bodies that leave no memory for ordinary requests.
#[test]
fn small_requests() {
    let mut ledger = ClientLedger::new(LIMITS);
    while let Some(key) = connect(&mut ledger, 0) {
        if !ledger.reserve(key, BODY_BYTES, ClockTime(0)) {
            break;
        }
    }
    let key = connect(&mut ledger, 0).unwrap();
    serve(&mut ledger, key, 0);
}

/// A call to the ledger; connections are named by their number.
#[derive(Clone, Debug)]
enum LedgerCall {
    Connect,
    Receive(usize, usize),
    Reserve(usize, usize),
    Identify(usize, usize),
    Run(usize),
    Respond(usize),
    Finish(usize),
    Disconnect(usize),
    Stop,
    Wait(u64),
}

fn ledger_call() -> impl Strategy<Value = LedgerCall> {
    let number = 0..60_usize;
    prop_oneof![
        3 => Just(LedgerCall::Connect),
        3 => (number.clone(), 1..9_000_usize).prop_map(|(number, bytes)| LedgerCall::Receive(number, bytes)),
        3 => (number.clone(), 1..BODY_BYTES).prop_map(|(number, bytes)| LedgerCall::Reserve(number, bytes)),
        1 => (number.clone(), 0..3_usize).prop_map(|(number, account)| LedgerCall::Identify(number, account)),
        2 => number.clone().prop_map(LedgerCall::Run),
        2 => number.clone().prop_map(LedgerCall::Respond),
        1 => number.clone().prop_map(LedgerCall::Finish),
        1 => number.prop_map(LedgerCall::Disconnect),
        1 => (0..3_000_u64).prop_map(LedgerCall::Wait),
        1 => (0..20_u8).prop_map(|number| if number == 0 { LedgerCall::Stop } else { LedgerCall::Wait(100) }),
    ]
}

/// Guards against memory that is counted twice or never returned, a limit that is exceeded, and a request in process
/// whose connection is closed.
#[test]
fn random_calls() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let calls = proptest::collection::vec(ledger_call(), 1..200);
    TestRunner::new_with_rng(config, rng)
        .run(&calls, |calls| {
            check_calls(&calls);
            Ok(())
        })
        .unwrap();
}

fn check_calls(calls: &[LedgerCall]) {
    let mut ledger = ClientLedger::new(LIMITS);
    let (mut keys, mut running) = (Vec::new(), Vec::new());
    let mut now = ClockTime(0);
    for call in calls {
        let key = |number: &usize| keys.get(*number).copied().unwrap_or_default();
        match call {
            LedgerCall::Connect => keys.extend(connect(&mut ledger, now.0)),
            LedgerCall::Receive(number, bytes) => drop(ledger.receive(key(number), *bytes, now)),
            LedgerCall::Reserve(number, bytes) => {
                ledger.reserve(key(number), *bytes, now);
                running.retain(|key_of| *key_of != key(number));
            }
            LedgerCall::Identify(number, account) => {
                let account = ["north", "south"].get(*account).map(|name| Arc::from(*name));
                ledger.identify(key(number), account);
            }
            LedgerCall::Run(number) => {
                if ledger.run(key(number)) {
                    running.push(key(number));
                }
            }
            LedgerCall::Respond(number) => {
                ledger.respond(key(number), 100, true, now);
                running.retain(|key_of| *key_of != key(number));
            }
            LedgerCall::Finish(number) => ledger.finish(key(number), now),
            LedgerCall::Disconnect(number) => {
                ledger.disconnect(key(number));
                running.retain(|key_of| *key_of != key(number));
            }
            LedgerCall::Stop => ledger.stop(now),
            LedgerCall::Wait(millis) => now = now + *millis,
        }
        // Responses are small here, so that the limit holds for them too.
        assert!(ledger.held_bytes() <= LIMITS.max_bytes + LIMITS.max_connections * 100);
        assert!(ledger.open_connections() <= LIMITS.max_connections);
        for closure in ledger.take_closures() {
            assert!(!running.contains(&closure.key), "closed a request in process");
        }
    }
    for key in keys {
        ledger.disconnect(key);
    }
    assert_eq!((ledger.open_connections(), ledger.held_bytes()), (0, 0));
}
