//! What every controller knows of jobs, ends and ownership, as of one revision.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde_json::Value;
use tracing::warn;

use super::client::{Event, Followed, Item};
use crate::jobs::record::{ASSIGNMENT, ENDS, EndRecord, JOBS, JobRecord, LEADER, PLEA};
use crate::jobs::{End, JobId};
use crate::membership::{Assignment, Leader, Plea};

/// Descriptions kept of jobs that are over: about half a KiB each.
const ENDED_KEPT: usize = 2000;

/// A job as far as everybody knows it.
#[derive(Debug, Clone)]
pub enum Known {
    Open(Arc<JobRecord>),
    Ended(End),
}

#[derive(Debug, Default)]
pub struct Mirror {
    pub revision: u64,
    /// False until read whole once, and again after falling too far behind.
    pub ready: bool,
    jobs: HashMap<JobId, Known>,
    /// Ends seen before their jobs (pages are read in key order, and ends come first).
    early_ends: HashMap<JobId, End>,
    /// Descriptions of jobs that ended last: a new owner needs them for tasks not yet proven gone,
    /// and reading them one by one took it seconds.
    ended: HashMap<JobId, Arc<JobRecord>>,
    ended_order: VecDeque<JobId>,
    pub leader: Option<(Leader, u64)>,
    pub assignment: Option<(Assignment, u64)>,
    pub plea: Option<Plea>,
}

/// What an update means to the rest of the process.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct News {
    pub opened: Vec<JobId>,
    pub ended: Vec<JobId>,
    pub ownership: bool,
}

impl News {
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

fn read<T: DeserializeOwned>(path: &str, value: &Value) -> Option<T> {
    T::deserialize(value).map_err(|e| warn!(path, %e, "unreadable value in the store")).ok()
}

impl Mirror {
    pub fn job(&self, id: &str) -> Option<&Known> {
        self.jobs.get(id)
    }

    pub fn open_jobs(&self) -> impl Iterator<Item = (&JobId, &Arc<JobRecord>)> {
        self.jobs.iter().filter_map(|(id, known)| match known {
            Known::Open(record) => Some((id, record)),
            Known::Ended(_) => None,
        })
    }

    /// Takes in a whole reading. Jobs and ends are never removed, so merging is enough; whoever
    /// led or owned is replaced.
    pub fn load(&mut self, items: &[Item], revision: u64) -> News {
        let mut news = News { ownership: true, ..News::default() };
        (self.leader, self.assignment) = (None, None);
        for item in items {
            self.put(&item.path, &item.value, item.stamp, &mut news);
        }
        self.revision = self.revision.max(revision);
        self.ready = true;
        news
    }

    /// Applies what a watch told; what is already known is passed over.
    pub fn apply(&mut self, followed: &Followed) -> News {
        let mut news = News::default();
        let known = self.revision;
        for event in followed.log.iter().filter(|e| e.stamp > known) {
            self.event(event, &mut news);
        }
        self.revision = self.revision.max(followed.revision);
        news
    }

    fn event(&mut self, event: &Event, news: &mut News) {
        if let Some(path) = &event.write {
            self.put(path, &event.value, event.stamp, news);
        } else if let Some(path) = &event.drop {
            match path.as_str() {
                LEADER => self.leader = None,
                ASSIGNMENT => self.assignment = None,
                _ => return,
            }
            news.ownership = true;
        }
    }

    fn put(&mut self, path: &str, value: &Value, stamp: u64, news: &mut News) {
        if path == LEADER {
            self.leader = read(path, value).map(|l| (l, stamp));
            news.ownership = true;
        } else if path == ASSIGNMENT {
            self.assignment = read(path, value).map(|a| (a, stamp));
            news.ownership = true;
        } else if path == PLEA {
            self.plea = read(path, value);
            news.ownership = true;
        } else if let Some(id) = path.strip_prefix(JOBS) {
            if self.jobs.contains_key(id) {
                return;
            }
            let Some(record) = read::<JobRecord>(path, value) else { return };
            let id: JobId = id.into();
            if let Some(end) = self.early_ends.remove(&id) {
                self.keep_ended(&id, Arc::new(record));
                self.jobs.insert(id, Known::Ended(end));
            } else {
                news.opened.push(id.clone());
                self.jobs.insert(id, Known::Open(Arc::new(record)));
            }
        } else if let Some(id) = path.strip_prefix(ENDS)
            && let Some(record) = read::<EndRecord>(path, value)
        {
            self.end(id, record.end, news);
        }
    }

