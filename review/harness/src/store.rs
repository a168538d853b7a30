//! The state service: keys with versions, transactions, watches and leases.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::msgpack::Value;

/// Limits of one transaction and of one value.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    pub value_kb: f64,
    pub txn_ops: usize,
    pub write_rps: f64,
}

struct Item {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

/// A transaction with more changes than the rate allows gets 429; bursts of one second's worth are allowed.
struct Bucket {
    tokens: f64,
    at: Instant,
}

pub struct Store {
    pub revision: u64,
    items: BTreeMap<String, Item>,
    log: VecDeque<(u64, String, Option<Value>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    pub limits: Limits,
    writes: Bucket,
    /// During an outage every request gets 503 and no lease ends.
    pub down: bool,
    /// Transactions that were refused because they exceed a limit.
    pub over_limit: u64,
    pub largest_value: usize,
    pub largest_txn: usize,
}

const LOG_LENGTH: usize = 10_000;
const TXN_BYTES: usize = 64 * 1024;

fn error(text: &str) -> Value {
    Value::map([("error", Value::text(text))])
}

impl Store {
    pub fn new(limits: Limits) -> Self {
        Self {
            revision: 1,
            items: BTreeMap::new(),
            log: VecDeque::new(),
            leases: HashMap::new(),
            limits,
            writes: Bucket { tokens: limits.write_rps, at: Instant::now() },
            down: false,
            over_limit: 0,
            largest_value: 0,
            largest_txn: 0,
        }
    }

    fn record(&mut self, key: &str, value: Option<Value>) {
        self.log.push_back((self.revision, key.to_owned(), value));
        if self.log.len() > LOG_LENGTH {
            self.log.pop_front();
        }
    }

    pub fn get(&self, key: &str) -> Option<(&Value, u64)> {
        self.items.get(key).map(|item| (&item.value, item.version))
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.items
            .range(prefix.to_owned()..)
            .take_while(|(k, _)| k.starts_with(prefix))
            .map(|(k, _)| k.clone())
            .collect()
    }

    /// Ends the leases that were not renewed in time, with the keys attached to them.
    pub fn expire_leases(&mut self, now: Instant) {
        if self.down {
            for (ttl, until) in self.leases.values_mut() {
                *until = now + *ttl;
            }
            return;
        }
        let ended: Vec<u64> = self.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    pub fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == Some(id)).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.items.remove(&key);
            self.record(&key, None);
        }
    }

    pub fn grant(&mut self, ttl: Duration) -> u64 {
        self.revision += 1;
        self.leases.insert(self.revision, (ttl, Instant::now() + ttl));
        self.revision
    }

    pub fn renew(&mut self, id: u64) -> bool {
        let Some((ttl, until)) = self.leases.get_mut(&id) else { return false };
        *until = Instant::now() + *ttl;
        true
    }

    fn take_writes(&mut self, n: f64) -> bool {
        let (now, rate) = (Instant::now(), self.limits.write_rps);
        self.writes.tokens = (self.writes.tokens + (now - self.writes.at).as_secs_f64() * rate).min(rate);
        self.writes.at = now;
        let admitted = self.writes.tokens >= n;
        if admitted {
            self.writes.tokens -= n;
        }
        admitted
    }

    /// Handles a transaction.
    pub fn transact(&mut self, body: &Value) -> (u16, Value) {
        let (conditions, changes) = (body.get("if").items(), body.get("apply").items());
        let size = body.json().len();
        self.largest_txn = self.largest_txn.max(changes.len());
        let limits = self.limits;
        let value_sizes =
            changes.iter().filter(|c| c.get("write").as_str().is_some()).map(|c| c.get("value").json().len());
        let largest = value_sizes.max().unwrap_or(0);
        self.largest_value = self.largest_value.max(largest);
        let over = changes.len() > limits.txn_ops
            || conditions.len() > limits.txn_ops * 4
            || size > TXN_BYTES
            || largest as f64 > limits.value_kb * 1024.0;
        if over {
            self.over_limit += 1;
            return (400, error("over the limits"));
        }
        if !changes.is_empty() && !self.take_writes(changes.len() as f64) {
            return (429, error("too many changes"));
        }
        let lost = |c: &&Value| c.get("permit").as_u64().is_some_and(|id| !self.leases.contains_key(&id));
        if changes.iter().any(|c| lost(&c)) {
            return (400, error("no such lease"));
        }
        let failed: Vec<Value> = conditions
            .iter()
            .filter(|c| {
                let version = self.items.get(c.get("path").as_str().unwrap_or("")).map_or(0, |item| item.version);
                c.get("stamp").as_u64() != Some(version)
            })
            .map(|c| c.get("path").clone())
            .collect();
        if !failed.is_empty() {
            return (409, Value::map([("failed", Value::List(failed)), ("ledgerRev", Value::Uint(self.revision))]));
        }
        if !changes.is_empty() {
            self.revision += 1;
        }
        for change in changes {
            if let Some(key) = change.get("write").as_str() {
                let (value, lease) = (change.get("value").clone(), change.get("permit").as_u64());
                self.items.insert(key.to_owned(), Item { value: value.clone(), version: self.revision, lease });
                self.record(key, Some(value));
            } else if let Some(key) = change.get("drop").as_str()
                && self.items.remove(key).is_some()
            {
                self.record(key, None);
            }
        }
        (200, Value::map([("ledgerRev", Value::Uint(self.revision))]))
    }

    /// One page of a listing.
    pub fn list(&self, prefix: &str, since: &str, most: usize) -> Value {
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in self.items.range(prefix.to_owned()..).take_while(|(k, _)| k.starts_with(prefix)) {
            if key.as_str() <= since {
                continue;
            }
            let entry = Value::map([
                ("path", Value::text(key)),
                ("value", item.value.clone()),
                ("stamp", Value::Uint(item.version)),
            ]);
            bytes += entry.json().len();
            if items.len() >= most.min(1000) || bytes > 512 * 1024 {
                more = true;
                break;
            }
            items.push(entry);
        }
        Value::map([
            ("items", Value::List(items)),
            ("more", Value::Bool(more)),
            ("ledgerRev", Value::Uint(self.revision)),
        ])
    }

    /// The changes under a prefix after a revision; none if that is too old.
    pub fn changes_since(&self, prefix: &str, since: u64) -> Option<Vec<Value>> {
        if self.log.len() >= LOG_LENGTH && self.log.front().is_some_and(|(revision, ..)| *revision > since + 1) {
            return None;
        }
        let changes = self.log.iter().filter(|(revision, key, _)| *revision > since && key.starts_with(prefix));
        let entry = |(revision, key, value): &(u64, String, Option<Value>)| match value {
            Some(value) => {
                Value::map([("write", Value::text(key)), ("value", value.clone()), ("stamp", Value::Uint(*revision))])
            }
            None => Value::map([("drop", Value::text(key)), ("stamp", Value::Uint(*revision))]),
        };
        Some(changes.map(entry).collect())
    }
}
