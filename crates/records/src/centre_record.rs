use std::sync::Arc;

use arbutuspick_model::{CentreName, CentreState, OrderNumber, PlatformTime, WriteId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::versioned::encode;
use crate::{
    CentreEvent, CentreLifecycle, HolderGuard, PlannedChange, RowKey, TableTransaction, TransitionError,
    Versioned,
};

/// Maximum time after the commit of an order in which tasks may still start, in milliseconds.
pub const START_PERMIT_MS: u64 = 2_000;

/// Row `dc/{dc}`: latest order of an operator for a data centre, and its progress.
///
/// Without the row, the data centre is in service.
///
/// ```
/// use arbutuspick_model::{CentreName, OrderNumber, PlatformTime, WriteId};
/// use arbutuspick_records::{CentreOrder, CentreRecord, OrderKind};
/// let order = CentreOrder {
///     data_centre: CentreName::try_from("trent")?,
///     kind: OrderKind::Out { drain_deadline: PlatformTime(60_000) },
///     based_on: OrderNumber(0),
///     operator: "operator-1".into(),
///     now: PlatformTime(0),
/// };
/// let change = CentreRecord::order(None, order, WriteId::generate()).unwrap();
/// assert!(!change.record.permits_start());
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreRecord {
    /// State.
    pub state: CentreState,
    /// Number of the last order, 0 before the first.
    pub order: OrderNumber,
    /// Operator who gave the order.
    pub operator: Arc<str>,
    /// Platform time at which the order was planned, shortly before its commit.
    pub ordered_at: PlatformTime,
    /// Time at which running work is stopped; present while the data centre is leaving or out.
    pub drain_deadline: Option<PlatformTime>,
    /// Transaction that wrote the row.
    pub write_id: WriteId,
}

/// Kind of an operator's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum OrderKind {
    /// Take the data centre out of service.
    Out {
        /// Time at which work that still runs is stopped.
        drain_deadline: PlatformTime,
    },
    /// Bring the data centre back into service.
    In,
}

/// An order of an operator for a data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CentreOrder {
    /// Data centre.
    pub data_centre: CentreName,
    /// Kind of the order.
    pub kind: OrderKind,
    /// Number of the latest order that the operator has seen, 0 for none.
    pub based_on: OrderNumber,
    /// Operator.
    pub operator: Arc<str>,
    /// Current platform time.
    pub now: PlatformTime,
}

/// Reason why a change of a data centre's row is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(module, visibility(pub(crate)))]
pub enum OrderError {
    /// Another order was committed first.
    #[snafu(display("order {} of operator {} came first", current.order, current.operator))]
    Superseded {
        /// The order in force.
        current: Box<CentreRecord>,
    },
    /// The state does not allow the change.
    #[snafu(transparent)]
    Transition {
        /// Refused transition.
        source: TransitionError,
    },
    /// The drain deadline has already passed.
    #[snafu(display("drain deadline {drain_deadline} must not be before {now}"))]
    DeadlinePassed {
        /// Drain deadline.
        drain_deadline: PlatformTime,
        /// Current platform time.
        now: PlatformTime,
    },
}

/// Returns the time from which no task starts, given the platform time of the response to the commit.
pub fn in_force_at(committed_at: PlatformTime) -> PlatformTime {
    committed_at + START_PERMIT_MS
}

impl Default for CentreRecord {
    /// Returns the record that an absent row represents.
    fn default() -> Self {
        Self {
            state: CentreState::In,
            order: OrderNumber::default(),
            operator: "".into(),
            ordered_at: PlatformTime::default(),
            drain_deadline: None,
            write_id: WriteId(uuid::Uuid::nil()),
        }
    }
}

impl CentreRecord {
    /// Returns whether tasks may start in the data centre.
    pub fn permits_start(&self) -> bool {
        matches!(self.state, CentreState::In | CentreState::Returning)
    }

    /// Plans an order on the row, if it exists; fails if the operator has not seen the latest order.
    pub fn order(
        row: Option<&Versioned<Self>>,
        order: CentreOrder,
        write_id: WriteId,
    ) -> Result<PlannedChange<Self>, OrderError> {
        let CentreOrder {
            data_centre,
            kind,
            based_on,
            operator,
            now,
        } = order;
        let current = row.map_or_else(Self::default, |row| row.record.clone());
        if current.order != based_on {
            let current = Box::new(current);
            return order_error::SupersededSnafu { current }.fail();
        }
        let (event, drain_deadline) = match kind {
            OrderKind::Out { drain_deadline } => (CentreEvent::OrderOut, Some(drain_deadline)),
            OrderKind::In => (CentreEvent::OrderIn, None),
        };
        check_deadline(drain_deadline, now)?;
        let record = Self {
            state: CentreLifecycle::default().next(current.state, event)?,
            order: based_on.next(),
            operator,
            ordered_at: now,
            drain_deadline,
            write_id,
        };
        let transaction = TableTransaction::new(write_id);
        Ok(record.planned(&data_centre, row, transaction))
    }

    fn planned(
        self,
        data_centre: &CentreName,
        row: Option<&Versioned<Self>>,
        transaction: TableTransaction,
    ) -> PlannedChange<Self> {
        let key = RowKey::Centre(data_centre.clone());
        PlannedChange {
            transaction: transaction
                .check(&key, Versioned::version_of(row))
                .put(&key, encode(&self)),
            record: self,
        }
    }
}

impl Versioned<CentreRecord> {
    /// Plans to record that no work is running in a data centre that is leaving.
    pub fn record_drained(
        &self,
        guard: &HolderGuard,
        write_id: WriteId,
    ) -> Result<PlannedChange<CentreRecord>, TransitionError> {
        self.apply_progress(CentreEvent::Drained, guard, write_id)
    }

    /// Plans to record that a returning data centre uses all its workers.
    pub fn record_ramped_up(
        &self,
        guard: &HolderGuard,
        write_id: WriteId,
    ) -> Result<PlannedChange<CentreRecord>, TransitionError> {
        self.apply_progress(CentreEvent::RampedUp, guard, write_id)
    }

    /// Applies an event and keeps the order number, so that an operator's next order is still based on the
    /// last order.
    fn apply_progress(
        &self,
        event: CentreEvent,
        guard: &HolderGuard,
        write_id: WriteId,
    ) -> Result<PlannedChange<CentreRecord>, TransitionError> {
        let record = CentreRecord {
            state: CentreLifecycle::default().next(self.record.state, event)?,
            write_id,
            ..self.record.clone()
        };
        let transaction = guard.add_check(TableTransaction::new(write_id));
        Ok(record.planned(&guard.data_centre, Some(self), transaction))
    }
}

fn check_deadline(drain_deadline: Option<PlatformTime>, now: PlatformTime) -> Result<(), OrderError> {
    match drain_deadline {
        Some(drain_deadline) if drain_deadline < now => {
            order_error::DeadlinePassedSnafu { drain_deadline, now }.fail()
        }
        _ => Ok(()),
    }
}
