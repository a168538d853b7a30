//! Removal of a lease holder's key that can't be decoded. No build renews an election lease that it doesn't hold, and a
//! key without a lease would prevent every controller from taking the election lease for ever. The election lease only
//! decides how soon there is a leader, so such a key may be dropped, on condition of its version, once it has stood for
//! the life of an election lease. The functions are pure.

use std::time::{Duration, Instant};

/// Tracks how long a lease holder's key that can't be decoded has existed at the same version.
#[derive(Debug, Default)]
pub struct UnreadableLeaseHolder {
    /// Version of the key, and when it was first observed.
    observed: Option<(u64, Instant)>,
}

impl UnreadableLeaseHolder {
    /// Returns whether the key is to be dropped now. `version` is its version if it can't be decoded.
    pub fn is_expired(&mut self, version: Option<u64>, lease_life: Duration, now: Instant) -> bool {
        let unchanged = self.observed.filter(|(before, _)| Some(*before) == version);
        self.observed = version.map(|version| unchanged.unwrap_or((version, now)));
        self.observed.is_some_and(|(_, since)| now.saturating_duration_since(since) >= lease_life)
    }
}

#[cfg(test)]
mod tests;
