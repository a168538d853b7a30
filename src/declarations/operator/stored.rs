//! The stored declarations that an operator's verb reads, and the transaction that it writes.

use std::collections::BTreeMap;

use serde_json::Value;

use super::error::Refusal;
use crate::declarations::records::{
    DeclarationId, DeclarationKey, DeclarationKind, DeclarationPart, OPERATORS_KEY, parse_key, spec_key, status_key,
};
use crate::declarations::registry::Versioned;
use crate::declarations::table::Declaration;
use crate::store::client::KeyValue;
use crate::store::{Change, Condition};

/// A write or removal of one specification.
#[derive(Debug, Clone, PartialEq)]
pub struct SpecWrite {
    /// The declaration's name.
    pub name: String,
    /// The new specification, or `None` to remove it.
    pub spec: Option<Value>,
}

impl SpecWrite {
    /// Creates the write of a specification.
    pub fn put(name: impl Into<String>, spec: Value) -> Self {
        Self { name: name.into(), spec: Some(spec) }
    }

    /// Creates the removal of a specification.
    pub fn remove(name: impl Into<String>) -> Self {
        Self { name: name.into(), spec: None }
    }
}

/// The declarations of one kind or of all kinds, as read from the store.
#[derive(Debug, Default)]
pub struct StoredDeclarations {
    /// The version of the key that every operator write changes.
    pub operators_version: u64,
    /// The specifications, with their versions.
    pub specs: BTreeMap<DeclarationId, Versioned<Value>>,
    /// The statuses by declaration.
    pub statuses: BTreeMap<DeclarationId, Value>,
}

impl StoredDeclarations {
    /// Adds an item read from the store; items that are not declarations are ignored.
    pub fn add_item(&mut self, item: KeyValue) {
        let Some(DeclarationKey { part, kind, name }) = parse_key(&item.path) else { return };
        let id = DeclarationId::new(kind, name);
        match part {
            DeclarationPart::Spec => {
                self.specs.insert(id, Versioned { value: item.value, version: item.version });
            }
            DeclarationPart::Status => {
                self.statuses.insert(id, item.value);
            }
        }
    }

    /// Returns the specification with this identifier, if it is declared.
    pub fn spec(&self, id: &DeclarationId) -> Option<&Value> {
        self.specs.get(id).map(|spec| &spec.value)
    }

    /// Returns the declaration of a kind and name.
    ///
    /// # Errors
    /// Fails if the name is not declared.
    pub fn declaration<'a>(&'a self, kind: DeclarationKind, name: &'a str) -> Result<Declaration<'a>, Refusal> {
        let id = DeclarationId::new(kind, name);
        match self.spec(&id) {
            Some(spec) => Ok(Declaration { name, spec, status: self.statuses.get(&id) }),
            None => Err(Refusal::NotDeclared { kind, name: name.to_owned() }),
        }
    }
}

/// A conditional transaction on the state service.
#[derive(Debug, Clone, PartialEq)]
pub struct Transaction {
    /// The conditions under which the changes are applied.
    pub conditions: Vec<Condition>,
    /// The changes, applied all together or not at all.
    pub changes: Vec<Change>,
}

impl Transaction {
    /// Creates the transaction that writes specifications on condition of the versions read. It also writes `marker` to
    /// the key that every operator write changes.
    pub fn new(kind: DeclarationKind, stored: &StoredDeclarations, writes: &[SpecWrite], marker: &Value) -> Self {
        let mut conditions = vec![Condition::at(OPERATORS_KEY, stored.operators_version)];
        let mut changes = vec![Change::write(OPERATORS_KEY, marker.clone())];
        for SpecWrite { name, spec } in writes {
            let version = stored.specs.get(&DeclarationId::new(kind, name)).map_or(0, |spec| spec.version);
            conditions.push(Condition::at(spec_key(kind, name), version));
            // A name can be declared again only once the status of its removed declaration has been deleted.
            if version == 0 {
                conditions.push(Condition::absent(status_key(kind, name)));
            }
            changes.push(match spec {
                Some(spec) => Change::write(spec_key(kind, name), spec.clone()),
                None => Change::Drop { drop: spec_key(kind, name) },
            });
        }
        Self { conditions, changes }
    }
}
