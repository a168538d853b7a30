//! The declarations in the watch cache: specifications, statuses and recent status changes.
//!
//! A value is kept as JSON text and decoded into its kind's type on first use, which only leaders do. A value that
//! cannot be decoded is kept unchanged and logged once; it does not affect other declarations.

use std::any::Any;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, OnceLock};
use std::time::Instant;

use serde::de::DeserializeOwned;
use serde_json::Value;
use tracing::{error, warn};

use super::DeclarationLogic;
use super::records::{DeclarationKey, DeclarationKind, DeclarationPart, MAX_VALUE_BYTES, parse_key};

/// Maximum number of status changes that wait to be logged; the oldest are dropped beyond it.
const MAX_PENDING_CHANGES: usize = 256;

/// A value with the version of its store key.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<T> {
    /// The stored value.
    pub value: T,
    /// The version of the key in the store.
    pub version: u64,
}

/// A specification with its name and version.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedSpec<'a, S> {
    /// The declaration's name.
    pub name: &'a str,
    /// The decoded specification.
    pub spec: S,
    /// The version of the specification's key in the store.
    pub version: u64,
}

/// A status whose specification was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrphanedStatus<'a> {
    /// The declaration's kind.
    pub kind: DeclarationKind,
    /// The declaration's name.
    pub name: &'a str,
    /// The version of the status's key in the store.
    pub version: u64,
}

/// A stored value as JSON text, with the decoded value once it has been used.
#[derive(Debug, Clone)]
struct StoredValue {
    json: Box<str>,
    version: u64,
    decoded: OnceLock<Option<Arc<dyn Any + Send + Sync>>>,
}

impl StoredValue {
    fn decode<T>(&self, kind: DeclarationKind, name: &str) -> Option<Versioned<T>>
    where
        T: DeserializeOwned + Clone + Send + Sync + 'static,
    {
        let decoded = self.decoded.get_or_init(|| match serde_json::from_str::<T>(&self.json) {
            Ok(decoded) => Some(Arc::new(decoded)),
            Err(error) => {
                warn!(
                    kind = kind.as_str(),
                    name, %error, "stored declaration not decoded; leaving it in the store and ignoring it"
                );
                None
            }
        });
        let value = decoded.as_ref()?.downcast_ref::<T>().cloned()?;
        Some(Versioned { value, version: self.version })
    }

    fn raw(&self) -> Versioned<Value> {
        Versioned { value: parse_json(&self.json), version: self.version }
    }
}

fn parse_json(json: &str) -> Value {
    serde_json::from_str(json).unwrap_or_default()
}

/// A change of a stored status, or its removal after its specification.
#[derive(Debug, Clone, PartialEq)]
pub struct StatusChange {
    /// The declaration's kind.
    pub kind: DeclarationKind,
    /// The declaration's name.
    pub name: String,
    before: Option<Box<str>>,
    after: Option<Box<str>>,
    /// When this controller observed the change.
    pub observed_at: Instant,
}

impl StatusChange {
    /// Returns the status before the change, if there was one.
    pub fn before(&self) -> Option<Value> {
        self.before.as_deref().map(parse_json)
    }

    /// Returns the status after the change, or `None` if it was removed.
    pub fn after(&self) -> Option<Value> {
        self.after.as_deref().map(parse_json)
    }
}

type ValuesByName = BTreeMap<String, StoredValue>;
type ValuesByKind = BTreeMap<DeclarationKind, ValuesByName>;

/// All declarations that this controller has read from the store.
#[derive(Debug, Default)]
pub struct DeclarationRegistry {
    specs: ValuesByKind,
    statuses: ValuesByKind,
    status_changes: VecDeque<StatusChange>,
}

impl DeclarationRegistry {
    /// Returns whether there are neither specifications nor statuses.
    pub fn is_empty(&self) -> bool {
        self.entry_count() == 0
    }

    /// Returns the number of specifications and statuses.
    pub fn entry_count(&self) -> usize {
        self.specs.values().chain(self.statuses.values()).map(BTreeMap::len).sum()
    }

