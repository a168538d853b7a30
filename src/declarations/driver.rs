//! The leader's decisions on declarations, free of I/O: which statuses to store next, which intents follow from those
//! that are stored, and which events are to be logged.
//!
//! Every status is written on condition of the leader record, of the spec's version and of the status's own: a replaced
//! leader stores nothing, no status is derived from a spec that has changed since, and of two writes that began from
//! the same status the store takes one. So a write that was not answered needs no memory: the next decision begins
//! from the same versions, and a delayed copy of either write is refused once the other is stored.

use std::cell::{OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::DeclarationView;
use super::events::DeclarationEvent;
use super::records::{DeclarationId, DeclarationKind, MAX_VALUE_BYTES, spec_key, status_key};
use super::registry::{DeclarationRegistry, OrphanedStatus, StatusChange};
use super::table::{KindOperations, NextStatus, find_kind};
use crate::jobs::record::LEADER_RECORD_KEY;
use crate::jobs::{End, JobId};
use crate::scheduling::ClusterState;
use crate::scheduling::intents::Intents;
use crate::store::watch_cache::WatchCache;
use crate::store::{Change, Condition};

/// Statuses stored in one transaction; there is one a second.
pub const MAX_WRITES: usize = 2;
/// A change heard of longer ago than this was logged by the leader of that time.
const LOG_WITHIN: Duration = Duration::from_secs(60);

/// How jobs ended, as far as this controller knows.
pub type JobEnds<'a> = &'a dyn Fn(&str) -> Option<End>;

/// The write of one status.
#[derive(Debug, Clone, PartialEq)]
pub struct StatusWrite {
    /// The declaration's kind.
    pub kind: DeclarationKind,
    /// Its name.
    pub name: String,
    /// 0: the spec is gone, and its status is dropped.
    pub spec_version: u64,
    /// The version of the status that is replaced; 0 for a first one.
    pub status_version: u64,
    /// None where it is dropped.
    pub value: Option<Value>,
}

impl StatusWrite {
    /// Drops a status after its spec.
    fn drop_orphan(orphan: OrphanedStatus) -> Self {
        let OrphanedStatus { kind, name, version } = orphan;
        Self { kind, name: name.to_owned(), spec_version: 0, status_version: version, value: None }
    }

    fn change(&self) -> Change {
        let key = status_key(self.kind, &self.name);
        match &self.value {
            Some(value) => Change::write(key, value.clone()),
            None => Change::Drop { drop: key },
        }
    }

    fn conditions(&self) -> [Condition; 2] {
        let spec = Condition::at(spec_key(self.kind, &self.name), self.spec_version);
        [spec, Condition::at(status_key(self.kind, &self.name), self.status_version)]
    }
}

/// The conditions of a transaction with these writes.
pub fn conditions(writes: &[StatusWrite], fencing_token: u64) -> Vec<Condition> {
    let leader_record = Condition::at(LEADER_RECORD_KEY, fencing_token);
    std::iter::once(leader_record).chain(writes.iter().flat_map(StatusWrite::conditions)).collect()
}

/// The changes of a transaction with these writes.
pub fn changes(writes: &[StatusWrite]) -> Vec<Change> {
    writes.iter().map(StatusWrite::change).collect()
}

/// The result of an evaluation.
#[derive(Debug, Default)]
pub struct DriverOutput {
    /// To be stored together, if anything.
    pub writes: Vec<StatusWrite>,
    /// There is nothing more to store, and the watch cache holds all that was stored.
    pub settled: bool,
    /// The leader's fencing token, on which the writes are conditional.
    pub fencing_token: u64,
    /// To be logged.
    pub events: Vec<DeclarationEvent>,
    /// Jobs whose ends have to be queried.
    pub unknown_ends: BTreeSet<JobId>,
}

/// Decides the next statuses of all declarations, one transaction at a time.
pub struct DeclarationDriver {
    kinds: &'static [KindOperations],
    /// Index of the kind to start with. Together with `last_written` it makes the order round-robin: a declaration
    /// that changes each second delays no other.
    next_kind: usize,
    /// The name that was written last, of each kind.
    last_written: BTreeMap<DeclarationKind, String>,
    /// Nothing is decided before the watch cache holds this revision, that of the last write.
    stored_revision: u64,
    /// Declarations whose status is too large to be stored, each logged once.
    too_large: BTreeSet<DeclarationId>,
}

impl DeclarationDriver {
    /// A driver of these kinds that has stored nothing yet.
    pub fn new(kinds: &'static [KindOperations]) -> Self {
        Self { kinds, next_kind: 0, last_written: BTreeMap::new(), stored_revision: 0, too_large: BTreeSet::new() }
    }

    /// Notes that these writes are being sent; the next evaluation starts after them.
    pub fn mark_sent(&mut self, writes: &[StatusWrite]) {
        for write in writes.iter().filter(|w| w.value.is_some()) {
            self.next_kind = self.kinds.iter().position(|entry| entry.kind == write.kind).map_or(0, |at| at + 1);
            self.last_written.insert(write.kind, write.name.clone());
        }
    }

    /// Notes that the last transaction was applied at this revision.
    pub fn mark_stored(&mut self, revision: u64) {
        self.stored_revision = self.stored_revision.max(revision);
    }

    /// Refreshes the intents, and decides the next writes and events. Does nothing while the cluster state is not
    /// loaded or the watch cache is being reloaded: jobs unknown to it would look as if they had ended.
    pub fn evaluate(
        &mut self,
        cluster: &mut ClusterState,
        watch_cache: &mut WatchCache,
        job_end: JobEnds,
        now: Instant,
        now_ms: u64,
    ) -> DriverOutput {
        if !cluster.loaded || !watch_cache.is_ready() {
            return DriverOutput::default();
        }
        let changes = watch_cache.registry_mut().take_status_changes();
        refresh_intents(self.kinds, cluster, watch_cache.registry(), job_end, now, now_ms);
        let mut output = DriverOutput { fencing_token: cluster.fencing_token, ..DriverOutput::default() };
        for change in changes.iter().filter(|c| now.saturating_duration_since(c.heard) < LOG_WITHIN) {
            output.events.extend(events_of_change(self.kinds, change));
        }
        if watch_cache.revision() >= self.stored_revision {
            let view = view_state(cluster, watch_cache.registry(), job_end, now, now_ms);
            output.writes = self.choose_writes(&view, &mut output.events);
            output.unknown_ends = view.unknown_ends.into_inner();
            output.settled = output.writes.is_empty();
        }
        output
    }

    /// Up to `MAX_WRITES`, from as many kinds as have any.
    fn choose_writes(&mut self, view: &DeclarationView, events: &mut Vec<DeclarationEvent>) -> Vec<StatusWrite> {
        let orphans = view.registry.orphaned_statuses().map(StatusWrite::drop_orphan);
        let mut writes: Vec<StatusWrite> = orphans.take(1).collect();
        let count = self.kinds.len();
        let mut kinds: Vec<usize> = (0..count).map(|n| (self.next_kind + n) % count).collect();
        while writes.len() < MAX_WRITES && !kinds.is_empty() {
            kinds.retain(|at| {
                let has_room = writes.len() < MAX_WRITES;
                let found = has_room.then(|| self.next_write_of_kind(*at, view, &writes, events)).flatten();
                let any = found.is_some();
                writes.extend(found);
                any
            });
        }
        writes
    }

    /// The next declaration of a kind whose status changes, in order of names after the one written last.
    fn next_write_of_kind(
        &mut self,
        at: usize,
        view: &DeclarationView,
        writes: &[StatusWrite],
        events: &mut Vec<DeclarationEvent>,
    ) -> Option<StatusWrite> {
        let operations = &self.kinds[at];
        let kind = operations.kind;
        let last = self.last_written.get(&kind).cloned().unwrap_or_default();
        let (before, after): (Vec<&str>, Vec<&str>) =
            view.registry.names_of_kind(kind).partition(|name| *name <= last.as_str());
        let max = MAX_VALUE_BYTES.min((view.settings.params.state.value_kb * 1024.0) as usize);
        for name in after.into_iter().chain(before) {
            if writes.iter().any(|w| w.kind == kind && w.name == name) {
                continue;
            }
            let Some(next) = (operations.next_status)(name, view) else { continue };
            let bytes = next.value.to_string().len();
            if bytes > max {
                events.extend(self.report_too_large(kind, name, bytes));
                continue;
            }
            let NextStatus { spec_version, status_version, value } = next;
            return Some(StatusWrite { kind, name: name.to_owned(), spec_version, status_version, value: Some(value) });
        }
        None
    }

    /// The event of a status that is too large, once for each declaration.
    fn report_too_large(&mut self, kind: DeclarationKind, name: &str, bytes: usize) -> Option<DeclarationEvent> {
        let is_new = self.too_large.len() < kind.max_count() && self.too_large.insert(DeclarationId::new(kind, name));
        is_new.then(|| DeclarationEvent::StatusTooLarge { kind, name: name.to_owned(), bytes })
    }
}

fn events_of_change(kinds: &[KindOperations], change: &StatusChange) -> Vec<DeclarationEvent> {
    let StatusChange { kind, name, .. } = change;
    match (change.after(), find_kind(kinds, *kind)) {
        (None, _) => vec![DeclarationEvent::Removed { kind: *kind, name: name.clone() }],
        (Some(after), Some(operations)) => (operations.status_events)(name, change.before().as_ref(), &after),
        (Some(_), None) => Vec::new(),
    }
}

fn view_state<'a>(
    cluster: &'a ClusterState,
    registry: &'a DeclarationRegistry,
    job_end: JobEnds<'a>,
    now: Instant,
    now_ms: u64,
) -> DeclarationView<'a> {
    DeclarationView {
        cluster,
        job_end,
        registry,
        now,
        now_ms,
        fencing_token: cluster.fencing_token,
        settings: &cluster.settings,
        jobs_by_window: OnceCell::new(),
        unknown_ends: RefCell::default(),
    }
}

/// Computes the intents anew from what is stored: before anything is decided after a failover, when jobs have come, and
/// each second. Does nothing as long as nothing is declared.
pub fn refresh_intents(
    kinds: &[KindOperations],
    cluster: &mut ClusterState,
    registry: &DeclarationRegistry,
    job_end: JobEnds,
    now: Instant,
    now_ms: u64,
) {
    cluster.intents_outdated = false;
    if registry.is_empty() && cluster.intents.is_empty() {
        return;
    }
    let mut intents = Intents::default();
    let view = view_state(cluster, registry, job_end, now, now_ms);
    for operations in kinds {
        (operations.add_intents)(&view, &mut intents);
    }
    cluster.set_intents(intents);
}
