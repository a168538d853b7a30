//! A window as operators declare it, and when its instances open and close.
//!
//! An instance is named by its day: the local date of its opening, counted from 1970. Dates come
//! from plain offsets; there is no time zone database, so summer time is a spec written anew.

use chrono::{Datelike, NaiveDate, NaiveTime, Timelike, Weekday};
use serde::{Deserialize, Serialize};

use crate::declarations::{KnownNames, SpecError};
use crate::jobs::well_formed_id;

/// Days since 1970, in the window's own offset from UTC.
pub type Day = i32;

const DAY_MS: i64 = 24 * 3600 * 1000;
const MINUTE_MS: i64 = 60_000;
/// The day that chrono calls the first, counted from 1970.
const FIRST_OF_ERA: i32 = 719_163;

/// Turns of one instance: what is stored of each has to fit a status.
pub const MAX_TURNS: u32 = 32;
const MAX_CLASSES: usize = 16;
const MAX_NAME_LENGTH: usize = 64;
const MAX_CORES: f64 = 1e6;
/// Offsets from UTC that are in use somewhere, in minutes.
const OFFSETS: std::ops::RangeInclusive<i32> = -720..=840;
/// With an instance of at most a day, two days hold every instance a moment may belong to.
const MAX_EARLY_S: u32 = 12 * 3600;
const MAX_ROOM_S: u32 = 12 * 3600;

fn default_jobs() -> u32 {
    1
}

fn default_room_s() -> u32 {
    600
}

/// A planning window as operators declare it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowSpec {
    /// The team whose jobs belong to it.
    pub team: String,
    /// Jobs of these may claim its turns.
    pub classes: Vec<String>,
    /// Time of day, as 06:00.
    pub opens: String,
    /// The time of day at which it closes, as `HH:MM`.
    pub closes: String,
    /// The closing is on the day after the opening.
    #[serde(default)]
    pub closes_next_day: bool,
    /// As "mon"; neither days nor a date: daily.
    #[serde(default)]
    pub days: Option<Vec<String>>,
    /// As 2026-12-24, once.
    #[serde(default)]
    pub date: Option<String>,
    /// Minutes that local time is ahead of UTC.
    #[serde(default)]
    pub utc_offset_min: i32,
    /// Jobs that have to be done by the closing.
    #[serde(default = "default_jobs")]
    pub jobs: u32,
    /// Cores that they take at once, all together; 0: what they took last time.
    #[serde(default)]
    pub cores: f64,
    /// Run time of one of them in seconds; 0: what the last ones said.
    #[serde(default)]
    pub estimate_s: f64,
    /// Job ids or classes in the order of their turns; jobs beyond them as they were accepted.
    #[serde(default)]
    pub turns: Vec<String>,
    /// Jobs accepted up to so many seconds before the opening belong to it too, and wait for it.
    #[serde(default)]
    pub early_s: u32,
    /// Capacity for unclaimed turns is reserved for so many seconds after the opening.
    #[serde(default = "default_room_s")]
    pub room_s: u32,
    /// Instances up to this date were confirmed by an operator.
    #[serde(default)]
    pub confirmed: Option<String>,
    /// When it was declared, by the operator's time of day: instances that closed before are not its own.
    #[serde(default)]
    pub declared_ms: Option<u64>,
}

/// One opening and closing, in ms since 1970.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceSpan {
    pub day: Day,
    pub opens_ms: u64,
    pub closes_ms: u64,
}

/// Parses 06:00 or 06:00:30 to ms since midnight.
fn parse_time(text: &str) -> Option<i64> {
    let read = NaiveTime::parse_from_str(text, "%H:%M").or_else(|_| NaiveTime::parse_from_str(text, "%H:%M:%S"));
    read.ok().map(|t| i64::from(t.num_seconds_from_midnight()) * 1000)
}

/// Parses a date such as 2026-12-24.
pub fn parse_day(text: &str) -> Option<Day> {
    let date = NaiveDate::parse_from_str(text, "%Y-%m-%d").ok()?;
    Some(date.num_days_from_ce() - FIRST_OF_ERA)
}

/// The date of a day.
pub fn format_day(day: Day) -> String {
    let date = day.checked_add(FIRST_OF_ERA).and_then(NaiveDate::from_num_days_from_ce_opt);
    date.map_or_else(|| format!("day {day}"), |date| date.to_string())
}

/// 1970 began on a Thursday.
fn weekday(day: Day) -> Weekday {
    Weekday::try_from((day + 3).rem_euclid(7) as u8).unwrap_or(Weekday::Mon)
}

fn refuse<T>(field: impl Into<String>, reason: impl Into<String>) -> Result<T, SpecError> {
    Err(SpecError::new(field, reason))
}

fn check_time(field: &str, text: &str) -> Result<i64, SpecError> {
    let Some(time) = parse_time(text) else {
        return refuse(field, format!("{text:?} is no time of day such as 06:00"));
    };
    Ok(time)
}

