//! Operators' verbs through the state service: read, compute, write on condition of the versions read, and start again
//! if somebody else has written meanwhile.
//!
//! Each write also changes one key common to all operators. So writes are serialized, the bounds on how much is
//! declared hold exactly, and a delayed copy of a write changes nothing.

mod client;
pub mod error;
pub(super) mod stored;

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};

use self::client::{Attempt, OperatorClient};
pub use self::error::{NoAnswer, OperatorError, Refusal};
use self::stored::{SpecWrite, StoredDeclarations};
use super::records::{DeclarationId, MAX_SPECS_BYTES, is_valid_name};
use super::table::{Declaration, KindOperations, find_kind};
use super::{DeclarationKind, KnownNames, SpecError};
use crate::jobs::record::time_of_day_ms;
use crate::settings::Settings;

/// Reasons shown for one list.
const MAX_REFUSALS: usize = 20;

/// A declaration as operators see it.
#[derive(Debug, serde::Serialize)]
pub struct DeclarationReport {
    /// Its kind.
    pub kind: DeclarationKind,
    /// Its name.
    pub name: String,
    /// The stored spec.
    pub spec: Option<Value>,
    /// The stored status.
    pub status: Option<Value>,
    /// Both, described in lines.
    pub lines: Vec<String>,
}

/// The operators' side: reads and writes specs directly in the store.
pub struct Operator {
    kinds: &'static [KindOperations],
    client: OperatorClient,
}

impl Operator {
    /// Gives up on the store after `patience`.
    pub fn new(settings: Settings, kinds: &'static [KindOperations], patience: Duration) -> Self {
        Self { kinds, client: OperatorClient::new(settings, patience) }
    }

    fn operations(&self, kind: DeclarationKind) -> Result<&'static KindOperations, Refusal> {
        find_kind(self.kinds, kind).ok_or(Refusal::UnsupportedKind(kind))
    }

    /// Parses one object or a list of them, each with its name, and checks all without any request.
    ///
    /// # Errors
    /// Names what is wrong with each entry.
    pub fn parse_specs(&self, kind: DeclarationKind, text: &str) -> Result<BTreeMap<String, Value>, OperatorError> {
        let operations = self.operations(kind)?;
        let list = match serde_json::from_str(text).map_err(Refusal::Json)? {
            Value::Array(list) => list,
            one => vec![one],
        };
        if list.len() > kind.max_count() {
            return Err(Refusal::TooMany { kind, count: list.len() }.into());
        }
        let names = KnownNames::from_settings(&self.client.settings);
        let (mut specs, mut refusals) = (BTreeMap::new(), Vec::new());
        for (index, mut spec) in list.into_iter().enumerate() {
            let name = spec.as_object_mut().and_then(|fields| fields.remove("name"));
            let entry = name.as_ref().and_then(Value::as_str).map_or(format!("[{index}]"), str::to_owned);
            let checked = check_name(name).and_then(|name| {
                (operations.check_spec)(&spec, &names)?;
                if specs.contains_key(&name) { Err(SpecError::new("name", "given twice")) } else { Ok(name) }
            });
            match checked {
                Ok(name) => drop(specs.insert(name, spec)),
                Err(source) => refusals.push(Refusal::Entry { entry, source }),
            }
        }
        refusals.truncate(MAX_REFUSALS);
        if refusals.is_empty() { Ok(specs) } else { Err(OperatorError::Refused(refusals)) }
    }

    /// Writes these specs, and gives the names of those that were not stored as given already.
    ///
    /// # Errors
    /// There would be too much, or there is no answer.
    pub async fn declare(
        &self,
        kind: DeclarationKind,
        specs: &BTreeMap<String, Value>,
    ) -> Result<Vec<String>, OperatorError> {
        let operations = self.operations(kind)?;
        let decide = async |stored: &StoredDeclarations, _| decide_declare(operations, stored, specs);
        self.client.read_and_write(kind, decide).await
    }

    /// Removes a spec.
    ///
    /// # Errors
    /// It is not declared, or there is no answer.
    pub async fn remove(&self, kind: DeclarationKind, name: &str) -> Result<(), OperatorError> {
        let decide = async |stored: &StoredDeclarations, attempt| match stored.declaration(kind, name) {
            Ok(_) => Ok(vec![SpecWrite::remove(name)]),
            Err(_) if attempt == Attempt::Repeated => Ok(Vec::new()),
            Err(refusal) => Err(refusal.into()),
        };
        self.client.read_and_write(kind, decide).await.map(drop)
    }

    /// Applies one of the kind's verbs. A job that is to be cancelled with it is cancelled first, at this controller,
    /// as its user would.
    ///
    /// # Errors
    /// The verb cannot be applied, or there is no answer.
    pub async fn apply_verb(
        &self,
        kind: DeclarationKind,
        verb: &str,
        name: &str,
        node: &str,
    ) -> Result<(), OperatorError> {
        let operations = self.operations(kind)?;
        let decide = async |stored: &StoredDeclarations, _| {
            let outcome = (operations.apply_verb)(verb, stored.declaration(kind, name)?, time_of_day_ms())?;
            if let Some(job) = outcome.cancel {
                self.client.cancel_job(node, &job).await?;
            }
            Ok(vec![SpecWrite::put(name, outcome.spec)])
        };
        self.client.read_and_write(kind, decide).await.map(drop)
    }

    /// Stores a sensor's reading of a time of day. A reading of a later time is not replaced.
    ///
    /// # Errors
    /// The reading cannot be used, or there is no answer.
    pub async fn store_reading(&self, name: &str, value: f64, at_ms: u64) -> Result<(), OperatorError> {
        let kind = DeclarationKind::Reading;
        let operations = self.operations(kind)?;
        let settings = &self.client.settings;
        if !is_valid_name(name) {
            return Err(invalid_name(format_args!("{name:?}")).into());
        }
        if !value.is_finite() {
            return Err(SpecError::new("value", format!("{value} is no reading")).into());
        }
        if at_ms > time_of_day_ms() + settings.params.skew_ms as u64 {
            return Err(SpecError::new("at", format!("{at_ms} ms lies ahead of the time of day")).into());
        }
        let names = KnownNames::from_settings(settings);
        let decide = async |stored: &StoredDeclarations, _| {
            let spec = decide_reading(stored, name, value, at_ms)?;
            (operations.check_spec)(&spec, &names)?;
            if stored.spec(&DeclarationId::new(kind, name)).is_none() && stored.specs.len() >= kind.max_count() {
                return Err(Refusal::TooMany { kind, count: stored.specs.len() + 1 }.into());
            }
            Ok(vec![SpecWrite::put(name, spec)])
        };
        self.client.read_and_write(kind, decide).await.map(drop)
    }

    /// Shows all declarations, or those of one kind, or one of them; and statuses that are still to be dropped.
    ///
    /// # Errors
    /// The name is not declared, or there is no answer.
    pub async fn show(
        &self,
        kind: Option<DeclarationKind>,
        name: Option<&str>,
    ) -> Result<Vec<DeclarationReport>, OperatorError> {
        let stored = self.client.read_declarations(kind).await?;
        if let (Some(kind), Some(name)) = (kind, name) {
            stored.declaration(kind, name)?;
        }
        let mut ids: Vec<&DeclarationId> = stored.specs.keys().chain(stored.statuses.keys()).collect();
        ids.sort_unstable();
        ids.dedup();
        ids.retain(|id| name.is_none_or(|name| name == id.name));
        let now_ms = time_of_day_ms();
        Ok(ids.into_iter().map(|id| self.report(&stored, id, now_ms)).collect())
    }

    fn report(&self, stored: &StoredDeclarations, id: &DeclarationId, now_ms: u64) -> DeclarationReport {
        let (spec, status) = (stored.spec(id), stored.statuses.get(id));
        let lines = match (spec, find_kind(self.kinds, id.kind)) {
            (None, _) => vec!["removed; its status goes as soon as that is told".to_owned()],
            (Some(_), None) => vec!["this build does not carry it out".to_owned()],
            (Some(spec), Some(operations)) => {
                let declaration = Declaration { name: &id.name, spec, status };
                (operations.describe)(declaration, now_ms).unwrap_or_else(|error| vec![error.to_string()])
            }
        };
        DeclarationReport { kind: id.kind, name: id.name.clone(), spec: spec.cloned(), status: status.cloned(), lines }
    }
}

