//! Format of error responses.

mod support;

use axum::body::Body;
use axum::http::{Method, StatusCode};
use support::{FakePlatform, TestEntry, TestResponse, settings_yaml, unused_address};

fn assert_error(response: &TestResponse, status: u16, code: &str, parts: &[&str]) {
    let body = response.json();
    assert_eq!(response.status.as_u16(), status, "{body}");
    assert_eq!(body["error"]["code"], code, "{body}");
    assert!(
        body["error"]["message"]
            .as_str()
            .is_some_and(|message| !message.is_empty()),
        "{body}"
    );
    assert_eq!(body["request_id"], response.header("x-request-id"), "{body}");
    assert_eq!(response.header("content-type"), "application/json");
    let text = body.to_string();
    for part in parts {
        assert!(text.contains(part), "{text} does not contain {part:?}");
    }
}

/// Guards against errors in the format of the framework, or without field, value and rule.
#[yare::parameterized(
    no_path = { "GET", "/v2/jobs", "account:parks", &[], "", 404, "not_found", &[] },
    no_method = { "PUT", "/v1/pool", "account:parks", &[], "", 405, "method_not_allowed", &[] },
    no_token = { "GET", "/v1/pool", "", &[], "", 401, "unauthenticated", &["Bearer"] },
    wrong_token = { "GET", "/v1/pool", "parks", &[], "", 401, "unauthenticated", &[] },
    job_id = { "GET", "/v1/jobs/7", "account:parks", &[], "", 400, "invalid_field", &["\"field\":\"job\"", "\"value\":\"7\"", "must be a UUID"] },
    wait_field = { "GET", "/v1/jobs/0191f0c0-0000-7000-8000-000000000000/wait?limit=7", "account:parks", &[], "", 400, "invalid_field", &["limit=7", "timeout_ms"] },
    wait_long = { "GET", "/v1/jobs/0191f0c0-0000-7000-8000-000000000000/wait?timeout_ms=25001", "account:parks", &[], "", 400, "invalid_field", &["timeout_ms", "25001", "25000"] },
    no_job = { "GET", "/v1/jobs/0191f0c0-0000-7000-8000-000000000000", "account:parks", &[], "", 404, "not_found", &[] },
    no_json = { "POST", "/v1/jobs", "account:parks", &[], "{", 400, "invalid_field", &["\"field\":\"body\"", "JSON"] },
    unknown_field = { "POST", "/v1/jobs", "account:parks", &[], "{\"size\": 3}", 400, "invalid_field", &["size"] },
    wide_gang = { "POST", "/v1/jobs", "account:parks", &[], "{\"shape\": {\"tasks\": 1025}}", 400, "invalid_field", &["shape.tasks", "1025", "from 1 to 1024"] },
    no_account = { "POST", "/v1/jobs", "account:parks", &[], "{}", 403, "forbidden", &["configuration"] },
    long_key = { "POST", "/v1/jobs", "account:parks", &[("idempotency-key", "a/b")], "{}", 400, "invalid_field", &["idempotency-key", "a/b"] },
    two_keys = { "POST", "/v1/jobs", "account:parks", &[("idempotency-key", "a"), ("idempotency-key", "b")], "{}", 400, "invalid_field", &["idempotency-key", "only once"] },
    no_service = { "POST", "/v1/services/maps/requests", "account:parks", &[], "", 404, "not_found", &["service"] },
    service_name = { "POST", "/v1/services/Maps/requests", "account:parks", &[], "", 400, "invalid_field", &["Maps"] },
    idempotent_word = { "POST", "/v1/services/booking/requests", "account:parks", &[("x-idempotent", "yes")], "", 400, "invalid_field", &["x-idempotent", "yes", "true or false"] },
    long_deadline = { "POST", "/v1/services/booking/requests", "account:parks", &[("x-deadline-ms", "25001")], "", 400, "invalid_field", &["x-deadline-ms", "25001", "25000"] },
    no_centre = { "GET", "/v1/operator/data-centres/severn", "operator:nia", &[], "", 404, "not_found", &["data centre"] },
    no_based_on = { "POST", "/v1/operator/data-centres/trent/out", "operator:nia", &[], "{}", 400, "invalid_field", &["based_on"] },
    long_drain = { "POST", "/v1/operator/data-centres/trent/out", "operator:nia", &[], "{\"based_on\": 0, \"drain_ms\": 86400001}", 400, "invalid_field", &["drain_ms", "86400001", "86400000"] },
    importance = { "POST", "/v1/operator/questionnaires", "operator:nia", &[], "{\"account\":\"parks\",\"owner\":\"ada\",\"home_data_centre\":\"trent\",\"peak_queue\":1,\"importance\":\"utmost\"}", 400, "invalid_field", &["importance", "utmost", "low, normal or high"] },
    no_packing = { "POST", "/v1/operator/questionnaires", "operator:nia", &[], "{\"account\":\"parks\",\"owner\":\"ada\",\"home_data_centre\":\"trent\",\"peak_queue\":1,\"small_jobs_at_once\":1}", 400, "invalid_field", &["guarantees", "packable"] },
    no_proposal = { "GET", "/v1/operator/proposals/0191f0c0-0000-7000-8000-000000000000", "operator:nia", &[], "", 404, "not_found", &["proposal"] },
)]
#[test_macro(tokio::test)]
async fn error_format(
    method: &str,
    path: &str,
    role: &str,
    headers: &[(&str, &str)],
    body: &str,
    status: u16,
    code: &str,
    parts: &[&str],
) {
    let platform = FakePlatform::start().await;
    let entry = TestEntry::start("trent-1", &platform, &[]).await;
    let method = Method::from_bytes(method.as_bytes()).unwrap();
    let mut builder = entry.client.request(method, path, role);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let response = entry
        .client
        .send(builder.body(Body::from(body.to_owned())).unwrap())
        .await;
    assert_error(&response, status, code, parts);
}

