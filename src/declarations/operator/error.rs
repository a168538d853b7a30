//! Errors of operators' verbs.

use crate::declarations::SpecError;
use crate::declarations::records::{DeclarationKind, MAX_SPECS_BYTES};
use crate::jobs::JobId;
use crate::store::StoreError;

/// Why a verb was not carried out. A refused verb has changed nothing.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The request was refused for these reasons.
    #[error("{}", join_lines(.0))]
    Refused(Vec<Refusal>),
    /// There was no definite answer within the operator's timeout.
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

/// A reason why a verb was refused.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// This build does not support the kind.
    #[error("kind: this build carries out no {0}")]
    UnsupportedKind(DeclarationKind),
    /// The text is not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A field is invalid.
    #[error(transparent)]
    Field(#[from] SpecError),
    /// A field of an entry of a list is invalid.
    #[error("{entry}: {source}")]
    Entry {
        /// The entry's name, or its index in brackets.
        entry: String,
        /// The invalid field and the reason.
        source: SpecError,
    },
    /// No declaration has this name.
    #[error("name: no {kind} {name:?} is declared")]
    NotDeclared {
        /// The requested kind.
        kind: DeclarationKind,
        /// The requested name.
        name: String,
    },
    /// The write would exceed the maximum number of declarations of a kind.
    #[error("{kind}: {count} are more than the {} that can be declared", kind.max_count())]
    TooMany {
        /// The kind.
        kind: DeclarationKind,
        /// The number of declarations after the write.
        count: usize,
    },
    /// The write would exceed the maximum total size of the specifications of a kind.
    #[error("{kind}: {bytes} bytes are more than the {MAX_SPECS_BYTES} together")]
    TooLarge {
        /// The kind.
        kind: DeclarationKind,
        /// The total size as JSON, in bytes.
        bytes: usize,
    },
    /// A controller refused to cancel the old job of a rollout.
    #[error("{job}: {node} answered {status} to its withdrawal")]
    CancellationRefused {
        /// The job to cancel.
        job: JobId,
        /// The controller's address.
        node: String,
        /// The HTTP status of the answer.
        status: u16,
    },
}

/// Why there was no definite answer in time.
#[derive(Debug, thiserror::Error)]
pub enum NoAnswer {
    /// The status of a removed declaration of the same name has not been deleted yet.
    #[error("still being removed: {}", .0.join(" "))]
    StillBeingRemoved(Vec<String>),
    /// Every attempt found that others had written these keys in the meantime.
    #[error("written by others again and again: {}", .0.join(" "))]
    Conflicts(Vec<String>),
    /// A controller did not confirm the cancellation of a job.
    #[error("{node} does not withdraw {job}")]
    Cancellation {
        /// The controller's address.
        node: String,
        /// The job to cancel.
        job: JobId,
    },
    /// The state service gave no usable answer.
    #[error("{endpoint}: {source}")]
    StateService {
        /// The address of the state service.
        endpoint: String,
        /// The last error.
        source: StoreError,
    },
}
