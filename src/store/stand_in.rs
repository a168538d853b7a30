//! The state service as the interleavings need it: keys, stamps, transactions, pages and a log.

use std::collections::BTreeMap;
use std::ops::Bound;

use serde_json::Value;

use super::client::{Event, Followed, Item, Page};
use super::{Change, Condition};

#[derive(Default)]
pub struct Store {
    pub keys: BTreeMap<String, (Value, u64)>,
    pub revision: u64,
    log: Vec<Event>,
}

impl Store {
    pub fn has(&self, key: &str) -> bool {
        self.keys.contains_key(key)
    }

    pub fn stamp(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |(_, stamp)| *stamp)
    }

    pub fn compare(&self, conditions: &[Condition]) -> Vec<String> {
        conditions.iter().filter(|c| self.stamp(&c.path) != c.stamp).map(|c| c.path.clone()).collect()
    }

    pub fn txn(&mut self, conditions: &[Condition], changes: &[Change]) -> Result<u64, Vec<String>> {
        let failed = self.compare(conditions);
        if !failed.is_empty() {
            return Err(failed);
        }
        self.revision += 1;
        for change in changes {
            let (write, drop, value) = match change {
                Change::Write { write, value, .. } => {
                    self.keys.insert(write.clone(), (value.clone(), self.revision));
                    (Some(write.clone()), None, value.clone())
                }
                Change::Drop { drop } => {
                    self.keys.remove(drop);
                    (None, Some(drop.clone()), Value::Null)
                }
            };
            self.log.push(Event { write, drop, value, stamp: self.revision });
        }
        Ok(self.revision)
    }

    pub fn follow(&self, prefix: &str, since: u64) -> Followed {
        let path = |e: &Event| e.write.clone().or_else(|| e.drop.clone()).unwrap_or_default();
        let log = self.log.iter().filter(|e| e.stamp > since && path(e).starts_with(prefix)).cloned().collect();
        Followed { revision: self.revision, log }
    }

    pub fn page(&self, prefix: &str, since: &str, most: usize) -> Page {
        let after = Bound::Excluded(since.max(prefix).to_owned());
        let mut later = self.keys.range((after, Bound::Unbounded)).take_while(|(k, _)| k.starts_with(prefix));
        let item = |(path, (value, stamp)): (&String, &(Value, u64))| Item {
            path: path.clone(),
            value: value.clone(),
            stamp: *stamp,
        };
        let items = later.by_ref().take(most).map(item).collect();
        Page { items, more: later.next().is_some(), revision: self.revision }
    }
}
