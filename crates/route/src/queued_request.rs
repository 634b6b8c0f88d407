use arbutuspick_model::{AccountName, ClockTime, RefusalReason, ServiceName};
use serde::{Deserialize, Serialize};

/// A request to be added to the wait queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest<Waiter> {
    /// Client account.
    pub account: AccountName,
    /// Weight of the account, at least 1.
    pub weight: u32,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Time from which it must no longer be started.
    pub deadline: ClockTime,
    /// Handle through which the waiting request is resumed.
    pub waiter: Waiter,
}

/// Identifies a request in the wait queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct QueuedRequestId(pub(crate) u64);

/// A request that was refused by the wait queue; its caller has to be notified that it was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRefusal<Waiter> {
    /// Handle through which the caller is notified.
    pub waiter: Waiter,
    /// Reason of the refusal.
    pub reason: RefusalReason,
}