impl WindowSpec {
    /// Checks all fields.
    ///
    /// # Errors
    /// Names the first field that cannot be used.
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
        for (at, class) in self.classes.iter().enumerate() {
            // Settings without objectives name no classes at all.
            if !names.classes.is_empty() && !names.classes.contains(&class.as_str()) {
                return refuse(format!("classes[{at}]"), format!("{class:?} is no class of the settings"));
            }
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), SpecError> {
        let opens = check_time("opens", &self.opens)?;
        let closes = check_time("closes", &self.closes)?;
        if closes <= opens && !self.closes_next_day {
            let reason =
                format!("{} is not after {}; with closes_next_day it is the next day's", self.closes, self.opens);
            return refuse("closes", reason);
        }
        if closes > opens && self.closes_next_day {
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
            for (at, day) in days.iter().enumerate() {
                if day.parse::<Weekday>().is_err() {
                    return refuse(format!("days[{at}]"), format!("{day:?} is no weekday such as \"mon\""));
                }
            }
        }
        for (field, date) in [("date", &self.date), ("confirmed", &self.confirmed)] {
            if let Some(date) = date.as_ref().filter(|date| parse_day(date).is_none()) {
                return refuse(field, format!("{date:?} is no date such as 2026-12-24"));
            }
        }
        if !OFFSETS.contains(&self.utc_offset_min) {
            return refuse("utc_offset_min", format!("{} is not between -720 and 840", self.utc_offset_min));
        }
        Ok(())
    }

    /// `cpus_max`: the team's limit; 0 for none.
    fn check_amounts(&self, cpus_max: f64) -> Result<(), SpecError> {
        if !(1..=MAX_TURNS).contains(&self.jobs) {
            return refuse("jobs", format!("{} is not between 1 and {MAX_TURNS}", self.jobs));
        }
        let max = if cpus_max > 0.0 { cpus_max } else { MAX_CORES };
        if !(0.0..=max).contains(&self.cores) {
            return refuse("cores", format!("{} is not between 0 and {max}, what its team may have", self.cores));
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
        for (at, turn) in self.turns.iter().enumerate() {
            if turn.len() > MAX_NAME_LENGTH || !(well_formed_id(turn) || self.classes.contains(turn)) {
                let reason = format!("{turn:?} is neither a job id nor one of its classes");
                return refuse(format!("turns[{at}]"), reason);
            }
            if well_formed_id(turn) && self.turns.iter().take(at).any(|other| other == turn) {
                return refuse(format!("turns[{at}]"), format!("{turn:?} has a turn already"));
            }
        }
        Ok(())
    }

    /// Its parsed times; none where they cannot be parsed.
    pub fn times(&self) -> Option<WindowTimes> {
        let next_day = if self.closes_next_day { DAY_MS } else { 0 };
        let recurrence = match (&self.date, &self.days) {
            (Some(date), _) => Recurrence::Date(parse_day(date)?),
            (None, Some(days)) => Recurrence::Days(days.iter().filter_map(|day| day.parse().ok()).collect()),
            (None, None) => Recurrence::Daily,
        };
        Some(WindowTimes {
            opens: parse_time(&self.opens)?,
            closes: parse_time(&self.closes)? + next_day,
            offset: i64::from(self.utc_offset_min) * MINUTE_MS,
            early: u64::from(self.early_s) * 1000,
            recurrence,
        })
    }

    /// The instance that opens on a day, if one does.
    pub fn instance_on(&self, day: Day) -> Option<InstanceSpan> {
        self.times()?.instance_on(day)
    }

    /// The first instance after a day; without a day the first that closes after `from_ms`, or the one of the declared
    /// date, even if that has passed: then it is reported as missed.
    pub fn next_instance(&self, after: Option<Day>, from_ms: u64) -> Option<InstanceSpan> {
        self.times()?.next_instance(after, from_ms)
    }

    /// The schedule as operators read it.
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

/// On which days a window opens.
#[derive(Debug)]
enum Recurrence {
    Daily,
    Days(Vec<Weekday>),
    Date(Day),
}

/// When a window opens and closes, in ms since midnight of its offset from UTC.
#[derive(Debug)]
pub struct WindowTimes {
    opens: i64,
    closes: i64,
    offset: i64,
    early: u64,
    recurrence: Recurrence,
}

impl WindowTimes {
    fn falls_on(&self, day: Day) -> bool {
        match &self.recurrence {
            Recurrence::Daily => true,
            Recurrence::Days(days) => days.contains(&weekday(day)),
            Recurrence::Date(date) => *date == day,
        }
    }

    fn local_day(&self, ms: u64) -> Day {
        let local = i64::try_from(ms).unwrap_or(i64::MAX / 2) + self.offset;
        Day::try_from(local.div_euclid(DAY_MS)).unwrap_or(Day::MAX / 2)
    }

    fn instance_on(&self, day: Day) -> Option<InstanceSpan> {
        let midnight = i64::from(day) * DAY_MS - self.offset;
        let at = |ms: i64| u64::try_from(midnight + ms).ok();
        let span = InstanceSpan { day, opens_ms: at(self.opens)?, closes_ms: at(self.closes)? };
        Some(span).filter(|_| self.falls_on(day))
    }

    fn next_instance(&self, after: Option<Day>, from_ms: u64) -> Option<InstanceSpan> {
        if let Recurrence::Date(day) = self.recurrence {
            return self.instance_on(day).filter(|_| after.is_none_or(|after| day > after));
        }
        // Instances that closed before the spec was written are not its own, whatever its days were before.
        let first = after.map_or(Day::MIN, |day| day.saturating_add(1)).max(self.local_day(from_ms).saturating_sub(1));
        (first..first.saturating_add(9)).filter_map(|day| self.instance_on(day)).find(|span| span.closes_ms > from_ms)
    }

    /// The instance that a job accepted at this time belongs to: the open one before the one about to open.
    pub fn instance_for_job(&self, at_ms: u64) -> Option<InstanceSpan> {
        let last = self.local_day(at_ms.saturating_add(self.early));
        let mut spans = (last.saturating_sub(1)..=last).filter_map(|day| self.instance_on(day));
        spans.find(|span| (span.opens_ms.saturating_sub(self.early)..span.closes_ms).contains(&at_ms))
    }
}
