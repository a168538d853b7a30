//! What the platform hands over (a JSON file) and what operators set themselves (properties).

mod check;
mod properties;

pub use properties::Properties;

use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

#[derive(Debug, thiserror::Error)]
#[error("{file}: {problem}")]
pub struct SettingsError {
    pub file: String,
    pub problem: String,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    #[serde(rename = "host_name")]
    pub node: String,
    #[serde(rename = "area")]
    pub zone: String,
    #[serde(rename = "api_addr")]
    pub listen: String,
    #[serde(rename = "mesh_addr")]
    pub mesh_listen: String,
    pub peers: Vec<Peer>,
    pub endpoints: Endpoints,
    pub params: Params,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    #[serde(rename = "host_name")]
    pub node: String,
    #[serde(rename = "endpoint")]
    pub addr: String,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    pub cloud: String,
    pub state: String,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// How many controllers there are; builds of the platform that do not say are taken at their `peers`.
    #[serde(default)]
    pub size: Option<u64>,
    pub zones: Vec<String>,
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: WorkerParams,
    pub state: StateParams,
    pub cloud: CloudParams,
    #[serde(rename = "resources")]
    pub limits: Limits,
    /// How far two clocks may differ in the time of day, in milliseconds.
    #[serde(default)]
    pub skew_ms: f64,
}

/// Zero means none, for guarantees and for limits alike.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: String,
    #[serde(default)]
    pub within_s: f64,
    /// Multiples of a job's own deadline.
    #[serde(default)]
    pub times: f64,
    /// The part of the jobs, or of their tasks, of which it is asked.
    #[serde(default)]
    pub share: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct WorkerParams {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct StateParams {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: u64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudParams {
    pub rps: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Megabytes a controller may take; none: open work is not limited by it.
    #[serde(default)]
    pub memory_mb: Option<f64>,
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
    pub fn conditions(&self) -> usize {
        (self.txn_ops as usize).saturating_mul(4)
    }
}

impl WorkerParams {
    pub fn report(&self) -> Duration {
        Duration::from_secs_f64(self.report_s)
    }
    pub fn cancel(&self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// What lies between the end of a worker's lease as it is known here and the moment at which its tasks are gone.
    /// Over long times the drift of its clock is what counts.
    fn lease_margin_s(&self) -> f64 {
        LEASE_MARGIN_S.max(ANSWER_TAKEN_S + self.cancel_s * CLOCK_DRIFT)
    }

    /// Of the time in which a withdrawn task must be gone, what is left where only the end of its machine's
    /// lease ends it: a report may have been answered last so long after the withdrawal was told.
    pub fn spare(&self) -> Duration {
        Duration::try_from_secs_f64(self.cancel_s - self.lease_s - self.lease_margin_s()).unwrap_or_default()
    }
}

impl Settings {
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let fail = |problem: String| SettingsError { file: path.display().to_string(), problem };
        let text = std::fs::read_to_string(path).map_err(|e| fail(e.to_string()))?;
        Self::parse(&text).map_err(fail)
    }

    pub fn parse(text: &str) -> Result<Self, String> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let settings: Self = serde_path_to_error::deserialize(&mut reader).map_err(|error| error.to_string())?;
        reader.end().map_err(|error| error.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.params.teams.iter().find(|t| t.name == name)
    }
}

#[cfg(test)]
pub mod tests;
