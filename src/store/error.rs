//! Errors of calls to the state service. Each variant says whether the call can still take effect.

use std::sync::Arc;

use super::transaction_limits::TransactionSize;
use crate::protocol::DecodeError;

/// Why a call to the state service has no usable response, and whether it can still take effect.
#[derive(Debug, thiserror::Error, PartialEq, Eq, Clone)]
pub enum StoreError {
    /// The request was refused with this HTTP status, or never sent (0): it is not executed, now or later.
    #[error("the state service refused the request or could not be reached (status {0})")]
    Unavailable(u16),
    /// The transaction is larger than the service allows, and was refused, or not sent since it would be: it is not
    /// executed, now or later. Sent again unchanged, it would be refused again.
    #[error(
        "the state service does not take a transaction as large as this one ({} conditions, {} changes, {} bytes under {})",
        .0.conditions, .0.changes, .0.largest_value_bytes, .0.largest_key
    )]
    TooLarge(Box<TransactionSize>),
    /// The response did not arrive in time: the request was executed, was not executed, or is executed later.
    #[error("the state service did not answer in time")]
    Unanswered,
    /// The response has a status that the protocol does not allow for this request.
    #[error("the state service answered {request} with unexpected status {status}")]
    UnexpectedStatus {
        /// The HTTP status; 0 if the response was too large to be read.
        status: u16,
        /// The kind of request, for the message.
        request: &'static str,
    },
    /// The body of the response cannot be decoded.
    #[error("undecodable response of the state service: {0}")]
    Undecodable(#[from] UndecodableResponse),
    /// The watch begins before the oldest revision that the service still keeps, or its response is too large to be
    /// read.
    #[error("the revision is too old to watch from")]
    RevisionTooOld,
}

impl StoreError {
    /// Returns whether the same request would fail in the same way again: the service answered in violation of its
    /// protocol, or does not take a transaction of this size.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(self, Self::UnexpectedStatus { .. } | Self::Undecodable(_) | Self::TooLarge(_))
    }
}

/// Why the body of a response could not be decoded. Two of them are equal if their messages are, so that [`StoreError`]
/// is comparable.
#[derive(Debug, thiserror::Error, Clone)]
#[error(transparent)]
pub struct UndecodableResponse(Arc<DecodeError>);

impl From<DecodeError> for UndecodableResponse {
    fn from(error: DecodeError) -> Self {
        Self(Arc::new(error))
    }
}

impl PartialEq for UndecodableResponse {
    fn eq(&self, other: &Self) -> bool {
        self.0.to_string() == other.0.to_string()
    }
}

impl Eq for UndecodableResponse {}
