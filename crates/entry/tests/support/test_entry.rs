use std::net::SocketAddr;
use std::time::Duration;

use arbutuspick_entry::{EntryDaemon, Settings};
use axum::body::Body;
use axum::http::{HeaderMap, Method, Request, StatusCode};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

use super::FakePlatform;

/// Time limit of every wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Polls a check until it is true; panics if it is not in time.
pub(crate) async fn wait_until<Check, Checked>(what: &str, mut check: Check)
where
    Check: FnMut() -> Checked,
    Checked: Future<Output = bool>,
{
    let mut ticks = tokio::time::interval(Duration::from_millis(5));
    let checked = async {
        while !check().await {
            ticks.tick().await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, checked)
        .await
        .unwrap_or_else(|_| panic!("timed out: {what}"));
}

/// Returns an address without a listener.
pub(crate) async fn unused_address() -> SocketAddr {
    tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Returns settings with `auth: off`. The name of a VM starts with its data centre.
pub(crate) fn settings_yaml(vm: &str, platform: SocketAddr, peers: &[(&str, SocketAddr)]) -> String {
    let peers: Vec<Value> = peers
        .iter()
        .map(|(name, address)| json!({"name": name, "data_centre": centre_of(name), "address": address}))
        .collect();
    let settings = json!({
        "vm": vm,
        "data_centre": "trent",
        "http_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": platform,
        "peers": peers,
        "entry_vms": 3,
        "services": ["booking"],
        "auth": "off",
        "owners": ["ada", "bea"],
        "limits": {"balancer_lag_ms": 1, "stop_limit_ms": 10_000},
    });
    settings.to_string()
}

fn centre_of(vm: &str) -> &str {
    vm.rsplit_once('-').map_or(vm, |(centre, _)| centre)
}

pub(crate) struct TestResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl TestResponse {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|error| panic!("{error}: {:?}", self.body))
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }
}

/// HTTP client of one entry daemon.
#[derive(Clone)]
pub(crate) struct TestClient {
    pub(crate) address: SocketAddr,
    client: Client<HttpConnector, Body>,
}

impl TestClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    pub(crate) async fn send(&self, request: Request<Body>) -> TestResponse {
        let exchange = async {
            let response = self.client.request(request).await.unwrap();
            let (parts, body) = response.into_parts();
            let body = body.collect().await.unwrap().to_bytes();
            TestResponse {
                status: parts.status,
                headers: parts.headers,
                body,
            }
        };
        tokio::time::timeout(Duration::from_secs(30), exchange)
            .await
            .expect("no response")
    }

    pub(crate) fn request(&self, method: Method, path: &str, role: &str) -> axum::http::request::Builder {
        let builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        if role.is_empty() {
            builder
        } else {
            builder.header("authorization", format!("Bearer {role}"))
        }
    }

    pub(crate) async fn get(&self, path: &str, role: &str) -> TestResponse {
        self.send(self.request(Method::GET, path, role).body(Body::empty()).unwrap())
            .await
    }

    pub(crate) async fn delete(&self, path: &str, role: &str) -> TestResponse {
        self.send(
            self.request(Method::DELETE, path, role)
                .body(Body::empty())
                .unwrap(),
        )
        .await
    }

    pub(crate) async fn post(
        &self,
        path: &str,
        role: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> TestResponse {
        let mut builder = self.request(Method::POST, path, role);
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        self.send(builder.body(Body::from(body.to_owned())).unwrap())
            .await
    }
}

/// A daemon in the test process, and a client for it.
pub(crate) struct TestEntry {
    pub(crate) daemon: EntryDaemon,
    pub(crate) client: TestClient,
}

impl TestEntry {
    /// Starts a daemon without waiting until it is ready.
    pub(crate) async fn start_unready(yaml: &str) -> Self {
        let daemon = EntryDaemon::start(Settings::from_yaml(yaml).unwrap())
            .await
            .unwrap();
        let client = TestClient::new(daemon.http_address);
        Self { daemon, client }
    }

    /// Starts a daemon and waits until it is ready.
    pub(crate) async fn start(vm: &str, platform: &FakePlatform, peers: &[(&str, SocketAddr)]) -> Self {
        let entry = Self::start_unready(&settings_yaml(vm, platform.address, peers)).await;
        wait_until("ready", || async { entry.daemon.is_ready() }).await;
        entry
    }

    /// Adds an account to the configuration through the API.
    pub(crate) async fn add_account(&self, account: &str) {
        let questionnaire = json!({
            "account": account, "owner": "ada", "home_data_centre": "trent", "peak_queue": 10,
        });
        let path = "/v1/operator/questionnaires";
        let proposed = self
            .client
            .post(path, "operator:nia", &[], &questionnaire.to_string())
            .await;
        assert_eq!(proposed.status, StatusCode::CREATED, "{:?}", proposed.body);
        let path = format!(
            "/v1/operator/proposals/{}/accept",
            proposed.json()["proposal"].as_str().unwrap()
        );
        let accepted = self.client.post(&path, "owner:ada", &[], "").await;
        assert_eq!(accepted.status, StatusCode::OK, "{:?}", accepted.body);
    }

    /// Waits until an upstream can be used.
    pub(crate) async fn wait_for_upstream(&self) {
        wait_until("an upstream is live", || async {
            let state = self.client.get("/debug/state", "operator:nia").await.json();
            state["routing"]["upstreams"]
                .as_array()
                .unwrap()
                .iter()
                .any(|upstream| upstream["live"] == true)
        })
        .await;
    }
}
