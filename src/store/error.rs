//! Errors of calls to the state service. Each says whether the call can still take effect.

use std::sync::Arc;

use crate::protocol::DecodeError;

/// Why a call to the state service has no usable answer, and whether it can still take effect.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone)]
pub enum StoreError {
    /// Refused with this status, or never sent (0): not executed, now or later.
    #[error("the state service refused or could not be reached (status {0})")]
    Unavailable(u16),
    /// No answer in time: executed, not executed, or executed later.
    #[error("the state service did not answer")]
    Unanswered,
    /// An answer with a status that its protocol does not allow for this request.
    #[error("the state service answered {status} to {request}")]
    UnexpectedStatus {
        /// The HTTP status; 0 if the answer was too large to be read.
        status: u16,
        /// What was requested.
        request: &'static str,
    },
    /// An answer whose body cannot be decoded.
    #[error("the state service answered {0}")]
    Undecodable(#[from] UndecodableAnswer),
    /// The watch begins before what the service still keeps, or has more to tell than can be read.
    #[error("the revision is too old to follow")]
    RevisionTooOld,
}

impl StoreError {
    /// Whether the service has answered, but not as its protocol says.
    #[must_use]
    pub fn is_invalid_answer(&self) -> bool {
        matches!(self, Self::UnexpectedStatus { .. } | Self::Undecodable(_))
    }
}

/// Why the body of an answer could not be decoded. Comparable, as [`StoreError`] is: by the message.
#[derive(Debug, thiserror::Error, Clone)]
#[error(transparent)]
pub struct UndecodableAnswer(Arc<DecodeError>);

impl From<DecodeError> for UndecodableAnswer {
    fn from(error: DecodeError) -> Self {
        Self(Arc::new(error))
    }
}

impl PartialEq for UndecodableAnswer {
    fn eq(&self, other: &Self) -> bool {
        self.0.to_string() == other.0.to_string()
    }
}

impl Eq for UndecodableAnswer {}
