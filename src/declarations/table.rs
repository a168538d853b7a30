//! The table of declaration kinds. Each entry operates on JSON and hides the types of its kind.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::events::DeclarationEvent;
use super::records::{DeclarationKind, MAX_VALUE_BYTES};
use super::{DeclarationLogic, DeclarationView, KnownNames, NamedSpec, SpecError, VerbOutcome, Versioned};
use crate::scheduling::intents::Intents;
use crate::{calendar, heat, rollouts};

/// The operations of all kinds that this build supports.
pub const KINDS: &[KindOperations] = &[
    KindOperations::of::<calendar::Window>(),
    KindOperations::of::<heat::HeatRule>(),
    KindOperations::of::<heat::Reading>(),
    KindOperations::of::<rollouts::Rollout>(),
];

/// A status to store, with the versions of the specification and the status that it was computed from.
#[derive(Debug, Clone, PartialEq)]
pub struct NextStatus {
    /// The version of the specification.
    pub spec_version: u64,
    /// The version of the status that is replaced; 0 if there is none.
    pub status_version: u64,
    /// The new status.
    pub value: Value,
}

/// A stored declaration.
#[derive(Debug, Clone, Copy)]
pub struct Declaration<'a> {
    /// The declaration's name.
    pub name: &'a str,
    /// The stored specification.
    pub spec: &'a Value,
    /// The stored status, if there is one.
    pub status: Option<&'a Value>,
}

/// The operations of one kind of declaration, on JSON values.
pub struct KindOperations {
    /// The kind that the operations apply to.
    pub kind: DeclarationKind,
    /// Decodes and validates a specification.
    pub check_spec: fn(&Value, &KnownNames) -> Result<(), SpecError>,
    /// Validates all specifications of the kind together, ignoring those that cannot be decoded.
    pub check_all_specs: fn(&BTreeMap<String, Value>) -> Result<(), SpecError>,
    /// Returns the specification to store for one that replaces another, at a wall-clock time in ms.
    pub spec_to_store: fn(&Value, Option<&Value>, u64) -> Result<Value, SpecError>,
    /// Returns the next status of the declaration with this name, or `None` if the status is unchanged.
    pub next_status: fn(&str, &DeclarationView) -> Option<NextStatus>,
    /// Adds the intents of all declarations of the kind.
    pub add_intents: fn(&DeclarationView, &mut Intents),
    /// Describes a declaration in lines for operators, at a wall-clock time in ms.
    pub describe: fn(Declaration, u64) -> Result<Vec<String>, SpecError>,
    /// Returns the events of a change of status of the declaration with this name.
    pub status_events: fn(&str, Option<&Value>, &Value) -> Vec<DeclarationEvent>,
    /// Applies a verb to a specification, at a wall-clock time in ms.
    pub apply_verb: fn(&str, Declaration, u64) -> Result<VerbOutcome<Value>, SpecError>,
}

impl KindOperations {
    /// Returns the operations of the kind that `D` implements.
    pub const fn of<D: DeclarationLogic>() -> Self {
        Self {
            kind: D::KIND,
            check_spec: check_spec::<D>,
            check_all_specs: check_all_specs::<D>,
            spec_to_store: spec_to_store::<D>,
            next_status: next_status::<D>,
            add_intents: add_intents::<D>,
            describe: describe::<D>,
            status_events: status_events::<D>,
            apply_verb: apply_verb::<D>,
        }
    }
}

/// Finds the operations of a kind, if it is supported.
pub fn find_operations(kinds: &[KindOperations], kind: DeclarationKind) -> Option<&KindOperations> {
    kinds.iter().find(|operations| operations.kind == kind)
}

/// Decodes a JSON value. The error names the field that cannot be decoded.
fn decode<T: DeserializeOwned>(value: &Value) -> Result<T, SpecError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let field = match error.path().to_string() {
            root if root == "." => "spec".to_owned(),
            path => path,
        };
        SpecError::new(field, error.inner().to_string())
    })
}

