use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use arbutuspick_clients::{ObjectClient, ProcessClock, TableClient, VmClient};
use arbutuspick_model::{CentreName, JobId, JobSpec, PoolConfig};
use arbutuspick_records::ProcessIdentity;
use arbutuspick_sched::PlacementOptions;
use arc_swap::ArcSwap;

/// Identity of this process as a candidate for the placement lease of a data centre, and placement limits.
#[derive(Clone, Debug)]
pub struct HolderOptions {
    /// Data centre whose lease is acquired.
    pub data_centre: CentreName,
    /// Identity of this process, recorded as the lease holder.
    pub identity: ProcessIdentity,
    /// Address of this process for messages between entry VMs.
    pub peer_address: SocketAddr,
    /// Options of the placement core.
    pub placement: PlacementOptions,
}

/// Chooses another data centre for a job that has to leave this one.
pub type CentreSelector = dyn Fn(&JobSpec) -> Option<CentreName> + Send + Sync;
/// Called with each job that has ended.
pub type JobEndedHook = dyn Fn(JobId) + Send + Sync;

/// Clients, clock, configuration and callbacks that the process gives to its placement holder.
#[derive(Clone)]
pub struct HolderContext {
    /// Client of the platform's table.
    pub table: TableClient,
    /// Client of the platform's object store.
    pub objects: ObjectClient,
    /// Client of the platform's VM list.
    pub vms: VmClient,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Configuration in force.
    pub config: Arc<ArcSwap<PoolConfig>>,
    /// Other data centres that are known to be out of service or leaving.
    pub closed_centres: Arc<ArcSwap<BTreeSet<CentreName>>>,
    /// Chooses another data centre for a job.
    pub choose_centre: Arc<CentreSelector>,
    /// Called with each job that has ended.
    pub on_job_ended: Arc<JobEndedHook>,
}
