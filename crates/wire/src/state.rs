//! What the state service is asked and answers.

use serde::{Deserialize, Serialize};
use serde_json::Value;

#[derive(Debug, Clone, Serialize, PartialEq, Eq)]
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

#[derive(Debug, Clone, Serialize, PartialEq)]
#[serde(untagged)]
pub enum Change {
    Write {
        write: String,
        value: Value,
        #[serde(skip_serializing_if = "Option::is_none")]
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

#[derive(Serialize)]
pub struct Txn<'a> {
    #[serde(rename = "if")]
    pub conditions: &'a [Condition],
    pub apply: &'a [Change],
}

#[derive(Debug, Clone, Deserialize)]
pub struct Item {
    pub path: String,
    pub value: Value,
    pub stamp: u64,
}

#[derive(Debug, Deserialize)]
pub struct Page {
    pub items: Vec<Item>,
    pub more: bool,
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Event {
    #[serde(default)]
    pub write: Option<String>,
    #[serde(default)]
    pub drop: Option<String>,
    #[serde(default)]
    pub value: Value,
    pub stamp: u64,
}

#[derive(Debug, Deserialize)]
pub struct Followed {
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
    pub log: Vec<Event>,
}

#[derive(Deserialize)]
pub struct Revised {
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
}

#[derive(Deserialize)]
pub struct Refused {
    pub failed: Vec<String>,
}

#[derive(Deserialize)]
pub struct Granted {
    pub permit: u64,
}
