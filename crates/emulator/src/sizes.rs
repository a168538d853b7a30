//! Sizes of a rehearsal: controllers, limits, machines, teams and work, from a checked TOML file.

use std::time::Duration;

use hollylanding_protocol::cloud::MachineType;
use hollylanding_protocol::jobs::{JobSpec, Shape, Urgency};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::driver;
use crate::judge::Terms;
use crate::world::cloud::{self, Boots, Capacity};
use crate::world::fleet;
use crate::world::store::Limits;

/// The sizes used if no file is given.
pub const DEFAULT: &str = include_str!("../../../scenarios/default.toml");

/// Why sizes were not accepted.
#[derive(Debug, thiserror::Error)]
pub enum SizesError {
    /// The text is not TOML of the expected form; the message contains line and column.
    #[error("{0}")]
    Form(#[from] toml::de::Error),
    /// A value is out of its bounds.
    #[error("{field}: {problem}")]
    Value {
        /// Path of the field.
        field: String,
        /// What is wrong with its value.
        problem: String,
    },
}

/// The sizes of a rehearsal. Times are in seconds, amounts as in a job's description.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Number of controllers, from 1 to 9.
    pub controllers: usize,
    /// Longest duration of the rehearsal; what is not done by then counts as lost.
    pub seconds: f64,
    /// Limits of the state service.
    pub state: State,
    /// Behaviour of the cloud.
    pub cloud: Cloud,
    /// Timeouts of the workers.
    pub workers: Workers,
    /// Machine types; at least one.
    pub machines: Vec<Machine>,
    /// Teams with their shares; if empty, the teams are those that the work names.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Kinds of work; at least one.
    pub work: Vec<Work>,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Requests per second.
    pub requests_per_second: f64,
    /// Changes of keys per second.
    pub changes_per_second: f64,
    /// Largest value, in kB.
    pub value_kb: f64,
    /// The most changes in one transaction.
    pub txn_ops: usize,
}

/// Behaviour of the cloud.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cloud {
    /// Requests per second.
    pub requests_per_second: f64,
    /// Usual age of the list of machines, in seconds.
    pub list_lag_s: f64,
    /// Usual time from the notice to a spot machine until it is taken, in seconds.
    pub notice_s: f64,
    /// Fraction of taken spot machines that receive no notice.
    #[serde(default)]
    pub silent: f64,
    /// Fraction of machines that never come up.
    #[serde(default)]
    pub never_up: f64,
    /// Fraction of machines that take several times as long to boot.
    #[serde(default)]
    pub slow_up: f64,
}

/// Timeouts of the workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workers {
    /// Interval between two reports.
    pub report_s: f64,
    /// A worker ends its agent epoch and its tasks if no report was answered for this long.
    pub lease_s: f64,
    /// How long a member of a gang waits for the others before it gives up.
    pub gang_wait_s: f64,
    /// How long the members of a gang take to notice that one is missing.
    pub gang_peer_s: f64,
    /// Time within which all tasks of a cancelled job have to be gone.
    pub cancel_s: f64,
}

/// A machine type.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// The type's name.
    pub name: String,
    /// Cores of one machine.
    pub cpus: f64,
    /// Accelerators of one machine.
    #[serde(default)]
    pub accelerators: f64,
    /// Memory of one machine, in GB.
    pub memory_gb: f64,
    /// Price of an on-demand machine per hour.
    pub price: f64,
    /// Nominal price of a spot machine per hour.
    pub spot_price: f64,
    /// Usual time to boot, in seconds.
    pub boot_s: f64,
    /// Rate at which images are fetched, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Capacity of the image cache in GB, if the type states one.
    #[serde(default)]
    pub cache_gb: Option<f64>,
    /// Zones, each with the number of on-demand and of spot machines available.
    pub zones: Vec<(String, u64, u64)>,
}

/// A team's share of the cluster.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Cores that the team is entitled to.
    #[serde(default)]
    pub cpus: f64,
    /// The most cores that it may use; 0: unlimited.
    #[serde(default)]
    pub cpus_max: f64,
    /// Accelerators that the team is entitled to.
    #[serde(default)]
    pub accelerators: f64,
    /// The most accelerators that it may use; 0: unlimited.
    #[serde(default)]
    pub accelerators_max: f64,
}

