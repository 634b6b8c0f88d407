use arbutuspick_model::{AccountName, ClockTime, RefusalReason, ServiceName};
use serde::{Deserialize, Serialize};

/// A request that asks for a place in the wait queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueTicket<Waiter> {
    /// Client account.
    pub account: AccountName,
    /// Weight of the account, from 1.
    pub weight: u32,
    /// Service that the request is for.
    pub service: ServiceName,
    /// Time after which it must not start.
    pub deadline: ClockTime,
    /// Handle by which the waiting request is resumed.
    pub waiter: Waiter,
}

/// Identifies a request in the wait queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TicketId(pub(crate) u64);

/// A request that left the wait queue without being started, to be told "not run".
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueRefusal<Waiter> {
    /// Handle of the request.
    pub waiter: Waiter,
    /// Why.
    pub reason: RefusalReason,
}