fn invalid_name(name: impl std::fmt::Display) -> SpecError {
    SpecError::new("name", format!("{name} is not 1 to 64 of a-z, 0-9, dot and dash"))
}

/// The name of an entry of a list.
fn check_name(name: Option<Value>) -> Result<String, SpecError> {
    match name {
        Some(Value::String(name)) if is_valid_name(&name) => Ok(name),
        Some(name) => Err(invalid_name(name)),
        None => Err(SpecError::new("name", "missing")),
    }
}

/// Which of these specs have to be written, if all of them may stand together with those that are stored.
fn decide_declare(
    operations: &KindOperations,
    stored: &StoredDeclarations,
    specs: &BTreeMap<String, Value>,
) -> Result<Vec<SpecWrite>, OperatorError> {
    let kind = operations.kind;
    let of_kind = stored.specs.iter().filter(|(id, _)| id.kind == kind);
    let mut all: BTreeMap<String, Value> = of_kind.map(|(id, spec)| (id.name.clone(), spec.value.clone())).collect();
    let mut writes = Vec::new();
    for (name, spec) in specs {
        let before = all.get(name);
        let spec = (operations.spec_to_store)(spec, before, time_of_day_ms())?;
        if before != Some(&spec) {
            writes.push(SpecWrite::put(name, spec.clone()));
            all.insert(name.clone(), spec);
        }
    }
    if all.len() > kind.max_count() {
        return Err(Refusal::TooMany { kind, count: all.len() }.into());
    }
    let bytes: usize = all.values().map(|spec| spec.to_string().len()).sum();
    if bytes > MAX_SPECS_BYTES {
        return Err(Refusal::TooLarge { kind, bytes }.into());
    }
    (operations.check_all_specs)(&all)?;
    Ok(writes)
}

/// The spec of a reading, unless one of a later time is stored.
fn decide_reading(stored: &StoredDeclarations, name: &str, value: f64, at_ms: u64) -> Result<Value, SpecError> {
    let present = stored.spec(&DeclarationId::new(DeclarationKind::Reading, name));
    let later = present.and_then(|spec| spec["at_ms"].as_u64()).filter(|present_ms| *present_ms > at_ms);
    if let Some(later) = later {
        return Err(SpecError::new("at", format!("{at_ms} ms is before the reading of {later} ms that is there")));
    }
    let mut spec = present.cloned().unwrap_or_else(|| json!({}));
    spec["value"] = json!(value);
    spec["at_ms"] = json!(at_ms);
    Ok(spec)
}
