//! Keys and values in the store, and the compact encoding of a job's tasks.
//!
//! A job has exactly one key from its acceptance on: `c/o/ID` while it is open, then `h/d/ID` once it is done or `h/w/ID`
//! once it is cancelled, and that key stays forever. Every controller caches the keys under `c/` that follow `c/k`: open
//! jobs, the lease holder, the leader record. Keys under `h/` are read only on request. `t/` holds the tasks of open jobs
//! in shards, which only leaders read.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{End, JobSpec, is_valid_job_id};

/// Prefix of the keys that every controller caches.
pub const CACHED_PREFIX: &str = "c/";
/// Listings of cached keys start after this key, which skips all keys that earlier builds left behind.
pub const CACHED_START_AFTER: &str = "c/k";
/// Prefix of the keys of open jobs; the job's id follows.
pub const OPEN_JOB_PREFIX: &str = "c/o/";
/// Prefix of the keys of jobs that are done; the job's id follows.
pub const DONE_JOB_PREFIX: &str = "h/d/";
/// Prefix of the keys of cancelled jobs; the job's id follows.
pub const CANCELLED_JOB_PREFIX: &str = "h/w/";
/// Prefix of the keys of jobs, open or ended, as builds before 0.2 stored them; the job's id follows. Ended jobs stay
/// under these keys and are read on request.
pub const OLD_JOB_PREFIX: &str = "c/j/";
/// Prefix of the keys of ends of jobs as builds before 0.2 stored them; the job's id follows.
pub const OLD_END_PREFIX: &str = "c/e/";
/// Key that marks the store as upgraded ([`UpgradeRecord`]). It is written once no open job is left under
/// [`OLD_JOB_PREFIX`].
pub const UPGRADED_KEY: &str = "c/upgraded";
/// Key of the lease holder ([`LeaseHolder`](crate::records::leadership::LeaseHolder)), attached to the election lease.
pub const LEASE_HOLDER_KEY: &str = "c/leader";
/// Key of the leader's record ([`LeaderRecord`](crate::records::leadership::LeaderRecord)). Its version is the leader's
/// fencing token.
pub const LEADER_RECORD_KEY: &str = "c/owner/0";
/// Key of a takeover request ([`TakeoverRequest`](crate::records::leadership::TakeoverRequest)), written by a controller
/// that workers turn to because they cannot reach the leader.
pub const TAKEOVER_REQUEST_KEY: &str = "c/plea";
/// Key of the leader's watermark, which is stored if some controller does not receive it directly
/// (`membership::watermark`).
pub const WATERMARK_KEY: &str = "c/watermark";
/// Prefix of the keys of task shards; `ID/NUMBER` follows.
pub const TASK_SHARD_PREFIX: &str = "t/";

/// Number of tasks in a full shard. A full shard takes about 4 KiB, half of the smallest usual limit on a value, which
/// leaves room for longer machine names. Larger shards mean fewer changes for jobs of hundreds of tasks.
pub const TASKS_PER_SHARD: u64 = 192;

/// Key of an open job.
pub fn open_key(id: &str) -> String {
    format!("{OPEN_JOB_PREFIX}{id}")
}
/// Key of a job with this end.
pub fn ended_key(id: &str, end: End) -> String {
    match end {
        End::Done => format!("{DONE_JOB_PREFIX}{id}"),
        End::Cancelled => format!("{CANCELLED_JOB_PREFIX}{id}"),
    }
}
/// The keys that a job may have after its end, one for each end; none of them exists while the job is open.
pub fn ended_keys(id: &str) -> [String; 2] {
    [End::Done, End::Cancelled].map(|end| ended_key(id, end))
}
/// Key of a job, open or ended, in builds before 0.2.
pub fn old_job_key(id: &str) -> String {
    format!("{OLD_JOB_PREFIX}{id}")
}
/// Key of a job's end in builds before 0.2.
pub fn old_end_key(id: &str) -> String {
    format!("{OLD_END_PREFIX}{id}")
}
/// Key of one shard of a job's tasks: shard n holds the tasks from n × [`TASKS_PER_SHARD`] on.
pub fn shard_key(id: &str, shard: u64) -> String {
    format!("{TASK_SHARD_PREFIX}{id}/{shard:05}")
}