fn decode_status<D: DeclarationLogic>(status: Option<&Value>) -> Result<D::Status, SpecError> {
    status.map_or_else(|| Ok(D::Status::default()), decode)
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Value, SpecError> {
    serde_json::to_value(value).map_err(|error| SpecError::new("spec", error.to_string()))
}

fn check_spec<D: DeclarationLogic>(value: &Value, names: &KnownNames) -> Result<(), SpecError> {
    let max = MAX_VALUE_BYTES.min((names.params.state.value_kb * 1024.0) as usize);
    let size = value.to_string().len();
    if size > max {
        return Err(SpecError::new("spec", format!("{size} bytes are more than the {max} that can be stored")));
    }
    D::check_spec(&decode(value)?, names)
}

fn check_all_specs<D: DeclarationLogic>(all: &BTreeMap<String, Value>) -> Result<(), SpecError> {
    let specs = all.iter().filter_map(|(name, spec)| Some((name.clone(), decode(spec).ok()?)));
    D::check_all_specs(&specs.collect())
}

fn spec_to_store<D: DeclarationLogic>(spec: &Value, before: Option<&Value>, now_ms: u64) -> Result<Value, SpecError> {
    // A stored specification that a later build wrote and this build cannot decode is overwritten.
    let before = before.and_then(|before| decode::<D::Spec>(before).ok());
    encode(&D::spec_to_store(decode(spec)?, before.as_ref(), now_ms))
}

fn next_status<D: DeclarationLogic>(name: &str, view: &DeclarationView) -> Option<NextStatus> {
    let Versioned { value: spec, version: spec_version } = view.registry.spec::<D>(name)?;
    // A status that cannot be decoded is left unchanged: starting from an empty one could repeat completed steps.
    let stored = if view.registry.has_status(D::KIND, name) { Some(view.registry.status::<D>(name)?) } else { None };
    let before = stored.as_ref().map(|status| status.value.clone()).unwrap_or_default();
    let next = D::next_status(name, &spec, &before, view)?;
    if stored.is_some() && next == before {
        return None;
    }
    let value = serde_json::to_value(&next).ok()?;
    Some(NextStatus { spec_version, status_version: stored.map_or(0, |status| status.version), value })
}

fn add_intents<D: DeclarationLogic>(view: &DeclarationView, intents: &mut Intents) {
    for NamedSpec { name, spec, .. } in view.registry.specs::<D>() {
        match view.registry.status::<D>(name) {
            Some(status) => D::add_intents(name, &spec, &status.value, view, intents),
            None if !view.registry.has_status(D::KIND, name) => {
                D::add_intents(name, &spec, &D::Status::default(), view, intents);
            }
            None => {}
        }
    }
}

fn describe<D: DeclarationLogic>(declaration: Declaration, now_ms: u64) -> Result<Vec<String>, SpecError> {
    let spec = decode(declaration.spec)?;
    Ok(D::describe(declaration.name, &spec, &decode_status::<D>(declaration.status)?, now_ms))
}

fn status_events<D: DeclarationLogic>(name: &str, before: Option<&Value>, after: &Value) -> Vec<DeclarationEvent> {
    let (Ok(before), Ok(after)) = (decode_status::<D>(before), decode::<D::Status>(after)) else { return Vec::new() };
    let events = D::status_events(&before, &after).into_iter();
    events.map(|event| DeclarationEvent::StatusChanged { name: name.to_owned(), event: Box::new(event) }).collect()
}

fn apply_verb<D: DeclarationLogic>(
    verb: &str,
    declaration: Declaration,
    now_ms: u64,
) -> Result<VerbOutcome<Value>, SpecError> {
    let spec = decode(declaration.spec)?;
    let outcome = D::apply_verb(verb, &spec, &decode_status::<D>(declaration.status)?, now_ms)?;
    Ok(VerbOutcome { spec: encode(&outcome.spec)?, cancel: outcome.cancel })
}
