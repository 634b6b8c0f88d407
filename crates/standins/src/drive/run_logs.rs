use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use arbutuspick_clients::{ClientOptions, VmClient, VmEntry, VmRole};
use arbutuspick_model::CentreName;
use futures::future::join_all;

use crate::control_client::ControlClient;
use crate::task_log::{TaskLog, TaskRun};
use crate::upstream_control::RequestLog;

/// Task log of a worker with the data centre of the worker.
#[derive(Clone, Debug)]
pub struct CentreTaskLog {
    /// Data centre.
    pub data_centre: CentreName,
    /// Task log.
    pub log: TaskLog,
}

/// Logs of all workers and upstreams after a run.
#[derive(Clone, Debug, Default)]
pub struct RunLogs {
    /// Task logs of the workers.
    pub workers: Vec<CentreTaskLog>,
    /// Number of runs by request id.
    pub requests: HashMap<String, u64>,
}

impl RunLogs {
    /// Reads the logs of every worker and upstream that the platform lists.
    pub async fn collect(platform: SocketAddr) -> Result<Self, String> {
        let vms = VmClient::new(ClientOptions::new(platform).with_call_timeout(Duration::from_secs(5)));
        let control = ControlClient::new();
        let mut logs = Self::default();
        let workers = list_vms(&vms, VmRole::Worker).await?;
        let reads = workers
            .iter()
            .map(|vm| control.get::<TaskLog>(vm.address, "/control/log"));
        for (vm, log) in workers.iter().zip(join_all(reads).await) {
            let data_centre = vm.data_centre.clone();
            let log = log.map_err(|e| e.to_string())?;
            logs.workers.push(CentreTaskLog { data_centre, log });
        }
        let upstreams = list_vms(&vms, VmRole::Upstream).await?;
        let reads = upstreams
            .iter()
            .map(|vm| control.get::<RequestLog>(vm.address, "/control/log"));
        for log in join_all(reads).await {
            logs.add_requests(&log.map_err(|e| e.to_string())?);
        }
        Ok(logs)
    }

    /// Adds the runs in the log of an upstream.
    pub fn add_requests(&mut self, log: &RequestLog) {
        for (id, runs) in &log.ran {
            *self.requests.entry(id.clone()).or_default() += runs.count;
        }
    }

    /// Returns every task run with its data centre.
    pub fn runs(&self) -> impl Iterator<Item = (&CentreName, &TaskRun)> {
        self.workers
            .iter()
            .flat_map(|worker| worker.log.runs.iter().map(|run| (&worker.data_centre, run)))
    }
}

async fn list_vms(vms: &VmClient, role: VmRole) -> Result<Vec<VmEntry>, String> {
    let list = vms.list(role, None).await;
    list.map(|list| list.vms)
        .map_err(|e| format!("cannot list VMs: {e}"))
}
