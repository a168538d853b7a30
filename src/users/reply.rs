//! Answers to users, without the framework.

use crate::wire::users::JobAnswer;

/// When to come again, after a refusal that should soon be over, in seconds.
pub(super) const COME_AGAIN_S: u64 = 1;
/// The same where work has to end first.
pub(super) const COME_AGAIN_LATER_S: u64 = 15;

/// An answer to a user, without the framework.
pub(super) enum Reply {
    Job(u16, JobAnswer),
    Problem(u16, String),
    /// 503: what cannot be answered now, and after how many seconds to come again.
    Later(String, u64),
}

impl Reply {
    pub(super) fn later(why: &str) -> Self {
        Self::Later(why.to_owned(), COME_AGAIN_S)
    }
}
