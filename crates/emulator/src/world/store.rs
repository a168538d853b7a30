//! The state service: keys with versions, transactions, leases, watches and limits, as its protocol
//! has them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::time::Duration;

use hollylanding_protocol::state::{
    Change, CompareAndSwap, Condition, FailedConditions, KeyValue, KeyValuePage, WatchEvent, WatchResponse,
};
use serde_json::Value;

mod types;

pub use self::types::{Limits, Refusal};
use super::bucket::Bucket;

/// Number of changes kept for watches; an older watch has to list again.
pub const MAX_LOG_LENGTH: usize = 10_000;
/// The most items on one page of a listing.
pub const MAX_PAGE_ITEMS: usize = 1000;
/// The most bytes on one page of a listing.
pub const MAX_PAGE_BYTES: usize = 512 * 1024;
/// The most bytes of a transaction.
pub const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// The most bytes of a key.
pub const MAX_KEY_BYTES: usize = 200;
/// Conditions of a transaction for each change that it may have.
const CONDITIONS: usize = 4;
/// A lease's life, in milliseconds.
const LIFE_MS: std::ops::RangeInclusive<u64> = 100..=600_000;

#[derive(Debug)]
struct StoredValue {
    value: Value,
    version: u64,
    permit: Option<u64>,
}

#[derive(Debug)]
struct Lease {
    life: Duration,
    ends: Duration,
    keys: BTreeSet<String>,
}

/// The state service's whole state. Times are since the world began.
#[derive(Debug)]
pub struct Store {
    limits: Limits,
    requests: Bucket,
    changes: Bucket,
    keys: BTreeMap<String, StoredValue>,
    /// The revision of the last change.
    revision: u64,
    log: VecDeque<WatchEvent>,
    /// The last revision of which a change is no longer kept.
    forgotten: u64,
    leases: BTreeMap<u64, Lease>,
    next_permit: u64,
    out: bool,
    refused: BTreeSet<String>,
}

impl Default for Store {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

/// As the protocol counts sizes.
fn json_size(value: &Value) -> usize {
    value.to_string().len()
}

fn check_key(key: &str) -> Result<(), Refusal> {
    let good = (1..=MAX_KEY_BYTES).contains(&key.len()) && !key.contains(' ');
    if good { Ok(()) } else { Err(Refusal::Malformed("a key of 1 to 200 bytes without spaces")) }
}

impl Store {
    /// An empty store.
    pub fn new(limits: Limits) -> Self {
        Self {
            requests: Bucket::new(limits.requests_per_second, 1.0),
            changes: Bucket::new(limits.changes_per_second, 1.0),
            limits,
            keys: BTreeMap::new(),
            revision: 0,
            log: VecDeque::new(),
            forgotten: 0,
            leases: BTreeMap::new(),
            next_permit: 1,
            out: false,
            refused: BTreeSet::new(),
        }
    }

    /// An outage begins or ends. After one every lease has its full time again.
    pub fn set_outage(&mut self, out: bool, now: Duration) {
        if self.out && !out {
            for lease in self.leases.values_mut() {
                lease.ends = now + lease.life;
            }
        }
        self.out = out;
    }

    /// One node alone is refused, or served again; its leases run out meanwhile.
    pub fn set_refused(&mut self, node: &str, refused: bool) {
        if refused {
            self.refused.insert(node.to_owned());
        } else {
            self.refused.remove(node);
        }
    }

    /// Whether a node's request is served at all; counts it against the limit if so. What time
    /// brings about is done first.
    pub fn admit(&mut self, node: &str, now: Duration) -> Result<(), Refusal> {
        self.expire_leases(now);
        if self.out || self.refused.contains(node) {
            return Err(Refusal::Unavailable);
        }
        if self.requests.take(1.0, now) { Ok(()) } else { Err(Refusal::TooMany) }
    }

    /// Whether a node is served at all at the moment.
    pub fn serves(&self, node: &str) -> bool {
        !self.out && !self.refused.contains(node)
    }

    /// Ends the leases that have expired. None expires during an outage.
    pub fn expire_leases(&mut self, now: Duration) {
        if self.out {
            return;
        }
        let over: Vec<u64> = self.leases.iter().filter(|(_, l)| l.ends <= now).map(|(permit, _)| *permit).collect();
        for permit in over {
            self.end_lease(permit);
        }
    }

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

    fn append(&mut self, event: WatchEvent) {
        self.log.push_back(event);
        if self.log.len() > MAX_LOG_LENGTH
            && let Some(oldest) = self.log.pop_front()
        {
            self.forgotten = oldest.version;
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
        self.keys.get(key).map_or(0, |kept| kept.version)
    }

    /// The value of a key, if it exists.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|kept| &kept.value)
    }

    /// Keys under a prefix with value and version, in order.
    pub fn entries_with_prefix(&self, prefix: &str) -> impl Iterator<Item = (&str, &Value, u64)> {
        let from = Bound::Included(prefix.to_owned());
        let later = self.keys.range::<String, _>((from, Bound::Unbounded));
        let prefix = prefix.to_owned();
        later
            .take_while(move |(key, _)| key.starts_with(&prefix))
            .map(|(key, kept)| (key.as_str(), &kept.value, kept.version))
    }

