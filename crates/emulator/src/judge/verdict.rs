//! The result of checking a history.

use std::collections::BTreeSet;
use std::time::Duration;

use hollylanding_protocol::workers::TaskKey;

use super::Rule;

/// Maximum time from the acceptance of a job to its start, for the largest jobs.
pub const MAX_START_DELAY: Duration = Duration::from_secs(240);
/// The largest jobs of a class are one in this many of its jobs.
const LARGEST_ONE_IN_JOBS: usize = 10;

/// A violation of a rule.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time since the start of the world.
    pub at: Duration,
    /// A description of the violation.
    pub what: String,
    /// The last events of the job before the violation, one per line.
    pub history: Vec<String>,
}

/// The outcome of a class's largest jobs: the top tenth by number of tasks, and all jobs as large as the smallest of
/// these.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct LargestJobs {
    /// The class.
    pub class: String,
    /// Number of these jobs.
    pub jobs: usize,
    /// Number of them that are done.
    pub done: usize,
    /// Number of them that started within [`MAX_START_DELAY`] of the acceptance: all tasks of a gang, or the first
    /// task of an array.
    pub begun: usize,
}

impl LargestJobs {
    /// Whether at least half of the jobs are done and at least half started in time.
    fn served(&self) -> bool {
        self.done * 2 >= self.jobs && self.begun * 2 >= self.jobs
    }
}

/// The outcome of one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct JobResult {
    /// Number of the job's tasks.
    pub(super) tasks: u64,
    /// Whether all tasks are done.
    pub(super) done: bool,
    /// Whether the job started within [`MAX_START_DELAY`].
    pub(super) begun: bool,
}

/// Summarizes the largest jobs of a class.
pub(super) fn summarize_largest(class: &str, mut jobs: Vec<JobResult>) -> LargestJobs {
    jobs.sort_unstable_by_key(|job| std::cmp::Reverse(job.tasks));
    let last = jobs.len().div_ceil(LARGEST_ONE_IN_JOBS).saturating_sub(1);
    let least_tasks = jobs.get(last).map_or(0, |job| job.tasks);
    let mut sum = LargestJobs { class: class.to_owned(), ..LargestJobs::default() };
    for job in jobs.iter().filter(|job| job.tasks >= least_tasks) {
        sum.jobs += 1;
        sum.done += usize::from(job.done);
        sum.begun += usize::from(job.begun);
    }
    sum
}

/// The result of checking a history.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Violations in the order in which they were found.
    pub violations: Vec<Violation>,
    /// Number of tasks of accepted jobs that were not cancelled.
    pub expected: usize,
    /// Number of expected tasks that have a result.
    pub delivered: usize,
    /// Number of results that were delivered again by another attempt that ran to its end.
    pub repeated: usize,
    /// Expected tasks without a result.
    pub lost: Vec<TaskKey>,
    /// The largest jobs of each class.
    pub largest: Vec<LargestJobs>,
}

impl Verdict {
    /// Whether no rule was violated, every expected task has exactly one result, and the largest jobs were served.
    pub fn is_clean(&self) -> bool {
        let complete = self.violations.is_empty() && self.delivered == self.expected && self.repeated == 0;
        complete && self.largest.iter().all(LargestJobs::served)
    }

    /// The first violation of a rule, if there is one.
    pub fn first_violation(&self, rule: Rule) -> Option<&Violation> {
        self.violations.iter().find(|b| b.rule == rule)
    }

    /// A summary in one line, which is the last line of a rehearsal's output.
    pub fn summary_line(&self) -> String {
        let results = format!("results: {} of {}", self.delivered, self.expected);
        let (repeats, rules, largest) = (self.repeats_line(), self.rules_line(), self.largest_line());
        format!("{results}, {repeats}; rules: {rules}; largest: {largest}")
    }

    fn repeats_line(&self) -> String {
        match self.repeated {
            0 => "each once".to_owned(),
            repeated => format!("{repeated} more than once"),
        }
    }

    fn rules_line(&self) -> String {
        let names: BTreeSet<&str> = self.violations.iter().map(|b| b.rule.name()).collect();
        if names.is_empty() {
            return "none broken".to_owned();
        }
        let names: Vec<&str> = names.into_iter().collect();
        format!("broken: {}", names.join(", "))
    }

    fn largest_line(&self) -> String {
        let sum = |count: fn(&LargestJobs) -> usize| self.largest.iter().map(count).sum::<usize>();
        let (all, done, begun) = (sum(|l| l.jobs), sum(|l| l.done), sum(|l| l.begun));
        let within = MAX_START_DELAY.as_secs();
        let counts = format!("{done} of {all} done, {begun} begun within {within} s");
        let underserved: Vec<&str> = self.largest.iter().filter(|l| !l.served()).map(|l| l.class.as_str()).collect();
        if underserved.is_empty() { counts } else { format!("{counts}, under half: {}", underserved.join(", ")) }
    }
}
