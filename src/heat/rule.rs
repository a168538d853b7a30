//! Heat rules as operators declare them: their checks, and the hours in which they may apply.

use chrono::{DateTime, FixedOffset, NaiveDate, NaiveTime};
use serde::{Deserialize, Serialize};

use super::readings::{Reading, median_reading};
use crate::declarations::SpecError;
use crate::scheduling::fairness::{Subject, floor};

const MAX_NAMED: usize = 32;
const MAX_SENSORS: usize = 16;
const MAX_DAYS: usize = 200;
const MAX_OFFSET_MIN: i32 = 14 * 60;
const DAY_S: f64 = 86_400.0;
/// Of the cores a rule takes at most this part before others, so that something is left whatever is declared.
pub const MAX_PART: f64 = 0.9;

/// What a rule believes while it has no fresh reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AssumedHeat {
    /// Hot.
    Hot,
    /// Not hot.
    Not,
}

/// Which work goes ahead, when it may, and what is hot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeatRule {
    /// Classes of jobs that go ahead.
    #[serde(default)]
    pub classes: Vec<String>,
    /// Teams whose jobs go ahead.
    #[serde(default)]
    pub teams: Vec<String>,
    /// Time of day, by `offset_min`. Where `to` is not later than `from` the hours end the next day.
    pub from: NaiveTime,
    /// Until this time of day.
    pub to: NaiveTime,
    /// Minutes ahead of UTC.
    #[serde(default)]
    pub offset_min: i32,
    /// Names of readings. Hot when the settled value is above `hot_above`, over when it is below
    /// `over_below`; between them it stays as it is.
    #[serde(default)]
    pub sensors: Vec<String>,
    /// A reading above this is hot.
    pub hot_above: Option<f64>,
    /// A reading below this ends the heat.
    pub over_below: Option<f64>,
    /// Days whose hours are hot whatever is read; hours past midnight are of the day they began on.
    #[serde(default)]
    pub hot_days: Vec<NaiveDate>,
    /// Older readings do not count, in seconds.
    #[serde(default = "default_fresh_s")]
    pub fresh_s: f64,
    /// What holds with no fresh reading of any sensor.
    pub assume: AssumedHeat,
    /// Longest time that it stays on by itself, in seconds.
    pub longest_s: f64,
    /// Of all cores, the part that its work may take before others.
    pub most_part: f64,
}

fn default_fresh_s() -> f64 {
    1800.0
}

/// The hours of one day, as times of day in milliseconds since 1970: from the first to before the second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RuleHours {
    /// The local day.
    pub day: NaiveDate,
    /// Its begin, by time of day.
    pub begin_ms: u64,
    /// Its end, by time of day.
    pub end_ms: u64,
}

/// What the readings and the calendar say of one moment within the hours.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HeatSignal {
    /// The day is declared hot.
    HotDay,
    /// A reading is above the threshold.
    Hot(f64),
    /// Between the two thresholds.
    Between(f64),
    /// A reading is below the threshold that ends the heat.
    Over(f64),
    /// There is no reading that counts.
    Unknown,
}

fn refuse(field: &str, reason: impl Into<String>) -> Result<(), SpecError> {
    Err(SpecError::new(field, reason))
}

impl HeatRule {
    /// Checks all fields.
    ///
    /// # Errors
    /// Names the first field that cannot be used, with its value.
    pub fn check(&self, classes: &[&str], teams: &[&str]) -> Result<(), SpecError> {
        self.check_named_work(classes, teams)?;
        self.check_hours_and_lists()?;
        self.check_thresholds()?;
        if self.sensors.is_empty() && self.hot_days.is_empty() && self.assume == AssumedHeat::Not {
            return refuse("assume", "\"not\", with no sensors and no hot_days: it would never hold");
        }
        for (field, value, low, high) in [
            ("fresh_s", self.fresh_s, 1.0, DAY_S),
            ("longest_s", self.longest_s, 60.0, DAY_S),
            ("most_part", self.most_part, 0.01, MAX_PART),
        ] {
            if !(low..=high).contains(&value) {
                return refuse(field, format!("{value} is not between {low} and {high}"));
            }
        }
        Ok(())
    }

