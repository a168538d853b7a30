//! The transactions that take a job from key to key: accepted, ended, adopted from an earlier build.
//!
//! Every one of them is conditional on all the keys that the job may have, so that whichever is
//! applied first decides, and a late copy of any of them finds its job further on and fails.

use serde::Serialize;
use serde_json::Value;

use crate::jobs::End;
use crate::jobs::record::{
    CANCELLED, DONE, EndedRecord, JobRecord, LEADER, OLD_JOBS, OPEN, ended_key, ended_keys, old_end_key, old_job_key,
    open_key,
};
use crate::store::{Change, Condition};

/// A transaction before it is sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// Key versions that must hold for the transaction to be applied.
    pub conditions: Vec<Condition>,
    /// Keys written and dropped if they do.
    pub changes: Vec<Change>,
}

/// Where a job was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// Under its open key.
    Open,
    /// Under the key of its end.
    Ended(End),
    /// Under the key of an earlier build: ended, unless that build's acceptance came late.
    Old,
}

fn value(record: &impl Serialize) -> Value {
    serde_json::to_value(record).unwrap_or_default()
}

/// That the job has not ended.
pub fn not_ended(id: &str) -> impl Iterator<Item = Condition> {
    ended_keys(id).into_iter().map(Condition::absent)
}

/// That there is no such job. `old_kept` says whether the store holds jobs of earlier builds.
pub fn not_there(id: &str, old_kept: bool) -> impl Iterator<Item = Condition> {
    let old = old_kept.then(|| Condition::absent(old_job_key(id)));
    std::iter::once(Condition::absent(open_key(id))).chain(not_ended(id)).chain(old)
}

/// What a failed condition of `not_there` or `not_ended` says, and of which job.
pub fn place_of(key: &str) -> Option<(&str, Place)> {
    let places = [
        (OPEN, Place::Open),
        (DONE, Place::Ended(End::Done)),
        (CANCELLED, Place::Ended(End::Cancelled)),
        (OLD_JOBS, Place::Old),
    ];
    places.into_iter().find_map(|(prefix, place)| Some((key.strip_prefix(prefix)?, place)))
}

/// The end among the failed keys of one job's transaction, if it has ended.
pub fn end_among<'a>(keys: impl IntoIterator<Item = &'a String>, id: &str) -> Option<End> {
    keys.into_iter().filter_map(|key| place_of(key)).find_map(|(of, place)| match place {
        Place::Ended(end) if of == id => Some(end),
        _ => None,
    })
}

/// A job comes to be: open, once.
pub fn accept(record: &JobRecord, old_kept: bool) -> Move {
    let id = &record.spec.id;
    Move { conditions: not_there(id, old_kept).collect(), changes: vec![Change::write(open_key(id), value(record))] }
}

/// The two changes of an end: under its final key, and open no more.
pub fn end_changes(record: &JobRecord, end: End, now_ms: u64) -> [Change; 2] {
    let id = &record.spec.id;
    let ended = EndedRecord { job: record.clone(), ended_ms: now_ms };
    [Change::write(ended_key(id, end), value(&ended)), Change::Drop { drop: open_key(id) }]
}

/// A user ends a job that was seen open: it can have left its key only by ending. `leader`: under which
/// leader record alone, if it is to be told at once.
pub fn cancel(record: &JobRecord, leader: Option<u64>, now_ms: u64) -> Move {
    let under = leader.map(|fencing_token| Condition::at(LEADER, fencing_token));
    Move {
        conditions: not_ended(&record.spec.id).chain(under).collect(),
        changes: end_changes(record, End::Cancelled, now_ms).into(),
    }
}

/// An open job of an earlier build, found at this version, is taken over as it is.
pub fn adopt(record: &JobRecord, version: u64) -> Move {
    let id = &record.spec.id;
    let (job, end) = (old_job_key(id), old_end_key(id));
    let old = [Condition::at(job.clone(), version), Condition::absent(end)];
    Move {
        conditions: old.into_iter().chain(not_there(id, false)).collect(),
        changes: vec![Change::write(open_key(id), value(record)), Change::Drop { drop: job }],
    }
}

#[cfg(test)]
mod tests;
