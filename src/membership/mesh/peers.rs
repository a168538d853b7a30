//! What the other controllers have said last.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::jobs::{Counts, JobId};
use crate::scheduling::fairness::ServiceLevel;
use crate::settings::Peer;
use crate::store::log_limit::LogLimit;
use crate::store::share::LimitDemand;

/// What was heard longer ago says nothing.
pub(super) const STALE: Duration = Duration::from_secs(4);

/// What one other controller said last.
#[derive(Debug, Clone, Copy)]
struct PeerState {
    /// Since when it has said without a break that the store serves it.
    serves_since: Option<Instant>,
    wants: [LimitDemand; 2],
    acknowledged: u64,
    at: Instant,
}

/// What one line says of its sender.
pub(super) struct PeerReport {
    pub node: String,
    /// Whether the state service answers the sender.
    pub store_serves: bool,
    /// What the sender wants of the state service, in requests and in changes.
    pub wants: [LimitDemand; 2],
    /// The highest watermark that the sender has heard of.
    pub acknowledged: u64,
}

/// What the other controllers have said.
#[derive(Debug, Default)]
pub struct PeerStates {
    peers: HashMap<String, PeerState>,
    /// Lines that are dropped, and connections.
    pub(super) rejected_lines: LogLimit,
    pub(super) refused_connections: LogLimit,
    /// Running and done tasks of open jobs, as the leader told them last. For display only.
    pub counts: HashMap<JobId, Counts>,
    /// What the leader told last of who is served, and when that was heard.
    pub served: Option<(Vec<ServiceLevel>, Instant)>,
}

impl PeerStates {
    /// How many others were heard of lately, and for how long one of them has said that the store serves it.
    pub fn others(&self, now: Instant) -> (usize, Option<Duration>) {
        let since = self.recent(now).filter_map(|state| state.serves_since);
        let longest = since.map(|since| now.saturating_duration_since(since)).max();
        (self.recent(now).count(), longest)
    }

    /// Records what a line of a peer says.
    pub(super) fn record(&mut self, report: PeerReport, now: Instant) {
        let PeerReport { node, store_serves, wants, acknowledged } = report;
        let before = self.peers.get(&node).filter(|state| state.is_recent(now));
        let serves_since = store_serves.then(|| before.and_then(|state| state.serves_since).unwrap_or(now));
        self.peers.insert(node, PeerState { serves_since, wants, acknowledged, at: now });
    }

    fn recent(&self, now: Instant) -> impl Iterator<Item = &PeerState> {
        self.peers.values().filter(move |state| state.is_recent(now))
    }

    /// Whether this controller was heard of lately.
    pub fn hears(&self, node: &str, now: Instant) -> bool {
        self.peers.get(node).is_some_and(|state| state.is_recent(now))
    }

    /// What those want of the state service that were heard of lately.
    pub fn wants(&self, now: Instant) -> Vec<[LimitDemand; 2]> {
        self.recent(now).map(|state| state.wants).collect()
    }

    /// The watermark that every one of these controllers has acknowledged lately.
    pub fn acknowledged(&self, peers: &[Peer], now: Instant) -> u64 {
        let of =
            |peer: &Peer| self.peers.get(&peer.node).filter(|state| state.is_recent(now)).map_or(0, |t| t.acknowledged);
        peers.iter().map(of).min().unwrap_or(u64::MAX)
    }
}

impl PeerState {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < STALE
    }
}