fn one() -> f64 {
    1.0
}

fn normal() -> Urgency {
    Urgency::Normal
}

/// A kind of work: the jobs of one class and when they are submitted.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// The kind's name.
    pub name: String,
    /// Class of its jobs, if it differs from the name.
    #[serde(default)]
    pub class: Option<String>,
    /// Team that submits the jobs.
    pub team: String,
    /// How the tasks of a job depend on each other.
    pub shape: Shape,
    /// Priority of the jobs.
    #[serde(default = "normal")]
    pub urgency: Urgency,
    /// Tasks of each job.
    pub tasks: u64,
    /// Cores of one task.
    pub cpus: f64,
    /// Accelerators of one task.
    #[serde(default)]
    pub accelerators: f64,
    /// Memory of one task, in GB.
    pub memory_gb: f64,
    /// Size of the image, in GB.
    #[serde(default)]
    pub image_gb: f64,
    /// Usual run time of a task, in seconds; the real one varies.
    pub run_s: f64,
    /// The user's estimate as a multiple of `run_s`.
    #[serde(default = "one")]
    pub estimate: f64,
    /// Interval of checkpoints in seconds; 0: none.
    #[serde(default)]
    pub checkpoint_s: f64,
    /// Time that saving takes when a task is stopped, in seconds.
    #[serde(default)]
    pub save_s: f64,
    /// Deadline in seconds after the submission, if there is one.
    #[serde(default)]
    pub due_s: Option<f64>,
    /// Whether the tasks may run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Whether all tasks of a job must run in one zone.
    #[serde(default)]
    pub same_zone: bool,
    /// Whether no zone may hold more than half of a job's tasks, rounded up.
    #[serde(default)]
    pub spread: bool,
    /// Number of jobs submitted at `from_s`.
    #[serde(default)]
    pub jobs: u64,
    /// Rate at which further jobs are submitted afterwards, per second.
    #[serde(default)]
    pub per_second: f64,
    /// Duration of these submissions, in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// Time of the first submission, in seconds since the world began.
    #[serde(default)]
    pub from_s: f64,
    /// Whether the jobs are faulty: they fail everywhere, and are cancelled at the end, as services are.
    #[serde(default)]
    pub broken: bool,
    /// Fraction of the jobs that their users cancel a few seconds after the acceptance.
    #[serde(default)]
    #[serde(rename = "withdrawn")]
    pub cancelled: f64,
}

impl Work {
    /// The description of a job of this kind with this id.
    pub fn spec(&self, id: &str) -> JobSpec {
        JobSpec {
            id: id.into(),
            class: self.class.clone().unwrap_or_else(|| self.name.clone()),
            team: self.team.clone(),
            shape: self.shape,
            urgency: self.urgency,
            tasks: self.tasks,
            cpus: self.cpus,
            gpus: self.accelerators,
            memory_gb: self.memory_gb,
            image: format!("image-{}", self.name),
            image_gb: self.image_gb,
            types: None,
            zone: None,
            same_zone: self.same_zone,
            spread: self.spread,
            spot: self.spot,
            estimate_s: if self.shape == Shape::Service { 0.0 } else { self.run_s * self.estimate },
            checkpoint_s: self.checkpoint_s,
            save_s: self.save_s,
            due_s: self.due_s,
        }
    }

    /// Times of submission of all its jobs, in seconds since the world began.
    pub fn arrivals(&self) -> impl Iterator<Item = f64> {
        let later = (self.per_second * self.for_s) as u64;
        let every = 1.0 / self.per_second.max(1e-9);
        (0..self.jobs).map(|_| 0.0).chain((1..=later).map(move |n| n as f64 * every)).map(|at| at + self.from_s)
    }
}

/// The most jobs of one kind of work.
const MOST_JOBS: f64 = 100_000.0;
/// The largest amount of anything that has no bound of its own.
const MOST_AMOUNT: f64 = 1e6;
/// Seconds of an hour, and of a day.
const HOUR_S: f64 = 3600.0;
const DAY_S: f64 = 86_400.0;

fn invalid(field: impl Into<String>, problem: impl Into<String>) -> SizesError {
    SizesError::Value { field: field.into(), problem: problem.into() }
}

/// A value with the bounds that it has to keep.
struct Bound {
    field: String,
    value: f64,
    least: f64,
    most: f64,
}

