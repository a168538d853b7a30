//! The leader's decisions on declarations, without I/O: which statuses to store next, which intents follow from the
//! stored ones, and which events to log.
//!
//! Every status write is a compare-and-swap on the leader record, the version of the specification and the version of
//! the status: a deposed leader stores nothing, no status is stored that was computed from an outdated specification,
//! and of two writes based on the same status the store applies only one. Unanswered writes therefore need not be
//! tracked: the next decision starts from the same versions, and a delayed copy of either write is rejected once the
//! other is stored.

use std::cell::{OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::DeclarationView;
use super::events::DeclarationEvent;
use super::records::{DeclarationId, DeclarationKind, MAX_VALUE_BYTES, spec_key, status_key};
use super::registry::{DeclarationRegistry, OrphanedStatus, StatusChange};
use super::table::{KindOperations, NextStatus, find_operations};
use crate::jobs::record::LEADER_RECORD_KEY;
use crate::jobs::{End, JobId};
use crate::scheduling::ClusterState;
use crate::scheduling::intents::Intents;
use crate::store::watch_cache::WatchCache;
use crate::store::{Change, Condition};

/// Maximum number of statuses in one transaction; one transaction is sent per second.
pub const MAX_WRITES_PER_TRANSACTION: usize = 2;
/// Changes observed longer ago than this are not logged: the leader at that time logged them.
const MAX_LOGGED_CHANGE_AGE: Duration = Duration::from_secs(60);

/// Looks up how a job ended, as far as this controller knows.
pub type JobEnds<'a> = &'a dyn Fn(&str) -> Option<End>;

/// A write or removal of one status.
#[derive(Debug, Clone, PartialEq)]
pub struct StatusWrite {
    /// The declaration's kind.
    pub kind: DeclarationKind,
    /// The declaration's name.
    pub name: String,
    /// The version of the specification; 0 if it was removed and the status is deleted after it.
    pub spec_version: u64,
    /// The version of the status that is replaced; 0 if there is none.
    pub status_version: u64,
    /// The new status, or `None` to delete it.
    pub value: Option<Value>,
}

impl StatusWrite {
    /// Creates the write that deletes a status whose specification was removed.
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

/// Returns the conditions of a transaction with these writes.
pub fn transaction_conditions(writes: &[StatusWrite], fencing_token: u64) -> Vec<Condition> {
    let leader_record = Condition::at(LEADER_RECORD_KEY, fencing_token);
    std::iter::once(leader_record).chain(writes.iter().flat_map(StatusWrite::conditions)).collect()
}

/// Returns the changes of a transaction with these writes.
pub fn transaction_changes(writes: &[StatusWrite]) -> Vec<Change> {
    writes.iter().map(StatusWrite::change).collect()
}

/// The result of an evaluation.
#[derive(Debug, Default)]
pub struct DriverOutput {
    /// The writes to store in one transaction; may be empty.
    pub writes: Vec<StatusWrite>,
    /// Whether there is nothing left to store and the watch cache holds every stored write.
    pub settled: bool,
    /// The leader's fencing token, a condition of the writes.
    pub fencing_token: u64,
    /// The events to log.
    pub events: Vec<DeclarationEvent>,
    /// Jobs whose ends have to be queried from the store.
    pub unknown_ends: BTreeSet<JobId>,
}

/// Computes the next statuses of all declarations, one transaction at a time.
pub struct DeclarationDriver {
    kinds: &'static [KindOperations],
    /// Index of the kind to start with. Together with `last_written` it makes the order round-robin, so that a
    /// declaration that changes every second does not delay others.
    next_kind: usize,
    /// The name that was written last, by kind.
    last_written: BTreeMap<DeclarationKind, String>,
    /// Revision of the last write. No status is computed before the watch cache holds this revision.
    stored_revision: u64,
    /// Declarations whose status is too large to store; each is logged once.
    too_large: BTreeSet<DeclarationId>,
    /// Maximum size of a status, in bytes of JSON.
    max_status_bytes: usize,
}

impl DeclarationDriver {
    /// Creates a driver for these kinds.
    pub fn new(kinds: &'static [KindOperations]) -> Self {
        Self {
            kinds,
            next_kind: 0,
            last_written: BTreeMap::new(),
            stored_revision: 0,
            too_large: BTreeSet::new(),
            max_status_bytes: MAX_VALUE_BYTES,
        }
    }

    /// Sets the maximum size of a value that the state service takes, in bytes of JSON.
    pub fn set_max_value_bytes(&mut self, bytes: usize) {
        self.max_status_bytes = MAX_VALUE_BYTES.min(bytes);
    }

    /// Records that these writes are being sent; the next evaluation continues after them in the round-robin order.
    pub fn mark_sent(&mut self, writes: &[StatusWrite]) {
        for write in writes.iter().filter(|w| w.value.is_some()) {
            self.next_kind = self.kinds.iter().position(|entry| entry.kind == write.kind).map_or(0, |index| index + 1);
            self.last_written.insert(write.kind, write.name.clone());
        }
    }

    /// Records that the last transaction was applied at this revision.
    pub fn mark_stored(&mut self, revision: u64) {
        self.stored_revision = self.stored_revision.max(revision);
    }

    /// Refreshes the intents and computes the next writes and events. Does nothing while the cluster state is not
    /// loaded or the watch cache is being reloaded: jobs missing from them would appear to have ended.
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
        for change in changes.iter().filter(|c| now.saturating_duration_since(c.observed_at) < MAX_LOGGED_CHANGE_AGE) {
            output.events.extend(events_of_change(self.kinds, change));
        }
        if watch_cache.revision() >= self.stored_revision {
            let view = build_view(cluster, watch_cache.registry(), job_end, now, now_ms);
            output.writes = self.choose_writes(&view, &mut output.events);
            output.unknown_ends = view.unknown_ends.into_inner();
            output.settled = output.writes.is_empty();
        }
        output
    }

    /// Chooses up to `MAX_WRITES_PER_TRANSACTION` writes, taking one from each kind in turn.
    fn choose_writes(&mut self, view: &DeclarationView, events: &mut Vec<DeclarationEvent>) -> Vec<StatusWrite> {
        let orphans = view.registry.orphaned_statuses().map(StatusWrite::drop_orphan);
        let mut writes: Vec<StatusWrite> = orphans.take(1).collect();
        let count = self.kinds.len();
        let mut kinds: Vec<usize> = (0..count).map(|n| (self.next_kind + n) % count).collect();
        while writes.len() < MAX_WRITES_PER_TRANSACTION && !kinds.is_empty() {
            kinds.retain(|kind_index| {
                let has_room = writes.len() < MAX_WRITES_PER_TRANSACTION;
                let write = has_room.then(|| self.next_write_of_kind(*kind_index, view, &writes, events)).flatten();
                let has_write = write.is_some();
                writes.extend(write);
                has_write
            });
        }
        writes
    }

    /// Returns the write of the next declaration of a kind whose status changes, in order of name after the one written
    /// last.
    fn next_write_of_kind(
        &mut self,
        kind_index: usize,
        view: &DeclarationView,
        writes: &[StatusWrite],
        events: &mut Vec<DeclarationEvent>,
    ) -> Option<StatusWrite> {
        let operations = &self.kinds[kind_index];
        let kind = operations.kind;
        let last_name = self.last_written.get(&kind).cloned().unwrap_or_default();
        let (before, after): (Vec<&str>, Vec<&str>) =
            view.registry.names_of_kind(kind).partition(|name| *name <= last_name.as_str());
        for name in after.into_iter().chain(before) {
            if writes.iter().any(|w| w.kind == kind && w.name == name) {
                continue;
            }
            let Some(next) = (operations.next_status)(name, view) else { continue };
            let bytes = next.value.to_string().len();
            if bytes > self.max_status_bytes {
                events.extend(self.report_too_large(kind, name, bytes));
                continue;
            }
            let NextStatus { spec_version, status_version, value } = next;
            return Some(StatusWrite { kind, name: name.to_owned(), spec_version, status_version, value: Some(value) });
        }
        None
    }

    /// Returns the event of a status that is too large, once per declaration.
    fn report_too_large(&mut self, kind: DeclarationKind, name: &str, bytes: usize) -> Option<DeclarationEvent> {
        let is_new = self.too_large.len() < kind.max_count() && self.too_large.insert(DeclarationId::new(kind, name));
        is_new.then(|| DeclarationEvent::StatusTooLarge { kind, name: name.to_owned(), bytes })
    }
}

fn events_of_change(kinds: &[KindOperations], change: &StatusChange) -> Vec<DeclarationEvent> {
    let StatusChange { kind, name, .. } = change;
    match (change.after(), find_operations(kinds, *kind)) {
        (None, _) => vec![DeclarationEvent::Removed { kind: *kind, name: name.clone() }],
        (Some(after), Some(operations)) => (operations.status_events)(name, change.before().as_ref(), &after),
        (Some(_), None) => Vec::new(),
    }
}

fn build_view<'a>(
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

/// Recomputes the intents from the stored declarations: before the first decision after a failover, when jobs have been
/// added, and every second. Does nothing as long as nothing is declared.
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
    let view = build_view(cluster, registry, job_end, now, now_ms);
    for operations in kinds {
        (operations.add_intents)(&view, &mut intents);
    }
    cluster.set_intents(intents);
}
