use std::net::SocketAddr;

use arbutuspick_clients::{ClientOptions, ObjectClient, ProcessClock, TableClient, VmClient};
use arbutuspick_peer::{Hello, LinkOptions, PeerLinks};
use arbutuspick_records::ProcessIdentity;
use arbutuspick_route::RoutingOptions;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::sync::Semaphore;

use super::metrics_setup::metrics_handle;
use super::{HolderTask, StopState};
use crate::Settings;
use crate::config::{CentreStore, ConfigStore, ConfigSync};
use crate::jobs::{JobCache, SummaryStore};
use crate::requests::{ClaimRegistry, RequestRouter};

/// Writes and reads per second that the platform allows all entry VMs together.
const PLATFORM_WRITES_PER_S: u32 = 300;
const PLATFORM_READS_PER_S: u32 = 1_800;

/// State that the handlers and background tasks of one daemon share.
pub(crate) struct EntryContext {
    pub(crate) settings: Settings,
    pub(crate) identity: ProcessIdentity,
    /// Address of the listener for peers.
    pub(crate) peer_address: SocketAddr,
    pub(crate) clock: ProcessClock,
    pub(crate) table: TableClient,
    pub(crate) objects: ObjectClient,
    pub(crate) vms: VmClient,
    pub(crate) config: ConfigStore,
    pub(crate) config_sync: ConfigSync,
    pub(crate) centres: CentreStore,
    pub(crate) summaries: SummaryStore,
    pub(crate) router: RequestRouter,
    pub(crate) claims: ClaimRegistry,
    pub(crate) jobs: JobCache,
    /// Limits the callers that wait for the end of a job.
    pub(crate) waiters: Semaphore,
    pub(crate) peers: PeerLinks,
    pub(crate) holder: HolderTask,
    pub(crate) stop: StopState,
    pub(crate) metrics: PrometheusHandle,
}

impl EntryContext {
    /// Creates the state of a daemon whose peer listener is bound. Must be called within a tokio runtime.
    pub(crate) fn new(settings: Settings, peer_address: SocketAddr) -> Self {
        let clock = ProcessClock::new();
        let stop = StopState::new();
        let options = ClientOptions::new(settings.platform)
            .with_writes_per_s((PLATFORM_WRITES_PER_S / settings.entry_vms).max(1))
            .with_reads_per_s((PLATFORM_READS_PER_S / settings.entry_vms).max(1));
        let table = TableClient::new(options.clone());
        let identity = ProcessIdentity::generate(settings.vm.clone());
        // Different VMs need different seeds, or they would choose the same upstreams.
        let seed = identity.incarnation.as_u64_pair().0;
        let routing = RoutingOptions::new(settings.data_centre.clone())
            .with_entry_vms(settings.entry_vms)
            .with_seed(seed);
        let peers = PeerLinks::new(
            hello_message(&settings),
            LinkOptions::default(),
            stop.shutdown.clone(),
        );
        peers.set_peers(settings.peers.clone());
        Self {
            identity,
            peer_address,
            clock,
            objects: ObjectClient::new(options.clone()),
            vms: VmClient::new(options),
            config: ConfigStore::default(),
            config_sync: ConfigSync::default(),
            centres: CentreStore::new(settings.data_centre.clone(), settings.data_centres()),
            summaries: SummaryStore::default(),
            router: RequestRouter::new(routing, clock),
            claims: ClaimRegistry::default(),
            jobs: JobCache::new(table.clone(), clock),
            waiters: Semaphore::new(settings.limits.waiters),
            table,
            peers,
            holder: HolderTask::new(),
            stop,
            metrics: metrics_handle(),
            settings,
        }
    }
}

/// Returns the first message that this VM sends on a peer connection.
pub(crate) fn hello_message(settings: &Settings) -> Hello {
    Hello {
        vm: settings.vm.as_str().into(),
        data_centre: settings.data_centre.as_str().into(),
    }
}
