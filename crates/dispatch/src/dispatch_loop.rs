use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::{CoreOptions, WorkerReport};
use arc_swap::ArcSwap;
use prost::Message;
use rand::Rng;
use tokio_util::sync::CancellationToken;

use crate::leader_record::{LEADER_KEY, LEADER_TABLE, LeaderRecord, PENDING_KEY, PendingRecord};
use crate::leader_run::{LeaderExit, LeaderRun};
use crate::row_store::{
    RowCondition, RowEntry, RowStore, RowTransaction, RowWrite, StoreError, TransactOutcome,
};
use crate::worker_client::WorkerClient;
use crate::{
    BootClock, ElectionDecision, ElectionWatch, PeerProbe, PolicyCache, ProcessLimits, StateDump, UseProbe,
    election_delay_ms,
};

/// Interval between reads of the leader row, in milliseconds. The third read after the last change finds that
/// the leader has failed; processes read at different times, so one of them finds it soon after the timeout.
const POLL_INTERVAL_MS: u64 = 500;
/// Random addition to that interval, in milliseconds, so that processes do not race for leadership.
const POLL_JITTER_MS: u64 = 80;
/// That interval while a leader is about to resign in favour of this process, in milliseconds.
const CALLED_POLL_INTERVAL_MS: u64 = 25;
/// Time for which a leader that has resigned in favour of another VM counts as replaced by it, in milliseconds.
const SUCCESSOR_GRACE_MS: u64 = 500;
/// Timeout of a read or a write of the leader row, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 500;

/// Settings of leader election and scheduling.
#[derive(Clone, Debug)]
pub struct DispatchOptions {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Random id of this process, new at every start.
    pub instance_id: u64,
    /// Table in which workers register.
    pub worker_table: &'static str,
    /// Time of silence after which the worker registry drops an entry, in milliseconds.
    pub registry_silence_ms: u64,
    /// What this process may use.
    pub limits: ProcessLimits,
    /// Maximum size of the value of a row, in bytes.
    pub max_row_bytes: usize,
    /// Options of the scheduler core.
    pub core: CoreOptions,
}

/// What a process last read about the leader.
#[derive(Clone, Debug, Default)]
pub struct LeaderView {
    /// VM whose process is the leader.
    pub vm: Arc<str>,
    /// Epoch of the leader.
    pub epoch: u64,
    /// Number of jobs without a started task, by queue.
    pub pending: HashMap<Arc<str>, u64>,
    /// When the leader row was read.
    pub read_at: ClockTime,
}

/// Dependencies and state shared by the tasks of a process.
#[derive(Debug)]
pub struct DispatchContext<S, C, W> {
    /// Shared row store.
    pub store: S,
    /// Client for calls to workers.
    pub worker_client: C,
    /// Decodes rows of the worker table; skips rows that it cannot decode.
    pub decode_workers: W,
    /// Newest configuration.
    pub policy_cache: Arc<PolicyCache>,
    /// What was last read about the leader.
    pub leader: ArcSwap<LeaderView>,
    /// Knows the other processes; `None` if leadership is not handed over to a chosen one.
    pub peer_probe: Option<PeerProbe>,
    /// Measures what this process uses.
    pub use_probe: UseProbe,
    /// State dump of the leader on request.
    pub state_dump: StateDump,
    /// Clocks of the process.
    pub clock: BootClock,
    /// Cancelled when the process stops.
    pub stopping: CancellationToken,
    /// Settings of leader election and scheduling.
    pub options: DispatchOptions,
}

/// Takes part in leader election, and schedules while this process is the leader, until the process stops.
pub async fn run_dispatch<S, C, W>(context: Arc<DispatchContext<S, C, W>>)
where
    S: RowStore,
    C: WorkerClient,
    W: Fn(&[RowEntry], ClockTime) -> Vec<WorkerReport> + Send + Sync + 'static,
{
    let mut watch = ElectionWatch::default();
    let mut connected = true;
    loop {
        if context.stopping.is_cancelled() {
            return;
        }
        let checked = check_leader(&context, &mut watch).await;
        set_ready(&context, matches!(checked, Ok(None)));
        match checked {
            Ok(Some((record, version, acquired_at))) => {
                log::info!(
                    "[seat] elected leader epoch={} process={:x}",
                    record.epoch,
                    record.instance_id
                );
                metrics::counter!("arbutuspick_seats_taken_total").increment(1);
                let leaderless_since = watch.changed_at().unwrap_or(acquired_at);
                let run = LeaderRun::new(context.clone(), record, version, acquired_at, leaderless_since);
                if run.run().await == LeaderExit::Stopped {
                    return;
                }
                watch = ElectionWatch::default();
            }
            Ok(None) => {
                if !connected {
                    log::info!("[store] regained purpose=seat");
                }
                connected = true;
            }
            Err(error) => {
                if connected {
                    log::warn!("[store] lost purpose=seat error={error}");
                }
                connected = false;
            }
        }
        wait_for_poll(&context).await;
    }
}

