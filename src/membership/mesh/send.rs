//! Sending lines to one other controller.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tracing::debug;

use super::line::{Line, MOST_COUNTS};
use crate::jobs::{Counts, JobId};
use crate::membership::state::Membership;
use crate::settings::Peer;
use crate::sync::lock;

/// A whole line is sent this often.
const EVERY: Duration = Duration::from_secs(1);
/// Between two lines at the least, where the watermark is waited for.
const PROMPT: Duration = Duration::from_millis(100);
/// The account is told this often: what its successor may lack of it.
const SERVED_EVERY: Duration = Duration::from_secs(20);
const WRITE_WITHIN: Duration = Duration::from_secs(2);
/// A connection to a peer that says nothing itself is made anew after this.
const ANEW_AFTER: Duration = Duration::from_secs(5);

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
    let mut changes = membership.wakeups.mesh.subscribe();
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
        let _ = tokio::time::timeout(whole_next.saturating_duration_since(Instant::now()), changes.changed()).await;
        // Lines go into a dead connection for minutes before it is known to be dead, and after a cut it
        // is tried again only after as long as the cut took.
        let now = Instant::now();
        if now.saturating_duration_since(begun) > ANEW_AFTER && !lock(&membership.peer_states).hears(peer, now) {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
    }
}
