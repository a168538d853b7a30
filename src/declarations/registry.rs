//! All declared things in the watch cache: specs, statuses, and which statuses changed last.
//!
//! A value is kept as text and parsed as its kind's type when it is first used, which only leaders do. A value that
//! cannot be parsed is kept as it is and logged once; it does not affect the reading of others.

use std::any::Any;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, OnceLock};
use std::time::Instant;

use serde::de::DeserializeOwned;
use serde_json::Value;
use tracing::{error, warn};

use super::DeclarationLogic;
use super::records::{DeclarationKind, DeclarationPart, MAX_VALUE_BYTES, parse};

/// Changes of statuses kept until they are told; more are not told.
const MAX_PENDING_CHANGES: usize = 256;

/// One value, and what it reads as.
#[derive(Debug, Clone)]
struct StoredValue {
    json: Box<str>,
    version: u64,
    read: OnceLock<Option<Arc<dyn Any + Send + Sync>>>,
}

impl StoredValue {
    fn read<T: DeserializeOwned + Clone + Send + Sync + 'static>(
        &self,
        kind: DeclarationKind,
        name: &str,
    ) -> Option<T> {
        let read = self.read.get_or_init(|| match serde_json::from_str::<T>(&self.json) {
            Ok(read) => Some(Arc::new(read)),
            Err(problem) => {
                warn!(kind = kind.word(), name, %problem, "unreadable in the store; left as it is");
                None
            }
        });
        read.as_ref()?.downcast_ref::<T>().cloned()
    }
}

fn value(json: &str) -> Value {
    serde_json::from_str(json).unwrap_or_default()
}

/// A status that was stored over another, or dropped after its spec.
#[derive(Debug, Clone, PartialEq)]
pub struct StatusChange {
    /// The kind of what has changed.
    pub kind: DeclarationKind,
    /// Its name.
    pub name: String,
    before: Option<Box<str>>,
    after: Option<Box<str>>,
    /// When this controller heard of it.
    pub heard: Instant,
}

impl StatusChange {
    /// The value before the change.
    pub fn before(&self) -> Option<Value> {
        self.before.as_deref().map(value)
    }

    /// The value after the change.
    pub fn after(&self) -> Option<Value> {
        self.after.as_deref().map(value)
    }
}

type Of = BTreeMap<DeclarationKind, BTreeMap<String, StoredValue>>;

/// What is declared, as this controller has read it from the store.
#[derive(Debug, Default)]
pub struct DeclarationRegistry {
    specs: Of,
    statuses: Of,
    changed: VecDeque<StatusChange>,
}

impl DeclarationRegistry {
    /// Whether nothing is declared.
    pub fn is_empty(&self) -> bool {
        self.entries() == 0
    }

    /// Specs and statuses.
    pub fn entries(&self) -> usize {
        self.specs.values().chain(self.statuses.values()).map(BTreeMap::len).sum()
    }

    /// What is declared of a kind and can be read, by name, with the versions: the first ones by name
    /// where there are more than may be, which every controller decides alike.
    pub fn specs<D: DeclarationLogic>(&self) -> impl Iterator<Item = (&str, D::Spec, u64)> {
        self.specs
            .get(&D::KIND)
            .into_iter()
            .flatten()
            .take(D::KIND.most())
            .filter_map(|(name, kept)| kept.read(D::KIND, name).map(|spec| (name.as_str(), spec, kept.version)))
    }

    /// A spec with its version; none if it cannot be read.
    pub fn spec<D: DeclarationLogic>(&self, name: &str) -> Option<(D::Spec, u64)> {
        let kept = self.specs.get(&D::KIND)?.get(name)?;
        kept.read(D::KIND, name).map(|spec| (spec, kept.version))
    }

    /// A status with its version; none if it cannot be read.
    pub fn status<D: DeclarationLogic>(&self, name: &str) -> Option<(D::Status, u64)> {
        let kept = self.statuses.get(&D::KIND)?.get(name)?;
        kept.read(D::KIND, name).map(|status| (status, kept.version))
    }

    /// A spec as it is stored, with its version.
    pub fn raw_spec(&self, kind: DeclarationKind, name: &str) -> Option<(Value, u64)> {
        self.specs.get(&kind)?.get(name).map(|kept| (value(&kept.json), kept.version))
    }

    /// A status as it is stored, with its version.
    pub fn raw_status(&self, kind: DeclarationKind, name: &str) -> Option<(Value, u64)> {
        self.statuses.get(&kind)?.get(name).map(|kept| (value(&kept.json), kept.version))
    }

