//! The specification of a planning window, its validation, and the times at which its instances open and close.
//!
//! An instance is identified by its day: the local date of its opening, in days since 1970-01-01. Local dates are
//! computed from a fixed offset from UTC. There is no time zone database, so a change to or from daylight saving time
//! requires a new specification.

use chrono::{Datelike, NaiveDate, NaiveTime, Timelike, Weekday};
use serde::{Deserialize, Serialize};

use crate::declarations::{KnownNames, SpecError};
use crate::jobs::is_valid_job_id;

/// Days since 1970-01-01, in the window's offset from UTC.
pub type Day = i32;

const DAY_MS: i64 = 24 * 3600 * 1000;
const MINUTE_MS: i64 = 60_000;
/// 1970-01-01 in the day count of chrono, in which 0001-01-01 is day 1.
const UNIX_EPOCH_DAYS_FROM_CE: i32 = 719_163;

/// Maximum number of turns of one instance: the claims of all turns have to fit in a status.
pub const MAX_TURNS: u32 = 32;
/// Maximum number of job classes of a window.
const MAX_CLASSES: usize = 16;
/// Maximum length of an entry of `turns`, in bytes.
const MAX_TURN_LENGTH: usize = 64;
/// Maximum cores of a window whose team has no limit.
const MAX_CORES: f64 = 1e6;
/// The offsets from UTC that are in use, in minutes.
const UTC_OFFSETS_MIN: std::ops::RangeInclusive<i32> = -720..=840;
/// Maximum of `early_s`. As an instance lasts at most a day, only the instances of two days can contain a given time.
const MAX_EARLY_S: u32 = 12 * 3600;
/// Maximum of `room_s`.
const MAX_ROOM_S: u32 = 12 * 3600;

fn default_jobs() -> u32 {
    1
}

fn default_room_s() -> u32 {
    600
}

/// The specification of a planning window, as operators declare it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowSpec {
    /// The team whose jobs belong to the window.
    pub team: String,
    /// The job classes that may claim turns.
    pub classes: Vec<String>,
    /// The local time of day at which the window opens, as `06:00`.
    pub opens: String,
    /// The local time of day at which the window closes, as `08:00`.
    pub closes: String,
    /// Whether the window closes on the day after its opening.
    #[serde(default)]
    pub closes_next_day: bool,
    /// The weekdays on which the window opens, as `mon`. Without days and date it opens daily.
    #[serde(default)]
    pub days: Option<Vec<String>>,
    /// The only date on which the window opens, as `2026-12-24`.
    #[serde(default)]
    pub date: Option<String>,
    /// Offset of local time from UTC in minutes, positive east of Greenwich.
    #[serde(default)]
    pub utc_offset_min: i32,
    /// Number of jobs that have to be done by the closing.
    #[serde(default = "default_jobs")]
    pub jobs: u32,
    /// Total cores that the jobs use concurrently; 0 for the usage of the last claimed instance.
    #[serde(default)]
    pub cores: f64,
    /// Estimated run time of one job in seconds; 0 for the estimate of the last claimed instance's job.
    #[serde(default)]
    pub estimate_s: f64,
    /// Job ids or classes in the order of their turns. Further jobs take turns in the order of their acceptance.
    #[serde(default)]
    pub turns: Vec<String>,
    /// Jobs accepted up to this many seconds before the opening also belong to the instance and wait for its opening.
    #[serde(default)]
    pub early_s: u32,
    /// For this many seconds after the opening, capacity is reserved for unclaimed turns.
    #[serde(default = "default_room_s")]
    pub room_s: u32,
    /// The date up to which an operator has confirmed missed instances.
    #[serde(default)]
    pub confirmed: Option<String>,
    /// When the window was declared, by the operator's wall clock. Instances that closed earlier do not belong to it.
    #[serde(default)]
    pub declared_ms: Option<u64>,
}

/// The times of one instance, in ms since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceSpan {
    /// The local date of the opening, which identifies the instance.
    pub day: Day,
    /// When the instance opens.
    pub opens_ms: u64,
    /// When the instance closes.
    pub closes_ms: u64,
}

/// Parses a time of day such as `06:00` or `06:00:30` into ms since midnight.
fn parse_time_ms(text: &str) -> Option<i64> {
    let time = NaiveTime::parse_from_str(text, "%H:%M").or_else(|_| NaiveTime::parse_from_str(text, "%H:%M:%S"));
    time.ok().map(|t| i64::from(t.num_seconds_from_midnight()) * 1000)
}

/// Parses a date such as `2026-12-24`.
pub fn parse_day(text: &str) -> Option<Day> {
    let date = NaiveDate::parse_from_str(text, "%Y-%m-%d").ok()?;
    Some(date.num_days_from_ce() - UNIX_EPOCH_DAYS_FROM_CE)
}

/// Formats a day as a date, `YYYY-MM-DD`.
pub fn format_day(day: Day) -> String {
    let date = day.checked_add(UNIX_EPOCH_DAYS_FROM_CE).and_then(NaiveDate::from_num_days_from_ce_opt);
    date.map_or_else(|| format!("day {day}"), |date| date.to_string())
}

