//! The state service: versioned keys, transactions, leases, watches and limits.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request};
use crate::map;
use crate::value::Value;

/// A rate limit with bursts of some seconds' worth.
pub struct Bucket {
    rate: f64,
    most: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    pub fn new(rate: f64, seconds: f64) -> Self {
        Self { rate, most: rate * seconds, tokens: rate * seconds, at: Instant::now() }
    }
    pub fn take(&mut self, n: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + self.rate * (now - self.at).as_secs_f64()).min(self.most);
        self.at = now;
        let admitted = self.tokens >= n;
        if admitted {
            self.tokens -= n;
        }
        admitted
    }
}

struct Entry {
    value: Value,
    stamp: u64,
    permit: u64,
}

struct Change {
    key: String,
    /// None: dropped.
    value: Option<Value>,
    stamp: u64,
}

struct Lease {
    life: Duration,
    ends: Instant,
}

struct Inner {
    keys: BTreeMap<String, Entry>,
    rev: u64,
    log: VecDeque<Change>,
    forgotten: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    requests: Bucket,
    writes: Bucket,
}

pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
    txn_ops: usize,
    value_bytes: usize,
}

impl Inner {
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|(_, l)| l.ends <= now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self.keys.iter().filter(|(_, e)| e.permit == id).map(|(k, _)| k.clone()).collect();
        self.rev += u64::from(!keys.is_empty());
        for key in keys {
            self.keys.remove(&key);
            self.append(key, None);
        }
    }

    fn append(&mut self, key: String, value: Option<Value>) {
        self.log.push_back(Change { key, value, stamp: self.rev });
        if self.log.len() > 10_000 {
            self.forgotten = self.log.pop_front().map_or(0, |c| c.stamp);
        }
    }
}

fn error(text: &str) -> Value {
    map! {"error" => text}
}

impl State {
    pub fn new(rps: f64, write_rps: f64, value_kb: f64, txn_ops: usize) -> Self {
        let inner = Inner {
            keys: BTreeMap::new(),
            rev: 0,
            log: VecDeque::new(),
            forgotten: 0,
            leases: BTreeMap::new(),
            next_lease: 1,
            requests: Bucket::new(rps, 1.0),
            writes: Bucket::new(write_rps, 1.0),
        };
        Self { inner: Mutex::new(inner), changed: Condvar::new(), txn_ops, value_bytes: (value_kb * 1024.0) as usize }
    }

    pub fn handle(&self, r: &Request) -> Answer {
        let mut inner = self.inner.lock().unwrap();
        inner.expire();
        if !inner.requests.take(1.0) {
            return Some((429, Value::Null));
        }
        let answer = match (r.method.as_str(), r.path.as_str()) {
            ("GET", "/keys") => Self::page(&inner, r),
            ("GET", path) if path.starts_with("/keys/") => {
                let key = &path[6..];
                match inner.keys.get(key) {
                    Some(e) => {
                        let permit = if e.permit == 0 { Value::Null } else { e.permit.into() };
                        (200, map! {"path" => key, "value" => e.value.clone(), "stamp" => e.stamp, "permit" => permit})
                    }
                    None => (404, map! {"ledgerRev" => inner.rev}),
                }
            }
            ("POST", "/txn") => self.transact(&mut inner, &r.body),
            ("POST", "/grants") => {
                let life = r.body.get("lifeMs").int();
                if !(100..=600_000).contains(&life) {
                    return Some((400, error("lifeMs")));
                }
                let (id, life) = (inner.next_lease, Duration::from_millis(life));
                inner.next_lease += 1;
                inner.leases.insert(id, Lease { life, ends: Instant::now() + life });
                (200, map! {"permit" => id})
            }
            ("GET", "/follow") => {
                drop(inner);
                return self.follow(r);
            }
            (method, path) if path.starts_with("/grants/") => {
                let id: u64 = path[8..].trim_end_matches("/renew").parse().unwrap_or(0);
                if !inner.leases.contains_key(&id) {
                    (404, Value::Null)
                } else if method == "DELETE" {
                    inner.end_lease(id);
                    (200, Value::Null)
                } else {
                    if let Some(lease) = inner.leases.get_mut(&id) {
                        lease.ends = Instant::now() + lease.life;
                    }
                    (200, Value::Null)
                }
            }
            _ => (400, error("malformed")),
        };
        self.changed.notify_all();
        Some(answer)
    }

