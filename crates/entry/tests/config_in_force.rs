//! Guards against an accepted configuration that is not in force at all VMs in time, or that reverts to an
//! older one, with entry daemons in separate processes.

mod harness;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use arbutuspick_standins::PlatformControl;
use futures::future::join_all;
use harness::{ApiClient, ApiResponse, OPERATOR, OWNER, PoolOptions, TestPool, questionnaire, wait_until};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval};

/// Longest time until a configuration is in force at all VMs; section 1 of the design document.
const MAX_PROPAGATION: Duration = Duration::from_secs(11);

async fn start() -> TestPool {
    TestPool::start(PoolOptions {
        centres: vec![("trent", 2), ("severn", 2)],
        workers: 2,
        upstreams: 1,
        ..PoolOptions::default()
    })
    .await
}

/// Continuously checks that the revision of an entry VM never decreases while the VM is ready.
struct RevisionMonitor {
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl RevisionMonitor {
    /// Starts to monitor every entry VM; a replaced VM must not have an older revision than its predecessor.
    fn start(pool: &TestPool) -> Self {
        let stop = watch::Sender::new(false);
        let tasks = pool.entries.iter().map(|entry| {
            let (http, name, stopped) = (entry.http, entry.name.clone(), stop.subscribe());
            tokio::spawn(async move {
                let api = ApiClient::new();
                let (mut highest, mut ticks) = (0, interval(Duration::from_millis(20)));
                while !*stopped.borrow() {
                    ticks.tick().await;
                    if !api.is_ready(http).await {
                        continue;
                    }
                    if let Some(revision) = revision(&api, http).await {
                        assert!(
                            revision >= highest,
                            "{name} reverted from {highest} to {revision}"
                        );
                        highest = revision;
                    }
                }
                assert!(highest > 0, "{name} was never ready");
            })
        });
        let tasks = tasks.collect();
        Self { stop, tasks }
    }

    async fn finish(self) {
        self.stop.send_replace(true);
        for task in self.tasks {
            task.await.unwrap();
        }
    }
}

async fn revision(api: &ApiClient, http: SocketAddr) -> Option<u64> {
    let response = api.call(http, Method::GET, "/v1/pool", OPERATOR, None, &[]).await;
    response.ok()?.json()?["config_revision"].as_u64()
}

/// Checks that the revision is in force at these entry VMs in time after `accepted`.
async fn check_in_force(pool: &TestPool, entries: &[usize], revision: u64, accepted: Instant) {
    for entry in entries {
        wait_until("the revision is in force", async || {
            (pool.revision_at(*entry).await? >= revision).then_some(())
        })
        .await;
        let elapsed = accepted.elapsed();
        assert!(
            elapsed <= MAX_PROPAGATION,
            "revision {revision} came after {elapsed:?}"
        );
    }
}

async fn accept_account(pool: &TestPool, account: &str) -> (u64, Instant) {
    let accepted = pool
        .accept_questionnaire(&questionnaire(account, "trent", 0, 0))
        .await;
    let revision = accepted["revision"].as_u64().unwrap();
    (revision, Instant::now())
}

/// Guards against a new entry VM that serves with an older configuration than its predecessor.
#[tokio::test(flavor = "multi_thread")]
async fn every_vm_replaced() {
    let mut pool = start().await;
    let monitor = RevisionMonitor::start(&pool);
    for entry in 0..pool.entries.len() {
        let (revision, accepted) = accept_account(&pool, &format!("team-{entry}")).await;
        // The other VMs load the revision while this one is being replaced.
        pool.entries[entry].kill();
        pool.entries[entry].start();
        let others: Vec<usize> = (0..pool.entries.len()).filter(|other| *other != entry).collect();
        check_in_force(&pool, &others, revision, accepted).await;
        check_ready(&pool, entry, revision).await;
    }
    monitor.finish().await;
}

/// Checks that the revision is in force at a replaced entry VM as soon as it is ready.
async fn check_ready(pool: &TestPool, entry: usize, revision: u64) {
    let http = pool.entries[entry].http;
    wait_until("the daemon is ready", async || {
        pool.api.is_ready(http).await.then_some(())
    })
    .await;
    let found = pool.revision_at(entry).await.unwrap();
    assert!(
        found >= revision,
        "revision {found} is in force instead of {revision}"
    );
}

/// Guards against an entry VM that starts without the platform and serves with an older configuration.
#[tokio::test(flavor = "multi_thread")]
async fn platform_down() {
    let mut pool = start().await;
    let monitor = RevisionMonitor::start(&pool);
    let (revision, accepted) = accept_account(&pool, "team").await;
    check_in_force(&pool, &[0, 1, 2, 3], revision, accepted).await;
    set_outage(&pool, true);
    for entry in [0, 3] {
        pool.entries[entry].kill();
        pool.entries[entry].start();
        check_ready(&pool, entry, revision).await;
    }
    set_outage(&pool, false);
    let (revision, accepted) = wait_accept(&pool, "late").await;
    check_in_force(&pool, &[0, 1, 2, 3], revision, accepted).await;
    monitor.finish().await;
}

fn set_outage(pool: &TestPool, outage: bool) {
    pool.platform.control(&PlatformControl {
        outage: Some(outage),
        ..PlatformControl::default()
    });
}

/// Adds an account as soon as the daemons use the table again.
async fn wait_accept(pool: &TestPool, account: &str) -> (u64, Instant) {
    wait_until("the platform is used again", async || {
        let http = pool.entries[0].http;
        let path = "/v1/operator/turn";
        let response = pool.api.call(http, Method::GET, path, OPERATOR, None, &[]).await;
        response.ok()?.status.is_success().then_some(())
    })
    .await;
    accept_account(pool, account).await
}

/// Guards against a data centre that misses revisions while it is disconnected from the platform, or reverts
/// when one of its VMs is replaced meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn centre_isolated() {
    let mut pool = start().await;
    let monitor = RevisionMonitor::start(&pool);
    let (first, accepted) = accept_account(&pool, "team-a").await;
    check_in_force(&pool, &[0, 1, 2, 3], first, accepted).await;
    isolate_severn(&pool, true);
    let (second, accepted) = accept_account(&pool, "team-b").await;
    check_in_force(&pool, &[0, 1], second, accepted).await;
    // A peer in the other data centre has the newer revision, so the new VM must not use an older one.
    pool.entries[3].kill();
    pool.entries[3].start();
    check_ready(&pool, 3, second).await;
    isolate_severn(&pool, false);
    let reconnected = Instant::now();
    check_in_force(&pool, &[2, 3], second, reconnected).await;
    monitor.finish().await;
}

