//! The model's store: transactions with the rules for the keys of a job, and the watches that tell of them.

use std::time::Duration;

use hollylanding_emulator::world::store::Store;

use super::leaders::DeliveredChange;
use super::world::World;
use crate::history::job_transactions::{JobLocation, locate_job};
use crate::jobs::record::{WATERMARK, ended_keys, open_key};
use crate::jobs::{End, JobId};
use crate::protocol::workers::TaskKey;
use crate::records::leadership::Watermark;
use crate::store::{Change, Condition};

pub(super) fn ended(store: &Store, id: &str) -> bool {
    ended_keys(id).iter().any(|key| store.has(key))
}

impl World {
    /// Applies a transaction. A job has one key at any time, and leaves none that it had once; it
    /// must not be stored as done before all its tasks are.
    pub(super) fn apply(&mut self, conditions: &[Condition], changes: &[Change]) -> Result<u64, Vec<String>> {
        let version = self.store.apply_if(conditions, changes).map_err(|refused| refused.failed)?;
        for change in changes {
            let Change::Write { write, value, .. } = change else { continue };
            if write == WATERMARK {
                let stored: Watermark = serde_json::from_value(value.clone()).expect("own values");
                self.note_mark(version, stored.revision);
            }
            let Some((id, place)) = locate_job(write) else { continue };
            let (id, record) = self.records.get_key_value(id).expect("a job that was submitted");
            let (id, record) = (id.clone(), record.clone());
            let [done, cancelled] = ended_keys(&id).map(|key| self.store.has(&key));
            let keys = usize::from(self.store.has(&open_key(&id))) + usize::from(done) + usize::from(cancelled);
            assert_eq!(keys, 1, "{id} has {keys} keys: came back, or ended twice");
            match place {
                JobLocation::Open => self.tell(&id, true, version),
                JobLocation::Ended(End::Done) => {
                    let done = |index: u64| self.completed.contains(&TaskKey { job: id.clone(), index: index as u32 });
                    let gang = record.spec.is_gang();
                    let enough = if gang { (0..record.spec.tasks).any(done) } else { (0..record.spec.tasks).all(done) };
                    assert!(enough, "{id} is stored as done before its tasks are");
                    self.note_ended(&id, End::Done, version);
                    self.tell(&id, false, version);
                }
                JobLocation::Ended(End::Cancelled) => {
                    self.note_ended(&id, End::Cancelled, version);
                    self.tell(&id, false, version);
                }
                JobLocation::EarlierBuild => unreachable!("nothing writes earlier builds' keys"),
            }
        }
        Ok(version)
    }

    /// Every watch tells in the order of the changes, sooner or later.
    pub(super) fn tell(&mut self, id: &JobId, opened: bool, version: u64) {
        for i in 0..self.leaders.len() {
            let mut due = self.now + self.delay();
            if self.users.on {
                // A watch that is held up for long proves nothing to its owner meanwhile.
                due = due.min(self.now + Duration::from_secs(5));
            }
            if let Some(leader) = self.leaders[i].as_mut() {
                let after = leader.news.last().map_or(due, |news| due.max(news.due));
                leader.news.push(DeliveredChange { due: after, job: id.clone(), opened, revision: version });
            }
        }
    }
}
