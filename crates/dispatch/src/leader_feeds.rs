//! Background loops that feed the leader with events: accepted jobs, workers, successors.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arbutuspick_model::ClockTime;
use arbutuspick_pool::WorkerReport;
use tokio::sync::mpsc::{Sender, UnboundedSender};

use crate::dispatch_loop::DispatchContext;
use crate::handover_watch::{HandoverReason, HandoverWatch, ProcessUse};
use crate::leader_record::INTAKE_TABLE;
use crate::leading_cost::LeadingCost;
use crate::registry_watch::RegistryWatch;
use crate::row_store::{FollowOutcome, RowEntry, RowStore, StoreError, read_table};

/// Wait for changes in one long-poll call on the intake table, in milliseconds.
const INTAKE_WAIT_MS: u64 = 2_000;
/// Interval between reads of the worker table, in milliseconds; workers send a heartbeat every 1,500 ms.
const WORKER_LIST_INTERVAL_MS: u64 = 500;
/// Timeout of a read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 900;
/// Delay after a failed read, in milliseconds.
pub(crate) const RETRY_DELAY_MS: u64 = 150;
/// Interval at which a leader compares its own use with its limits, in milliseconds.
const USE_CHECK_INTERVAL_MS: u64 = 1_000;
/// Interval between log lines about that use, in milliseconds.
const USE_REPORT_INTERVAL_MS: u64 = 10_000;
/// Time for which the store must have answered before workers missing from the table are removed, in
/// milliseconds: entries that expired while the store was unreachable reappear about two seconds after it
/// recovers.
const REMOVAL_DELAY_MS: u64 = 2_500;
/// Timeout of a read during a takeover, in milliseconds; longer, because it reads a whole table.
pub(crate) const TAKEOVER_READ_TIMEOUT_MS: u64 = 3_000;

/// Event for the leader.
pub(crate) enum LeaderEvent {
    /// Changed rows of the intake table.
    Intake(Vec<RowEntry>),
    /// All rows of the intake table, read again because the change history was truncated.
    IntakeReset(Vec<RowEntry>),
    /// The workers in the worker table, which is the worker registry of the pool.
    Workers {
        reports: Vec<WorkerReport>,
        /// Whether workers missing from `reports` are to be removed.
        removes_missing: bool,
        /// Workers that have shut down.
        departed: Vec<Arc<str>>,
    },
}

/// A VM that is ready to lead, and why leadership is to pass to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReadySuccessor {
    pub(crate) vm: Arc<str>,
    pub(crate) reason: HandoverReason,
}

/// What the leader's loop tells about its load.
#[derive(Debug, Default)]
pub(crate) struct LeaderLoad {
    workers: AtomicU64,
    is_late: AtomicBool,
}

impl LeaderLoad {
    pub(crate) fn set_workers(&self, workers: u64) {
        self.workers.store(workers, Ordering::Relaxed);
    }

    pub(crate) fn set_late(&self, is_late: bool) {
        self.is_late.store(is_late, Ordering::Relaxed);
    }

    fn workers(&self) -> Option<u64> {
        Some(self.workers.load(Ordering::Relaxed)).filter(|workers| *workers > 0)
    }
}

