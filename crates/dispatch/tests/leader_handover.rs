//! Handover of leadership from a small VM to a VM with more capacity.

mod support;

use std::sync::Arc;
use std::time::Duration;

use arbutuspick_dispatch::{
    BootClock, DispatchContext, DispatchOptions, LeaderRecord, PolicyCache, RelayOptions, RelayedStore,
    follow_policy, run_dispatch,
};
use arbutuspick_pool::CoreOptions;
use arbutuspick_server::{ClientGuard, ListenerLimits};
use prost::Message;
use support::{
    CONFIG_TABLE, FakeFleet, FakeStore, StoreMode, WORKER_TABLE, decode_policy, decode_workers, store_with,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Election delay of a small VM, in milliseconds.
const SMALL_VM_DELAY_MS: u64 = 800;
/// Maximum wait for a leader, in milliseconds: the member table is read 1.5 s after a start, and the leader
/// looks for VMs with more capacity every 2 s.
const WAIT_LIMIT_MS: u64 = 9_000;
/// Interval between reads of the leader row, in milliseconds.
const POLL_INTERVAL_MS: u64 = 25;

async fn start(number: usize, election_delay_ms: u64, store: &FakeStore, fleet: &FakeFleet) {
    let clock = BootClock::from_runtime();
    let store = RelayedStore::new(store.for_process(number), clock);
    let cache = Arc::new(PolicyCache::new(clock));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let vm: Arc<str> = format!("vm-{number}").into();
    let options = RelayOptions {
        vm: vm.clone(),
        centre: "trent".into(),
        election_delay_ms,
        address: listener.local_addr().unwrap(),
        tables: &[],
        guard: ClientGuard::new("peers", ListenerLimits::derive(512, 4096).peers),
    };
    let context = Arc::new(DispatchContext {
        store: store.clone(),
        worker_client: fleet.for_process(number),
        decode_workers,
        policy_cache: cache.clone(),
        leader: Default::default(),
        peer_probe: Some(store.peer_probe()),
        state_dump: Default::default(),
        clock,
        stopping: CancellationToken::new(),
        options: DispatchOptions {
            vm,
            instance_id: 2_000 + number as u64,
            worker_table: WORKER_TABLE,
            registry_silence_ms: 4_500,
            election_delay_ms,
            max_row_bytes: support::MAX_ROW_BYTES,
            core: CoreOptions::default(),
        },
    });
    tokio::spawn(store.clone().run(listener, options));
    tokio::spawn(follow_policy(store, cache, CONFIG_TABLE, decode_policy));
    tokio::spawn(run_dispatch(context));
}

fn leader_vm(store: &FakeStore) -> Option<String> {
    let record = LeaderRecord::decode(store.value("seat", "holder")?).unwrap();
    (!record.resigned).then_some(record.vm)
}

async fn wait_for_leader(store: &FakeStore, name: &str) -> bool {
    for _ in 0..WAIT_LIMIT_MS / POLL_INTERVAL_MS {
        if leader_vm(store).as_deref() == Some(name) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    false
}

/// Guards against a small VM that stays leader although a VM with more capacity has joined.
#[tokio::test]
async fn stronger_peer() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    start(1, SMALL_VM_DELAY_MS, &store, &fleet).await;
    assert!(wait_for_leader(&store, "vm-1").await, "no leader was elected");
    start(2, 0, &store, &fleet).await;
    assert!(
        wait_for_leader(&store, "vm-2").await,
        "the small VM stayed leader"
    );
}

/// Guards against a handover to a VM that cannot reach the store.
#[tokio::test]
async fn disconnected_peer() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    start(1, SMALL_VM_DELAY_MS, &store, &fleet).await;
    assert!(wait_for_leader(&store, "vm-1").await, "no leader was elected");
    start(2, 0, &store, &fleet).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    store.set_mode(2, StoreMode::Refuse);
    let epoch = |store: &FakeStore| {
        LeaderRecord::decode(store.value("seat", "holder").unwrap())
            .unwrap()
            .epoch
    };
    let before = epoch(&store);
    tokio::time::sleep(Duration::from_millis(WAIT_LIMIT_MS / 2)).await;
    assert_eq!(
        (leader_vm(&store).as_deref(), epoch(&store)),
        (Some("vm-1"), before)
    );
}
