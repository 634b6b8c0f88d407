use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use arbutuspick_model::{CentreName, VmName};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::link_queue::LinkQueue;
use crate::peer_link::PeerLink;
use crate::{Hello, LinkOptions, PeerAddress, PeerError, PeerMessage};

struct LinkEntry {
    peer: PeerAddress,
    queue: Arc<LinkQueue>,
    stop: CancellationToken,
}

/// The outgoing connections to all peers.
pub struct PeerLinks {
    hello: Hello,
    options: LinkOptions,
    stop: CancellationToken,
    links: RwLock<BTreeMap<VmName, LinkEntry>>,
}

impl PeerLinks {
    /// Creates an empty set of links, which are closed when the token is cancelled.
    pub fn new(hello: Hello, options: LinkOptions, stop: CancellationToken) -> Self {
        Self {
            hello,
            options,
            stop,
            links: RwLock::default(),
        }
    }

    /// Replaces the set of peers; connections to unchanged peers are kept.
    ///
    /// Must be called within a tokio runtime.
    pub fn set_peers(&self, peers: Vec<PeerAddress>) {
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        links.retain(|_, entry| {
            let kept = peers.contains(&entry.peer);
            if !kept {
                entry.stop.cancel();
            }
            kept
        });
        for peer in peers {
            if peer.vm.as_str() != self.hello.vm && !links.contains_key(&peer.vm) {
                links.insert(peer.vm.clone(), self.start_link(peer));
            }
        }
    }

    fn start_link(&self, peer: PeerAddress) -> LinkEntry {
        let queue = Arc::new(LinkQueue::new(self.options.queue_capacity));
        let stop = self.stop.child_token();
        let link = PeerLink {
            peer: peer.clone(),
            hello: self.hello.clone(),
            options: self.options.clone(),
            queue: Arc::clone(&queue),
        };
        tokio::spawn(link.run(stop.clone()));
        LinkEntry { peer, queue, stop }
    }

    fn queue(&self, vm: &VmName) -> Option<Arc<LinkQueue>> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.get(vm).map(|entry| Arc::clone(&entry.queue))
    }

    fn map_links<Mapped, Filter, Map>(&self, filter: Filter, map: Map) -> Vec<Mapped>
    where
        Filter: Fn(&LinkEntry) -> bool,
        Map: Fn(&LinkEntry) -> Mapped,
    {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.values().filter(|entry| filter(entry)).map(map).collect()
    }

    /// Returns all peers.
    pub fn peers(&self) -> Vec<PeerAddress> {
        self.map_links(|_| true, |entry| entry.peer.clone())
    }

    /// Returns the peers with an open connection that has answered a heartbeat.
    pub fn connected_peers(&self) -> Vec<PeerAddress> {
        self.map_links(|entry| entry.queue.is_connected(), |entry| entry.peer.clone())
    }

    /// Sends a notification to one peer; does nothing if the peer is unknown.
    pub fn notify(&self, vm: &VmName, message: PeerMessage) {
        if let Some(queue) = self.queue(vm) {
            queue.push_notification(message);
        }
    }

    /// Sends a notification to all peers.
    pub fn notify_all(&self, message: PeerMessage) {
        self.map_links(|_| true, |entry| entry.queue.push_notification(message.clone()));
    }

    /// Sends a notification to all peers in a data centre.
    pub fn notify_centre(&self, data_centre: &CentreName, message: PeerMessage) {
        self.map_links(
            |entry| entry.peer.data_centre == *data_centre,
            |entry| entry.queue.push_notification(message.clone()),
        );
    }

    /// Sends a request to a peer and waits for the response.
    pub async fn request(
        &self,
        vm: &VmName,
        message: PeerMessage,
        request_timeout: Duration,
    ) -> Result<PeerMessage, PeerError> {
        let vm = vm.clone();
        let Some(queue) = self.queue(&vm) else {
            return Err(PeerError::UnknownPeer { vm });
        };
        let Some((request_id, receiver)) = queue.push_request(message) else {
            return Err(PeerError::QueueFull { vm });
        };
        let _guard = RequestGuard { queue, request_id };
        match timeout(request_timeout, receiver).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => Err(PeerError::ConnectionLost { vm }),
            Err(_) => Err(PeerError::TimedOut { vm }),
        }
    }
}

/// Cancels a request on drop, so also when the future that waits for it is dropped.
struct RequestGuard {
    queue: Arc<LinkQueue>,
    request_id: u64,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.queue.cancel_request(self.request_id);
    }
}
