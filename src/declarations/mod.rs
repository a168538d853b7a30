//! Declarations: desired state that operators declare and that the leader reconciles.
//!
//! Only operators write specifications and only the leader writes statuses. A status write is a compare-and-swap on the
//! leader record, the version of the specification and the version of the status. A successor reads both and continues
//! from there, at any point. Nothing acts on a status before it is stored: the intents that placement, provisioning and
//! scale-in follow (`scheduling::intents`) are derived from the statuses in the watch cache, the cluster state and the
//! time.

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

/// Validation error of one field of a specification. Displayed as `FIELD: REASON`.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct SpecError {
    /// The name of the invalid field.
    pub field: String,
    /// Why the value of the field is invalid.
    pub reason: String,
}

impl SpecError {
    /// Creates the error for a field and a reason.
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self { field: field.into(), reason: reason.into() }
    }

    /// Creates the error for a verb that a kind does not support.
    pub fn unknown_verb(verb: &str, kind: DeclarationKind) -> Self {
        Self::new("verb", format!("{verb:?} is nothing that can be done with a {kind}"))
    }
}

/// The names in the settings that a specification may refer to, for validation without I/O.
pub struct KnownNames<'a> {
    /// The configured teams.
    pub teams: &'a [Team],
    /// The job classes that the objectives name, sorted and without duplicates.
    pub classes: Vec<&'a str>,
    /// The configured zones.
    pub zones: &'a [String],
    /// All parameters of the settings.
    pub params: &'a Params,
}

impl<'a> KnownNames<'a> {
    /// Collects the names from the settings.
    pub fn from_settings(settings: &'a Settings) -> Self {
        let params = &settings.params;
        let mut classes: Vec<&str> = params.objectives.iter().map(|o| o.class.as_str()).collect();
        classes.retain(|class| !class.is_empty());
        classes.sort_unstable();
        classes.dedup();
        Self { teams: &params.teams, classes, zones: &params.zones, params }
    }
}

/// The whole input of a decision about a declaration: the state and the time.
pub struct DeclarationView<'a> {
    /// The leader's cluster state.
    pub cluster: &'a ClusterState,
    /// Looks up how a job ended, as far as this controller knows.
    pub job_end: &'a dyn Fn(&str) -> Option<End>,
    /// All stored specifications and statuses.
    pub registry: &'a DeclarationRegistry,
    /// The current monotonic time.
    pub now: Instant,
    /// Wall-clock time in ms since the Unix epoch. It may step, also backwards.
    pub now_ms: u64,
    /// The leader's fencing token.
    pub fencing_token: u64,
    /// The leader's settings.
    pub settings: &'a Settings,
    /// The planning window of each open job, computed on first use.
    pub jobs_by_window: OnceCell<JobsByWindow>,
    /// Jobs that have ended but whose outcome this controller does not know; the store is queried for them.
    pub unknown_ends: RefCell<BTreeSet<JobId>>,
}

/// Maximum number of jobs whose ends one evaluation queries.
const MAX_UNKNOWN_ENDS: usize = 64;

impl DeclarationView<'_> {
    /// Requests a query of how a job ended; a later evaluation may have the answer.
    pub fn query_job_end(&self, id: &JobId) {
        let mut unknown_ends = self.unknown_ends.borrow_mut();
        if unknown_ends.len() < MAX_UNKNOWN_ENDS {
            unknown_ends.insert(id.clone());
        }
    }
}

/// The result of applying an operator's verb to a specification.
#[derive(Debug)]
pub struct VerbOutcome<S> {
    /// The specification to write.
    pub spec: S,
    /// A job to cancel, through the same request as its user's, before the specification is written.
    pub cancel: Option<JobId>,
}

/// The logic of one kind of declaration. No method performs I/O.
pub trait DeclarationLogic {
    /// The kind, which is part of the store keys.
    const KIND: DeclarationKind;
    /// The specification that operators declare.
    type Spec: Serialize + DeserializeOwned + Clone + Send + Sync + 'static;
    /// The status that the leader stores.
    type Status: Serialize + DeserializeOwned + Clone + PartialEq + Default + Send + Sync + 'static;
    /// The event that is logged for a change of status.
    type Event: StatusEvent + 'static;

    /// Validates one specification.
    ///
    /// # Errors
    /// Returns the first invalid field.
    fn check_spec(spec: &Self::Spec, names: &KnownNames) -> Result<(), SpecError>;

    /// Validates all specifications of this kind together, as they would be after a write.
    ///
    /// # Errors
    /// Returns the first invalid field.
    fn check_all_specs(all: &BTreeMap<String, Self::Spec>) -> Result<(), SpecError> {
        let _ = all;
        Ok(())
    }

    /// Returns the specification to store for a validated one that replaces `before`, at wall-clock time `now_ms`.
    fn spec_to_store(spec: Self::Spec, before: Option<&Self::Spec>, now_ms: u64) -> Self::Spec {
        let _ = (before, now_ms);
        spec
    }

    /// Returns the next status, or `None` if the status is unchanged. Called at least once per second.
    fn next_status(
        name: &str,
        spec: &Self::Spec,
        status: &Self::Status,
        view: &DeclarationView,
    ) -> Option<Self::Status>;

    /// Adds the intents for placement, provisioning, deferring jobs and scale-in that follow from the stored status.
    fn add_intents(name: &str, spec: &Self::Spec, status: &Self::Status, view: &DeclarationView, intents: &mut Intents);

    /// Describes the specification and the status in lines for operators.
    fn describe(name: &str, spec: &Self::Spec, status: &Self::Status, now_ms: u64) -> Vec<String>;

    /// Returns the events of a change of status, to be logged once the change is stored.
    fn status_events(before: &Self::Status, after: &Self::Status) -> Vec<Self::Event>;

    /// Applies an operator's verb (`confirm`, `pause`, `resume`, `back`, `finish`) to a specification.
    ///
    /// # Errors
    /// Returns the reason why the verb cannot be applied.
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
