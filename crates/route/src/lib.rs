//! Request routing: upstream selection, concurrency limits, retries, ejection and load shedding.
//!
//! The crate performs no I/O and reads no clock; callers pass `now`. `RoutingTable` selects upstreams,
//! `FairQueue` holds requests that wait for a slot, and `RequestLifecycle` tracks one request until its
//! outcome is decided.
//!
//! An entry VM receives the requests of client accounts and sends each to an upstream, an instance of the
//! requested service. A slot is the right to have one request in flight at an upstream. An upstream is live
//! if it was heard from recently, is not leaving, and its data centre is open. A live upstream that fails
//! repeatedly is ejected, that is, it receives no requests except probes until it is readmitted.

mod account_shares;
mod acquire_error;
mod attempt_result;
mod candidate_group;
mod ejection_timer;
mod fair_queue;
mod lifecycle_machine;
mod list_merger;
mod queued_request;
mod random_source;
mod request_kind;
mod request_lifecycle;
mod request_outcome;
mod retry_budget;
mod route_snapshot;
mod routing_options;
mod routing_table;
mod slot_counter;
mod slot_permit;
mod table_state;
mod upstream_entry;
mod upstream_state;

pub use acquire_error::AcquireError;
pub use attempt_result::AttemptResult;
pub use fair_queue::{FairQueue, PopResult, PushResult, QUEUE_BOUND, QueueState};
pub use queued_request::{QueueRefusal, QueuedRequest, QueuedRequestId};
pub use request_kind::RequestKind;
pub use request_lifecycle::{NextAction, RequestAttempt, RequestEvent, RequestLifecycle};
pub use request_outcome::RequestOutcome;
pub use retry_budget::{MAX_REQUEST_RETRIES, RetryBudget};
pub use routing_options::{MAX_UPSTREAM_LIMIT, RoutingOptions, UPSTREAM_CONNECTIONS};
pub use routing_table::RoutingTable;
pub use slot_permit::SlotPermit;
pub use table_state::{TableState, UpstreamReport};
pub use upstream_entry::UpstreamEntry;
