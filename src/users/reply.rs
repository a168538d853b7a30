//! Answers to users, independent of the web framework.

use super::feasibility::Impossible;
use crate::protocol::DecodeError;
use crate::protocol::jobs::InvalidField;
use crate::protocol::users::JobAnswer;

/// When to come again, after a refusal that should soon be over, in seconds.
pub(super) const COME_AGAIN_S: u64 = 1;
/// The same where work has to end first.
pub(super) const COME_AGAIN_LATER_S: u64 = 15;

/// An answer to a user.
#[derive(Debug)]
pub(super) enum Reply {
    /// What a job is, with 200 or 201.
    Job(u16, JobAnswer),
    Refused(Refusal),
    /// 503: what cannot be answered now, and after how many seconds to come again.
    Later {
        why: &'static str,
        after_s: u64,
    },
}

impl Reply {
    /// 503, where the reason should soon be over.
    pub(super) fn later(why: &'static str) -> Self {
        Self::Later { why, after_s: COME_AGAIN_S }
    }
}

/// Why a request is refused for good.
#[derive(Debug, thiserror::Error)]
pub(super) enum Refusal {
    #[error("no such job")]
    NoSuchJob,
    #[error("the body cannot be read: {0}")]
    Unreadable(String),
    #[error(transparent)]
    Malformed(#[from] DecodeError),
    #[error(transparent)]
    Invalid(#[from] InvalidField),
    #[error("the job is larger than can be kept")]
    TooLarge,
    #[error(transparent)]
    Impossible(#[from] Impossible),
}

impl Refusal {
    /// The status that the protocol gives it.
    pub(super) fn status(&self) -> u16 {
        match self {
            Self::NoSuchJob => 404,
            Self::Unreadable(_) | Self::Malformed(_) | Self::Invalid(_) | Self::TooLarge => 400,
            Self::Impossible(_) => 422,
        }
    }
}