    fn check_named_work(&self, classes: &[&str], teams: &[&str]) -> Result<(), SpecError> {
        if self.classes.is_empty() && self.teams.is_empty() {
            return refuse("classes", "[] and no teams: it names no work");
        }
        for (field, named, known) in [("classes", &self.classes, classes), ("teams", &self.teams, teams)] {
            if named.len() > MAX_NAMED {
                return refuse(field, format!("{} names are more than {MAX_NAMED}", named.len()));
            }
            if let Some(name) = named.iter().find(|name| !known.contains(&name.as_str())) {
                return refuse(field, format!("{name:?} is not in the settings"));
            }
        }
        Ok(())
    }

    fn check_hours_and_lists(&self) -> Result<(), SpecError> {
        if self.from == self.to {
            return refuse("to", format!("{} is where it begins", self.to));
        }
        if self.offset_min.abs() > MAX_OFFSET_MIN {
            return refuse("offset_min", format!("{} is more than {MAX_OFFSET_MIN}", self.offset_min));
        }
        if self.sensors.len() > MAX_SENSORS {
            return refuse("sensors", format!("{} are more than {MAX_SENSORS}", self.sensors.len()));
        }
        if self.hot_days.len() > MAX_DAYS {
            return refuse("hot_days", format!("{} are more than {MAX_DAYS}", self.hot_days.len()));
        }
        Ok(())
    }

    fn check_thresholds(&self) -> Result<(), SpecError> {
        for (field, value) in [("hot_above", self.hot_above), ("over_below", self.over_below)] {
            match value {
                None if !self.sensors.is_empty() => return refuse(field, "is needed where sensors are named"),
                Some(value) if !value.is_finite() => return refuse(field, format!("{value} is no number")),
                _ => {}
            }
        }
        match (self.hot_above, self.over_below) {
            (Some(hot), Some(over)) if over > hot => refuse("over_below", format!("{over} is above hot_above, {hot}")),
            _ => Ok(()),
        }
    }

    /// The classes and teams whose jobs go ahead.
    pub fn named_work(&self) -> floor::ClassTeamSet {
        let classes = self.classes.iter().map(|name| (Subject::Class, name.as_str()));
        floor::ClassTeamSet::from_subjects(classes.chain(self.teams.iter().map(|name| (Subject::Team, name.as_str()))))
    }

    /// The hours in which a moment lies.
    pub fn hours_at(&self, at_ms: u64) -> Option<RuleHours> {
        let offset = FixedOffset::east_opt(self.offset_min.checked_mul(60)?)?;
        let at = DateTime::from_timestamp_millis(i64::try_from(at_ms).ok()?)?.with_timezone(&offset);
        let ms = |day: NaiveDate, time| {
            let at = day.and_time(time).and_local_timezone(offset).single()?;
            u64::try_from(at.timestamp_millis()).ok()
        };
        let today = at.date_naive();
        [today, today.pred_opt()?].into_iter().find_map(|day| {
            let last = if self.to <= self.from { day.succ_opt()? } else { day };
            let (begin_ms, end_ms) = (ms(day, self.from)?, ms(last, self.to)?);
            (begin_ms..end_ms).contains(&at_ms).then_some(RuleHours { day, begin_ms, end_ms })
        })
    }

    /// The longest time for which it may apply in a day.
    pub fn longest_ms(&self) -> u64 {
        (self.longest_s * 1000.0) as u64
    }

    /// What the readings and the declared hot days say of a moment in these hours.
    pub fn assess<'a>(
        &self,
        hours: &RuleHours,
        readings: impl Iterator<Item = &'a Reading>,
        now_ms: u64,
    ) -> HeatSignal {
        if self.hot_days.contains(&hours.day) {
            return HeatSignal::HotDay;
        }
        let most_ms = (self.fresh_s * 1000.0) as u64;
        let fresh = readings.filter(|r| r.age_ms(now_ms).is_some_and(|age| age <= most_ms));
        let settled = median_reading(fresh.map(|r| r.value));
        let (Some(value), Some(hot), Some(over)) = (settled, self.hot_above, self.over_below) else {
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
