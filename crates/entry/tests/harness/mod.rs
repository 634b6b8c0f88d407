//! A pool of stand-ins in the test process and entry daemons in separate processes, all on loopback.

#![allow(dead_code, reason = "no test file uses all of the harness")]

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use arbutuspick_model::{CentreName, ServiceName};
use arbutuspick_standins::{
    PlatformControl, PlatformOptions, PlatformStandin, TaskEnd, TaskRun, UpstreamControl, UpstreamFleet,
    UpstreamFleetOptions, WorkerFleet, WorkerFleetOptions,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::HeaderMap;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

/// Time limit of every wait for a condition.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(25);
const CALL_TIMEOUT: Duration = Duration::from_secs(35);
const PORTS_PER_POOL: u16 = 64;

static NEXT_POOL: AtomicU16 = AtomicU16::new(0);

/// Sizes of a pool.
#[derive(Clone, Debug)]
pub(crate) struct PoolOptions {
    /// Data centres with their number of entry VMs.
    pub(crate) centres: Vec<(&'static str, usize)>,
    /// Workers of each data centre.
    pub(crate) workers: usize,
    /// Upstreams of each data centre.
    pub(crate) upstreams: usize,
    /// Accounts: name, home data centre, accelerators of a guaranteed cell, and number of cells.
    pub(crate) accounts: Vec<(&'static str, &'static str, u32, u32)>,
    /// Limits in the settings of the entry VMs; `null` for the defaults.
    pub(crate) limits: Value,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            centres: vec![("trent", 2)],
            workers: 4,
            upstreams: 2,
            accounts: vec![("parks", "trent", 0, 0)],
            limits: Value::Null,
        }
    }
}