fn isolate_severn(pool: &TestPool, closed: bool) {
    let listeners: BTreeSet<String> = closed.then(|| "severn".to_owned()).into_iter().collect();
    pool.platform.control(&PlatformControl {
        closed_listeners: Some(listeners),
        ..PlatformControl::default()
    });
}

async fn propose(pool: &TestPool, entry: usize, account: &str) -> String {
    let http = pool.entries[entry].http;
    let body = questionnaire(account, "trent", 0, 0);
    let path = "/v1/operator/questionnaires";
    let response = pool
        .api
        .call(http, Method::POST, path, OPERATOR, Some(&body), &[])
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::CREATED, "{response:?}");
    response.json().unwrap()["proposal"].as_str().unwrap().to_owned()
}

async fn decide(pool: &TestPool, entry: usize, proposal: &str, owner: &str) -> ApiResponse {
    let http = pool.entries[entry].http;
    let path = format!("/v1/operator/proposals/{proposal}/accept");
    let body = json!({});
    pool.api
        .call(http, Method::POST, &path, owner, Some(&body), &[])
        .await
        .unwrap()
}

/// Guards against an acceptance that overwrites a concurrent one, and against decisions by an owner whose
/// month it is not.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_owners() {
    let pool = start().await;
    let monitor = RevisionMonitor::start(&pool);
    let accounts: Vec<String> = (0..8).map(|number| format!("team-{number}")).collect();
    let mut proposals = Vec::new();
    for (number, account) in accounts.iter().enumerate() {
        proposals.push(propose(&pool, number % 4, account).await);
    }
    let refused = propose(&pool, 0, "outsider").await;
    let before = pool.revision_at(0).await.unwrap();
    // Each proposal is accepted at two VMs by the owner of the month and at two VMs by the other owner.
    let calls = proposals.iter().flat_map(|proposal| {
        [(0, OWNER), (1, "owner:south"), (2, OWNER), (3, "owner:south")]
            .map(|(entry, owner)| (proposal, entry, owner))
    });
    let calls = calls
        .map(async |(proposal, entry, owner)| (proposal, owner, decide(&pool, entry, proposal, owner).await));
    let others = decide(&pool, 1, &refused, "owner:south");
    let (responses, other) = tokio::join!(join_all(calls), others);
    assert_eq!(other.status, StatusCode::FORBIDDEN, "{other:?}");
    for (proposal, owner, response) in &responses {
        if *owner == OWNER {
            let known = response.status == StatusCode::OK || response.status == StatusCode::CONFLICT;
            assert!(known, "{proposal}: {response:?}");
        } else {
            assert_eq!(response.status, StatusCode::FORBIDDEN, "{proposal}: {response:?}");
        }
    }
    // A call may have run out of attempts after conflicts; its proposal is still open.
    for proposal in &proposals {
        decide(&pool, 0, proposal, OWNER).await;
    }
    let accepted = Instant::now();
    check_in_force(&pool, &[0, 1, 2, 3], before + 8, accepted).await;
    for entry in 0..4 {
        assert_eq!(pool.revision_at(entry).await, Some(before + 8));
        let found = config_at(&pool, entry).await;
        for account in &accounts {
            assert!(!found["accounts"][account].is_null(), "{account}: {found}");
        }
        assert!(found["accounts"]["outsider"].is_null(), "{found}");
    }
    monitor.finish().await;
}

async fn config_at(pool: &TestPool, entry: usize) -> Value {
    let http = pool.entries[entry].http;
    let path = "/v1/operator/accounts";
    let response = pool.api.call(http, Method::GET, path, OPERATOR, None, &[]).await;
    response.unwrap().json().unwrap()
}
