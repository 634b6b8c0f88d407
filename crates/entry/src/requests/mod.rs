//! Requests to services: routing to upstreams, and claims of idempotency keys.

mod claim_entry;
mod claim_registry;
mod keyed_request;
mod recorded_response;
mod request_router;
mod upstream_clients;
mod upstream_outcome;

pub(crate) use claim_registry::ClaimRegistry;
pub(crate) use keyed_request::{KeyedOutcome, run_keyed};
pub(crate) use recorded_response::{ObjectError, fetch_verified};
pub(crate) use request_router::{RequestRouter, RouteOutcome, ServiceRequest, refuse_all};
pub(crate) use upstream_outcome::is_leaving;
