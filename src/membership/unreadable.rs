//! How a leader's key that cannot be read is removed. No build renews a leadership that it does not hold, and a key
//! without a lease would keep everybody from leading for ever. Leadership only decides how soon there is an owner, so
//! such a key may be dropped, on condition of its version, once it has stood for a leader's lease. Pure.

use std::time::{Duration, Instant};

/// Since when a leader's key stands that cannot be read.
#[derive(Debug, Default)]
pub struct UnreadableLeader {
    stands: Option<(u64, Instant)>,
}

impl UnreadableLeader {
    /// Whether it is to be dropped now. `stamp`: its version, if it cannot be read.
    pub fn expires(&mut self, stamp: Option<u64>, patience: Duration, now: Instant) -> bool {
        let same = self.stands.filter(|(before, _)| Some(*before) == stamp);
        self.stands = stamp.map(|stamp| same.unwrap_or((stamp, now)));
        self.stands.is_some_and(|(_, since)| now.saturating_duration_since(since) >= patience)
    }
}

#[cfg(test)]
mod tests;