    fn page(inner: &Inner, r: &Request) -> (u16, Value) {
        let (prefix, since) = (r.param("prefix"), r.param("since"));
        let most = r.param("most").parse().unwrap_or(1000_usize).clamp(1, 1000);
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, e) in inner.keys.range(prefix.clone()..).take_while(|(k, _)| k.starts_with(&prefix)) {
            if !since.is_empty() && *key <= since {
                continue;
            }
            bytes += key.len() + e.value.json().len() + 40;
            if items.len() >= most || bytes > 512 * 1024 {
                more = true;
                break;
            }
            items.push(map! {"path" => key.as_str(), "value" => e.value.clone(), "stamp" => e.stamp});
        }
        (200, map! {"items" => items, "more" => more, "ledgerRev" => inner.rev})
    }

    fn transact(&self, inner: &mut Inner, body: &Value) -> (u16, Value) {
        let (conditions, changes) = (body.get("if").list(), body.get("apply").list());
        let too_large = changes.iter().any(|c| c.get("value").json().len() > self.value_bytes);
        if changes.len() > self.txn_ops
            || conditions.len() > 4 * self.txn_ops
            || too_large
            || body.json().len() > 65_536
        {
            return (400, error("too large"));
        }
        if !changes.is_empty() && !inner.writes.take(changes.len() as f64) {
            return (429, Value::Null);
        }
        let ended = |c: &Value| !c.get("permit").is_null() && !inner.leases.contains_key(&c.get("permit").int());
        if changes.iter().any(ended) {
            return (400, error("no such lease"));
        }
        let stamp = |key: &str| inner.keys.get(key).map_or(0, |e| e.stamp);
        let failed: Vec<&str> = conditions
            .iter()
            .filter(|c| stamp(c.get("path").text()) != c.get("stamp").int())
            .map(|c| c.get("path").text())
            .collect();
        if !failed.is_empty() {
            return (409, map! {"failed" => failed, "ledgerRev" => inner.rev});
        }
        inner.rev += u64::from(!changes.is_empty());
        for change in changes {
            let (write, rev) = (change.get("write").text(), inner.rev);
            if write.is_empty() {
                let key = change.get("drop").text().to_owned();
                if inner.keys.remove(&key).is_some() {
                    inner.append(key, None);
                }
            } else {
                let (value, permit) = (change.get("value").clone(), change.get("permit").int());
                inner.keys.insert(write.to_owned(), Entry { value: value.clone(), stamp: rev, permit });
                inner.append(write.to_owned(), Some(value));
            }
        }
        (200, map! {"ledgerRev" => inner.rev})
    }

    fn follow(&self, r: &Request) -> Answer {
        let (prefix, since) = (r.param("prefix"), r.param("since").parse().unwrap_or(0_u64));
        let until = Instant::now() + Duration::from_millis(r.param("waitMs").parse().unwrap_or(0_u64).min(60_000));
        let mut inner = self.inner.lock().unwrap();
        loop {
            inner.expire();
            if since < inner.forgotten {
                return Some((410, Value::Null));
            }
            let mut log = Vec::new();
            for c in inner.log.iter().filter(|c| c.stamp > since && c.key.starts_with(&prefix)) {
                log.push(match &c.value {
                    Some(value) => map! {"write" => c.key.as_str(), "value" => value.clone(), "stamp" => c.stamp},
                    None => map! {"drop" => c.key.as_str(), "stamp" => c.stamp},
                });
            }
            let now = Instant::now();
            if !log.is_empty() || now >= until {
                return Some((200, map! {"ledgerRev" => inner.rev, "log" => log}));
            }
            inner = self.changed.wait_timeout(inner, (until - now).min(Duration::from_millis(50))).unwrap().0;
        }
    }
}
