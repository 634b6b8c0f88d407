//! JSON types and HTTP clients of the platform's services, workers and upstreams.
//!
//! The table answers `POST /v1/table/transact` ([`TableTransaction`](arbutuspick_records::TableTransaction)),
//! `POST /v1/table/read` and `POST /v1/table/scan` with a [`TableAnswer`](arbutuspick_records::TableAnswer);
//! the object store `PUT`, `GET` and `DELETE /v1/objects/{key}` with the bytes of the object; the list of VMs
//! `GET /v1/vms`. A worker answers the calls named at the request types.

mod vm_api;
mod worker_api;

pub use vm_api::{VmEntry, VmList, VmRole};
pub use worker_api::{
    AttemptRequest, EpochRequest, LeaseExtension, MemberPart, MemberResult, PartState, PartStatus,
    PrepareRequest, RefusalBody, RenewRequest, StartRequest, WorkerRefusal, WorkerStatus,
};
