//! Operators' writes through the state service: read, compute, write on condition of the versions read, and start
//! again if somebody else has written meanwhile.
//!
//! Each write also changes one key common to all operators. So writes are serialized, the bounds on how much is
//! declared hold exactly, and a late copy of a write changes nothing.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{Value, json};

use super::records::{
    DeclarationPart, MAX_SPECS_BYTES, OPERATORS, SPECS, STATUSES, is_valid_name, parse, spec_key, status_key,
};
use super::table::{Declaration, KindOperations, entry};
use super::{DeclarationKind, KnownNames, SpecError};
use crate::jobs::record::time_of_day_ms;
use crate::protocol::Http;
use crate::settings::Settings;
use crate::store::budget::{Budget, RequestPriority};
use crate::store::client::KeyValue;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StateClient, StoreError};
use crate::sync::jitter;

/// The part of the state service's limits that controllers leave over.
const PART: f64 = 0.05;
/// Requests that may go at once.
const BURST: f64 = 20.0;
const RETRY: Duration = Duration::from_millis(300);
/// A controller's answer to a cancellation is waited for like this.
const CALL_WITHIN: Duration = Duration::from_secs(5);
/// Room in a transaction's 64 KiB for specs; the rest is conditions and framing.
const BYTES: usize = 40 * 1024;
const FRAME: usize = 200;
/// Problems told of one list.
const MOST_TOLD: usize = 20;

/// Why a verb was not carried out. What was refused has left nothing behind.
#[derive(Debug, PartialEq, Eq)]
pub enum Failed {
    /// The spec is refused, for these reasons.
    Refused(Vec<String>),
    /// No answer that says so, for as long as was waited.
    NoAnswer(String),
}

impl From<SpecError> for Failed {
    fn from(problem: SpecError) -> Self {
        Self::Refused(vec![problem.to_string()])
    }
}

fn refused<T>(line: impl Into<String>) -> Result<T, Failed> {
    Err(Failed::Refused(vec![line.into()]))
}

/// Specs by name, or none where one is to be dropped.
type SpecWrites = BTreeMap<String, Option<Value>>;

/// What stands of one kind, or of all.
#[derive(Debug, Default)]
pub(super) struct StoredDeclarations {
    /// The version of the key common to all operators.
    pub operators: u64,
    pub specs: BTreeMap<(DeclarationKind, String), (Value, u64)>,
    pub statuses: BTreeMap<(DeclarationKind, String), Value>,
}

impl StoredDeclarations {
    pub fn take(&mut self, item: KeyValue) {
        match parse(&item.path).map(|(part, kind, name)| (part, (kind, name.to_owned()))) {
            Some((DeclarationPart::Spec, of)) => drop(self.specs.insert(of, (item.value, item.version))),
            Some((DeclarationPart::Status, of)) => drop(self.statuses.insert(of, item.value)),
            None => {}
        }
    }

    fn declaration<'a>(&'a self, kind: DeclarationKind, name: &'a str) -> Result<Declaration<'a>, Failed> {
        let of = (kind, name.to_owned());
        match self.specs.get(&of) {
            Some((spec, _)) => Ok(Declaration { name, spec, status: self.statuses.get(&of) }),
            None => refused(format!("name: no {} {name:?} is declared", kind.word())),
        }
    }
}

/// One declared thing, as operators see it.
#[derive(Debug, serde::Serialize)]
pub struct DeclarationReport {
    /// The kind of what is declared.
    pub kind: DeclarationKind,
    /// Its name.
    pub name: String,
    /// The stored spec.
    pub spec: Option<Value>,
    /// The stored status.
    pub status: Option<Value>,
    /// The same in words.
    pub lines: Vec<String>,
}

/// The operators' side: reads and writes specs directly in the store.
pub struct Operator {
    kinds: &'static [KindOperations],
    settings: Settings,
    store: StateClient,
    http: Http,
    /// How long it goes on without an answer.
    patience: Duration,
}

impl Operator {
    /// Gives up on the store after `patience`.
    pub fn new(settings: Settings, kinds: &'static [KindOperations], patience: Duration) -> Self {
        let (now, limits, http) = (Instant::now(), &settings.params.state, Http::default());
        let requests = Budget::new(limits.rps * PART, BURST, now);
        let writes = Budget::new(limits.write_rps * PART, limits.txn_ops as f64, now);
        let store =
            StateClient::new(http.clone(), settings.endpoints.state.clone(), requests, writes, Default::default());
        Self { kinds, settings, store, http, patience }
    }

