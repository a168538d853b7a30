//! The format of one line between controllers, and which lines are accepted.
//!
//! The peer may run an older or a newer build. Unknown fields are ignored and missing ones have a default; if a field
//! or an entry has another form than in this build, only that field or entry is lost.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;

use crate::jobs::{Counts, JobId, well_formed_id};
use crate::records::leadership::Watermark;
use crate::scheduling::fairness::ServiceLevel;
use crate::settings::Peer;
use crate::store::share::LimitDemand;

/// A line is dropped with its connection past this size, in bytes.
pub(super) const LINE_LIMIT: u64 = 256 * 1024;
/// Counts told per line, the most recently changed first.
pub(super) const MOST_COUNTS: usize = 2000;
/// Rows of the account told at once.
pub const MOST_ROWS: usize = 200;

/// What a controller tells another.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Line {
    pub node: String,
    /// Whether the sender can answer questions by what is stored.
    pub store_serves: bool,
    /// What the sender wants of the state service, in requests and in changes.
    #[serde(default, deserialize_with = "or_default")]
    pub wants: [LimitDemand; 2],
    /// Counts of jobs that changed since the last line, from the leader.
    #[serde(default, deserialize_with = "readable")]
    pub counts: Vec<(JobId, Counts)>,
    /// The leader's account of who is served, once in a while.
    #[serde(default, deserialize_with = "readable")]
    pub served: Vec<ServiceLevel>,
    /// The leader's own watermark; builds before 0.3 tell none.
    #[serde(default, deserialize_with = "or_default")]
    pub watermark: Option<Watermark>,
    /// The highest watermark that the sender has heard of, from whomever.
    #[serde(default, deserialize_with = "or_default")]
    pub acknowledged: u64,
}

/// Why a line is dropped.
#[derive(Debug, thiserror::Error)]
pub(super) enum LineError {
    /// No end of the line within the limit.
    #[error("it is longer than {LINE_LIMIT} bytes")]
    TooLong,
    /// The connection ended within the line.
    #[error("it ends in the middle")]
    Unfinished,
    /// It is not the JSON of a line.
    #[error("it cannot be decoded: {0}")]
    Undecodable(#[from] serde_json::Error),
    /// It names a sender that the settings do not.
    #[error("{0:?} is no controller by the settings")]
    UnknownPeer(String),
    /// Its watermark names a leader record that never was; given with its sender.
    #[error("{0:?} names a leader record that never was")]
    UnknownLeaderRecord(String),
}

impl Line {
    /// A line of one of these peers, with the end of the line.
    pub fn read(text: &[u8], peers: &[Peer]) -> Result<Self, LineError> {
        if text.last() != Some(&b'\n') {
            let whole = (text.len() as u64) < LINE_LIMIT;
            return Err(if whole { LineError::Unfinished } else { LineError::TooLong });
        }
        let mut line: Self = serde_json::from_slice(text)?;
        if !peers.iter().any(|peer| peer.node == line.node) {
            return Err(LineError::UnknownPeer(line.node));
        }
        line.counts.retain(|(id, _)| well_formed_id(id));
        line.counts.truncate(MOST_COUNTS);
        line.served.truncate(MOST_ROWS);
        Ok(line)
    }
}

/// A field that is not as this build has it counts as missing.
fn or_default<'de, D: Deserializer<'de>, T: DeserializeOwned + Default>(field: D) -> Result<T, D::Error> {
    let value = Value::deserialize(field)?;
    Ok(T::deserialize(value).unwrap_or_default())
}

/// The entries of a list that are as this build has them.
fn readable<'de, D: Deserializer<'de>, T: DeserializeOwned>(field: D) -> Result<Vec<T>, D::Error> {
    let Value::Array(entries) = Value::deserialize(field)? else { return Ok(Vec::new()) };
    Ok(entries.into_iter().filter_map(|entry| T::deserialize(entry).ok()).collect())
}

#[cfg(test)]
mod tests;
