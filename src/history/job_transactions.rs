//! The compare-and-swaps that move a job from key to key: accepted, ended, adopted from an earlier build.
//!
//! Each compare-and-swap is conditional on all keys that the job may have. So the one applied first decides, and a late
//! copy of any other finds the job under another key and fails.

use serde::Serialize;
use serde_json::Value;

use crate::jobs::End;
use crate::jobs::record::{
    CANCELLED_JOB_PREFIX, DONE_JOB_PREFIX, EndedRecord, JobRecord, LEADER_RECORD_KEY, OLD_JOB_PREFIX, OPEN_JOB_PREFIX,
    ended_key, ended_keys, old_end_key, old_job_key, open_key,
};
use crate::store::{Change, Condition};

/// The conditions and changes of a compare-and-swap about one job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobTransaction {
    /// Versions that keys must have for the changes to be applied.
    pub conditions: Vec<Condition>,
    /// Keys written and dropped if all conditions hold.
    pub changes: Vec<Change>,
}

/// The key under which a job was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobLocation {
    /// The key of open jobs.
    Open,
    /// The key of jobs with this end.
    Ended(End),
    /// The key of an earlier build. The job has ended, unless that build's acceptance was applied late.
    EarlierBuild,
}

fn to_value(record: &impl Serialize) -> Value {
    serde_json::to_value(record).unwrap_or_default()
}

/// Conditions that hold if the job has not ended.
pub fn not_ended_conditions(id: &str) -> impl Iterator<Item = Condition> {
    ended_keys(id).into_iter().map(Condition::absent)
}

/// Conditions that hold if the job was never accepted. `old_jobs_kept` says whether the store may hold jobs of earlier
/// builds.
pub fn never_accepted_conditions(id: &str, old_jobs_kept: bool) -> impl Iterator<Item = Condition> {
    let earlier_build = old_jobs_kept.then(|| Condition::absent(old_job_key(id)));
    std::iter::once(Condition::absent(open_key(id))).chain(not_ended_conditions(id)).chain(earlier_build)
}

/// The job that a key belongs to and the location that the key stands for; none if the key is not a job's. A failed
/// condition of [`never_accepted_conditions`] or [`not_ended_conditions`] shows that its key exists.
pub fn locate_job(key: &str) -> Option<(&str, JobLocation)> {
    let locations = [
        (OPEN_JOB_PREFIX, JobLocation::Open),
        (DONE_JOB_PREFIX, JobLocation::Ended(End::Done)),
        (CANCELLED_JOB_PREFIX, JobLocation::Ended(End::Cancelled)),
        (OLD_JOB_PREFIX, JobLocation::EarlierBuild),
    ];
    locations.into_iter().find_map(|(prefix, location)| Some((key.strip_prefix(prefix)?, location)))
}

/// The job's end, if one of `keys`, which exist in the store, shows it.
pub fn find_end<'a>(keys: impl IntoIterator<Item = &'a String>, id: &str) -> Option<End> {
    keys.into_iter().filter_map(|key| locate_job(key)).find_map(|(job, location)| match location {
        JobLocation::Ended(end) if job == id => Some(end),
        _ => None,
    })
}

/// The transaction that accepts a job and stores it as open. It fails if the job was accepted before.
pub fn accept_job(record: &JobRecord, old_jobs_kept: bool) -> JobTransaction {
    let id = &record.spec.id;
    JobTransaction {
        conditions: never_accepted_conditions(id, old_jobs_kept).collect(),
        changes: vec![Change::write(open_key(id), to_value(record))],
    }
}

/// The two changes that end a job: the key of its end is written, its open key dropped. The stored record of the end is
/// cut to `max_bytes`.
pub fn end_changes(record: &JobRecord, end: End, now_ms: u64, max_bytes: usize) -> [Change; 2] {
    move_to_end(&EndedRecord::fitting(record, now_ms, max_bytes), end)
}

/// The two changes that write an end again which the state service has lost.
pub fn restored_end_changes(record: &JobRecord, end: End, now_ms: u64, max_bytes: usize) -> [Change; 2] {
    move_to_end(&EndedRecord { restored: true, ..EndedRecord::fitting(record, now_ms, max_bytes) }, end)
}

fn move_to_end(ended: &EndedRecord, end: End) -> [Change; 2] {
    let id = &ended.job.spec.id;
    [Change::write(ended_key(id, end), to_value(ended)), Change::Drop { drop: open_key(id) }]
}

/// The transaction that cancels a job that was seen open, and so can have left its open key only by ending. With the
/// fencing token of a leader as `leader`, the cancellation is applied only while the leader record has this token: a
/// leader needs that to report the cancellation at once. The stored record of the end is cut to `max_bytes`.
pub fn cancel_job(record: &JobRecord, leader: Option<u64>, now_ms: u64, max_bytes: usize) -> JobTransaction {
    let leader_unchanged = leader.map(|fencing_token| Condition::at(LEADER_RECORD_KEY, fencing_token));
    JobTransaction {
        conditions: not_ended_conditions(&record.spec.id).chain(leader_unchanged).collect(),
        changes: end_changes(record, End::Cancelled, now_ms, max_bytes).into(),
    }
}

/// The transaction that moves an open job of an earlier build, found at this version, to its new key.
pub fn adopt_job(record: &JobRecord, version: u64) -> JobTransaction {
    let id = &record.spec.id;
    let (old_key, old_end) = (old_job_key(id), old_end_key(id));
    let still_open = [Condition::at(old_key.clone(), version), Condition::absent(old_end)];
    JobTransaction {
        conditions: still_open.into_iter().chain(never_accepted_conditions(id, false)).collect(),
        changes: vec![Change::write(open_key(id), to_value(record)), Change::Drop { drop: old_key }],
    }
}

#[cfg(test)]
mod tests;
