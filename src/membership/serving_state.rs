//! How far a controller's knowledge can be relied on, by its own proofs and by what the other controllers report.
//!
//! A controller that gets no answer from the state service cannot tell whether the others get one. If none does,
//! nobody else can become leader, and workers should stay where they are. If some do, another controller becomes leader
//! after the election lease, and an answer 200 from this one only keeps workers from it. What the others report tells
//! the two cases apart. A controller that hears from nobody answers less and less, and holds only workers that come
//! back after it has sent them away.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What a judgement rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observations {
    /// Age of the last proof of freshness; none if there is none that counts.
    pub proof: Option<Duration>,
    /// The state service has answered nothing for this long.
    pub refused: Duration,
    /// Other controllers by the settings, and those heard of lately.
    pub peers: usize,
    /// Other controllers that were heard of lately, at most `peers`.
    pub heard: usize,
    /// How long one of those has said without a break that it can answer.
    pub answering: Option<Duration>,
}

/// How far a controller's knowledge of the store can be relied on, in relation to the other controllers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingState {
    /// Knows what is stored.
    Fresh,
    /// Does not, and another does.
    Superseded,
    /// All others were heard of and none knows either, or only just: nobody can have come to lead.
    Outage,
    /// Does not, and cannot tell what the others know.
    Isolated,
}

/// How long it may take until something counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// From this age on the last proof of freshness does not count any more.
    pub proof: Duration,
    /// After this long without any answer of the state service a recent proof does not count either.
    pub refused: Duration,
    /// After an outage some are answered sooner than others, and every lease has its full time again: what
    /// another has been able to for less than this says nothing.
    pub answering: Duration,
}

impl FreshnessLimits {
    /// Until the load balancer is told to send users elsewhere: longer after each time of late, since it waits
    /// twice as long after each before it comes back (up to 60 s).
    pub fn for_health_check(removals: u32) -> Self {
        let longer = |s: u64| Duration::from_secs((s << removals.min(4)).min(20));
        Self { proof: longer(5), refused: longer(2), answering: Duration::from_secs(2) }
    }

    /// Until workers are let go: another may lead once the election lease is over, and a proof may be late by
    /// its own pause and one answer that never came.
    pub fn for_leadership(election_lease: Duration) -> Self {
        let proof = election_lease.max(Duration::from_secs(2)) + Duration::from_secs(3);
        Self { proof, refused: proof, answering: election_lease }
    }
}

impl Observations {
    /// The state that follows from the observations and from how long each may take to count.
    pub fn serving_state(&self, patience: FreshnessLimits) -> ServingState {
        let knows = self.proof.is_some_and(|age| age < patience.proof) && self.refused < patience.refused;
        match self {
            _ if knows => ServingState::Fresh,
            Observations { answering: Some(long), .. } if *long >= patience.answering => ServingState::Superseded,
            Observations { peers, heard, .. } if heard >= peers => ServingState::Outage,
            _ => ServingState::Isolated,
        }
    }
}

impl ServingState {
    /// Whether users are sent here, and workers held or sent on as the watch cache has it. In an outage the load
    /// balancer must have someone, and leadership cannot change.
    pub fn may_answer(self) -> bool {
        matches!(self, Self::Fresh | Self::Outage)
    }
}

/// Removals longer ago than this do not lengthen the load balancer's pause any more.
const REMEMBERED: Duration = Duration::from_secs(120);

/// How often users were sent elsewhere of late. Pure.
#[derive(Debug, Default)]
pub struct HealthCheck {
    removed: Vec<Instant>,
    out: bool,
}

impl HealthCheck {
    /// Whether users are to be sent here now; to be asked about once a second.
    pub fn judge(&mut self, begun: bool, seen: Observations, now: Instant) -> bool {
        self.removed.retain(|at| now.saturating_duration_since(*at) < REMEMBERED);
        let patience = FreshnessLimits::for_health_check(self.removed.len() as u32);
        // Whoever is out comes back by what it can do now, not by a longer patience.
        let patience = if self.out { FreshnessLimits::for_health_check(0) } else { patience };
        let well = begun && seen.serving_state(patience).may_answer();
        if begun && !well && !self.out {
            self.removed.push(now);
        }
        self.out = begun && !well;
        well
    }
}

/// Longest round of a worker through one other controller: it waits 4 s for an answer, and 1 s between two.
const ROUND: Duration = Duration::from_secs(5);
/// A worker is back from a round no sooner.
const BACK_AFTER: Duration = Duration::from_millis(800);
/// Machines remembered at the most; more are held.
const MOST: usize = 10_000;

#[derive(Debug, Clone, Copy)]
enum SearchState {
    Away(Instant),
    Held(Instant),
}

/// Machines that heartbeat to a leader which may be one no more. Each is sent to look for another; one that
/// comes back has found none and is held, so that its lease does not end, and sent again later. Pure.
#[derive(Debug, Default)]
pub struct LeaderSearches {
    errands: HashMap<String, SearchState>,
    begun: bool,
}

impl LeaderSearches {
    /// Whether this machine is to be held. `lease` is its own; `others` how many controllers it may ask.
    pub fn must_hold(&mut self, machine: &str, others: usize, lease: Duration, now: Instant) -> bool {
        // Its lease must outlast a round, or it would lose its work by looking.
        let round = ROUND * others as u32 + Duration::from_secs(1);
        if others == 0 || round > lease.mul_f64(0.75) {
            return true;
        }
        if self.errands.len() >= MOST && !self.errands.contains_key(machine) {
            return true;
        }
        let since = |at: Instant| now.saturating_duration_since(at);
        let errand = match self.errands.get(machine) {
            Some(SearchState::Away(at)) if since(*at) < BACK_AFTER => return false,
            Some(SearchState::Away(at)) if since(*at) < lease => SearchState::Held(now),
            Some(SearchState::Held(at)) if since(*at) < lease / 3 => return true,
            _ => SearchState::Away(now),
        };
        self.errands.insert(machine.to_owned(), errand);
        matches!(errand, SearchState::Held(_))
    }

    /// Number of machines remembered.
    pub fn remembered(&self) -> usize {
        self.errands.len()
    }

    /// True the first time since who leads was known.
    pub fn begins(&mut self) -> bool {
        !std::mem::replace(&mut self.begun, true)
    }

    /// Who leads is known again.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

#[cfg(test)]
mod tests;
