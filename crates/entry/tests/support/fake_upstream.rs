use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use arbutuspick_clients::{VmEntry, VmRole};
use arbutuspick_model::{CentreName, ServiceName};
use axum::Router;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use bytes::Bytes;
use tokio::sync::Semaphore;

/// How the upstream handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum UpstreamMode {
    #[default]
    Echo,
    /// Refuses requests as not run.
    Full,
    /// Runs the request and closes the connection without a response.
    Close,
}

/// An upstream that records what it ran. A run needs a permit of the gate until it ends.
#[derive(Clone)]
pub(crate) struct FakeUpstream {
    pub(crate) address: SocketAddr,
    pub(crate) gate: Arc<Semaphore>,
    pub(crate) state: Arc<Mutex<UpstreamState>>,
}

#[derive(Debug, Default)]
pub(crate) struct UpstreamState {
    pub(crate) mode: UpstreamMode,
    pub(crate) runs: Vec<Bytes>,
    pub(crate) last_headers: HeaderMap,
}

impl FakeUpstream {
    /// Starts an upstream whose gate has 10 000 permits.
    pub(crate) async fn start() -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let gate = Arc::new(Semaphore::new(10_000));
        let upstream = Self {
            address,
            gate,
            state: Arc::default(),
        };
        let router = Router::new()
            .route("/health", get(|| async { "" }))
            .route("/", post(run))
            .with_state(upstream.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        upstream
    }

    pub(crate) fn vm(&self, name: &str, centre: &str) -> VmEntry {
        VmEntry {
            name: name.into(),
            role: VmRole::Upstream,
            data_centre: CentreName::try_from(centre).unwrap(),
            address: self.address,
            leaving: false,
            service: Some(ServiceName::try_from("booking").unwrap()),
            rack: None,
            capacity: None,
        }
    }

    pub(crate) fn set_mode(&self, mode: UpstreamMode) {
        self.state.lock().unwrap().mode = mode;
    }

    pub(crate) fn runs(&self) -> usize {
        self.state.lock().unwrap().runs.len()
    }
}

async fn run(State(upstream): State<FakeUpstream>, headers: HeaderMap, body: Bytes) -> Response {
    let mode = {
        let mut state = upstream.state.lock().unwrap();
        if state.mode != UpstreamMode::Full {
            state.runs.push(body.clone());
            state.last_headers = headers;
        }
        state.mode
    };
    match mode {
        UpstreamMode::Full => (
            StatusCode::SERVICE_UNAVAILABLE,
            [("x-outcome", "not-run")],
            "full",
        )
            .into_response(),
        // A panic in the handler closes the connection.
        UpstreamMode::Close => std::panic::resume_unwind(Box::new("closed by the test")),
        UpstreamMode::Echo => {
            let _permit = upstream.gate.acquire().await.unwrap();
            (
                StatusCode::CREATED,
                [("content-type", "application/x-echo")],
                body,
            )
                .into_response()
        }
    }
}
