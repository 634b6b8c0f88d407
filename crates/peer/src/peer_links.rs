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

/// Dialled connections to all peers.
pub struct PeerLinks {
    hello: Hello,
    options: LinkOptions,
    stop: CancellationToken,
    links: RwLock<BTreeMap<VmName, LinkEntry>>,
}

impl PeerLinks {
    /// Creates links to no peers; they end when the token is cancelled.
    pub fn new(hello: Hello, options: LinkOptions, stop: CancellationToken) -> Self {
        Self {
            hello,
            options,
            stop,
            links: RwLock::default(),
        }
    }

    /// Replaces the peers; connections to peers whose address did not change are kept.
    ///
    /// Has to be called within a tokio runtime.
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
        let queue = Arc::new(LinkQueue::new(self.options.queue_length));
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

    fn select<Picked, Filter, Pick>(&self, filter: Filter, pick: Pick) -> Vec<Picked>
    where
        Filter: Fn(&LinkEntry) -> bool,
        Pick: Fn(&LinkEntry) -> Picked,
    {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.values().filter(|entry| filter(entry)).map(pick).collect()
    }

    /// Returns all peers.
    pub fn peers(&self) -> Vec<PeerAddress> {
        self.select(|_| true, |entry| entry.peer.clone())
    }

    /// Returns the peers that answered the newest heartbeat.
    pub fn connected_peers(&self) -> Vec<PeerAddress> {
        self.select(|entry| entry.queue.is_connected(), |entry| entry.peer.clone())
    }

    /// Sends a hint to one peer, if it is known.
    pub fn hint(&self, vm: &VmName, message: PeerMessage) {
        if let Some(queue) = self.queue(vm) {
            queue.push_hint(message);
        }
    }

    /// Sends a hint to every peer.
    pub fn hint_all(&self, message: PeerMessage) {
        self.select(|_| true, |entry| entry.queue.push_hint(message.clone()));
    }

    /// Sends a hint to every peer of a data centre.
    pub fn hint_centre(&self, data_centre: &CentreName, message: PeerMessage) {
        self.select(
            |entry| entry.peer.data_centre == *data_centre,
            |entry| entry.queue.push_hint(message.clone()),
        );
    }

    /// Sends a request to a peer and waits for the answer.
    pub async fn request(
        &self,
        vm: &VmName,
        message: PeerMessage,
        limit: Duration,
    ) -> Result<PeerMessage, PeerError> {
        let vm = vm.clone();
        let Some(queue) = self.queue(&vm) else {
            return Err(PeerError::UnknownPeer { vm });
        };
        let Some((number, receiver)) = queue.push_request(message) else {
            return Err(PeerError::QueueFull { vm });
        };
        let _forget = ForgetGuard { queue, number };
        match timeout(limit, receiver).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(PeerError::ConnectionLost { vm }),
            Err(_) => Err(PeerError::TimedOut { vm }),
        }
    }
}

/// Forgets a request when its caller stops waiting, also when the future is dropped.
struct ForgetGuard {
    queue: Arc<LinkQueue>,
    number: u64,
}

impl Drop for ForgetGuard {
    fn drop(&mut self) {
        self.queue.forget(self.number);
    }
}
