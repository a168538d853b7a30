//! Keys and values in the store, and the compact form of a job's tasks.
//!
//! A job has exactly one key from its acceptance on: `c/o/ID` while it is open, then `h/d/ID` once
//! done or `h/w/ID` once cancelled, for ever. Every controller caches `c/` from `c/k` on: open
//! jobs, the lease holder, the leader record. `h/` is read only when somebody asks. `t/` holds the tasks of
//! open jobs in shards and is read by leaders only.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{End, JobSpec, well_formed_id};

/// Prefix of what every controller mirrors.
pub const CACHED_PREFIX: &str = "c/";
/// Listings of what is cached begin after this, past all that earlier builds have left.
pub const CACHED_START_AFTER: &str = "c/k";
/// Prefix of the keys of open jobs; the job's id follows.
pub const OPEN_JOB_PREFIX: &str = "c/o/";
/// Prefix of the keys of jobs that are done; the job's id follows.
pub const DONE_JOB_PREFIX: &str = "h/d/";
/// Prefix of the keys of cancelled jobs; the job's id follows.
pub const CANCELLED_JOB_PREFIX: &str = "h/w/";
/// Jobs and ends as builds before 0.2 kept them; ended ones stay there and are read when asked for.
pub const OLD_JOB_PREFIX: &str = "c/j/";
/// Prefix of the ends of jobs as builds before 0.2 kept them; the job's id follows.
pub const OLD_END_PREFIX: &str = "c/e/";
/// Written once nothing open is left under `OLD_JOB_PREFIX`.
pub const UPGRADED_KEY: &str = "c/upgraded";
/// Key of the lease holder ([`LeaseHolder`](crate::records::leadership::LeaseHolder)), attached to the election lease.
pub const LEASE_HOLDER_KEY: &str = "c/leader";
/// Key of the leader's record ([`LeaderRecord`](crate::records::leadership::LeaderRecord)). Its version is the leader's
/// fencing token.
pub const LEADER_RECORD_KEY: &str = "c/owner/0";
/// Written by a controller that workers turn to because they cannot reach the leader.
pub const TAKEOVER_REQUEST_KEY: &str = "c/plea";
/// The leader's watermark, stored where a controller does not hear it (`membership::watermark`).
pub const WATERMARK_KEY: &str = "c/watermark";
/// Prefix of shards of tasks; `ID/NUMBER` follows.
pub const TASK_SHARD_PREFIX: &str = "t/";

/// Tasks of one shard: a full one takes about 4 KiB, half of the smallest usual value, which leaves
/// room for longer names of machines. Larger shards mean fewer changes for jobs of hundreds.
pub const TASKS_PER_SHARD: u64 = 192;

/// Key of an open job.
pub fn open_key(id: &str) -> String {
    format!("{OPEN_JOB_PREFIX}{id}")
}
/// Key of a job that ended so.
pub fn ended_key(id: &str, end: End) -> String {
    match end {
        End::Done => format!("{DONE_JOB_PREFIX}{id}"),
        End::Cancelled => format!("{CANCELLED_JOB_PREFIX}{id}"),
    }
}
/// Both keys that a job may have ended under; none of them exists while it is open.
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

/// Reads back what `shard_key` made of a job's id, and nothing else.
pub fn parse_shard_key(key: &str) -> Option<(&str, u64)> {
    let (id, number) = key.strip_prefix(TASK_SHARD_PREFIX)?.split_once('/')?;
    let shard = number.parse().ok()?;
    (well_formed_id(id) && shard_key(id, shard) == key).then_some((id, shard))
}

/// A stored job: what was submitted, and when by the accepting controller's time of day.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as its user described it.
    pub spec: JobSpec,
    /// When it was accepted, in milliseconds since 1970 by the accepting controller's clock.
    pub at_ms: u64,
}

impl JobRecord {
    /// Age by time of day: it orders and values work, and nothing safe rests on it.
    pub fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.at_ms))
    }
}

/// What is kept of a job for ever: its description, and when it ended by the writer's time of day.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndedRecord {
    /// The job as it was while open.
    #[serde(flatten)]
    pub job: JobRecord,
    /// When it ended, in milliseconds since 1970 by the writer's clock.
    pub ended_ms: u64,
}

/// Room that `ended_ms` takes beyond the job's own record, in bytes of JSON.
pub const ENDED_RECORD_EXTRA_BYTES: usize = 40;

/// The end of a job as builds before 0.2 kept it.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct OldEndRecord {
    /// How the job ended.
    pub end: End,
}

/// That a store holds no open job of an earlier build any more, and whether it holds ended ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpgradeRecord {
    /// Whether ended jobs remain under [`OLD_JOB_PREFIX`] and [`OLD_END_PREFIX`].
    #[serde(rename = "old_kept")]
    pub old_jobs_kept: bool,
}

/// The time of day in milliseconds since 1970. May step in either direction.
pub fn time_of_day_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// What is stored of one task.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum StoredTask {
    /// Never bound to a machine.
    #[default]
    Untouched,
    /// Waiting after this many attempts.
    Waiting(u64),
    /// Bound: the number of the attempt, and the name of the machine.
    Bound(u64, String),
    /// Finished.
    Done,
}

/// One shard as a value: 0 untouched, -1 done, n waiting, [n, machine] bound.
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

/// At least as many bytes as an encoded shard takes, without encoding it.
pub fn max_shard_bytes(tasks: &[StoredTask]) -> usize {
    tasks.iter().map(|task| if let StoredTask::Bound(_, machine) = task { machine.len() + 26 } else { 22 }).sum()
}

/// Attempts beyond this are not believed: the next ones could not be numbered or stored.
pub const ATTEMPT_NUMBER_LIMIT: u64 = 1 << 62;

fn decode_attempt(value: &Value) -> Option<u64> {
    value.as_u64().filter(|attempt| *attempt < ATTEMPT_NUMBER_LIMIT)
}

/// Reads back what [`encode_shard`] made; none if any of its items cannot be read.
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
