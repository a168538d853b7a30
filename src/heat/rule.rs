//! Specification of heat rules: validation, active hours and the evaluation of sensor readings.

use chrono::{DateTime, FixedOffset, NaiveDate, NaiveTime};
use serde::{Deserialize, Serialize};

use super::readings::{Reading, median_reading};
use crate::declarations::SpecError;
use crate::scheduling::fairness::{Subject, floor};

/// Maximum number of names in `classes` and in `teams`.
const MAX_NAMED_SUBJECTS: usize = 32;
/// Maximum number of sensors of a rule.
const MAX_SENSORS: usize = 16;
/// Maximum number of days in `hot_days`.
const MAX_HOT_DAYS: usize = 200;
/// Maximum distance from UTC in either direction, in minutes.
const MAX_UTC_OFFSET_MIN: i32 = 14 * 60;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Maximum share of all cores that a rule's jobs may take before other jobs. Below 1, so that other jobs always keep
/// some cores.
pub const MAX_CORE_SHARE: f64 = 0.9;

/// State that a rule assumes while no sensor has a fresh reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AssumedHeat {
    /// Assume that it is hot.
    Hot,
    /// Assume that it is not hot.
    Not,
}

/// Specification of a heat rule: which jobs are prioritized, in which hours, and at which readings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeatRule {
    /// Job classes that are prioritized.
    #[serde(default)]
    pub classes: Vec<String>,
    /// Teams whose jobs are prioritized.
    #[serde(default)]
    pub teams: Vec<String>,
    /// Start of the active hours, as a local time of day (see `offset_min`). If `to` is not later than `from`, the
    /// hours end on the next day.
    pub from: NaiveTime,
    /// End of the active hours, exclusive, as a local time of day.
    pub to: NaiveTime,
    /// Offset of local time from UTC in minutes, positive east of Greenwich.
    #[serde(default)]
    pub offset_min: i32,
    /// Names of the readings to evaluate. The rule switches on when their median is above `hot_above` and off when it
    /// is below `over_below`; between the two thresholds it keeps its state (hysteresis).
    #[serde(default)]
    pub sensors: Vec<String>,
    /// Upper threshold: a median above this value is hot.
    pub hot_above: Option<f64>,
    /// Lower threshold: a median below this value switches the rule off.
    pub over_below: Option<f64>,
    /// Local days on which the active hours are hot regardless of readings. Hours that pass midnight belong to the day
    /// on which they begin.
    #[serde(default)]
    pub hot_days: Vec<NaiveDate>,
    /// Maximum age of a reading in seconds; older readings are ignored.
    #[serde(default = "default_fresh_s")]
    pub fresh_s: f64,
    /// State to assume while no sensor has a fresh reading.
    pub assume: AssumedHeat,
    /// Maximum duration in seconds for which the rule stays on before it switches off by itself.
    pub longest_s: f64,
    /// Maximum share of all cores that the named jobs may take before other jobs.
    pub most_part: f64,
}

fn default_fresh_s() -> f64 {
    1800.0
}

/// Active hours of a rule on one local day, as a half-open interval of Unix times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RuleHours {
    /// Local day on which the hours begin.
    pub day: NaiveDate,
    /// Start, inclusive, in Unix milliseconds.
    pub begin_ms: u64,
    /// End, exclusive, in Unix milliseconds.
    pub end_ms: u64,
}

/// Result of evaluating the declared hot days and the readings at one time within the active hours.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HeatSignal {
    /// The day is listed in `hot_days`.
    HotDay,
    /// The median is above the upper threshold.
    Hot(f64),
    /// The median lies between the two thresholds, or on one of them.
    Between(f64),
    /// The median is below the lower threshold.
    Over(f64),
    /// No sensor has a fresh reading.
    Unknown,
}

fn reject_field(field: &str, reason: impl Into<String>) -> Result<(), SpecError> {
    Err(SpecError::new(field, reason))
}

impl HeatRule {
    /// Validates all fields against the configured classes and teams.
    ///
    /// # Errors
    /// Returns an error that names the first invalid field and its value.
    pub fn check(&self, classes: &[&str], teams: &[&str]) -> Result<(), SpecError> {
        self.check_named_work(classes, teams)?;
        self.check_hours_and_lists()?;
        self.check_thresholds()?;
        if self.sensors.is_empty() && self.hot_days.is_empty() && self.assume == AssumedHeat::Not {
            return reject_field("assume", "\"not\", with no sensors and no hot_days: it would never hold");
        }
        for (field, value, low, high) in [
            ("fresh_s", self.fresh_s, 1.0, SECONDS_PER_DAY),
            ("longest_s", self.longest_s, 60.0, SECONDS_PER_DAY),
            ("most_part", self.most_part, 0.01, MAX_CORE_SHARE),
        ] {
            if !(low..=high).contains(&value) {
                return reject_field(field, format!("{value} is not between {low} and {high}"));
            }
        }
        Ok(())
    }

