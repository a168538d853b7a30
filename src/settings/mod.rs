//! The two configuration files of a controller: settings, which the platform writes (JSON), and properties, which
//! operators set.

mod check;
mod error;
mod properties;

pub use error::{InvalidProperties, InvalidSettings, SettingsError};
pub use properties::Properties;

use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

/// Configuration of one controller, as the platform writes it. [`Settings::load`] and [`Settings::parse`] return only
/// values that passed every check of this module; unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller (`host_name`), unique among the controllers and never empty. Workers and controllers
    /// are referred to it by this name.
    #[serde(rename = "host_name")]
    pub node: String,
    /// Zone in which this controller runs (`area`). No decision depends on it.
    #[serde(rename = "area")]
    pub zone: String,
    /// IP address and port on which users and workers are served (`api_addr`).
    #[serde(rename = "api_addr")]
    pub listen: String,
    /// IP address and port on which the other controllers are listened to (`mesh_addr`).
    #[serde(rename = "mesh_addr")]
    pub mesh_listen: String,
    /// The other controllers, without this one; empty where there is only one.
    pub peers: Vec<Peer>,
    /// Addresses of the services that a controller calls.
    pub endpoints: Endpoints,
    /// Parameters of the deployment, the same for all controllers.
    pub params: Params,
}

/// Another controller, as this one reaches it.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name (`host_name`), as in its own settings.
    #[serde(rename = "host_name")]
    pub node: String,
    /// IP address and port of its `mesh_addr`, to which this controller connects (`endpoint`).
    #[serde(rename = "endpoint")]
    pub addr: String,
}

/// IP addresses and ports of the platform's services.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud, where machines are rented and returned.
    pub cloud: String,
    /// The state service, where everything durable is stored.
    pub state: String,
}

/// Parameters of the deployment, the same for all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// How many controllers there are; builds of the platform that do not say are taken at their `peers`.
    #[serde(default)]
    pub size: Option<u64>,
    /// Names of the zones in which machines can be rented; at least one.
    pub zones: Vec<String>,
    /// The teams whose members submit jobs. Jobs of a team that is not listed cannot be placed.
    pub teams: Vec<Team>,
    /// Service level objectives: what the users of each class of jobs were promised. May be empty.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Reports and leases of workers, and how soon cancelled work must be gone.
    pub workers: WorkerParams,
    /// Limits of the state service.
    pub state: StateParams,
    /// Limits of the cloud's API.
    pub cloud: CloudParams,
    /// Limits of this controller's process (`resources`).
    #[serde(rename = "resources")]
    pub limits: Limits,
    /// How far two clocks may differ in the time of day, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
}

/// Zero means none, for guarantees and for limits alike.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team, as jobs give it (`desk` in the protocol).
    pub name: String,
    /// Guaranteed cores: while the team uses less than this, its jobs are placed before those of others.
    #[serde(default)]
    pub cpus: f64,
    /// Limit of the cores that the team's bound tasks use together.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators, by the same rule as `cpus`.
    #[serde(default)]
    pub gpus: f64,
    /// Limit of the accelerators that the team's bound tasks use together.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service level objective for the jobs of one class.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is promised: `wait` (the job's tasks start within `within_s`), `finished` (it is done within `within_s`)
    /// or `deadline` (it is done within `times` its own deadline). Other kinds are ignored.
    pub kind: String,
    /// The class of jobs that it applies to.
    #[serde(default)]
    pub class: String,
    /// Seconds from the submission, for the kinds `wait` and `finished`; 0 promises nothing.
    #[serde(default)]
    pub within_s: f64,
    /// Multiples of a job's own deadline.
    #[serde(default)]
    pub times: f64,
    /// The part of the jobs, or of their tasks, of which it is asked.
    #[serde(default)]
    pub share: f64,
}

/// Times by which workers and controllers agree. Checked together, so that a lease, a report and a margin fit into
/// `cancel_s`.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerParams {
    /// Seconds between two reports of a worker; it varies them by a quarter either way.
    pub report_s: f64,
    /// Seconds from the sending of a report that was answered until the worker stops everything it runs, unless a
    /// later report is answered meanwhile.
    pub lease_s: f64,
    /// Seconds from the moment at which users are told of a cancellation until no task of the job may run any more.
    pub cancel_s: f64,
}

/// Limits of the state service. The rates apply to all controllers together; `store::share` divides them.
#[derive(Debug, Clone, Deserialize)]
pub struct StateParams {
    /// Requests per second.
    pub rps: f64,
    /// Changes (keys written or dropped) per second.
    pub write_rps: f64,
    /// Largest value of one key, in KiB.
    pub value_kb: f64,
    /// Most changes in one transaction, at least 2. It may have four times as many conditions.
    pub txn_ops: u64,
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudParams {
    /// Requests per second, of all controllers together.
    pub rps: f64,
}

/// Limits of one controller's process.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Megabytes a controller may take; none: open work is not limited by it.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Most connections that the process may have open, at least 16. Direct commands under way are bounded by a part
    /// of it.
    pub max_sockets: u64,
}

/// A worker's clock that runs slow, and the way of a report and its answer: at least this much.
const LEASE_MARGIN_S: f64 = 5.0;
/// The way of a report and its answer: a worker takes no later one.
const ANSWER_TAKEN_S: f64 = 4.0;
/// How far the steady clocks of two machines drift apart, as a part of the time that passes.
const CLOCK_DRIFT: f64 = 0.0005;

impl StateParams {
    /// Conditions that a transaction may have: four for each change that it may have.
    pub fn max_conditions(&self) -> usize {
        (self.txn_ops as usize).saturating_mul(4)
    }
}

impl WorkerParams {
    /// [`Self::report_s`] as a duration.
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.report_s)
    }
    /// [`Self::cancel_s`] as a duration.
    pub fn cancellation_deadline(&self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }
    /// [`Self::lease_s`] as a duration.
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// What lies between the end of a worker's lease as it is known here and the moment at which its tasks are gone.
    /// Over long times the drift of its clock is what counts.
    fn lease_margin_s(&self) -> f64 {
        LEASE_MARGIN_S.max(ANSWER_TAKEN_S + self.cancel_s * CLOCK_DRIFT)
    }

    /// Of the time in which a cancelled task must be gone, what is left where only the end of its machine's
    /// lease ends it: a report may have been answered last so long after the cancellation was told.
    pub fn cancellation_slack(&self) -> Duration {
        Duration::try_from_secs_f64(self.cancel_s - self.lease_s - self.lease_margin_s()).unwrap_or_default()
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Names the file and the first field that cannot be used.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let read = std::fs::read_to_string(path);
        let text = read.map_err(|source| SettingsError::Read { file: path.to_owned(), source })?;
        Self::parse(&text).map_err(|source| SettingsError::Settings { file: path.to_owned(), source })
    }

    /// Reads and checks settings from JSON text.
    ///
    /// # Errors
    /// Names the first field that cannot be used.
    pub fn parse(text: &str) -> Result<Self, InvalidSettings> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let settings: Self = serde_path_to_error::deserialize(&mut reader)?;
        reader.end()?;
        settings.check()?;
        Ok(settings)
    }

    /// The team of this name; none if the settings do not list it.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.params.teams.iter().find(|t| t.name == name)
    }
}

#[cfg(test)]
pub mod tests;
