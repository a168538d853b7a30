//! The model's store: transactions, the rules for the keys of a job, and the watches of the leaders.

use std::collections::BTreeMap;
use std::time::Duration;

use hollylanding_emulator::world::store::Store;

use super::leaders::WatchEvent;
use super::world::World;
use crate::history::job_transactions::{JobLocation, locate_job};
use crate::jobs::record::{
    StoredTask, TASK_SHARD_PREFIX, WATERMARK_KEY, decode_shard, ended_keys, open_key, parse_shard_key,
};
use crate::jobs::{End, JobId};
use crate::protocol::workers::TaskKey;
use crate::records::leadership::ConfirmedCancellations;
use crate::store::{Change, Condition};

/// The stored tasks of some jobs, by the job's id and the task's number.
type StoredTasksOfJobs = BTreeMap<String, BTreeMap<u64, StoredTask>>;

/// Whether the end of a job is stored.
pub(super) fn has_ended(store: &Store, id: &str) -> bool {
    ended_keys(id).iter().any(|key| store.has(key))
}

impl World {
    /// The confirmed cancellations that are stored.
    pub(super) fn stored_confirmations(&self) -> Option<ConfirmedCancellations> {
        self.store.value(WATERMARK_KEY).map(|value| serde_json::from_value(value.clone()).expect("own values"))
    }

    /// The stored tasks of a job. Where several keys hold a task, the one that begins first counts.
    pub(super) fn stored_tasks(&self, id: &str) -> BTreeMap<u64, StoredTask> {
        let mut stored = BTreeMap::new();
        for (key, value, _) in self.store.entries_with_prefix(&format!("{TASK_SHARD_PREFIX}{id}/")) {
            let (_, first_task) = parse_shard_key(key).expect("own keys");
            for (number, task) in (first_task..).zip(decode_shard(value).expect("own values")) {
                stored.entry(number).or_insert(task);
            }
        }
        stored
    }

    /// The stored tasks of the jobs of which a transaction writes shards, in worlds whose limits fall.
    fn tasks_of_written_shards(&self, changes: &[Change]) -> StoredTasksOfJobs {
        let written = changes.iter().filter_map(|change| match change {
            Change::Write { write, .. } if self.lowered_limits.is_some() => parse_shard_key(write),
            _ => None,
        });
        written.map(|(id, _)| (id.to_owned(), self.stored_tasks(id))).collect()
    }

    /// Checks that no attempt that was stored is lost or replaced by an earlier one: a successor would start it again.
    fn check_no_task_is_forgotten(&self, before: &StoredTasksOfJobs) {
        let progress = |task: &StoredTask| match task {
            StoredTask::Untouched => 0,
            StoredTask::Waiting(attempt) | StoredTask::Bound(attempt, _) => *attempt,
            StoredTask::Done => u64::MAX,
        };
        for (id, tasks) in before {
            let now = self.stored_tasks(id);
            for (number, task) in tasks {
                let kept = now.get(number).map_or(0, progress);
                assert!(kept >= progress(task), "{id}/{number} was stored as {task:?}, then as {:?}", now.get(number));
            }
        }
    }

    /// Applies a transaction and checks that a job has exactly one key at any time, is never reopened, and is not
    /// stored as done before its tasks are.
    pub(super) fn apply_transaction(
        &mut self,
        conditions: &[Condition],
        changes: &[Change],
    ) -> Result<u64, Vec<String>> {
        let tasks_before = self.tasks_of_written_shards(changes);
        let confirmed_before = self.stored_confirmations();
        let version = self.store.apply_if(conditions, changes).map_err(|refused| refused.failed)?;
        self.check_no_task_is_forgotten(&tasks_before);
        for change in changes {
            let Change::Write { write, value, .. } = change else { continue };
            if write == WATERMARK_KEY {
                let stored = serde_json::from_value(value.clone()).expect("own values");
                self.check_stored_confirmations(confirmed_before.as_ref(), &stored);
            }
            let Some((id, location)) = locate_job(write) else { continue };
            let (id, record) = self.records.get_key_value(id).expect("the job was submitted");
            let (id, record) = (id.clone(), record.clone());
            let [done, cancelled] = ended_keys(&id).map(|key| self.store.has(&key));
            let keys = usize::from(self.store.has(&open_key(&id))) + usize::from(done) + usize::from(cancelled);
            assert_eq!(keys, 1, "{id} has {keys} keys: it was reopened or ended twice");
            match location {
                JobLocation::Open => self.notify_watches(&id, true, version),
                JobLocation::Ended(End::Done) => {
                    let done = |index: u64| self.completed.contains(&TaskKey { job: id.clone(), index: index as u32 });
                    let gang = record.spec.is_gang();
                    let all_needed_done =
                        if gang { (0..record.spec.tasks).any(done) } else { (0..record.spec.tasks).all(done) };
                    assert!(all_needed_done, "{id} is stored as done before its tasks are");
                    self.record_end(&id, End::Done, version);
                    self.notify_watches(&id, false, version);
                }
                JobLocation::Ended(End::Cancelled) => {
                    self.record_end(&id, End::Cancelled, version);
                    self.notify_watches(&id, false, version);
                }
                JobLocation::EarlierBuild => unreachable!("no code writes keys of earlier builds"),
            }
        }
        Ok(version)
    }

    /// Queues a change of a job for the watch of each leader. Watches keep the order of the changes and are delayed.
    pub(super) fn notify_watches(&mut self, id: &JobId, opened: bool, version: u64) {
        for i in 0..self.leaders.len() {
            let mut due = self.now + self.random_delay();
            if self.users.enabled {
                // A watch that is delayed for long proves nothing to its leader in the meantime.
                due = due.min(self.now + Duration::from_secs(5));
            }
            if let Some(leader) = self.leaders[i].as_mut() {
                let due = leader.watch_events.last().map_or(due, |event| due.max(event.due));
                leader.watch_events.push(WatchEvent { due, job: id.clone(), opened, revision: version });
            }
        }
    }
}
