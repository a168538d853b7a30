//! Limits of the state service and the reasons for which it refuses a request.

use super::MAX_CONDITIONS_PER_CHANGE;

/// Limits of the state service. An infinite value means no limit.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of requests per second.
    pub requests_per_second: f64,
    /// Maximum number of key changes per second.
    pub changes_per_second: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in one transaction.
    pub txn_ops: usize,
}

impl Default for Limits {
    /// No limits.
    fn default() -> Self {
        Self {
            requests_per_second: f64::INFINITY,
            changes_per_second: f64::INFINITY,
            value_kb: f64::INFINITY,
            txn_ops: usize::MAX / MAX_CONDITIONS_PER_CHANGE,
        }
    }
}

/// Why a request was refused. A refused request changes nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// Status 400: the request is invalid.
    Malformed(&'static str),
    /// Status 400: the lease that a write names has expired.
    LeaseExpired,
    /// Status 404: the key does not exist.
    Absent,
    /// Status 410: the watch starts before the oldest change in the log.
    TooOld,
    /// Status 429: a rate limit is exceeded.
    TooMany,
    /// Status 503: an outage of the service, or a fault that refuses this node alone.
    Unavailable,
}

impl Refusal {
    /// The HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Self::Malformed(_) | Self::LeaseExpired => 400,
            Self::Absent => 404,
            Self::TooOld => 410,
            Self::TooMany => 429,
            Self::Unavailable => 503,
        }
    }
}
