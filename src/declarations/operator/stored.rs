//! What is stored of declarations when an operator's verb begins, and the transaction that writes over it.

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

/// The write of one spec.
#[derive(Debug, Clone, PartialEq)]
pub struct SpecWrite {
    /// The declaration's name.
    pub name: String,
    /// None where it is dropped.
    pub spec: Option<Value>,
}

impl SpecWrite {
    /// Writes a spec.
    pub fn put(name: impl Into<String>, spec: Value) -> Self {
        Self { name: name.into(), spec: Some(spec) }
    }

    /// Drops a spec.
    pub fn remove(name: impl Into<String>) -> Self {
        Self { name: name.into(), spec: None }
    }
}

/// The declarations of one kind, or of all, as they were read.
#[derive(Debug, Default)]
pub struct StoredDeclarations {
    /// The version of the key common to all operators.
    pub operators_version: u64,
    /// The specs.
    pub specs: BTreeMap<DeclarationId, Versioned<Value>>,
    /// The statuses.
    pub statuses: BTreeMap<DeclarationId, Value>,
}

impl StoredDeclarations {
    /// Takes in an item that was read; items that are no declarations are ignored.
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

    /// The spec of this id, if it is declared.
    pub fn spec(&self, id: &DeclarationId) -> Option<&Value> {
        self.specs.get(id).map(|spec| &spec.value)
    }

    /// The declaration of a kind and name.
    ///
    /// # Errors
    /// Refuses a name that is not declared.
    pub fn declaration<'a>(&'a self, kind: DeclarationKind, name: &'a str) -> Result<Declaration<'a>, Refusal> {
        let id = DeclarationId::new(kind, name);
        match self.spec(&id) {
            Some(spec) => Ok(Declaration { name, spec, status: self.statuses.get(&id) }),
            None => Err(Refusal::NotDeclared { kind, name: name.to_owned() }),
        }
    }
}

/// A conditional transaction.
#[derive(Debug, Clone, PartialEq)]
pub struct Transaction {
    /// What has to hold.
    pub conditions: Vec<Condition>,
    /// What is then changed.
    pub changes: Vec<Change>,
}

impl Transaction {
    /// Writes specs over what was read. It also writes `marker` to the key common to all operators.
    pub fn new(kind: DeclarationKind, stored: &StoredDeclarations, writes: &[SpecWrite], marker: &Value) -> Self {
        let mut conditions = vec![Condition::at(OPERATORS_KEY, stored.operators_version)];
        let mut changes = vec![Change::write(OPERATORS_KEY, marker.clone())];
        for SpecWrite { name, spec } in writes {
            let version = stored.specs.get(&DeclarationId::new(kind, name)).map_or(0, |spec| spec.version);
            conditions.push(Condition::at(spec_key(kind, name), version));
            // A removal is final: a name is free again once its status is gone.
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