/// Watches the limits of this process, and looks for a successor when it should hand leadership over.
pub(crate) async fn watch_limits<S, C, W>(
    context: Arc<DispatchContext<S, C, W>>,
    load: Arc<LeaderLoad>,
    successors: Sender<ReadySuccessor>,
) {
    let Some(probe) = context.peer_probe.as_ref() else {
        // Keeps the channel open without sending anything.
        return successors.closed().await;
    };
    let limits = context.options.limits;
    let mut watch = HandoverWatch::new(limits, context.clock.now());
    let mut reported = None;
    let mut report_at = context.clock.now();
    loop {
        tokio::time::sleep(Duration::from_millis(USE_CHECK_INTERVAL_MS)).await;
        let (usage, workers) = (context.use_probe.measure(), load.workers());
        record_use(usage, workers);
        let reason = watch.observe(
            usage,
            load.is_late.load(Ordering::Relaxed),
            workers,
            context.clock.now(),
        );
        let now = context.clock.now();
        if now >= report_at {
            report_at = now + USE_REPORT_INTERVAL_MS;
            let cost = LeadingCost::of_workers(workers);
            log::info!(
                "[seat] use resident_mb={}/{} descriptors={}/{} cost_mb={} cost_descriptors={} workers={}",
                usage.resident_mb,
                limits.memory_mb,
                usage.open_descriptors,
                limits.max_descriptors,
                cost.memory_mb,
                cost.descriptors,
                workers.unwrap_or(0)
            );
        }
        let successor = match reason {
            Some(reason) => probe.find_successor(limits, workers, reason).await,
            None => None,
        };
        if reason != reported {
            reported = reason;
            if let (Some(reason), None) = (reason, &successor) {
                log::info!("[seat] reason={reason} state=no successor");
            }
        }
        if let (Some(vm), Some(reason)) = (successor, reason) {
            // The leader may have stopped in the meantime.
            let _ = successors.send(ReadySuccessor { vm, reason }).await;
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn record_use(usage: ProcessUse, workers: Option<u64>) {
    let cost = LeadingCost::of_workers(workers);
    for (resource, used, needed) in [
        ("memory_mb", usage.resident_mb, cost.memory_mb),
        ("descriptors", usage.open_descriptors, cost.descriptors),
    ] {
        metrics::gauge!("arbutuspick_process_use", "resource" => resource).set(used as f64);
        metrics::gauge!("arbutuspick_leading_cost", "resource" => resource).set(needed as f64);
    }
    metrics::gauge!("arbutuspick_leading_cost", "resource" => "cpu_percent").set(cost.cpu_percent as f64);
    metrics::gauge!("arbutuspick_leading_cost", "resource" => "link_mbps").set(cost.link_mbps as f64);
}

/// Follows accepted jobs and cancel requests.
pub(crate) async fn follow_intake<S, C, W>(
    context: Arc<DispatchContext<S, C, W>>,
    mut after: u64,
    events: UnboundedSender<LeaderEvent>,
) where
    S: RowStore,
{
    loop {
        let deadline = context.clock.now() + INTAKE_WAIT_MS + READ_TIMEOUT_MS;
        let result = context
            .store
            .follow(INTAKE_TABLE, after, INTAKE_WAIT_MS, deadline)
            .await;
        let event = match result {
            Ok(FollowOutcome::Changes { rows, version }) => {
                after = version.max(after);
                LeaderEvent::Intake(rows)
            }
            Ok(FollowOutcome::HistoryGone) => {
                let deadline = context.clock.now() + TAKEOVER_READ_TIMEOUT_MS;
                match read_table(&context.store, INTAKE_TABLE, deadline).await {
                    Ok((rows, version)) => {
                        after = version;
                        LeaderEvent::IntakeReset(rows)
                    }
                    Err(error) => {
                        wait_after_failure(&error, "intake").await;
                        continue;
                    }
                }
            }
            Err(error) => {
                wait_after_failure(&error, "intake").await;
                continue;
            }
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

async fn wait_after_failure(error: &StoreError, purpose: &'static str) {
    log::warn!("[store] purpose={purpose} error={error}");
    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
}

/// Reads the worker table periodically.
pub(crate) async fn watch_workers<S, C, W>(
    context: Arc<DispatchContext<S, C, W>>,
    events: UnboundedSender<LeaderEvent>,
) where
    S: RowStore,
    W: Fn(&[RowEntry], ClockTime) -> Vec<WorkerReport>,
{
    let mut answering_since: Option<ClockTime> = None;
    let mut watch = RegistryWatch::new(context.options.registry_silence_ms);
    loop {
        tokio::time::sleep(Duration::from_millis(WORKER_LIST_INTERVAL_MS)).await;
        let sent_at = context.clock.now();
        match read_table(
            &context.store,
            context.options.worker_table,
            sent_at + READ_TIMEOUT_MS,
        )
        .await
        {
            Ok((rows, _)) => {
                let since = *answering_since.get_or_insert(sent_at);
                let versions = rows.iter().map(|row| (&row.key, row.version));
                let departed = watch.observe(versions, sent_at, context.clock.now());
                let event = LeaderEvent::Workers {
                    reports: (context.decode_workers)(&rows, sent_at),
                    removes_missing: sent_at.millis_since(since) >= REMOVAL_DELAY_MS,
                    departed,
                };
                if events.send(event).is_err() {
                    return;
                }
            }
            Err(error) => {
                answering_since = None;
                watch.reset();
                wait_after_failure(&error, "workers").await;
            }
        }
    }
}
