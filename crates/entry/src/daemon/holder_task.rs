use std::sync::Arc;
use std::time::Duration;

use arbutuspick_holder::{HolderContext, HolderDump, HolderMessage, HolderOptions, HolderView, run_holder};
use arbutuspick_model::JobId;
use arbutuspick_peer::{JobEnded, PeerMessage};
use arbutuspick_sched::PlacementOptions;
use arc_swap::ArcSwap;
use parking_lot::Mutex;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;

use super::{EntryContext, StopPhase};
use crate::jobs::{CentreSummary, choose_other_centre, encode_summary};

/// Capacity of the holder's message queue; the holder also finds the rows of dropped messages by itself.
const MAX_HOLDER_MESSAGES: usize = 256;
/// Interval at which summaries are sent to peers.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for a state dump, which a process that has lost the lease does not answer.
const DUMP_TIMEOUT: Duration = Duration::from_millis(500);

/// The placement holder of this process, and its message queue.
pub(crate) struct HolderTask {
    messages: mpsc::Sender<HolderMessage>,
    receiver: Mutex<Option<mpsc::Receiver<HolderMessage>>>,
    view: Arc<ArcSwap<HolderView>>,
}

impl HolderTask {
    pub(crate) fn new() -> Self {
        let (messages, receiver) = mpsc::channel(MAX_HOLDER_MESSAGES);
        Self {
            messages,
            receiver: Mutex::new(Some(receiver)),
            view: Arc::default(),
        }
    }

    /// Notifies the holder that the inbox of this data centre has changed.
    pub(crate) fn inbox_changed(&self) {
        self.send(HolderMessage::InboxChanged);
    }

    /// Notifies the holder that the configuration or the set of closed data centres has changed.
    pub(crate) fn config_changed(&self) {
        self.send(HolderMessage::ConfigChanged);
    }

    fn send(&self, message: HolderMessage) {
        // Without the lease messages are not needed: a holder reads everything when it acquires the lease.
        if self.view().epoch.is_some() && self.messages.try_send(message).is_err() {
            log::debug!("[holder] message dropped: {MAX_HOLDER_MESSAGES} messages are queued");
        }
    }

    /// Returns the last published view of the holder; it has no epoch while this process holds no lease.
    pub(crate) fn view(&self) -> Arc<HolderView> {
        self.view.load_full()
    }

    /// Returns a dump of the holder's state, if this process holds the lease.
    pub(crate) async fn dump(&self) -> Option<HolderDump> {
        self.view().epoch?;
        let (reply, dump) = oneshot::channel();
        self.messages.try_send(HolderMessage::Dump(reply)).ok()?;
        timeout(DUMP_TIMEOUT, dump).await.ok()?.ok()
    }

    /// Starts the holder, which releases its lease when a planned stop begins.
    pub(crate) fn start(&self, context: &Arc<EntryContext>) {
        let Some(messages) = self.receiver.lock().take() else {
            return;
        };
        let options = HolderOptions {
            data_centre: context.settings.data_centre.clone(),
            identity: context.identity.clone(),
            peer_address: context.peer_address,
            placement: PlacementOptions::default(),
        };
        let shutdown = CancellationToken::new();
        let holder = run_holder(
            options,
            holder_context(context),
            messages,
            Arc::clone(&self.view),
            shutdown.clone(),
        );
        context.stop.tracker.spawn(holder);
        tokio::spawn({
            let context = Arc::clone(context);
            async move {
                context.stop.wait_for_phase(StopPhase::Leaving).await;
                shutdown.cancel();
            }
        });
    }
}

fn holder_context(context: &Arc<EntryContext>) -> HolderContext {
    let chooser_context = Arc::clone(context);
    let notifier_context = Arc::clone(context);
    HolderContext {
        table: context.table.clone(),
        objects: context.objects.clone(),
        vms: context.vms.clone(),
        clock: context.clock,
        config: context.config.shared(),
        closed_centres: context.centres.closed_others(),
        choose_centre: Arc::new(move |spec| {
            choose_other_centre(&chooser_context, spec, &chooser_context.settings.data_centre)
        }),
        on_job_ended: Arc::new(move |job| notify_job_ended(&notifier_context, job)),
    }
}

/// Wakes the callers that wait for a job, at this VM and at the other entry VMs.
fn notify_job_ended(context: &EntryContext, job: JobId) {
    context.jobs.notify_ended(job);
    context
        .peers
        .notify_all(PeerMessage::JobEnded(JobEnded { job: job.to_string() }));
}

/// Sends the summary of the pool to all peers while this process holds the lease, until the daemon stops.
pub(crate) async fn run_summaries(context: Arc<EntryContext>) {
    let mut ticks = interval(SUMMARY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let view = context.holder.view();
        if let (Some(epoch), Some(summary)) = (view.epoch, &view.summary) {
            let centre = &context.settings.data_centre;
            let message = encode_summary(centre, epoch, summary);
            context.peers.notify_all(PeerMessage::PoolSummary(message));
            let received_at = context.clock.now();
            let centre_summary = CentreSummary {
                epoch,
                summary: summary.clone(),
                received_at,
            };
            context.summaries.update(centre.clone(), centre_summary);
        }
    }
}
