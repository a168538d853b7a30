//! What operators declare and controllers carry out.
//!
//! A spec is written by operators only, a status by the leader only: conditional on its leader record, on
//! the spec's version and on the status's own. Whoever leads next reads both and goes on from there, at
//! any point. Nothing acts on a status before it is stored: what is asked of placing, renting and
//! sparing (`scheduling::intents`) follows from statuses as the watch cache has them, the cluster state and the time.

pub mod context;
pub mod driver;
pub mod operator;
pub mod records;
pub mod registry;
pub mod run;
pub mod table;
#[cfg(test)]
pub(crate) mod tests;

use std::cell::{OnceCell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tracing::Level;

use crate::calendar::JobsByWindow;
use crate::jobs::{End, JobId};
use crate::scheduling::ClusterState;
use crate::scheduling::intents::Intents;
use crate::settings::{Params, Settings, Team};

pub use records::DeclarationKind;
pub use registry::DeclarationRegistry;

/// A field of a spec that cannot be used, and why. Shown as `FIELD: WHY`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {why}")]
pub struct SpecError {
    /// The field's name.
    pub field: String,
    /// What is wrong with it.
    pub why: String,
}

impl SpecError {
    /// A field and what is wrong with it.
    pub fn new(field: impl Into<String>, why: impl Into<String>) -> Self {
        Self { field: field.into(), why: why.into() }
    }
}

/// What a spec may name, for checks without any I/O.
pub struct KnownNames<'a> {
    /// The teams.
    pub teams: &'a [Team],
    /// Those that the objectives name.
    pub classes: Vec<&'a str>,
    /// The zones.
    pub zones: &'a [String],
    /// All parameters.
    pub params: &'a Params,
}

impl<'a> KnownNames<'a> {
    /// The part of the settings that specs are checked against.
    pub fn of(settings: &'a Settings) -> Self {
        let params = &settings.params;
        let mut classes: Vec<&str> = params.objectives.iter().map(|o| o.class.as_str()).collect();
        classes.retain(|class| !class.is_empty());
        classes.sort_unstable();
        classes.dedup();
        Self { teams: &params.teams, classes, zones: &params.zones, params }
    }
}

/// State and time: all that a decision may look at.
pub struct DeclarationView<'a> {
    /// The leader's state.
    pub cluster: &'a ClusterState,
    /// What is known here of ended jobs; not all is.
    pub ended: &'a dyn Fn(&str) -> Option<End>,
    /// All specs and statuses.
    pub registry: &'a DeclarationRegistry,
    /// By the steady clock.
    pub now: Instant,
    /// Time of day in ms since 1970. It may step, back as well.
    pub now_ms: u64,
    /// The leader's fencing token.
    pub epoch: u64,
    /// What the platform has handed over.
    pub settings: &'a Settings,
    /// Which window each open job belongs to, worked out when it is first asked for.
    pub jobs_by_window: OnceCell<JobsByWindow>,
    /// Jobs that are over, and how is not known here: the store is asked.
    pub unknown: RefCell<BTreeSet<JobId>>,
}

/// Jobs asked about at once.
const MAX_UNKNOWN_ENDS: usize = 64;

impl DeclarationView<'_> {
    /// Asks how a job ended; a later look may know.
    pub fn ask(&self, id: &JobId) {
        let mut unknown = self.unknown.borrow_mut();
        if unknown.len() < MAX_UNKNOWN_ENDS {
            unknown.insert(id.clone());
        }
    }
}

/// What an operator's verb makes of a spec.
#[derive(Debug)]
pub struct VerbOutcome<S> {
    /// What operators have declared.
    pub spec: S,
    /// A job to be cancelled as its user would, before the spec is written.
    pub cancel: Option<JobId>,
}

/// One kind of declared thing. All of it is pure.
pub trait DeclarationLogic {
    /// Its kind, which names its keys.
    const KIND: DeclarationKind;
    /// What operators declare.
    type Spec: Serialize + DeserializeOwned + Clone + Send + Sync + 'static;
    /// What the leader stores of it.
    type Status: Serialize + DeserializeOwned + Clone + PartialEq + Default + Send + Sync + 'static;

    /// KnownNames the first field that cannot be used.
    fn check_spec(spec: &Self::Spec, names: &KnownNames) -> Result<(), SpecError>;

    /// The same of all specs of this kind together, as they would be.
    fn check_all_specs(all: &BTreeMap<String, Self::Spec>) -> Result<(), SpecError> {
        let _ = all;
        Ok(())
    }

    /// A checked spec as it is written over the one that stands, at a time of day in ms.
    fn spec_to_store(spec: Self::Spec, before: Option<&Self::Spec>, now_ms: u64) -> Self::Spec {
        let _ = (before, now_ms);
        spec
    }

    /// What the status is to be next; none: as it is. Asked again and again, at least each second.
    fn next_status(
        name: &str,
        spec: &Self::Spec,
        status: &Self::Status,
        view: &DeclarationView,
    ) -> Option<Self::Status>;

    /// What it asks of placing, renting, holding and sparing, by what is stored.
    fn add_intents(name: &str, spec: &Self::Spec, status: &Self::Status, view: &DeclarationView, intents: &mut Intents);

    /// Lines for operators.
    fn describe(name: &str, spec: &Self::Spec, status: &Self::Status, now_ms: u64) -> Vec<String>;

    /// Log lines owed for a change of status, told once it is stored.
    fn status_events(name: &str, before: &Self::Status, after: &Self::Status) -> Vec<(Level, String)>;

    /// What a verb of operators (`confirm`, `pause`, `resume`, `back`, `finish`) makes of a spec.
    fn apply_verb(
        verb: &str,
        spec: &Self::Spec,
        status: &Self::Status,
        now_ms: u64,
    ) -> Result<VerbOutcome<Self::Spec>, SpecError> {
        let _ = (spec, status, now_ms);
        Err(SpecError::new("verb", format!("{verb:?} is nothing that can be done with a {}", Self::KIND.word())))
    }
}