    /// Whether there is a status, readable or not.
    pub fn has_status(&self, kind: DeclarationKind, name: &str) -> bool {
        self.statuses.get(&kind).is_some_and(|of| of.contains_key(name))
    }

    /// KnownNames of a kind, readable or not: all that specs may be looked at of.
    pub fn names(&self, kind: DeclarationKind) -> impl Iterator<Item = &str> {
        self.specs.get(&kind).into_iter().flatten().take(kind.most()).map(|(name, _)| name.as_str())
    }

    /// Statuses whose spec is gone, with their versions.
    pub fn orphaned_statuses(&self) -> impl Iterator<Item = (DeclarationKind, &str, u64)> {
        let all = self.statuses.iter().flat_map(|(kind, of)| of.iter().map(move |(name, kept)| (*kind, name, kept)));
        all.filter(|(kind, name, _)| !self.specs.get(kind).is_some_and(|of| of.contains_key(*name)))
            .map(|(kind, name, kept)| (kind, name.as_str(), kept.version))
    }

    /// What the store holds under a key since a revision. What is older than what is known, as after
    /// reading anew, is passed over. False if the key is none of what is declared.
    pub fn put(&mut self, path: &str, value: &Value, version: u64) -> bool {
        let Some((part, kind, name)) = parse(path) else { return false };
        let json = value.to_string().into_boxed_str();
        if json.len() > MAX_VALUE_BYTES {
            error!(path, "larger than anything declared may be; not taken in");
            return self.drop_key(path, version);
        }
        let of = self.of(part).entry(kind).or_default();
        if of.get(name).is_some_and(|kept| kept.version >= version) {
            return true;
        }
        // Operators' writes keep to half of this; a stranger's may take no more.
        if !of.contains_key(name) && of.len() >= 2 * kind.most() {
            error!(path, "too many of them; not taken in");
            return true;
        }
        let kept = StoredValue { json: json.clone(), version, read: OnceLock::new() };
        let before = of.insert(name.to_owned(), kept).map(|kept| kept.json);
        if part == DeclarationPart::Status && before.as_ref() != Some(&json) {
            self.note(kind, name, before, Some(json));
        }
        true
    }

    /// The same of a key that is no more since a revision.
    pub fn drop_key(&mut self, path: &str, version: u64) -> bool {
        let Some((part, kind, name)) = parse(path) else { return false };
        let older = |kept: &StoredValue| kept.version <= version;
        let of = self.of(part).get_mut(&kind).filter(|of| of.get(name).is_some_and(older));
        let before = of.and_then(|of| of.remove(name));
        if let Some(before) = before.filter(|_| part == DeclarationPart::Status) {
            self.note(kind, name, Some(before.json), None);
        }
        true
    }

    /// All of it was read anew. What changed meanwhile is noted, but nothing of a first reading. False
    /// if nothing is declared and nothing was.
    pub fn replace(&mut self, read: Self, first: bool) -> bool {
        let before = std::mem::replace(self, read);
        let any = !before.is_empty() || !self.is_empty();
        self.changed = before.changed;
        if first {
            return any;
        }
        let mut changes = Vec::new();
        for kind in DeclarationKind::ALL {
            let (was, is) = (before.statuses.get(&kind), self.statuses.get(&kind));
            let mut names: Vec<&String> = was.into_iter().chain(is).flat_map(BTreeMap::keys).collect();
            names.sort_unstable();
            names.dedup();
            for name in names {
                let value =
                    |of: Option<&BTreeMap<String, StoredValue>>| of.and_then(|of| Some(of.get(name)?.json.clone()));
                let (was, is) = (value(was), value(is));
                if was != is {
                    changes.push((kind, name.clone(), was, is));
                }
            }
        }
        for (kind, name, was, is) in changes {
            self.note(kind, &name, was, is);
        }
        any
    }

    /// Something changed that nobody has taken yet.
    pub fn has_status_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Statuses that changed since the last call, oldest first.
    pub fn take_status_changes(&mut self) -> Vec<StatusChange> {
        self.changed.drain(..).collect()
    }

    fn of(&mut self, part: DeclarationPart) -> &mut Of {
        match part {
            DeclarationPart::Spec => &mut self.specs,
            DeclarationPart::Status => &mut self.statuses,
        }
    }

    fn note(&mut self, kind: DeclarationKind, name: &str, before: Option<Box<str>>, after: Option<Box<str>>) {
        if self.changed.len() >= MAX_PENDING_CHANGES {
            self.changed.pop_front();
        }
        self.changed.push_back(StatusChange { kind, name: name.to_owned(), before, after, heard: Instant::now() });
    }
}
