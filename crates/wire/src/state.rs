//! What the state service is asked and answers.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// That a key has this version; 0: that it does not exist.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct Condition {
    pub path: String,
    pub stamp: u64,
}

impl Condition {
    pub fn at(path: impl Into<String>, stamp: u64) -> Self {
        Self { path: path.into(), stamp }
    }
    pub fn absent(path: impl Into<String>) -> Self {
        Self::at(path, 0)
    }
}

/// A key written, on a lease if one is named, or dropped.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Change {
    Write {
        write: String,
        value: Value,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        permit: Option<u64>,
    },
    Drop {
        drop: String,
    },
}

impl Change {
    pub fn write(path: impl Into<String>, value: Value) -> Self {
        Self::Write { write: path.into(), value, permit: None }
    }
}

/// A transaction: all changes at once if every condition holds. Without changes it compares.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Txn<'a> {
    #[serde(default, rename = "if")]
    pub conditions: Cow<'a, [Condition]>,
    #[serde(default)]
    pub apply: Cow<'a, [Change]>,
}

impl<'a> Txn<'a> {
    pub fn new(conditions: &'a [Condition], apply: &'a [Change]) -> Self {
        Self { conditions: conditions.into(), apply: apply.into() }
    }
}

/// A key as it stands: the stamp is the revision of its last change.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Item {
    pub path: String,
    pub value: Value,
    pub stamp: u64,
}

/// A part of a listing in the order of the keys, as of one revision.
#[derive(Debug, Serialize, Deserialize)]
pub struct Page {
    pub items: Vec<Item>,
    pub more: bool,
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
}

/// The names and versions alone of such a part.
#[derive(Debug, Deserialize)]
pub struct Names {
    pub items: Vec<Name>,
    pub more: bool,
}

#[derive(Debug, Deserialize)]
pub struct Name {
    pub path: String,
    pub stamp: u64,
}

/// One change as a watch tells it: a key written or dropped.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Event {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drop: Option<String>,
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub value: Value,
    pub stamp: u64,
}

impl Event {
    /// The key that changed.
    pub fn path(&self) -> &str {
        self.write.as_deref().or(self.drop.as_deref()).unwrap_or_default()
    }
}

/// All changes since the revision asked for, up to this one.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Followed {
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
    pub log: Vec<Event>,
}

/// The revision after a transaction, or the present one.
#[derive(Debug, Serialize, Deserialize)]
pub struct Revised {
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
}

/// The keys that had other versions than asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    pub failed: Vec<String>,
    #[serde(default, rename = "ledgerRev")]
    pub revision: u64,
}

/// A lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct Granted {
    pub permit: u64,
}