impl Bound {
    fn new(field: impl Into<String>, value: f64, least: f64, most: f64) -> Self {
        Self { field: field.into(), value, least, most }
    }

    fn check(&self) -> Result<(), SizesError> {
        let Self { value, least, most, .. } = *self;
        if (least..=most).contains(&value) {
            Ok(())
        } else {
            Err(invalid(self.field.clone(), format!("{value} is not between {least} and {most}")))
        }
    }
}

impl Machine {
    fn field(&self, name: &str) -> String {
        format!("machines.{}.{name}", self.name)
    }

    fn check(&self) -> Result<(), SizesError> {
        if self.zones.is_empty() { Err(invalid(self.field("zones"), "none is given")) } else { Ok(()) }
    }

    /// Whether a task of this work fits on an empty machine.
    fn fits(&self, work: &Work) -> bool {
        work.cpus <= self.cpus && work.memory_gb <= self.memory_gb && work.accelerators <= self.accelerators
    }

    fn bounds(&self) -> [Bound; 4] {
        [
            Bound::new(self.field("cpus"), self.cpus, 0.01, MOST_AMOUNT),
            Bound::new(self.field("memory_gb"), self.memory_gb, 0.01, MOST_AMOUNT),
            Bound::new(self.field("boot_s"), self.boot_s, 0.0, HOUR_S),
            Bound::new(self.field("fetch_gb_per_s"), self.fetch_gb_per_s, 0.001, MOST_AMOUNT),
        ]
    }
}

impl Work {
    fn field(&self, name: &str) -> String {
        format!("work.{}.{name}", self.name)
    }

    fn bounds(&self) -> [Bound; 4] {
        let jobs = self.jobs as f64 + self.per_second * self.for_s;
        [
            Bound::new(self.field("run_s"), self.run_s, 0.0, DAY_S),
            Bound::new(self.field("from_s"), self.from_s, 0.0, DAY_S),
            Bound::new(self.field("withdrawn"), self.cancelled, 0.0, 1.0),
            Bound::new(self.field("jobs"), jobs, 0.0, MOST_JOBS),
        ]
    }
}

impl Sizes {
    /// Reads sizes from TOML and checks them.
    pub fn parse(text: &str) -> Result<Self, SizesError> {
        let sizes: Self = toml::from_str(text)?;
        sizes.check()?;
        Ok(sizes)
    }

    fn check(&self) -> Result<(), SizesError> {
        for machine in &self.machines {
            machine.check()?;
        }
        for work in &self.work {
            self.check_work(work)?;
        }
        self.bounds().iter().try_for_each(Bound::check)?;
        if self.machines.is_empty() || self.work.is_empty() {
            return Err(invalid("machines, work", "at least one of each is needed"));
        }
        Ok(())
    }

    /// A kind of work has a valid job and a known team, and fits on a machine.
    fn check_work(&self, work: &Work) -> Result<(), SizesError> {
        if let Err(problem) = work.spec("run-1").check() {
            return Err(invalid(format!("work.{}", work.name), problem.to_string()));
        }
        if !self.teams.is_empty() && !self.teams.iter().any(|team| team.name == work.team) {
            return Err(invalid(work.field("team"), format!("{:?} is no team", work.team)));
        }
        if !self.machines.iter().any(|machine| machine.fits(work)) {
            return Err(invalid(work.field("cpus"), "a task fits no machine"));
        }
        Ok(())
    }