    /// Iterates over the decodable specifications of a kind in order of name. Beyond the kind's maximum count, only the
    /// first by name are used, so that every controller selects the same ones.
    pub fn specs<D: DeclarationLogic>(&self) -> impl Iterator<Item = NamedSpec<'_, D::Spec>> {
        self.specs.get(&D::KIND).into_iter().flatten().take(D::KIND.max_count()).filter_map(|(name, stored)| {
            let Versioned { value, version } = stored.decode(D::KIND, name)?;
            Some(NamedSpec { name, spec: value, version })
        })
    }

    /// Returns a specification, or `None` if it does not exist or cannot be decoded.
    pub fn spec<D: DeclarationLogic>(&self, name: &str) -> Option<Versioned<D::Spec>> {
        self.specs.get(&D::KIND)?.get(name)?.decode(D::KIND, name)
    }

    /// Returns a status, or `None` if it does not exist or cannot be decoded.
    pub fn status<D: DeclarationLogic>(&self, name: &str) -> Option<Versioned<D::Status>> {
        self.statuses.get(&D::KIND)?.get(name)?.decode(D::KIND, name)
    }

    /// Returns a specification as stored JSON.
    pub fn raw_spec(&self, kind: DeclarationKind, name: &str) -> Option<Versioned<Value>> {
        self.specs.get(&kind)?.get(name).map(StoredValue::raw)
    }

    /// Returns a status as stored JSON.
    pub fn raw_status(&self, kind: DeclarationKind, name: &str) -> Option<Versioned<Value>> {
        self.statuses.get(&kind)?.get(name).map(StoredValue::raw)
    }

    /// Returns whether a status exists, decodable or not.
    pub fn has_status(&self, kind: DeclarationKind, name: &str) -> bool {
        self.statuses.get(&kind).is_some_and(|statuses| statuses.contains_key(name))
    }

    /// Iterates over the names of the specifications of a kind, decodable or not, up to the kind's maximum count.
    pub fn names_of_kind(&self, kind: DeclarationKind) -> impl Iterator<Item = &str> {
        self.specs.get(&kind).into_iter().flatten().take(kind.max_count()).map(|(name, _)| name.as_str())
    }

    /// Iterates over the statuses whose specification was removed.
    pub fn orphaned_statuses(&self) -> impl Iterator<Item = OrphanedStatus<'_>> {
        let all = self.statuses.iter().flat_map(|(kind, statuses)| {
            statuses.iter().map(|(name, stored)| OrphanedStatus { kind: *kind, name, version: stored.version })
        });
        all.filter(|status| !self.specs.get(&status.kind).is_some_and(|specs| specs.contains_key(status.name)))
    }

    /// Stores the value of a key. A version that is not newer than the known one, as after a reload, is ignored.
    /// Returns false if the key does not belong to a declaration.
    pub fn put_key(&mut self, path: &str, value: &Value, version: u64) -> bool {
        let Some(DeclarationKey { part, kind, name }) = parse_key(path) else { return false };
        let json = value.to_string().into_boxed_str();
        if json.len() > MAX_VALUE_BYTES {
            error!(key = path, "stored declaration too large; dropping it from the registry");
            return self.remove_key(path, version);
        }
        let values = self.values_mut(part).entry(kind).or_default();
        if values.get(name).is_some_and(|stored| stored.version >= version) {
            return true;
        }
        // Operators' writes stay within half of this limit; it bounds what any other writer can add.
        if !values.contains_key(name) && values.len() >= 2 * kind.max_count() {
            error!(key = path, "declaration limit exceeded; ignoring the new entry");
            return true;
        }
        let stored = StoredValue { json: json.clone(), version, decoded: OnceLock::new() };
        let before = values.insert(name.to_owned(), stored).map(|stored| stored.json);
        if part == DeclarationPart::Status && before.as_ref() != Some(&json) {
            self.record_change(kind, name, before, Some(json));
        }
        true
    }

    /// Removes a key that was deleted at a revision. Returns false if the key does not belong to a declaration.
    pub fn remove_key(&mut self, path: &str, revision: u64) -> bool {
        let Some(DeclarationKey { part, kind, name }) = parse_key(path) else { return false };
        let is_older = |stored: &StoredValue| stored.version <= revision;
        let values = self.values_mut(part).get_mut(&kind).filter(|values| values.get(name).is_some_and(is_older));
        let before = values.and_then(|values| values.remove(name));
        if let Some(before) = before.filter(|_| part == DeclarationPart::Status) {
            self.record_change(kind, name, Some(before.json), None);
        }
        true
    }

    /// Replaces the contents after a reload of all keys. Statuses that changed in the meantime are recorded as changes,
    /// except on the first load. Returns false if the registry was empty and still is.
    pub fn replace_with(&mut self, loaded: Self, is_first_load: bool) -> bool {
        let before = std::mem::replace(self, loaded);
        let has_or_had_entries = !before.is_empty() || !self.is_empty();
        self.status_changes = before.status_changes;
        if is_first_load {
            return has_or_had_entries;
        }
        let (none, after) = (ValuesByName::new(), std::mem::take(&mut self.statuses));
        for kind in DeclarationKind::ALL {
            let before = before.statuses.get(&kind).unwrap_or(&none);
            self.record_differences(kind, before, after.get(&kind).unwrap_or(&none));
        }
        self.statuses = after;
        has_or_had_entries
    }

    fn record_differences(&mut self, kind: DeclarationKind, before: &ValuesByName, after: &ValuesByName) {
        let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
        names.sort_unstable();
        names.dedup();
        for name in names {
            let json = |values: &ValuesByName| values.get(name).map(|stored| stored.json.clone());
            let (before, after) = (json(before), json(after));
            if before != after {
                self.record_change(kind, name, before, after);
            }
        }
    }

    /// Returns whether there are status changes that have not been taken yet.
    pub fn has_status_changes(&self) -> bool {
        !self.status_changes.is_empty()
    }

    /// Removes and returns the status changes since the last call, oldest first.
    pub fn take_status_changes(&mut self) -> Vec<StatusChange> {
        self.status_changes.drain(..).collect()
    }

    fn values_mut(&mut self, part: DeclarationPart) -> &mut ValuesByKind {
        match part {
            DeclarationPart::Spec => &mut self.specs,
            DeclarationPart::Status => &mut self.statuses,
        }
    }

    fn record_change(&mut self, kind: DeclarationKind, name: &str, before: Option<Box<str>>, after: Option<Box<str>>) {
        if self.status_changes.len() >= MAX_PENDING_CHANGES {
            self.status_changes.pop_front();
        }
        let observed_at = Instant::now();
        self.status_changes.push_back(StatusChange { kind, name: name.to_owned(), before, after, observed_at });
    }
}
