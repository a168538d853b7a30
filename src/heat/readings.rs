//! What operators hand in: one value of a named sensor with its time, and how several are settled.

use serde::{Deserialize, Serialize};

/// Beyond this nothing is a temperature, whatever it is measured in.
const MOST_VALUE: f64 = 10_000.0;
/// Times of day of two machines are never further apart than this; what is stamped later than that is wrong.
pub const AHEAD_MS: u64 = 60_000;

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
    pub fn sane(&self) -> bool {
        self.value.is_finite() && self.value.abs() <= MOST_VALUE
    }

    /// How old it is; none for one from further ahead than clocks differ.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        (self.at_ms <= now_ms.saturating_add(AHEAD_MS)).then(|| now_ms.saturating_sub(self.at_ms))
    }
}

/// One value for readings that may contradict one another: their median, of an even number the greater of
/// the two in the middle, so that a tie is hot and one wrong sensor of three decides nothing.
pub fn settle(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.filter(|v| v.is_finite()).collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