    /// The bounds of all values, in the order in which they are checked.
    fn bounds(&self) -> Vec<Bound> {
        let (state, cloud, workers) = (&self.state, &self.cloud, &self.workers);
        let mut bounds = vec![
            Bound::new("seconds", self.seconds, 1.0, DAY_S),
            Bound::new("controllers", self.controllers as f64, 1.0, 9.0),
            Bound::new("state.requests_per_second", state.requests_per_second, 5.0, MOST_AMOUNT),
            Bound::new("state.changes_per_second", state.changes_per_second, 2.0, MOST_AMOUNT),
            Bound::new("state.value_kb", state.value_kb, 8.0, 64.0),
            Bound::new("state.txn_ops", state.txn_ops as f64, 4.0, 1000.0),
            Bound::new("cloud.requests_per_second", cloud.requests_per_second, 1.0, MOST_AMOUNT),
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

    fn team_names(&self) -> Vec<String> {
        let named = self.teams.iter().map(|t| t.name.clone());
        let of_work = self.work.iter().map(|w| w.team.clone());
        let mut names: Vec<String> = if self.teams.is_empty() { of_work.collect() } else { named.collect() };
        names.sort_unstable();
        names.dedup();
        names
    }

    /// All zones, each once, in order.
    pub fn zones(&self) -> Vec<String> {
        let mut zones: Vec<String> =
            self.machines.iter().flat_map(|m| m.zones.iter().map(|(zone, ..)| zone.clone())).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// The parameters of the emulated world.
    pub fn world(&self, seed: u64, judged: bool) -> driver::Params {
        let types = self.machines.iter().map(|m| MachineType {
            name: m.name.clone(),
            cpus: m.cpus,
            gpus: m.accelerators,
            memory_gb: m.memory_gb,
            fetch_gb_per_s: m.fetch_gb_per_s,
            cache_gb: m.cache_gb,
            price: m.price,
            spot_price: m.spot_price,
            boot_s: m.boot_s,
            zones: m.zones.iter().map(|(zone, ..)| zone.clone()).collect(),
        });
        let capacity = self.machines.iter().flat_map(|m| {
            let of = |(zone, ordinary, spot): &(String, u64, u64)| Capacity {
                type_name: m.name.clone(),
                zone: zone.clone(),
                ordinary: *ordinary,
                spot: *spot,
            };
            m.zones.iter().map(of)
        });
        let seconds = Duration::from_secs_f64;
        driver::Params {
            limits: Limits {
                requests_per_second: self.state.requests_per_second,
                changes_per_second: self.state.changes_per_second,
                value_kb: self.state.value_kb,
                txn_ops: self.state.txn_ops,
            },
            cloud: cloud::Params {
                types: types.collect(),
                capacity: capacity.collect(),
                requests_per_second: self.cloud.requests_per_second,
                list_lag: seconds(self.cloud.list_lag_s),
                notice: seconds(self.cloud.notice_s),
                silent: self.cloud.silent,
                never_up: self.cloud.never_up,
                slow_up: self.cloud.slow_up,
            },
            fleet: fleet::Params {
                lease: seconds(self.workers.lease_s),
                gang_wait: seconds(self.workers.gang_wait_s),
                gang_peer: seconds(self.workers.gang_peer_s),
            },
            boots: Boots::Usual,
            heartbeat: seconds(self.workers.report_s),
            page_most: usize::MAX,
            seed,
            judged,
        }
    }

    /// The parameters of the judge's rules.
    pub fn terms(&self) -> Terms {
        let quotas = self.teams.iter().map(|t| (t.name.clone(), (t.cpus_max, t.accelerators_max)));
        Terms {
            quotas: quotas.collect(),
            cancellation_deadline: Duration::from_secs_f64(self.workers.cancel_s),
            ..Terms::default()
        }
    }

    /// The `params` of a controller's settings file.
    pub fn settings(&self) -> Value {
        let team = |name: String| {
            let of = self.teams.iter().find(|t| t.name == name);
            let amounts = of.map(|t| (t.cpus, t.cpus_max, t.accelerators, t.accelerators_max)).unwrap_or_default();
            json!({"name": name, "cpus": amounts.0, "cpus_max": amounts.1, "gpus": amounts.2, "gpus_max": amounts.3})
        };
        let w = &self.workers;
        json!({
            "size": self.controllers, "zones": self.zones(),
            "teams": self.team_names().into_iter().map(team).collect::<Vec<_>>(), "objectives": [],
            "workers": {"report_s": w.report_s, "lease_s": w.lease_s, "gang_wait_s": w.gang_wait_s,
                "gang_peer_s": w.gang_peer_s, "cancel_s": w.cancel_s},
            "state": {"rps": self.state.requests_per_second, "write_rps": self.state.changes_per_second,
                "value_kb": self.state.value_kb, "txn_ops": self.state.txn_ops},
            "cloud": {"rps": self.cloud.requests_per_second, "list_lag_s": self.cloud.list_lag_s},
            "resources": {"cores": 1.0, "memory_mb": 512.0, "max_sockets": 10_000},
            "skew_ms": 25.0,
        })
    }
}

#[cfg(test)]
mod tests;
