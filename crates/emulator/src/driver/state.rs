//! The state service behind its listeners: requests to the store, and injected faults.

use std::time::{Duration, Instant};

use hollylanding_protocol::state::{Change, CompareAndSwap};
use serde_json::{Value, json};

use crate::world::store::{Limits, Refusal, Store};

/// Delayed responses to one controller. A response has the content that was current before the delay.
#[derive(Debug, Clone)]
pub struct HeldResponses {
    /// The controller's number, as its listener knows it.
    pub controller: String,
    /// The full path of the requests.
    pub path: &'static str,
    /// Number of responses that are still sent without delay.
    pub undelayed: u32,
    /// Maximum delay.
    pub max_delay: Duration,
}

/// Injected faults of the state service.
#[derive(Debug, Default)]
pub struct Faults {
    /// All transactions are refused as unavailable.
    pub refuse_writes: bool,
    /// Transactions are answered with a malformed value and not applied.
    pub garble_writes: bool,
    /// Number of writes that are still served; all later ones are refused.
    pub writes_left: Option<u64>,
    /// Number of writes still to be acknowledged without being applied.
    pub writes_to_lose: u32,
    /// Number of writes that were acknowledged without being applied.
    pub lost_writes: u32,
    /// Number of writes still to be applied without an answer.
    pub unanswered_writes: u32,
    /// Number of writes still to be applied after a delay and without an answer, and the delay.
    pub late_writes: (u32, Duration),
    /// If set, only writes of keys with this prefix are lost, unanswered or late.
    pub key_prefix: Option<&'static str>,
    /// Number of late writes whose delay has passed, whether they were then applied or refused.
    pub finished_late_writes: u32,
    /// Watches that wait receive nothing before their wait is over; watches without a wait receive changes.
    pub quiet_watches: bool,
    /// Delay of every response.
    pub response_delay: Duration,
    /// Until this time, watches receive no changes.
    pub watches_stalled_until: Option<Instant>,
    /// Responses that are delayed. Removing an entry also releases the responses that it delays already.
    pub held_responses: Vec<HeldResponses>,
}

impl Faults {
    /// The maximum delay of a response that is about to be sent; none if it is not delayed.
    pub fn delay_response(&mut self, controller: &str, path: &str) -> Option<Duration> {
        let held = self.held_responses.iter_mut().find(|held| held.controller == controller && held.path == path)?;
        if held.undelayed > 0 {
            held.undelayed -= 1;
            return None;
        }
        Some(held.max_delay)
    }

    /// Whether the responses to this controller's requests of this path are still delayed.
    pub fn is_delayed(&self, controller: &str, path: &str) -> bool {
        self.held_responses.iter().any(|held| held.controller == controller && held.path == path)
    }
}

/// The result of a transaction.
pub enum Outcome {
    /// Answered at once.
    Answer(Result<Value, Refusal>),
    /// Never answered, though it may have been applied.
    Silence,
    /// Never answered, and applied after this delay.
    Later(Duration),
}

/// The emulated state service with its injected faults and its counters.
pub struct State {
    /// The keys, leases and limits.
    pub store: Store,
    /// The faults in effect.
    pub faults: Faults,
    started: Instant,
    /// Maximum number of keys on one page, whatever the request asks for.
    pub max_page_items: usize,
    /// Number of requests received.
    pub requests: u64,
    /// Number of requests that were refused because of the rate limit.
    pub refused: u64,
    /// Number of keys written or deleted by requests.
    pub changes: u64,
    /// Size of the largest response, in bytes.
    pub largest: usize,
    /// The transactions that were refused as invalid, in the order of their arrival.
    pub invalid: Vec<InvalidTransaction>,
}

/// A transaction that was refused as invalid: malformed, or larger than the limits allow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidTransaction {
    /// Number of conditions.
    pub conditions: usize,
    /// The keys that it was to change.
    pub changed_keys: Vec<String>,
}

impl InvalidTransaction {
    fn of(transaction: &CompareAndSwap) -> Self {
        let changed = transaction.apply.iter().map(|change| match change {
            Change::Write { write: key, .. } | Change::Drop { drop: key } => key.clone(),
        });
        Self { conditions: transaction.conditions.len(), changed_keys: changed.collect() }
    }
}

impl State {
    /// Creates a state service with an empty store and no faults.
    pub fn new(limits: Limits, max_page_items: usize) -> Self {
        Self {
            store: Store::new(limits),
            faults: Faults::default(),
            started: Instant::now(),
            max_page_items,
            requests: 0,
            refused: 0,
            changes: 0,
            largest: 0,
            invalid: Vec::new(),
        }
    }

    /// Replaces the store by an empty one with these limits.
    pub fn limit(&mut self, limits: Limits) {
        self.store = Store::new(limits);
    }

    /// Writes a key without a request. Watches report the change.
    pub fn put(&mut self, key: String, value: &Value) {
        let _ = self.store.apply_if(&[], &[Change::write(key, value.clone())]);
    }

