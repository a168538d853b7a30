//! What every controller knows of open jobs, of leadership and of what is declared, as of one revision.
//!
//! It changes by what the store lists and tells, and by nothing else: what this controller has
//! itself seen stored ahead of its watch is kept elsewhere (`history`), so that no late answer can
//! bring back an older state. Its size follows open work.

use std::collections::{HashMap, HashSet};
use std::num::NonZeroUsize;
use std::sync::Arc;

use lru::LruCache;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tracing::warn;

use super::client::{KeyValuePage, WatchEvent, WatchResponse};
use crate::declarations::{DeclarationRegistry, records};
use crate::jobs::JobId;
use crate::jobs::limits::{self, Held};
use crate::jobs::record::{JobRecord, LEADER, LEASE_HOLDER, OPEN, TAKEOVER_REQUEST, UPGRADED, Upgraded, WATERMARK};
use crate::records::leadership::{LeaderRecord, LeaseHolder, TakeoverRequest, Watermark};

/// Descriptions kept of jobs that are over: about half a KiB each.
const ENDED_KEPT: NonZeroUsize = NonZeroUsize::new(2000).unwrap();

/// One key with its version. What cannot be read is there all the same, and is written over by its version:
/// taken for absent, it would keep everybody from taking the lease and leading for ever.
#[derive(Debug, Default)]
enum Slot<T> {
    #[default]
    Absent,
    Read((T, u64)),
    Unreadable(u64),
}

impl<T: DeserializeOwned> Slot<T> {
    fn of(path: &str, value: &Value, version: u64) -> Self {
        read(path, value).map_or(Self::Unreadable(version), |value| Self::Read((value, version)))
    }
}

impl<T> Slot<T> {
    fn value(&self) -> Option<&(T, u64)> {
        match self {
            Self::Read(value) => Some(value),
            Self::Absent | Self::Unreadable(_) => None,
        }
    }

    /// The version of the key; 0 if there is none.
    fn version(&self) -> u64 {
        match self {
            Self::Absent => 0,
            Self::Read((_, version)) | Self::Unreadable(version) => *version,
        }
    }
}

/// The few keys that are not jobs.
#[derive(Debug, Default)]
struct Control {
    lease_holder: Slot<LeaseHolder>,
    leader_record: Slot<LeaderRecord>,
    takeover_request: Slot<TakeoverRequest>,
    watermark: Option<Watermark>,
    upgraded: Option<Upgraded>,
}

impl Control {
    /// False if the key is none of these.
    fn put(&mut self, path: &str, value: &Value, version: u64) -> bool {
        match path {
            LEASE_HOLDER => self.lease_holder = Slot::of(path, value, version),
            LEADER => self.leader_record = Slot::of(path, value, version),
            TAKEOVER_REQUEST => self.takeover_request = Slot::of(path, value, version),
            WATERMARK => self.watermark = read(path, value).filter(|told| possible(path, told, version)),
            // It is written once and never again, and none that can be read would be waited for for ever.
            UPGRADED => self.upgraded = Some(read(path, value).unwrap_or(Upgraded { old_kept: true })),
            _ => return false,
        }
        true
    }

    fn drop(&mut self, path: &str) -> bool {
        match path {
            LEASE_HOLDER => self.lease_holder = Slot::Absent,
            LEADER => self.leader_record = Slot::Absent,
            TAKEOVER_REQUEST => self.takeover_request = Slot::Absent,
            WATERMARK => self.watermark = None,
            _ => return false,
        }
        true
    }
}

/// Open jobs, the keys of the election lease and of leadership, and what is declared, as of one revision of the store.
#[derive(Debug)]
pub struct WatchCache {
    /// Everything stored up to this revision is included; 0 before the first reading.
    pub revision: u64,
    /// False until read whole once, and again while it is read anew after falling too far behind.
    pub ready: bool,
    open: HashMap<JobId, Arc<JobRecord>>,
    held: Held,
    /// Descriptions of jobs that ended last: a new leader needs them for tasks not yet proven gone,
    /// and reading them one by one took it seconds.
    ended: LruCache<JobId, Ended>,
    control: Control,
    registry: DeclarationRegistry,
}

/// A job that has ended.
#[derive(Debug)]
struct Ended {
    record: Arc<JobRecord>,
    /// Revisions at which the end did not stand yet, and at which it stood.
    after: u64,
    by: u64,
}

/// A reading under way, page by page.
pub struct Loading {
    revision: Option<u64>,
    /// Of the newest page: what is missing in the end was gone by then.
    newest: u64,
    seen: HashSet<JobId>,
    control: Control,
    registry: DeclarationRegistry,
}

impl Loading {
    /// What an earlier build left was taken over, as far as the pages tell.
    pub fn upgraded(&self) -> bool {
        self.control.upgraded.is_some()
    }
}

