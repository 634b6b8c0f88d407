//! Guards against an accepted configuration that is not in force everywhere in time, or goes back to an
//! older one, with entry daemons in processes of their own.

mod harness;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use arbutuspick_standins::PlatformControl;
use futures::future::join_all;
use harness::{ApiAnswer, ApiClient, OPERATOR, OWNER, PoolOptions, TestPool, questionnaire, wait_until};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval};

/// Time in which a configuration is in force everywhere, by section 1 of the design page.
const FORCE_BOUND: Duration = Duration::from_secs(11);

async fn start() -> TestPool {
    TestPool::start(PoolOptions {
        centres: vec![("trent", 2), ("severn", 2)],
        workers: 2,
        upstreams: 1,
        accounts: vec![("parks", "trent", 0, 0)],
    })
    .await
}

/// Checks all the time that no entry VM that is ready has an older revision than one seen there before.
struct Watcher {
    stop: watch::Sender<bool>,
    watches: Vec<JoinHandle<()>>,
}

impl Watcher {
    /// Starts to watch every entry VM; a replaced one is measured by what its predecessor had.
    fn start(pool: &TestPool) -> Self {
        let stop = watch::Sender::new(false);
        let watches = pool.entries.iter().map(|entry| {
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
                            "{name} went back from {highest} to {revision}"
                        );
                        highest = revision;
                    }
                }
                assert!(highest > 0, "{name} was never seen");
            })
        });
        let watches = watches.collect();
        Self { stop, watches }
    }

    async fn finish(self) {
        self.stop.send_replace(true);
        for watch in self.watches {
            watch.await.unwrap();
        }
    }
}

async fn revision(api: &ApiClient, http: SocketAddr) -> Option<u64> {
    let answer = api.call(http, Method::GET, "/v1/pool", OPERATOR, None, &[]).await;
    answer.ok()?.json()?["config_revision"].as_u64()
}

/// Checks that these entry VMs have the revision in force within the bound after `accepted`.
async fn check_in_force(pool: &TestPool, entries: &[usize], revision: u64, accepted: Instant) {
    for entry in entries {
        wait_until("the revision is in force", async || {
            (pool.revision_at(*entry).await? >= revision).then_some(())
        })
        .await;
        let elapsed = accepted.elapsed();
        assert!(
            elapsed <= FORCE_BOUND,
            "revision {revision} came after {elapsed:?}"
        );
    }
}

async fn accept(pool: &TestPool, account: &str) -> (u64, Instant) {
    let accepted = pool.accept(&questionnaire(account, "trent", 0, 0)).await;
    let revision = accepted["revision"].as_u64().unwrap();
    (revision, Instant::now())
}

/// Guards against a fresh entry VM that serves with an older configuration than its predecessor.
#[tokio::test(flavor = "multi_thread")]
async fn every_vm_replaced() {
    let mut pool = start().await;
    let watcher = Watcher::start(&pool);
    for entry in 0..pool.entries.len() {
        let (revision, accepted) = accept(&pool, &format!("team-{entry}")).await;
        // The others get the revision while one of them is replaced.
        pool.entries[entry].kill();
        pool.entries[entry].start();
        let others: Vec<usize> = (0..pool.entries.len()).filter(|other| *other != entry).collect();
        check_in_force(&pool, &others, revision, accepted).await;
        check_ready(&pool, entry, revision).await;
    }
    watcher.finish().await;
}

/// Checks that a replaced entry VM has the revision in force as soon as it is ready.
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
    let watcher = Watcher::start(&pool);
    let (revision, accepted) = accept(&pool, "team").await;
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
    watcher.finish().await;
}

fn set_outage(pool: &TestPool, outage: bool) {
    pool.platform.control(&PlatformControl {
        outage: Some(outage),
        ..PlatformControl::default()
    });
}

