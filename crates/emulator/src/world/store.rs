//! The state service: versioned keys, transactions, leases, watches and limits, as its protocol defines them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::time::Duration;

use hollylanding_protocol::state::{
    Change, CompareAndSwap, Condition, FailedConditions, KeyValue, KeyValuePage, WatchEvent, WatchResponse,
};
use serde_json::Value;

mod types;

pub use self::types::{Limits, Refusal};
use super::bucket::TokenBucket;

/// Maximum number of changes in the log for watches; a watch that starts before them has to list again.
pub const MAX_LOG_LENGTH: usize = 10_000;
/// Maximum number of items on one page of a listing.
pub const MAX_PAGE_ITEMS: usize = 1000;
/// Maximum number of bytes on one page of a listing.
pub const MAX_PAGE_BYTES: usize = 512 * 1024;
/// Maximum size of a transaction in bytes.
pub const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// Maximum size of a key in bytes.
pub const MAX_KEY_BYTES: usize = 200;
/// Maximum number of conditions of a transaction for each change that it may have.
const MAX_CONDITIONS_PER_CHANGE: usize = 4;
/// Permitted time to live of a lease, in milliseconds.
const LEASE_TTL_MS: std::ops::RangeInclusive<u64> = 100..=600_000;

/// The value of a key.
#[derive(Debug)]
struct StoredValue {
    value: Value,
    version: u64,
    /// The lease to which the key is attached.
    permit: Option<u64>,
}

/// A lease. Its keys are deleted when it expires.
#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Duration,
    keys: BTreeSet<String>,
}

/// The whole state of the state service. Times are durations since the start of the world.
#[derive(Debug)]
pub struct Store {
    limits: Limits,
    request_budget: TokenBucket,
    change_budget: TokenBucket,
    keys: BTreeMap<String, StoredValue>,
    /// The revision of the last change.
    revision: u64,
    log: VecDeque<WatchEvent>,
    /// The last revision of which a change is no longer in the log.
    discarded_revision: u64,
    leases: BTreeMap<u64, Lease>,
    next_permit: u64,
    /// Whether an outage is in effect.
    outage: bool,
    /// The nodes whose requests are refused.
    refused_nodes: BTreeSet<String>,
}

impl Default for Store {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

/// The size of a value in bytes of JSON text, as the protocol counts it.
fn json_size(value: &Value) -> usize {
    value.to_string().len()
}

/// Checks that a key has a permitted size and contains no space.
fn check_key(key: &str) -> Result<(), Refusal> {
    let valid = (1..=MAX_KEY_BYTES).contains(&key.len()) && !key.contains(' ');
    if valid { Ok(()) } else { Err(Refusal::Malformed("a key of 1 to 200 bytes without spaces")) }
}

impl Store {
    /// Creates an empty store.
    pub fn new(limits: Limits) -> Self {
        Self {
            request_budget: TokenBucket::new(limits.requests_per_second, 1.0),
            change_budget: TokenBucket::new(limits.changes_per_second, 1.0),
            limits,
            keys: BTreeMap::new(),
            revision: 0,
            log: VecDeque::new(),
            discarded_revision: 0,
            leases: BTreeMap::new(),
            next_permit: 1,
            outage: false,
            refused_nodes: BTreeSet::new(),
        }
    }

    /// Changes the limits. What is stored stays as it is, also where it is larger than the new limits allow.
    pub fn set_limits(&mut self, limits: Limits) {
        self.request_budget = TokenBucket::new(limits.requests_per_second, 1.0);
        self.change_budget = TokenBucket::new(limits.changes_per_second, 1.0);
        self.limits = limits;
    }

    /// Begins or ends an outage. When an outage ends, every lease gets its full time to live again.
    pub fn set_outage(&mut self, outage: bool, now: Duration) {
        if self.outage && !outage {
            for lease in self.leases.values_mut() {
                lease.expires_at = now + lease.ttl;
            }
        }
        self.outage = outage;
    }

    /// Begins or stops refusing the requests of one node. Its leases expire as usual meanwhile.
    pub fn set_refused(&mut self, node: &str, refused: bool) {
        if refused {
            self.refused_nodes.insert(node.to_owned());
        } else {
            self.refused_nodes.remove(node);
        }
    }

    /// Admits or refuses a request of a node, after expiring the leases that are over. An admitted request counts
    /// against the limit.
    pub fn admit(&mut self, node: &str, now: Duration) -> Result<(), Refusal> {
        self.expire_leases(now);
        if self.outage || self.refused_nodes.contains(node) {
            return Err(Refusal::Unavailable);
        }
        if self.request_budget.try_take(1.0, now) { Ok(()) } else { Err(Refusal::TooMany) }
    }

    /// Whether requests of a node are served: there is no outage, and the node is not refused.
    pub fn serves(&self, node: &str) -> bool {
        !self.outage && !self.refused_nodes.contains(node)
    }