    /// Number of keys under a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.store.entries_with_prefix(prefix).count()
    }

    /// Time since the state service was started.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Counts a request, and admits or refuses it.
    pub fn admit(&mut self, node: &str) -> Result<(), Refusal> {
        let now = self.now();
        self.requests += 1;
        let admitted = self.store.admit(node, now);
        self.refused += u64::from(admitted == Err(Refusal::TooMany));
        admitted
    }

    /// Executes a transaction, subject to the injected faults.
    pub fn compare_and_swap(&mut self, body: &Value) -> Outcome {
        let Ok(compare_and_swap) = serde_json::from_value::<CompareAndSwap>(body.clone()) else {
            return Outcome::Answer(Err(Refusal::Malformed("no transaction")));
        };
        let writes = !compare_and_swap.apply.is_empty();
        let key_prefix = self.faults.key_prefix;
        let is_selected = |c: &Change| {
            key_prefix.is_none_or(|prefix| matches!(c, Change::Write { write, .. } if write.starts_with(prefix)))
        };
        let selected = compare_and_swap.apply.iter().any(is_selected);
        let faults = &mut self.faults;
        if faults.garble_writes {
            return Outcome::Answer(Ok(json!("what is this")));
        }
        if faults.refuse_writes || (writes && faults.writes_left == Some(0)) {
            return Outcome::Answer(Err(Refusal::Unavailable));
        }
        if writes {
            if let Some(left) = faults.writes_left.as_mut() {
                *left -= 1;
            }
            self.changes += compare_and_swap.apply.len() as u64;
            if self.store.failed_conditions(&compare_and_swap.conditions).is_empty() {
                if selected && faults.writes_to_lose > 0 {
                    (faults.writes_to_lose, faults.lost_writes) = (faults.writes_to_lose - 1, faults.lost_writes + 1);
                    return Outcome::Answer(Ok(json!({"ledgerRev": self.store.revision() + 1})));
                }
                if selected && faults.late_writes.0 > 0 {
                    faults.late_writes.0 -= 1;
                    return Outcome::Later(faults.late_writes.1);
                }
            }
        }
        let unanswered = selected && self.faults.unanswered_writes > 0;
        let answer = self.apply(&compare_and_swap);
        if unanswered && answer.as_ref().is_ok_and(|a| a.get("failed").is_none()) {
            self.faults.unanswered_writes -= 1;
            return Outcome::Silence;
        }
        Outcome::Answer(answer)
    }

    /// Executes a late transaction against the state of now; its conditions may no longer hold.
    pub fn apply_late(&mut self, body: &Value) {
        if let Ok(compare_and_swap) = serde_json::from_value::<CompareAndSwap>(body.clone()) {
            let _ = self.apply(&compare_and_swap);
        }
        self.faults.finished_late_writes += 1;
    }

    /// Executes a transaction without faults.
    fn apply(&mut self, compare_and_swap: &CompareAndSwap) -> Result<Value, Refusal> {
        let now = self.now();
        let outcome = self.store.compare_and_swap(compare_and_swap, now);
        if matches!(outcome, Err(Refusal::Malformed(_))) {
            self.invalid.push(InvalidTransaction::of(compare_and_swap));
        }
        outcome.map(|done| match done {
            Ok(revision) => json!({"ledgerRev": revision}),
            Err(refused) => json!({"failed": refused.failed, "ledgerRev": refused.revision}),
        })
    }

    /// Answers a request other than a watch or a transaction. `query` returns a parameter of the request by name.
    pub fn answer(
        &mut self,
        path: &str,
        method: &str,
        query: impl Fn(&str) -> String,
        body: &Value,
    ) -> Result<Value, Refusal> {
        let now = self.now();
        let malformed = |_| Refusal::Malformed("not to be told");
        match path {
            "/grants" => Ok(json!({"permit": self.store.grant(body["lifeMs"].as_u64().unwrap_or(0), now)?})),
            "/keys" => {
                let most = query("most").parse().unwrap_or(usize::MAX).min(self.max_page_items);
                let page = self.store.page(&query("prefix"), &query("since"), most);
                serde_json::to_value(page).map_err(malformed)
            }
            grant if grant.starts_with("/grants/") => {
                let permit = grant.split('/').nth(2).and_then(|id| id.parse().ok()).unwrap_or(0);
                if method == "DELETE" {
                    self.store.release(permit)?
                } else {
                    self.store.renew(permit, now)?
                }
                Ok(json!({}))
            }
            key => serde_json::to_value(self.store.get(key.trim_start_matches("/keys/"))?).map_err(malformed),
        }
    }

    /// The response to a watch; none while there are no changes to report or watches are stalled.
    pub fn follow(&mut self, prefix: &str, since: u64) -> Option<Result<Value, Refusal>> {
        let now = self.now();
        self.store.expire_leases(now);
        if self.faults.watches_stalled_until.is_some_and(|until| Instant::now() < until) {
            return None;
        }
        match self.store.watch(prefix, since) {
            Ok(changes) if changes.log.is_empty() => None,
            Ok(changes) => Some(serde_json::to_value(changes).map_err(|_| Refusal::Malformed("not to be told"))),
            Err(refusal) => Some(Err(refusal)),
        }
    }

    /// The response to a watch that reports no change.
    pub fn empty_watch_response(&self) -> Value {
        json!({"ledgerRev": self.store.revision(), "log": []})
    }
}
