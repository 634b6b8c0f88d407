//! Validated types of the scheduler: names, ids, times, shapes, jobs, outcomes and configuration.
//!
//! Raw input is validated with `TryFrom` or `check`; a [`FieldError`] names the field, its value and the
//! violated rule. The crate performs no I/O.

mod centre_state;
mod clock;
mod config;
mod field_error;
mod id;
mod job;
mod name;
mod outcome;
mod shape;

pub use centre_state::CentreState;
pub use clock::{ClockTime, PlatformTime, WorkerTime};
pub use config::{AccountConfig, CellGuarantee, ConfigChange, PoolConfig};
pub use field_error::FieldError;
pub use id::{
    AttemptNumber, CallerKey, ConfigRevision, JobId, LeaseEpoch, MAX_KEY_BYTES, OrderNumber, WriteId,
};
pub use job::{JobClass, JobSpec, MAX_PAYLOAD_BYTES};
pub use name::{
    AccountName, CentreName, MAX_NAME_BYTES, OwnerName, RackName, ServiceName, UpstreamName, VmName,
    WorkerName,
};
pub use outcome::{FinalOutcome, RefusalReason, ResultRef, UnknownReason};
pub use shape::{
    CellLevel, GangAdjacency, GangShape, MAX_GANG_TASKS, RACK_WORKERS, WORKER_ACCELERATORS, WorkerCapacity,
};
