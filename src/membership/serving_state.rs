//! Reliability of a controller's knowledge of the store, by its own proofs of freshness and the other controllers'
//! reports.
//!
//! A controller that gets no answer from the state service can't tell whether the others get one. If none does, no
//! other controller can become leader, and workers should stay where they are. If some do, another controller becomes
//! leader after the election lease, and an answer 200 from this one only keeps workers from it. The reports of the
//! others distinguish the two cases. A controller that hears from no other answers less and less, and holds only
//! workers that come back after it has sent them away.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Observations that determine the serving state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observations {
    /// Age of the last valid proof of freshness, if there is one.
    pub proof: Option<Duration>,
    /// Time for which the state service has not answered.
    pub refused: Duration,
    /// Number of other controllers by the settings.
    pub peers: usize,
    /// Number of other controllers heard from recently, at most `peers`.
    pub heard: usize,
    /// Longest time for which one of those has reported without a break that it can answer.
    pub answering: Option<Duration>,
}

/// Reliability of a controller's knowledge of the store in relation to the other controllers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingState {
    /// This controller's knowledge is fresh.
    Fresh,
    /// This controller's knowledge is stale, and another controller's is fresh.
    Superseded,
    /// The knowledge of all controllers is stale, or fresh too recently for another to have become leader; all others
    /// were heard from.
    Outage,
    /// This controller's knowledge is stale, and that of the others is unknown.
    Isolated,
}

/// Time limits from which on observations count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// Age from which on a proof of freshness is no longer valid.
    pub proof: Duration,
    /// Time without an answer of the state service after which even a recent proof is not valid.
    pub refused: Duration,
    /// Minimum time for which another controller must have been able to answer to count. After an outage the state
    /// service answers some controllers sooner than others, and every lease has its full life again.
    pub answering: Duration,
}

impl FreshnessLimits {
    /// Limits for the health check, after which the load balancer sends users elsewhere. They grow with each recent
    /// removal because the load balancer doubles its pause (up to 60 s) before it returns to this controller.
    pub fn for_health_check(removals: u32) -> Self {
        let lengthened = |s: u64| Duration::from_secs((s << removals.min(4)).min(20));
        Self { proof: lengthened(5), refused: lengthened(2), answering: Duration::from_secs(2) }
    }

    /// Limits after which workers are released: another controller may lead once the election lease has ended, and a
    /// proof may be late by its interval and one lost answer.
    pub fn for_leadership(election_lease: Duration) -> Self {
        let proof = election_lease.max(Duration::from_secs(2)) + Duration::from_secs(3);
        Self { proof, refused: proof, answering: election_lease }
    }
}

impl Observations {
    /// Determines the serving state from the observations and the limits.
    pub fn serving_state(&self, limits: FreshnessLimits) -> ServingState {
        let is_fresh = self.proof.is_some_and(|age| age < limits.proof) && self.refused < limits.refused;
        match self {
            _ if is_fresh => ServingState::Fresh,
            Observations { answering: Some(long), .. } if *long >= limits.answering => ServingState::Superseded,
            Observations { peers, heard, .. } if heard >= peers => ServingState::Outage,
            _ => ServingState::Isolated,
        }
    }
}

impl ServingState {
    /// Returns whether users may be sent here, and whether workers may be held or redirected by the watch cache. This
    /// includes an outage, in which the load balancer needs a target and leadership cannot change.
    pub fn may_answer(self) -> bool {
        matches!(self, Self::Fresh | Self::Outage)
    }
}

/// Time after which a removal no longer lengthens the load balancer's pause.
const REMOVAL_MEMORY: Duration = Duration::from_secs(120);

/// Health of this controller as reported to the load balancer, with its recent removals. The functions are pure.
#[derive(Debug, Default)]
pub struct HealthCheck {
    /// Times of recent removals from the load balancer.
    removals: Vec<Instant>,
    /// Whether the load balancer currently sends users elsewhere.
    removed: bool,
}

impl HealthCheck {
    /// Returns whether users are to be sent here now; called about once a second. `started` is false until this
    /// controller has loaded what it needs.
    pub fn is_healthy(&mut self, started: bool, observations: Observations, now: Instant) -> bool {
        self.removals.retain(|at| now.saturating_duration_since(*at) < REMOVAL_MEMORY);
        let limits = FreshnessLimits::for_health_check(self.removals.len() as u32);
        // A removed controller returns by its present abilities, not by lengthened limits.
        let limits = if self.removed { FreshnessLimits::for_health_check(0) } else { limits };
        let healthy = started && observations.serving_state(limits).may_answer();
        if started && !healthy && !self.removed {
            self.removals.push(now);
        }
        self.removed = started && !healthy;
        healthy
    }
}

/// Longest time that a worker spends on one other controller: it waits 4 s for an answer, and 1 s before the next
/// request.
const MAX_SEARCH_TIME_PER_CONTROLLER: Duration = Duration::from_secs(5);
/// Minimum time of a search; an earlier heartbeat is no return from it.
const MIN_SEARCH_TIME: Duration = Duration::from_millis(800);
/// Limit on the number of machines tracked; machines beyond it are held.
const MAX_MACHINES: usize = 10_000;

/// State of a machine while the leader may have been replaced.
#[derive(Debug, Clone, Copy)]
enum SearchState {
    /// Sent to look for another leader at this time.
    Searching(Instant),
    /// Came back without having found another leader, and has been held since this time.
    Held(Instant),
}

/// Machines that send heartbeats to a leader that may have been replaced. Each machine is sent to look for another
/// leader; one that comes back has found none and is held, so that its lease doesn't end, and is sent again later. The
/// functions are pure.
#[derive(Debug, Default)]
pub struct LeaderSearches {
    machines: HashMap<String, SearchState>,
    started: bool,
}

impl LeaderSearches {
    /// Returns whether this machine is to be held. `lease` is the life of the machine's lease, `others` the number of
    /// controllers that it can ask.
    pub fn must_hold(&mut self, machine: &str, others: usize, lease: Duration, now: Instant) -> bool {
        // The lease must outlast the search, or the machine would lose its work by searching.
        let search_time = MAX_SEARCH_TIME_PER_CONTROLLER * others as u32 + Duration::from_secs(1);
        if others == 0 || search_time > lease.mul_f64(0.75) {
            return true;
        }
        if self.machines.len() >= MAX_MACHINES && !self.machines.contains_key(machine) {
            return true;
        }
        let since = |at: Instant| now.saturating_duration_since(at);
        let state = match self.machines.get(machine) {
            Some(SearchState::Searching(at)) if since(*at) < MIN_SEARCH_TIME => return false,
            Some(SearchState::Searching(at)) if since(*at) < lease => SearchState::Held(now),
            Some(SearchState::Held(at)) if since(*at) < lease / 3 => return true,
            _ => SearchState::Searching(now),
        };
        self.machines.insert(machine.to_owned(), state);
        matches!(state, SearchState::Held(_))
    }

    /// Returns the number of machines tracked.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Marks the searches as started, and returns whether this is the first call since the leader was known.
    pub fn start_if_idle(&mut self) -> bool {
        !std::mem::replace(&mut self.started, true)
    }

    /// Ends all searches because the leader is known again.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
