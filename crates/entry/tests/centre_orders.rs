//! Orders of operators for data centres.

mod support;

use arbutuspick_entry::{CentreStore, CentreView};
use arbutuspick_model::{
    AccountName, CentreName, CentreState, ClockTime, JobId, JobSpec, OrderNumber, PlatformTime, WriteId,
};
use arbutuspick_records::{BodyDigest, CentreRecord, JobRecord, JobSubmission, RowVersion, Versioned};
use axum::http::StatusCode;
use serde_json::json;
use support::{FakePlatform, TestEntry, settings_yaml, unused_address, wait_until, worker_vm};

const OUT: &str = "/v1/operator/data-centres/trent/out";
const IN: &str = "/v1/operator/data-centres/trent/in";

fn out_order(based_on: u64, accept: bool) -> String {
    json!({"based_on": based_on, "drain_ms": 60_000, "accept_shortfall": accept}).to_string()
}

/// Guards against an order that is reported as in force at once, and two orders based on the same one.
#[tokio::test]
async fn orders_serialized() {
    let platform = FakePlatform::start().await;
    let entry = TestEntry::start("trent-1", &platform, &[]).await;
    let client = &entry.client;
    let before = platform_now();
    let out = client.post(OUT, "operator:nia", &[], &out_order(0, false)).await;
    let body = out.json();
    assert_eq!(out.status, StatusCode::OK, "{body}");
    assert_eq!(
        (&body["recorded"], &body["order"], &body["state"]),
        (&true.into(), &1.into(), &"leaving".into())
    );
    assert_eq!(body["in_force"], false);
    assert!(body["in_force_at"].as_u64().unwrap() >= before + 2_000, "{body}");
    let superseded = client.post(OUT, "operator:tom", &[], &out_order(0, false)).await;
    assert_eq!(
        (superseded.status, &superseded.json()["error"]["code"]),
        (StatusCode::CONFLICT, &"order_superseded".into())
    );
    assert_eq!(superseded.json()["current"]["operator"], "nia");
    let back = client.post(IN, "operator:tom", &[], "{\"based_on\": 1}").await;
    assert_eq!(
        (&back.json()["order"], &back.json()["state"]),
        (&2.into(), &"returning".into())
    );
    let shown = client
        .get("/v1/operator/data-centres/trent", "operator:nia")
        .await
        .json();
    assert_eq!(
        (&shown["operator"], &shown["drain_deadline"]),
        (&"tom".into(), &json!(null))
    );
}

fn platform_now() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Guards against an order that silently violates guarantees, and one that cannot be given despite consent.
#[tokio::test]
async fn shortfall_needs_consent() {
    let platform = FakePlatform::start().await;
    platform.with(|state| state.vms.push(worker_vm(0, "trent")));
    let entry = TestEntry::start("trent-1", &platform, &[]).await;
    let client = &entry.client;
    let questionnaire = json!({
        "account": "parks", "owner": "ada", "home_data_centre": "trent", "peak_queue": 1, "small_jobs_at_once": 3,
    });
    let path = "/v1/operator/questionnaires";
    let proposed = client
        .post(path, "operator:nia", &[], &questionnaire.to_string())
        .await
        .json();
    let path = format!(
        "/v1/operator/proposals/{}/accept",
        proposed["proposal"].as_str().unwrap()
    );
    assert_eq!(
        client.post(&path, "owner:ada", &[], "").await.status,
        StatusCode::OK
    );
    let refused = client.post(OUT, "operator:nia", &[], &out_order(0, false)).await;
    assert_eq!(refused.status, StatusCode::CONFLICT, "{:?}", refused.body);
    let shortfall = &refused.json()["shortfalls"][0];
    assert_eq!(
        (&shortfall["account"], &shortfall["missing"]),
        (&"parks".into(), &3.into())
    );
    let shown = client
        .get("/v1/operator/data-centres/trent", "operator:nia")
        .await
        .json();
    assert_eq!((&shown["order"], &shown["state"]), (&0.into(), &"in".into()));
    let given = client.post(OUT, "operator:nia", &[], &out_order(0, true)).await;
    assert_eq!(given.status, StatusCode::OK, "{:?}", given.body);
}

