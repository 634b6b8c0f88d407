use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use arbutuspick_clients::{ObjectClient, ProcessClock, TableClient, VmClient};
use arbutuspick_model::{CentreName, JobId, JobSpec, PoolConfig};
use arbutuspick_records::VmIdentity;
use arbutuspick_sched::PlacementOptions;
use arc_swap::ArcSwap;

/// Who may hold the placement lease of a data centre here, and under which limits.
#[derive(Clone, Debug)]
pub struct HolderOptions {
    /// Data centre.
    pub data_centre: CentreName,
    /// This process.
    pub identity: VmIdentity,
    /// Its address for messages between entry VMs.
    pub peer_address: SocketAddr,
    /// Limits of the placement core.
    pub placement: PlacementOptions,
}

/// Chooses a data centre for a job that has to leave this one.
pub type CentreSelector = dyn Fn(&JobSpec) -> Option<CentreName> + Send + Sync;
/// Told about every job that has ended.
pub type JobEndedHook = dyn Fn(JobId) + Send + Sync;

/// What the placement holder uses of its process.
#[derive(Clone)]
pub struct HolderLinks {
    /// The platform's table.
    pub table: TableClient,
    /// The platform's object store.
    pub objects: ObjectClient,
    /// The platform's list of VMs.
    pub vms: VmClient,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Configuration in force.
    pub config: Arc<ArcSwap<PoolConfig>>,
    /// Data centres that are known to be out or leaving, other than this one.
    pub out_centres: Arc<ArcSwap<BTreeSet<CentreName>>>,
    /// Choice of another data centre.
    pub choose_centre: Arc<CentreSelector>,
    /// Hook for ended jobs.
    pub job_ended: Arc<JobEndedHook>,
}
