//! The leader's work on declared things, without any I/O: which statuses to store next, which intents follow from those
//! that are stored, and what is to be logged.
//!
//! Every status is written on condition of the leader record, of the spec's version and of the status's own: a replaced
//! leader stores nothing, no status is derived from a spec that has changed since, and of two writes that began from
//! the same status the store takes one. So a write that was not answered needs no memory: the next decision begins
//! from the same versions, and a late copy of either write is refused once the other is stored.

use std::cell::{OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde_json::Value;
use tracing::Level;

use super::DeclarationView;
use super::records::{DeclarationKind, MAX_VALUE_BYTES, spec_key, status_key};
use super::registry::{DeclarationRegistry, StatusChange};
use super::table::{KindOperations, NextStatus, StatusLogLines, entry};
use crate::jobs::record::LEADER;
use crate::jobs::{End, JobId};
use crate::scheduling::ClusterState;
use crate::scheduling::intents::Intents;
use crate::store::watch_cache::WatchCache;
use crate::store::{Change, Condition};

/// Statuses stored in one transaction; there is one a second.
pub const MAX_WRITES: usize = 2;
/// A change heard of so long ago was told by whoever led then.
const LOG_WITHIN: Duration = Duration::from_secs(60);

/// What is known here of how jobs ended.
pub type JobEnds<'a> = &'a dyn Fn(&str) -> Option<End>;

/// One change of a status.
#[derive(Debug, Clone, PartialEq)]
pub struct Write {
    /// The kind of what is declared.
    pub kind: DeclarationKind,
    /// Its name.
    pub name: String,
    /// 0: the spec is gone, and its status goes after it.
    pub spec_version: u64,
    /// The version of the status that is replaced; 0 for a first one.
    pub status_version: u64,
    /// None where it is dropped.
    pub value: Option<Value>,
}

impl Write {
    fn change(&self) -> Change {
        let key = status_key(self.kind, &self.name);
        match &self.value {
            Some(value) => Change::write(key, value.clone()),
            None => Change::Drop { drop: key },
        }
    }
}

/// One transaction's conditions.
pub fn conditions(writes: &[Write], fencing_token: u64) -> Vec<Condition> {
    let of = |w: &Write| {
        let spec = Condition::at(spec_key(w.kind, &w.name), w.spec_version);
        [spec, Condition::at(status_key(w.kind, &w.name), w.status_version)]
    };
    std::iter::once(Condition::at(LEADER, fencing_token)).chain(writes.iter().flat_map(of)).collect()
}

/// The changes of a transaction that makes these writes.
pub fn changes(writes: &[Write]) -> Vec<Change> {
    writes.iter().map(Write::change).collect()
}

/// What comes of a look.
#[derive(Debug, Default)]
pub struct DriverOutput {
    /// To be stored together, if anything.
    pub writes: Vec<Write>,
    /// There is nothing more to store: all that was is heard of.
    pub settled: bool,
    /// The leader's fencing token, on which the writes are conditional.
    pub fencing_token: u64,
    /// What is logged once the writes are stored.
    pub news: StatusLogLines,
    /// Jobs of which it has to be known how they ended.
    pub unknown: BTreeSet<JobId>,
}

/// Brings statuses up to what is declared, one transaction at a time.
pub struct DeclarationDriver {
    kinds: &'static [KindOperations],
    /// Where to go on among the kinds, and in each kind: whoever wants changes each second keeps nobody
    /// else from his.
    turn: usize,
    last: BTreeMap<DeclarationKind, String>,
    /// Nothing is decided before the watch cache holds this revision: what was stored last.
    stored: u64,
    /// Statuses that are too large to be stored, told once.
    too_large: BTreeSet<(DeclarationKind, String)>,
}

impl DeclarationDriver {
    /// A driver of these kinds that knows nothing yet.
    pub fn new(kinds: &'static [KindOperations]) -> Self {
        Self { kinds, turn: 0, last: BTreeMap::new(), stored: 0, too_large: BTreeSet::new() }
    }

    /// These go to the store now, which is others' turn next.
    pub fn sent(&mut self, writes: &[Write]) {
        for write in writes.iter().filter(|w| w.value.is_some()) {
            self.turn = self.kinds.iter().position(|entry| entry.kind == write.kind).map_or(0, |at| at + 1);
            self.last.insert(write.kind, write.name.clone());
        }
    }

    /// The last transaction was applied at this revision.
    pub fn stored(&mut self, revision: u64) {
        self.stored = self.stored.max(revision);
    }

    /// Everything that follows from how things stand. Nothing where the cluster state is not whole yet, or the
    /// watch cache is being read anew: jobs unknown to it would look as if they were over.
    pub fn look(
        &mut self,
        cluster: &mut ClusterState,
        watch_cache: &mut WatchCache,
        ended: JobEnds,
        now: Instant,
        now_ms: u64,
    ) -> DriverOutput {
        if !cluster.loaded || !watch_cache.is_ready() {
            return DriverOutput::default();
        }
        let changed = watch_cache.registry_mut().take_status_changes();
        refresh(self.kinds, cluster, watch_cache.registry(), ended, now, now_ms);
        let mut looked = DriverOutput { fencing_token: cluster.fencing_token, ..DriverOutput::default() };
        for change in changed.iter().filter(|c| now.saturating_duration_since(c.heard) < LOG_WITHIN) {
            looked.news.extend(news(self.kinds, change));
        }
        if watch_cache.revision() >= self.stored {
            let view = view(cluster, watch_cache.registry(), ended, now, now_ms);
            looked.writes = self.decide(&view, &mut looked.news);
            looked.unknown = view.unknown.into_inner();
            looked.settled = looked.writes.is_empty();
        }
        looked
    }

    /// Up to `MAX_WRITES`, of as many kinds as want any.
    fn decide(&mut self, view: &DeclarationView, told: &mut StatusLogLines) -> Vec<Write> {
        let mut writes: Vec<Write> = orphaned_statuses(view.registry).take(1).collect();
        let mut kinds: Vec<usize> = (0..self.kinds.len()).map(|n| (self.turn + n) % self.kinds.len()).collect();
        while writes.len() < MAX_WRITES && !kinds.is_empty() {
            kinds.retain(|at| {
                let found = (writes.len() < MAX_WRITES).then(|| self.next_of(*at, view, &writes, told)).flatten();
                let any = found.is_some();
                writes.extend(found);
                any
            });
        }
        writes
    }

    /// The next one of a kind that wants a change, after the last one that got it.
    fn next_of(
        &mut self,
        at: usize,
        view: &DeclarationView,
        writes: &[Write],
        told: &mut StatusLogLines,
    ) -> Option<Write> {
        let entry = &self.kinds[at];
        let kind = entry.kind;
        let last = self.last.get(&kind).cloned().unwrap_or_default();
        let (before, after): (Vec<&str>, Vec<&str>) =
            view.registry.names(kind).partition(|name| *name <= last.as_str());
        let most = MAX_VALUE_BYTES.min((view.settings.params.state.value_kb * 1024.0) as usize);
        for name in after.into_iter().chain(before) {
            if writes.iter().any(|w| w.kind == kind && w.name == name) {
                continue;
            }
            let Some(NextStatus { spec_version, status_version, value }) = (entry.step)(name, view) else { continue };
            let size = value.to_string().len();
            if size > most {
                if self.too_large.len() < kind.most() && self.too_large.insert((kind, name.to_owned())) {
                    let line = format!("{} {name}: its status of {size} bytes cannot be stored", kind.word());
                    told.push((Level::ERROR, line));
                }
                continue;
            }
            return Some(Write { kind, name: name.to_owned(), spec_version, status_version, value: Some(value) });
        }
        None
    }
}

/// Statuses that are dropped since their spec is gone.
fn orphaned_statuses(registry: &DeclarationRegistry) -> impl Iterator<Item = Write> {
    registry.orphaned_statuses().map(|(kind, name, status_version)| Write {
        kind,
        name: name.to_owned(),
        spec_version: 0,
        status_version,
        value: None,
    })
}

fn news(kinds: &[KindOperations], changed: &StatusChange) -> StatusLogLines {
    let StatusChange { kind, name, .. } = changed;
    match (changed.after(), entry(kinds, *kind)) {
        (None, _) => vec![(Level::INFO, format!("{} {name}: removed", kind.word()))],
        (Some(after), Some(entry)) => (entry.news)(name, changed.before().as_ref(), &after),
        (Some(_), None) => Vec::new(),
    }
}

fn view<'a>(
    cluster: &'a ClusterState,
    registry: &'a DeclarationRegistry,
    ended: JobEnds<'a>,
    now: Instant,
    now_ms: u64,
) -> DeclarationView<'a> {
    DeclarationView {
        cluster,
        ended,
        registry,
        now,
        now_ms,
        epoch: cluster.fencing_token,
        settings: &cluster.settings,
        jobs_by_window: OnceCell::new(),
        unknown: RefCell::default(),
    }
}

/// Works out anew what is asked for by what is stored: before anything is decided after a takeover, when
/// jobs have come, and each second. Does nothing as long as nothing is declared.
pub fn refresh(
    kinds: &[KindOperations],
    cluster: &mut ClusterState,
    registry: &DeclarationRegistry,
    ended: JobEnds,
    now: Instant,
    now_ms: u64,
) {
    cluster.intents_due = false;
    if registry.is_empty() && cluster.intents.is_empty() {
        return;
    }
    let mut intents = Intents::default();
    let view = view(cluster, registry, ended, now, now_ms);
    for entry in kinds {
        (entry.add_intents)(&view, &mut intents);
    }
    cluster.set_intents(intents);
}
