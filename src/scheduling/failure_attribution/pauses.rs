//! Pauses between the tries of faulty jobs and tasks, and between the times at which machines are provisioned for them.

use std::time::{Duration, Instant};

use super::MAX_PROBE_TASKS;

/// Pause before a faulty job or task is tried again; doubled each time, up to [`MAX_RETRY_PAUSE`].
pub(super) const MIN_RETRY_PAUSE: Duration = Duration::from_secs(5);
/// Longest pause before a faulty job or task is tried again.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(60);
/// Pause before machines are provisioned for a faulty job; doubled each time, up to [`MAX_PROVISIONING_PAUSE`].
const MIN_PROVISIONING_PAUSE: Duration = Duration::from_secs(60);
/// Longest pause before machines are provisioned for a faulty job again.
const MAX_PROVISIONING_PAUSE: Duration = Duration::from_secs(3600);
/// Maximum number of times that a pause is doubled.
const MAX_DOUBLINGS: u32 = 8;

/// Returns the pause before the next try, after `failed_rounds` failed tries in a row before this one. The more tasks
/// one try takes, the longer the pause.
pub(super) fn retry_pause(failed_rounds: u32, tasks: usize) -> Duration {
    let tries = tasks.div_ceil(MAX_PROBE_TASKS).clamp(1, 1000) as u32;
    (MIN_RETRY_PAUSE * tries * 2u32.saturating_pow(failed_rounds.min(MAX_DOUBLINGS))).min(MAX_RETRY_PAUSE)
}

/// The pause for which no machine is provisioned for a faulty job. The job may be tried meanwhile where there is room.
#[derive(Debug, Default)]
pub(super) struct ProvisioningPause {
    /// End of the pause; `None` before the first one.
    until: Option<Instant>,
    /// Number of pauses so far.
    pauses: u32,
}

impl ProvisioningPause {
    /// Whether machines may be provisioned for the job now.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Starts the next pause, twice as long as the one before, after a failed try. A try that fails during a pause
    /// changes nothing.
    pub(super) fn record_failed_try(&mut self, now: Instant) {
        if self.is_over(now) {
            let pause = MIN_PROVISIONING_PAUSE * 2u32.saturating_pow(self.pauses.min(MAX_DOUBLINGS));
            self.until = Some(now + pause.min(MAX_PROVISIONING_PAUSE));
            self.pauses += 1;
        }
    }
}
