//! The table of all kinds of declared things, one entry each, independent of their types.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde_json::Value;
use tracing::Level;

use super::records::{DeclarationKind, MOST_BYTES};
use super::{Acted, Declared, Names, Problem, View};
use crate::heat;
use crate::scheduling::intents::Intents;

/// All kinds that this build carries out.
pub const KINDS: &[Entry] = &[
    // Calendar.
    Entry::of::<crate::calendar::Window>(),
    // Heat.
    Entry::of::<heat::Rule>(),
    Entry::of::<heat::Reading>(),
    // Rollouts.
    Entry::of::<crate::rollouts::Rollout>(),
];

/// A status that is to be stored, and what it was worked out from.
#[derive(Debug, Clone, PartialEq)]
pub struct Decided {
    /// The version of the spec that the status is of.
    pub spec_stamp: u64,
    /// 0: there is none yet.
    pub status_stamp: u64,
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
pub type CacheChanges = Vec<(Level, String)>;
/// Lines for an operator, or what is wrong.
pub type Lines = Result<Vec<String>, Problem>;

/// What can be done with a kind.
pub struct Entry {
    /// The kind that this entry serves.
    pub kind: DeclarationKind,
    /// Reads and checks a spec.
    pub check: fn(&Value, &Names) -> Result<(), Problem>,
    /// Checks all specs of the kind together, passing over those that cannot be read.
    pub check_all: fn(&BTreeMap<String, Value>) -> Result<(), Problem>,
    /// What is written of a spec that is declared over another, at a time of day in ms.
    pub declared: fn(&Value, Option<&Value>, u64) -> Result<Value, Problem>,
    /// The status that one is to have next, by name.
    pub step: fn(&str, &View) -> Option<Decided>,
    /// What all of the kind ask for.
    pub add_intents: fn(&View, &mut Intents),
    /// Lines for operators at a time of day in ms.
    pub tell: fn(Declaration, u64) -> Lines,
    /// What is owed for a change of a status, by name.
    pub news: fn(&str, Option<&Value>, &Value) -> CacheChanges,
    /// What a verb makes of a spec at a time of day in ms.
    pub act: fn(&str, Declaration, u64) -> Result<Acted<Value>, Problem>,
}

impl Entry {
    /// The entry of a kind.
    pub const fn of<D: Declared>() -> Self {
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
pub fn entry(kinds: &[Entry], kind: DeclarationKind) -> Option<&Entry> {
    kinds.iter().find(|entry| entry.kind == kind)
}

/// Reads a value and names the field that cannot be read.
fn read<T: DeserializeOwned>(value: &Value) -> Result<T, Problem> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let field = match error.path().to_string() {
            root if root == "." => "spec".to_owned(),
            path => path,
        };
        Problem::new(field, error.inner().to_string())
    })
}

fn read_status<D: Declared>(status: Option<&Value>) -> Result<D::Status, Problem> {
    status.map_or_else(|| Ok(D::Status::default()), read)
}

fn write<T: serde::Serialize>(value: &T) -> Result<Value, Problem> {
    serde_json::to_value(value).map_err(|error| Problem::new("spec", error.to_string()))
}

fn check<D: Declared>(value: &Value, names: &Names) -> Result<(), Problem> {
    let most = MOST_BYTES.min((names.params.state.value_kb * 1024.0) as usize);
    let size = value.to_string().len();
    if size > most {
        return Err(Problem::new("spec", format!("{size} bytes are more than the {most} that can be stored")));
    }
    D::check(&read(value)?, names)
}

fn check_all<D: Declared>(all: &BTreeMap<String, Value>) -> Result<(), Problem> {
    let specs = all.iter().filter_map(|(name, spec)| Some((name.clone(), read(spec).ok()?)));
    D::check_all(&specs.collect())
}

fn declared<D: Declared>(spec: &Value, before: Option<&Value>, now_ms: u64) -> Result<Value, Problem> {
    // One that a later build wrote and this one cannot read is written over.
    let before = before.and_then(|before| read::<D::Spec>(before).ok());
    write(&D::declared(read(spec)?, before.as_ref(), now_ms))
}

fn step<D: Declared>(name: &str, view: &View) -> Option<Decided> {
    let (spec, spec_stamp) = view.registry.spec::<D>(name)?;
    // One that cannot be read stays as it is: to begin afresh could do again what was done.
    let stored = if view.registry.has_status(D::KIND, name) { Some(view.registry.status::<D>(name)?) } else { None };
    let before = stored.as_ref().map(|(status, _)| status.clone()).unwrap_or_default();
    let next = D::step(name, &spec, &before, view)?;
    if stored.is_some() && next == before {
        return None;
    }
    let value = serde_json::to_value(&next).ok()?;
    Some(Decided { spec_stamp, status_stamp: stored.map_or(0, |(_, version)| version), value })
}

fn add_intents<D: Declared>(view: &View, intents: &mut Intents) {
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

fn tell<D: Declared>(of: Declaration, now_ms: u64) -> Lines {
    Ok(D::tell(of.name, &read(of.spec)?, &read_status::<D>(of.status)?, now_ms))
}

fn news<D: Declared>(name: &str, before: Option<&Value>, after: &Value) -> CacheChanges {
    match (read_status::<D>(before), read::<D::Status>(after)) {
        (Ok(before), Ok(after)) => D::news(name, &before, &after),
        _ => Vec::new(),
    }
}

fn act<D: Declared>(verb: &str, of: Declaration, now_ms: u64) -> Result<Acted<Value>, Problem> {
    let acted = D::act(verb, &read(of.spec)?, &read_status::<D>(of.status)?, now_ms)?;
    Ok(Acted { spec: write(&acted.spec)?, cancel: acted.cancel })
}
