//! The result of judging a history.

use std::collections::BTreeSet;
use std::time::Duration;

use hollylanding_protocol::workers::TaskKey;

use super::Rule;

/// Time after the acceptance within which the largest jobs have to start.
pub const BEGIN_WITHIN: Duration = Duration::from_secs(240);
/// The largest jobs of a class are this part of it: one of so many.
const LARGEST_DIVISOR: usize = 10;

/// A broken rule.
#[derive(Debug, Clone)]
pub struct Break {
    /// The rule.
    pub rule: Rule,
    /// Time since the world began.
    pub at: Duration,
    /// A description of what broke it.
    pub what: String,
    /// The last events of the job until then, one a line.
    pub history: Vec<String>,
}

/// The outcome of a class's largest jobs: its top tenth by number of tasks, more where sizes are equal.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct LargestJobs {
    /// The class.
    pub class: String,
    /// Number of these jobs.
    pub jobs: usize,
    /// Number of them that are done.
    pub done: usize,
    /// Number of them that started within [`BEGIN_WITHIN`] of the acceptance: all tasks of a gang, or the first
    /// task of an array.
    pub begun: usize,
}

impl LargestJobs {
    fn served(&self) -> bool {
        self.done * 2 >= self.jobs && self.begun * 2 >= self.jobs
    }
}

/// What became of one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct JobResult {
    /// Number of its tasks.
    pub(super) tasks: u64,
    /// Whether all of them are done.
    pub(super) done: bool,
    /// Whether it started within [`BEGIN_WITHIN`].
    pub(super) begun: bool,
}

/// Sums up the largest of a class's jobs.
pub(super) fn summarize_largest(class: &str, mut jobs: Vec<JobResult>) -> LargestJobs {
    jobs.sort_unstable_by_key(|job| std::cmp::Reverse(job.tasks));
    let last = jobs.len().div_ceil(LARGEST_DIVISOR).saturating_sub(1);
    let least_tasks = jobs.get(last).map_or(0, |job| job.tasks);
    let mut sum = LargestJobs { class: class.to_owned(), ..LargestJobs::default() };
    for job in jobs.iter().filter(|job| job.tasks >= least_tasks) {
        sum.jobs += 1;
        sum.done += usize::from(job.done);
        sum.begun += usize::from(job.begun);
    }
    sum
}

/// The result of judging a history.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Broken rules in the order in which they were found.
    pub breaks: Vec<Break>,
    /// Number of tasks of accepted jobs that were not cancelled.
    pub expected: usize,
    /// Number of expected tasks that have a result.
    pub delivered: usize,
    /// Number of results that came more than once, each from a run of its own.
    pub repeated: usize,
    /// Expected tasks without a result.
    pub lost: Vec<TaskKey>,
    /// The largest jobs of each class.
    pub largest: Vec<LargestJobs>,
}

impl Verdict {
    /// Whether no rule was broken, every expected task has exactly one result, and the largest jobs were served.
    pub fn clean(&self) -> bool {
        let whole = self.breaks.is_empty() && self.delivered == self.expected && self.repeated == 0;
        whole && self.largest.iter().all(LargestJobs::served)
    }

    /// The first break of a rule, if there is one.
    pub fn first(&self, rule: Rule) -> Option<&Break> {
        self.breaks.iter().find(|b| b.rule == rule)
    }

    /// A summary in one line, the last of a rehearsal's output.
    pub fn line(&self) -> String {
        let results = format!("results: {} of {}", self.delivered, self.expected);
        let (each, rules, largest) = (self.repeats_line(), self.rules_line(), self.largest_line());
        format!("{results}, {each}; rules: {rules}; largest: {largest}")
    }

    fn repeats_line(&self) -> String {
        match self.repeated {
            0 => "each once".to_owned(),
            repeated => format!("{repeated} more than once"),
        }
    }

    fn rules_line(&self) -> String {
        let names: BTreeSet<&str> = self.breaks.iter().map(|b| b.rule.name()).collect();
        if names.is_empty() {
            return "none broken".to_owned();
        }
        let names: Vec<&str> = names.into_iter().collect();
        format!("broken: {}", names.join(", "))
    }

    fn largest_line(&self) -> String {
        let sum = |count: fn(&LargestJobs) -> usize| self.largest.iter().map(count).sum::<usize>();
        let (all, done, begun) = (sum(|l| l.jobs), sum(|l| l.done), sum(|l| l.begun));
        let within = BEGIN_WITHIN.as_secs();
        let counts = format!("{done} of {all} done, {begun} begun within {within} s");
        let under: Vec<&str> = self.largest.iter().filter(|l| !l.served()).map(|l| l.class.as_str()).collect();
        if under.is_empty() { counts } else { format!("{counts}, under half: {}", under.join(", ")) }
    }
}
