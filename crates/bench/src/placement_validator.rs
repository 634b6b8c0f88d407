use std::collections::BTreeMap;

use arbutuspick_model::{GangAdjacency, GangShape, JobId, WorkerName};
use arbutuspick_sched::{GangPlacement, MemberPlacement};

use crate::DeploymentPlan;
use crate::host_pool::{HostPool, HostState};

/// Checks placements in one data centre against its own record of the allocated resources, independently of
/// the policy that decides them.
///
/// ```
/// use arbutuspick_bench::{DeploymentPlan, PlacementValidator};
/// use arbutuspick_model::{AttemptNumber, GangShape, JobId};
/// use arbutuspick_sched::GangPlacement;
/// let mut audit = PlacementValidator::new(&DeploymentPlan::midlands(), 0);
/// let (job, attempt) = (JobId::generate(), AttemptNumber(1));
/// let placement = GangPlacement { job, attempt, members: Vec::new(), guaranteed: false };
/// assert!(audit.place(&GangShape::default(), &placement).is_err()); // A member is missing.
/// ```
#[derive(Clone, Debug, Default)]
pub struct PlacementValidator {
    pub(crate) pool: HostPool,
    allocations: BTreeMap<JobId, (GangShape, Vec<MemberPlacement>)>,
}

impl PlacementValidator {
    /// Creates a validator with the idle workers of a data centre.
    pub fn new(plan: &DeploymentPlan, centre: usize) -> Self {
        let mut racks = Vec::new();
        let mut hosts = Vec::new();
        for (worker, rack) in plan.workers(centre) {
            let known_rack = racks.iter().position(|other| *other == rack);
            let index = known_rack.unwrap_or(racks.len());
            if known_rack.is_none() {
                racks.push(rack);
            }
            hosts.push(HostState::new(worker, index, plan.capacity));
        }
        let pool = HostPool { hosts };
        let allocations = BTreeMap::new();
        Self { pool, allocations }
    }

    /// Allocates the resources of a placement, or returns which rule it violates.
    pub fn place(&mut self, shape: &GangShape, placement: &GangPlacement) -> Result<(), String> {
        let GangPlacement { job, members, .. } = placement;
        if members.len() != shape.tasks as usize {
            let (placed, tasks) = (members.len(), shape.tasks);
            return Err(format!(
                "job {job}: the placement has {placed} members for {tasks} tasks"
            ));
        }
        if self.allocations.contains_key(job) {
            return Err(format!(
                "job {job}: placed while an earlier attempt still has workers"
            ));
        }
        for member in members {
            self.allocate_member(shape, member)
                .map_err(|error| format!("job {job}: {error}"))?;
        }
        self.check_adjacency(shape, members)
            .map_err(|error| format!("job {job}: {error}"))?;
        self.allocations.insert(*job, (*shape, members.clone()));
        Ok(())
    }

    fn allocate_member(&mut self, shape: &GangShape, member: &MemberPlacement) -> Result<(), String> {
        let MemberPlacement { worker, accelerators } = member;
        let host = self
            .pool
            .host_mut(worker)
            .ok_or_else(|| format!("worker {worker} does not exist"))?;
        if accelerators.count_ones() != shape.accelerators {
            return Err(format!(
                "the member on {worker} has the wrong number of accelerators: {accelerators:#b}"
            ));
        }
        if host.free_mask & accelerators != *accelerators {
            return Err(format!(
                "accelerators {accelerators:#b} of {worker} are already allocated"
            ));
        }
        if host.cores < shape.cores || host.memory_mib < shape.memory_mib {
            return Err(format!("not enough free cores or memory on {worker}"));
        }
        host.allocate(*accelerators, shape);
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
        let max_racks = shape.total_accelerators().div_ceil(64) as usize;
        match shape.adjacency {
            GangAdjacency::Worker if workers.len() > 1 => Err("members are not on one worker".into()),
            GangAdjacency::Rack if racks.len() > max_racks => Err(format!(
                "members are in {} racks, {max_racks} allowed",
                racks.len()
            )),
            _ => Ok(()),
        }
    }

    /// Returns the workers that are allocated to a job.
    pub(crate) fn workers_of(&self, job: JobId) -> Vec<WorkerName> {
        let members = self.allocations.get(&job).map(|(_, members)| members.iter());
        members
            .into_iter()
            .flatten()
            .map(|member| member.worker.clone())
            .collect()
    }

    /// Releases the resources of a job.
    pub fn release(&mut self, job: JobId) {
        let Some((shape, members)) = self.allocations.remove(&job) else {
            return;
        };
        for member in members {
            if let Some(host) = self.pool.host_mut(&member.worker) {
                host.release(member.accelerators, &shape);
            }
        }
    }
}