/// The job's id and the shard's number of a key that [`shard_key`] made; none for any other key.
pub fn parse_shard_key(key: &str) -> Option<(&str, u64)> {
    let (id, number) = key.strip_prefix(TASK_SHARD_PREFIX)?.split_once('/')?;
    let shard = number.parse().ok()?;
    (is_valid_job_id(id) && shard_key(id, shard) == key).then_some((id, shard))
}

/// A stored job: its description, and when it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as its user described it.
    pub spec: JobSpec,
    /// When the job was accepted, in milliseconds since 1970 by the accepting controller's wall clock.
    #[serde(rename = "at_ms")]
    pub accepted_ms: u64,
}

impl JobRecord {
    /// Age of the job by wall clock. It only orders and weighs work: no safety property depends on it.
    pub fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.accepted_ms))
    }
}

/// An ended job as it is stored forever: the job's record, and when it ended.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndedRecord {
    /// The job's record as it was while the job was open.
    #[serde(flatten)]
    pub job: JobRecord,
    /// When the job ended, in milliseconds since 1970 by the writing controller's wall clock.
    pub ended_ms: u64,
}

/// Most bytes of JSON that an [`EndedRecord`] takes beyond the job's own record.
pub const ENDED_RECORD_EXTRA_BYTES: usize = 40;

/// The end of a job as builds before 0.2 stored it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct OldEndRecord {
    /// How the job ended.
    pub end: End,
}

/// States that the store holds no open job of an earlier build any more, and whether it holds ended ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpgradeRecord {
    /// Whether ended jobs remain under [`OLD_JOB_PREFIX`] and [`OLD_END_PREFIX`].
    #[serde(rename = "old_kept")]
    pub old_jobs_kept: bool,
}

/// Wall-clock time in milliseconds since 1970. It may step in either direction.
pub fn time_of_day_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The stored state of one task.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum StoredTask {
    /// The task was never bound to a machine.
    #[default]
    Untouched,
    /// The task waits after this many attempts.
    Waiting(u64),
    /// The task is bound: the number of the attempt, and the name of the machine.
    Bound(u64, String),
    /// The task finished.
    Done,
}

/// Encodes one shard as an array with one item per task: `0` untouched, `-1` done, `n` waiting after n attempts,
/// `[n, machine]` bound in attempt n.
pub fn encode_shard(tasks: &[StoredTask]) -> Value {
    let items = tasks
        .iter()
        .map(|task| match task {
            StoredTask::Untouched => Value::from(0),
            StoredTask::Done => Value::from(-1),
            StoredTask::Waiting(attempt) => Value::from(*attempt),
            StoredTask::Bound(attempt, machine) => {
                Value::from(vec![Value::from(*attempt), Value::from(machine.as_str())])
            }
        })
        .collect();
    Value::Array(items)
}

/// Upper bound on the bytes of an encoded shard, computed without encoding it.
pub fn max_shard_bytes(tasks: &[StoredTask]) -> usize {
    tasks.iter().map(|task| if let StoredTask::Bound(_, machine) = task { machine.len() + 26 } else { 22 }).sum()
}

/// Attempt numbers from this one on are rejected when read: later attempts could not be numbered or stored.
pub const ATTEMPT_NUMBER_LIMIT: u64 = 1 << 62;

/// Decodes an attempt number below [`ATTEMPT_NUMBER_LIMIT`].
fn decode_attempt(value: &Value) -> Option<u64> {
    value.as_u64().filter(|attempt| *attempt < ATTEMPT_NUMBER_LIMIT)
}

/// Decodes a shard encoded by [`encode_shard`]; none if any of its items is invalid.
pub fn decode_shard(value: &Value) -> Option<Vec<StoredTask>> {
    value
        .as_array()?
        .iter()
        .map(|item| match item {
            Value::Array(pair) => {
                Some(StoredTask::Bound(decode_attempt(pair.first()?)?, pair.get(1)?.as_str()?.to_owned()))
            }
            other => match other.as_i64()? {
                -1 => Some(StoredTask::Done),
                0 => Some(StoredTask::Untouched),
                _ => Some(StoredTask::Waiting(decode_attempt(other)?)),
            },
        })
        .collect()
}

#[cfg(test)]
mod tests;
