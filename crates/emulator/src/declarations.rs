//! Checks of declared windows and heat rules, based only on the statuses that the controllers stored.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use hollylanding_protocol::jobs::{JobId, JobSpec};
use serde_json::Value;

/// A window may end this much later than it closes.
const ENDS_WITHIN_MS: u64 = 30_000;
/// A stored turn may be observed this much later than it was stored.
const SEEN_WITHIN: Duration = Duration::from_millis(500);
/// Tasks of others that begin ahead of vents that wait, before these count as passed over: a rule takes
/// only a part of all cores, and a large job of its own needs room together.
const MAX_AHEAD: u32 = 24;

#[derive(Debug, Default)]
struct WindowInstance {
    closes_ms: u64,
    end: Option<Value>,
    /// Who has which turn, and when each had come.
    turns: BTreeMap<u64, (JobId, Option<Duration>)>,
}

#[derive(Debug, Default)]
pub struct DeclarationRules {
    /// By window and day.
    windows: BTreeMap<(String, i64), WindowInstance>,
    /// Classes and teams of rules that are on.
    hot: HashMap<String, (Value, Value)>,
    /// Vents that wait, and how much of others has begun since while it was hot.
    passed: HashMap<JobId, u32>,
}

fn has(names: &Value, name: &str) -> bool {
    names.as_array().is_some_and(|names| names.iter().any(|n| n == name))
}

impl DeclarationRules {
    /// A status was stored. What is wrong with it.
    pub fn stored(&mut self, at: Duration, kind: &str, name: &str, spec: &Value, status: &Value) -> Vec<String> {
        match kind {
            "window" => self.window(at, name, status),
            "heat" if status["on"] == true => {
                self.hot.insert(name.to_owned(), (spec["classes"].clone(), spec["teams"].clone()));
                vec![]
            }
            "heat" => {
                self.hot.remove(name);
                self.passed.clear();
                vec![]
            }
            _ => vec![],
        }
    }

    fn window(&mut self, at: Duration, name: &str, status: &Value) -> Vec<String> {
        let mut wrong = Vec::new();
        let key = |of: &Value| Some((name.to_owned(), of["day"].as_i64()?));
        let missed = status["missed"].as_array().into_iter().flatten();
        for ended in missed.chain(Some(&status["last"])) {
            let Some(key) = key(ended) else { continue };
            let end = self.windows.entry(key).or_default().end.get_or_insert_with(|| ended["outcome"].clone());
            if *end != ended["outcome"] {
                wrong.push(format!("{name} ended as {end} and as {}", ended["outcome"]));
            }
        }
        let current = &status["current"];
        let Some(key) = key(current) else { return wrong };
        let instance = self.windows.entry(key).or_default();
        if instance.end.is_some() {
            wrong.push(format!("{name} goes on after its end"));
        }
        instance.closes_ms = current["closes_ms"].as_u64().unwrap_or(0);
        for claim in current["claims"].as_array().into_iter().flatten() {
            let (Some(job), Some(turn)) = (claim["job"].as_str(), claim["turn"].as_u64()) else { continue };
            let (first, come) = instance.turns.entry(turn).or_insert_with(|| (job.into(), None));
            if **first != *job {
                wrong.push(format!("{name}: turn {turn} was given to {first} and to {job}"));
            }
            if current["turn"].as_u64().unwrap_or(0) >= turn {
                come.get_or_insert(at);
            }
        }
        wrong
    }

    /// A task of a job has begun while these wait. Which of them were passed over.
    pub fn begins<'a>(&mut self, spec: &JobSpec, waiting: impl Iterator<Item = &'a JobSpec>) -> Vec<JobId> {
        let vents =
            |s: &JobSpec| self.hot.values().any(|(classes, teams)| has(classes, &s.class) || has(teams, &s.team));
        self.passed.remove(&spec.id);
        if self.hot.is_empty() || vents(spec) {
            return vec![];
        }
        let ahead = |s: &&JobSpec| s.urgency == spec.urgency && s.cpus <= spec.cpus && s.memory_gb <= spec.memory_gb;
        let waits: Vec<JobId> = waiting.filter(|s| vents(s)).filter(ahead).map(|s| s.id.clone()).collect();
        let count = |job: &JobId| {
            let passed = self.passed.entry(job.clone()).or_default();
            *passed += 1;
            *passed == MAX_AHEAD
        };
        waits.into_iter().filter(count).collect()
    }

    /// What is wrong when all is over: `begun` tells when a job first ran.
    pub fn close(&self, end_ms: u64, begun: impl Fn(&JobId) -> Option<Duration>) -> Vec<String> {
        let mut wrong = Vec::new();
        for ((name, day), window) in &self.windows {
            if window.end.is_none() && window.closes_ms + ENDS_WITHIN_MS < end_ms {
                wrong.push(format!("{name} of day {day} never ended"));
            }
            for (turn, (job, come)) in &window.turns {
                if begun(job).is_some_and(|at| come.is_none_or(|come| at + SEEN_WITHIN < come)) {
                    wrong.push(format!("{name}: {job} ran before turn {turn} had come"));
                }
            }
        }
        wrong
    }
}

#[cfg(test)]
mod tests;
