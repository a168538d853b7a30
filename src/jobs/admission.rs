//! Admission control: which submissions may wait for their write when more changes are wanted than this controller may
//! write.
//!
//! Each controller has a limited rate of changes, and an acceptance is one change. A submission that would wait for
//! long is refused at once, with a time after which to try again. Those refused first are of classes and teams that
//! have more than an equal part of the waiting submissions, so that a flood of one class or team does not keep others
//! from their answers. Nothing here delays anything.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::JobSpec;

/// Submissions that would be written within this time are admitted, whosever they are: users are
/// promised answers within a second at the least.
const SOON: Duration = Duration::from_millis(800);
/// Past this nobody is admitted: the write itself would be given up.
const LONGEST: Duration = Duration::from_millis(1800);
/// The refused of this long are thought to come again.
const REFUSED_FADE: Duration = Duration::from_secs(10);
/// Latest time to come again, in seconds: users give up after 60 s.
const LATEST_S: f64 = 12.0;

/// What waits at one controller, by class and by team.
#[derive(Debug)]
pub struct Admission {
    waiting: HashMap<String, usize>,
    teams: HashMap<String, usize>,
    all: usize,
    refused: f64,
    refused_at: Instant,
}

/// Of the names that wait, this one included, whether it has more than its part of all.
fn beyond_part(waiting: &HashMap<String, usize>, name: &str, all: usize) -> bool {
    let mine = waiting.get(name).copied().unwrap_or(0);
    let names = waiting.len() + usize::from(mine == 0);
    mine * names >= all.max(1) && mine > 0
}

fn leave(waiting: &mut HashMap<String, usize>, name: &str) {
    if let Some(n) = waiting.get_mut(name) {
        *n -= 1;
        if *n == 0 {
            waiting.remove(name);
        }
    }
}

impl Admission {
    /// Nothing waits yet, and nobody was refused.
    pub fn new(now: Instant) -> Self {
        Self { waiting: HashMap::new(), teams: HashMap::new(), all: 0, refused: 0.0, refused_at: now }
    }

    /// Lets a submission in, to be written after about `wait`, or says after how many seconds to
    /// come again. `per_second` is what can be written; `luck`, from 0 to 1, spreads the refused.
    /// Whoever was admitted has to leave.
    pub fn admit(
        &mut self,
        spec: &JobSpec,
        wait: Duration,
        per_second: f64,
        luck: f64,
        now: Instant,
    ) -> Result<(), u64> {
        let beyond =
            beyond_part(&self.waiting, &spec.class, self.all) || beyond_part(&self.teams, &spec.team, self.all);
        if wait <= SOON || (wait <= LONGEST && !beyond) {
            *self.waiting.entry(spec.class.clone()).or_default() += 1;
            *self.teams.entry(spec.team.clone()).or_default() += 1;
            self.all += 1;
            return Ok(());
        }
        let passed = now.saturating_duration_since(self.refused_at).as_secs_f64();
        self.refused = self.refused * (-passed / REFUSED_FADE.as_secs_f64()).exp() + 1.0;
        self.refused_at = now;
        // Those that were sent away lately need this long to be written; they come spread over it.
        let over_s = (self.refused / per_second.max(0.1)).min(LATEST_S - 1.0);
        Err(1 + (luck.clamp(0.0, 1.0) * over_s).round() as u64)
    }

    /// One that was admitted has its answer.
    pub fn leave(&mut self, spec: &JobSpec) {
        leave(&mut self.waiting, &spec.class);
        leave(&mut self.teams, &spec.team);
        self.all = self.all.saturating_sub(1);
    }

    /// Number of submissions that were admitted and have no answer yet.
    pub fn waiting(&self) -> usize {
        self.all
    }
}

#[cfg(test)]
mod tests;