/// An entry daemon in a separate process.
pub(crate) struct EntryProcess {
    pub(crate) name: String,
    pub(crate) centre: &'static str,
    pub(crate) http: SocketAddr,
    pub(crate) peer: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl EntryProcess {
    /// Starts the process, for the first time or as a replacement without any state.
    pub(crate) fn start(&mut self) {
        let log = fs::File::create(self.settings.with_extension(format!("{}.log", unique_suffix()))).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_arbutuspick"))
            .args(["entry", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        self.child = Some(child);
    }

    /// Returns the id of the process.
    pub(crate) fn process_id(&self) -> u32 {
        self.child.as_ref().expect("the daemon runs").id()
    }

    /// Returns whether the process has not ended.
    pub(crate) fn is_running(&mut self) -> bool {
        let child = self.child.as_mut().expect("the daemon runs");
        child.try_wait().unwrap().is_none()
    }

    /// Kills the process at once.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Suspends the process, like a paused VM.
    pub(crate) fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes a suspended process.
    pub(crate) fn resume(&self) {
        self.signal("-CONT");
    }

    /// Requests a planned stop with SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Waits until the process exits and returns its exit code.
    pub(crate) async fn exit_code(&mut self) -> i32 {
        let mut child = self.child.take().expect("the daemon runs");
        wait_until("the daemon exits", async || child.try_wait().unwrap())
            .await
            .code()
            .unwrap_or(-1)
    }

    fn signal(&self, signal: &str) {
        let child = self.child.as_ref().expect("the daemon runs");
        let status = Command::new("kill")
            .args([signal, &child.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Stand-ins for the platform, workers and upstreams, and the entry daemons that use them.
pub(crate) struct TestPool {
    pub(crate) platform: PlatformStandin,
    pub(crate) fleets: Vec<WorkerFleet>,
    pub(crate) upstreams: Vec<UpstreamFleet>,
    pub(crate) entries: Vec<EntryProcess>,
    pub(crate) api: ApiClient,
    directory: PathBuf,
}

impl TestPool {
    /// Starts all processes, creates the accounts and waits until every daemon is ready.
    pub(crate) async fn start(options: PoolOptions) -> Self {
        let pool = NEXT_POOL.fetch_add(1, Ordering::Relaxed);
        let centres: Vec<&'static str> = options.centres.iter().map(|(name, _)| *name).collect();
        let listeners = centres.iter().map(|name| (*name).to_owned()).collect();
        let platform = PlatformStandin::start(PlatformOptions {
            listeners,
            ..PlatformOptions::default()
        })
        .await
        .unwrap();
        let mut fleets = Vec::new();
        let mut upstreams = Vec::new();
        for name in &centres {
            let centre = CentreName::try_from(*name).unwrap();
            let workers = WorkerFleetOptions {
                platform: Some(platform.address()),
                ..WorkerFleetOptions::new(options.workers, centre.clone())
            };
            fleets.push(WorkerFleet::start(&workers).await.unwrap());
            let service = ServiceName::try_from("booking").unwrap();
            let fleet = UpstreamFleetOptions::new(options.upstreams, centre, service);
            upstreams.push(UpstreamFleet::start(&fleet).await.unwrap());
        }
        let vms = fleets.iter().flat_map(WorkerFleet::entries);
        let vms = vms
            .chain(upstreams.iter().flat_map(UpstreamFleet::entries))
            .collect();
        platform.control(&PlatformControl {
            add_vms: vms,
            ..PlatformControl::default()
        });
        let directory =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("pool-{}-{pool}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let entries = create_entries(&options, pool, &platform, &directory);
        let mut pool = Self {
            platform,
            fleets,
            upstreams,
            entries,
            api: ApiClient::new(),
            directory,
        };
        for entry in &mut pool.entries {
            entry.start();
        }
        pool.wait_ready().await;
        pool.create_accounts(&options).await;
        pool
    }

    /// Waits until every daemon is ready and the workers of every data centre have joined its holder.
    pub(crate) async fn wait_ready(&self) {
        for entry in &self.entries {
            wait_until("the daemon is ready", async || {
                self.api.is_ready(entry.http).await.then_some(())
            })
            .await;
        }
        for (centre, fleet) in self.fleets.iter().enumerate() {
            let joined = async || (self.joined_workers(centre).await >= fleet.workers.len()).then_some(());
            wait_until("the workers have joined", joined).await;
        }
    }

    /// Waits until an entry VM of the data centre holds its placement lease, and returns its index.
    pub(crate) async fn holder_of(&self, centre: &str) -> usize {
        wait_until("the data centre has a holder", async || {
            for (index, entry) in self
                .entries
                .iter()
                .enumerate()
                .filter(|(_, entry)| entry.centre == centre)
            {
                let path = "/v1/operator/workers";
                let response = self
                    .api
                    .call(entry.http, Method::GET, path, OPERATOR, None, &[])
                    .await;
                let body = response
                    .ok()
                    .and_then(|response| response.json())
                    .unwrap_or_default();
                if !body["holder"].is_null() {
                    return Some(index);
                }
            }
            None
        })
        .await
    }

    async fn joined_workers(&self, centre: usize) -> usize {
        let name = self.centre_name(centre);
        let mut most = 0;
        for entry in self.entries.iter().filter(|entry| entry.centre == name) {
            let response = self
                .api
                .call(
                    entry.http,
                    Method::GET,
                    "/v1/operator/workers",
                    OPERATOR,
                    None,
                    &[],
                )
                .await;
            let Some(body) = response.ok().and_then(|response| response.json()) else {
                continue;
            };
            let workers = body["holder"]["workers"].as_array().cloned().unwrap_or_default();
            most = most.max(workers.iter().filter(|worker| worker["joined"] == true).count());
        }
        most
    }

    fn centre_name(&self, centre: usize) -> &'static str {
        let mut names: Vec<&'static str> = Vec::new();
        for entry in &self.entries {
            if !names.contains(&entry.centre) {
                names.push(entry.centre);
            }
        }
        names[centre]
    }

    async fn create_accounts(&self, options: &PoolOptions) {
        for (account, centre, accelerators, cells) in &options.accounts {
            let questionnaire = questionnaire(account, centre, *accelerators, *cells);
            self.accept_questionnaire(&questionnaire).await;
        }
        self.wait_revision(options.accounts.len() as u64).await;
    }

    /// Returns the configuration revision that is in force at an entry VM.
    pub(crate) async fn revision_at(&self, entry: usize) -> Option<u64> {
        let http = self.entries[entry].http;
        let response = self
            .api
            .call(http, Method::GET, "/v1/pool", OPERATOR, None, &[])
            .await
            .ok()?;
        response.json()?["config_revision"].as_u64()
    }

    /// Waits until this revision or a later one is in force at every entry VM.
    pub(crate) async fn wait_revision(&self, revision: u64) {
        for entry in 0..self.entries.len() {
            wait_until("the revision is in force", async || {
                (self.revision_at(entry).await? >= revision).then_some(())
            })
            .await;
        }
    }

    /// Submits a questionnaire and accepts the proposal as the owner of the month.
    pub(crate) async fn accept_questionnaire(&self, questionnaire: &Value) -> Value {
        let http = self.entries[0].http;
        let proposed = self
            .api
            .call(
                http,
                Method::POST,
                "/v1/operator/questionnaires",
                OPERATOR,
                Some(questionnaire),
                &[],
            )
            .await
            .unwrap();
        assert!(proposed.status.is_success(), "{proposed:?}");
        let id = proposed.json().unwrap()["proposal"].as_str().unwrap().to_owned();
        let path = format!("/v1/operator/proposals/{id}/accept");
        let accepted = self
            .api
            .call(http, Method::POST, &path, OWNER, Some(&json!({})), &[])
            .await
            .unwrap();
        assert!(accepted.status.is_success(), "{accepted:?}");
        accepted.json().unwrap()
    }

    /// Returns every task run of every worker.
    pub(crate) fn task_runs(&self) -> Vec<TaskRun> {
        let workers = self.fleets.iter().flat_map(|fleet| &fleet.workers);
        workers.flat_map(|worker| worker.log().runs).collect()
    }

    /// Returns the task runs of a job.
    pub(crate) fn runs_of(&self, job: &str) -> Vec<TaskRun> {
        self.task_runs()
            .into_iter()
            .filter(|run| run.job.to_string() == job)
            .collect()
    }

    /// Returns the number of attempts of a job in which this many tasks finished.
    pub(crate) fn finished_attempts(&self, job: &str, tasks: usize) -> usize {
        let mut counts = std::collections::BTreeMap::new();
        for run in self.runs_of(job) {
            if run.end == Some(TaskEnd::Finished) {
                *counts.entry(run.attempt).or_insert(0_usize) += 1;
            }
        }
        counts.values().filter(|count| **count == tasks).count()
    }
}

impl Drop for TestPool {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            entry.kill();
        }
        // The logs of a failed test are kept.
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

pub(crate) const OPERATOR: &str = "operator:control-room";
pub(crate) const OWNER: &str = "owner:north";

/// Returns a questionnaire that requests these guaranteed cells in a data centre.
pub(crate) fn questionnaire(account: &str, centre: &str, accelerators: u32, cells: u32) -> Value {
    json!({
        "account": account, "owner": "north", "home_data_centre": centre, "adjacent": cells > 0,
        "largest_job_accelerators": accelerators, "large_jobs_at_once": cells, "peak_queue": 500,
        "importance": "normal",
    })
}

fn create_entries(
    options: &PoolOptions,
    pool: u16,
    platform: &PlatformStandin,
    directory: &std::path::Path,
) -> Vec<EntryProcess> {
    // Every test process uses a separate loopback address, so that the fixed ports cannot collide.
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, 1 + high % 250, low, 1));
    let base = 20_000 + pool * PORTS_PER_POOL;
    let mut entries = Vec::new();
    let mut peers = Vec::new();
    let mut index = 0;
    for (centre, count) in &options.centres {
        for number in 1..=*count {
            let name = format!("{centre}-{number}");
            let http = SocketAddr::new(ip, base + 2 * index);
            let peer = SocketAddr::new(ip, base + 2 * index + 1);
            index += 1;
            let settings = directory.join(format!("{name}.yaml"));
            peers.push(json!({"name": name, "data_centre": centre, "address": peer.to_string()}));
            entries.push(EntryProcess {
                name,
                centre,
                http,
                peer,
                settings,
                child: None,
            });
        }
    }
    for (i, entry) in entries.iter().enumerate() {
        let others: Vec<&Value> = peers
            .iter()
            .enumerate()
            .filter(|(j, _)| *j != i)
            .map(|(_, peer)| peer)
            .collect();
        let mut settings = json!({
            "vm": entry.name,
            "data_centre": entry.centre,
            "http_listen": entry.http.to_string(),
            "peer_listen": peers[i]["address"],
            "platform": platform.listeners()[entry.centre].to_string(),
            "entry_vms": entries.len(),
            "peers": others,
            "services": ["booking"],
            "log_level": "debug",
            "auth": "off",
            "owners": ["north", "south"],
        });
        if !options.limits.is_null() {
            settings["limits"] = options.limits.clone();
        }
        // JSON is valid YAML.
        fs::write(&entry.settings, serde_json::to_string_pretty(&settings).unwrap()).unwrap();
    }
    entries
}

fn unique_suffix() -> u128 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_micros()
}

/// Polls a condition until it returns a value; panics if it does not in time.
pub(crate) async fn wait_until<T, F>(what: &str, mut condition: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Some(value) = condition().await {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out: {what}");
    }
}

/// Waits for a fixed time in which something must not happen; the caller checks the logs afterwards.
pub(crate) async fn wait_for(time: Duration) {
    let mut ticks = interval(time);
    ticks.tick().await;
    ticks.tick().await;
}

/// Client of the entry daemons' HTTP API.
#[derive(Clone)]
pub(crate) struct ApiClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A response of an entry daemon.
#[derive(Clone, Debug)]
pub(crate) struct ApiResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ApiResponse {
    pub(crate) fn json(&self) -> Option<Value> {
        serde_json::from_slice(&self.body).ok()
    }

    /// Returns the header `x-outcome`, or an empty text.
    pub(crate) fn outcome(&self) -> &str {
        self.headers
            .get("x-outcome")
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
    }
}

impl ApiClient {
    pub(crate) fn new() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        token: &str,
        body: Option<&Value>,
        headers: &[(&str, &str)],
    ) -> Result<ApiResponse, String> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {token}"))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let bytes = body
            .map(|body| serde_json::to_vec(body).unwrap())
            .unwrap_or_default();
        let request = request
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|e| e.to_string())?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|e| e.to_string())?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| e.to_string())?.to_bytes();
            Ok(ApiResponse {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        timeout(CALL_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| Err("timed out".into()))
    }

    pub(crate) async fn is_ready(&self, address: SocketAddr) -> bool {
        let response = self.call(address, Method::GET, "/readyz", "", None, &[]).await;
        response.is_ok_and(|response| response.status.is_success())
    }

    /// Submits a job and returns its id.
    pub(crate) async fn submit(&self, address: SocketAddr, account: &str, job: &Value, key: &str) -> String {
        let token = format!("account:{account}");
        let headers = [("idempotency-key", key)];
        let response = self
            .call(address, Method::POST, "/v1/jobs", &token, Some(job), &headers)
            .await
            .unwrap();
        assert_eq!(response.status, StatusCode::ACCEPTED, "{response:?}");
        response.json().unwrap()["job"].as_str().unwrap().to_owned()
    }

    /// Returns the status of a job.
    pub(crate) async fn status(&self, address: SocketAddr, account: &str, job: &str) -> Option<Value> {
        let token = format!("account:{account}");
        let response = self
            .call(
                address,
                Method::GET,
                &format!("/v1/jobs/{job}"),
                &token,
                None,
                &[],
            )
            .await
            .ok()?;
        response.status.is_success().then(|| response.json()).flatten()
    }

    /// Waits until a job has an outcome and returns its status.
    pub(crate) async fn wait_outcome(&self, address: SocketAddr, account: &str, job: &str) -> Value {
        wait_until("the job ends", async || {
            let status = self.status(address, account, job).await?;
            (!status["outcome"].is_null()).then_some(status)
        })
        .await
    }

    /// Waits until a job is in this state.
    pub(crate) async fn wait_state(&self, address: SocketAddr, account: &str, job: &str, state: &str) {
        wait_until(&format!("the job is {state}"), async || {
            let status = self.status(address, account, job).await?;
            (status["state"] == state).then_some(())
        })
        .await;
    }

    /// Sends a request to the service `booking`.
    pub(crate) async fn request(
        &self,
        address: SocketAddr,
        account: &str,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> Result<ApiResponse, String> {
        let token = format!("account:{account}");
        self.call(
            address,
            Method::POST,
            "/v1/services/booking/requests",
            &token,
            Some(body),
            headers,
        )
        .await
    }
}

/// Returns the milliseconds since the Unix epoch, as in platform time and in the logs of the stand-ins.
pub(crate) fn unix_time_ms() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since_epoch.unwrap().as_millis()).unwrap()
}

