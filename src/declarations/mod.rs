//! Declarations: desired state that operators declare and controllers carry out.
//!
//! A spec is written by operators only, a status by the leader only: conditional on its leader record, on the spec's
//! version and on the status's own. A successor reads both and continues from there, at any point. Nothing acts on a
//! status before it is stored: the intents that placement, provisioning and scale-in follow (`scheduling::intents`)
//! derive from statuses as the watch cache has them, the cluster state and the time.

pub mod context;
pub mod driver;
pub mod events;
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

use crate::calendar::JobsByWindow;
use crate::jobs::{End, JobId};
use crate::scheduling::ClusterState;
use crate::scheduling::intents::Intents;
use crate::settings::{Params, Settings, Team};

pub use events::{DeclarationEvent, NoEvent, StatusEvent};
pub use records::DeclarationKind;
pub use registry::{DeclarationRegistry, NamedSpec, Versioned};

/// A field of a spec that cannot be used, and why. Shown as `FIELD: REASON`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct SpecError {
    /// The field's name.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

impl SpecError {
    /// A field and what is wrong with it.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { field: field.into(), reason: reason.into() }
    }

    /// A verb that this kind does not have.
    pub fn unknown_verb(verb: &str, kind: DeclarationKind) -> Self {
        Self::new("verb", format!("{verb:?} is nothing that can be done with a {kind}"))
    }
}

/// The names in the settings that a spec may refer to, for checks without any I/O.
pub struct KnownNames<'a> {
    /// The teams.
    pub teams: &'a [Team],
    /// The classes that the objectives name.
    pub classes: Vec<&'a str>,
    /// The zones.
    pub zones: &'a [String],
    /// All parameters.
    pub params: &'a Params,
}

impl<'a> KnownNames<'a> {
    /// The names in these settings.
    pub fn from_settings(settings: &'a Settings) -> Self {
        let params = &settings.params;
        let mut classes: Vec<&str> = params.objectives.iter().map(|o| o.class.as_str()).collect();
        classes.retain(|class| !class.is_empty());
        classes.sort_unstable();
        classes.dedup();
        Self { teams: &params.teams, classes, zones: &params.zones, params }
    }
}

/// State and time: the whole input of a decision about a declaration.
pub struct DeclarationView<'a> {
    /// The leader's cluster state.
    pub cluster: &'a ClusterState,
    /// How jobs ended, as far as this controller knows.
    pub job_end: &'a dyn Fn(&str) -> Option<End>,
    /// All specs and statuses.
    pub registry: &'a DeclarationRegistry,
    /// The monotonic time.
    pub now: Instant,
    /// Time of day in ms since 1970. It may step, also backwards.
    pub now_ms: u64,
    /// The leader's fencing token.
    pub fencing_token: u64,
    /// The settings.
    pub settings: &'a Settings,
    /// Which window each open job belongs to, computed when it is first used.
    pub jobs_by_window: OnceCell<JobsByWindow>,
    /// Jobs that have ended in a way that is not known here: the store is queried for them.
    pub unknown_ends: RefCell<BTreeSet<JobId>>,
}

/// Jobs whose ends are queried at once.
const MAX_UNKNOWN_ENDS: usize = 64;

impl DeclarationView<'_> {
    /// Asks the store how a job ended; a later evaluation may know.
    pub fn query_job_end(&self, id: &JobId) {
        let mut unknown_ends = self.unknown_ends.borrow_mut();
        if unknown_ends.len() < MAX_UNKNOWN_ENDS {
            unknown_ends.insert(id.clone());
        }
    }
}

/// What a verb makes of a spec.
#[derive(Debug)]
pub struct VerbOutcome<S> {
    /// The spec to be written.
    pub spec: S,
    /// A job to be cancelled as its user would, before the spec is written.
    pub cancel: Option<JobId>,
}

/// The decisions of one kind of declaration. All of it is free of I/O.
pub trait DeclarationLogic {
    /// The kind, which names its keys.
    const KIND: DeclarationKind;
    /// What operators declare.
    type Spec: Serialize + DeserializeOwned + Clone + Send + Sync + 'static;
    /// What the leader stores of it.
    type Status: Serialize + DeserializeOwned + Clone + PartialEq + Default + Send + Sync + 'static;
    /// What is logged of its changes.
    type Event: StatusEvent + 'static;

    /// Checks one spec.
    ///
    /// # Errors
    /// Names the first field that cannot be used.
    fn check_spec(spec: &Self::Spec, names: &KnownNames) -> Result<(), SpecError>;

    /// Checks all specs of this kind together, as they would be after a write.
    ///
    /// # Errors
    /// Names the first field that cannot be used.
    fn check_all_specs(all: &BTreeMap<String, Self::Spec>) -> Result<(), SpecError> {
        let _ = all;
        Ok(())
    }

    /// A checked spec as it is written over the present one, at a time of day in ms.
    fn spec_to_store(spec: Self::Spec, before: Option<&Self::Spec>, now_ms: u64) -> Self::Spec {
        let _ = (before, now_ms);
        spec
    }

    /// The next status; none if it stays as it is. Called at least each second.
    fn next_status(
        name: &str,
        spec: &Self::Spec,
        status: &Self::Status,
        view: &DeclarationView,
    ) -> Option<Self::Status>;

    /// Adds what follows from the stored status for placement, provisioning, holding back and scale-in.
    fn add_intents(name: &str, spec: &Self::Spec, status: &Self::Status, view: &DeclarationView, intents: &mut Intents);

    /// Describes spec and status in lines for operators.
    fn describe(name: &str, spec: &Self::Spec, status: &Self::Status, now_ms: u64) -> Vec<String>;

    /// The events of a change of status, to be logged once it is stored.
    fn status_events(before: &Self::Status, after: &Self::Status) -> Vec<Self::Event>;

    /// Applies an operators' verb (`confirm`, `pause`, `resume`, `back`, `finish`) to a spec.
    ///
    /// # Errors
    /// Names why the verb cannot be applied.
    fn apply_verb(
        verb: &str,
        spec: &Self::Spec,
        status: &Self::Status,
        now_ms: u64,
    ) -> Result<VerbOutcome<Self::Spec>, SpecError> {
        let _ = (spec, status, now_ms);
        Err(SpecError::unknown_verb(verb, Self::KIND))
    }
}