    /// What was kept of a job that ended lately.
    pub fn ended_record(&self, id: &str) -> Option<Arc<JobRecord>> {
        self.ended.get(id).cloned()
    }

    fn keep_ended(&mut self, id: &JobId, record: Arc<JobRecord>) {
        if self.ended.insert(id.clone(), record).is_none() {
            self.ended_order.push_back(id.clone());
        }
        if self.ended_order.len() > ENDED_KEPT
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
    }

    /// Ends are final: the first one heard of stays. The description is kept for a while.
    fn end(&mut self, id: &str, end: End, news: &mut News) {
        match self.jobs.get_mut(id) {
            Some(Known::Ended(_)) => {}
            Some(known) => {
                if let Known::Open(record) = std::mem::replace(known, Known::Ended(end)) {
                    self.keep_ended(&id.into(), record);
                }
                news.ended.push(id.into());
            }
            None => {
                self.early_ends.insert(id.into(), end);
            }
        }
    }

    /// What this controller has itself seen stored, ahead of its watch.
    pub fn note_end(&mut self, id: &str, end: End) -> News {
        let mut news = News::default();
        self.end(id, end, &mut news);
        news
    }

    pub fn note_job(&mut self, record: JobRecord) -> News {
        let id = record.spec.id.clone();
        let mut news = News::default();
        if !self.jobs.contains_key(&id) {
            let known = match self.early_ends.remove(&id) {
                Some(end) => Known::Ended(end),
                None => Known::Open(Arc::new(record)),
            };
            self.jobs.insert(id.clone(), known);
            news.opened.push(id);
        }
        news
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::jobs::record::{end_key, job_key};
    use crate::jobs::tests::spec;
    use serde_json::json;

    fn job_event(stamp: u64) -> Event {
        let record = JobRecord { spec: spec(), at_ms: 5 };
        Event { write: Some(job_key("run-000001")), drop: None, value: serde_json::to_value(record).unwrap(), stamp }
    }
    fn end_event(end: &str, stamp: u64) -> Event {
        Event { write: Some(end_key("run-000001")), drop: None, value: json!({"end": end}), stamp }
    }
    fn followed(log: Vec<Event>, revision: u64) -> Followed {
        Followed { revision, log }
    }

    /// Two watches answer in either order; an older one must not bring back an older state.
    #[test]
    fn answers_may_overlap_and_come_in_any_order() {
        let mut mirror = Mirror::default();
        mirror.apply(&followed(vec![job_event(1), end_event("done", 2)], 2));
        let news = mirror.apply(&followed(vec![job_event(1)], 1));
        assert!(news.is_empty());
        assert!(matches!(mirror.job("run-000001"), Some(Known::Ended(End::Done))));
        assert_eq!(mirror.revision, 2);
        mirror.apply(&followed(vec![end_event("withdrawn", 3)], 3));
        assert!(matches!(mirror.job("run-000001"), Some(Known::Ended(End::Done))), "ends are final");
        assert!(mirror.ended_record("run-000001").is_some(), "a new owner needs no reading for it");
    }

    #[test]
    fn a_whole_reading_finds_ends_before_jobs() {
        let item = |e: Event| Item { path: e.write.unwrap(), value: e.value, stamp: e.stamp };
        let mut mirror = Mirror::default();
        let news = mirror.load(&[item(end_event("withdrawn", 4)), item(job_event(1))], 9);
        assert!(matches!(mirror.job("run-000001"), Some(Known::Ended(End::Withdrawn))));
        assert!(news.opened.is_empty() && mirror.ready);
        assert!(mirror.ended_record("run-000001").is_some(), "a new owner needs no reading for it");
    }
}