impl TestPool {
    /// Sends an order (`out` or `in`) of an operator for a data centre to an entry VM.
    pub(crate) async fn order(
        &self,
        entry: usize,
        operator: &str,
        centre: &str,
        kind: &str,
        based_on: u64,
    ) -> ApiResponse {
        let body = match kind {
            "out" => json!({"based_on": based_on, "drain_ms": 60_000}),
            _ => json!({"based_on": based_on}),
        };
        let path = format!("/v1/operator/data-centres/{centre}/{kind}");
        let token = format!("operator:{operator}");
        let http = self.entries[entry].http;
        let response = self.api.call(http, Method::POST, &path, &token, Some(&body), &[]);
        response.await.unwrap()
    }

    /// Returns the order for a data centre that an entry VM shows.
    pub(crate) async fn order_status(&self, entry: usize, centre: &str) -> Option<Value> {
        let path = format!("/v1/operator/data-centres/{centre}");
        let http = self.entries[entry].http;
        let response = self.api.call(http, Method::GET, &path, OPERATOR, None, &[]);
        let response = response.await.ok()?;
        response.status.is_success().then(|| response.json()).flatten()
    }

    /// Returns every task run of a data centre.
    pub(crate) fn centre_runs(&self, centre: &str) -> Vec<TaskRun> {
        let index = (0..self.fleets.len()).find(|index| self.centre_name(*index) == centre);
        let workers = &self.fleets[index.expect("the pool has the data centre")].workers;
        workers.iter().flat_map(|worker| worker.log().runs).collect()
    }
}

