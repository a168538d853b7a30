//! The state service behind its listeners: requests to the pure store, and the faults it can be
//! commanded to have.

use std::time::{Duration, Instant};

use hollylanding_protocol::state::{Change, CompareAndSwap};
use serde_json::{Value, json};

use crate::world::store::{Limits, Refusal, Store};

/// Answers to one controller that are held back on their way: they say what stood when they were made.
#[derive(Debug, Clone)]
pub struct HeldBack {
    /// The controller's number, as its listener has it.
    pub controller: String,
    /// The path that is asked, in full.
    pub path: &'static str,
    /// So many answers still pass at once.
    pub passing: u32,
    /// For how long at the most.
    pub by: Duration,
}

/// Faults of the state service that are injected on command.
#[derive(Debug, Default)]
pub struct Faults {
    /// All transactions are refused as unavailable.
    pub refuse_writes: bool,
    /// Transactions are answered with a value of the wrong form, and not applied.
    pub garble_writes: bool,
    /// Number of writes that are still served; all later ones are refused.
    pub writes_left: Option<u64>,
    /// Number of writes still to be acknowledged without being applied.
    pub lose: u32,
    /// Number of writes that were acknowledged without being applied.
    pub lost: u32,
    /// Number of writes still to be applied without an answer.
    pub unanswered: u32,
    /// Number of writes still to be applied with this delay and without an answer.
    pub late: (u32, Duration),
    /// If set, only writes of keys with this prefix are `unanswered` or `late`.
    pub only: Option<&'static str>,
    /// Number of late writes whose delay has passed, whether they were applied or refused then.
    pub late_over: u32,
    /// Watches that wait receive nothing before their time is over; those that do not wait do.
    pub quiet_watches: bool,
    /// Delay of every answer.
    pub slow: Duration,
    /// Until then, watches receive no changes.
    pub stalled_until: Option<Instant>,
    /// An answer goes on as soon as what holds it back is taken from here.
    pub held_back: Vec<HeldBack>,
}

impl Faults {
    /// An answer is on its way: for how long at the most it is held back, if it is.
    pub fn hold_back(&mut self, controller: &str, path: &str) -> Option<Duration> {
        let held = self.held_back.iter_mut().find(|held| held.controller == controller && held.path == path)?;
        if held.passing > 0 {
            held.passing -= 1;
            return None;
        }
        Some(held.by)
    }

    /// Whether this controller's answers of this path are still held back.
    pub fn holds_back(&self, controller: &str, path: &str) -> bool {
        self.held_back.iter().any(|held| held.controller == controller && held.path == path)
    }
}

/// The result of a transaction.
pub enum Outcome {
    /// Answered at once.
    Answer(Result<Value, Refusal>),
    /// Never answered, though it may have been applied.
    Silence,
    /// Never answered, and applied only after this delay.
    Later(Duration),
}

/// The emulated state service with its injected faults and its counters.
pub struct State {
    /// The keys, leases and limits.
    pub store: Store,
    /// The faults in effect.
    pub faults: Faults,
    begun: Instant,
    /// The most keys on one page, whatever the request asks for.
    pub page_most: usize,
    /// Number of requests received.
    pub requests: u64,
    /// Number of requests refused for being beyond the limits.
    pub refused: u64,
    /// Number of keys written or deleted by requests.
    pub changes: u64,
    /// Size of the largest answer, in bytes.
    pub largest: usize,
}

impl State {
    /// An empty state service.
    pub fn new(limits: Limits, page_most: usize) -> Self {
        Self {
            store: Store::new(limits),
            faults: Faults::default(),
            begun: Instant::now(),
            page_most,
            requests: 0,
            refused: 0,
            changes: 0,
            largest: 0,
        }
    }

    /// Starts again with an empty store under these limits.
    pub fn limit(&mut self, limits: Limits) {
        self.store = Store::new(limits);
    }

    /// Writes a key without a request; watches report it.
    pub fn put(&mut self, key: String, value: &Value) {
        let _ = self.store.apply_if(&[], &[Change::write(key, value.clone())]);
    }

    /// Number of keys under a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.store.entries_with_prefix(prefix).count()
    }

    /// Time since the state service was started.
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Counts a request, and says whether it is served.
    pub fn admit(&mut self, node: &str) -> Result<(), Refusal> {
        let now = self.now();
        self.requests += 1;
        let admitted = self.store.admit(node, now);
        self.refused += u64::from(admitted == Err(Refusal::TooMany));
        admitted
    }

    /// A transaction, whatever is commanded to go wrong with it.
    pub fn compare_and_swap(&mut self, body: &Value) -> Outcome {
        let Ok(compare_and_swap) = serde_json::from_value::<CompareAndSwap>(body.clone()) else {
            return Outcome::Answer(Err(Refusal::Malformed("no transaction")));
        };
        let writes = !compare_and_swap.apply.is_empty();
        let only = self.faults.only;
        let among = |c: &Change| {
            only.is_none_or(|prefix| matches!(c, Change::Write { write, .. } if write.starts_with(prefix)))
        };
        let meant = compare_and_swap.apply.iter().any(among);
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
                if faults.lose > 0 {
                    (faults.lose, faults.lost) = (faults.lose - 1, faults.lost + 1);
                    return Outcome::Answer(Ok(json!({"ledgerRev": self.store.revision() + 1})));
                }
                if meant && faults.late.0 > 0 {
                    faults.late.0 -= 1;
                    return Outcome::Later(faults.late.1);
                }
            }
        }
        let silent = meant && self.faults.unanswered > 0;
        let answer = self.apply(&compare_and_swap);
        if silent && answer.as_ref().is_ok_and(|a| a.get("failed").is_none()) {
            self.faults.unanswered -= 1;
            return Outcome::Silence;
        }
        Outcome::Answer(answer)
    }

    /// A transaction that is carried out late: whatever it says now.
    pub fn apply_late(&mut self, body: &Value) {
        if let Ok(compare_and_swap) = serde_json::from_value::<CompareAndSwap>(body.clone()) {
            let _ = self.apply(&compare_and_swap);
        }
        self.faults.late_over += 1;
    }

    fn apply(&mut self, compare_and_swap: &CompareAndSwap) -> Result<Value, Refusal> {
        let now = self.now();
        self.store.compare_and_swap(compare_and_swap, now).map(|done| match done {
            Ok(revision) => json!({"ledgerRev": revision}),
            Err(refused) => json!({"failed": refused.failed, "ledgerRev": refused.revision}),
        })
    }

    /// One request but for watches and transactions. `query` gives its parameters.
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
                let most = query("most").parse().unwrap_or(usize::MAX).min(self.page_most);
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

    /// What a watch has to tell, or nothing yet.
    pub fn follow(&mut self, prefix: &str, since: u64) -> Option<Result<Value, Refusal>> {
        let now = self.now();
        self.store.expire_leases(now);
        if self.faults.stalled_until.is_some_and(|until| Instant::now() < until) {
            return None;
        }
        match self.store.watch(prefix, since) {
            Ok(told) if told.log.is_empty() => None,
            Ok(told) => Some(serde_json::to_value(told).map_err(|_| Refusal::Malformed("not to be told"))),
            Err(refusal) => Some(Err(refusal)),
        }
    }

    /// The answer of a watch that heartbeats no change.
    pub fn nothing_new(&self) -> Value {
        json!({"ledgerRev": self.store.revision(), "log": []})
    }
}
