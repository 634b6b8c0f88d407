//! HTTP API for callers and operators.

mod api_body;
mod api_error;
mod caller_identity;
mod centre_routes;
mod debug_routes;
mod decision_routes;
mod job_routes;
mod operator_routes;
mod pool_routes;
mod proposal_routes;
mod request_headers;
mod request_scope;
mod service_routes;

use std::sync::Arc;

use axum::Router;
use axum::middleware::from_fn;
use axum::routing::{get, post};

pub(crate) use api_body::ApiBody;
pub(crate) use api_error::ApiError;
pub(crate) use caller_identity::{
    AccountCaller, AnyCaller, AuthenticatedCaller, OperatorCaller, OwnerCaller, StaffCaller,
};
pub(crate) use request_headers::{header_value, idempotency_key, parse_query_millis};
pub(crate) use request_scope::{
    OUTCOME_HEADER, REQUEST_ID_HEADER, caller_request_id, current_request_id, in_current_request,
    request_scope,
};

use crate::daemon::EntryContext;

/// State that all handlers share.
pub(crate) type SharedContext = Arc<EntryContext>;

/// Returns the router of the API.
pub(crate) fn api_router(context: SharedContext) -> Router {
    let jobs = Router::new()
        .route("/v1/jobs", post(job_routes::submit))
        .route(
            "/v1/jobs/{id}",
            get(job_routes::status).delete(job_routes::cancel),
        )
        .route("/v1/jobs/{id}/wait", get(job_routes::wait))
        .route("/v1/jobs/{id}/result", get(job_routes::result))
        .route("/v1/services/{service}/requests", post(service_routes::request))
        .route("/v1/pool", get(pool_routes::pool));
    let operator = Router::new()
        .route("/v1/operator/data-centres", get(centre_routes::list))
        .route("/v1/operator/data-centres/{dc}", get(centre_routes::show))
        .route(
            "/v1/operator/data-centres/{dc}/out",
            post(centre_routes::order_out),
        )
        .route("/v1/operator/data-centres/{dc}/in", post(centre_routes::order_in))
        .route("/v1/operator/workers", get(operator_routes::workers))
        .route("/v1/operator/accounts", get(operator_routes::accounts))
        .route("/v1/operator/turn", get(decision_routes::turn))
        .route("/v1/operator/questionnaires", post(proposal_routes::propose))
        .route("/v1/operator/proposals/{id}", get(proposal_routes::show))
        .route(
            "/v1/operator/proposals/{id}/accept",
            post(decision_routes::accept),
        )
        .route(
            "/v1/operator/proposals/{id}/reject",
            post(decision_routes::reject),
        );
    let process = Router::new()
        .route("/readyz", get(debug_routes::ready))
        .route("/livez", get(debug_routes::live))
        .route("/metrics", get(debug_routes::metrics))
        .route("/debug/state", get(debug_routes::state));
    jobs.merge(operator)
        .merge(process)
        .with_state(context)
        .layer(from_fn(request_scope))
}
