//! HTTP clients and JSON bodies for the table, the object store, the VM list, workers and upstreams.
//!
//! - The table serves `POST /v1/table/transact`
//!   ([`TableTransaction`](arbutuspick_records::TableTransaction)), `POST /v1/table/read` and
//!   `POST /v1/table/scan`, and responds with a [`TableResponse`](arbutuspick_records::TableResponse).
//! - The object store serves `PUT`, `GET` and `DELETE /v1/objects/{key}`; a body is the bytes of the object.
//! - The VM list is `GET /v1/vms`.
//! - The paths that a worker serves are given at the request types.
//!
//! The table, the object store and the VM list are the services of the platform; their clients limit the rate
//! of calls and back off after failures.
//!
//! The error of a failed call says whether the call may have had an effect ([`CallError`]).

mod back_off;
mod call_error;
mod call_limiter;
mod call_priority;
mod client_options;
mod http_client;
mod json_call;
mod limited_client;
mod object_client;
mod process_clock;
mod table_client;
mod table_commit;
mod token_bucket;
mod upstream_client;
mod vm_api;
mod vm_client;
mod worker_api;
mod worker_client;

pub use call_error::CallError;
pub use call_priority::CallPriority;
pub use client_options::ClientOptions;
pub use http_client::{ConnectionId, HttpClient, HttpResponse};
pub use object_client::ObjectClient;
pub use process_clock::ProcessClock;
pub use table_client::TableClient;
pub use table_commit::{TransactionOutcome, commit_transaction};
pub use upstream_client::{UpstreamClient, UpstreamRequest, UpstreamResponse};
pub use vm_api::{VmEntry, VmList, VmRole};
pub use vm_client::VmClient;
pub use worker_api::{
    AttemptRequest, EpochRequest, LeaseExtension, MemberAllocation, MemberResult, PartState, PartStatus,
    PrepareRequest, RefusalBody, RenewRequest, StartRequest, WorkerRefusal, WorkerStatus,
};
pub use worker_client::{WorkerClient, WorkerResponse};
