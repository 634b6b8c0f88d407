use std::sync::Arc;

use arbutuspick_model::{JobId, VmName};
use arbutuspick_peer::{PeerHandler, PeerMessage};
use futures::FutureExt;

use super::EntryContext;
use crate::config::config_page;
use crate::jobs::decode_summary;

/// Returns the handler of messages from other entry VMs.
pub(crate) fn peer_handler(context: Arc<EntryContext>) -> PeerHandler {
    Arc::new(move |sender, message| handle(Arc::clone(&context), sender, message).boxed())
}

async fn handle(context: Arc<EntryContext>, sender: VmName, message: PeerMessage) -> Option<PeerMessage> {
    match message {
        PeerMessage::ConfigHead(head) => {
            if head.revision > context.config.revision().0 {
                context.config_sync.wake();
            }
            None
        }
        PeerMessage::ConfigPull(pull) => Some(PeerMessage::ConfigPage(config_page(&context, &pull))),
        PeerMessage::PoolSummary(summary) => {
            match decode_summary(&summary, context.clock.now()) {
                Ok((centre, summary)) => context.summaries.update(centre, summary),
                Err(error) => log::warn!("[peer] invalid summary of {sender} ignored: {error}"),
            }
            None
        }
        PeerMessage::InboxNotice(notice) => {
            if notice.data_centre == context.settings.data_centre.as_str() {
                context.holder.inbox_changed();
            }
            None
        }
        PeerMessage::ClaimQuery(query) => Some(PeerMessage::ClaimAnswer(
            context.claims.handle_query(&query).await,
        )),
        PeerMessage::JobEnded(ended) => {
            if let Some(job) = parse_job(&sender, &ended.job) {
                context.jobs.notify_ended(job);
            }
            None
        }
        PeerMessage::Hello(_) | PeerMessage::ConfigPage(_) | PeerMessage::ClaimAnswer(_) => None,
    }
}

fn parse_job(sender: &VmName, job: &str) -> Option<JobId> {
    JobId::try_from(job)
        .inspect_err(|error| log::warn!("[peer] invalid job id from {sender} ignored: {error}"))
        .ok()
}
