//! Receiving lines of the other controllers, over a bounded number of connections. A line is applied as a whole or not
//! at all.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tracing::warn;

use super::line::{Line, LineError, MAX_LINE_BYTES};
use super::peers::{PeerReport, REPORT_LIFETIME};
use crate::membership::state::Membership;
use crate::records::leadership::{LeaderRecord, Watermark};
use crate::sync::lock;

/// Pause between two tries to bind the address, and after a connection that can't be accepted.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Limit on the connections read at the same time, including those of unknown senders.
const MAX_CONNECTIONS: usize = 32;
/// Number of counts from which on those of ended jobs are dropped; counts of open jobs remain.
const MAX_COUNTS_KEPT: usize = 10_000;

/// Returns the revision of a received watermark if it is accepted: its fencing token must be that of the leader record
/// known here, and its sender the leader. A rejected watermark of a leader that isn't known here yet, or that has been
/// replaced, is sent again by the leader at that time.
pub fn accepted_watermark(
    from: &str,
    received: Option<Watermark>,
    leader_record: Option<&(LeaderRecord, u64)>,
) -> Option<u64> {
    let (received, (leader, version)) = (received?, leader_record?);
    (leader.node == from && *version == received.fencing_token).then_some(received.revision)
}

/// Returns whether no leader can have sent this watermark. `known` is the last leader record that the watch has
/// reported up to the revision `through`. The watermark is impossible if its fencing token is newer than that leader
/// record but not newer than `through`, or if the token is that of another controller's leader record.
pub(super) fn names_impossible_leader(
    from: &str,
    received: Option<Watermark>,
    known: Option<&(LeaderRecord, u64)>,
    through: Option<u64>,
) -> bool {
    let (Some(received), Some((leader, version)), Some(through)) = (received, known, through) else { return false };
    let is_unknown = received.fencing_token > *version && received.fencing_token <= through;
    is_unknown || (received.fencing_token == *version && leader.node != from)
}

/// Accepts connections from the other controllers and reads their lines, for ever. Retries every second if the address
/// can't be bound.
pub async fn accept_connections(membership: Arc<Membership>) {
    let listener = loop {
        match TcpListener::bind(&membership.settings.mesh_listen).await {
            Ok(listener) => break listener,
            Err(error) => {
                warn!(%error, address = membership.settings.mesh_listen, "peer listener bind failed; retrying every second");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    };
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => accept(&membership, &connections, stream),
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Starts reading from a connection if the limit allows it; each connection may buffer one line.
pub(super) fn accept(membership: &Arc<Membership>, connections: &Arc<Semaphore>, stream: TcpStream) {
    let Ok(permit) = connections.clone().try_acquire_owned() else {
        if lock(&membership.peer_states).refused_connections.due(Instant::now()) {
            warn!(limit = MAX_CONNECTIONS, "peer connection limit reached; closing the new connection");
        }
        return;
    };
    let membership = membership.clone();
    tokio::spawn(async move {
        read_lines(membership, stream).await;
        drop(permit);
    });
}

/// Reads and applies lines until the connection ends or a line is rejected.
async fn read_lines(membership: Arc<Membership>, stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    let mut text = Vec::new();
    loop {
        text.clear();
        // A peer that sends nothing for this long has ended or is cut off.
        let mut limited = (&mut reader).take(MAX_LINE_BYTES);
        let read = limited.read_until(b'\n', &mut text);
        if !matches!(tokio::time::timeout(REPORT_LIFETIME * 4, read).await, Ok(Ok(n)) if n > 0) {
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

/// Applies a line of a peer as a whole, or rejects it without any effect.
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
    let exceeds_limit = {
        let mut peer_states = lock(&membership.peer_states);
        peer_states.record(
            PeerReport {
                node: line.node,
                store_serves: line.store_serves,
                store_demand: line.store_demand,
                acknowledged: line.acknowledged,
            },
            now,
        );
        peer_states.counts.extend(line.counts);
        // Service levels count only if they come from the leader.
        if leads && !line.service_levels.is_empty() {
            peer_states.service_levels = Some((line.service_levels, now));
        }
        peer_states.counts.len() > MAX_COUNTS_KEPT
    };
    if exceeds_limit {
        membership.drop_counts_of_ended_jobs();
    }
    Ok(())
}
