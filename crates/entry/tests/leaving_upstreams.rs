//! Guards against new requests to a leaving upstream later than 3 s after the signal, with entry daemons in
//! separate processes.

mod harness;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arbutuspick_clients::VmRole;
use arbutuspick_standins::{PlatformControl, UpstreamControl, VmKey};
use harness::{ApiClient, PoolOptions, TestPool, wait_for, wait_until, work_body};
use tokio::task::JoinSet;

/// Time after the signal from which on the upstream gets no new request; section 5.7 of the design document.
const MAX_LEAVE_MS: u64 = 3_000;
/// Time for which the upstream is observed after that.
const OBSERVATION_TIME: Duration = Duration::from_secs(5);
const CALLERS: usize = 6;

async fn start() -> TestPool {
    let pool = TestPool::start(PoolOptions {
        upstreams: 3,
        ..PoolOptions::default()
    })
    .await;
    for entry in 0..pool.entries.len() {
        pool.wait_routing(entry, "parks").await;
    }
    pool
}

/// Callers that send requests with unique ids until they are stopped.
struct RequestLoad {
    stopped: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    callers: JoinSet<()>,
}

impl RequestLoad {
    fn start(pool: &TestPool) -> Self {
        let (stopped, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            let (api, stopped, sent) = (ApiClient::new(), Arc::clone(&stopped), Arc::clone(&sent));
            let http = pool.entries[caller % pool.entries.len()].http;
            callers.spawn(async move {
                // Bounded, so that the load of a hanging test ends.
                for _ in 0..5_000 {
                    if stopped.load(Ordering::Acquire) {
                        return;
                    }
                    let id = format!("call-{}", sent.fetch_add(1, Ordering::AcqRel));
                    let idempotent = if caller % 3 == 0 { "false" } else { "true" };
                    let headers = [("x-idempotent", idempotent), ("x-deadline-ms", "2000")];
                    // A VM that is being replaced does not respond; only the upstreams' logs are checked.
                    if api
                        .request(http, "parks", &work_body(&id, 10), &headers)
                        .await
                        .is_err()
                    {
                        wait_for(Duration::from_millis(20)).await;
                    }
                }
            });
        }
        Self {
            stopped,
            sent,
            callers,
        }
    }

    async fn stop(self) {
        self.stopped.store(true, Ordering::Release);
        self.callers.join_all().await;
    }
}

/// Returns the time of the last request at an upstream, in platform time.
fn last_request(pool: &TestPool, upstream: usize) -> u64 {
    let log = pool.upstreams[0].upstreams[upstream].log();
    log.ran.values().map(|runs| runs.last_at).max().unwrap_or(0)
}

fn requests(pool: &TestPool, upstream: usize) -> usize {
    pool.upstreams[0].upstreams[upstream].log().ran.len()
}

/// Waits until every upstream has run requests.
async fn wait_all_used(pool: &TestPool) {
    wait_until("every upstream is in use", async || {
        (0..3).all(|upstream| requests(pool, upstream) > 20).then_some(())
    })
    .await;
}

/// Observes the first upstream, which leaves since `signal_ms`, and checks the time of its last request.
async fn check_left(pool: &TestPool, load: RequestLoad, signal_ms: u64) {
    wait_for(Duration::from_millis(MAX_LEAVE_MS) + OBSERVATION_TIME).await;
    let others = requests(pool, 1) + requests(pool, 2);
    let sent = load.sent.load(Ordering::Acquire);
    wait_until("the other upstreams still run requests", async || {
        (requests(pool, 1) + requests(pool, 2) > others + 20).then_some(())
    })
    .await;
    load.stop().await;
    let after = last_request(pool, 0).saturating_sub(signal_ms);
    assert!(
        after <= MAX_LEAVE_MS,
        "a request was sent {after} ms after the signal, of {sent} requests"
    );
}

/// Makes the list of VMs lag by this time, once the pool is at least as old.
async fn delay_list(pool: &TestPool, started_ms: u64, lag_ms: u64) {
    wait_until("the list is old enough", async || {
        (pool.platform.time().0 >= started_ms + lag_ms).then_some(())
    })
    .await;
    pool.platform.control(&PlatformControl {
        vm_lag_ms: Some(lag_ms),
        ..PlatformControl::default()
    });
}