/// Returns the weekday of a day. 1970-01-01 was a Thursday.
fn weekday(day: Day) -> Weekday {
    Weekday::try_from((day + 3).rem_euclid(7) as u8).unwrap_or(Weekday::Mon)
}

/// Returns the validation error of a field.
fn refuse<T>(field: impl Into<String>, reason: impl Into<String>) -> Result<T, SpecError> {
    Err(SpecError::new(field, reason))
}

/// Validates a time of day and returns it in ms since midnight.
fn check_time(field: &str, text: &str) -> Result<i64, SpecError> {
    let Some(time_ms) = parse_time_ms(text) else {
        return refuse(field, format!("{text:?} is no time of day such as 06:00"));
    };
    Ok(time_ms)
}

impl WindowSpec {
    /// Validates all fields.
    ///
    /// # Errors
    /// Returns the first invalid field.
    pub fn check(&self, names: &KnownNames) -> Result<(), SpecError> {
        let Some(team) = names.teams.iter().find(|t| t.name == self.team) else {
            return refuse("team", format!("{:?} is no team of the settings", self.team));
        };
        self.check_classes(names)?;
        self.check_times()?;
        self.check_days()?;
        self.check_amounts(team.cpus_max)?;
        self.check_turns()?;
        for (field, value, max) in [("early_s", self.early_s, MAX_EARLY_S), ("room_s", self.room_s, MAX_ROOM_S)] {
            if value > max {
                return refuse(field, format!("{value} is more than {max}"));
            }
        }
        Ok(())
    }

    fn check_classes(&self, names: &KnownNames) -> Result<(), SpecError> {
        if self.classes.is_empty() || self.classes.len() > MAX_CLASSES {
            return refuse("classes", format!("{} are not between 1 and {MAX_CLASSES}", self.classes.len()));
        }
        for (index, class) in self.classes.iter().enumerate() {
            // Settings without objectives name no classes, so any class is accepted.
            if !names.classes.is_empty() && !names.classes.contains(&class.as_str()) {
                return refuse(format!("classes[{index}]"), format!("{class:?} is no class of the settings"));
            }
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), SpecError> {
        let opens_ms = check_time("opens", &self.opens)?;
        let closes_ms = check_time("closes", &self.closes)?;
        if closes_ms <= opens_ms && !self.closes_next_day {
            let reason =
                format!("{} is not after {}; with closes_next_day it is the next day's", self.closes, self.opens);
            return refuse("closes", reason);
        }
        if closes_ms > opens_ms && self.closes_next_day {
            return refuse("closes", format!("{} is more than a day after {}", self.closes, self.opens));
        }
        Ok(())
    }

    fn check_days(&self) -> Result<(), SpecError> {
        if self.days.is_some() && self.date.is_some() {
            return refuse("date", "there are days as well; one of the two");
        }
        if let Some(days) = &self.days {
            if days.is_empty() {
                return refuse("days", "[] never comes; left out it is daily");
            }
            for (index, day) in days.iter().enumerate() {
                if day.parse::<Weekday>().is_err() {
                    return refuse(format!("days[{index}]"), format!("{day:?} is no weekday such as \"mon\""));
                }
            }
        }
        for (field, date) in [("date", &self.date), ("confirmed", &self.confirmed)] {
            if let Some(date) = date.as_ref().filter(|date| parse_day(date).is_none()) {
                return refuse(field, format!("{date:?} is no date such as 2026-12-24"));
            }
        }
        if !UTC_OFFSETS_MIN.contains(&self.utc_offset_min) {
            return refuse("utc_offset_min", format!("{} is not between -720 and 840", self.utc_offset_min));
        }
        Ok(())
    }

    /// Validates the amounts. `cpus_max` is the team's limit in cores, 0 for none.
    fn check_amounts(&self, cpus_max: f64) -> Result<(), SpecError> {
        if !(1..=MAX_TURNS).contains(&self.jobs) {
            return refuse("jobs", format!("{} is not between 1 and {MAX_TURNS}", self.jobs));
        }
        let max_cores = if cpus_max > 0.0 { cpus_max } else { MAX_CORES };
        if !(0.0..=max_cores).contains(&self.cores) {
            return refuse("cores", format!("{} is not between 0 and {max_cores}, what its team may have", self.cores));
        }
        if !(0.0..=DAY_MS as f64 / 1000.0).contains(&self.estimate_s) {
            return refuse("estimate_s", format!("{} is not between 0 and a day", self.estimate_s));
        }
        Ok(())
    }

    fn check_turns(&self) -> Result<(), SpecError> {
        if self.turns.len() > self.jobs as usize {
            return refuse("turns", format!("{} are more than the {} of jobs", self.turns.len(), self.jobs));
        }
        for (index, turn) in self.turns.iter().enumerate() {
            if turn.len() > MAX_TURN_LENGTH || !(is_valid_job_id(turn) || self.classes.contains(turn)) {
                let reason = format!("{turn:?} is neither a job id nor one of its classes");
                return refuse(format!("turns[{index}]"), reason);
            }
            if is_valid_job_id(turn) && self.turns.iter().take(index).any(|other| other == turn) {
                return refuse(format!("turns[{index}]"), format!("{turn:?} has a turn already"));
            }
        }
        Ok(())
    }

    /// Returns the parsed times, or `None` if a field cannot be parsed.
    pub fn times(&self) -> Option<WindowTimes> {
        let next_day_ms = if self.closes_next_day { DAY_MS } else { 0 };
        let recurrence = match (&self.date, &self.days) {
            (Some(date), _) => Recurrence::Date(parse_day(date)?),
            (None, Some(days)) => Recurrence::Days(days.iter().filter_map(|day| day.parse().ok()).collect()),
            (None, None) => Recurrence::Daily,
        };
        Some(WindowTimes {
            opens_ms: parse_time_ms(&self.opens)?,
            closes_ms: parse_time_ms(&self.closes)? + next_day_ms,
            utc_offset_ms: i64::from(self.utc_offset_min) * MINUTE_MS,
            early_ms: u64::from(self.early_s) * 1000,
            recurrence,
        })
    }

    /// Returns the instance that opens on a day, if there is one.
    pub fn instance_on(&self, day: Day) -> Option<InstanceSpan> {
        self.times()?.instance_on(day)
    }

    /// Returns the first instance after the day `after`, if given, that closes after `from_ms`. The instance of a
    /// window with a date is returned even if it has already closed, so that it is reported as missed.
    pub fn next_instance(&self, after: Option<Day>, from_ms: u64) -> Option<InstanceSpan> {
        self.times()?.next_instance(after, from_ms)
    }

    /// Describes the schedule for operators.
    pub fn describe_schedule(&self) -> String {
        let days = match (&self.date, &self.days) {
            (Some(date), _) => date.clone(),
            (None, Some(days)) => days.join(","),
            (None, None) => "daily".to_owned(),
        };
        let (sign, offset) = (if self.utc_offset_min < 0 { '-' } else { '+' }, self.utc_offset_min.abs());
        let next = if self.closes_next_day { " the next day" } else { "" };
        format!("{days} {}-{}{next} UTC{sign}{:02}:{:02}", self.opens, self.closes, offset / 60, offset % 60)
    }
}

/// The days on which a window opens.
#[derive(Debug)]
enum Recurrence {
    /// Every day.
    Daily,
    /// The given weekdays.
    Days(Vec<Weekday>),
    /// One date only.
    Date(Day),
}

/// The parsed times of a window. Openings and closings are in ms since local midnight of the opening.
#[derive(Debug)]
pub struct WindowTimes {
    opens_ms: i64,
    closes_ms: i64,
    utc_offset_ms: i64,
    early_ms: u64,
    recurrence: Recurrence,
}

impl WindowTimes {
    /// Returns whether the window opens on a day.
    fn opens_on(&self, day: Day) -> bool {
        match &self.recurrence {
            Recurrence::Daily => true,
            Recurrence::Days(days) => days.contains(&weekday(day)),
            Recurrence::Date(date) => *date == day,
        }
    }

