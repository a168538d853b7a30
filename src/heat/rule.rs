//! What operators declare of heat, its checks, and the hours in which it may hold.

use chrono::{DateTime, FixedOffset, NaiveDate, NaiveTime};
use serde::{Deserialize, Serialize};

use super::readings::{Reading, settle};
use crate::declarations::SpecError;

const MOST_NAMED: usize = 32;
const MOST_SENSORS: usize = 16;
const MOST_DAYS: usize = 200;
const MOST_OFFSET_MIN: i32 = 14 * 60;
const DAY_S: f64 = 86_400.0;
/// Of the cores a rule takes at most this part before others, so that something is left whatever is declared.
pub const MOST_PART: f64 = 0.9;

/// What a rule believes while it has no fresh reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Assume {
    /// Hot.
    Hot,
    /// Not hot.
    Not,
}

/// Which work goes ahead, when it may, and what is hot.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
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
    #[serde(default = "usual_fresh_s")]
    pub fresh_s: f64,
    /// What holds with no fresh reading of any sensor.
    pub assume: Assume,
    /// Longest time that it stays on by itself, in seconds.
    pub longest_s: f64,
    /// Of all cores, the part that its work may take before others.
    pub most_part: f64,
}

fn usual_fresh_s() -> f64 {
    1800.0
}

/// The hours of one day, as times of day in milliseconds since 1970: from the first to before the second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hours {
    /// The local day.
    pub day: NaiveDate,
    /// Its begin, by time of day.
    pub begin_ms: u64,
    /// Its end, by time of day.
    pub end_ms: u64,
}

/// What the readings and the calendar say of one moment within the hours.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Weather {
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

impl Rule {
    /// Names the first field that cannot be used, with its value.
    pub fn check(&self, classes: &[&str], teams: &[&str]) -> Result<(), SpecError> {
        let no = |field: &str, why: String| Err(SpecError { field: field.to_owned(), why });
        if self.classes.is_empty() && self.teams.is_empty() {
            return no("classes", "[] and no teams: it names no work".into());
        }
        for (field, named, known) in [("classes", &self.classes, classes), ("teams", &self.teams, teams)] {
            if named.len() > MOST_NAMED {
                return no(field, format!("{} names are more than {MOST_NAMED}", named.len()));
            }
            if let Some(name) = named.iter().find(|name| !known.contains(&name.as_str())) {
                return no(field, format!("{name:?} is not in the settings"));
            }
        }
        if self.from == self.to {
            return no("to", format!("{} is where it begins", self.to));
        }
        if self.offset_min.abs() > MOST_OFFSET_MIN {
            return no("offset_min", format!("{} is more than {MOST_OFFSET_MIN}", self.offset_min));
        }
        if self.sensors.len() > MOST_SENSORS {
            return no("sensors", format!("{} are more than {MOST_SENSORS}", self.sensors.len()));
        }
        if self.hot_days.len() > MOST_DAYS {
            return no("hot_days", format!("{} are more than {MOST_DAYS}", self.hot_days.len()));
        }
        for (field, value) in [("hot_above", self.hot_above), ("over_below", self.over_below)] {
            match value {
                None if !self.sensors.is_empty() => return no(field, "is needed where sensors are named".into()),
                Some(value) if !value.is_finite() => return no(field, format!("{value} is no number")),
                _ => {}
            }
        }
        if let (Some(hot), Some(over)) = (self.hot_above, self.over_below)
            && over > hot
        {
            return no("over_below", format!("{over} is above hot_above, {hot}"));
        }
        if self.sensors.is_empty() && self.hot_days.is_empty() && self.assume == Assume::Not {
            return no("assume", "\"not\", with no sensors and no hot_days: it would never hold".into());
        }
        for (field, value, low, high) in [
            ("fresh_s", self.fresh_s, 1.0, DAY_S),
            ("longest_s", self.longest_s, 60.0, DAY_S),
            ("most_part", self.most_part, 0.01, MOST_PART),
        ] {
            if !(low..=high).contains(&value) {
                return no(field, format!("{value} is not between {low} and {high}"));
            }
        }
        Ok(())
    }

    /// The hours in which a moment lies.
    pub fn hours(&self, at_ms: u64) -> Option<Hours> {
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
            (begin_ms..end_ms).contains(&at_ms).then_some(Hours { day, begin_ms, end_ms })
        })
    }

    /// The longest time for which it may apply in a day.
    pub fn longest_ms(&self) -> u64 {
        (self.longest_s * 1000.0) as u64
    }

    /// What is to be thought of a moment in these hours.
    pub fn weather<'a>(&self, hours: &Hours, readings: impl Iterator<Item = &'a Reading>, now_ms: u64) -> Weather {
        if self.hot_days.contains(&hours.day) {
            return Weather::HotDay;
        }
        let most_ms = (self.fresh_s * 1000.0) as u64;
        let fresh = readings.filter(|r| r.age_ms(now_ms).is_some_and(|age| age <= most_ms));
        let settled = settle(fresh.map(|r| r.value));
        let (Some(value), Some(hot), Some(over)) = (settled, self.hot_above, self.over_below) else {
            return Weather::Unknown;
        };
        if value > hot {
            Weather::Hot(value)
        } else if value < over {
            Weather::Over(value)
        } else {
            Weather::Between(value)
        }
    }
}