fn announce_leaving(pool: &TestPool) -> u64 {
    pool.upstreams[0].upstreams[0].control(&UpstreamControl {
        leaving: Some(true),
        ..UpstreamControl::default()
    });
    pool.platform.time().0
}

fn list_as_leaving(pool: &TestPool) -> u64 {
    let name = pool.upstreams[0].upstreams[0].entry().name;
    pool.platform.control(&PlatformControl {
        leaving_vms: vec![VmKey {
            role: VmRole::Upstream,
            name,
        }],
        ..PlatformControl::default()
    });
    pool.platform.time().0
}

/// Guards against entry VMs that ignore the header of a leaving upstream.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_header() {
    let pool = start().await;
    let load = RequestLoad::start(&pool);
    wait_all_used(&pool).await;
    let signal_ms = announce_leaving(&pool);
    check_left(&pool, load, signal_ms).await;
}

/// Guards against entry VMs that ignore the platform's list or read it too rarely.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_listed() {
    let pool = start().await;
    let load = RequestLoad::start(&pool);
    wait_all_used(&pool).await;
    let signal_ms = list_as_leaving(&pool);
    check_left(&pool, load, signal_ms).await;
}

/// Guards against entry VMs that need the list, or use a leaving upstream again once the list is available.
#[tokio::test(flavor = "multi_thread")]
async fn list_unavailable() {
    let pool = start().await;
    let load = RequestLoad::start(&pool);
    wait_all_used(&pool).await;
    pool.platform.control(&PlatformControl {
        vm_outage: Some(true),
        ..PlatformControl::default()
    });
    let signal_ms = announce_leaving(&pool);
    wait_for(Duration::from_secs(3)).await;
    pool.platform.control(&PlatformControl {
        vm_outage: Some(false),
        ..PlatformControl::default()
    });
    check_left(&pool, load, signal_ms).await;
}

/// Guards against a lagging list that overrides the header of a leaving upstream.
#[tokio::test(flavor = "multi_thread")]
async fn list_lags() {
    let pool = start().await;
    let started_ms = pool.platform.time().0;
    let load = RequestLoad::start(&pool);
    wait_all_used(&pool).await;
    delay_list(&pool, started_ms, 9_000).await;
    let signal_ms = announce_leaving(&pool);
    list_as_leaving(&pool);
    check_left(&pool, load, signal_ms).await;
}

/// Guards against entry VMs that do not react in time to a change that a lagging list shows.
#[tokio::test(flavor = "multi_thread")]
async fn late_list_change() {
    const LAG_MS: u64 = 4_000;
    let pool = start().await;
    let started_ms = pool.platform.time().0;
    let load = RequestLoad::start(&pool);
    wait_all_used(&pool).await;
    delay_list(&pool, started_ms, LAG_MS).await;
    // The change is listed only after the lag.
    let signal_ms = list_as_leaving(&pool) + LAG_MS;
    wait_for(Duration::from_millis(LAG_MS)).await;
    check_left(&pool, load, signal_ms).await;
}

/// Guards against a data centre that is disconnected from the platform and keeps using the upstream.
#[tokio::test(flavor = "multi_thread")]
async fn centre_isolated() {
    let pool = start().await;
    let load = RequestLoad::start(&pool);
    wait_all_used(&pool).await;
    pool.platform.control(&PlatformControl {
        closed_listeners: Some(BTreeSet::from(["trent".to_owned()])),
        ..PlatformControl::default()
    });
    let signal_ms = announce_leaving(&pool);
    check_left(&pool, load, signal_ms).await;
}

/// Guards against an entry VM that starts after the upstream left and relies on a lagging list.
#[tokio::test(flavor = "multi_thread")]
async fn entry_replaced() {
    let mut pool = start().await;
    let started_ms = pool.platform.time().0;
    let load = RequestLoad::start(&pool);
    wait_all_used(&pool).await;
    delay_list(&pool, started_ms, 12_000).await;
    let signal_ms = announce_leaving(&pool);
    wait_for(Duration::from_millis(MAX_LEAVE_MS)).await;
    pool.entries[0].kill();
    pool.entries[0].start();
    pool.wait_ready().await;
    pool.wait_routing(0, "parks").await;
    check_left(&pool, load, signal_ms).await;
}
