//! Readings that operators hand in: the value of a named sensor with its time, and how contradictory ones are combined.

use serde::{Deserialize, Serialize};

/// Beyond this nothing is a temperature, whatever it is measured in.
const MAX_VALUE: f64 = 10_000.0;
/// Clocks of two machines differ by less than this; a time further ahead is wrong.
pub const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// The last value of a sensor; its name is the record's.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reading {
    /// In whatever unit the rules' thresholds are.
    pub value: f64,
    /// When it was measured: time of day in milliseconds since 1970.
    pub at_ms: u64,
}

impl Reading {
    /// Whether the value can be a reading at all.
    pub fn is_plausible(&self) -> bool {
        self.value.is_finite() && self.value.abs() <= MAX_VALUE
    }

    /// How old it is; none for one from further ahead than clocks differ.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        (self.at_ms <= now_ms.saturating_add(MAX_CLOCK_SKEW_MS)).then(|| now_ms.saturating_sub(self.at_ms))
    }
}

/// The median of the readings, of an even number the greater of the two in the middle: a tie counts as hot, and one wrong
/// sensor of three decides nothing.
pub fn median_reading(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.filter(|v| v.is_finite()).collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
