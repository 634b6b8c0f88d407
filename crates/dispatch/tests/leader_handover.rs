//! The seat on a VM that is too weak for it while a stronger one could hold it.

mod support;

use std::sync::Arc;
use std::time::Duration;

use arbutuspick_dispatch::{
    BootClock, DispatchContext, DispatchOptions, PolicyBoard, RelayOptions, RelayedStore, SeatRecord,
    follow_policy, run_seat,
};
use arbutuspick_pool::CoreOptions;
use prost::Message;
use support::{
    CONFIG_TABLE, FakeFleet, FakeStore, StoreMood, WORKER_TABLE, decode_policy, decode_workers, store_with,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Handicap of a weak VM, in milliseconds.
const WEAK_MS: u64 = 800;
/// Longest wait for a holder, in milliseconds: the list of processes is read 1.5 s after a start, the holder looks
/// for stronger VMs every 2 s.
const PATIENCE_MS: u64 = 9_000;
/// Pause between looks at the seat, in milliseconds.
const LOOK_MS: u64 = 25;

async fn start(number: usize, handicap_ms: u64, store: &FakeStore, fleet: &FakeFleet) {
    let clock = BootClock::of_runtime();
    let store = RelayedStore::new(store.for_process(number), clock);
    let board = Arc::new(PolicyBoard::new(clock));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let vm: Arc<str> = format!("vm-{number}").into();
    let options = RelayOptions {
        vm: vm.clone(),
        centre: "trent".into(),
        handicap_ms,
        address: listener.local_addr().unwrap(),
        tables: &[],
    };
    let context = Arc::new(DispatchContext {
        store: store.clone(),
        link: fleet.for_process(number),
        decode_workers,
        board: board.clone(),
        seat: Default::default(),
        peers: Some(store.peer_watch()),
        state: Default::default(),
        clock,
        stopping: CancellationToken::new(),
        options: DispatchOptions {
            vm,
            process: 2_000 + number as u64,
            worker_table: WORKER_TABLE,
            seat_handicap_ms: handicap_ms,
            core: CoreOptions::default(),
        },
    });
    tokio::spawn(store.clone().run(listener, options));
    tokio::spawn(follow_policy(store, board, CONFIG_TABLE, decode_policy));
    tokio::spawn(run_seat(context));
}

fn holder(store: &FakeStore) -> Option<String> {
    let record = SeatRecord::decode(store.value("seat", "holder")?).unwrap();
    (!record.released).then_some(record.holder)
}

async fn wait_holder(store: &FakeStore, name: &str) -> bool {
    for _ in 0..PATIENCE_MS / LOOK_MS {
        if holder(store).as_deref() == Some(name) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
    false
}

/// Guards against a weak VM that keeps the seat for good.
#[tokio::test]
async fn stronger_peer() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    start(1, WEAK_MS, &store, &fleet).await;
    assert!(wait_holder(&store, "vm-1").await, "nobody took the seat");
    start(2, 0, &store, &fleet).await;
    assert!(wait_holder(&store, "vm-2").await, "the weak VM kept the seat");
}

/// Guards against a seat that is left to a VM that cannot reach the store.
#[tokio::test]
async fn cut_peer() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    start(1, WEAK_MS, &store, &fleet).await;
    assert!(wait_holder(&store, "vm-1").await, "nobody took the seat");
    start(2, 0, &store, &fleet).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    store.set_mood(2, StoreMood::Refuses);
    let epoch = |store: &FakeStore| {
        SeatRecord::decode(store.value("seat", "holder").unwrap())
            .unwrap()
            .epoch
    };
    let before = epoch(&store);
    tokio::time::sleep(Duration::from_millis(PATIENCE_MS / 2)).await;
    assert_eq!((holder(&store).as_deref(), epoch(&store)), (Some("vm-1"), before));
}
