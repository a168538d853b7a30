//! The two configuration files of a controller: the settings (JSON), which the platform writes, and the properties,
//! which operators set.

mod check;
mod error;
mod properties;

pub(crate) use check::MIN_TXN_OPS;
pub use error::{InvalidProperties, InvalidSettings, SettingsError};
pub use properties::Properties;

use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

/// Configuration of one controller, as the platform writes it. [`Settings::load`] and [`Settings::parse`] return only
/// values that passed every check of this module; unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller (`host_name`), unique among the controllers and never empty. Workers and other
    /// controllers identify it by this name.
    #[serde(rename = "host_name")]
    pub node: String,
    /// Zone in which this controller runs (`area`). No decision depends on it.
    #[serde(rename = "area")]
    pub zone: String,
    /// IP address and port of the listener for users and workers (`api_addr`).
    #[serde(rename = "api_addr")]
    pub listen: String,
    /// IP address and port of the listener for the other controllers (`mesh_addr`).
    #[serde(rename = "mesh_addr")]
    pub mesh_listen: String,
    /// The other controllers, without this one; empty if there is only one.
    pub peers: Vec<Peer>,
    /// Addresses of the platform services that a controller calls.
    pub endpoints: Endpoints,
    /// Parameters of the deployment, the same for all controllers.
    pub params: Params,
}

/// Name and address of another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Name of the controller (`host_name`), as in its own settings.
    #[serde(rename = "host_name")]
    pub node: String,
    /// IP address and port of the peer's `mesh_addr`, to which this controller connects (`endpoint`).
    #[serde(rename = "endpoint")]
    pub addr: String,
}

/// IP addresses and ports of the platform's services.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud, which provisions and terminates machines.
    pub cloud: String,
    /// The state service, which holds all durable state.
    pub state: String,
}

/// Parameters of the deployment, the same for all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// Number of controllers. Some builds of the platform leave it out; the number then follows from `peers`.
    #[serde(default)]
    pub size: Option<u64>,
    /// Names of the zones in which machines can be provisioned; at least one.
    pub zones: Vec<String>,
    /// The teams whose members submit jobs. Jobs of a team that is not listed cannot be placed.
    pub teams: Vec<Team>,
    /// Service level objectives of each class of jobs. May be empty.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Heartbeat interval and lease of workers, and the deadline for stopping cancelled work.
    pub workers: WorkerParams,
    /// Limits of the state service.
    pub state: StateParams,
    /// Limits of the cloud's API.
    pub cloud: CloudParams,
    /// Limits of this controller's process (`resources`).
    #[serde(rename = "resources")]
    pub limits: Limits,
    /// Maximum difference between the times of day of two clocks, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
}

/// A team, its guaranteed resources and its quota. A guarantee or limit of zero means that there is none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team, as jobs give it (`desk` in the protocol).
    pub name: String,
    /// Guaranteed cores: while the team uses fewer, its jobs are placed before those of other teams.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of cores that the team's bound tasks use in total.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators, by the same rule as `cpus`.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of accelerators that the team's bound tasks use in total.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service level objective for the jobs of one class.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of objective: `wait` (the job's tasks start within `within_s`), `finished` (the job is done within
    /// `within_s`) or `deadline` (the job is done within `times` its own deadline). Other kinds are ignored.
    pub kind: String,
    /// Class of jobs that the objective applies to.
    #[serde(default)]
    pub class: String,
    /// Seconds from the submission, for the kinds `wait` and `finished`; 0 disables the objective.
    #[serde(default)]
    pub within_s: f64,
    /// Factor on a job's own deadline, for the kind `deadline`.
    #[serde(default)]
    pub times: f64,
    /// Fraction of the jobs, or of their tasks, that must meet the objective.
    #[serde(default)]
    pub share: f64,
}

/// Durations that workers and controllers agree on. They are checked together, so that a lease, a heartbeat interval
/// and a margin fit into `cancel_s`.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerParams {
    /// Seconds between two heartbeats of a worker, which varies them by plus or minus a quarter.
    pub report_s: f64,
    /// Seconds from the sending of an answered heartbeat until the worker stops everything it runs, unless a later
    /// heartbeat is answered in the meantime.
    pub lease_s: f64,
    /// Seconds from the confirmation of a cancellation to its user until no task of the job may run any more.
    pub cancel_s: f64,
}