/// Submits jobs in the background while a test runs.
pub(crate) struct JobLoad {
    submitted: std::sync::Arc<std::sync::Mutex<Vec<String>>>,
    stopped: std::sync::Arc<std::sync::atomic::AtomicBool>,
    task: tokio::task::JoinHandle<()>,
}

impl JobLoad {
    /// Submits a burst of jobs and then one per period, to the entry VMs in turn, at most `limit` in total.
    ///
    /// A submission that an entry VM refuses or does not answer is not counted.
    pub(crate) fn start(
        api: &ApiClient,
        entries: Vec<SocketAddr>,
        job: Value,
        burst: usize,
        period: Duration,
        limit: usize,
    ) -> Self {
        let api = api.clone();
        let submitted = std::sync::Arc::<std::sync::Mutex<Vec<String>>>::default();
        let stopped = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
        let (accepted, stop) = (submitted.clone(), stopped.clone());
        let prefix = format!("load-{}", unique_suffix());
        let task = tokio::spawn(async move {
            let mut ticks = interval(period);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            for number in 0..limit {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                if number >= burst {
                    ticks.tick().await;
                }
                let key = format!("{prefix}-{number}");
                let headers = [("idempotency-key", key.as_str())];
                let entry = entries[number % entries.len()];
                let call = api.call(
                    entry,
                    Method::POST,
                    "/v1/jobs",
                    "account:parks",
                    Some(&job),
                    &headers,
                );
                // A suspended entry VM must not delay submissions to the others.
                let response = timeout(Duration::from_secs(2), call).await;
                if let Ok(Ok(response)) = response
                    && response.status == StatusCode::ACCEPTED
                {
                    let id = response.json().unwrap()["job"].as_str().unwrap().to_owned();
                    accepted.lock().unwrap().push(id);
                }
            }
        });
        Self {
            submitted,
            stopped,
            task,
        }
    }

