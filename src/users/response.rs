//! Responses to users' requests, independent of the web framework.

use super::feasibility::InfeasibleJob;
use crate::protocol::DecodeError;
use crate::protocol::jobs::InvalidField;
use crate::protocol::users::JobAnswer;

/// `Retry-After` of a refusal whose reason should end soon, in seconds.
pub(super) const RETRY_SOON_S: u64 = 1;
/// `Retry-After` of a refusal that lasts until jobs end, in seconds.
pub(super) const RETRY_WHEN_JOBS_END_S: u64 = 15;

/// A response to a user's request.
#[derive(Debug)]
pub(super) enum UserResponse {
    /// 200: the job's status.
    Found(JobAnswer),
    /// 201: the job was accepted.
    Created(JobAnswer),
    /// 400, 404 or 422: the request is refused for good.
    Rejected(RequestError),
    /// 503: the request cannot be answered now; the user is to retry it after `after_s` seconds.
    RetryLater { reason: &'static str, after_s: u64 },
}

impl UserResponse {
    /// 503 with a reason that should end soon.
    pub(super) fn retry_soon(reason: &'static str) -> Self {
        Self::RetryLater { reason, after_s: RETRY_SOON_S }
    }
}

/// Why a request is refused for good. The texts are part of the API.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    #[error("no such job")]
    NoSuchJob,
    #[error("the body cannot be read: {0}")]
    UnreadableBody(#[source] Box<dyn std::error::Error + Send + Sync>),
    #[error(transparent)]
    Malformed(#[from] DecodeError),
    #[error(transparent)]
    InvalidField(#[from] InvalidField),
    #[error("the job is larger than can be kept")]
    JobTooLarge,
    #[error(transparent)]
    Infeasible(#[from] InfeasibleJob),
}

impl RequestError {
    /// The HTTP status that the protocol defines for this error.
    pub(super) fn status(&self) -> u16 {
        match self {
            Self::NoSuchJob => 404,
            Self::UnreadableBody(_) | Self::Malformed(_) | Self::InvalidField(_) | Self::JobTooLarge => 400,
            Self::Infeasible(_) => 422,
        }
    }
}
