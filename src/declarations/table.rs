//! The table of all kinds of declared things, one entry each, independent of their types.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::Value;
use tracing::Level;

use super::records::{DeclarationKind, MAX_VALUE_BYTES};
use super::{DeclarationLogic, DeclarationView, KnownNames, SpecError, VerbOutcome};
use crate::heat;
use crate::scheduling::intents::Intents;

/// All kinds that this build carries out.
pub const KINDS: &[KindOperations] = &[
    // Calendar.
    KindOperations::of::<crate::calendar::Window>(),
    // Heat.
    KindOperations::of::<heat::Rule>(),
    KindOperations::of::<heat::Reading>(),
    // Rollouts.
    KindOperations::of::<crate::rollouts::Rollout>(),
];

/// A status that is to be stored, and what it was worked out from.
#[derive(Debug, Clone, PartialEq)]
pub struct NextStatus {
    /// The version of the spec that the status is of.
    pub spec_version: u64,
    /// 0: there is none yet.
    pub status_version: u64,
    /// The status.
    pub value: Value,
}

/// One declared thing as it stands in the store.
#[derive(Debug, Clone, Copy)]
pub struct Declaration<'a> {
    /// Its name.
    pub name: &'a str,
    /// The stored spec.
    pub spec: &'a Value,
    /// The stored status.
    pub status: Option<&'a Value>,
}

/// Log lines.
pub type StatusLogLines = Vec<(Level, String)>;
/// Lines for an operator, or what is wrong.
pub type Lines = Result<Vec<String>, SpecError>;

/// What can be done with a kind.
pub struct KindOperations {
    /// The kind that this entry serves.
    pub kind: DeclarationKind,
    /// Reads and checks a spec.
    pub check: fn(&Value, &KnownNames) -> Result<(), SpecError>,
    /// Checks all specs of the kind together, passing over those that cannot be read.
    pub check_all: fn(&BTreeMap<String, Value>) -> Result<(), SpecError>,
    /// What is written of a spec that is declared over another, at a time of day in ms.
    pub declared: fn(&Value, Option<&Value>, u64) -> Result<Value, SpecError>,
    /// The status that one is to have next, by name.
    pub step: fn(&str, &DeclarationView) -> Option<NextStatus>,
    /// What all of the kind ask for.
    pub add_intents: fn(&DeclarationView, &mut Intents),
    /// Lines for operators at a time of day in ms.
    pub tell: fn(Declaration, u64) -> Lines,
    /// What is owed for a change of a status, by name.
    pub news: fn(&str, Option<&Value>, &Value) -> StatusLogLines,
    /// What a verb makes of a spec at a time of day in ms.
    pub act: fn(&str, Declaration, u64) -> Result<VerbOutcome<Value>, SpecError>,
}

impl KindOperations {
    /// The entry of a kind.
    pub const fn of<D: DeclarationLogic>() -> Self {
        Self {
            kind: D::KIND,
            check: check::<D>,
            check_all: check_all::<D>,
            declared: declared::<D>,
            step: step::<D>,
            add_intents: add_intents::<D>,
            tell: tell::<D>,
            news: news::<D>,
            act: act::<D>,
        }
    }
}

/// The kind's entry among these, if it is carried out at all.
pub fn entry(kinds: &[KindOperations], kind: DeclarationKind) -> Option<&KindOperations> {
    kinds.iter().find(|entry| entry.kind == kind)
}

/// Reads a value and names the field that cannot be read.
fn read<T: DeserializeOwned>(value: &Value) -> Result<T, SpecError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let field = match error.path().to_string() {
            root if root == "." => "spec".to_owned(),
            path => path,
        };
        SpecError::new(field, error.inner().to_string())
    })
}

fn read_status<D: DeclarationLogic>(status: Option<&Value>) -> Result<D::Status, SpecError> {
    status.map_or_else(|| Ok(D::Status::default()), read)
}

fn write<T: serde::Serialize>(value: &T) -> Result<Value, SpecError> {
    serde_json::to_value(value).map_err(|error| SpecError::new("spec", error.to_string()))
}

fn check<D: DeclarationLogic>(value: &Value, names: &KnownNames) -> Result<(), SpecError> {
    let most = MAX_VALUE_BYTES.min((names.params.state.value_kb * 1024.0) as usize);
    let size = value.to_string().len();
    if size > most {
        return Err(SpecError::new("spec", format!("{size} bytes are more than the {most} that can be stored")));
    }
    D::check_spec(&read(value)?, names)
}

fn check_all<D: DeclarationLogic>(all: &BTreeMap<String, Value>) -> Result<(), SpecError> {
    let specs = all.iter().filter_map(|(name, spec)| Some((name.clone(), read(spec).ok()?)));
    D::check_all_specs(&specs.collect())
}

fn declared<D: DeclarationLogic>(spec: &Value, before: Option<&Value>, now_ms: u64) -> Result<Value, SpecError> {
    // One that a later build wrote and this one cannot read is written over.
    let before = before.and_then(|before| read::<D::Spec>(before).ok());
    write(&D::spec_to_store(read(spec)?, before.as_ref(), now_ms))
}

fn step<D: DeclarationLogic>(name: &str, view: &DeclarationView) -> Option<NextStatus> {
    let (spec, spec_version) = view.registry.spec::<D>(name)?;
    // One that cannot be read stays as it is: to begin afresh could do again what was done.
    let stored = if view.registry.has_status(D::KIND, name) { Some(view.registry.status::<D>(name)?) } else { None };
    let before = stored.as_ref().map(|(status, _)| status.clone()).unwrap_or_default();
    let next = D::next_status(name, &spec, &before, view)?;
    if stored.is_some() && next == before {
        return None;
    }
    let value = serde_json::to_value(&next).ok()?;
    Some(NextStatus { spec_version, status_version: stored.map_or(0, |(_, version)| version), value })
}

fn add_intents<D: DeclarationLogic>(view: &DeclarationView, intents: &mut Intents) {
    for (name, spec, _) in view.registry.specs::<D>() {
        match view.registry.status::<D>(name) {
            Some((status, _)) => D::add_intents(name, &spec, &status, view, intents),
            None if !view.registry.has_status(D::KIND, name) => {
                D::add_intents(name, &spec, &D::Status::default(), view, intents);
            }
            None => {}
        }
    }
}

fn tell<D: DeclarationLogic>(of: Declaration, now_ms: u64) -> Lines {
    Ok(D::describe(of.name, &read(of.spec)?, &read_status::<D>(of.status)?, now_ms))
}

fn news<D: DeclarationLogic>(name: &str, before: Option<&Value>, after: &Value) -> StatusLogLines {
    match (read_status::<D>(before), read::<D::Status>(after)) {
        (Ok(before), Ok(after)) => D::status_events(name, &before, &after),
        _ => Vec::new(),
    }
}

fn act<D: DeclarationLogic>(verb: &str, of: Declaration, now_ms: u64) -> Result<VerbOutcome<Value>, SpecError> {
    let acted = D::apply_verb(verb, &read(of.spec)?, &read_status::<D>(of.status)?, now_ms)?;
    Ok(VerbOutcome { spec: write(&acted.spec)?, cancel: acted.cancel })
}
