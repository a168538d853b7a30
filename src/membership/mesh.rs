//! Connections between controllers, which exchange JSON lines: whether the store serves the sender, the leader's counts
//! for display, and its watermark. Only the watermark decides what users may be told; it stays true however late it
//! arrives, and without it they are told less.

mod line;

pub use line::MOST_ROWS;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tracing::{debug, warn};

use line::{LINE_LIMIT, Line, LineError, MOST_COUNTS};

use super::state::Membership;
use crate::jobs::{Counts, JobId};
use crate::records::leadership::{LeaderRecord, Watermark};
use crate::scheduling::fairness::ServiceLevel;
use crate::settings::Peer;
use crate::store::log_limit::LogLimit;
use crate::store::share::LimitDemand;
use crate::sync::lock;

const EVERY: Duration = Duration::from_secs(1);
/// Between two lines at the least, where the watermark is waited for.
const PROMPT: Duration = Duration::from_millis(100);
/// The account is told this often: what its successor may lack of it.
const SERVED_EVERY: Duration = Duration::from_secs(20);
const WRITE_WITHIN: Duration = Duration::from_secs(2);
/// Connections that are read at once, of all peers and strangers.
const MOST_CONNECTIONS: usize = 32;
/// Counts kept before those of ended jobs are looked for; open jobs are what remains.
const MOST_HEARD: usize = 10_000;
/// A connection to a peer that says nothing itself is made anew after this.
const ANEW_AFTER: Duration = Duration::from_secs(5);
/// What was heard longer ago says nothing.
const STALE: Duration = Duration::from_secs(4);

/// What one other controller said last.
#[derive(Debug, Clone, Copy)]
struct PeerState {
    /// Since when it has said without a break that the store serves it.
    serves_since: Option<Instant>,
    wants: [LimitDemand; 2],
    acknowledged: u64,
    at: Instant,
}

/// What the other controllers have said.
#[derive(Debug, Default)]
pub struct PeerStates {
    peers: HashMap<String, PeerState>,
    /// Lines that are dropped, and connections.
    odd_lines: LogLimit,
    too_many: LogLimit,
    /// Running and done tasks of open jobs, as the leader told them last. For display only.
    pub counts: HashMap<JobId, Counts>,
    /// What the leader told last of who is served, and when that was heard.
    pub served: Option<(Vec<ServiceLevel>, Instant)>,
}

impl PeerStates {
    /// How many others were heard of lately, and for how long one of them has said that the store serves it.
    pub fn others(&self, now: Instant) -> (usize, Option<Duration>) {
        let since = self.lately(now).filter_map(|told| told.serves_since);
        let longest = since.map(|since| now.saturating_duration_since(since)).max();
        (self.lately(now).count(), longest)
    }

    /// A line of a peer.
    fn told(&mut self, node: String, serves: bool, wants: [LimitDemand; 2], acknowledged: u64, now: Instant) {
        let before = self.peers.get(&node).filter(|told| told.fresh(now));
        let serves_since = serves.then(|| before.and_then(|told| told.serves_since).unwrap_or(now));
        self.peers.insert(node, PeerState { serves_since, wants, acknowledged, at: now });
    }

    fn lately(&self, now: Instant) -> impl Iterator<Item = &PeerState> {
        self.peers.values().filter(move |told| told.fresh(now))
    }

    /// Whether this controller was heard of lately.
    pub fn hears(&self, node: &str, now: Instant) -> bool {
        self.peers.get(node).is_some_and(|told| told.fresh(now))
    }

    /// What those want of the state service that were heard of lately.
    pub fn wants(&self, now: Instant) -> Vec<[LimitDemand; 2]> {
        self.lately(now).map(|told| told.wants).collect()
    }

    /// The watermark that every one of these controllers has acknowledged lately.
    pub fn acknowledged(&self, peers: &[Peer], now: Instant) -> u64 {
        let of = |peer: &Peer| self.peers.get(&peer.node).filter(|told| told.fresh(now)).map_or(0, |t| t.acknowledged);
        peers.iter().map(of).min().unwrap_or(u64::MAX)
    }
}

impl PeerState {
    fn fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < STALE
    }
}

/// A watermark counts if its fencing token is that of the leader record as it is known here, and the sender its leader:
/// one of a leader that is not known here yet, or no more, is told again by whoever leads.
pub fn accepted_watermark(
    from: &str,
    told: Option<Watermark>,
    leader_record: Option<&(LeaderRecord, u64)>,
) -> Option<u64> {
    let (told, (leader, version)) = (told?, leader_record?);
    (leader.node == from && *version == told.fencing_token).then_some(told.revision)
}

/// Whether no leader can have told this watermark, by all that the store has told up to this revision: its fencing
/// token is newer than the last leader record and not newer than that, or the last leader record is another's.
fn names_impossible_leader(
    from: &str,
    told: Option<Watermark>,
    known: Option<&(LeaderRecord, u64)>,
    through: Option<u64>,
) -> bool {
    let (Some(told), Some((leader, version)), Some(through)) = (told, known, through) else { return false };
    let missed = told.fencing_token > *version && told.fencing_token <= through;
    missed || (told.fencing_token == *version && leader.node != from)
}