    fn check_named_work(&self, classes: &[&str], teams: &[&str]) -> Result<(), SpecError> {
        if self.classes.is_empty() && self.teams.is_empty() {
            return reject_field("classes", "[] and no teams: it names no work");
        }
        for (field, named, known) in [("classes", &self.classes, classes), ("teams", &self.teams, teams)] {
            if named.len() > MAX_NAMED_SUBJECTS {
                return reject_field(field, format!("{} names are more than {MAX_NAMED_SUBJECTS}", named.len()));
            }
            if let Some(name) = named.iter().find(|name| !known.contains(&name.as_str())) {
                return reject_field(field, format!("{name:?} is not in the settings"));
            }
        }
        Ok(())
    }

    fn check_hours_and_lists(&self) -> Result<(), SpecError> {
        if self.from == self.to {
            return reject_field("to", format!("{} is where it begins", self.to));
        }
        if self.offset_min.abs() > MAX_UTC_OFFSET_MIN {
            return reject_field("offset_min", format!("{} is more than {MAX_UTC_OFFSET_MIN}", self.offset_min));
        }
        if self.sensors.len() > MAX_SENSORS {
            return reject_field("sensors", format!("{} are more than {MAX_SENSORS}", self.sensors.len()));
        }
        if self.hot_days.len() > MAX_HOT_DAYS {
            return reject_field("hot_days", format!("{} are more than {MAX_HOT_DAYS}", self.hot_days.len()));
        }
        Ok(())
    }

    fn check_thresholds(&self) -> Result<(), SpecError> {
        for (field, value) in [("hot_above", self.hot_above), ("over_below", self.over_below)] {
            match value {
                None if !self.sensors.is_empty() => return reject_field(field, "is needed where sensors are named"),
                Some(value) if !value.is_finite() => return reject_field(field, format!("{value} is no number")),
                _ => {}
            }
        }
        match (self.hot_above, self.over_below) {
            (Some(hot), Some(over)) if over > hot => {
                reject_field("over_below", format!("{over} is above hot_above, {hot}"))
            }
            _ => Ok(()),
        }
    }

    /// Returns the classes and teams whose jobs are prioritized.
    pub fn named_work(&self) -> floor::ClassTeamSet {
        let classes = self.classes.iter().map(|name| (Subject::Class, name.as_str()));
        floor::ClassTeamSet::from_subjects(classes.chain(self.teams.iter().map(|name| (Subject::Team, name.as_str()))))
    }

    /// Returns the active hours that contain the given time, if any.
    pub fn hours_at(&self, at_ms: u64) -> Option<RuleHours> {
        let offset = FixedOffset::east_opt(self.offset_min.checked_mul(60)?)?;
        let local_time = DateTime::from_timestamp_millis(i64::try_from(at_ms).ok()?)?.with_timezone(&offset);
        let unix_ms = |day: NaiveDate, time| {
            let local_time = day.and_time(time).and_local_timezone(offset).single()?;
            u64::try_from(local_time.timestamp_millis()).ok()
        };
        let today = local_time.date_naive();
        [today, today.pred_opt()?].into_iter().find_map(|day| {
            let last_day = if self.to <= self.from { day.succ_opt()? } else { day };
            let (begin_ms, end_ms) = (unix_ms(day, self.from)?, unix_ms(last_day, self.to)?);
            (begin_ms..end_ms).contains(&at_ms).then_some(RuleHours { day, begin_ms, end_ms })
        })
    }

    /// Returns the maximum duration for which the rule stays on, in milliseconds.
    pub fn longest_ms(&self) -> u64 {
        (self.longest_s * 1000.0) as u64
    }

    /// Evaluates the declared hot days and the fresh readings at a time within the given active hours.
    pub fn assess<'a>(
        &self,
        hours: &RuleHours,
        readings: impl Iterator<Item = &'a Reading>,
        now_ms: u64,
    ) -> HeatSignal {
        if self.hot_days.contains(&hours.day) {
            return HeatSignal::HotDay;
        }
        let max_age_ms = (self.fresh_s * 1000.0) as u64;
        let fresh = readings.filter(|r| r.age_ms(now_ms).is_some_and(|age| age <= max_age_ms));
        let median = median_reading(fresh.map(|r| r.value));
        let (Some(value), Some(hot), Some(over)) = (median, self.hot_above, self.over_below) else {
            return HeatSignal::Unknown;
        };
        if value > hot {
            HeatSignal::Hot(value)
        } else if value < over {
            HeatSignal::Over(value)
        } else {
            HeatSignal::Between(value)
        }
    }
}