/// What an update means to the rest of the process.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct CacheChanges {
    /// Jobs that are open now and were not known before.
    pub opened: Vec<JobId>,
    /// Jobs that were open and have ended.
    pub ended: Vec<JobId>,
    /// One of the keys of the election lease or of leadership changed, or the watch cache was read anew.
    pub leadership: bool,
    /// A spec or a status changed.
    pub declared: bool,
}

impl CacheChanges {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

fn read<T: DeserializeOwned>(path: &str, value: &Value) -> Option<T> {
    T::deserialize(value).map_err(|e| warn!(path, %e, "unreadable value in the store")).ok()
}

/// Nobody has heard of what came after the watermark itself.
fn possible(path: &str, told: &Watermark, version: u64) -> bool {
    let possible = told.revision <= version && told.fencing_token <= version;
    if !possible {
        warn!(path, ?told, version, "a watermark ahead of the store; passed over");
    }
    possible
}

/// A job that can be worked with, by its key. Numbers that no acceptance lets through would overflow times and
/// memory of whoever takes them in.
fn read_job(id: &str, path: &str, value: &Value) -> Option<JobRecord> {
    let record = read::<JobRecord>(path, value)?;
    if &*record.spec.id != id {
        warn!(path, "a job in the store under the id of another; passed over");
        return None;
    }
    if let Err(problem) = record.spec.check() {
        warn!(path, %problem, "a job in the store that cannot be run; passed over");
        return None;
    }
    Some(record)
}

impl Default for WatchCache {
    fn default() -> Self {
        Self {
            revision: 0,
            ready: false,
            open: HashMap::new(),
            held: Held::default(),
            ended: LruCache::new(ENDED_KEPT),
            control: Control::default(),
            registry: DeclarationRegistry::default(),
        }
    }
}

impl WatchCache {
    /// An open job's description.
    pub fn open(&self, id: &str) -> Option<&Arc<JobRecord>> {
        self.open.get(id)
    }

    /// All open jobs, in no particular order.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&JobId, &Arc<JobRecord>)> {
        self.open.iter()
    }

    /// What all open jobs together make a leader hold.
    pub fn held(&self) -> Held {
        self.held
    }

    /// What was kept of a job that ended lately.
    pub fn ended_record(&self, id: &str) -> Option<Arc<JobRecord>> {
        self.ended.peek(id).map(|ended| ended.record.clone())
    }

    /// When a job ended that ended lately: a revision at which its end stood.
    pub fn ended_by(&self, id: &str) -> Option<u64> {
        self.ended.peek(id).map(|ended| ended.by)
    }

    /// The same before it did: a revision at which its end did not stand yet.
    pub fn ended_after(&self, id: &str) -> Option<u64> {
        self.ended.peek(id).map(|ended| ended.after)
    }

    /// Number of ended jobs whose descriptions are kept.
    pub fn ended_kept(&self) -> usize {
        self.ended.len()
    }

    /// The lease holder and the version of its key; none if nobody holds the lease or the value cannot be read.
    pub fn lease_holder(&self) -> Option<&(LeaseHolder, u64)> {
        self.control.lease_holder.value()
    }

    /// The version of the lease holder's key, readable or not; 0 if nobody holds the lease.
    pub fn lease_holder_version(&self) -> u64 {
        self.control.lease_holder.version()
    }

    /// The version of a lease holder's key that cannot be read.
    pub fn unreadable_lease_holder(&self) -> Option<u64> {
        match self.control.lease_holder {
            Slot::Unreadable(version) => Some(version),
            Slot::Absent | Slot::Read(_) => None,
        }
    }

    /// The leader record and its version, which is the leader's fencing token; none if there is none or it cannot be
    /// read.
    pub fn leader_record(&self) -> Option<&(LeaderRecord, u64)> {
        self.control.leader_record.value()
    }

    /// The version of the leader record, readable or not; 0 if there is none.
    pub fn leader_record_version(&self) -> u64 {
        self.control.leader_record.version()
    }

    /// The last takeover request, and its version.
    pub fn takeover_request(&self) -> Option<&(TakeoverRequest, u64)> {
        self.control.takeover_request.value()
    }

    /// What a leader has stored for controllers that do not hear it.
    pub fn watermark(&self) -> Option<&Watermark> {
        self.control.watermark.as_ref()
    }

    /// All that is declared.
    pub fn registry(&self) -> &DeclarationRegistry {
        &self.registry
    }

    /// What is declared, to be read: values are parsed when they are first asked for.
    pub fn registry_mut(&mut self) -> &mut DeclarationRegistry {
        &mut self.registry
    }

    /// Whether jobs may stand under an earlier build's keys; true as long as that is not known.
    pub fn old_kept(&self) -> bool {
        self.control.upgraded.is_none_or(|u| u.old_kept)
    }

