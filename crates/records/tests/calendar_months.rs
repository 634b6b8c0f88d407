//! Guards against a month that begins or ends on the wrong day, so that the wrong owner decides.

use arbutuspick_model::PlatformTime;
use arbutuspick_records::{CalendarMonth, civil_from_days};

fn days_in_month(year: u64, month: u8) -> u8 {
    let leap = year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    match month {
        4 | 6 | 9 | 11 => 30,
        2 if leap => 29,
        2 => 28,
        _ => 31,
    }
}

/// Compares every day from 1970 to 2400 with a count by the Gregorian leap-year rules.
#[test]
fn every_day() {
    let mut days = 0;
    for year in 1970..=2400 {
        for month in 1..=12 {
            for day in 1..=days_in_month(year, month) {
                assert_eq!(civil_from_days(days), (year, month, day), "day {days}");
                days += 1;
            }
        }
    }
}

#[yare::parameterized(
    epoch = { 0, "1970-01" },
    before_leap_day = { 951_782_399_999, "2000-02" },
    after_leap_day = { 951_868_800_000, "2000-03" },
    year_end = { 1_798_761_599_999, "2026-12" },
    new_year = { 1_798_761_600_000, "2027-01" },
    far_future = { u64::MAX, "9999-12" },
)]
fn month_of(millis: u64, month: &str) {
    assert_eq!(CalendarMonth::of(PlatformTime(millis)).to_string(), month);
}

#[yare::parameterized(
    no_dash = { "202612" },
    month_zero = { "2026-00" },
    month_13 = { "2026-13" },
    unpadded = { "2026-1" },
    signed = { "+026-01" },
    early = { "1969-12" },
    trailing = { "2026-12-01" },
)]
fn bad_month(text: &str) {
    assert!(CalendarMonth::try_from(text).is_err());
}

#[test]
fn text_order() {
    let month = |text| CalendarMonth::try_from(text).unwrap();
    assert!(month("2026-12") < month("2027-01"));
    assert_eq!(month("2026-12").next(), month("2027-01"));
    assert_eq!(serde_json::to_string(&month("2026-02")).unwrap(), "\"2026-02\"");
}
