use std::sync::Arc;

use crate::BootClock;
use crate::handover_watch::{HandoverReason, rank_successors};
use crate::leading_cost::ProcessLimits;
use crate::member_list::PeerProcess;
use crate::relay_client::RelayClient;
use crate::relay_message::{CallBody, ReplyBody};
use crate::succession::SuccessionCall;

/// Timeout of a call to one peer, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 400;
/// Maximum number of peers that are asked in turn.
const MAX_ASKED_PEERS: usize = 4;

/// Knows the other processes of the deployment: what they can bear, and whether they are ready to lead.
#[derive(Clone, Debug)]
pub struct PeerProbe {
    pub(crate) clock: BootClock,
    pub(crate) client: Arc<RelayClient>,
    pub(crate) succession: Arc<SuccessionCall>,
}

impl PeerProbe {
    /// Returns the processes that were last read from the member table.
    pub(crate) fn peers(&self) -> Arc<Vec<PeerProcess>> {
        self.client.peers()
    }

    /// Returns the fittest VM to which leadership may pass that answers, can reach the store, and is ready to lead.
    pub(crate) async fn find_successor(
        &self,
        own: ProcessLimits,
        workers: Option<u64>,
        reason: HandoverReason,
    ) -> Option<Arc<str>> {
        let usable = self.client.usable_peers();
        let ranked = rank_successors(own, usable, |peer| peer.limits, workers, reason);
        for peer in ranked.into_iter().take(MAX_ASKED_PEERS) {
            let deadline = self.clock.now() + CALL_TIMEOUT_MS;
            let call = CallBody::Succeed(true);
            if let Some(ReplyBody::Accepted(true)) = self.client.call_peer(&peer, call, deadline).await {
                return Some(peer.vm);
            }
        }
        None
    }
}
