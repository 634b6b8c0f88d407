use std::collections::BTreeMap;

use arbutuspick_model::{GangAdjacency, GangShape, JobId, WorkerName};
use arbutuspick_sched::{GangPlacement, MemberPlacement};

use crate::DeploymentPlan;
use crate::host_pool::{FreeHost, HostPool};

/// What the workers of one data centre really hold, independent of the policy that places.
///
/// ```
/// use arbutuspick_bench::{DeploymentPlan, PlacementAudit};
/// use arbutuspick_model::{AttemptNumber, GangShape, JobId};
/// use arbutuspick_sched::GangPlacement;
/// let mut audit = PlacementAudit::new(&DeploymentPlan::midlands(), 0);
/// let (job, attempt) = (JobId::generate(), AttemptNumber(1));
/// let placement = GangPlacement { job, attempt, members: Vec::new(), guaranteed: false };
/// assert!(audit.place(&GangShape::default(), &placement).is_err()); // Placed in part.
/// ```
#[derive(Clone, Debug, Default)]
pub struct PlacementAudit {
    pub(crate) pool: HostPool,
    held: BTreeMap<JobId, (GangShape, Vec<MemberPlacement>)>,
}

impl PlacementAudit {
    /// Creates the idle workers of a data centre.
    pub fn new(plan: &DeploymentPlan, centre: usize) -> Self {
        let mut racks = Vec::new();
        let mut hosts = Vec::new();
        for (worker, rack) in plan.workers(centre) {
            let known = racks.iter().position(|known| *known == rack);
            let index = known.unwrap_or(racks.len());
            if known.is_none() {
                racks.push(rack);
            }
            hosts.push(FreeHost::new(worker, index, plan.capacity));
        }
        let pool = HostPool { hosts };
        let held = BTreeMap::new();
        Self { pool, held }
    }

    /// Holds the placement, or says which rule it breaks.
    pub fn place(&mut self, shape: &GangShape, placement: &GangPlacement) -> Result<(), String> {
        let GangPlacement { job, members, .. } = placement;
        if members.len() != shape.tasks as usize {
            let (placed, tasks) = (members.len(), shape.tasks);
            return Err(format!("job {job}: {placed} of {tasks} members are placed"));
        }
        if self.held.contains_key(job) {
            return Err(format!(
                "job {job}: placed while an earlier attempt holds workers"
            ));
        }
        for member in members {
            self.hold_member(shape, member)
                .map_err(|fault| format!("job {job}: {fault}"))?;
        }
        self.check_adjacency(shape, members)
            .map_err(|fault| format!("job {job}: {fault}"))?;
        self.held.insert(*job, (*shape, members.clone()));
        Ok(())
    }

    fn hold_member(&mut self, shape: &GangShape, member: &MemberPlacement) -> Result<(), String> {
        let MemberPlacement { worker, accelerators } = member;
        let host = self
            .pool
            .host_mut(worker)
            .ok_or_else(|| format!("worker {worker} does not exist"))?;
        if accelerators.count_ones() != shape.accelerators {
            return Err(format!("a member on {worker} has accelerators {accelerators:#b}"));
        }
        if host.free & accelerators != *accelerators {
            return Err(format!(
                "accelerators {accelerators:#b} of {worker} are given twice"
            ));
        }
        if host.cores < shape.cores || host.memory_mib < shape.memory_mib {
            return Err(format!("cores or memory of {worker} are given twice"));
        }
        host.hold(*accelerators, shape);
        Ok(())
    }

    fn check_adjacency(&self, shape: &GangShape, members: &[MemberPlacement]) -> Result<(), String> {
        let mut workers: Vec<&WorkerName> = members.iter().map(|member| &member.worker).collect();
        workers.sort();
        workers.dedup();
        let hosts = self.pool.hosts.iter();
        let mut racks: Vec<usize> = hosts
            .filter(|host| workers.binary_search(&&host.worker).is_ok())
            .map(|host| host.rack)
            .collect();
        racks.dedup();
        let allowed = shape.total_accelerators().div_ceil(64) as usize;
        match shape.adjacency {
            GangAdjacency::Worker if workers.len() > 1 => Err("members are not on one worker".into()),
            GangAdjacency::Rack if racks.len() > allowed => {
                Err(format!("members are in {} racks, {allowed} allowed", racks.len()))
            }
            _ => Ok(()),
        }
    }

    /// Returns the workers that a job holds.
    pub(crate) fn workers(&self, job: JobId) -> Vec<WorkerName> {
        let members = self.held.get(&job).map(|(_, members)| members.iter());
        members
            .into_iter()
            .flatten()
            .map(|member| member.worker.clone())
            .collect()
    }

    /// Frees what a job holds.
    pub fn release(&mut self, job: JobId) {
        let Some((shape, members)) = self.held.remove(&job) else {
            return;
        };
        for member in members {
            if let Some(host) = self.pool.host_mut(&member.worker) {
                host.release(member.accelerators, &shape);
            }
        }
    }
}
