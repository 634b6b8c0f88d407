use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_clients::{
    AttemptRequest, EpochRequest, PrepareRequest, RefusalBody, VmEntry, VmRole, WorkerRefusal, WorkerStatus,
};
use arbutuspick_model::{CentreName, RackName, WorkerCapacity, WorkerName, WorkerTime};
use hyper::{Method, StatusCode};
use parking_lot::Mutex;
use tokio::time::sleep;

use crate::checkpoint_store::CheckpointStore;
use crate::http_server::{HttpServer, ServerReply, ServerRequest};
use crate::task_log::{TaskLog, TaskRun};
use crate::wall_clock::WallClock;
use crate::worker_control::{WorkerControl, WorkerFaults};
use crate::worker_core::{AttemptKey, WorkerCore, WorkerEvent};
use crate::worker_part::{TaskProgress, WorkerPart};

const MAX_CONNECTIONS: usize = 1024;

/// Options of a worker stand-in.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Name.
    pub name: WorkerName,
    /// Data centre.
    pub data_centre: CentreName,
    /// Rack.
    pub rack: RackName,
    /// Capacity.
    pub capacity: WorkerCapacity,
    /// Port, or 0 for an ephemeral one.
    pub port: u16,
    /// Platform whose object store keeps checkpoints; without one, they are kept in memory.
    pub platform: Option<SocketAddr>,
    /// Reading of the worker's clock at its start, different for each worker of a fleet.
    pub clock_offset_ms: u64,
}

impl WorkerOptions {
    /// Creates options for a worker of default capacity on an ephemeral port.
    pub fn new(name: WorkerName, data_centre: CentreName, rack: RackName) -> Self {
        Self {
            name,
            data_centre,
            rack,
            capacity: WorkerCapacity::default(),
            port: 0,
            platform: None,
            clock_offset_ms: 0,
        }
    }
}

#[derive(Debug)]
struct WorkerState {
    core: WorkerCore,
    faults: WorkerFaults,
    call_count: u64,
    log: TaskLog,
}

#[derive(Debug)]
struct WorkerShared {
    options: WorkerOptions,
    clock: WallClock,
    store: CheckpointStore,
    state: Mutex<WorkerState>,
}

/// A worker that simulates the execution of tasks.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// use arbutuspick_model::{CentreName, RackName, WorkerName};
/// use arbutuspick_standins::{WorkerOptions, WorkerStandin};
/// let options = WorkerOptions::new(
///     WorkerName::try_from("trent-w0")?,
///     CentreName::try_from("trent")?,
///     RackName::try_from("trent-r0")?,
/// );
/// let worker = WorkerStandin::start(options).await?;
/// assert!(worker.log().runs.is_empty());
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct WorkerStandin {
    shared: Arc<WorkerShared>,
    server: HttpServer,
}

impl WorkerStandin {
    /// Starts the stand-in, which stops when it is dropped.
    pub async fn start(options: WorkerOptions) -> io::Result<Self> {
        let store = CheckpointStore::new(options.platform);
        Self::start_with(options, store).await
    }

