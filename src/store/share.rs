//! Sharing of the state service's limits by demand: what one controller does not use, another may.
//!
//! Once a second each controller tells the others what it lately wanted (`membership::mesh`), and each computes its
//! own share by the same function of what all have told. If any controller was not heard from lately, all use fixed
//! shares. Correctness does not depend on it: calls beyond the limits are refused by the state service and tried
//! again.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The part of a limit that is allocated; the rest is for moments in which controllers compute from different data.
const ALLOCATED_PART: f64 = 0.95;
/// The part of the allocation that the other controllers may take from the leader: users wait for their acceptances and
/// queries, while the leader's changes go many at a time.
const MAX_PART_OF_OTHERS: f64 = 0.5;
/// Factor from the recent demand to the share, so that single bursts do not wait.
const HEADROOM: f64 = 3.0;
/// Time constant with which recent demand fades.
const DEMAND_FADE: Duration = Duration::from_secs(4);

/// Fixed shares: a part of a limit for the leader, and one that the others share.
#[derive(Debug, Clone, Copy)]
pub struct FixedShares {
    /// Part of the limit for the leader, from 0 to 1.
    pub leader: f64,
    /// Part of the limit that all other controllers share evenly, from 0 to 1.
    pub others: f64,
}

impl FixedShares {
    /// One controller's fixed share of a limit, per second.
    pub fn fixed_share(&self, limit: f64, others: usize, leader: bool) -> f64 {
        match (others, leader) {
            (0, _) => limit * ALLOCATED_PART,
            (_, true) => limit * self.leader,
            (n, false) => limit * self.others / n as f64,
        }
    }
}

/// The recent demand of one controller for a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitDemand {
    /// Whether this controller leads, by its own knowledge.
    #[serde(rename = "owner")]
    pub leader: bool,
    /// The demand, per second.
    pub per_second: f64,
}

/// The share of the first of these controllers, by the demand of all of them: a controller that does not lead has its
/// fixed share or what it needs, the leader the rest.
pub fn share_by_demand(limit: f64, parts: FixedShares, wants: &[LimitDemand]) -> f64 {
    let given = limit * ALLOCATED_PART;
    let leaders = wants.iter().filter(|w| w.leader).count();
    let others = wants.len() - leaders;
    let most = given * MAX_PART_OF_OTHERS / others.max(1) as f64;
    let of_other = |w: &LimitDemand| {
        let fixed = parts.fixed_share(limit, others, false);
        (w.per_second * HEADROOM).clamp(fixed.min(most), most)
    };
    match wants.first() {
        Some(me) if me.leader => {
            let theirs: f64 = wants.iter().filter(|w| !w.leader).map(of_other).sum();
            // Several may believe that they lead.
            (given - theirs).max(0.0) / leaders as f64
        }
        Some(me) => of_other(me),
        None => given,
    }
}

/// Measures a rate that fades exponentially.
#[derive(Debug)]
pub struct RateMeter {
    faded: f64,
    at: Instant,
}

impl RateMeter {
    /// Nothing was counted yet.
    pub fn new(now: Instant) -> Self {
        Self { faded: 0.0, at: now }
    }

    /// Counts `n` more requests or changes.
    pub fn count(&mut self, n: f64, now: Instant) {
        self.faded = self.faded(now) + n;
        self.at = now;
    }

    fn faded(&self, now: Instant) -> f64 {
        self.faded * (-now.saturating_duration_since(self.at).as_secs_f64() / DEMAND_FADE.as_secs_f64()).exp()
    }

    /// The rate of what was counted lately; older counts fade exponentially.
    pub fn per_second(&self, now: Instant) -> f64 {
        self.faded(now) / DEMAND_FADE.as_secs_f64()
    }
}

#[cfg(test)]
mod tests;
