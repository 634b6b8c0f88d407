use arbutuspick_model::{OwnerName, PlatformTime, WriteId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::versioned::encode;
use crate::{CalendarMonth, PlannedChange, RowKey, RowVersion, TableTransaction, Versioned};

/// Row `turn`: the month and the owner who decides in it.
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

/// A change of the turn that its record does not allow.
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
    /// A rotation needs an owner.
    #[snafu(display("rotation must have at least one owner"))]
    EmptyRotation,
}

impl TurnRecord {
    /// Plans the first turn, which goes to the first owner of the rotation.
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

    /// Returns whether platform time is past the month, so that the turn must be advanced.
    pub fn is_over(&self, now: PlatformTime) -> bool {
        CalendarMonth::of(now) > self.month
    }

    /// Returns the owner who follows; the first of the rotation when the present one is not in it.
    fn next_owner(&self) -> &OwnerName {
        let Self { owner, rotation, .. } = self;
        let following = rotation
            .iter()
            .position(|name| name == owner)
            .map_or(0, |index| (index + 1) % rotation.len());
        rotation.get(following).unwrap_or(owner)
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
    /// Plans to advance the turn by one month, and only when the month is over.
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
