//! Messages of the state service, a consensus-backed key-value store: compare-and-swap, listings, watches and leases.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A condition of a compare-and-swap: the key has this version, or does not exist if the version is 0.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    pub path: String,
    /// The version required; 0: the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Condition {
    /// Requires the key to have this version.
    pub fn at(path: impl Into<String>, version: u64) -> Self {
        Self { path: path.into(), version }
    }
    /// Requires the key not to exist.
    pub fn absent(path: impl Into<String>) -> Self {
        Self::at(path, 0)
    }
}

/// One change of a compare-and-swap.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Change {
    /// Sets a key.
    Write {
        /// The key.
        write: String,
        /// Its new value.
        value: Value,
        /// The lease that the key is attached to, if any: it is deleted when the lease ends.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        permit: Option<u64>,
    },
    /// Deletes a key.
    Drop {
        /// The key.
        drop: String,
    },
}

impl Change {
    /// Sets a key without a lease.
    pub fn write(path: impl Into<String>, value: Value) -> Self {
        Self::Write { write: path.into(), value, permit: None }
    }
}

/// A compare-and-swap: all changes are applied atomically if every condition holds. Without changes it only compares.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompareAndSwap<'a> {
    /// The conditions, all of which must hold.
    #[serde(default, rename = "if")]
    pub conditions: Cow<'a, [Condition]>,
    /// The changes, applied in this order.
    #[serde(default)]
    pub apply: Cow<'a, [Change]>,
}

impl<'a> CompareAndSwap<'a> {
    /// Creates a compare-and-swap that borrows its parts.
    pub fn new(conditions: &'a [Condition], apply: &'a [Change]) -> Self {
        Self { conditions: conditions.into(), apply: apply.into() }
    }
}

/// A key with its current value.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub path: String,
    /// Its value.
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of a listing, ordered by key, consistent as of one revision.
#[derive(Debug, Serialize, Deserialize)]
pub struct KeyValuePage {
    /// The keys of this page.
    pub items: Vec<KeyValue>,
    /// Whether further keys follow; the next page starts after the last key of this one.
    pub more: bool,
    /// The revision that the page describes.
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
}

/// A page of a listing of which only keys and versions are decoded.
#[derive(Debug, Deserialize)]
pub struct KeyVersionPage {
    /// The keys of this page.
    pub items: Vec<KeyVersion>,
    /// Whether further keys follow.
    pub more: bool,
}

/// A key with its version and without its value.
#[derive(Debug, Deserialize)]
pub struct KeyVersion {
    /// The key.
    pub path: String,
    /// The revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One change as a watch reports it: exactly one of `write` and `drop` is present.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct WatchEvent {
    /// The key that was set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub write: Option<String>,
    /// The key that was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drop: Option<String>,
    /// The new value; null for a deletion.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub value: Value,
    /// The revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl WatchEvent {
    /// The key that changed, whether set or deleted.
    pub fn path(&self) -> &str {
        self.write.as_deref().or(self.drop.as_deref()).unwrap_or_default()
    }
}

/// The answer of a watch: all changes after the revision asked for, up to `revision`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The revision up to which `log` is complete; the next watch starts from it.
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
    /// The changes in the order of their revisions.
    pub log: Vec<WatchEvent>,
}

/// The revision of the store after a compare-and-swap, or the current one.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoreRevision {
    /// The store's revision.
    #[serde(rename = "ledgerRev")]
    pub revision: u64,
}

/// The answer to a compare-and-swap whose conditions did not hold. Nothing was changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedConditions {
    /// The keys whose versions were not the ones required.
    pub failed: Vec<String>,
    /// The store's revision.
    #[serde(default, rename = "ledgerRev")]
    pub revision: u64,
}

/// The answer to a request that was refused as invalid (status 400).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InvalidRequest {
    /// The reason, [`NO_SUCH_LEASE`] or any other text.
    pub error: String,
}

/// Reason of a refusal: a write names a lease that has ended. Any other reason means that the request itself is invalid
/// or larger than the limits allow.
pub const NO_SUCH_LEASE: &str = "no such lease";

/// The answer to a request for a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct GrantedLease {
    /// The id of the lease.
    pub permit: u64,
}
