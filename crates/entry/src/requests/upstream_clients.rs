use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use arbutuspick_clients::UpstreamClient;
use arc_swap::ArcSwap;

/// Clients of the upstreams by address; a lookup takes no lock.
#[derive(Debug, Default)]
pub(crate) struct UpstreamClients {
    clients: ArcSwap<HashMap<SocketAddr, UpstreamClient>>,
}

impl UpstreamClients {
    /// Returns the client of an upstream, creating it for the first request.
    pub(crate) fn get(&self, address: SocketAddr, max_connections: u32) -> UpstreamClient {
        if let Some(client) = self.clients.load().get(&address) {
            return client.clone();
        }
        let created = UpstreamClient::new(address, max_connections as usize);
        self.clients.rcu(|clients| {
            let mut clients = HashMap::clone(clients);
            clients.entry(address).or_insert_with(|| created.clone());
            clients
        });
        // Another task may have inserted one concurrently.
        self.clients.load().get(&address).cloned().unwrap_or(created)
    }

    /// Drops the clients of upstreams that are no longer listed.
    pub(crate) fn retain(&self, listed: &[SocketAddr]) {
        let clients = self.clients.load();
        if clients.keys().any(|address| !listed.contains(address)) {
            self.clients.rcu(|clients| {
                let kept = clients.iter().filter(|(address, _)| listed.contains(address));
                Arc::new(
                    kept.map(|(address, client)| (*address, client.clone()))
                        .collect::<HashMap<_, _>>(),
                )
            });
        }
    }
}
