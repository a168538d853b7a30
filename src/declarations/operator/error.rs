//! Why an operator's verb was not carried out.

use crate::declarations::SpecError;
use crate::declarations::records::{DeclarationKind, MAX_SPECS_BYTES};
use crate::jobs::JobId;
use crate::store::StoreError;

/// Why a verb was not carried out. What was refused has left nothing behind.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The request is refused, for these reasons.
    #[error("{}", join_lines(.0))]
    Refused(Vec<Refusal>),
    /// There was no definite answer for as long as the operator waits.
    #[error(transparent)]
    NoAnswer(#[from] NoAnswer),
}

fn join_lines(refusals: &[Refusal]) -> String {
    refusals.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

impl From<Refusal> for OperatorError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(vec![refusal])
    }
}

impl From<SpecError> for OperatorError {
    fn from(error: SpecError) -> Self {
        Refusal::from(error).into()
    }
}

/// A reason to refuse a verb.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// The kind is known to another build.
    #[error("kind: this build carries out no {0}")]
    UnsupportedKind(DeclarationKind),
    /// The text is no JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field cannot be used.
    #[error(transparent)]
    Field(#[from] SpecError),
    /// A field of an entry of a list cannot be used.
    #[error("{entry}: {source}")]
    Entry {
        /// The entry's name, or its index in brackets.
        entry: String,
        /// What is wrong.
        source: SpecError,
    },
    /// There is no declaration of this name.
    #[error("name: no {kind} {name:?} is declared")]
    NotDeclared {
        /// The kind asked for.
        kind: DeclarationKind,
        /// The name asked for.
        name: String,
    },
    /// There would be too many of a kind.
    #[error("{kind}: {count} are more than the {} that can be declared", kind.max_count())]
    TooMany {
        /// The kind.
        kind: DeclarationKind,
        /// How many there would be.
        count: usize,
    },
    /// All specs of the kind would be too large together.
    #[error("{kind}: {bytes} bytes are more than the {MAX_SPECS_BYTES} together")]
    TooLarge {
        /// The kind.
        kind: DeclarationKind,
        /// Their size as JSON.
        bytes: usize,
    },
    /// A controller refused to cancel the old job of a rollout.
    #[error("{job}: {node} answered {status} to its withdrawal")]
    CancellationRefused {
        /// The job.
        job: JobId,
        /// The controller's address.
        node: String,
        /// The HTTP status that it answered.
        status: u16,
    },
}

/// What did not answer in time.
#[derive(Debug, thiserror::Error)]
pub enum NoAnswer {
    /// The status of a removed declaration of the same name is still there.
    #[error("still being removed: {}", .0.join(" "))]
    StillBeingRemoved(Vec<String>),
    /// Each attempt found that these keys had been written meanwhile.
    #[error("written by others again and again: {}", .0.join(" "))]
    Conflicts(Vec<String>),
    /// A controller does not answer to the cancellation of a job.
    #[error("{node} does not withdraw {job}")]
    Cancellation {
        /// The controller's address.
        node: String,
        /// The job.
        job: JobId,
    },
    /// The state service has no usable answer.
    #[error("{endpoint}: {source}")]
    StateService {
        /// Its address.
        endpoint: String,
        /// The last error.
        source: StoreError,
    },
}
