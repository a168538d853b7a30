//! Operators' verbs. Each reads the declarations from the state service, computes the new specifications, writes them
//! with a compare-and-swap on the versions read, and starts again after a conflicting write.
//!
//! Each write also changes one key common to all operators. This serializes the writes, so that the limits on the
//! number and size of declarations hold exactly and a delayed copy of a write changes nothing.

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
use super::table::{Declaration, KindOperations, find_operations};
use super::{DeclarationKind, KnownNames, SpecError};
use crate::jobs::record::time_of_day_ms;
use crate::settings::Settings;

/// Maximum number of refusals reported for one list of specifications.
const MAX_REFUSALS: usize = 20;

/// A declaration as it is shown to operators.
#[derive(Debug, serde::Serialize)]
pub struct DeclarationReport {
    /// The declaration's kind.
    pub kind: DeclarationKind,
    /// The declaration's name.
    pub name: String,
    /// The stored specification, unless it was removed.
    pub spec: Option<Value>,
    /// The stored status, if there is one.
    pub status: Option<Value>,
    /// The description of specification and status, in lines.
    pub lines: Vec<String>,
}

/// Executes operators' verbs by reading and writing specifications directly in the store.
pub struct Operator {
    kinds: &'static [KindOperations],
    client: OperatorClient,
}

impl Operator {
    /// Creates an operator that stops retrying requests to the store after `timeout`.
    pub fn new(settings: Settings, kinds: &'static [KindOperations], timeout: Duration) -> Self {
        Self { kinds, client: OperatorClient::new(settings, timeout) }
    }

    fn operations(&self, kind: DeclarationKind) -> Result<&'static KindOperations, Refusal> {
        find_operations(self.kinds, kind).ok_or(Refusal::UnsupportedKind(kind))
    }

    /// Parses one specification or a list of them, each with its name, and validates all without any request.
    ///
    /// # Errors
    /// Returns the reason for each invalid entry.
    pub fn parse_specs(&self, kind: DeclarationKind, text: &str) -> Result<BTreeMap<String, Value>, OperatorError> {
        let operations = self.operations(kind)?;
        let list = match serde_json::from_str(text).map_err(Refusal::Json)? {
            Value::Array(list) => list,
            single => vec![single],
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

    /// Writes specifications and returns the names of those that differed from the stored ones.
    ///
    /// # Errors
    /// Fails if a limit would be exceeded or the specifications conflict, or without a definite answer.
    pub async fn declare(
        &self,
        kind: DeclarationKind,
        specs: &BTreeMap<String, Value>,
    ) -> Result<Vec<String>, OperatorError> {
        let operations = self.operations(kind)?;
        let decide = async |stored: &StoredDeclarations, _| decide_declare(operations, stored, specs);
        self.client.read_and_write(kind, decide).await
    }

    /// Removes a specification.
    ///
    /// # Errors
    /// Fails if the name is not declared, or without a definite answer.
    pub async fn remove(&self, kind: DeclarationKind, name: &str) -> Result<(), OperatorError> {
        let decide = async |stored: &StoredDeclarations, attempt| match stored.declaration(kind, name) {
            Ok(_) => Ok(vec![SpecWrite::remove(name)]),
            Err(_) if attempt == Attempt::Repeated => Ok(Vec::new()),
            Err(refusal) => Err(refusal.into()),
        };
        self.client.read_and_write(kind, decide).await.map(drop)
    }

    /// Applies one of the kind's verbs. If the verb cancels a job, the job is cancelled first at the controller `node`,
    /// through the same request as its user's.
    ///
    /// # Errors
    /// Fails if the verb cannot be applied, or without a definite answer.
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

    /// Stores a sensor's reading taken at a wall-clock time. A reading of a later time is not replaced.
    ///
    /// # Errors
    /// Fails if the reading is invalid or older than the stored one, or without a definite answer.
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

    /// Reports all declarations, those of one kind, or a single one, including statuses that are still to be deleted.
    ///
    /// # Errors
    /// Fails if the name is not declared, or without a definite answer.
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
        let lines = match (spec, find_operations(self.kinds, id.kind)) {
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

/// Validates the name of an entry of a list.
fn check_name(name: Option<Value>) -> Result<String, SpecError> {
    match name {
        Some(Value::String(name)) if is_valid_name(&name) => Ok(name),
        Some(name) => Err(invalid_name(name)),
        None => Err(SpecError::new("name", "missing")),
    }
}

/// Returns the writes for the specifications that differ from the stored ones, if all of them together with the stored
/// ones are valid and within the limits.
fn decide_declare(
    operations: &KindOperations,
    stored: &StoredDeclarations,
    specs: &BTreeMap<String, Value>,
) -> Result<Vec<SpecWrite>, OperatorError> {
    let kind = operations.kind;
    let specs_of_kind = stored.specs.iter().filter(|(id, _)| id.kind == kind);
    let mut all: BTreeMap<String, Value> =
        specs_of_kind.map(|(id, spec)| (id.name.clone(), spec.value.clone())).collect();
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

/// Returns the specification of a reading, unless a later reading is stored.
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
