//! Guards against a holder that does not carry a submitted job through to a recorded outcome, and against a
//! successor that stops or restarts the running gangs it takes over.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_clients::{
    CallPriority, ClientOptions, ObjectClient, ProcessClock, TableClient, TransactionOutcome, VmClient,
    commit_transaction,
};
use arbutuspick_holder::{HolderContext, HolderMessage, HolderOptions, HolderView, run_holder};
use arbutuspick_model::{
    AccountName, CentreName, FinalOutcome, GangShape, JobId, JobSpec, PlatformTime, PoolConfig, VmName,
    WriteId,
};
use arbutuspick_records::{
    BodyDigest, JobRecord, JobState, JobSubmission, ProcessIdentity, RowKey, Versioned,
};
use arbutuspick_sched::PlacementOptions;
use arbutuspick_standins::{
    PlatformControl, PlatformOptions, PlatformStandin, TaskEnd, WorkerFleet, WorkerFleetOptions,
};
use arc_swap::ArcSwap;
use tokio::sync::mpsc;
use tokio::time::{Instant, interval};
use tokio_util::sync::CancellationToken;

const JOB_TIMEOUT: Duration = Duration::from_secs(30);

struct HolderFixture {
    platform: PlatformStandin,
    fleet: WorkerFleet,
    table: TableClient,
}

struct RunningHolder {
    messages: mpsc::Sender<HolderMessage>,
    view: Arc<ArcSwap<HolderView>>,
    shutdown: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

fn test_centre() -> CentreName {
    CentreName::try_from("trent").unwrap()
}

impl HolderFixture {
    async fn start(workers: usize) -> Self {
        let platform = PlatformStandin::start(PlatformOptions::default()).await.unwrap();
        let fleet = WorkerFleet::start(&WorkerFleetOptions::new(workers, test_centre()))
            .await
            .unwrap();
        platform.control(&PlatformControl {
            add_vms: fleet.entries(),
            ..PlatformControl::default()
        });
        let table = TableClient::new(ClientOptions::new(platform.address()));
        Self {
            platform,
            fleet,
            table,
        }
    }

    fn run_holder(&self, vm: &str) -> RunningHolder {
        let options = ClientOptions::new(self.platform.address())
            .with_writes_per_s(1_000)
            .with_reads_per_s(1_000);
        let context = HolderContext {
            table: TableClient::new(options.clone()),
            objects: ObjectClient::new(options.clone()),
            vms: VmClient::new(options),
            clock: ProcessClock::new(),
            config: Arc::new(ArcSwap::from_pointee(PoolConfig::default())),
            closed_centres: Arc::new(ArcSwap::from_pointee(BTreeSet::new())),
            choose_centre: Arc::new(|_| None),
            on_job_ended: Arc::new(|_| {}),
        };
        let options = HolderOptions {
            data_centre: test_centre(),
            identity: ProcessIdentity::generate(VmName::try_from(vm).unwrap()),
            peer_address: "127.0.0.1:1".parse().unwrap(),
            placement: PlacementOptions::default(),
        };
        let (messages, receiver) = mpsc::channel(16);
        let view = Arc::new(ArcSwap::from_pointee(HolderView::default()));
        let shutdown = CancellationToken::new();
        let task = tokio::spawn(run_holder(
            options,
            context,
            receiver,
            view.clone(),
            shutdown.clone(),
        ));
        RunningHolder {
            messages,
            view,
            shutdown,
            task,
        }
    }

    async fn submit(&self, spec: JobSpec) -> JobId {
        let job = JobId::generate();
        let submission = JobSubmission {
            job,
            spec,
            caller_key: None,
            body_digest: BodyDigest::of(&[b"body"]),
            data_centre: test_centre(),
            now: self.platform.time(),
            delete_key_after: PlatformTime(u64::MAX),
        };
        let change = JobRecord::submit(submission, WriteId::generate());
        let deadline = ProcessClock::new().now() + 5_000;
        let outcome = commit_transaction(
            &self.table,
            &change.transaction,
            deadline,
            CallPriority::Submission,
        )
        .await;
        assert!(
            matches!(outcome, TransactionOutcome::Committed { .. }),
            "{outcome:?}"
        );
        job
    }

    fn record(&self, job: JobId) -> JobRecord {
        let row = self.platform.row(&RowKey::Job(job).to_string()).unwrap();
        Versioned::<JobRecord>::try_from(&row).unwrap().record
    }

    async fn wait_for<F>(&self, job: JobId, is_expected: F) -> JobRecord
    where
        F: Fn(&JobRecord) -> bool,
    {
        let deadline = Instant::now() + JOB_TIMEOUT;
        let mut ticks = interval(Duration::from_millis(20));
        loop {
            ticks.tick().await;
            let record = self.record(job);
            if is_expected(&record) {
                return record;
            }
            assert!(
                Instant::now() < deadline,
                "job did not reach the expected state: {record:?}"
            );
        }
    }

    fn finished_members(&self, job: JobId) -> usize {
        let runs = self.fleet.workers.iter().flat_map(|worker| worker.log().runs);
        runs.filter(|run| run.job == job && run.end == Some(TaskEnd::Finished))
            .count()
    }

    fn started_members(&self, job: JobId) -> usize {
        let runs = self.fleet.workers.iter().flat_map(|worker| worker.log().runs);
        runs.filter(|run| run.job == job).count()
    }
}

fn gang_spec(tasks: u32, run_ms: u64) -> JobSpec {
    let shape = GangShape {
        tasks,
        accelerators: 8,
        ..GangShape::default()
    };
    JobSpec::new(AccountName::try_from("parks").unwrap())
        .with_shape(shape)
        .with_payload(format!("{{\"run_ms\": {run_ms}, \"output\": \"done\"}}"))
}

#[tokio::test]
async fn gang_runs() {
    let fixture = HolderFixture::start(4).await;
    let holder = fixture.run_holder("trent-1");
    let job = fixture.submit(gang_spec(3, 200)).await;
    let record = fixture.wait_for(job, |record| record.state.is_final()).await;
    assert!(
        matches!(record.outcome, Some(FinalOutcome::Ran { .. })),
        "{record:?}"
    );
    assert_eq!(fixture.finished_members(job), 3);
    let Some(FinalOutcome::Ran { result }) = record.outcome else {
        unreachable!()
    };
    assert_eq!(
        fixture.platform.object(&result.object).unwrap().len() as u64,
        result.bytes
    );
    assert!(holder.view.load().epoch.is_some());
    drop(holder.messages);
    holder.shutdown.cancel();
    holder.task.await.unwrap();
}

#[tokio::test]
async fn successor_adopts_gang() {
    let fixture = HolderFixture::start(3).await;
    let first = fixture.run_holder("trent-1");
    let job = fixture.submit(gang_spec(3, 6_000)).await;
    fixture
        .wait_for(job, |record| record.state == JobState::Running)
        .await;
    // An aborted task ends without releasing the lease, like a killed process.
    first.task.abort();
    let second = fixture.run_holder("trent-2");
    let record = fixture.wait_for(job, |record| record.state.is_final()).await;
    assert!(
        matches!(record.outcome, Some(FinalOutcome::Ran { .. })),
        "{record:?}"
    );
    assert_eq!(fixture.started_members(job), 3, "members were started again");
    second.shutdown.cancel();
    second.task.await.unwrap();
}
