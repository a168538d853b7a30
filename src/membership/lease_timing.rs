//! How the lease holder's steps share the time of its lease, so that writing an leader record never keeps it from
//! renewing.
//!
//! An leader record that gets no answer in time is written again; repeated without a pause, this would let the lease
//! end. So each try may take a part of the lease only, and a renewal that is due goes next: the lease ends only if
//! renewals themselves are not answered. Pure.

use std::time::Duration;

use super::step::Step;

/// The lease is renewed so many times in its life.
const RENEWALS: u32 = 4;
/// Of a lease's life the part that one leader record may take.
const ASSIGN_PART: u32 = 3;
/// Between two tries, with the part of a short lease that it may take.
const RETRY: Duration = Duration::from_millis(150);
const RETRY_PART: u32 = 20;

/// How long this lease holder's steps may take, by the life of its lease.
#[derive(Debug, Clone, Copy)]
pub(super) struct LeaseTiming {
    pub life: Duration,
}

impl LeaseTiming {
    /// Between two renewals.
    pub fn renew_every(self) -> Duration {
        self.life / RENEWALS
    }

    /// The longest wait for something to do.
    pub fn look_every(self) -> Duration {
        self.renew_every() / 2
    }

    /// An leader record that has got no answer by then is written again.
    pub fn write_timeout(self) -> Duration {
        self.life / ASSIGN_PART
    }

    /// After a step that failed, to be spread by `sync::jitter`.
    pub fn retry(self) -> Duration {
        RETRY.min(self.life / RETRY_PART)
    }
}

/// The step that goes next: a renewal that is due before a second leader record.
pub(super) fn renewal_first(step: Step, wrote_leader_record_last: bool, renew_due: bool) -> Step {
    if step == Step::WriteLeaderRecord && wrote_leader_record_last && renew_due { Step::Renew } else { step }
}

#[cfg(test)]
mod tests;
