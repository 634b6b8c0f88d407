//! Checks that the upstream stand-in behaves as the tests of routing expect: rejections, truncated responses,
//! connection limits and the request log.

mod support;

use std::net::SocketAddr;

use arbutuspick_clients::{CallError, ProcessClock, UpstreamClient, UpstreamRequest, UpstreamResponse};
use arbutuspick_model::{CentreName, ServiceName, UpstreamName};
use arbutuspick_standins::{
    ControlClient, RequestLog, UpstreamControl, UpstreamFaults, UpstreamOptions, UpstreamResult,
    UpstreamStandin,
};
use futures::future::join_all;
use hyper::{HeaderMap, Method, StatusCode};
use sha2::{Digest, Sha256};
use support::{PausedClock, advance};

fn options() -> UpstreamOptions {
    UpstreamOptions::new(
        UpstreamName::try_from("trent-booking-0").unwrap(),
        CentreName::try_from("trent").unwrap(),
        ServiceName::try_from("booking").unwrap(),
    )
}

async fn send(address: SocketAddr, id: &str, work_ms: u64) -> Result<UpstreamResponse, CallError> {
    let mut headers = HeaderMap::new();
    headers.insert("x-request-id", id.parse().unwrap());
    let request = UpstreamRequest {
        method: Method::POST,
        path: "/".into(),
        headers,
        body: format!(r#"{{"work_ms": {work_ms}}}"#).into(),
        deadline: ProcessClock::new().now() + 10_000,
    };
    UpstreamClient::new(address, 1).send(request).await
}

#[tokio::test]
async fn request_digest() {
    let upstream = UpstreamStandin::start(options()).await.unwrap();
    let answer = send(upstream.address(), "r1", 0).await.unwrap();
    assert_eq!(answer.headers["x-request-id"], "r1");
    let result: UpstreamResult = serde_json::from_slice(&answer.body).unwrap();
    let digest = hex::encode(Sha256::digest(br#"{"work_ms": 0}"#));
    assert_eq!((result.id.as_str(), result.digest), ("r1", digest));
    assert_eq!(upstream.log().ran["r1"].count, 1);
}

#[tokio::test]
async fn full_slots() {
    let _paused_clock = PausedClock::pause();
    let upstream = UpstreamStandin::start(options()).await.unwrap();
    let address = upstream.address();
    let ids: Vec<_> = (0..30).map(|index| format!("r{index}")).collect();
    let calls = ids
        .iter()
        .cloned()
        .map(|id| tokio::spawn(async move { send(address, &id, 1000).await }));
    let calls: Vec<_> = calls.collect();
    while upstream.log().refused < 22 {
        tokio::task::yield_now().await;
    }
    advance(2000).await;
    for (id, answer) in ids.iter().zip(join_all(calls).await) {
        let answer = answer.unwrap().unwrap();
        let ran = answer.status == StatusCode::OK;
        assert_eq!(upstream.log().ran.contains_key(id), ran, "{id}");
        if !ran {
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            assert_eq!(answer.headers["x-outcome"], "not-run");
        }
    }
    assert_eq!(upstream.log().ran.len(), 8);
    assert_eq!(upstream.log().peak_in_flight, 8);
}

#[tokio::test]
async fn connection_limit() {
    let mut options = options();
    options.max_connections = 2;
    let upstream = UpstreamStandin::start(options).await.unwrap();
    let clients: Vec<_> = (0..2)
        .map(|_| UpstreamClient::new(upstream.address(), 1))
        .collect();
    for client in &clients {
        let request = UpstreamRequest {
            method: Method::GET,
            path: "/health".into(),
            headers: HeaderMap::new(),
            body: bytes::Bytes::new(),
            deadline: ProcessClock::new().now() + 10_000,
        };
        client.send(request).await.unwrap();
    }
    send(upstream.address(), "r1", 0).await.unwrap_err();
    assert!(upstream.log().ran.is_empty());
}

#[tokio::test]
async fn truncated_responses() {
    let upstream = UpstreamStandin::start(options()).await.unwrap();
    upstream.control(&UpstreamControl {
        cut_every: Some(1),
        ..UpstreamControl::default()
    });
    let error = send(upstream.address(), "r1", 0).await.unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
    let closing = UpstreamControl {
        cut_every: Some(0),
        close_every: Some(1),
        ..UpstreamControl::default()
    };
    upstream.control(&closing);
    let error = send(upstream.address(), "r1", 0).await.unwrap_err();
    assert!(matches!(error, CallError::Ambiguous { .. }), "{error}");
    assert_eq!(upstream.log().ran["r1"].count, 2);
}

#[tokio::test]
async fn leaving_upstream() {
    let upstream = UpstreamStandin::start(options()).await.unwrap();
    let control = ControlClient::new();
    let change = UpstreamControl {
        leaving: Some(true),
        fail: Some(true),
        ..UpstreamControl::default()
    };
    let faults: UpstreamFaults = control
        .post(upstream.address(), "/control", &change)
        .await
        .unwrap();
    assert!(faults.leaving);
    let answer = send(upstream.address(), "r1", 0).await.unwrap();
    assert_eq!(answer.headers["x-leaving"], "1");
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    let log: RequestLog = control.get(upstream.address(), "/control/log").await.unwrap();
    assert!(log.leaving_since.is_some());
    assert_eq!(log.ran["r1"].count, 1, "a failed request ran");
}
