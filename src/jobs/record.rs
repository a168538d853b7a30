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
/// Key of the confirmed cancellations ([`ConfirmedCancellations`](crate::records::leadership::ConfirmedCancellations)).
/// No user is told of a cancellation before this key confirms it.
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
/// Key of the shard that holds a job's tasks from number `first_task` on. Blocks of [`TASKS_PER_SHARD`] tasks are
/// numbered, and a shard that was split off a block adds the position of its first task in the block. In key order each
/// shard stands before the next one of its job.
pub fn shard_key(id: &str, first_task: u64) -> String {
    let (block, position) = (first_task / TASKS_PER_SHARD, first_task % TASKS_PER_SHARD);
    if position == 0 {
        format!("{TASK_SHARD_PREFIX}{id}/{block:05}")
    } else {
        format!("{TASK_SHARD_PREFIX}{id}/{block:05}-{position:03}")
    }
}

/// The job's id and the number of the shard's first task of a key that [`shard_key`] made; none for any other key.
pub fn parse_shard_key(key: &str) -> Option<(&str, u64)> {
    let (id, place) = key.strip_prefix(TASK_SHARD_PREFIX)?.split_once('/')?;
    let (block, position) = place.split_once('-').unwrap_or((place, "0"));
    let first_task = block.parse::<u64>().ok()?.checked_mul(TASKS_PER_SHARD)?.checked_add(position.parse().ok()?)?;
    (is_valid_job_id(id) && shard_key(id, first_task) == key).then_some((id, first_task))
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

    /// Size of the record as JSON, in bytes.
    pub fn json_bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |json| json.len())
    }

    /// Upper bound on the size of the record of an end as JSON, in bytes, computed without encoding it.
    fn max_json_bytes(&self) -> usize {
        let spec = &self.spec;
        let texts = [&*spec.id, &spec.class, &spec.team, &spec.image].into_iter();
        let texts = texts.chain(spec.zone.as_deref()).chain(spec.types.iter().flatten().map(String::as_str));
        texts.map(|text| text.len() * MAX_JSON_BYTES_PER_TEXT_BYTE + TEXT_FRAMING_BYTES).sum::<usize>()
            + MAX_RECORD_BYTES_WITHOUT_TEXTS
    }
}

/// Most bytes of JSON for one byte of text: a control character is escaped as `\u0000`.
const MAX_JSON_BYTES_PER_TEXT_BYTE: usize = 6;
/// Quotes and comma of a text.
const TEXT_FRAMING_BYTES: usize = 3;
/// Most bytes of JSON that the record of an ended job takes without its texts: field names, numbers and flags.
const MAX_RECORD_BYTES_WITHOUT_TEXTS: usize = 700;

/// An ended job as it is stored forever: the job's record, and when it ended.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndedRecord {
    /// The job's record as it was while the job was open, possibly without the texts that only a start needs
    /// ([`Self::fitting`]).
    #[serde(flatten)]
    pub job: JobRecord,
    /// When the job ended, in milliseconds since 1970 by the writing controller's wall clock.
    pub ended_ms: u64,
    /// Whether the state service had lost the end, and it was written again later than it was first stored.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub restored: bool,
}

impl EndedRecord {
    /// Creates the record of an end that takes at most `max_bytes` of JSON, if the job's record does or can be cut to
    /// that. The end of a job must be stored whatever its user sent, and an ended job is never started again: its class,
    /// image, machine types and zone are left out where the whole record is too large.
    pub fn fitting(record: &JobRecord, ended_ms: u64, max_bytes: usize) -> Self {
        let mut job = record.clone();
        if record.max_json_bytes() > max_bytes && record.json_bytes() + ENDED_RECORD_EXTRA_BYTES > max_bytes {
            job.spec.class = String::new();
            job.spec.image = String::new();
            job.spec.types = None;
            job.spec.zone = None;
        }
        Self { job, ended_ms, restored: false }
    }
}

/// Most bytes of JSON that an [`EndedRecord`] takes beyond the job's own record.
pub const ENDED_RECORD_EXTRA_BYTES: usize = 56;

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

/// Field of an encoded shard that holds only a part of its block. Builds that do not split shards cannot decode it, and
/// so treat the block as unreadable in place of taking the other parts' tasks for untouched.
const PART_FIELD: &str = "part";

/// Encodes one shard as an array with one item per task: `0` untouched, `-1` done, `n` waiting after n attempts,
/// `[n, machine]` bound in attempt n. With `is_part`, the shard holds only a part of the tasks of its block, and the
/// array stands in an object.
pub fn encode_shard(tasks: &[StoredTask], is_part: bool) -> Value {
    let tasks = encode_tasks(tasks);
    if is_part { serde_json::json!({ PART_FIELD: tasks }) } else { tasks }
}

fn encode_tasks(tasks: &[StoredTask]) -> Value {
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

/// Size of an encoded shard as JSON, in bytes.
pub fn shard_bytes(tasks: &[StoredTask]) -> usize {
    encode_shard(tasks, true).to_string().len()
}

/// Attempt numbers from this one on are rejected when read: later attempts could not be numbered or stored.
pub const ATTEMPT_NUMBER_LIMIT: u64 = 1 << 62;

/// Decodes an attempt number below [`ATTEMPT_NUMBER_LIMIT`].
fn decode_attempt(value: &Value) -> Option<u64> {
    value.as_u64().filter(|attempt| *attempt < ATTEMPT_NUMBER_LIMIT)
}

/// Decodes a shard encoded by [`encode_shard`], whole or a part; none if any of its items is invalid.
pub fn decode_shard(value: &Value) -> Option<Vec<StoredTask>> {
    value
        .get(PART_FIELD)
        .unwrap_or(value)
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
