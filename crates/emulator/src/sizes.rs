//! The sizes of a rehearsal: controllers, limits, machines, teams and work, from a validated TOML file.

use hollylanding_protocol::jobs::{JobSpec, Shape, Urgency};
use serde::Deserialize;

mod check;
mod convert;

/// The sizes used if no file is given.
pub const DEFAULT: &str = include_str!("../../../scenarios/default.toml");

/// Why sizes were rejected.
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
        /// Description of the problem with the field's value.
        problem: String,
    },
}

/// The sizes of a rehearsal. Times are in seconds, and resource amounts in the units of a job's description.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sizes {
    /// Number of controllers, from 1 to 9.
    pub controllers: usize,
    /// Maximum duration of the rehearsal. Tasks that are not done at its end count as lost.
    pub seconds: f64,
    /// Limits of the state service.
    pub state: State,
    /// Behaviour of the cloud.
    pub cloud: Cloud,
    /// Timeouts of the workers.
    pub workers: Workers,
    /// Machine types, at least one.
    pub machines: Vec<Machine>,
    /// Teams with their shares. If there are none, the teams are those named by the work.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Kinds of work, at least one.
    pub work: Vec<Work>,
}

/// Limits of the state service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Maximum number of requests per second.
    pub requests_per_second: f64,
    /// Maximum number of key changes per second.
    pub changes_per_second: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in one transaction.
    pub txn_ops: usize,
}

/// Behaviour of the cloud.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cloud {
    /// Maximum number of requests per second.
    pub requests_per_second: f64,
    /// Mean age of the list of machines, in seconds.
    pub list_lag_s: f64,
    /// Mean time from an interruption notice until the spot machine is interrupted, in seconds.
    pub notice_s: f64,
    /// Fraction of interrupted spot machines that receive no interruption notice.
    #[serde(default)]
    pub silent: f64,
    /// Fraction of machines that never finish booting.
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
    /// Mean interval between two heartbeats of a worker.
    pub report_s: f64,
    /// A worker ends its agent epoch and its tasks if no heartbeat was answered for this long.
    pub lease_s: f64,
    /// Maximum time for which a member of a gang waits for the others to start.
    pub gang_wait_s: f64,
    /// Time that the members of a gang take to detect that one is missing.
    pub gang_peer_s: f64,
    /// Time within which all tasks of a cancelled job must have ended.
    pub cancel_s: f64,
}

/// A machine type.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// The type's name.
    pub name: String,
    /// Number of cores of one machine.
    pub cpus: f64,
    /// Number of accelerators of one machine.
    #[serde(default)]
    pub accelerators: f64,
    /// Memory of one machine, in GB.
    pub memory_gb: f64,
    /// Price of an on-demand machine per hour.
    pub price: f64,
    /// Nominal price of a spot machine per hour.
    pub spot_price: f64,
    /// Nominal time to boot, in seconds; the real time varies.
    pub boot_s: f64,
    /// Rate at which images are fetched, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Capacity of the image cache in GB, if the type states one.
    #[serde(default)]
    pub cache_gb: Option<f64>,
    /// Zones, each with the number of on-demand and of spot machines available.
    pub zones: Vec<ZoneSupply>,
}

/// The number of machines of a type in a zone; `[zone, on demand, spot]` in TOML.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "(String, u64, u64)")]
pub struct ZoneSupply {
    /// Name of the zone.
    pub zone: String,
    /// Number of on-demand machines.
    pub on_demand: u64,
    /// Number of spot machines.
    pub spot: u64,
}

impl From<(String, u64, u64)> for ZoneSupply {
    fn from((zone, on_demand, spot): (String, u64, u64)) -> Self {
        Self { zone, on_demand, spot }
    }
}

/// A team's share of the cluster.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Number of cores to which the team is entitled.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of cores that the team may use; 0 means unlimited.
    #[serde(default)]
    pub cpus_max: f64,
    /// Number of accelerators to which the team is entitled.
    #[serde(default)]
    pub accelerators: f64,
    /// Maximum number of accelerators that the team may use; 0 means unlimited.
    #[serde(default)]
    pub accelerators_max: f64,
}

fn default_estimate() -> f64 {
    1.0
}

fn default_urgency() -> Urgency {
    Urgency::Normal
}

/// A kind of work: the jobs of one class and when they are submitted.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Work {
    /// The kind's name.
    pub name: String,
    /// Class of the jobs, if it differs from the name.
    #[serde(default)]
    pub class: Option<String>,
    /// Team that submits the jobs.
    pub team: String,
    /// How the tasks of a job depend on each other.
    pub shape: Shape,
    /// Priority of the jobs.
    #[serde(default = "default_urgency")]
    pub urgency: Urgency,
    /// Number of tasks of each job.
    pub tasks: u64,
    /// Number of cores of one task.
    pub cpus: f64,
    /// Number of accelerators of one task.
    #[serde(default)]
    pub accelerators: f64,
    /// Memory of one task, in GB.
    pub memory_gb: f64,
    /// Size of the image, in GB.
    #[serde(default)]
    pub image_gb: f64,
    /// Nominal run time of a task, in seconds; the real run time varies.
    pub run_s: f64,
    /// The user's estimate as a multiple of `run_s`.
    #[serde(default = "default_estimate")]
    pub estimate: f64,
    /// Interval of periodic checkpoints in seconds; 0 means none.
    #[serde(default)]
    pub checkpoint_s: f64,
    /// Time that a task takes to save its progress when it is stopped, in seconds.
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
    /// Time of the first submission, in seconds since the start of the world.
    #[serde(default)]
    pub from_s: f64,
    /// Whether the jobs are faulty: they fail on every machine, and are cancelled at the end, as services are.
    #[serde(default)]
    pub broken: bool,
    /// Fraction of the jobs that users cancel a few seconds after the acceptance.
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

    /// The submission times of all jobs of this kind, in seconds since the start of the world.
    pub fn arrivals(&self) -> impl Iterator<Item = f64> {
        let later_jobs = (self.per_second * self.for_s) as u64;
        let interval_s = 1.0 / self.per_second.max(1e-9);
        (0..self.jobs)
            .map(|_| 0.0)
            .chain((1..=later_jobs).map(move |n| n as f64 * interval_s))
            .map(|at| at + self.from_s)
    }
}

impl Sizes {
    /// Parses sizes from TOML and checks them.
    ///
    /// # Errors
    /// The position at which the text is malformed, or the field whose value is out of bounds.
    pub fn parse(text: &str) -> Result<Self, SizesError> {
        let sizes: Self = toml::from_str(text)?;
        sizes.check()?;
        Ok(sizes)
    }

    /// Names of all teams, each once, in alphabetical order.
    fn team_names(&self) -> Vec<String> {
        let named = self.teams.iter().map(|t| t.name.clone());
        let of_work = self.work.iter().map(|w| w.team.clone());
        let mut names: Vec<String> = if self.teams.is_empty() { of_work.collect() } else { named.collect() };
        names.sort_unstable();
        names.dedup();
        names
    }

    /// Names of all zones, each once, in alphabetical order.
    pub fn zones(&self) -> Vec<String> {
        let mut zones: Vec<String> =
            self.machines.iter().flat_map(|m| m.zones.iter().map(|supply| supply.zone.clone())).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }
}

#[cfg(test)]
mod tests;
