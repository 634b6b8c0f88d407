use std::fmt;

use arbutuspick_model::{FieldError, PlatformTime};
use serde::{Deserialize, Serialize};

const MILLIS_PER_DAY: u64 = 24 * 60 * 60 * 1000;
const LAST_YEAR: u16 = 9999;

/// Month of the Gregorian calendar in UTC, written as `2026-12`.
///
/// ```
/// use arbutuspick_model::PlatformTime;
/// use arbutuspick_records::CalendarMonth;
/// let month = CalendarMonth::of(PlatformTime(1_796_083_200_000));
/// assert_eq!(month.to_string(), "2026-12");
/// assert_eq!(month.next().to_string(), "2027-01");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CalendarMonth {
    /// Year, from 1970 to 9999.
    pub year: u16,
    /// Month, from 1 to 12.
    pub month: u8,
}

impl CalendarMonth {
    /// Returns the month that contains a time, or 9999-12 for later times.
    pub fn of(time: PlatformTime) -> Self {
        let (year, month, _) = civil_from_days(time.0 / MILLIS_PER_DAY);
        if year > u64::from(LAST_YEAR) {
            return Self {
                year: LAST_YEAR,
                month: 12,
            };
        }
        Self {
            year: year as u16,
            month,
        }
    }

    /// Returns the following month.
    #[must_use]
    pub fn next(self) -> Self {
        let Self { year, month } = self;
        if month == 12 {
            return Self {
                year: year + 1,
                month: 1,
            };
        }
        Self {
            year,
            month: month + 1,
        }
    }
}

impl fmt::Display for CalendarMonth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04}-{:02}", self.year, self.month)
    }
}

impl TryFrom<&str> for CalendarMonth {
    type Error = FieldError;
    fn try_from(value: &str) -> Result<Self, FieldError> {
        let error = || FieldError::new("month", value, "must be a month from 1970-01 to 9999-12");
        let (year, month) = value.split_once('-').ok_or_else(error)?;
        let year: u16 = year.parse().map_err(|_| error())?;
        let month: u8 = month.parse().map_err(|_| error())?;
        let parsed = Self { year, month };
        let in_range = (1970..=LAST_YEAR).contains(&year) && (1..=12).contains(&month);
        if in_range && parsed.to_string() == value {
            return Ok(parsed);
        }
        Err(error())
    }
}

impl TryFrom<String> for CalendarMonth {
    type Error = FieldError;
    fn try_from(value: String) -> Result<Self, FieldError> {
        Self::try_from(value.as_str())
    }
}

impl From<CalendarMonth> for String {
    fn from(month: CalendarMonth) -> Self {
        month.to_string()
    }
}

/// Converts days since 1970-01-01 to year, month and day of the Gregorian calendar.
///
/// Implements `civil_from_days` from Howard Hinnant, "chrono-Compatible Low-Level Date Algorithms", for
/// non-negative days. Internally years begin in March, so that the leap day is the last day of a year.
pub fn civil_from_days(days: u64) -> (u64, u8, u8) {
    const DAYS_TO_EPOCH: u64 = 719_468; // 0000-03-01 to 1970-01-01.
    const DAYS_PER_ERA: u64 = 146_097; // 400 years.
    let shifted = days + DAYS_TO_EPOCH;
    let era = shifted / DAYS_PER_ERA;
    let day_of_era = shifted % DAYS_PER_ERA;
    let year_of_era = (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let march_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 {
        march_month + 3
    } else {
        march_month - 9
    };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month as u8, day as u8)
}
