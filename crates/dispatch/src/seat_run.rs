use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::{CoreOptions, WorkerReport};
use arc_swap::ArcSwap;
use prost::Message;
use rand::Rng;
use tokio_util::sync::CancellationToken;

use crate::leader_run::{LeaderExit, LeaderRun};
use crate::row_store::{RowChange, RowCondition, RowEntry, RowStore, RowWrite, StoreError, TransactOutcome};
use crate::seat_record::{LEADER_KEY, LEADER_TABLE, PENDING_KEY, PendingRecord, SeatRecord};
use crate::worker_link::WorkerLink;
use crate::{BootClock, PeerWatch, PolicyBoard, SeatDecision, SeatWatch, StateBoard};

/// Interval between reads of the leader row, in milliseconds. The third read after the last change finds that the
/// leader has failed; processes read at different times, so one of them finds it soon after the timeout.
const POLL_INTERVAL_MS: u64 = 500;
/// Random addition to that interval, in milliseconds, so that processes do not race for leadership.
const POLL_JITTER_MS: u64 = 80;
/// Timeout of a read or a write of the leader row, in milliseconds.
const STORE_TIMEOUT_MS: u64 = 500;

/// Settings of leader election and scheduling.
#[derive(Clone, Debug)]
pub struct DispatchOptions {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Random id of this process, new at every start.
    pub process: u64,
    /// Table in which workers register.
    pub worker_table: &'static str,
    /// How long this VM waits before it tries to become leader, in milliseconds; 0 on a VM with enough capacity.
    pub seat_handicap_ms: u64,
    /// Options of the scheduler core.
    pub core: CoreOptions,
}

/// What a process last read about the leader.
#[derive(Clone, Debug, Default)]
pub struct SeatView {
    /// VM whose process is the leader.
    pub holder: Arc<str>,
    /// Epoch of the leader.
    pub epoch: u64,
    /// Number of jobs without a started task, by queue.
    pub pending: HashMap<Arc<str>, u64>,
    /// When the leader row was read.
    pub read_at: ClockTime,
}

/// Dependencies and state shared by the tasks of a process.
#[derive(Debug)]
pub struct DispatchContext<S, L, W> {
    /// Shared row store.
    pub store: S,
    /// Client for calls to workers.
    pub link: L,
    /// Decodes rows of the worker table; skips rows that it cannot decode.
    pub decode_workers: W,
    /// Newest configuration.
    pub board: Arc<PolicyBoard>,
    /// What was last read about the leader.
    pub seat: ArcSwap<SeatView>,
    /// Finds VMs with more capacity for the leader; `None` if all VMs are alike.
    pub peers: Option<PeerWatch>,
    /// State dump of the leader on request.
    pub state: StateBoard,
    /// Clocks of the process.
    pub clock: BootClock,
    /// Cancelled when the process stops.
    pub stopping: CancellationToken,
    /// Settings of leader election and scheduling.
    pub options: DispatchOptions,
}

/// Takes part in leader election, and schedules while this process is the leader, until the process stops.
pub async fn run_seat<S, L, W>(context: Arc<DispatchContext<S, L, W>>)
where
    S: RowStore,
    L: WorkerLink,
    W: Fn(&[RowEntry], ClockTime) -> Vec<WorkerReport> + Send + Sync + 'static,
{
    let mut watch = SeatWatch::with_handicap(context.options.seat_handicap_ms);
    let mut connected = true;
    loop {
        if context.stopping.is_cancelled() {
            return;
        }
        match check_leader(&context, &mut watch).await {
            Ok(Some((record, version, acquired_at))) => {
                log::info!(
                    "[seat] elected leader epoch={} process={:x}",
                    record.epoch,
                    record.process
                );
                metrics::counter!("arbutuspick_seats_taken_total").increment(1);
                let leaderless_since = watch.changed_at().unwrap_or(acquired_at);
                let run = LeaderRun::new(context.clone(), record, version, acquired_at, leaderless_since);
                if run.run().await == LeaderExit::Stopped {
                    return;
                }
                watch = SeatWatch::with_handicap(context.options.seat_handicap_ms);
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
        let delay_ms = POLL_INTERVAL_MS + rand::rng().random_range(0..POLL_JITTER_MS);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Reads the leader row and tries to become leader if there is none.
async fn check_leader<S, L, W>(
    context: &DispatchContext<S, L, W>,
    watch: &mut SeatWatch,
) -> Result<Option<(SeatRecord, u64, ClockTime)>, StoreError>
where
    S: RowStore,
{
    let sent_at = context.clock.now();
    let page = context
        .store
        .read(LEADER_TABLE, "", 10, sent_at + STORE_TIMEOUT_MS)
        .await?;
    let now = context.clock.now();
    let mut current = SeatRecord::default();
    let mut version = 0;
    let mut pending = HashMap::new();
    for row in page.rows {
        let Some(value) = row.value else { continue };
        match row.key.as_ref() {
            LEADER_KEY => {
                version = row.version;
                current = SeatRecord::decode(value).unwrap_or_else(|error| {
                    log::error!("[seat] cannot decode the leader record: {error}");
                    SeatRecord::default()
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
    context.seat.store(Arc::new(SeatView {
        holder: current.holder.as_str().into(),
        epoch: current.epoch,
        pending,
        read_at: sent_at,
    }));
    // This process became leader in an earlier call whose answer was lost.
    if version > 0 && current.process == context.options.process && current.sequence == 0 && !current.released
    {
        return Ok(Some((current, version, sent_at)));
    }
    let ready = context.board.view().front.is_some() && !context.stopping.is_cancelled();
    if watch.observe(version, current.released, now) == SeatDecision::Wait || !ready {
        return Ok(None);
    }
    try_acquire(context, &current, version).await
}

/// Writes the leader record of the next epoch; returns `None` if another process changed the row first.
async fn try_acquire<S, L, W>(
    context: &DispatchContext<S, L, W>,
    current: &SeatRecord,
    version: u64,
) -> Result<Option<(SeatRecord, u64, ClockTime)>, StoreError>
where
    S: RowStore,
{
    let record = SeatRecord {
        holder: context.options.vm.to_string(),
        process: context.options.process,
        epoch: current.epoch + 1,
        sequence: 0,
        released: false,
    };
    let change = RowChange {
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
        .transact(&change, sent_at + STORE_TIMEOUT_MS)
        .await?
    {
        TransactOutcome::Committed { version } => Ok(Some((record, version, sent_at))),
        TransactOutcome::Conflict { .. } => Ok(None),
    }
}
