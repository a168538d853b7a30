//! Timing of the lease holder's steps within the life of its lease, so that writing the leader record never prevents
//! the renewal of the lease.
//!
//! A write of the leader record that isn't answered in time is retried; retries without a pause would let the lease
//! expire. So each try may take only a share of the lease's life, and a due renewal goes before the next try: the lease
//! expires only if the renewals themselves aren't answered. The functions are pure.

use std::time::Duration;

use super::step::Step;

/// Renewals of a lease within its life.
const RENEWALS_PER_LIFE: u32 = 4;
/// Divisor of the lease's life that gives the timeout of a write of the leader record.
const WRITE_TIMEOUT_DIVISOR: u32 = 3;
/// Upper bound on the pause after a failed step.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Divisor of the lease's life that bounds the same pause for short leases.
const RETRY_PAUSE_DIVISOR: u32 = 20;

/// Intervals and timeouts of the lease holder, derived from the life of its lease.
#[derive(Debug, Clone, Copy)]
pub(super) struct LeaseTiming {
    pub life: Duration,
}

impl LeaseTiming {
    /// Interval between two renewals.
    pub fn renewal_interval(self) -> Duration {
        self.life / RENEWALS_PER_LIFE
    }

    /// Longest time between two checks for a step to take.
    pub fn check_interval(self) -> Duration {
        self.renewal_interval() / 2
    }

    /// Time after which a write of the leader record that isn't answered is retried.
    pub fn write_timeout(self) -> Duration {
        self.life / WRITE_TIMEOUT_DIVISOR
    }

    /// Pause after a failed step, to which the caller applies `sync::jitter`.
    pub fn retry_pause(self) -> Duration {
        MAX_RETRY_PAUSE.min(self.life / RETRY_PAUSE_DIVISOR)
    }
}

/// Replaces a second write of the leader record in a row by a renewal if one is due.
pub(super) fn prefer_due_renewal(step: Step, wrote_leader_record_last: bool, renewal_due: bool) -> Step {
    if step == Step::WriteLeaderRecord && wrote_leader_record_last && renewal_due { Step::Renew } else { step }
}

#[cfg(test)]
mod tests;