    fn entry(&self, kind: DeclarationKind) -> Result<&'static KindOperations, Failed> {
        match entry(self.kinds, kind) {
            Some(entry) => Ok(entry),
            None => refused(format!("kind: this build carries out no {}", kind.word())),
        }
    }

    /// Reads one object or a list of them, each with its name, and checks all without asking anybody.
    pub fn read_list(&self, kind: DeclarationKind, text: &str) -> Result<BTreeMap<String, Value>, Failed> {
        let entry = self.entry(kind)?;
        let read: Value = serde_json::from_str(text).or_else(|error| refused(error.to_string()))?;
        let list = match read {
            Value::Array(list) => list,
            one => vec![one],
        };
        if list.len() > kind.most() {
            return refused(too_many(kind, list.len()));
        }
        let names = KnownNames::of(&self.settings);
        let (mut specs, mut problems) = (BTreeMap::new(), Vec::new());
        for (n, mut spec) in list.into_iter().enumerate() {
            let name = spec.as_object_mut().and_then(|fields| fields.remove("name"));
            let at = name.as_ref().and_then(Value::as_str).map_or(format!("[{n}]"), str::to_owned);
            match name {
                Some(Value::String(name)) if is_valid_name(&name) => match (entry.check)(&spec, &names) {
                    Err(problem) => problems.push(format!("{at}: {problem}")),
                    Ok(()) if specs.contains_key(&name) => problems.push(format!("{at}: name: given twice")),
                    Ok(()) => drop(specs.insert(name, spec)),
                },
                Some(name) => problems.push(format!("{at}: name: {name} is not 1 to 64 of a-z, 0-9, dot and dash")),
                None => problems.push(format!("{at}: name: missing")),
            }
        }
        problems.truncate(MOST_TOLD);
        if problems.is_empty() { Ok(specs) } else { Err(Failed::Refused(problems)) }
    }

    /// Writes these specs, and gives the names of those that were not as given already.
    pub async fn declare(&self, kind: DeclarationKind, specs: &BTreeMap<String, Value>) -> Result<Vec<String>, Failed> {
        let entry = self.entry(kind)?;
        self.change(kind, async |known: &StoredDeclarations, _| {
            let stand = known.specs.iter().filter(|((k, _), _)| *k == kind);
            let mut all: BTreeMap<String, Value> =
                stand.map(|((_, name), (spec, _))| (name.clone(), spec.clone())).collect();
            let mut new = SpecWrites::new();
            for (name, spec) in specs {
                let before = all.get(name);
                let spec = (entry.declared)(spec, before, time_of_day_ms())?;
                if before != Some(&spec) {
                    new.insert(name.clone(), Some(spec.clone()));
                    all.insert(name.clone(), spec);
                }
            }
            if all.len() > kind.most() {
                return refused(too_many(kind, all.len()));
            }
            let bytes: usize = all.values().map(|spec| spec.to_string().len()).sum();
            if bytes > MAX_SPECS_BYTES {
                return refused(format!("{}: {bytes} bytes are more than the {MAX_SPECS_BYTES} together", kind.word()));
            }
            (entry.check_all)(&all)?;
            Ok(new)
        })
        .await
    }

    /// Takes back what was declared.
    pub async fn remove(&self, kind: DeclarationKind, name: &str) -> Result<(), Failed> {
        let gone = self.change(kind, async |known: &StoredDeclarations, again| match known.declaration(kind, name) {
            Ok(_) => Ok(SpecWrites::from([(name.to_owned(), None)])),
            Err(_) if again => Ok(SpecWrites::new()),
            Err(failed) => Err(failed),
        });
        gone.await.map(drop)
    }

    /// One of the verbs that the kind knows. A job that is to be cancelled with it is cancelled first, at
    /// this controller, as its user would.
    pub async fn act(&self, kind: DeclarationKind, verb: &str, name: &str, node: &str) -> Result<(), Failed> {
        let entry = self.entry(kind)?;
        let acted = self.change(kind, async |known: &StoredDeclarations, _| {
            let acted = (entry.act)(verb, known.declaration(kind, name)?, time_of_day_ms())?;
            if let Some(job) = acted.cancel {
                self.cancel(node, &job).await?;
            }
            Ok(SpecWrites::from([(name.to_owned(), Some(acted.spec))]))
        });
        acted.await.map(drop)
    }

    /// A sensor's reading of a time of day. One of a later time is not replaced.
    pub async fn reading(&self, name: &str, value: f64, at_ms: u64) -> Result<(), Failed> {
        let kind = DeclarationKind::Reading;
        let entry = self.entry(kind)?;
        if !is_valid_name(name) {
            return refused(format!("name: {name:?} is not 1 to 64 of a-z, 0-9, dot and dash"));
        }
        if !value.is_finite() {
            return refused(format!("value: {value} is no reading"));
        }
        if at_ms > time_of_day_ms() + self.settings.params.skew_ms as u64 {
            return refused(format!("at: {at_ms} ms lies ahead of the time of day"));
        }
        let read = self.change(kind, async |known: &StoredDeclarations, _| {
            let stands = known.specs.get(&(kind, name.to_owned())).map(|(spec, _)| spec);
            let later = stands.and_then(|spec| spec["at_ms"].as_u64()).filter(|stands| *stands > at_ms);
            if let Some(later) = later {
                return refused(format!("at: {at_ms} ms is before the reading of {later} ms that is there"));
            }
            let mut spec = stands.cloned().unwrap_or_else(|| json!({}));
            spec["value"] = json!(value);
            spec["at_ms"] = json!(at_ms);
            (entry.check)(&spec, &KnownNames::of(&self.settings))?;
            if stands.is_none() && known.specs.len() >= kind.most() {
                return refused(too_many(kind, known.specs.len() + 1));
            }
            Ok(SpecWrites::from([(name.to_owned(), Some(spec))]))
        });
        read.await.map(drop)
    }

    /// All that is declared, or one kind, or one of it; and statuses that are left to be dropped.
    pub async fn show(
        &self,
        kind: Option<DeclarationKind>,
        name: Option<&str>,
    ) -> Result<Vec<DeclarationReport>, Failed> {
        let known = self.known(kind).await?;
        if let (Some(kind), Some(name)) = (kind, name) {
            known.declaration(kind, name)?;
        }
        let mut all: Vec<&(DeclarationKind, String)> = known.specs.keys().chain(known.statuses.keys()).collect();
        all.sort_unstable();
        all.dedup();
        let now_ms = time_of_day_ms();
        let shown = all.into_iter().filter(|(_, of)| name.is_none_or(|name| name == of)).map(|of| {
            let (spec, status) = (known.specs.get(of).map(|(spec, _)| spec), known.statuses.get(of));
            let lines = match (spec, entry(self.kinds, of.0)) {
                (None, _) => Ok(vec!["removed; its status goes as soon as that is told".to_owned()]),
                (Some(_), None) => Ok(vec!["this build does not carry it out".to_owned()]),
                (Some(spec), Some(entry)) => (entry.tell)(Declaration { name: &of.1, spec, status }, now_ms),
            };
            let lines = lines.unwrap_or_else(|problem| vec![problem.to_string()]);
            DeclarationReport { kind: of.0, name: of.1.clone(), spec: spec.cloned(), status: status.cloned(), lines }
        });
        Ok(shown.collect())
    }

    /// Reads, lets `work` say what to write, and writes it; again from the start where something else was
    /// written meanwhile. `work` is told whether it is asked again.
    async fn change(
        &self,
        kind: DeclarationKind,
        work: impl AsyncFn(&StoredDeclarations, bool) -> Result<SpecWrites, Failed>,
    ) -> Result<Vec<String>, Failed> {
        let (mut moved, mut written, mut again) = (Instant::now(), Vec::new(), false);
        'read: loop {
            let mut known = self.known(Some(kind)).await?;
            let writes: Vec<(String, Option<Value>)> = work(&known, again).await?.into_iter().collect();
            let mut left = writes.as_slice();
            while !left.is_empty() {
                let (now, later) = left.split_at(self.fitting(left));
                match self.write(kind, &known, now).await? {
                    Ok(revision) => {
                        known.operators = revision;
                        moved = Instant::now();
                        written.extend(now.iter().map(|(name, _)| name.clone()));
                        left = later;
                    }
                    Err(keys) if moved.elapsed() > self.patience => {
                        let removed = keys.iter().any(|key| key.starts_with(STATUSES));
                        let why = if removed { "still being removed" } else { "written by others again and again" };
                        return Err(Failed::NoAnswer(format!("{why}: {}", keys.join(" "))));
                    }
                    Err(_) => {
                        tokio::time::sleep(jitter(RETRY)).await;
                        again = true;
                        continue 'read;
                    }
                }
            }
            return Ok(written);
        }
    }

    /// How many of these go together.
    fn fitting(&self, writes: &[(String, Option<Value>)]) -> usize {
        let most = (self.settings.params.state.txn_ops as usize).saturating_sub(1).max(1);
        let mut bytes = 0;
        let fits = writes.iter().take(most).take_while(|(_, value)| {
            bytes += value.as_ref().map_or(0, |v| v.to_string().len()) + FRAME;
            bytes <= BYTES
        });
        fits.count().max(1)
    }

    /// One transaction, until its answer is definite: the revision, or the keys that were not as read.
    async fn write(
        &self,
        kind: DeclarationKind,
        known: &StoredDeclarations,
        writes: &[(String, Option<Value>)],
    ) -> Result<Result<u64, Vec<String>>, Failed> {
        let mine = json!({"by": format!("{:016x}", rand::random::<u64>()), "at_ms": time_of_day_ms()});
        let (conditions, changes) = transaction(kind, known, writes, &mine);
        let unsure = std::cell::Cell::new(false);
        let sent = self.answered(async || {
            let outcome = self.store.compare_and_swap(&conditions, &changes, RequestPriority::Placement).await;
            unsure.set(unsure.get() || outcome == Err(StoreError::Unanswered));
            outcome
        });
        match sent.await? {
            CompareAndSwapOutcome::Applied(revision) => Ok(Ok(revision)),
            CompareAndSwapOutcome::LeaseExpired => Ok(Err(Vec::new())),
            CompareAndSwapOutcome::Failed(keys) if unsure.get() => {
                // An earlier copy may have been the one that moved the key.
                let stands =
                    self.answered(async || self.store.get(OPERATORS, RequestPriority::Placement).await).await?;
                Ok(stands.filter(|item| item.value == mine).map(|item| item.version).ok_or(keys))
            }
            CompareAndSwapOutcome::Failed(keys) => Ok(Err(keys)),
        }
    }

    /// What operators have written of a kind, and its statuses, none older than `operators`.
    async fn known(&self, kind: Option<DeclarationKind>) -> Result<StoredDeclarations, Failed> {
        let stands = self.answered(async || self.store.get(OPERATORS, RequestPriority::Placement).await).await?;
        let mut known =
            StoredDeclarations { operators: stands.map_or(0, |item| item.version), ..StoredDeclarations::default() };
        for part in [SPECS, STATUSES] {
            let prefix = kind.map_or(part.to_owned(), |kind| format!("{part}{}/", kind.word()));
            let pages = tokio::sync::Mutex::new(self.store.pages(&prefix, None));
            while let Some(page) = self.answered(async || pages.lock().await.next().await).await? {
                page.items.into_iter().for_each(|item| known.take(item));
            }
        }
        Ok(known)
    }

    async fn cancel(&self, node: &str, job: &str) -> Result<(), Failed> {
        let (path, begun) = (format!("/work/{job}/withdraw"), Instant::now());
        loop {
            let outcome = self.http.call(Method::POST, node, &path, Some(Vec::new()), CALL_WITHIN).await;
            match outcome {
                Ok((200, _)) => return Ok(()),
                Ok((status, _)) if !matches!(status, 429 | 500..) => {
                    return refused(format!("{job}: {node} answered {status} to its withdrawal"));
                }
                _ if begun.elapsed() > self.patience => {
                    return Err(Failed::NoAnswer(format!("{node} does not withdraw {job}")));
                }
                _ => tokio::time::sleep(jitter(RETRY)).await,
            }
        }
    }

    /// Asks until there is an answer, for as long as its patience lasts.
    async fn answered<T>(&self, ask: impl AsyncFn() -> Result<T, StoreError>) -> Result<T, Failed> {
        let begun = Instant::now();
        loop {
            match ask().await {
                Ok(answer) => return Ok(answer),
                Err(error) if begun.elapsed() > self.patience || matches!(error, StoreError::Malformed(_)) => {
                    return Err(Failed::NoAnswer(format!("{}: {error}", self.settings.endpoints.state)));
                }
                Err(_) => tokio::time::sleep(jitter(RETRY)).await,
            }
        }
    }
}

/// Writes on what was read, with the key that all operators move.
pub(super) fn transaction(
    kind: DeclarationKind,
    known: &StoredDeclarations,
    writes: &[(String, Option<Value>)],
    mine: &Value,
) -> (Vec<Condition>, Vec<Change>) {
    let mut conditions = vec![Condition::at(OPERATORS, known.operators)];
    let mut changes = vec![Change::write(OPERATORS, mine.clone())];
    for (name, value) in writes {
        let version = known.specs.get(&(kind, name.clone())).map_or(0, |(_, version)| *version);
        conditions.push(Condition::at(spec_key(kind, name), version));
        // What was removed is final: a name is free once its status is gone.
        if version == 0 {
            conditions.push(Condition::absent(status_key(kind, name)));
        }
        changes.push(match value {
            Some(value) => Change::write(spec_key(kind, name), value.clone()),
            None => Change::Drop { drop: spec_key(kind, name) },
        });
    }
    (conditions, changes)
}

fn too_many(kind: DeclarationKind, n: usize) -> String {
    format!("{}: {n} are more than the {} that can be declared", kind.word(), kind.most())
}
