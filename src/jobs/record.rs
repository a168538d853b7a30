//! Keys and values in the store, and the compact form of a job's tasks.
//!
//! `c/` is what every controller mirrors: jobs (`c/j/`), ends (`c/e/`), the leader and the
//! assignment. `t/` holds the tasks of a job in chunks and is read by owners only.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{End, JobSpec};

pub const MIRRORED: &str = "c/";
pub const JOBS: &str = "c/j/";
pub const ENDS: &str = "c/e/";
pub const LEADER: &str = "c/leader";
pub const ASSIGNMENT: &str = "c/owner/0";
/// Written by a controller that workers turn to because they cannot reach the owner.
pub const PLEA: &str = "c/plea";
pub const TASKS: &str = "t/";

/// Tasks of one chunk: a full one takes about 4 KiB, half of the smallest usual value, which leaves
/// room for longer names of machines. Larger chunks mean fewer changes for jobs of hundreds.
pub const CHUNK: u64 = 192;

pub fn job_key(id: &str) -> String {
    format!("{JOBS}{id}")
}
pub fn end_key(id: &str) -> String {
    format!("{ENDS}{id}")
}
pub fn chunk_key(id: &str, chunk: u64) -> String {
    format!("{TASKS}{id}/{chunk:05}")
}

/// Reads back what `chunk_key` made.
pub fn parse_chunk_key(key: &str) -> Option<(&str, u64)> {
    let (id, chunk) = key.strip_prefix(TASKS)?.split_once('/')?;
    Some((id, chunk.parse().ok()?))
}

/// A stored job: what was submitted, and when by the accepting controller's time of day.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    pub spec: JobSpec,
    pub at_ms: u64,
}

impl JobRecord {
    /// Age by time of day: it orders and values work, and nothing safe rests on it.
    pub fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.at_ms))
    }
}

/// When it ended tells how soon a withdrawn job's tasks must be gone.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct EndRecord {
    pub end: End,
    #[serde(default)]
    pub at_ms: u64,
}

pub fn time_of_day_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// What is stored of one task.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Stored {
    #[default]
    Untouched,
    /// Waiting after this many attempts.
    Waiting(u64),
    Bound(u64, String),
    Done,
}

/// One chunk as a value: 0 untouched, -1 done, n waiting, [n, machine] bound.
pub fn encode_chunk(tasks: &[Stored]) -> Value {
    let items = tasks
        .iter()
        .map(|task| match task {
            Stored::Untouched => Value::from(0),
            Stored::Done => Value::from(-1),
            Stored::Waiting(attempt) => Value::from(*attempt),
            Stored::Bound(attempt, machine) => Value::from(vec![Value::from(*attempt), Value::from(machine.as_str())]),
        })
        .collect();
    Value::Array(items)
}

/// At least as many bytes as an encoded chunk takes, without encoding it.
pub fn chunk_size(tasks: &[Stored]) -> usize {
    tasks.iter().map(|task| if let Stored::Bound(_, machine) = task { machine.len() + 26 } else { 22 }).sum()
}

pub fn decode_chunk(value: &Value) -> Option<Vec<Stored>> {
    value
        .as_array()?
        .iter()
        .map(|item| match item {
            Value::Array(pair) => Some(Stored::Bound(pair.first()?.as_u64()?, pair.get(1)?.as_str()?.to_owned())),
            other => match other.as_i64()? {
                -1 => Some(Stored::Done),
                0 => Some(Stored::Untouched),
                n => Some(Stored::Waiting(u64::try_from(n).ok()?)),
            },
        })
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn chunks_and_keys_read_back() {
        let tasks = vec![Stored::Untouched, Stored::Waiting(3), Stored::Bound(4, "host-000231".into()), Stored::Done];
        assert_eq!(decode_chunk(&encode_chunk(&tasks)).unwrap(), tasks);
        assert_eq!(parse_chunk_key(&chunk_key("run-000012", 7)), Some(("run-000012", 7)));
        for bad in ["c/j/run-1", "t/run-1", "t/run-1/x"] {
            assert_eq!(parse_chunk_key(bad), None, "{bad}");
        }
        for bad in [serde_json::json!({}), serde_json::json!([[1]]), serde_json::json!([-2])] {
            assert_eq!(decode_chunk(&bad), None, "{bad}");
        }
    }
}