    pub(crate) async fn start_with(options: WorkerOptions, store: CheckpointStore) -> io::Result<Self> {
        let port = options.port;
        let state = WorkerState {
            core: WorkerCore::new(options.capacity),
            faults: WorkerFaults::default(),
            call_count: 0,
            log: TaskLog {
                worker: options.name.clone(),
                runs: Vec::new(),
            },
        };
        let shared = Arc::new(WorkerShared {
            options,
            clock: WallClock::new(),
            store,
            state: Mutex::new(state),
        });
        let server_shared = Arc::clone(&shared);
        let server = HttpServer::start(port, MAX_CONNECTIONS, move |request| {
            let shared = Arc::clone(&server_shared);
            async move { shared.respond(request).await }
        })
        .await?;
        Ok(Self { shared, server })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the worker's entry in the platform's list of VMs.
    pub fn entry(&self) -> VmEntry {
        let options = &self.shared.options;
        VmEntry {
            name: options.name.to_string(),
            role: VmRole::Worker,
            data_centre: options.data_centre.clone(),
            address: self.address(),
            leaving: false,
            service: None,
            rack: Some(options.rack.clone()),
            capacity: Some(options.capacity),
        }
    }

    /// Changes the fault settings, as `POST /control` does.
    pub fn control(&self, control: &WorkerControl) -> WorkerFaults {
        self.shared.control(control)
    }

    /// Returns the log of every task that ever started on the worker.
    pub fn log(&self) -> TaskLog {
        self.shared.log()
    }
}

/// Result of a call: accepted or refused by the worker, or failed because of the checkpoint store.
enum CallOutcome {
    Done(Result<WorkerStatus, RefusalBody>),
    StoreFailed(String),
}

impl WorkerShared {
    async fn respond(self: Arc<Self>, request: ServerRequest) -> ServerReply {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/control") => match request.json() {
                Ok(control) => return ServerReply::json(StatusCode::OK, &self.control(&control)),
                Err(reply) => return reply,
            },
            (&Method::GET, "/control/log") => return ServerReply::json(StatusCode::OK, &self.log()),
            _ => {}
        }
        let (faults, lose_response) = {
            let mut state = self.state.lock();
            state.call_count += 1;
            let every = state.faults.lose_answers;
            (state.faults, every > 0 && state.call_count.is_multiple_of(every))
        };
        if faults.down {
            return ServerReply::Close;
        }
        if faults.hang {
            return std::future::pending().await;
        }
        let reply = if faults.slow_ms > 0 {
            let delayed_reply = tokio::spawn(async move {
                sleep(Duration::from_millis(faults.slow_ms)).await;
                self.perform(&request, faults).await
            });
            delayed_reply.await.unwrap_or(ServerReply::Close)
        } else {
            self.perform(&request, faults).await
        };
        if lose_response { ServerReply::Close } else { reply }
    }

    async fn perform(&self, request: &ServerRequest, faults: WorkerFaults) -> ServerReply {
        let outcome = match self.call(request, faults).await {
            Ok(outcome) => outcome,
            Err(reply) => return reply,
        };
        match outcome {
            CallOutcome::Done(Ok(status)) => ServerReply::json(StatusCode::OK, &status),
            CallOutcome::Done(Err(refusal)) => ServerReply::json(StatusCode::CONFLICT, &refusal),
            CallOutcome::StoreFailed(message) => ServerReply::text(StatusCode::SERVICE_UNAVAILABLE, message),
        }
    }

    async fn call(&self, request: &ServerRequest, faults: WorkerFaults) -> Result<CallOutcome, ServerReply> {
        let result = match request.path.as_str() {
            "/v1/epoch" => {
                let EpochRequest { epoch } = request.json()?;
                self.with_core(|core, now| core.present_epoch(epoch, now))
            }
            "/v1/prepare" => return Ok(self.prepare(&request.json()?, faults).await),
            "/v1/start" => {
                let start = request.json()?;
                self.with_core(|core, now| {
                    if faults.fail_start {
                        return core.fail_start(&start, now);
                    }
                    core.start(&start, now, faults.fail_every_task, faults.speed_percent)
                })
            }
            "/v1/renew" => {
                let renew = request.json()?;
                self.with_core(|core, now| core.renew(&renew, now))
            }
            "/v1/checkpoint" => return Ok(self.write_checkpoint(&request.json()?).await),
            path => self.attempt_call(path, &request.json()?)?,
        };
        Ok(CallOutcome::Done(result))
    }

    fn attempt_call(
        &self,
        path: &str,
        request: &AttemptRequest,
    ) -> Result<Result<WorkerStatus, RefusalBody>, ServerReply> {
        let call = match path {
            "/v1/void" => WorkerCore::void,
            "/v1/stop" => WorkerCore::stop,
            "/v1/throttle" => WorkerCore::throttle,
            "/v1/release" => WorkerCore::release,
            _ => return Err(ServerReply::not_found()),
        };
        Ok(self.with_core(|core, now| call(core, request, now)))
    }

    async fn prepare(&self, request: &PrepareRequest, faults: WorkerFaults) -> CallOutcome {
        if faults.fail_prepare {
            return CallOutcome::Done(self.with_core(|core, now| {
                core.accept_epoch(request.epoch, now)?;
                Err(core.refuse(WorkerRefusal::NoCapacity, now))
            }));
        }
        let progress = match self.resumed_progress(request).await {
            Ok(progress) => progress,
            // A start without the checkpoint would run the completed part of the job a second time.
            Err(message) => return CallOutcome::StoreFailed(message),
        };
        CallOutcome::Done(self.with_core(|core, now| core.prepare(request, progress, now)))
    }

    /// Returns the least progress of the members in their checkpoints, since all members resume from one
    /// point.
    async fn resumed_progress(&self, request: &PrepareRequest) -> Result<TaskProgress, String> {
        let Some(prefix) = &request.checkpoint else {
            return Ok(TaskProgress::default());
        };
        let mut least: Option<TaskProgress> = None;
        for member in &request.members {
            let progress = self.store.get(&format!("{prefix}/{}", member.index)).await?;
            let done_ms = least.map_or(progress.done_ms, |least| least.done_ms.min(progress.done_ms));
            least = Some(TaskProgress { done_ms });
        }
        Ok(least.unwrap_or_default())
    }

    async fn write_checkpoint(&self, request: &AttemptRequest) -> CallOutcome {
        let key = (request.job, request.attempt);
        let (status, progress) = {
            let now = self.now();
            let mut state = self.state.lock();
            let status = state.core.look_up(request, now);
            let part = state
                .core
                .part(key)
                .filter(|part| part.is_running() && part.checkpointable);
            (status, part.map(|part| snapshot(part, now)))
        };
        let (Ok(_), Some((progress, indexes))) = (&status, progress) else {
            return CallOutcome::Done(status);
        };
        let prefix = format!("checkpoint/{}/{}", request.job, request.attempt);
        for index in indexes {
            if let Err(message) = self.store.put(&format!("{prefix}/{index}"), progress).await {
                return CallOutcome::StoreFailed(message);
            }
        }
        CallOutcome::Done(self.with_core(|core, now| {
            core.set_checkpoint(key, &prefix);
            core.look_up(request, now)
        }))
    }

    fn now(&self) -> WorkerTime {
        WorkerTime(self.options.clock_offset_ms + self.clock.elapsed_ms())
    }

    fn wall_ms(&self, time: WorkerTime) -> u64 {
        self.clock
            .wall_ms(time.0.saturating_sub(self.options.clock_offset_ms))
    }

    fn with_core<T, F>(&self, call: F) -> T
    where
        F: FnOnce(&mut WorkerCore, WorkerTime) -> T,
    {
        let mut state = self.state.lock();
        let result = call(&mut state.core, self.now());
        self.record_events(&mut state);
        result
    }

    fn record_events(&self, state: &mut WorkerState) {
        let WorkerState { core, log, .. } = state;
        for event in std::mem::take(&mut core.events) {
            match event {
                WorkerEvent::Started(key, at) => self.record_start(core, log, key, at),
                WorkerEvent::Ended((job, attempt), at, end) => log.end(job, attempt, self.wall_ms(at), end),
            }
        }
    }

    fn record_start(&self, core: &WorkerCore, log: &mut TaskLog, key: AttemptKey, at: WorkerTime) {
        let Some(part) = core.part(key) else {
            return;
        };
        for member in &part.members {
            log.start(TaskRun {
                job: key.0,
                attempt: key.1,
                member: member.index,
                output: Arc::clone(&part.payload.output),
                resumed_ms: part.resumed_ms,
                started_at: self.wall_ms(at),
                ended_at: None,
                end: None,
            });
        }
    }

    fn control(&self, control: &WorkerControl) -> WorkerFaults {
        let mut state = self.state.lock();
        state.faults.apply(control);
        state.call_count = 0;
        if control.crash {
            state.core.crash(self.now());
            self.record_events(&mut state);
        }
        state.faults
    }

    fn log(&self) -> TaskLog {
        self.with_core(WorkerCore::advance);
        self.state.lock().log.clone()
    }
}

fn snapshot(part: &WorkerPart, now: WorkerTime) -> (TaskProgress, Vec<u32>) {
    let indexes = part.members.iter().map(|member| member.index).collect();
    (part.current_progress(now), indexes)
}
