//! Admission control: decides which submissions may wait for their write when more changes are requested than this
//! controller may write.
//!
//! Each controller may write changes at a limited rate, and accepting a job is one change. A submission that would wait
//! too long is refused at once, with a time after which to retry. Classes and teams that hold at least an equal share of
//! the waiting submissions are refused first, so that a flood from one class or team does not keep others from their
//! answers. Admission control itself delays nothing.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::JobSpec;

/// Submissions that would be written within this time are admitted whatever the share of their class and team: users
/// are promised an answer within a second at the least.
const UNCONDITIONAL_WAIT: Duration = Duration::from_millis(800);
/// Longest expected wait with which a submission is admitted: after a longer one the write itself would be abandoned.
const MAX_WAIT: Duration = Duration::from_millis(1800);
/// Time constant of the decaying count of refusals: users who were refused within this time are expected to retry.
const REFUSAL_DECAY_TIME: Duration = Duration::from_secs(10);
/// Longest time after which a refused user is told to retry, in seconds. Users give up after 60 s.
const MAX_RETRY_AFTER_S: f64 = 12.0;

/// Admission control of one controller: counts the waiting submissions by class and by team.
#[derive(Debug)]
pub struct Admission {
    class_counts: HashMap<String, usize>,
    team_counts: HashMap<String, usize>,
    waiting: usize,
    /// Number of refusals, decaying exponentially with [`REFUSAL_DECAY_TIME`], as of `last_refusal`.
    recent_refusals: f64,
    last_refusal: Instant,
}

/// Whether this name has submissions waiting and holds at least an equal share of all waiting ones. `counts` has the
/// number of waiting submissions by name; the shares are equal parts among its names, including this one.
fn has_full_share(counts: &HashMap<String, usize>, name: &str, waiting: usize) -> bool {
    let own = counts.get(name).copied().unwrap_or(0);
    let names = counts.len() + usize::from(own == 0);
    own * names >= waiting.max(1) && own > 0
}

/// Takes one submission from the count of this name, and removes a count that reaches zero.
fn decrement(counts: &mut HashMap<String, usize>, name: &str) {
    if let Some(count) = counts.get_mut(name) {
        *count -= 1;
        if *count == 0 {
            counts.remove(name);
        }
    }
}

impl Admission {
    /// Creates admission control without waiting submissions and without earlier refusals.
    pub fn new(now: Instant) -> Self {
        Self {
            class_counts: HashMap::new(),
            team_counts: HashMap::new(),
            waiting: 0,
            recent_refusals: 0.0,
            last_refusal: now,
        }
    }

    /// Admits a submission that would be written after about `wait`. Each admitted submission has to be released
    /// ([`Admission::release`]).
    ///
    /// `per_second` is the number of changes that can be written per second; `jitter`, from 0 to 1, spreads the retries.
    ///
    /// # Errors
    ///
    /// The submission is refused; the error is the number of seconds after which to retry.
    pub fn admit(
        &mut self,
        spec: &JobSpec,
        wait: Duration,
        per_second: f64,
        jitter: f64,
        now: Instant,
    ) -> Result<(), u64> {
        let full_share = has_full_share(&self.class_counts, &spec.class, self.waiting)
            || has_full_share(&self.team_counts, &spec.team, self.waiting);
        if wait <= UNCONDITIONAL_WAIT || (wait <= MAX_WAIT && !full_share) {
            *self.class_counts.entry(spec.class.clone()).or_default() += 1;
            *self.team_counts.entry(spec.team.clone()).or_default() += 1;
            self.waiting += 1;
            return Ok(());
        }
        let elapsed_s = now.saturating_duration_since(self.last_refusal).as_secs_f64();
        self.recent_refusals = self.recent_refusals * (-elapsed_s / REFUSAL_DECAY_TIME.as_secs_f64()).exp() + 1.0;
        self.last_refusal = now;
        // Writing all recently refused submissions takes this long, so their retries are spread over it.
        let spread_s = (self.recent_refusals / per_second.max(0.1)).min(MAX_RETRY_AFTER_S - 1.0);
        Err(1 + (jitter.clamp(0.0, 1.0) * spread_s).round() as u64)
    }

    /// Stops counting an admitted submission, once its request has ended.
    pub fn release(&mut self, spec: &JobSpec) {
        decrement(&mut self.class_counts, &spec.class);
        decrement(&mut self.team_counts, &spec.team);
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Number of admitted submissions that are not answered yet.
    pub fn waiting_count(&self) -> usize {
        self.waiting
    }
}

#[cfg(test)]
mod tests;
