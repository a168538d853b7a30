//! Validation of sizes: every value must be within its bounds, and work must fit the machines.

use super::{Machine, Sizes, SizesError, Work};

/// Maximum number of jobs of one kind of work.
const MAX_JOBS: f64 = 100_000.0;
/// Maximum of amounts that have no specific bound.
const MAX_AMOUNT: f64 = 1e6;
/// Seconds in an hour.
const HOUR_S: f64 = 3600.0;
/// Seconds in a day.
const DAY_S: f64 = 86_400.0;

/// The error for an invalid value.
fn invalid(field: impl Into<String>, problem: impl Into<String>) -> SizesError {
    SizesError::Value { field: field.into(), problem: problem.into() }
}

/// A value and its permitted bounds.
struct Bound {
    field: String,
    value: f64,
    min: f64,
    max: f64,
}

impl Bound {
    fn new(field: impl Into<String>, value: f64, min: f64, max: f64) -> Self {
        Self { field: field.into(), value, min, max }
    }

    fn check(&self) -> Result<(), SizesError> {
        let Self { value, min, max, .. } = *self;
        if (min..=max).contains(&value) {
            Ok(())
        } else {
            Err(invalid(self.field.clone(), format!("{value} is not between {min} and {max}")))
        }
    }
}

impl Machine {
    /// Path of a field of this machine type, for errors.
    fn field(&self, name: &str) -> String {
        format!("machines.{}.{name}", self.name)
    }

    fn check(&self) -> Result<(), SizesError> {
        if self.zones.is_empty() { Err(invalid(self.field("zones"), "at least one zone is required")) } else { Ok(()) }
    }

    /// Whether a task of this work fits on an empty machine.
    fn fits(&self, work: &Work) -> bool {
        work.cpus <= self.cpus && work.memory_gb <= self.memory_gb && work.accelerators <= self.accelerators
    }

    fn bounds(&self) -> [Bound; 4] {
        [
            Bound::new(self.field("cpus"), self.cpus, 0.01, MAX_AMOUNT),
            Bound::new(self.field("memory_gb"), self.memory_gb, 0.01, MAX_AMOUNT),
            Bound::new(self.field("boot_s"), self.boot_s, 0.0, HOUR_S),
            Bound::new(self.field("fetch_gb_per_s"), self.fetch_gb_per_s, 0.001, MAX_AMOUNT),
        ]
    }
}

impl Work {
    /// Path of a field of this kind of work, for errors.
    fn field(&self, name: &str) -> String {
        format!("work.{}.{name}", self.name)
    }

    fn bounds(&self) -> [Bound; 4] {
        let jobs = self.jobs as f64 + self.per_second * self.for_s;
        [
            Bound::new(self.field("run_s"), self.run_s, 0.0, DAY_S),
            Bound::new(self.field("from_s"), self.from_s, 0.0, DAY_S),
            Bound::new(self.field("withdrawn"), self.cancelled, 0.0, 1.0),
            Bound::new(self.field("jobs"), jobs, 0.0, MAX_JOBS),
        ]
    }
}

impl Sizes {
    /// Checks all values; the error names the first invalid one.
    pub(super) fn check(&self) -> Result<(), SizesError> {
        for machine in &self.machines {
            machine.check()?;
        }
        for work in &self.work {
            self.check_work(work)?;
        }
        self.bounds().iter().try_for_each(Bound::check)?;
        if self.machines.is_empty() || self.work.is_empty() {
            return Err(invalid("machines, work", "at least one of each is required"));
        }
        Ok(())
    }

    /// Checks that a kind of work has a valid job description and a known team, and that a task fits on some machine.
    fn check_work(&self, work: &Work) -> Result<(), SizesError> {
        if let Err(problem) = work.spec("run-1").check() {
            return Err(invalid(format!("work.{}", work.name), problem.to_string()));
        }
        if !self.teams.is_empty() && !self.teams.iter().any(|team| team.name == work.team) {
            return Err(invalid(work.field("team"), format!("unknown team {:?}", work.team)));
        }
        if !self.machines.iter().any(|machine| machine.fits(work)) {
            return Err(invalid(work.field("cpus"), "a task is too large for every machine type"));
        }
        Ok(())
    }

    /// The bounds of all values, in the order in which they are checked.
    fn bounds(&self) -> Vec<Bound> {
        let (state, cloud, workers) = (&self.state, &self.cloud, &self.workers);
        let mut bounds = vec![
            Bound::new("seconds", self.seconds, 1.0, DAY_S),
            Bound::new("controllers", self.controllers as f64, 1.0, 9.0),
            Bound::new("state.requests_per_second", state.requests_per_second, 5.0, MAX_AMOUNT),
            Bound::new("state.changes_per_second", state.changes_per_second, 2.0, MAX_AMOUNT),
            Bound::new("state.value_kb", state.value_kb, 8.0, 64.0),
            Bound::new("state.txn_ops", state.txn_ops as f64, 4.0, 1000.0),
            Bound::new("cloud.requests_per_second", cloud.requests_per_second, 1.0, MAX_AMOUNT),
            Bound::new("cloud.list_lag_s", cloud.list_lag_s, 0.0, 600.0),
            Bound::new("cloud.notice_s", cloud.notice_s, 0.0, HOUR_S),
            Bound::new("workers.report_s", workers.report_s, 0.05, 60.0),
            Bound::new("workers.lease_s", workers.lease_s, 1.0, 600.0),
            Bound::new("workers.cancel_s", workers.cancel_s, 1.0, 600.0),
            Bound::new("cloud.silent", cloud.silent, 0.0, 1.0),
            Bound::new("cloud.never_up", cloud.never_up, 0.0, 1.0),
        ];
        bounds.extend(self.machines.iter().flat_map(Machine::bounds));
        bounds.extend(self.work.iter().flat_map(Work::bounds));
        bounds
    }
}
