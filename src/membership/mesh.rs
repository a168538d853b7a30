//! What controllers tell one another, as JSON lines: whether the store serves them, and the
//! owner's counts for display. Nothing that safety rests on travels here.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tracing::{debug, warn};

use crate::jobs::{Counts, JobId};
use crate::node::Node;
use crate::scheduling::served::Row;
use crate::settings::Peer;
use crate::store::share::Want;
use crate::sync::lock;

const EVERY: Duration = Duration::from_secs(1);
/// The account is told this often: what its successor may lack of it.
const SERVED_EVERY: Duration = Duration::from_secs(20);
/// A line is dropped with its connection past this size.
const LINE_LIMIT: u64 = 256 * 1024;
const WRITE_WITHIN: Duration = Duration::from_secs(2);
/// Counts told per line, the most recently changed first.
const MOST_COUNTS: usize = 2000;
/// Counts kept before those of ended jobs are looked for; open jobs are what remains.
const MOST_HEARD: usize = 10_000;
/// A connection to a peer that says nothing itself is made anew after this.
const ANEW_AFTER: Duration = Duration::from_secs(5);
/// What was heard longer ago says nothing.
const STALE: Duration = Duration::from_secs(4);

#[derive(Debug, Serialize, Deserialize)]
struct Line {
    node: String,
    /// Whether the sender can answer questions by what is stored.
    store_serves: bool,
    /// What the sender wants of the state service, in requests and in changes.
    #[serde(default)]
    wants: [Want; 2],
    /// Counts of jobs that changed since the last line, from the owner.
    #[serde(default)]
    counts: Vec<(JobId, Counts)>,
    /// The owner's account of who is served, once in a while.
    #[serde(default)]
    served: Vec<Row>,
}

#[derive(Debug, Default)]
pub struct Heard {
    /// Since when each says that the store serves it, what it wants of it, and when it said so last.
    peers: HashMap<String, (Option<Instant>, [Want; 2], Instant)>,
    pub counts: HashMap<JobId, Counts>,
    /// What the owner told last of who is served, and when that was heard.
    pub served: Option<(Vec<Row>, Instant)>,
}

impl Heard {
    /// How many others were heard of lately, and for how long one of them has said that the store serves it.
    pub fn others(&self, now: Instant) -> (usize, Option<Duration>) {
        let longest = self.lately(now).filter_map(|(since, _)| Some(now.saturating_duration_since(since?))).max();
        (self.lately(now).count(), longest)
    }

    /// A line of a peer.
    fn told(&mut self, node: String, serves: bool, wants: [Want; 2], now: Instant) {
        let before = self.peers.get(&node).filter(|(.., at)| now.saturating_duration_since(*at) < STALE);
        let since = serves.then(|| before.and_then(|(since, ..)| *since).unwrap_or(now));
        self.peers.insert(node, (since, wants, now));
    }

    fn lately(&self, now: Instant) -> impl Iterator<Item = (Option<Instant>, [Want; 2])> {
        let fresh = self.peers.values().filter(move |(.., at)| now.saturating_duration_since(*at) < STALE);
        fresh.map(|(since, wants, _)| (*since, *wants))
    }

    /// Whether this controller was heard of lately.
    pub fn hears(&self, node: &str, now: Instant) -> bool {
        self.peers.get(node).is_some_and(|(.., at)| now.saturating_duration_since(*at) < STALE)
    }

    /// What those want of the state service that were heard of lately.
    pub fn wants(&self, now: Instant) -> Vec<[Want; 2]> {
        self.lately(now).map(|(_, wants)| wants).collect()
    }
}

pub async fn listen(node: Arc<Node>) {
    let listener = loop {
        match TcpListener::bind(&node.settings.mesh_listen).await {
            Ok(listener) => break listener,
            Err(error) => {
                warn!(%error, addr = node.settings.mesh_listen, "cannot listen to the other controllers");
                tokio::time::sleep(EVERY).await;
            }
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(read_lines(node.clone(), stream))),
            Err(_) => tokio::time::sleep(EVERY).await,
        }
    }
}

