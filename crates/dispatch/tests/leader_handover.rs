//! Handover of leadership from a VM that cannot bear it, or that is near a limit, to one that can.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arbutuspick_dispatch::{
    BootClock, DispatchContext, DispatchOptions, IntakeOptions, JobIntake, LeaderRecord, PolicyCache,
    ProcessLimits, ProcessUse, RelayOptions, RelayedStore, SubmitOutcome, UseProbe, follow_policy,
    run_dispatch,
};
use arbutuspick_pool::CoreOptions;
use arbutuspick_server::{ClientGuard, ListenerLimits};
use prost::Message;
use support::{
    CONFIG_TABLE, FakeFleet, FakeStore, StoreMode, WORKER_TABLE, deadline, decode_policy, decode_workers,
    job, store_with,
};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Limits of a VM that bears the cost of leading a few workers.
const LARGE_VM: ProcessLimits = ProcessLimits {
    memory_mb: 512,
    max_descriptors: 8_192,
    cpu_percent: 50,
    link_mbps: 200,
};
/// Limits of a VM that does not, because of its bandwidth.
const SMALL_VM: ProcessLimits = ProcessLimits {
    link_mbps: 10,
    ..LARGE_VM
};
/// Memory that a process uses at first, in MiB.
const USUAL_MEMORY_MB: u64 = 60;
/// Maximum wait for a leader, in milliseconds: the member table is read 1.5 s after a start, and the leader
/// looks for VMs with more capacity every 2 s.
const WAIT_LIMIT_MS: u64 = 9_000;
/// Time after a start by which the member table has been read, in milliseconds: it is read after 1.5 s.
const PEERS_KNOWN_MS: u64 = 2_000;
/// Interval between jobs, in milliseconds.
const JOB_INTERVAL_MS: u64 = 100;
/// Interval between reads of the leader row, in milliseconds.
const POLL_INTERVAL_MS: u64 = 25;

/// Starts a process; returns its job intake and its memory in MiB, which a test may change.
async fn start(
    number: usize,
    limits: ProcessLimits,
    store: &FakeStore,
    fleet: &FakeFleet,
) -> (JobIntake<RelayedStore<FakeStore>>, Arc<AtomicU64>) {
    let memory = Arc::new(AtomicU64::new(USUAL_MEMORY_MB));
    let measured = memory.clone();
    let use_probe = UseProbe::new(move || ProcessUse {
        resident_mb: measured.load(Ordering::Relaxed),
        open_descriptors: 0,
    });
    let clock = BootClock::from_runtime();
    let store = RelayedStore::new(store.for_process(number), clock);
    let cache = Arc::new(PolicyCache::new(clock));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let vm: Arc<str> = format!("vm-{number}").into();
    let options = RelayOptions {
        vm: vm.clone(),
        centre: "trent".into(),
        limits,
        use_probe: use_probe.clone(),
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
        use_probe,
        state_dump: Default::default(),
        clock,
        stopping: CancellationToken::new(),
        options: DispatchOptions {
            vm,
            instance_id: 2_000 + number as u64,
            worker_table: WORKER_TABLE,
            registry_silence_ms: 4_500,
            limits,
            max_row_bytes: support::MAX_ROW_BYTES,
            core: CoreOptions::default(),
        },
    });
    tokio::spawn(store.clone().run(listener, options));
    tokio::spawn(follow_policy(store.clone(), cache, CONFIG_TABLE, decode_policy));
    tokio::spawn(run_dispatch(context));
    (JobIntake::new(store, clock, IntakeOptions::default()), memory)
}

fn leader_record(store: &FakeStore) -> LeaderRecord {
    LeaderRecord::decode(store.value("seat", "holder").unwrap()).unwrap()
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
    start(1, SMALL_VM, &store, &fleet).await;
    assert!(wait_for_leader(&store, "vm-1").await, "no leader was elected");
    start(2, LARGE_VM, &store, &fleet).await;
    assert!(
        wait_for_leader(&store, "vm-2").await,
        "the small VM stayed leader"
    );
}

/// Guards against a handover to a VM that cannot reach the store.
#[tokio::test]
async fn disconnected_peer() {
    let (store, fleet) = (store_with(2), FakeFleet::new(1_000));
    start(1, SMALL_VM, &store, &fleet).await;
    assert!(wait_for_leader(&store, "vm-1").await, "no leader was elected");
    start(2, LARGE_VM, &store, &fleet).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    store.set_mode(2, StoreMode::Refuse);
    let before = leader_record(&store).epoch;
    tokio::time::sleep(Duration::from_millis(WAIT_LIMIT_MS / 2)).await;
    assert_eq!(
        (leader_vm(&store).as_deref(), leader_record(&store).epoch),
        (Some("vm-1"), before)
    );
}

/// Guards against a leader that is killed at its memory limit, against a handover that another VM than the successor
/// takes up, and against runs that are started twice or lose their leases during a handover.
#[tokio::test]
async fn full_memory() {
    let (store, fleet) = (store_with(3), FakeFleet::new(4_000));
    let (intake, memory) = start(1, LARGE_VM, &store, &fleet).await;
    assert!(wait_for_leader(&store, "vm-1").await, "no leader was elected");
    let (_, full_memory) = start(2, LARGE_VM, &store, &fleet).await;
    full_memory.store(LARGE_VM.memory_mb * 7 / 10, Ordering::Relaxed);
    start(3, SMALL_VM, &store, &fleet).await;
    start(4, LARGE_VM, &store, &fleet).await;
    tokio::time::sleep(Duration::from_millis(PEERS_KNOWN_MS)).await;
    memory.store(LARGE_VM.memory_mb * 9 / 10, Ordering::Relaxed);
    // Jobs arrive all the time, so that orders are on their way when the handover begins.
    let mut tasks = 0;
    for number in 0..WAIT_LIMIT_MS / JOB_INTERVAL_MS {
        let id = format!("{number:016x}");
        if intake.submit(&id, &job(2), deadline(2_000)).await == (SubmitOutcome::Accepted { repeated: false })
        {
            tasks += 2;
        }
        if leader_vm(&store).is_some_and(|vm| vm != "vm-1") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(JOB_INTERVAL_MS)).await;
    }
    assert!(
        wait_for_leader(&store, "vm-4").await,
        "the leader did not hand over"
    );
    assert_eq!(leader_record(&store).epoch, 2, "another VM led in between");
    for _ in 0..WAIT_LIMIT_MS / POLL_INTERVAL_MS {
        if fleet.started_runs().len() >= tasks {
            break;
        }
        tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    assert_eq!(fleet.started_runs().len(), tasks);
    assert!(fleet.duplicated_tasks().is_empty());
    assert_eq!(fleet.expired_leases(), 0);
}