/// Guards against a body limit other than 1 MiB, or an error that does not state it.
#[tokio::test]
async fn body_limit() {
    let platform = FakePlatform::start().await;
    let entry = TestEntry::start("trent-1", &platform, &[]).await;
    let post = |bytes: usize| {
        let body = "x".repeat(bytes);
        let client = entry.client.clone();
        async move {
            client
                .post("/v1/services/booking/requests", "account:parks", &[], &body)
                .await
        }
    };
    assert_error(&post(1_048_577).await, 413, "body_too_large", &["1048576"]);
    assert_error(&post(1_048_576).await, 403, "forbidden", &[]);
}

/// Guards against a request id of the caller that is not returned.
#[tokio::test]
async fn request_id_kept() {
    let platform = FakePlatform::start().await;
    let entry = TestEntry::start("trent-1", &platform, &[]).await;
    let chosen = entry
        .client
        .request(Method::GET, "/livez", "")
        .header("x-request-id", "call-7");
    let response = entry.client.send(chosen.body(Body::empty()).unwrap()).await;
    assert_eq!(
        (response.status, response.header("x-request-id")),
        (StatusCode::OK, "call-7")
    );
    let generated = entry.client.get("/livez", "").await;
    assert_eq!(generated.header("x-request-id").len(), 36);
}

/// Guards against a daemon that is ready, or does not respond, while it has no configuration.
#[tokio::test]
async fn not_ready_unconfigured() {
    let yaml = settings_yaml("trent-1", unused_address().await, &[]);
    let entry = TestEntry::start_unready(&yaml).await;
    assert_error(
        &entry.client.get("/readyz", "").await,
        503,
        "not_ready",
        &["configuration"],
    );
    assert_eq!(entry.client.get("/livez", "").await.status, StatusCode::OK);
    let metrics = entry.client.get("/metrics", "").await;
    assert!(String::from_utf8_lossy(&metrics.body).contains("arbutuspick_config_revision"));
}
