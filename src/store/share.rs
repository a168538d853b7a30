//! Allocation of the state service's rate limits by demand: what one controller does not use, another may.
//!
//! Once a second each controller sends its recent demand to the others (`membership::mesh`), and each computes its own
//! share by the same function of all reported demands. If any controller was not heard from lately, all use fixed
//! shares. Correctness does not depend on the shares: calls beyond the limits are rejected by the state service and
//! retried.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Fraction of a limit that is allocated; the rest absorbs moments in which controllers compute from different data.
const ALLOCATED_FRACTION: f64 = 0.95;
/// Maximum fraction of the allocation for all controllers but the leader together. They may take so much from the
/// leader because users wait for their acceptances and queries, while the leader writes its changes in batches.
const MAX_FRACTION_OF_OTHERS: f64 = 0.5;
/// Ratio of a controller's share to its recent demand; above 1 so that single bursts do not wait.
const SHARE_PER_DEMAND: f64 = 3.0;
/// Time constant of the exponential decay of recent demand.
const DEMAND_DECAY_TIME: Duration = Duration::from_secs(4);

/// Shares of a limit that do not depend on demand: one for the leader, and one that the others split.
#[derive(Debug, Clone, Copy)]
pub struct FixedShares {
    /// Fraction of the limit for the leader, from 0 to 1.
    pub leader: f64,
    /// Fraction of the limit that all other controllers split evenly, from 0 to 1.
    pub others: f64,
}

impl FixedShares {
    /// Returns one controller's fixed share of a limit, per second. `others` is the number of controllers besides the
    /// leader.
    pub fn fixed_share(&self, limit: f64, others: usize, leader: bool) -> f64 {
        match (others, leader) {
            (0, _) => limit * ALLOCATED_FRACTION,
            (_, true) => limit * self.leader,
            (n, false) => limit * self.others / n as f64,
        }
    }
}

/// The recent demand of one controller for a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitDemand {
    /// Whether the controller considers itself the leader.
    #[serde(rename = "owner")]
    pub leader: bool,
    /// Demanded requests or changes per second.
    pub per_second: f64,
}

/// Returns the share of the first of these controllers, given the demands of all of them. A controller that does not
/// lead gets at least its fixed share and more if it demands more, up to a maximum; the leader gets the rest.
pub fn share_by_demand(limit: f64, fixed_shares: FixedShares, demands: &[LimitDemand]) -> f64 {
    let allocated = limit * ALLOCATED_FRACTION;
    let leaders = demands.iter().filter(|demand| demand.leader).count();
    let others = demands.len() - leaders;
    let max_share = allocated * MAX_FRACTION_OF_OTHERS / others.max(1) as f64;
    let share_of_other = |demand: &LimitDemand| {
        let fixed = fixed_shares.fixed_share(limit, others, false);
        (demand.per_second * SHARE_PER_DEMAND).clamp(fixed.min(max_share), max_share)
    };
    match demands.first() {
        Some(me) if me.leader => {
            let shares_of_others: f64 = demands.iter().filter(|demand| !demand.leader).map(share_of_other).sum();
            // Several controllers may consider themselves the leader.
            (allocated - shares_of_others).max(0.0) / leaders as f64
        }
        Some(me) => share_of_other(me),
        None => allocated,
    }
}

/// Measures the recent rate of events as an exponentially decaying average.
#[derive(Debug)]
pub struct RateMeter {
    /// Number of events counted, decayed up to `updated_at`.
    decayed_count: f64,
    updated_at: Instant,
}

impl RateMeter {
    /// Creates a meter that has counted nothing yet.
    pub fn new(now: Instant) -> Self {
        Self { decayed_count: 0.0, updated_at: now }
    }

    /// Counts `n` more requests or changes.
    pub fn count(&mut self, n: f64, now: Instant) {
        self.decayed_count = self.decayed_count_at(now) + n;
        self.updated_at = now;
    }

    fn decayed_count_at(&self, now: Instant) -> f64 {
        self.decayed_count
            * (-now.saturating_duration_since(self.updated_at).as_secs_f64() / DEMAND_DECAY_TIME.as_secs_f64()).exp()
    }

    /// Returns the recent rate per second; older counts decay exponentially.
    pub fn per_second(&self, now: Instant) -> f64 {
        self.decayed_count_at(now) / DEMAND_DECAY_TIME.as_secs_f64()
    }
}

#[cfg(test)]
mod tests;