    /// Breaks the service's guarantees: the newest keys under a prefix vanish, and no watch reports it.
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

    /// Every lease ends at once.
    pub fn drop_leases(&mut self) {
        for permit in self.leases.keys().copied().collect::<Vec<_>>() {
            self.end_lease(permit);
        }
    }

    /// Discards the log of changes: every watch has to list again.
    pub fn discard_log(&mut self) {
        self.log.clear();
        self.forgotten = self.revision;
    }

    /// `GET /keys/{key}`
    pub fn get(&self, key: &str) -> Result<KeyValue, Refusal> {
        check_key(key)?;
        let kept = self.keys.get(key).ok_or(Refusal::Absent)?;
        Ok(KeyValue { path: key.to_owned(), value: kept.value.clone(), version: kept.version })
    }

    /// `GET /keys?prefix=&since=&most=`
    pub fn page(&self, prefix: &str, since: &str, most: usize) -> KeyValuePage {
        let after = Bound::Excluded(since.max(prefix).to_owned());
        // A key that is the prefix itself comes first of all.
        let first = self.keys.get_key_value(prefix).filter(|_| since < prefix);
        let later = self.keys.range::<String, _>((after, Bound::Unbounded));
        let mut all = first.into_iter().chain(later.take_while(|(key, _)| key.starts_with(prefix))).peekable();
        let (mut items, mut bytes) = (Vec::new(), 0);
        while let Some((key, kept)) = all.peek() {
            bytes += key.len() + json_size(&kept.value) + 40;
            if items.len() >= most.clamp(1, MAX_PAGE_ITEMS) || (bytes > MAX_PAGE_BYTES && !items.is_empty()) {
                break;
            }
            items.push(KeyValue { path: (*key).clone(), value: kept.value.clone(), version: kept.version });
            all.next();
        }
        KeyValuePage { items, more: all.peek().is_some(), revision: self.revision }
    }

    /// Which of these do not hold.
    pub fn failed_conditions(&self, conditions: &[Condition]) -> Vec<String> {
        conditions.iter().filter(|c| self.version(&c.path) != c.version).map(|c| c.path.clone()).collect()
    }

    /// `POST /compare_and_swap`: the revision it was applied at, or the keys that had other versions.
    pub fn compare_and_swap(
        &mut self,
        compare_and_swap: &CompareAndSwap,
        now: Duration,
    ) -> Result<Result<u64, FailedConditions>, Refusal> {
        let n = compare_and_swap.apply.len();
        if n > self.limits.txn_ops || compare_and_swap.conditions.len() > self.limits.txn_ops * CONDITIONS {
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
        // Counted whether or not its conditions hold.
        if n > 0 && !self.changes.take(n as f64, now) {
            return Err(Refusal::TooMany);
        }
        // Whatever the conditions.
        let dead = |c: &Change| matches!(c, Change::Write { permit: Some(p), .. } if !self.leases.contains_key(p));
        if compare_and_swap.apply.iter().any(dead) {
            return Err(Refusal::LeaseExpired);
        }
        Ok(self.apply_if(&compare_and_swap.conditions, &compare_and_swap.apply))
    }

    /// The bare act, without limits: what the service does with a request that it has admitted.
    pub fn apply_if(&mut self, conditions: &[Condition], changes: &[Change]) -> Result<u64, FailedConditions> {
        let failed = self.failed_conditions(conditions);
        if failed.is_empty() {
            Ok(self.apply(changes))
        } else {
            Err(FailedConditions { failed, revision: self.revision })
        }
    }

    /// All at one revision.
    fn apply(&mut self, changes: &[Change]) -> u64 {
        self.revision += u64::from(!changes.is_empty());
        let version = self.revision;
        for change in changes {
            let (Change::Write { write: key, .. } | Change::Drop { drop: key }) = change;
            // A write that names no lease detaches its key, and a dropped key hangs on none.
            if let Some(permit) = self.keys.get(key).and_then(|kept| kept.permit)
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

    /// `POST /grants`
    pub fn grant(&mut self, life_ms: u64, now: Duration) -> Result<u64, Refusal> {
        if !LIFE_MS.contains(&life_ms) {
            return Err(Refusal::Malformed("a life of 100 to 600,000 ms"));
        }
        let permit = self.next_permit;
        self.next_permit += 1;
        let life = Duration::from_millis(life_ms);
        self.leases.insert(permit, Lease { life, ends: now + life, keys: BTreeSet::new() });
        Ok(permit)
    }

    /// `POST /grants/{id}/renew`
    pub fn renew(&mut self, permit: u64, now: Duration) -> Result<(), Refusal> {
        let lease = self.leases.get_mut(&permit).ok_or(Refusal::Absent)?;
        lease.ends = now + lease.life;
        Ok(())
    }

    /// `DELETE /grants/{id}`
    pub fn release(&mut self, permit: u64) -> Result<(), Refusal> {
        if self.end_lease(permit) { Ok(()) } else { Err(Refusal::Absent) }
    }

    /// `GET /follow`: what has changed since, which may be nothing yet.
    pub fn watch(&self, prefix: &str, since: u64) -> Result<WatchResponse, Refusal> {
        if since < self.forgotten {
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
