//! How a lease holder's key that cannot be read is removed. No build renews an election lease that it does not hold,
//! and a key without a lease would keep everybody from taking the election lease for ever. That lease only decides how
//! soon there is a leader, so such a key may be dropped, on condition of its version, once it has stood for an election
//! lease. Pure.

use std::time::{Duration, Instant};

/// Since when a lease holder's key stands that cannot be read.
#[derive(Debug, Default)]
pub struct UnreadableLeaseHolder {
    stands: Option<(u64, Instant)>,
}

impl UnreadableLeaseHolder {
    /// Whether it is to be dropped now. `version`: its version, if it cannot be read.
    pub fn expires(&mut self, version: Option<u64>, patience: Duration, now: Instant) -> bool {
        let same = self.stands.filter(|(before, _)| Some(*before) == version);
        self.stands = version.map(|version| same.unwrap_or((version, now)));
        self.stands.is_some_and(|(_, since)| now.saturating_duration_since(since) >= patience)
    }
}

#[cfg(test)]
mod tests;
