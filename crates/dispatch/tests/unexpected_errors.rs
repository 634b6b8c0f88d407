//! Panics in parts of a process, as one malformed message could cause them.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use arbutuspick_dispatch::{
    BootClock, DispatchContext, DispatchOptions, IntakeOptions, JobIntake, PolicyCache, PollCall, PollReply,
    ProcessLimits, RowEntry, StartCall, StartReply, StopCall, UseProbe, WorkerClient, WorkerError,
    WorkerIdentity, follow_policy, run_dispatch, supervise,
};
use arbutuspick_model::ClockTime;
use arbutuspick_pool::{CoreOptions, WorkerReport};
use support::{
    CONFIG_TABLE, FakeFleet, FakeStore, WORKER_TABLE, deadline, decode_policy, decode_workers, job, sleep_ms,
    store_with,
};
use tokio_util::sync::CancellationToken;

const ID: &str = "00000000000000ab";
/// Row of the worker table that the decoder of these tests panics on.
const MALFORMED: &str = "malformed";

/// Workers whose calls panic a number of times.
#[derive(Clone, Debug)]
struct PanickingFleet {
    fleet: FakeFleet,
    panics_left: Arc<AtomicUsize>,
}

impl PanickingFleet {
    fn maybe_panic(&self) {
        let left = self
            .panics_left
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| left.checked_sub(1));
        assert!(left.is_err(), "unexpected reply of a worker");
    }
}

impl WorkerClient for PanickingFleet {
    async fn identify(
        &self,
        worker: &WorkerReport,
        epoch: u64,
        deadline: ClockTime,
    ) -> Result<WorkerIdentity, WorkerError> {
        self.fleet.identify(worker, epoch, deadline).await
    }

    async fn start(
        &self,
        worker: &WorkerReport,
        call: &StartCall,
        deadline: ClockTime,
    ) -> Result<StartReply, WorkerError> {
        self.fleet.start(worker, call, deadline).await
    }

    async fn stop(
        &self,
        worker: &WorkerReport,
        call: &StopCall,
        deadline: ClockTime,
    ) -> Result<(), WorkerError> {
        self.fleet.stop(worker, call, deadline).await
    }

    async fn poll(
        &self,
        worker: &WorkerReport,
        call: &PollCall,
        deadline: ClockTime,
    ) -> Result<PollReply, WorkerError> {
        self.maybe_panic();
        self.fleet.poll(worker, call, deadline).await
    }
}

fn decode_or_panic(rows: &[RowEntry], now: ClockTime) -> Vec<WorkerReport> {
    let malformed = rows
        .iter()
        .any(|row| row.key.as_ref() == MALFORMED && row.value.is_some());
    assert!(!malformed, "malformed row");
    decode_workers(rows, now)
}

fn start_process(store: &FakeStore, fleet: &FakeFleet, panics: usize) -> JobIntake<FakeStore> {
    let clock = BootClock::from_runtime();
    let store = store.for_process(1);
    let cache = Arc::new(PolicyCache::new(clock));
    let context = Arc::new(DispatchContext {
        store: store.clone(),
        worker_client: PanickingFleet {
            fleet: fleet.for_process(1),
            panics_left: Arc::new(AtomicUsize::new(panics)),
        },
        decode_workers: decode_or_panic,
        policy_cache: cache.clone(),
        leader: Default::default(),
        peer_probe: None,
        use_probe: UseProbe::default(),
        state_dump: Default::default(),
        clock,
        stopping: CancellationToken::new(),
        options: DispatchOptions {
            vm: "vm-1".into(),
            instance_id: 1_001,
            worker_table: WORKER_TABLE,
            registry_silence_ms: 4_500,
            limits: ProcessLimits::default(),
            max_row_bytes: 65_536,
            core: CoreOptions::default(),
        },
    });
    tokio::spawn(follow_policy(store.clone(), cache, CONFIG_TABLE, decode_policy));
    tokio::spawn(supervise("dispatch", move || run_dispatch(context.clone())));
    JobIntake::new(store, clock, IntakeOptions::default())
}

async fn is_completed(intake: &JobIntake<FakeStore>) -> bool {
    let status = intake.status(ID, deadline(2_000)).await;
    matches!(status, arbutuspick_dispatch::StatusOutcome::Known { stage, .. } if stage.name() == "completed")
}

/// Guards against a worker that is never listed again after its session has failed.
#[tokio::test(start_paused = true)]
async fn failed_session() {
    let (store, fleet) = (store_with(1), FakeFleet::new(500));
    let intake = start_process(&store, &fleet, 3);
    sleep_ms(1_000).await;
    intake.submit(ID, &job(2), deadline(2_000)).await;
    sleep_ms(8_000).await;
    assert!(is_completed(&intake).await);
    assert_eq!(fleet.started_runs().len(), 2);
}

/// Guards against a leader that keeps its leadership without one of its feeds, and against a process that takes
/// no part in scheduling any more after a panic.
#[tokio::test(start_paused = true)]
async fn failed_feed() {
    let (store, fleet) = (store_with(1), FakeFleet::new(500));
    let intake = start_process(&store, &fleet, 0);
    sleep_ms(1_000).await;
    store.put(WORKER_TABLE, MALFORMED, b"1");
    sleep_ms(3_000).await;
    store.remove(WORKER_TABLE, MALFORMED);
    sleep_ms(3_000).await;
    store.put(WORKER_TABLE, "w9", b"1");
    // The gang needs the worker that was added after the panic.
    let mut gang = job(12);
    gang.steps[0].gang = true;
    intake.submit(ID, &gang, deadline(2_000)).await;
    sleep_ms(8_000).await;
    assert!(is_completed(&intake).await);
    assert_eq!(fleet.started_runs().len(), 12);
    assert!(fleet.duplicated_tasks().is_empty());
}
