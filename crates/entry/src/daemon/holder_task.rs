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

/// Notices that may wait for the holder; the holder finds the rows of lost ones itself.
const MAX_NOTICES: usize = 256;
/// Interval of the summaries to peers.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for a dump, which a process that holds no lease does not give.
const DUMP_LIMIT: Duration = Duration::from_millis(500);

/// The placement holder that runs in this process, and the place where it gets its notices.
pub(crate) struct HolderTask {
    notices: mpsc::Sender<HolderMessage>,
    receiver: Mutex<Option<mpsc::Receiver<HolderMessage>>>,
    view: Arc<ArcSwap<HolderView>>,
}

impl HolderTask {
    pub(crate) fn new() -> Self {
        let (notices, receiver) = mpsc::channel(MAX_NOTICES);
        Self {
            notices,
            receiver: Mutex::new(Some(receiver)),
            view: Arc::default(),
        }
    }

    /// Tells the holder that the inbox of this data centre has a notice.
    pub(crate) fn inbox_changed(&self) {
        self.send(HolderMessage::InboxChanged);
    }

    /// Tells the holder that the configuration or the set of closed data centres has changed.
    pub(crate) fn config_changed(&self) {
        self.send(HolderMessage::ConfigChanged);
    }

    fn send(&self, notice: HolderMessage) {
        // Without a lease nobody takes notices, and the holder that gets the lease reads everything.
        if self.view().epoch.is_some() && self.notices.try_send(notice).is_err() {
            log::debug!("[holder] notice dropped, since {MAX_NOTICES} wait");
        }
    }

    /// Returns what the holder sees; its epoch is absent while this process does not hold the lease.
    pub(crate) fn view(&self) -> Arc<HolderView> {
        self.view.load_full()
    }

    /// Returns the state of the holder, if this process holds the lease.
    pub(crate) async fn dump(&self) -> Option<HolderDump> {
        self.view().epoch?;
        let (reply, dump) = oneshot::channel();
        self.notices.try_send(HolderMessage::Dump(reply)).ok()?;
        timeout(DUMP_LIMIT, dump).await.ok()?.ok()
    }

    /// Starts the holder, which gives up its lease when a planned stop begins.
    pub(crate) fn start(&self, context: &Arc<EntryContext>) {
        let Some(notices) = self.receiver.lock().take() else {
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
            notices,
            Arc::clone(&self.view),
            shutdown.clone(),
        );
        context.stop.tracker.spawn(holder);
        tokio::spawn({
            let context = Arc::clone(context);
            async move {
                context.stop.reached(StopPhase::Leaving).await;
                shutdown.cancel();
            }
        });
    }
}

fn holder_context(context: &Arc<EntryContext>) -> HolderContext {
    let choice = Arc::clone(context);
    let ended = Arc::clone(context);
    HolderContext {
        table: context.table.clone(),
        objects: context.objects.clone(),
        vms: context.vms.clone(),
        clock: context.clock,
        config: context.config.shared(),
        closed_centres: context.centres.closed_others(),
        choose_centre: Arc::new(move |spec| choose_other_centre(&choice, spec, &choice.settings.data_centre)),
        on_job_ended: Arc::new(move |job| report_end(&ended, job)),
    }
}

/// Wakes the callers who wait for a job, here and at the other entry VMs.
fn report_end(context: &EntryContext, job: JobId) {
    context.jobs.notify_ended(job);
    context
        .peers
        .hint_all(PeerMessage::JobEnded(JobEnded { job: job.to_string() }));
}

/// Sends the summary of the pool to all peers while this process holds the lease, until the daemon ends.
pub(crate) async fn run_summaries(context: Arc<EntryContext>) {
    let mut ticks = interval(SUMMARY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let view = context.holder.view();
        if let (Some(epoch), Some(summary)) = (view.epoch, &view.summary) {
            let centre = &context.settings.data_centre;
            let message = encode_summary(centre, epoch, summary);
            context.peers.hint_all(PeerMessage::PoolSummary(message));
            let received_at = context.clock.now();
            let known = CentreSummary {
                epoch,
                summary: summary.clone(),
                received_at,
            };
            context.summaries.update(centre.clone(), known);
        }
    }
}
