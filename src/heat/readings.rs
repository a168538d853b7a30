//! Sensor readings submitted by operators: plausibility, age, and the median that resolves contradictory readings.

use serde::{Deserialize, Serialize};

/// Largest plausible magnitude of a reading; no temperature exceeds it in any common unit.
const MAX_READING_MAGNITUDE: f64 = 10_000.0;
/// Maximum assumed clock difference between two machines. A timestamp further in the future is treated as wrong.
pub const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// Latest reading of a sensor. The sensor's name is the name of the declaration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reading {
    /// Measured value, in the unit of the thresholds of the rules that use it.
    pub value: f64,
    /// Time of the measurement, in Unix milliseconds.
    pub at_ms: u64,
}

impl Reading {
    /// Returns whether the value is finite and within the plausible range.
    pub fn is_plausible(&self) -> bool {
        self.value.is_finite() && self.value.abs() <= MAX_READING_MAGNITUDE
    }

    /// Returns the reading's age, or `None` if its timestamp is further in the future than `MAX_CLOCK_SKEW_MS`.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        (self.at_ms <= now_ms.saturating_add(MAX_CLOCK_SKEW_MS)).then(|| now_ms.saturating_sub(self.at_ms))
    }
}

/// Returns the median of the finite values. Of an even number of values it is the greater of the middle two, so that a
/// tie counts as hot. With three sensors, a single wrong one cannot decide the result.
pub fn median_reading(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.filter(|v| v.is_finite()).collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