/// Accepts a configuration as soon as the daemons use the table again.
async fn wait_accept(pool: &TestPool, account: &str) -> (u64, Instant) {
    wait_until("the platform is used again", async || {
        let http = pool.entries[0].http;
        let path = "/v1/operator/turn";
        let answer = pool.api.call(http, Method::GET, path, OPERATOR, None, &[]).await;
        answer.ok()?.status.is_success().then_some(())
    })
    .await;
    accept(pool, account).await
}

/// Guards against a data centre that misses revisions while it is cut off, or goes back when a VM of it is
/// replaced meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn centre_cut_off() {
    let mut pool = start().await;
    let watcher = Watcher::start(&pool);
    let (first, accepted) = accept(&pool, "team-a").await;
    check_in_force(&pool, &[0, 1, 2, 3], first, accepted).await;
    close_severn(&pool, true);
    let (second, accepted) = accept(&pool, "team-b").await;
    check_in_force(&pool, &[0, 1], second, accepted).await;
    // A peer outside has the newer revision, so the fresh VM must not start with an older one.
    pool.entries[3].kill();
    pool.entries[3].start();
    check_ready(&pool, 3, second).await;
    close_severn(&pool, false);
    let healed = Instant::now();
    check_in_force(&pool, &[2, 3], second, healed).await;
    watcher.finish().await;
}

fn close_severn(pool: &TestPool, closed: bool) {
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
    let answer = pool
        .api
        .call(http, Method::POST, path, OPERATOR, Some(&body), &[])
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::CREATED, "{answer:?}");
    answer.json().unwrap()["proposal"].as_str().unwrap().to_owned()
}

async fn decide(pool: &TestPool, entry: usize, proposal: &str, owner: &str) -> ApiAnswer {
    let http = pool.entries[entry].http;
    let path = format!("/v1/operator/proposals/{proposal}/accept");
    let body = json!({});
    pool.api
        .call(http, Method::POST, &path, owner, Some(&body), &[])
        .await
        .unwrap()
}

/// Guards against an acceptance that overwrites a concurrent one, and against the decision of an owner who
/// does not hold the month.
#[tokio::test(flavor = "multi_thread")]
async fn owners_at_once() {
    let pool = start().await;
    let watcher = Watcher::start(&pool);
    let accounts: Vec<String> = (0..8).map(|number| format!("team-{number}")).collect();
    let mut proposals = Vec::new();
    for (number, account) in accounts.iter().enumerate() {
        proposals.push(propose(&pool, number % 4, account).await);
    }
    let refused = propose(&pool, 0, "outsider").await;
    let before = pool.revision_at(0).await.unwrap();
    // Each proposal is accepted at two VMs by the owner of the month, and at two by the other owner.
    let calls = proposals.iter().flat_map(|proposal| {
        [(0, OWNER), (1, "owner:south"), (2, OWNER), (3, "owner:south")]
            .map(|(entry, owner)| (proposal, entry, owner))
    });
    let calls = calls
        .map(async |(proposal, entry, owner)| (proposal, owner, decide(&pool, entry, proposal, owner).await));
    let others = decide(&pool, 1, &refused, "owner:south");
    let (answers, other) = tokio::join!(join_all(calls), others);
    assert_eq!(other.status, StatusCode::FORBIDDEN, "{other:?}");
    for (proposal, owner, answer) in &answers {
        if *owner == OWNER {
            let known = answer.status == StatusCode::OK || answer.status == StatusCode::CONFLICT;
            assert!(known, "{proposal}: {answer:?}");
        } else {
            assert_eq!(answer.status, StatusCode::FORBIDDEN, "{proposal}: {answer:?}");
        }
    }
    // A call may have met too many conflicts; the proposal is then still open.
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
    watcher.finish().await;
}

async fn config_at(pool: &TestPool, entry: usize) -> Value {
    let http = pool.entries[entry].http;
    let path = "/v1/operator/accounts";
    let answer = pool.api.call(http, Method::GET, path, OPERATOR, None, &[]).await;
    answer.unwrap().json().unwrap()
}