/// Sets whether this process can succeed the leader.
fn set_ready<S, C, W>(context: &DispatchContext<S, C, W>, reads_leader_row: bool) {
    if let Some(probe) = &context.peer_probe {
        probe
            .succession
            .set_ready(reads_leader_row && is_electable(context));
    }
}

fn is_electable<S, C, W>(context: &DispatchContext<S, C, W>) -> bool {
    context.policy_cache.view().frontend.is_some() && !context.stopping.is_cancelled()
}

/// Waits until the leader row has to be read again.
async fn wait_for_poll<S, C, W>(context: &DispatchContext<S, C, W>) {
    let poll_ms = POLL_INTERVAL_MS + rand::rng().random_range(0..POLL_JITTER_MS);
    let Some(probe) = &context.peer_probe else {
        return tokio::time::sleep(Duration::from_millis(poll_ms)).await;
    };
    let is_called = probe.succession.is_called(context.clock.now());
    let poll_ms = if is_called {
        CALLED_POLL_INTERVAL_MS
    } else {
        poll_ms
    };
    tokio::select! {
        () = tokio::time::sleep(Duration::from_millis(poll_ms)) => {}
        () = probe.succession.wait_for_call() => {}
    }
}

/// Returns how long this process waits from when it finds no leader until it tries to become leader, in milliseconds.
fn current_delay_ms<S, C, W>(context: &DispatchContext<S, C, W>, current: &LeaderRecord) -> u64 {
    let is_successor = current.successor.as_str() == context.options.vm.as_ref();
    if current.resigned && is_successor {
        return 0;
    }
    let peers = context
        .peer_probe
        .as_ref()
        .map(PeerProbe::peers)
        .unwrap_or_default();
    let workers = (current.workers > 0).then_some(current.workers);
    let limits = peers.iter().map(|peer| peer.limits);
    let delay_ms = election_delay_ms(context.options.limits, limits, workers);
    if current.resigned && !current.successor.is_empty() {
        return SUCCESSOR_GRACE_MS + delay_ms;
    }
    delay_ms
}

/// Reads the leader row and tries to become leader if there is none.
async fn check_leader<S, C, W>(
    context: &DispatchContext<S, C, W>,
    watch: &mut ElectionWatch,
) -> Result<Option<(LeaderRecord, u64, ClockTime)>, StoreError>
where
    S: RowStore,
{
    let sent_at = context.clock.now();
    let page = context
        .store
        .read(LEADER_TABLE, "", 10, sent_at + STORE_TIMEOUT_MS)
        .await?;
    let now = context.clock.now();
    let mut current = LeaderRecord::default();
    let mut version = 0;
    let mut pending = HashMap::new();
    for row in page.rows {
        let Some(value) = row.value else { continue };
        match row.key.as_ref() {
            LEADER_KEY => {
                version = row.version;
                current = LeaderRecord::decode(value).unwrap_or_else(|error| {
                    log::error!("[seat] cannot decode the leader record: {error}");
                    LeaderRecord::default()
                });
            }
            PENDING_KEY => match PendingRecord::decode(value) {
                Ok(record) => {
                    let queues = record.queues.into_iter();
                    pending = queues.map(|(queue, count)| (queue.into(), count)).collect();
                }
                Err(error) => log::error!("[seat] cannot decode the counts of pending jobs: {error}"),
            },
            _ => {}
        }
    }
    context.leader.store(Arc::new(LeaderView {
        vm: current.vm.as_str().into(),
        epoch: current.epoch,
        pending,
        read_at: sent_at,
    }));
    // This process became leader in an earlier call whose answer was lost.
    if version > 0
        && current.instance_id == context.options.instance_id
        && current.sequence == 0
        && !current.resigned
    {
        return Ok(Some((current, version, sent_at)));
    }
    watch.set_delay(current_delay_ms(context, &current));
    let decision = watch.observe(version, current.resigned, now);
    if decision == ElectionDecision::Wait || !is_electable(context) {
        return Ok(None);
    }
    try_acquire(context, &current, version).await
}

/// Writes the leader record of the next epoch; returns `None` if another process changed the row first.
async fn try_acquire<S, C, W>(
    context: &DispatchContext<S, C, W>,
    current: &LeaderRecord,
    version: u64,
) -> Result<Option<(LeaderRecord, u64, ClockTime)>, StoreError>
where
    S: RowStore,
{
    let record = LeaderRecord {
        vm: context.options.vm.to_string(),
        instance_id: context.options.instance_id,
        epoch: current.epoch + 1,
        sequence: 0,
        resigned: false,
        workers: current.workers,
        successor: String::new(),
    };
    let transaction = RowTransaction {
        conditions: vec![RowCondition {
            table: LEADER_TABLE,
            key: LEADER_KEY.into(),
            version,
        }],
        writes: vec![RowWrite {
            table: LEADER_TABLE,
            key: LEADER_KEY.into(),
            value: Some(record.encode_to_vec().into()),
        }],
    };
    let sent_at = context.clock.now();
    match context
        .store
        .transact(&transaction, sent_at + STORE_TIMEOUT_MS)
        .await?
    {
        TransactOutcome::Committed { version } => Ok(Some((record, version, sent_at))),
        TransactOutcome::Conflict { .. } => Ok(None),
    }
}