    /// Returns the local date of a time in ms since the Unix epoch.
    fn local_day(&self, ms: u64) -> Day {
        let local = i64::try_from(ms).unwrap_or(i64::MAX / 2) + self.utc_offset_ms;
        Day::try_from(local.div_euclid(DAY_MS)).unwrap_or(Day::MAX / 2)
    }

    fn instance_on(&self, day: Day) -> Option<InstanceSpan> {
        let midnight = i64::from(day) * DAY_MS - self.utc_offset_ms;
        let to_utc = |ms: i64| u64::try_from(midnight + ms).ok();
        let span = InstanceSpan { day, opens_ms: to_utc(self.opens_ms)?, closes_ms: to_utc(self.closes_ms)? };
        Some(span).filter(|_| self.opens_on(day))
    }

    fn next_instance(&self, after: Option<Day>, from_ms: u64) -> Option<InstanceSpan> {
        if let Recurrence::Date(day) = self.recurrence {
            return self.instance_on(day).filter(|_| after.is_none_or(|after| day > after));
        }
        // Instances that closed before the specification was written do not belong to it, whatever the earlier
        // specification's days were.
        let first_day =
            after.map_or(Day::MIN, |day| day.saturating_add(1)).max(self.local_day(from_ms).saturating_sub(1));
        (first_day..first_day.saturating_add(9))
            .filter_map(|day| self.instance_on(day))
            .find(|span| span.closes_ms > from_ms)
    }

    /// Returns the instance that a job accepted at this time belongs to. An open instance takes precedence over the
    /// next one, which may accept jobs early.
    pub fn instance_for_job(&self, accepted_ms: u64) -> Option<InstanceSpan> {
        let last_day = self.local_day(accepted_ms.saturating_add(self.early_ms));
        let mut spans = (last_day.saturating_sub(1)..=last_day).filter_map(|day| self.instance_on(day));
        spans.find(|span| (span.opens_ms.saturating_sub(self.early_ms)..span.closes_ms).contains(&accepted_ms))
    }
}
