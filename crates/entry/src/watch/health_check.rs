use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arbutuspick_clients::{UpstreamClient, UpstreamRequest};
use arbutuspick_model::UpstreamName;
use axum::http::{HeaderMap, Method};
use bytes::Bytes;
use tokio::time::{MissedTickBehavior, interval};

use crate::daemon::EntryContext;
use crate::requests::is_leaving;

/// Interval at which due health checks are started; each upstream is checked at most once a second.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit of one check. An upstream is not used after 3 s without a response.
const CHECK_TIMEOUT_MS: u64 = 900;
const HEALTH_PATH: &str = "/health";

/// Checks the upstreams without a recent response, until the daemon stops.
pub(crate) async fn run_health_checks(context: Arc<EntryContext>) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (name, address) in context.router.routing.due_health_checks(context.clock.now()) {
            tokio::spawn(check(Arc::clone(&context), name, address));
        }
    }
}

async fn check(context: Arc<EntryContext>, name: UpstreamName, address: SocketAddr) {
    // A separate connection, so that a check never uses the connection of a request.
    let client = UpstreamClient::new(address, 1);
    let request = UpstreamRequest {
        method: Method::GET,
        path: HEALTH_PATH.into(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        deadline: context.clock.now() + CHECK_TIMEOUT_MS,
    };
    match client.send(request).await {
        Ok(response) => {
            let now = context.clock.now();
            if is_leaving(&response.headers) {
                context.router.routing.mark_leaving(&name, now);
            }
            if response.status.is_success() {
                context.router.routing.record_heard(&name, now);
            }
        }
        Err(error) => log::debug!("[router] health check of {name} failed: {error}"),
    }
}
