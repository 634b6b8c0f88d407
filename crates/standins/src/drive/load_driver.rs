use std::net::SocketAddr;
use std::sync::Arc;

use arbutuspick_model::{CentreName, ClockTime, FieldError};
use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::sleep_until;
use uuid::Uuid;

use super::drive_report::DriveReport;
use super::entry_pool::EntryPool;
use super::invariant_check::check_invariants;
use super::job_call::{JobCall, JobReport, ReportedOutcome};
use super::load_plan::{LoadPlan, PlannedJob, PlannedRequest};
use super::outage_call::{OutageCall, OutageReport};
use super::pool_sampler::{PoolSample, sample_pools};
use super::request_call::{RequestCall, RequestReport};
use super::run_logs::RunLogs;
use super::workload::Workload;
use crate::wall_clock::WallClock;

/// Options of a run of the driver.
#[derive(Clone, Debug)]
pub struct DriveOptions {
    /// Load to send.
    pub workload: Workload,
    /// Data centres and HTTP addresses of the entry VMs.
    pub entries: Vec<(CentreName, SocketAddr)>,
    /// Platform that lists workers and upstreams.
    pub platform: SocketAddr,
}

/// State that all calls of a run share.
struct DriveState {
    entry_pool: EntryPool,
    wall_clock: WallClock,
    started_at: ClockTime,
    deadline: ClockTime,
    workload: Workload,
    jobs: Mutex<Vec<JobReport>>,
    requests: Mutex<Vec<RequestReport>>,
    samples: Mutex<Vec<PoolSample>>,
}

/// Sends the load, waits until every call has ended or the time limit passes, and checks the invariants.
pub async fn drive_load(options: DriveOptions) -> Result<DriveReport, String> {
    let DriveOptions {
        workload,
        entries,
        platform,
    } = options;
    let run_id = &Uuid::new_v4().simple().to_string()[..8];
    let plan = LoadPlan::new(&workload, run_id).map_err(|e: FieldError| e.to_string())?;
    let entry_pool = EntryPool::new(&entries);
    let started_at = entry_pool.clock.now();
    let state = Arc::new(DriveState {
        entry_pool,
        wall_clock: WallClock::new(),
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
    let mut violations = check_invariants(&jobs, &requests, outage.as_ref(), &logs);
    if !jobs.is_empty() && jobs.iter().all(|job| job.outcome != ReportedOutcome::Ran) {
        // Without this check, a run would pass although every entry VM is down.
        violations.push("no job ran".into());
    }
    Ok(DriveReport {
        deployment: state.workload.deployment.clone(),
        run_ms: state.wall_clock.elapsed_ms(),
        jobs,
        requests,
        samples,
        outage,
        logs,
        violations,
    })
}

impl DriveState {
    /// Sends every job and request and waits for them; the deadline bounds every call.
    async fn send(self: Arc<Self>, plan: LoadPlan) -> Option<OutageReport> {
        let mut calls = JoinSet::new();
        for job in plan.jobs {
            calls.spawn(Arc::clone(&self).send_job(job));
        }
        for request in plan.requests {
            calls.spawn(Arc::clone(&self).send_request(request));
        }
        let sampler = async {
            sample_pools(&self.entry_pool, &self.workload.operator_token, &self.samples).await;
        };
        let work = async {
            let all_ended = async { while calls.join_next().await.is_some() {} };
            let (outage, ()) = tokio::join!(self.run_outage(), all_ended);
            outage
        };
        tokio::select! {
            outage = work => outage,
            () = sampler => None,
        }
    }

    async fn send_job(self: Arc<Self>, job: PlannedJob) {
        sleep_until(self.entry_pool.clock.instant(self.started_at + job.at_ms)).await;
        let call = JobCall {
            entry_pool: &self.entry_pool,
            wall_clock: self.wall_clock,
            job: &job,
            deadline: self.deadline,
        };
        let report = call.run().await;
        self.jobs.lock().push(report);
    }

    async fn send_request(self: Arc<Self>, request: PlannedRequest) {
        sleep_until(self.entry_pool.clock.instant(self.started_at + request.at_ms)).await;
        let call = RequestCall {
            entry_pool: &self.entry_pool,
            wall_clock: self.wall_clock,
            request: &request,
        };
        let report = call.run().await;
        self.requests.lock().push(report);
    }

    async fn run_outage(&self) -> Option<OutageReport> {
        let plan = self.workload.outage.as_ref()?;
        let call = OutageCall {
            entry_pool: &self.entry_pool,
            wall_clock: self.wall_clock,
            token: &self.workload.operator_token,
            plan,
            started_at: self.started_at,
            deadline: self.deadline,
        };
        Some(call.run().await)
    }
}
