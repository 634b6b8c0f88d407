use arbutuspick_model::{OwnerName, PlatformTime, WriteId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::versioned::encode;
use crate::{CalendarMonth, PlannedChange, RowKey, RowVersion, TableTransaction, Versioned};

/// Row `turn`: the current month and the owner who decides on proposals in it.
///
/// ```
/// use arbutuspick_model::{OwnerName, PlatformTime, WriteId};
/// use arbutuspick_records::TurnRecord;
/// let rotation = vec![OwnerName::try_from("association")?, OwnerName::try_from("copa-viva")?];
/// let turn = TurnRecord::begin(rotation, PlatformTime(0), WriteId::generate()).unwrap().record;
/// assert_eq!((turn.month.to_string().as_str(), turn.owner.as_str()), ("1970-01", "association"));
/// # Ok::<(), arbutuspick_model::FieldError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnRecord {
    /// Month.
    pub month: CalendarMonth,
    /// Owner of the month.
    pub owner: OwnerName,
    /// Owners in the order of their months.
    pub rotation: Vec<OwnerName>,
    /// Transaction that wrote the row.
    pub write_id: WriteId,
}

/// Reason why a change of the turn is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(module, visibility(pub(crate)))]
pub enum TurnError {
    /// The month is not over.
    #[snafu(display("month {month} of owner {owner} is not over"))]
    NotOver {
        /// Month.
        month: CalendarMonth,
        /// Its owner.
        owner: OwnerName,
    },
    /// The rotation is empty.
    #[snafu(display("rotation must have at least one owner"))]
    EmptyRotation,
}

impl TurnRecord {
    /// Plans the first turn, with the first owner of the rotation.
    pub fn begin(
        rotation: Vec<OwnerName>,
        now: PlatformTime,
        write_id: WriteId,
    ) -> Result<PlannedChange<Self>, TurnError> {
        let Some(owner) = rotation.first().cloned() else {
            return turn_error::EmptyRotationSnafu.fail();
        };
        let record = Self {
            month: CalendarMonth::of(now),
            owner,
            rotation,
            write_id,
        };
        Ok(record.planned(RowVersion::ABSENT))
    }

    /// Returns whether the month has ended, so that the turn must be advanced.
    pub fn is_over(&self, now: PlatformTime) -> bool {
        CalendarMonth::of(now) > self.month
    }

    /// Returns the next owner in the rotation, or the first one if the current owner is not in it.
    fn next_owner(&self) -> &OwnerName {
        let Self { owner, rotation, .. } = self;
        let next = rotation
            .iter()
            .position(|name| name == owner)
            .map_or(0, |index| (index + 1) % rotation.len());
        rotation.get(next).unwrap_or(owner)
    }

    fn planned(self, version: RowVersion) -> PlannedChange<Self> {
        PlannedChange {
            transaction: TableTransaction::new(self.write_id)
                .check(RowKey::Turn, version)
                .put(RowKey::Turn, encode(&self)),
            record: self,
        }
    }
}

impl Versioned<TurnRecord> {
    /// Plans to advance the turn by one month; fails while the month is not over.
    pub fn advance(
        &self,
        now: PlatformTime,
        write_id: WriteId,
    ) -> Result<PlannedChange<TurnRecord>, TurnError> {
        let TurnRecord { month, owner, .. } = &self.record;
        snafu::ensure!(
            self.record.is_over(now),
            turn_error::NotOverSnafu {
                month: *month,
                owner: owner.clone()
            }
        );
        let record = TurnRecord {
            month: month.next(),
            owner: self.record.next_owner().clone(),
            write_id,
            ..self.record.clone()
        };
        Ok(record.planned(self.version))
    }
}