    /// This controller has itself been seen to hold the lease, ahead of its watch. Where the watch has told of that
    /// moment, and so of what came after it, the watch is right: it would not tell of it again.
    pub fn note_lease_holder(&mut self, lease_holder: LeaseHolder, version: u64) {
        if version > self.revision {
            self.control.lease_holder = Slot::Read((lease_holder, version));
        }
    }

    /// The same of its leader record, and whether that still stands as far as is known.
    pub fn note_leader_record(&mut self, leader_record: LeaderRecord, version: u64) -> bool {
        if version > self.revision && version > self.leader_record_version() {
            self.control.leader_record = Slot::Read((leader_record, version));
        }
        self.leader_record_version() == version
    }

    /// What a watch asks for: all changes after this revision.
    pub fn asking(&self) -> Option<u64> {
        self.ready.then_some(self.revision)
    }

    /// Begins to read anew. Until `loaded`, what watches tell is passed over: a page may be older
    /// than such an answer. All of it is told again, since the reading is response from its first
    /// page on.
    pub fn load(&mut self) -> Loading {
        self.ready = false;
        Loading {
            revision: None,
            newest: 0,
            seen: HashSet::new(),
            control: Control::default(),
            registry: DeclarationRegistry::default(),
        }
    }

    /// Takes in one page. What has changed since the first one may or may not be included.
    pub fn take_page(&mut self, loading: &mut Loading, page: &KeyValuePage) -> CacheChanges {
        let mut news = CacheChanges::default();
        loading.revision.get_or_insert(page.revision);
        loading.newest = loading.newest.max(page.revision);
        for item in &page.items {
            if loading.control.put(&item.path, &item.value, item.version) {
                continue;
            }
            if records::declared(&item.path) {
                loading.registry.put(&item.path, &item.value, item.version);
                continue;
            }
            let Some(id) = item.path.strip_prefix(OPEN) else { continue };
            self.put(id, &item.path, &item.value, &mut news);
            if let Some((id, _)) = self.open.get_key_value(id) {
                loading.seen.insert(id.clone());
            }
        }
        news
    }

    /// The last page was taken in: whatever was not among them has ended.
    pub fn loaded(&mut self, loading: Loading) -> CacheChanges {
        let gone: Vec<JobId> = self.open.keys().filter(|id| !loading.seen.contains(*id)).cloned().collect();
        let declared = self.registry.replace(loading.registry, self.revision == 0);
        let mut news = CacheChanges { leadership: true, declared, ..CacheChanges::default() };
        for id in gone {
            self.end(&id, self.revision, loading.newest, &mut news);
        }
        self.control = loading.control;
        self.revision = loading.revision.unwrap_or_default();
        self.ready = true;
        news
    }

    /// Applies what a watch told; what is already known is passed over. False while it is read
    /// anew. An answer asked for before that is good after it: it begins no later than the reading.
    pub fn apply(&mut self, response: &WatchResponse) -> (bool, CacheChanges) {
        let mut news = CacheChanges::default();
        if !self.ready {
            return (false, news);
        }
        let known = self.revision;
        for event in response.log.iter().filter(|e| e.version > known) {
            self.event(event, &mut news);
        }
        self.revision = self.revision.max(response.revision);
        (true, news)
    }

    fn event(&mut self, event: &WatchEvent, news: &mut CacheChanges) {
        if let Some(path) = &event.write {
            if self.control.put(path, &event.value, event.version) {
                news.leadership = true;
            } else if records::declared(path) {
                news.declared |= self.registry.put(path, &event.value, event.version);
            } else if let Some(id) = path.strip_prefix(OPEN) {
                self.put(id, path, &event.value, news);
            }
        } else if let Some(path) = &event.drop {
            if self.control.drop(path) {
                news.leadership = true;
            } else if records::declared(path) {
                news.declared |= self.registry.drop_key(path, event.version);
            } else if let Some(id) = path.strip_prefix(OPEN) {
                self.end(id, event.version.saturating_sub(1), event.version, news);
            }
        }
    }

    fn put(&mut self, id: &str, path: &str, value: &Value, news: &mut CacheChanges) {
        if self.open.contains_key(id) {
            return;
        }
        let Some(record) = read_job(id, path, value) else { return };
        let id: JobId = id.into();
        self.held += limits::cost(&record.spec);
        news.opened.push(id.clone());
        self.open.insert(id, Arc::new(record));
    }

    /// A job leaves its open key only by ending. The description is kept for a while.
    fn end(&mut self, id: &str, after: u64, by: u64, news: &mut CacheChanges) {
        if let Some((id, record)) = self.open.remove_entry(id) {
            self.held -= limits::cost(&record.spec);
            self.ended.put(id.clone(), Ended { record, after, by });
            news.ended.push(id);
        }
    }
}

#[cfg(test)]
mod tests;
