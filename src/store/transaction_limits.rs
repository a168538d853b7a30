//! Limits on the size of a transaction: those of the settings, those announced for later, and lower ones that refusals
//! have shown.
//!
//! The state service may lower its limits at any time. A refusal for size is definite: nothing was applied, and the same
//! transaction would be refused again. It does not say which limit was exceeded. Announced limits are taken to be in
//! force from the first refusal on; where they do not explain a refusal, the client finds out how many changes are
//! allowed by comparisons that write nothing (`store::client::refusals`), and blames the largest value otherwise.
//! Everything that builds transactions asks for the limits each time.

use std::time::{Duration, Instant};

use super::client::{Change, Condition, RequestRates};
use crate::settings::{MIN_TXN_OPS, StateParams};

/// Number of conditions that the service allows for each change that it allows.
pub(super) const CONDITIONS_PER_CHANGE: usize = 4;
/// The number of changes is never reduced below this: accepting and ending a job take two.
pub(super) const MIN_CHANGES: usize = MIN_TXN_OPS as usize;
/// Values up to this size are never taken for the reason of a refusal. Records of jobs, leaders and orders of single
/// machines stay below it.
const MIN_VALUE_BYTES: usize = 1024;
/// Time for which fewer changes are sent at once after the service did not take more.
const REDUCTION_TIME: Duration = Duration::from_secs(60);

/// Largest transaction that the service accepts, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransactionLimits {
    /// Maximum number of changes in one transaction.
    pub max_changes: usize,
    /// Maximum size of one value as JSON, in bytes.
    pub max_value_bytes: usize,
}

impl TransactionLimits {
    /// Limits that bound nothing but the number of changes.
    pub const fn of_changes(max_changes: usize) -> Self {
        Self { max_changes, max_value_bytes: usize::MAX }
    }

    fn of_settings(params: &StateParams) -> Self {
        Self { max_changes: params.txn_ops as usize, max_value_bytes: (params.value_kb * 1024.0) as usize }
    }

    /// Maximum number of conditions in one transaction.
    pub fn max_conditions(&self) -> usize {
        self.max_changes.saturating_mul(CONDITIONS_PER_CHANGE)
    }

    /// Whether a transaction of this size is within the limits.
    pub fn admits(&self, size: &TransactionSize) -> bool {
        size.changes <= self.max_changes
            && size.conditions <= self.max_conditions()
            && size.largest_value_bytes <= self.max_value_bytes
    }

    fn min(self, other: Self) -> Self {
        Self {
            max_changes: self.max_changes.min(other.max_changes),
            max_value_bytes: self.max_value_bytes.min(other.max_value_bytes),
        }
    }
}

/// Size of a transaction in everything that the service limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransactionSize {
    /// Number of conditions.
    pub conditions: usize,
    /// Number of changes.
    pub changes: usize,
    /// Key of the largest value; the first key if nothing is written.
    pub largest_key: String,
    /// Size of the largest value as JSON, in bytes.
    pub largest_value_bytes: usize,
    /// Size of all values as JSON, in bytes.
    pub value_bytes: usize,
}

impl TransactionSize {
    /// Measures a transaction.
    pub fn of(conditions: &[Condition], changes: &[Change]) -> Self {
        let written = changes.iter().filter_map(|change| match change {
            Change::Write { write, value, .. } => Some((write, value.to_string().len())),
            Change::Drop { .. } => None,
        });
        let sizes: Vec<(&String, usize)> = written.collect();
        let largest = sizes.iter().max_by_key(|(_, bytes)| *bytes);
        let first_key = changes.iter().map(changed_key).chain(conditions.iter().map(|c| &c.path)).next();
        Self {
            conditions: conditions.len(),
            changes: changes.len(),
            largest_key: largest.map(|(key, _)| *key).or(first_key).cloned().unwrap_or_default(),
            largest_value_bytes: largest.map_or(0, |(_, bytes)| *bytes),
            value_bytes: sizes.iter().map(|(_, bytes)| bytes).sum(),
        }
    }

    /// The smallest limit on changes that admits this many changes and conditions.
    pub(super) fn needed_changes(&self) -> usize {
        self.changes.max(self.conditions.div_ceil(CONDITIONS_PER_CHANGE))
    }
}

fn changed_key(change: &Change) -> &String {
    let (Change::Write { write: key, .. } | Change::Drop { drop: key }) = change;
    key
}

/// The limits in force, as far as this process knows them.
#[derive(Debug)]
pub struct LimitTracker {
    current: TransactionLimits,
    rates: RequestRates,
    /// Limits that the settings announce, until they are in force.
    announced: Option<StateParams>,
    /// Whether any limit is lower than the settings say.
    lowered: bool,
    /// A number of changes below the limit, and until when it is kept to.
    reduced: Option<(usize, Instant)>,
}

impl LimitTracker {
    /// Starts with the limits of the settings.
    pub fn new(params: &StateParams) -> Self {
        Self {
            current: TransactionLimits::of_settings(params),
            rates: RequestRates { requests: params.rps, writes: params.write_rps },
            announced: params.announced(),
            lowered: false,
            reduced: None,
        }
    }

    /// The largest transaction that the service accepts.
    pub fn limits(&self) -> TransactionLimits {
        self.current
    }

    /// The number of changes that may be sent at once: the limit, or fewer if the service did not take as many lately.
    pub fn changes_at_once(&self, now: Instant) -> usize {
        let reduced = self.reduced.filter(|(_, until)| now < *until).map(|(changes, _)| changes);
        self.current.max_changes.min(reduced.unwrap_or(usize::MAX))
    }

    /// The rates that the service allows to all controllers in total.
    pub fn rates(&self) -> RequestRates {
        self.rates
    }

    /// Whether the transaction is known to be refused.
    pub fn is_too_large(&self, conditions: &[Condition], changes: &[Change]) -> bool {
        // Nothing is measured as long as no limit was lowered: what is built from the settings is within them.
        self.lowered && !self.current.admits(&TransactionSize::of(conditions, changes))
    }

    /// Records that the service takes no more than this many changes in one transaction.
    pub fn lower_changes(&mut self, max_changes: usize) {
        self.current.max_changes = self.current.max_changes.min(max_changes.max(MIN_CHANGES));
        self.lowered = true;
    }

    /// Records that the service refused a value of this size. Returns whether the limit was lowered; small values are
    /// never blamed.
    pub fn lower_value_below(&mut self, refused_bytes: usize) -> bool {
        if refused_bytes <= MIN_VALUE_BYTES || refused_bytes > self.current.max_value_bytes {
            return false;
        }
        self.current.max_value_bytes = refused_bytes - 1;
        self.lowered = true;
        true
    }

    /// Takes the announced limits as being in force. Returns whether any were announced until now.
    pub fn adopt_announced(&mut self) -> bool {
        let Some(announced) = self.announced.take() else { return false };
        self.current = self.current.min(TransactionLimits::of_settings(&announced));
        self.rates = RequestRates { requests: announced.rps, writes: announced.write_rps };
        self.lowered = true;
        true
    }

    /// Keeps to half as many changes at once for a while: the service refused so many again and again as beyond its rate, or
    /// for a size that no known limit explains.
    pub fn halve_changes_at_once(&mut self, changes: usize, now: Instant) {
        self.reduced = Some(((changes / 2).max(1), now + REDUCTION_TIME));
    }
}

#[cfg(test)]
mod tests;
