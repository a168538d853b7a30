//! Sending lines to one other controller.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tracing::debug;

use super::line::{Line, MAX_COUNTS};
use crate::jobs::{JobId, TaskCounts};
use crate::membership::state::Membership;
use crate::settings::Peer;
use crate::sync::lock;

/// Interval between two lines, and about the pause before a reconnect.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two lines with service levels; a successor lacks at most the starts of this time.
const SERVICE_LEVEL_INTERVAL: Duration = Duration::from_secs(20);
/// Timeout of a connection attempt and of writing a line.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Age from which on a connection is replaced if its peer sends no lines itself.
const MAX_SILENT_CONNECTION_AGE: Duration = Duration::from_secs(5);

/// Sends lines to one peer for ever, over one connection that is opened again whenever it breaks.
pub async fn send_lines(membership: Arc<Membership>, peer: Peer) {
    loop {
        if let Ok(Ok(stream)) = tokio::time::timeout(WRITE_TIMEOUT, TcpStream::connect(&peer.addr)).await {
            let error = send_lines_over(&membership, &peer.node, stream).await;
            debug!(?error, peer = peer.node, "peer connection lost");
        }
        tokio::time::sleep(crate::sync::jitter(LINE_INTERVAL)).await;
    }
}

/// Sends lines over one connection until it breaks.
async fn send_lines_over(membership: &Membership, peer: &str, mut stream: TcpStream) -> std::io::Result<()> {
    let connected_at = Instant::now();
    let mut sent_counts: HashMap<JobId, TaskCounts> = HashMap::new();
    let mut next_service_levels = Instant::now();
    loop {
        let next_line = Instant::now() + LINE_INTERVAL;
        let counts = membership.changed_counts(&mut sent_counts, MAX_COUNTS);
        let mut service_levels = Vec::new();
        if Instant::now() >= next_service_levels {
            next_service_levels = Instant::now() + SERVICE_LEVEL_INTERVAL;
            service_levels = membership.accounting_to_send();
        }
        let (node, store_demand) = (membership.settings.node.clone(), membership.store_demand());
        let (watermark, acknowledged) = (membership.watermark(), membership.history.watermark());
        let line = Line {
            node,
            store_serves: membership.can_answer(),
            store_demand,
            counts,
            service_levels,
            watermark,
            acknowledged,
        };
        let mut text = serde_json::to_string(&line).unwrap_or_default();
        text.push('\n');
        tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(text.as_bytes()))
            .await
            .map_err(|_| std::io::ErrorKind::TimedOut)??;
        tokio::time::sleep(next_line.saturating_duration_since(Instant::now())).await;
        // Writes to a dead connection succeed for minutes before it is reported as dead, and after a partition the
        // network stack retransmits only after a time as long as the partition.
        let now = Instant::now();
        if now.saturating_duration_since(connected_at) > MAX_SILENT_CONNECTION_AGE
            && !lock(&membership.peer_states).is_recent(peer, now)
        {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
    }
}