    /// Removes the leases that have expired. No lease expires during an outage.
    pub fn expire_leases(&mut self, now: Duration) {
        if self.outage {
            return;
        }
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.expires_at <= now).map(|(permit, _)| *permit).collect();
        for permit in expired {
            self.end_lease(permit);
        }
    }

    /// Removes a lease with its keys, all at one revision. Returns false if the lease does not exist.
    fn end_lease(&mut self, permit: u64) -> bool {
        let Some(lease) = self.leases.remove(&permit) else { return false };
        if !lease.keys.is_empty() {
            self.revision += 1;
        }
        for key in lease.keys {
            self.keys.remove(&key);
            self.append(WatchEvent { write: None, drop: Some(key), value: Value::Null, version: self.revision });
        }
        true
    }

    /// Appends a change to the log, and discards the oldest one if the log is full.
    fn append(&mut self, event: WatchEvent) {
        self.log.push_back(event);
        if self.log.len() > MAX_LOG_LENGTH
            && let Some(oldest) = self.log.pop_front()
        {
            self.discarded_revision = oldest.version;
        }
    }

    /// The revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether a key exists.
    pub fn has(&self, key: &str) -> bool {
        self.keys.contains_key(key)
    }

    /// The version of a key; 0 if it does not exist.
    pub fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |stored| stored.version)
    }

    /// The value of a key, if it exists.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|stored| &stored.value)
    }

    /// The keys with a prefix, each with its value and version, in the order of the keys.
    pub fn entries_with_prefix(&self, prefix: &str) -> impl Iterator<Item = (&str, &Value, u64)> {
        let from = Bound::Included(prefix.to_owned());
        let later = self.keys.range::<String, _>((from, Bound::Unbounded));
        let prefix = prefix.to_owned();
        later
            .take_while(move |(key, _)| key.starts_with(&prefix))
            .map(|(key, stored)| (key.as_str(), &stored.value, stored.version))
    }

    /// Deletes the `n` newest keys with a prefix and returns them. This fault breaks the service's guarantees: no watch
    /// reports the deletion, and the revision stays the same.
    pub fn lose_newest_keys(&mut self, prefix: &str, n: usize) -> Vec<String> {
        let mut found: Vec<(u64, String)> =
            self.entries_with_prefix(prefix).map(|(key, _, version)| (version, key.to_owned())).collect();
        found.sort_unstable();
        let lost: Vec<String> = found.into_iter().rev().take(n).map(|(_, key)| key).collect();
        for key in &lost {
            self.keys.remove(key);
        }
        lost
    }

    /// Ends every lease at once.
    pub fn drop_leases(&mut self) {
        for permit in self.leases.keys().copied().collect::<Vec<_>>() {
            self.end_lease(permit);
        }
    }

    /// Discards the log of changes, so that every watch of an earlier revision has to list again.
    pub fn discard_log(&mut self) {
        self.log.clear();
        self.discarded_revision = self.revision;
    }

    /// Returns one key: `GET /keys/{key}`.
    pub fn get(&self, key: &str) -> Result<KeyValue, Refusal> {
        check_key(key)?;
        let stored = self.keys.get(key).ok_or(Refusal::Absent)?;
        Ok(KeyValue { path: key.to_owned(), value: stored.value.clone(), version: stored.version })
    }

    /// Returns a page of the keys with a prefix: `GET /keys?prefix=&since=&most=`.
    pub fn page(&self, prefix: &str, since: &str, most: usize) -> KeyValuePage {
        let after = Bound::Excluded(since.max(prefix).to_owned());
        // A key that equals the prefix comes before all others.
        let first = self.keys.get_key_value(prefix).filter(|_| since < prefix);
        let later = self.keys.range::<String, _>((after, Bound::Unbounded));
        let mut all = first.into_iter().chain(later.take_while(|(key, _)| key.starts_with(prefix))).peekable();
        let (mut items, mut bytes) = (Vec::new(), 0);
        while let Some((key, stored)) = all.peek() {
            bytes += key.len() + json_size(&stored.value) + 40;
            if items.len() >= most.clamp(1, MAX_PAGE_ITEMS) || (bytes > MAX_PAGE_BYTES && !items.is_empty()) {
                break;
            }
            items.push(KeyValue { path: (*key).clone(), value: stored.value.clone(), version: stored.version });
            all.next();
        }
        KeyValuePage { items, more: all.peek().is_some(), revision: self.revision }
    }

    /// The keys of the conditions that do not hold.
    pub fn failed_conditions(&self, conditions: &[Condition]) -> Vec<String> {
        conditions.iter().filter(|c| self.version(&c.path) != c.version).map(|c| c.path.clone()).collect()
    }

    /// Executes a transaction: `POST /txn`. Returns the revision at which it was applied, or the keys that had other
    /// versions.
    pub fn compare_and_swap(
        &mut self,
        compare_and_swap: &CompareAndSwap,
        now: Duration,
    ) -> Result<Result<u64, FailedConditions>, Refusal> {
        let n = compare_and_swap.apply.len();
        if n > self.limits.txn_ops
            || compare_and_swap.conditions.len() > self.limits.txn_ops * MAX_CONDITIONS_PER_CHANGE
        {
            return Err(Refusal::Malformed("too many changes or conditions"));
        }
        let mut bytes = 0;
        for condition in compare_and_swap.conditions.iter() {
            check_key(&condition.path)?;
            bytes += condition.path.len() + 30;
        }
        for change in compare_and_swap.apply.iter() {
            let (key, size) = match change {
                Change::Write { write, value, .. } => (write, json_size(value)),
                Change::Drop { drop } => (drop, 0),
            };
            check_key(key)?;
            if size as f64 > self.limits.value_kb * 1024.0 {
                return Err(Refusal::Malformed("a value above the limit"));
            }
            bytes += key.len() + size + 30;
        }
        if bytes > MAX_TRANSACTION_BYTES && self.limits.value_kb.is_finite() {
            return Err(Refusal::Malformed("a transaction above 64 KiB"));
        }
        // The changes count against the limit whether or not the conditions hold.
        if n > 0 && !self.change_budget.try_take(n as f64, now) {
            return Err(Refusal::TooMany);
        }
        // An expired lease refuses the transaction whether or not the conditions hold.
        let names_expired_lease =
            |c: &Change| matches!(c, Change::Write { permit: Some(p), .. } if !self.leases.contains_key(p));
        if compare_and_swap.apply.iter().any(names_expired_lease) {
            return Err(Refusal::LeaseExpired);
        }
        Ok(self.apply_if(&compare_and_swap.conditions, &compare_and_swap.apply))
    }

    /// Applies changes if the conditions hold, without checking limits: what the service does with an admitted request.
    pub fn apply_if(&mut self, conditions: &[Condition], changes: &[Change]) -> Result<u64, FailedConditions> {
        let failed = self.failed_conditions(conditions);
        if failed.is_empty() {
            Ok(self.apply(changes))
        } else {
            Err(FailedConditions { failed, revision: self.revision })
        }
    }

    /// Applies changes, all at one revision, which is returned.
    fn apply(&mut self, changes: &[Change]) -> u64 {
        self.revision += u64::from(!changes.is_empty());
        let version = self.revision;
        for change in changes {
            let (Change::Write { write: key, .. } | Change::Drop { drop: key }) = change;
            // Every change detaches the key from its lease; a write that names a lease attaches the key to that one.
            if let Some(permit) = self.keys.get(key).and_then(|stored| stored.permit)
                && let Some(lease) = self.leases.get_mut(&permit)
            {
                lease.keys.remove(key);
            }
            match change {
                Change::Write { write, value, permit } => {
                    if let Some(lease) = permit.and_then(|p| self.leases.get_mut(&p)) {
                        lease.keys.insert(write.clone());
                    }
                    self.keys.insert(write.clone(), StoredValue { value: value.clone(), version, permit: *permit });
                    self.append(WatchEvent { write: Some(write.clone()), drop: None, value: value.clone(), version });
                }
                Change::Drop { drop } => {
                    if self.keys.remove(drop).is_some() {
                        self.append(WatchEvent { write: None, drop: Some(drop.clone()), value: Value::Null, version });
                    }
                }
            }
        }
        version
    }

    /// Creates a lease: `POST /grants`.
    pub fn grant(&mut self, ttl_ms: u64, now: Duration) -> Result<u64, Refusal> {
        if !LEASE_TTL_MS.contains(&ttl_ms) {
            return Err(Refusal::Malformed("a life of 100 to 600,000 ms"));
        }
        let permit = self.next_permit;
        self.next_permit += 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases.insert(permit, Lease { ttl, expires_at: now + ttl, keys: BTreeSet::new() });
        Ok(permit)
    }

    /// Renews a lease for its full time to live: `POST /grants/{id}/renew`.
    pub fn renew(&mut self, permit: u64, now: Duration) -> Result<(), Refusal> {
        let lease = self.leases.get_mut(&permit).ok_or(Refusal::Absent)?;
        lease.expires_at = now + lease.ttl;
        Ok(())
    }

    /// Releases a lease with its keys: `DELETE /grants/{id}`.
    pub fn release(&mut self, permit: u64) -> Result<(), Refusal> {
        if self.end_lease(permit) { Ok(()) } else { Err(Refusal::Absent) }
    }

    /// Returns the changes of keys with a prefix after the revision `since`, possibly none: `GET /follow`.
    pub fn watch(&self, prefix: &str, since: u64) -> Result<WatchResponse, Refusal> {
        if since < self.discarded_revision {
            return Err(Refusal::TooOld);
        }
        let later = self.log.iter().skip(self.log.partition_point(|e| e.version <= since));
        Ok(WatchResponse {
            revision: self.revision,
            log: later.filter(|e| e.path().starts_with(prefix)).cloned().collect(),
        })
    }
}

#[cfg(test)]
mod tests;