/// Accepts connections from the other controllers and reads their lines, for ever. If the address cannot be bound,
/// tries again every second.
pub async fn accept_connections(membership: Arc<Membership>) {
    let listener = loop {
        match TcpListener::bind(&membership.settings.mesh_listen).await {
            Ok(listener) => break listener,
            Err(error) => {
                warn!(%error, address = membership.settings.mesh_listen, "peer listener bind failed; retrying every second");
                tokio::time::sleep(EVERY).await;
            }
        }
    };
    let free = Arc::new(Semaphore::new(MOST_CONNECTIONS));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => accept(&membership, &free, stream),
            Err(_) => tokio::time::sleep(EVERY).await,
        }
    }
}

/// Reads from one more connection, if there are not too many: each may hold a line.
fn accept(membership: &Arc<Membership>, free: &Arc<Semaphore>, stream: TcpStream) {
    let Ok(permit) = free.clone().try_acquire_owned() else {
        if lock(&membership.heard).too_many.due(Instant::now()) {
            warn!(limit = MOST_CONNECTIONS, "peer connection limit reached; closing the new connection");
        }
        return;
    };
    let membership = membership.clone();
    tokio::spawn(async move {
        read_lines(membership, stream).await;
        drop(permit);
    });
}

async fn read_lines(membership: Arc<Membership>, stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut text = Vec::new();
    loop {
        text.clear();
        // A peer that has nothing to say for this long is gone or cut off.
        let mut limited = (&mut reader).take(LINE_LIMIT);
        let read = limited.read_until(b'\n', &mut text);
        if !matches!(tokio::time::timeout(STALE * 4, read).await, Ok(Ok(n)) if n > 0) {
            return;
        }
        if let Err(error) = apply_line(&membership, &text, Instant::now()) {
            if lock(&membership.heard).odd_lines.due(Instant::now()) {
                warn!(bytes = text.len(), %error, "peer message rejected; closing the connection");
            }
            return;
        }
    }
}

/// Takes in what a peer has said, or nothing at all of it.
fn apply_line(membership: &Membership, text: &[u8], now: Instant) -> Result<(), LineError> {
    let line = Line::read(text, &membership.settings.peers)?;
    let (watermark, leads) = {
        let watch_cache = membership.store.watch_cache();
        let leader_record = watch_cache.leader_record();
        if names_impossible_leader(&line.node, line.watermark, leader_record, watch_cache.watch_revision()) {
            return Err(LineError::Token(line.node));
        }
        let leads = leader_record.is_some_and(|(leader, _)| leader.node == line.node);
        (accepted_watermark(&line.node, line.watermark, leader_record), leads)
    };
    membership.history.advance_watermark(watermark.unwrap_or(0));
    let many = {
        let mut heard = lock(&membership.heard);
        heard.told(line.node, line.store_serves, line.wants, line.acknowledged, now);
        heard.counts.extend(line.counts);
        // Whoever does not lead has no account to tell.
        if leads && !line.served.is_empty() {
            heard.served = Some((line.served, now));
        }
        heard.counts.len() > MOST_HEARD
    };
    if many {
        membership.drop_counts_of_ended_jobs();
    }
    Ok(())
}

/// One connection to one peer, made again whenever it breaks.
pub async fn send_lines(membership: Arc<Membership>, peer: Peer) {
    loop {
        if let Ok(Ok(stream)) = tokio::time::timeout(WRITE_WITHIN, TcpStream::connect(&peer.addr)).await {
            let error = send_lines_over(&membership, &peer.node, stream).await;
            debug!(?error, peer = peer.node, "peer connection lost");
        }
        tokio::time::sleep(crate::sync::jitter(EVERY)).await;
    }
}

async fn send_lines_over(membership: &Membership, peer: &str, mut stream: TcpStream) -> std::io::Result<()> {
    let begun = Instant::now();
    let mut told: HashMap<JobId, Counts> = HashMap::new();
    let mut served_next = Instant::now();
    let mut news = membership.wakeups.mesh.subscribe();
    let mut whole_next = Instant::now();
    loop {
        let whole = Instant::now() >= whole_next;
        let mut counts = Vec::new();
        if whole {
            whole_next = Instant::now() + EVERY;
            counts = membership.changed_counts(&mut told, MOST_COUNTS);
        }
        let mut served = Vec::new();
        if Instant::now() >= served_next {
            served_next = Instant::now() + SERVED_EVERY;
            served = membership.accounting_to_send();
        }
        let (name, wants) = (membership.settings.node.clone(), membership.wants());
        let (watermark, acknowledged) = (membership.watermark(), membership.history.watermark());
        let line =
            Line { node: name, store_serves: membership.can_answer(), wants, counts, served, watermark, acknowledged };
        let mut text = serde_json::to_string(&line).unwrap_or_default();
        text.push('\n');
        tokio::time::timeout(WRITE_WITHIN, stream.write_all(text.as_bytes()))
            .await
            .map_err(|_| std::io::ErrorKind::TimedOut)??;
        // At once where a cancellation waits for it, and all there is to say once a second.
        tokio::time::sleep(PROMPT).await;
        let _ = tokio::time::timeout(whole_next.saturating_duration_since(Instant::now()), news.changed()).await;
        // Lines go into a dead connection for minutes before it is known to be dead, and after a cut it
        // is tried again only after as long as the cut took.
        let now = Instant::now();
        if now.saturating_duration_since(begun) > ANEW_AFTER && !lock(&membership.heard).hears(peer, now) {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
    }
}

#[cfg(test)]
mod tests;
