//! Format of a line between controllers, and the checks of received lines.
//!
//! The peer may run an older or a newer build. Unknown fields are ignored and missing fields have a default; a field or
//! list entry of a form unknown to this build is dropped without the rest of the line.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;

use crate::jobs::{JobId, TaskCounts, is_valid_job_id};
use crate::records::leadership::Watermark;
use crate::scheduling::fairness::ServiceLevel;
use crate::settings::Peer;
use crate::store::share::LimitDemand;

/// Size limit of a line; a longer line is dropped and its connection closed.
pub(super) const MAX_LINE_BYTES: u64 = 256 * 1024;
/// Limit on the counts in a line; further changed counts follow with later lines.
pub(super) const MAX_COUNTS: usize = 2000;
/// Limit on the service levels in a line.
pub const MAX_SERVICE_LEVELS: usize = 200;

/// Message that a controller sends to another as one JSON line.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Line {
    /// Name of the sender.
    pub node: String,
    /// Whether the sender's knowledge of the store is fresh enough to answer users.
    pub store_serves: bool,
    /// The sender's demand on the state service, in requests and in changes.
    #[serde(rename = "wants", default, deserialize_with = "or_default")]
    pub store_demand: [LimitDemand; 2],
    /// Counts of jobs that have changed since the last line, from the leader.
    #[serde(default, deserialize_with = "decodable_entries")]
    pub counts: Vec<(JobId, TaskCounts)>,
    /// Service levels of the leader's fair-share accounting, in some of the lines.
    #[serde(rename = "served", default, deserialize_with = "decodable_entries")]
    pub service_levels: Vec<ServiceLevel>,
    /// Watermark of the sender if it leads; builds before 0.3 send none.
    #[serde(default, deserialize_with = "or_default")]
    pub watermark: Option<Watermark>,
    /// Highest watermark known to the sender, from any source.
    #[serde(default, deserialize_with = "or_default")]
    pub acknowledged: u64,
}

/// Reason why a line is dropped.
#[derive(Debug, thiserror::Error)]
pub(super) enum LineError {
    /// The line does not end within the size limit.
    #[error("the line is longer than the limit of {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The connection ended within the line.
    #[error("the connection ended before the end of the line")]
    Unfinished,
    /// The line is not the JSON of a message.
    #[error("the line cannot be decoded: {0}")]
    Undecodable(#[from] serde_json::Error),
    /// The sender is not a peer by the settings.
    #[error("sender {0:?} is not among the peers in the settings")]
    UnknownPeer(String),
    /// The fencing token of the watermark belongs to no leader record of the sender, whose name is given.
    #[error("the watermark of sender {0:?} names a leader record that never existed")]
    UnknownLeaderRecord(String),
}

impl Line {
    /// Decodes a line, which includes its line break, from one of these peers.
    pub fn read(text: &[u8], peers: &[Peer]) -> Result<Self, LineError> {
        if text.last() != Some(&b'\n') {
            let is_shorter = (text.len() as u64) < MAX_LINE_BYTES;
            return Err(if is_shorter { LineError::Unfinished } else { LineError::TooLong });
        }
        let mut line: Self = serde_json::from_slice(text)?;
        if !peers.iter().any(|peer| peer.node == line.node) {
            return Err(LineError::UnknownPeer(line.node));
        }
        line.counts.retain(|(id, _)| is_valid_job_id(id));
        line.counts.truncate(MAX_COUNTS);
        line.service_levels.truncate(MAX_SERVICE_LEVELS);
        Ok(line)
    }
}

/// Decodes a field; a field of a form unknown to this build gets its default.
fn or_default<'de, D: Deserializer<'de>, T: DeserializeOwned + Default>(field: D) -> Result<T, D::Error> {
    let value = Value::deserialize(field)?;
    Ok(T::deserialize(value).unwrap_or_default())
}

/// Decodes the entries of a list and drops those of a form unknown to this build.
fn decodable_entries<'de, D: Deserializer<'de>, T: DeserializeOwned>(field: D) -> Result<Vec<T>, D::Error> {
    let Value::Array(entries) = Value::deserialize(field)? else { return Ok(Vec::new()) };
    Ok(entries.into_iter().filter_map(|entry| T::deserialize(entry).ok()).collect())
}

#[cfg(test)]
mod tests;