async fn read_lines(node: Arc<Node>, stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut text = String::new();
    loop {
        text.clear();
        // A peer that has nothing to say for this long is gone or cut off.
        let read = tokio::time::timeout(STALE * 4, (&mut reader).take(LINE_LIMIT).read_line(&mut text)).await;
        if !matches!(read, Ok(Ok(n)) if n > 0) || !text.ends_with('\n') {
            return;
        }
        let Ok(line) = serde_json::from_str::<Line>(&text) else { return };
        let many = {
            let mut heard = lock(&node.heard);
            if node.settings.peers.iter().any(|p| p.node == line.node) {
                heard.told(line.node, line.store_serves, line.wants, Instant::now());
            }
            heard.counts.extend(line.counts);
            if !line.served.is_empty() {
                heard.served = Some((line.served, Instant::now()));
            }
            heard.counts.len() > MOST_HEARD
        };
        if many {
            node.tidy_counts();
        }
    }
}

/// One connection to one peer, made again whenever it breaks.
pub async fn tell(node: Arc<Node>, peer: Peer) {
    loop {
        if let Ok(Ok(stream)) = tokio::time::timeout(WRITE_WITHIN, TcpStream::connect(&peer.addr)).await {
            let error = tell_over(&node, &peer.node, stream).await;
            debug!(?error, peer = peer.node, "connection to another controller");
        }
        tokio::time::sleep(crate::sync::jitter(EVERY)).await;
    }
}

async fn tell_over(node: &Node, peer: &str, mut stream: TcpStream) -> std::io::Result<()> {
    let begun = Instant::now();
    let mut told: HashMap<JobId, Counts> = HashMap::new();
    let mut served_next = Instant::now();
    loop {
        let counts = node.counts_to_tell(&mut told, MOST_COUNTS);
        let mut served = Vec::new();
        if Instant::now() >= served_next {
            served_next = Instant::now() + SERVED_EVERY;
            served = node.served_to_tell();
        }
        let (name, wants) = (node.settings.node.clone(), node.wants());
        let line = Line { node: name, store_serves: node.can_answer(), wants, counts, served };
        let mut text = serde_json::to_string(&line).unwrap_or_default();
        text.push('\n');
        tokio::time::timeout(WRITE_WITHIN, stream.write_all(text.as_bytes()))
            .await
            .map_err(|_| std::io::ErrorKind::TimedOut)??;
        tokio::time::sleep(EVERY).await;
        // Lines go into a dead connection for minutes before it is known to be dead, and after a cut it
        // is tried again only after as long as the cut took.
        let now = Instant::now();
        if now.saturating_duration_since(begun) > ANEW_AFTER && !lock(&node.heard).hears(peer, now) {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// How long another has been answered tells an outage that has just ended from one of this controller's
    /// own: by its word of the moment every owner let its workers go at the end of every outage.
    #[test]
    fn since_when_the_others_can_answer() {
        let (t, s) = (Instant::now(), Duration::from_secs);
        let mut heard = Heard::default();
        for (at, node, serves, want) in [
            (0, "b", true, (1, Some(0))),
            (1, "b", true, (1, Some(1))),
            (2, "c", false, (2, Some(2))),
            (3, "b", false, (2, None)),
            (4, "b", true, (2, Some(0))),
            (5, "b", true, (2, Some(1))),
            // Not heard for a while: whatever it said before is void.
            (20, "b", true, (1, Some(0))),
        ] {
            heard.told(node.into(), serves, Default::default(), t + s(at));
            assert_eq!(heard.others(t + s(at)), (want.0, want.1.map(s)), "{node} at {at}");
        }
        assert!(heard.hears("b", t + s(23)) && !heard.hears("b", t + s(24)) && !heard.hears("c", t + s(20)));
    }
}
