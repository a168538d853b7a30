//! Sizes of a rehearsal: controllers, limits, machines, teams and work, from a checked TOML file.

use hollylanding_protocol::jobs::{JobSpec, Shape, Urgency};
use serde::Deserialize;

mod check;
mod convert;

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
    pub zones: Vec<ZoneSupply>,
}

/// The machines of a type that a zone has; `[zone, on demand, spot]` in TOML.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "(String, u64, u64)")]
pub struct ZoneSupply {
    /// The zone.
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
    /// Class of its jobs, if it differs from the name.
    #[serde(default)]
    pub class: Option<String>,
    /// Team that submits the jobs.
    pub team: String,
    /// How the tasks of a job depend on each other.
    pub shape: Shape,
    /// Priority of the jobs.
    #[serde(default = "default_urgency")]
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
    #[serde(default = "default_estimate")]
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

impl Sizes {
    /// Parses sizes from TOML and checks them.
    ///
    /// # Errors
    /// Where the text is not of the expected form, or which value is out of its bounds.
    pub fn parse(text: &str) -> Result<Self, SizesError> {
        let sizes: Self = toml::from_str(text)?;
        sizes.check()?;
        Ok(sizes)
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
            self.machines.iter().flat_map(|m| m.zones.iter().map(|supply| supply.zone.clone())).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }
}

#[cfg(test)]
mod tests;
