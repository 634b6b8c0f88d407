use std::net::SocketAddr;
use std::sync::Arc;

use arbutuspick_model::{CentreName, ClockTime, FieldError};
use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::sleep_until;
use uuid::Uuid;

use super::centre_order::{CentreOrder, OutageReport};
use super::drive_report::DriveReport;
use super::entry_pool::EntryPool;
use super::job_call::{JobCall, JobReport, SaidOutcome};
use super::load_plan::{LoadPlan, PlannedJob, PlannedRequest};
use super::pool_sampler::{PoolSample, sample_pools};
use super::promise_check::check_promises;
use super::request_call::{RequestCall, RequestReport};
use super::run_logs::RunLogs;
use super::workload::Workload;
use crate::wall_clock::WallClock;

/// What a run of the driver is given.
#[derive(Clone, Debug)]
pub struct DriveOptions {
    /// Load.
    pub workload: Workload,
    /// HTTP addresses of the entry VMs with their data centres.
    pub entries: Vec<(CentreName, SocketAddr)>,
    /// Platform that lists workers and upstreams.
    pub platform: SocketAddr,
}

/// What all calls share.
struct DriveState {
    entries: EntryPool,
    wall: WallClock,
    started_at: ClockTime,
    deadline: ClockTime,
    workload: Workload,
    jobs: Mutex<Vec<JobReport>>,
    requests: Mutex<Vec<RequestReport>>,
    samples: Mutex<Vec<PoolSample>>,
}

/// Sends the load, waits for its end or the limit, and checks the promises.
pub async fn drive_load(options: DriveOptions) -> Result<DriveReport, String> {
    let DriveOptions {
        workload,
        entries,
        platform,
    } = options;
    let run = &Uuid::new_v4().simple().to_string()[..8];
    let plan = LoadPlan::new(&workload, run).map_err(|e: FieldError| e.to_string())?;
    let entries = EntryPool::new(&entries);
    let started_at = entries.clock.now();
    let state = Arc::new(DriveState {
        entries,
        wall: WallClock::new(),
        started_at,
        deadline: started_at + workload.limit_s * 1000,
        workload,
        jobs: Mutex::default(),
        requests: Mutex::default(),
        samples: Mutex::default(),
    });
    let outage = state.clone().send(plan).await;
    let logs = RunLogs::collect(platform).await?;
    let jobs = std::mem::take(&mut *state.jobs.lock());
    let requests = std::mem::take(&mut *state.requests.lock());
    let samples = std::mem::take(&mut *state.samples.lock());
    let mut broken = check_promises(&jobs, &requests, outage.as_ref(), &logs);
    if !jobs.is_empty() && jobs.iter().all(|job| job.said != SaidOutcome::Ran) {
        // Otherwise a run against entry VMs that are down would pass.
        broken.push("no job ran".into());
    }
    Ok(DriveReport {
        deployment: state.workload.deployment.clone(),
        run_ms: state.wall.elapsed_ms(),
        jobs,
        requests,
        samples,
        outage,
        logs,
        broken,
    })
}

impl DriveState {
    /// Sends everything; ends when every call has ended, which the deadline bounds.
    async fn send(self: Arc<Self>, plan: LoadPlan) -> Option<OutageReport> {
        let mut calls = JoinSet::new();
        for job in plan.jobs {
            calls.spawn(Arc::clone(&self).send_job(job));
        }
        for request in plan.requests {
            calls.spawn(Arc::clone(&self).send_request(request));
        }
        let sampler = async {
            sample_pools(&self.entries, &self.workload.operator_token, &self.samples).await;
        };
        let work = async {
            let ended = async { while calls.join_next().await.is_some() {} };
            let (outage, ()) = tokio::join!(self.take_out(), ended);
            outage
        };
        tokio::select! {
            outage = work => outage,
            () = sampler => None,
        }
    }

    async fn send_job(self: Arc<Self>, job: PlannedJob) {
        sleep_until(self.entries.clock.instant(self.started_at + job.at_ms)).await;
        let call = JobCall {
            entries: &self.entries,
            wall: self.wall,
            job: &job,
            deadline: self.deadline,
        };
        let report = call.run().await;
        self.jobs.lock().push(report);
    }

    async fn send_request(self: Arc<Self>, request: PlannedRequest) {
        sleep_until(self.entries.clock.instant(self.started_at + request.at_ms)).await;
        let call = RequestCall {
            entries: &self.entries,
            wall: self.wall,
            request: &request,
        };
        let report = call.run().await;
        self.requests.lock().push(report);
    }

    async fn take_out(&self) -> Option<OutageReport> {
        let plan = self.workload.outage.as_ref()?;
        let order = CentreOrder {
            entries: &self.entries,
            wall: self.wall,
            token: &self.workload.operator_token,
            plan,
            started_at: self.started_at,
            deadline: self.deadline,
        };
        Some(order.run().await)
    }
}