/// Guards against an order that relies on capacity that the guarantees of another data centre need.
#[tokio::test]
async fn earlier_outs_count() {
    let platform = FakePlatform::start().await;
    platform.with(|state| state.vms.extend([worker_vm(0, "trent"), worker_vm(0, "severn")]));
    let entry = TestEntry::start("trent-1", &platform, &[("severn-1", unused_address().await)]).await;
    let client = &entry.client;
    let questionnaire = json!({
        "account": "parks", "owner": "ada", "home_data_centre": "severn", "peak_queue": 1, "small_jobs_at_once": 8,
    });
    let path = "/v1/operator/questionnaires";
    let proposed = client
        .post(path, "operator:nia", &[], &questionnaire.to_string())
        .await
        .json();
    let path = format!(
        "/v1/operator/proposals/{}/accept",
        proposed["proposal"].as_str().unwrap()
    );
    assert_eq!(
        client.post(&path, "owner:ada", &[], "").await.status,
        StatusCode::OK
    );
    let severn = "/v1/operator/data-centres/severn/out";
    let given = client
        .post(severn, "operator:nia", &[], &out_order(0, false))
        .await;
    assert_eq!(
        given.status,
        StatusCode::OK,
        "trent has room for 8: {:?}",
        given.body
    );
    let refused = client.post(OUT, "operator:nia", &[], &out_order(0, false)).await;
    assert_eq!(refused.status, StatusCode::CONFLICT, "{:?}", refused.body);
    let shortfall = &refused.json()["shortfalls"][0];
    assert_eq!(
        (&shortfall["guarantee"]["data_centre"], &shortfall["missing"]),
        (&"severn".into(), &8.into())
    );
}

/// Guards against a time in force that changes with the holder's progress or with older rows.
#[test]
fn progress_keeps_time() {
    let centre = CentreName::try_from("trent").unwrap();
    let board = CentreStore::new(centre.clone(), vec![centre.clone()]);
    let update = |state: CentreState, order: u64, version: u64, time: u64| {
        let record = CentreRecord {
            state,
            order: OrderNumber(order),
            ..CentreRecord::default()
        };
        let record = Some(Versioned::new(record, RowVersion(version)));
        let view = CentreView {
            record,
            ..CentreView::default()
        };
        board.update([(centre.clone(), view)], PlatformTime(time), ClockTime(time));
        let view = board.view(&centre).unwrap();
        (view.in_force_at(), view.accepts_work())
    };
    let in_force_at = |time| Some(PlatformTime(time));
    assert_eq!(
        update(CentreState::Leaving, 1, 5, 100),
        (in_force_at(2_100), false)
    );
    assert_eq!(update(CentreState::Out, 1, 9, 900), (in_force_at(2_100), false));
    assert_eq!(update(CentreState::In, 0, 4, 950), (in_force_at(2_100), false));
    assert_eq!(
        update(CentreState::Returning, 2, 12, 1_000),
        (in_force_at(3_000), true)
    );
}

/// Guards against a job that stays queued in a data centre whose holder is unreachable.
#[tokio::test]
async fn unreachable_jobs_move() {
    let platform = FakePlatform::start().await;
    platform.with(|state| state.vms.push(worker_vm(0, "trent")));
    let peers = [("severn-1", unused_address().await)];
    let yaml = settings_yaml("trent-1", platform.address, &peers);
    let yaml = yaml.replacen(
        "\"balancer_lag_ms\"",
        "\"rescue_after_ms\":400,\"balancer_lag_ms\"",
        1,
    );
    let submission = JobSubmission {
        job: JobId::generate(),
        spec: JobSpec::new(AccountName::try_from("parks").unwrap()),
        caller_key: None,
        body_digest: BodyDigest::default(),
        data_centre: CentreName::try_from("severn").unwrap(),
        now: PlatformTime(platform_now()),
        delete_key_after: PlatformTime(platform_now()),
    };
    let job = submission.job;
    let change = JobRecord::submit(submission, WriteId::generate());
    platform.with(|state| state.table.commit(&change.transaction));
    let entry = TestEntry::start_unready(&yaml).await;
    wait_until("job is moved", || async {
        let status = entry
            .client
            .get(&format!("/v1/jobs/{job}"), "account:parks")
            .await
            .json();
        status["data_centre"] == "trent"
    })
    .await;
    let inbox = platform.with(|state| state.table.get(&format!("inbox/severn/{job}")).is_some());
    assert!(!inbox, "the notice in the inbox of severn was not removed");
}

/// Guards against jobs that are assigned to a data centre that is out.
#[tokio::test]
async fn no_job_when_out() {
    let platform = FakePlatform::start().await;
    let entry = TestEntry::start("trent-1", &platform, &[]).await;
    entry.add_account("parks").await;
    let key = [("idempotency-key", "a")];
    let first = entry
        .client
        .post("/v1/jobs", "account:parks", &key, "{}")
        .await
        .json();
    entry
        .client
        .post(OUT, "operator:nia", &[], &out_order(0, false))
        .await;
    wait_until("the order is read", || async {
        let pool = entry.client.get("/v1/pool", "account:parks").await.json();
        pool["data_centres"][0]["state"] != "in"
    })
    .await;
    let refused = entry.client.post("/v1/jobs", "account:parks", &[], "{}").await;
    assert_eq!(refused.json()["outcome"], "not_run", "{:?}", refused.body);
    let again = entry
        .client
        .post("/v1/jobs", "account:parks", &key, "{}")
        .await
        .json();
    assert_eq!(again["job"], first["job"]);
}
