use axum::Json;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::IntoResponse;
use serde_json::{Value, json};

use super::{ApiError, OperatorCaller, SharedContext};
use crate::daemon::StopPhase;

/// `GET /readyz`
pub(super) async fn ready(State(context): State<SharedContext>) -> Result<Json<Value>, ApiError> {
    let phase = context.stop.phase();
    let message = if phase != StopPhase::Serving {
        "the entry VM is stopping"
    } else if !context.config.is_ready() {
        "the configuration was not read yet"
    } else {
        return Ok(Json(json!({"ready": true})));
    };
    Err(ApiError::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "not_ready",
        message,
    ))
}

/// `GET /livez`
pub(super) async fn live() -> Json<Value> {
    Json(json!({"live": true}))
}

/// `GET /metrics`
pub(super) async fn metrics(State(context): State<SharedContext>) -> impl IntoResponse {
    context.metrics.run_upkeep();
    metrics::gauge!("arbutuspick_queue_length").set(context.router.queue.len() as f64);
    metrics::gauge!("arbutuspick_claims").set(context.claims.len() as f64);
    metrics::gauge!("arbutuspick_config_revision").set(context.config.revision().0 as f64);
    (
        [(header::CONTENT_TYPE, "text/plain; version=0.0.4")],
        context.metrics.render(),
    )
}

/// `GET /debug/state`
pub(super) async fn state(State(context): State<SharedContext>, _: OperatorCaller) -> Json<Value> {
    let now = context.clock.now();
    let peers = context.peers.peers();
    let connected = context.peers.connected_peers();
    Json(json!({
        "process": context.identity,
        "now": now,
        "platform_time": context.table.platform_time(),
        "phase": format!("{:?}", context.stop.phase()),
        "config": *context.config.load(),
        "config_ready": context.config.is_ready(),
        "routing": context.router.routing.state(now),
        "queue": context.router.queue.state(),
        "retries_left": context.router.budget.available(),
        "claims": context.claims.len(),
        "waiters_left": context.waiters.available_permits(),
        "peers": peers.iter().map(|peer| json!({
            "vm": peer.vm,
            "data_centre": peer.data_centre,
            "address": peer.address,
            "connected": connected.contains(peer),
        })).collect::<Vec<_>>(),
        "holder": context.holder.dump().await,
    }))
}
