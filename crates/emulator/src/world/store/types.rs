//! Limits of the state service, and its reasons to refuse a request.

use super::CONDITIONS;

/// Limits of the state service; infinite where nothing is limited.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Requests per second.
    pub requests_per_second: f64,
    /// Changes of keys per second.
    pub changes_per_second: f64,
    /// Largest value, in kB.
    pub value_kb: f64,
    /// The most changes in one transaction.
    pub txn_ops: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            requests_per_second: f64::INFINITY,
            changes_per_second: f64::INFINITY,
            value_kb: f64::INFINITY,
            txn_ops: usize::MAX / CONDITIONS,
        }
    }
}

/// Why a request was refused. None of these was carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// Status 400: the request is invalid.
    Malformed(&'static str),
    /// Status 400: the lease named has ended.
    LeaseExpired,
    /// Status 404: the key does not exist.
    Absent,
    /// Status 410: the watch starts before the changes that are kept.
    TooOld,
    /// Status 429: a rate limit is exceeded.
    TooMany,
    /// Status 503: an outage, or this node alone is refused.
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
