//! Last reports of the other controllers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::jobs::{JobId, TaskCounts};
use crate::scheduling::fairness::ServiceLevel;
use crate::settings::Peer;
use crate::store::log_limit::LogLimit;
use crate::store::share::LimitDemand;

/// Age from which on a peer's report no longer counts.
pub(super) const REPORT_LIFETIME: Duration = Duration::from_secs(4);

/// Last report of one other controller.
#[derive(Debug, Clone, Copy)]
struct PeerState {
    /// Time since which the peer has reported without a break that the store serves it.
    serves_since: Option<Instant>,
    /// The peer's demand on the state service, in requests and in changes.
    store_demand: [LimitDemand; 2],
    /// Highest watermark known to the peer.
    acknowledged: u64,
    /// When the report arrived.
    received_at: Instant,
}

/// Contents of a line that concern its sender.
pub(super) struct PeerReport {
    /// Name of the sender.
    pub node: String,
    /// Whether the sender's knowledge of the store is fresh enough to answer users.
    pub store_serves: bool,
    /// The sender's demand on the state service, in requests and in changes.
    pub store_demand: [LimitDemand; 2],
    /// Highest watermark known to the sender.
    pub acknowledged: u64,
}

/// Last reports of the other controllers.
#[derive(Debug, Default)]
pub struct PeerStates {
    peers: HashMap<String, PeerState>,
    /// Limit on log messages about rejected lines.
    pub(super) rejected_lines: LogLimit,
    /// Limit on log messages about refused connections.
    pub(super) refused_connections: LogLimit,
    /// Counts of running and done tasks of open jobs as last sent by the leader. For display only.
    pub counts: HashMap<JobId, TaskCounts>,
    /// Service levels as last sent by the leader, and when they arrived.
    pub service_levels: Option<(Vec<ServiceLevel>, Instant)>,
}

impl PeerStates {
    /// Returns the number of peers heard from recently, and the longest time for which one of them has reported that
    /// the store serves it.
    pub fn recent_peers(&self, now: Instant) -> (usize, Option<Duration>) {
        let since = self.recent(now).filter_map(|state| state.serves_since);
        let longest = since.map(|since| now.saturating_duration_since(since)).max();
        (self.recent(now).count(), longest)
    }

    /// Records the report in a line of a peer.
    pub(super) fn record(&mut self, report: PeerReport, now: Instant) {
        let PeerReport { node, store_serves, store_demand, acknowledged } = report;
        let before = self.peers.get(&node).filter(|state| state.is_recent(now));
        let serves_since = store_serves.then(|| before.and_then(|state| state.serves_since).unwrap_or(now));
        self.peers.insert(node, PeerState { serves_since, store_demand, acknowledged, received_at: now });
    }

    fn recent(&self, now: Instant) -> impl Iterator<Item = &PeerState> {
        self.peers.values().filter(move |state| state.is_recent(now))
    }

    /// Returns whether this peer was heard from recently.
    pub fn is_recent(&self, node: &str, now: Instant) -> bool {
        self.peers.get(node).is_some_and(|state| state.is_recent(now))
    }

    /// Returns the demands on the state service of the peers heard from recently.
    pub fn store_demands(&self, now: Instant) -> Vec<[LimitDemand; 2]> {
        self.recent(now).map(|state| state.store_demand).collect()
    }

    /// Returns the highest watermark that each of these peers has acknowledged recently.
    pub fn acknowledged(&self, peers: &[Peer], now: Instant) -> u64 {
        let acknowledged_by = |peer: &Peer| {
            self.peers.get(&peer.node).filter(|state| state.is_recent(now)).map_or(0, |state| state.acknowledged)
        };
        peers.iter().map(acknowledged_by).min().unwrap_or(u64::MAX)
    }
}

impl PeerState {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < REPORT_LIFETIME
    }
}
