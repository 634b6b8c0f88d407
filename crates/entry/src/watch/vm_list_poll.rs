use std::sync::Arc;
use std::time::Duration;

use arbutuspick_clients::{CallError, VmEntry, VmRole};
use arbutuspick_model::{UpstreamName, VmName};
use arbutuspick_peer::PeerAddress;
use arbutuspick_route::UpstreamEntry;
use tokio::time::{MissedTickBehavior, interval};

use crate::daemon::EntryContext;

const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the platform's list of VMs for the routing table and the peer links, until the daemon stops.
///
/// While the list cannot be read, the last one stays in use.
pub(crate) async fn run_vm_list_poll(context: Arc<EntryContext>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Err(error) = poll(&context).await {
            log::debug!("[router] reading the list of VMs failed: {error}");
        }
    }
}

async fn poll(context: &EntryContext) -> Result<(), CallError> {
    let upstreams = context.vms.list(VmRole::Upstream, None).await?.vms;
    let entries: Vec<UpstreamEntry> = upstreams
        .into_iter()
        .filter_map(upstream_entry)
        .filter(|entry| context.settings.services.contains(&entry.service))
        .collect();
    let addresses: Vec<_> = entries.iter().map(|entry| entry.address).collect();
    context
        .router
        .routing
        .update_upstreams(entries, context.clock.now());
    context.router.clients.retain(&addresses);
    let entry_vms = context.vms.list(VmRole::Entry, None).await?.vms;
    set_peers(context, entry_vms);
    Ok(())
}

fn upstream_entry(vm: VmEntry) -> Option<UpstreamEntry> {
    let VmEntry {
        name,
        data_centre,
        address,
        leaving,
        service,
        ..
    } = vm;
    let name = UpstreamName::try_from(name)
        .inspect_err(|error| log::warn!("[router] listed upstream ignored: {error}"))
        .ok()?;
    Some(UpstreamEntry {
        name,
        service: service?,
        data_centre,
        address,
        leaving,
    })
}

/// Sets the listed entry VMs as peers; those in the settings stay, since the list lags and may be incomplete.
fn set_peers(context: &EntryContext, listed: Vec<VmEntry>) {
    let count = u32::try_from(listed.len()).unwrap_or(u32::MAX);
    context
        .router
        .routing
        .set_entry_vms(count.max(context.settings.entry_vms));
    let mut peers: Vec<PeerAddress> = listed.into_iter().filter_map(peer_address).collect();
    for peer in &context.settings.peers {
        if !peers.iter().any(|listed| listed.vm == peer.vm) {
            peers.push(peer.clone());
        }
    }
    context.peers.set_peers(peers);
}

fn peer_address(vm: VmEntry) -> Option<PeerAddress> {
    let VmEntry {
        name,
        data_centre,
        address,
        ..
    } = vm;
    let vm = VmName::try_from(name)
        .inspect_err(|error| log::warn!("[peer] listed entry VM ignored: {error}"))
        .ok()?;
    Some(PeerAddress {
        vm,
        data_centre,
        address,
    })
}
