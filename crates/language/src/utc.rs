//! Formatting of Unix times.

use std::fmt::{Display, Formatter, Result};

const SECONDS_PER_DAY: u64 = 86_400;

/// Unix time in milliseconds, displayed as `2026-12-04 10:01:22 UTC`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UtcTime(pub u64);

impl Display for UtcTime {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let seconds = self.0 / 1_000;
        let (year, month, day) = civil_date(seconds / SECONDS_PER_DAY);
        let (hour, minute, second) = (seconds / 3_600 % 24, seconds / 60 % 60, seconds % 60);
        write!(
            f,
            "{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02} UTC"
        )
    }
}

/// Converts days since 1970-01-01 to year, month and day of the proleptic Gregorian calendar. The
/// intermediate values count years from 1 March, so that the leap day is the last day of a year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    const DAYS_TO_1970: u64 = 719_468;
    const DAYS_PER_ERA: u64 = 146_097;
    let days = days + DAYS_TO_1970;
    let (era, day_of_era) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let leap_days = day_of_era / 1_460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let months_since_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * months_since_march + 2) / 5 + 1;
    let month = if months_since_march < 10 {
        months_since_march + 3
    } else {
        months_since_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
