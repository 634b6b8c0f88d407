use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use arbutuspick_peer::PeerServer;
use arbutuspick_server::{ClientGuard, ListenerLimits, descriptor_limit, serve};
use axum::body::Body;
use axum::response::IntoResponse;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

use super::entry_context::hello_message;
use super::holder_task::run_summaries;
use super::peer_handler::peer_handler;
use super::{EntryContext, StopPhase};
use crate::api::api_router;
use crate::config::run_config_sync;
use crate::jobs::run_job_rescue;
use crate::requests::refuse_all;
use crate::watch::{run_health_checks, run_queue_ticks, run_vm_list_poll};
use crate::{EntryLimits, ExitStatus, Settings};

/// Why the daemon could not start.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// An address in the settings cannot be bound.
    #[snafu(display("field {field:?}: value {address:?} cannot be bound: {source}"))]
    Bind {
        /// Field in the settings.
        field: &'static str,
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

/// A running entry daemon.
///
/// ```no_run
/// # async fn example(settings: arbutuspick_entry::Settings) -> Result<(), arbutuspick_entry::DaemonError> {
/// use arbutuspick_entry::EntryDaemon;
/// let daemon = EntryDaemon::start(settings).await?;
/// println!("listening on {}", daemon.http_address);
/// daemon.stop().await;
/// # Ok(())
/// # }
/// ```
pub struct EntryDaemon {
    /// Address for callers and operators.
    pub http_address: SocketAddr,
    /// Address for other entry VMs.
    pub peer_address: SocketAddr,
    context: Arc<EntryContext>,
    http: JoinHandle<()>,
}

impl EntryDaemon {
    /// Binds both listeners and starts the background tasks.
    pub async fn start(settings: Settings) -> Result<Self, DaemonError> {
        let (field, address) = ("http_listen", settings.http_listen);
        let listener = TcpListener::bind(address)
            .await
            .context(BindSnafu { field, address })?;
        let http_address = listener.local_addr().context(BindSnafu { field, address })?;
        let (field, address) = ("peer_listen", settings.peer_listen);
        let server = PeerServer::bind(address, hello_message(&settings));
        let limits = listener_limits(&settings);
        let server = server.await.context(BindSnafu { field, address })?;
        let server = server.with_limits(limits.peers);
        let peer_address = server.local_addr().context(BindSnafu { field, address })?;
        let context = Arc::new(EntryContext::new(settings, peer_address));
        log::info!(
            "[api] {} listens on {http_address}, for peers on {peer_address}",
            context.identity
        );
        tokio::spawn(server.run(peer_handler(Arc::clone(&context)), context.stop.shutdown.clone()));
        start_tasks(&context);
        let http = start_http(&context, listener);
        Ok(Self {
            http_address,
            peer_address,
            context,
            http,
        })
    }

    /// Returns whether the daemon has a configuration and no planned stop has begun.
    pub fn is_ready(&self) -> bool {
        self.context.config.is_ready() && self.context.stop.phase() == StopPhase::Serving
    }

    /// Performs a planned stop: requests in flight finish, and callers that wait for jobs are told to
    /// continue at another VM.
    ///
    /// Returns whether all work in flight finished within the limit.
    pub async fn stop(self) -> bool {
        let Self { context, http, .. } = self;
        let limits = &context.settings.limits;
        log::info!("[api] planned stop begins");
        context.stop.advance(StopPhase::Leaving);
        sleep(limits.balancer_lag).await;
        context.stop.advance(StopPhase::Draining);
        context.router.queue.close();
        let finish = async {
            // The server ends once all connections have sent the responses to requests in flight.
            if let Err(error) = http.await {
                log::error!("[api] the HTTP server failed: {error}");
            }
            context.stop.tracker.close();
            context.stop.tracker.wait().await;
        };
        let in_time = timeout(limits.stop_limit, finish).await.is_ok();
        if !in_time {
            log::warn!(
                "[api] work in flight did not finish within {:?}",
                limits.stop_limit
            );
            refuse_all(context.router.queue.close_and_drain());
        }
        context.stop.shutdown.cancel();
        log::info!("[api] stopped");
        in_time
    }
}

fn listener_limits(settings: &Settings) -> ListenerLimits {
    let EntryLimits {
        memory_mb,
        max_descriptors,
        ..
    } = settings.limits;
    ListenerLimits::derive(memory_mb, max_descriptors.min(descriptor_limit()))
}

fn start_http(context: &Arc<EntryContext>, listener: TcpListener) -> JoinHandle<()> {
    let router = api_router(Arc::clone(context));
    let body_limit = context.settings.limits.body_bytes;
    let guard = ClientGuard::new("callers", listener_limits(&context.settings).callers);
    let drain = CancellationToken::new();
    {
        let (context, drain) = (Arc::clone(context), drain.clone());
        tokio::spawn(async move {
            context.stop.wait_for_phase(StopPhase::Draining).await;
            drain.cancel();
        });
    }
    tokio::spawn(serve(listener, guard, drain, move |request| {
        let router = router.clone();
        async move {
            let connection = request.body().connection().clone();
            let mut request = request.map(|body| Body::new(body.with_limit(body_limit)));
            request.extensions_mut().insert(connection);
            let response = router.oneshot(request).await;
            response.unwrap_or_else(|error| match error {}).into_response()
        }
    }))
}

fn start_tasks(context: &Arc<EntryContext>) {
    spawn_until_shutdown(context, run_config_sync(Arc::clone(context)));
    spawn_until_shutdown(context, run_vm_list_poll(Arc::clone(context)));
    spawn_until_shutdown(context, run_health_checks(Arc::clone(context)));
    spawn_until_shutdown(context, run_queue_ticks(Arc::clone(context)));
    spawn_until_shutdown(context, run_summaries(Arc::clone(context)));
    spawn_until_shutdown(context, run_job_rescue(Arc::clone(context)));
    context.holder.start(context);
}

/// Runs a background task until the daemon stops.
fn spawn_until_shutdown<Work>(context: &Arc<EntryContext>, work: Work)
where
    Work: Future<Output = ()> + Send + 'static,
{
    let shutdown = context.stop.shutdown.clone();
    tokio::spawn(async move {
        tokio::select! { () = shutdown.cancelled() => {}, () = work => {} }
    });
}

/// Runs the daemon until SIGTERM or SIGINT.
pub(crate) fn run_daemon(settings: Settings) -> ExitStatus {
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("[api] starting the runtime failed: {error}");
            return ExitStatus::Failed;
        }
    };
    runtime
        .block_on(run_until_signal(settings))
        .unwrap_or_else(|error| {
            log::error!("[api] {error}");
            ExitStatus::Failed
        })
}

async fn run_until_signal(settings: Settings) -> Result<ExitStatus, Box<dyn std::error::Error>> {
    // Installed before the start, since an unhandled signal would end the process at once.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let daemon = EntryDaemon::start(settings).await?;
    tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
    daemon.stop().await;
    Ok(ExitStatus::Done)
}
