//! Rules for declared windows and heat rules, checked only against the statuses that the controllers stored.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hollylanding_protocol::jobs::{JobId, JobSpec};
use serde_json::Value;

/// Maximum time from a window's closing time to its end, in milliseconds.
const MAX_END_DELAY_MS: u64 = 30_000;
/// Maximum time from the storing of a turn until it is observed.
const MAX_OBSERVATION_DELAY: Duration = Duration::from_millis(500);
/// Number of starts of other jobs' tasks after which a waiting prioritized job counts as passed over. Some starts are
/// permitted, since a heat rule takes only a part of all cores, and a large prioritized job needs its room all at once.
const MAX_STARTS_AHEAD: u32 = 24;

/// A window on one day.
#[derive(Debug, Default)]
struct WindowInstance {
    closes_ms: u64,
    end: Option<Value>,
    /// The job of each turn, and when the turn was first observed to have come.
    turns: BTreeMap<u64, (JobId, Option<Duration>)>,
}

/// The state of the rules for declared objects.
#[derive(Debug, Default)]
pub struct DeclarationRules {
    /// Windows by name and day.
    windows: BTreeMap<(String, i64), WindowInstance>,
    /// Classes and teams of the heat rules that are on, by the rule's name.
    active_rules: HashMap<String, (Value, Value)>,
    /// Waiting prioritized jobs, with the number of starts of other jobs' tasks while a heat rule was on.
    starts_ahead: HashMap<JobId, u32>,
}

/// Whether a JSON array contains a name.
fn contains_name(names: &Value, name: &str) -> bool {
    names.as_array().is_some_and(|names| names.iter().any(|n| n == name))
}

impl DeclarationRules {
    /// Checks a stored status of a declared object. Returns descriptions of the violations.
    pub fn check_status(&mut self, at: Duration, kind: &str, name: &str, spec: &Value, status: &Value) -> Vec<String> {
        match kind {
            "window" => self.check_window(at, name, status),
            "heat" if status["on"] == true => {
                self.active_rules.insert(name.to_owned(), (spec["classes"].clone(), spec["teams"].clone()));
                vec![]
            }
            "heat" => {
                self.active_rules.remove(name);
                self.starts_ahead.clear();
                vec![]
            }
            _ => vec![],
        }
    }

    /// Checks a stored status of a window.
    fn check_window(&mut self, at: Duration, name: &str, status: &Value) -> Vec<String> {
        let mut violations = Vec::new();
        let key = |value: &Value| Some((name.to_owned(), value["day"].as_i64()?));
        let missed = status["missed"].as_array().into_iter().flatten();
        for ended in missed.chain(Some(&status["last"])) {
            let Some(key) = key(ended) else { continue };
            let end = self.windows.entry(key).or_default().end.get_or_insert_with(|| ended["outcome"].clone());
            if *end != ended["outcome"] {
                violations.push(format!("{name} ended as {end} and as {}", ended["outcome"]));
            }
        }
        let current = &status["current"];
        let Some(key) = key(current) else { return violations };
        let instance = self.windows.entry(key).or_default();
        if instance.end.is_some() {
            violations.push(format!("{name} goes on after its end"));
        }
        instance.closes_ms = current["closes_ms"].as_u64().unwrap_or(0);
        for claim in current["claims"].as_array().into_iter().flatten() {
            let (Some(job), Some(turn)) = (claim["job"].as_str(), claim["turn"].as_u64()) else { continue };
            let (first, came_at) = instance.turns.entry(turn).or_insert_with(|| (job.into(), None));
            if **first != *job {
                violations.push(format!("{name}: turn {turn} was given to {first} and to {job}"));
            }
            if current["turn"].as_u64().unwrap_or(0) >= turn {
                came_at.get_or_insert(at);
            }
        }
        violations
    }

    /// Processes the start of a job's task while other jobs wait. Returns the jobs that count as passed over now.
    pub fn check_start<'a>(&mut self, spec: &JobSpec, waiting: impl Iterator<Item = &'a JobSpec>) -> Vec<JobId> {
        let is_prioritized = |s: &JobSpec| {
            self.active_rules
                .values()
                .any(|(classes, teams)| contains_name(classes, &s.class) || contains_name(teams, &s.team))
        };
        self.starts_ahead.remove(&spec.id);
        if self.active_rules.is_empty() || is_prioritized(spec) {
            return vec![];
        }
        let fits_instead =
            |s: &&JobSpec| s.urgency == spec.urgency && s.cpus <= spec.cpus && s.memory_gb <= spec.memory_gb;
        let waiting: Vec<JobId> =
            waiting.filter(|s| is_prioritized(s)).filter(fits_instead).map(|s| s.id.clone()).collect();
        let reaches_limit = |job: &JobId| {
            let starts = self.starts_ahead.entry(job.clone()).or_default();
            *starts += 1;
            *starts == MAX_STARTS_AHEAD
        };
        waiting.into_iter().filter(reaches_limit).collect()
    }

    /// Checks the rules for the end of the history. `start_time` returns when a job started. Returns descriptions of
    /// the violations.
    pub fn check_end(&self, end_ms: u64, start_time: impl Fn(&JobId) -> Option<Duration>) -> Vec<String> {
        let mut violations = Vec::new();
        for ((name, day), window) in &self.windows {
            if window.end.is_none() && window.closes_ms + MAX_END_DELAY_MS < end_ms {
                violations.push(format!("{name} of day {day} never ended"));
            }
            for (turn, (job, came_at)) in &window.turns {
                if start_time(job).is_some_and(|at| came_at.is_none_or(|came_at| at + MAX_OBSERVATION_DELAY < came_at))
                {
                    violations.push(format!("{name}: {job} ran before turn {turn} had come"));
                }
            }
        }
        violations
    }
}

#[cfg(test)]
mod tests;
