use std::sync::Arc;

use crate::BootClock;
use crate::leader_record::LEADER_TABLE;
use crate::relay_client::RelayClient;
use crate::relay_message::{CallBody, ReadMessage, ReplyBody};

/// Minimum difference in election delay, in milliseconds, for which a handover to a peer is worthwhile.
const MIN_ADVANTAGE_MS: u64 = 300;
/// Timeout of a probe of one peer, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 400;

/// Finds VMs with more capacity for the leader.
#[derive(Clone, Debug)]
pub struct PeerProbe {
    pub(crate) clock: BootClock,
    pub(crate) client: Arc<RelayClient>,
}

impl PeerProbe {
    /// Returns a VM that has a shorter election delay than this one, answers, and can reach the store.
    pub(crate) async fn find_stronger_peer(&self, delay_ms: u64) -> Option<Arc<str>> {
        let max_delay_ms = delay_ms.checked_sub(MIN_ADVANTAGE_MS)?;
        for peer in self.client.peers_within_delay(max_delay_ms) {
            let call = CallBody::Read(ReadMessage {
                table: LEADER_TABLE.into(),
                from: String::new(),
                limit: 1,
            });
            let deadline = self.clock.now() + PROBE_TIMEOUT_MS;
            if let Some(ReplyBody::Page(_)) = self.client.call_peer(&peer, call, deadline).await {
                return Some(peer.vm);
            }
        }
        None
    }
}
