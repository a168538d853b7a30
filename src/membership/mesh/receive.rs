//! Receiving lines of the other controllers: a bounded number of connections, and lines that are taken whole or not at
//! all.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tracing::warn;

use super::line::{LINE_LIMIT, Line, LineError};
use super::peers::{PeerReport, STALE};
use crate::membership::state::Membership;
use crate::records::leadership::{LeaderRecord, Watermark};
use crate::sync::lock;

/// Between two tries to bind the address, and after a connection that cannot be accepted.
const RETRY: Duration = Duration::from_secs(1);
/// Connections that are read at once, of all peers and strangers.
const MOST_CONNECTIONS: usize = 32;
/// Counts kept before those of ended jobs are looked for; open jobs are what remains.
const MOST_COUNTS_KEPT: usize = 10_000;

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
pub(super) fn names_impossible_leader(
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
                tokio::time::sleep(RETRY).await;
            }
        }
    };
    let free = Arc::new(Semaphore::new(MOST_CONNECTIONS));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => accept(&membership, &free, stream),
            Err(_) => tokio::time::sleep(RETRY).await,
        }
    }
}

/// Reads from one more connection, if there are not too many: each may hold a line.
pub(super) fn accept(membership: &Arc<Membership>, free: &Arc<Semaphore>, stream: TcpStream) {
    let Ok(permit) = free.clone().try_acquire_owned() else {
        if lock(&membership.peer_states).refused_connections.due(Instant::now()) {
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
            if lock(&membership.peer_states).rejected_lines.due(Instant::now()) {
                warn!(bytes = text.len(), %error, "peer message rejected; closing the connection");
            }
            return;
        }
    }
}

/// Takes in what a peer has said, or nothing at all of it.
pub(super) fn apply_line(membership: &Membership, text: &[u8], now: Instant) -> Result<(), LineError> {
    let line = Line::read(text, &membership.settings.peers)?;
    let (watermark, leads) = {
        let watch_cache = membership.store.watch_cache();
        let leader_record = watch_cache.leader_record();
        if names_impossible_leader(&line.node, line.watermark, leader_record, watch_cache.watch_revision()) {
            return Err(LineError::UnknownLeaderRecord(line.node));
        }
        let leads = leader_record.is_some_and(|(leader, _)| leader.node == line.node);
        (accepted_watermark(&line.node, line.watermark, leader_record), leads)
    };
    membership.history.advance_watermark(watermark.unwrap_or(0));
    let many = {
        let mut heard = lock(&membership.peer_states);
        heard.record(
            PeerReport {
                node: line.node,
                store_serves: line.store_serves,
                wants: line.wants,
                acknowledged: line.acknowledged,
            },
            now,
        );
        heard.counts.extend(line.counts);
        // Whoever does not lead has no account to tell.
        if leads && !line.served.is_empty() {
            heard.served = Some((line.served, now));
        }
        heard.counts.len() > MOST_COUNTS_KEPT
    };
    if many {
        membership.drop_counts_of_ended_jobs();
    }
    Ok(())
}