/// Limits of the state service. The rates apply to all controllers in total; `store::share` divides them.
#[derive(Debug, Clone, Deserialize)]
pub struct StateParams {
    /// Requests per second.
    pub rps: f64,
    /// Changes (keys written or deleted) per second.
    pub write_rps: f64,
    /// Maximum size of the value of one key, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in one transaction, at least 2. It may have four times as many conditions.
    pub txn_ops: u64,
    /// Limits that the service will have from some moment on, without further notice.
    #[serde(default)]
    pub next: Option<AnnouncedLimits>,
}

/// Limits of the state service that are announced for later; one that is absent stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct AnnouncedLimits {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of the value of one key, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of changes in one transaction, at least 2.
    #[serde(default)]
    pub txn_ops: Option<u64>,
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudParams {
    /// Requests per second of all controllers in total.
    pub rps: f64,
}

/// Limits of one controller's process.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Memory that a controller may use, in megabytes; if absent, memory does not limit open work.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Maximum number of open connections of the process, at least 16. A fraction of it bounds the direct commands in
    /// flight.
    pub max_sockets: u64,
}

/// Minimum margin for a worker's slow clock and for the transit of a heartbeat and its answer.
const MIN_LEASE_MARGIN_S: f64 = 5.0;
/// Maximum round trip of a heartbeat and its answer: a worker ignores later answers.
const MAX_HEARTBEAT_ROUND_TRIP_S: f64 = 4.0;
/// Maximum drift between the monotonic clocks of two machines, as a fraction of the elapsed time.
const MAX_CLOCK_DRIFT_RATIO: f64 = 0.0005;

impl StateParams {
    /// The limits that are announced for later, where they are lower than the present ones; none if nothing is
    /// announced.
    pub fn announced(&self) -> Option<Self> {
        let next = self.next.as_ref()?;
        Some(Self {
            rps: next.rps.unwrap_or(self.rps).min(self.rps),
            write_rps: next.write_rps.unwrap_or(self.write_rps).min(self.write_rps),
            value_kb: next.value_kb.unwrap_or(self.value_kb).min(self.value_kb),
            txn_ops: next.txn_ops.unwrap_or(self.txn_ops).min(self.txn_ops),
            next: None,
        })
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

    /// Maximum delay, in seconds, between the end of a worker's lease as computed by a controller and the moment at
    /// which the worker's tasks are gone. Over long times the drift of the worker's clock dominates it.
    fn lease_margin_s(&self) -> f64 {
        MIN_LEASE_MARGIN_S.max(MAX_HEARTBEAT_ROUND_TRIP_S + self.cancel_s * MAX_CLOCK_DRIFT_RATIO)
    }

    /// Slack in [`Self::cancel_s`] when only the end of the machine's lease stops a cancelled task: `cancel_s` minus
    /// the lease and its margin. The last heartbeat of the machine may be answered this long after the cancellation
    /// was confirmed to its user.
    pub fn cancellation_slack(&self) -> Duration {
        Duration::try_from_secs_f64(self.cancel_s - self.lease_s - self.lease_margin_s()).unwrap_or_default()
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Names the file and the first invalid field.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let read = std::fs::read_to_string(path);
        let text = read.map_err(|source| SettingsError::Read { file: path.to_owned(), source })?;
        Self::parse(&text).map_err(|source| SettingsError::Settings { file: path.to_owned(), source })
    }

    /// Parses and validates settings from JSON text.
    ///
    /// # Errors
    /// Names the first invalid field.
    pub fn parse(text: &str) -> Result<Self, InvalidSettings> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let settings: Self = serde_path_to_error::deserialize(&mut reader)?;
        reader.end()?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the team with this name; `None` if the settings do not list it.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.params.teams.iter().find(|t| t.name == name)
    }
}

#[cfg(test)]
pub mod tests;
