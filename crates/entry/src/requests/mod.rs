//! Requests to services: routing to upstreams, and claims of idempotency keys.

mod claim_board;
mod claim_entry;
mod keyed_request;
mod recorded_answer;
mod request_router;
mod upstream_clients;
mod upstream_exchange;

pub(crate) use claim_board::ClaimBoard;
pub(crate) use keyed_request::{KeyedEnd, run_keyed};
pub(crate) use recorded_answer::{ReplayFault, fetch_checked};
pub(crate) use request_router::{RequestRouter, RouteEnd, RouteRequest, refuse_all};
pub(crate) use upstream_exchange::is_leaving;