    /// Returns the number of accepted jobs so far.
    pub(crate) fn accepted(&self) -> usize {
        self.submitted.lock().unwrap().len()
    }

    /// Stops submitting and returns the accepted jobs.
    pub(crate) async fn finish(self) -> Vec<String> {
        self.stopped.store(true, Ordering::Relaxed);
        self.task.await.unwrap();
        let submitted = self.submitted.lock().unwrap();
        submitted.clone()
    }
}

/// Returns a request body that the upstream stand-ins log under this id and run for this time.
pub(crate) fn work_body(id: &str, work_ms: u64) -> Value {
    json!({"id": id, "work_ms": work_ms})
}

impl TestPool {
    /// Returns the number of runs of a request at all upstreams.
    pub(crate) fn request_runs(&self, id: &str) -> u64 {
        let upstreams = self.upstreams.iter().flat_map(|fleet| &fleet.upstreams);
        let runs = upstreams.map(|upstream| upstream.log().ran.get(id).map_or(0, |runs| runs.count));
        runs.sum()
    }

    /// Sets the faults of every upstream.
    pub(crate) fn control_upstreams(&self, control: &UpstreamControl) {
        for upstream in self.upstreams.iter().flat_map(|fleet| &fleet.upstreams) {
            upstream.control(control);
        }
    }

    /// Waits until an entry VM routes requests to upstreams.
    pub(crate) async fn wait_routing(&self, entry: usize, account: &str) {
        let http = self.entries[entry].http;
        let headers = [("x-idempotent", "true"), ("x-deadline-ms", "1000")];
        wait_until("the entry VM routes requests", async || {
            let response = self
                .api
                .request(http, account, &work_body("first", 0), &headers)
                .await
                .ok()?;
            (response.outcome() == "ran").then_some(())
        })
        .await;
    }
}
