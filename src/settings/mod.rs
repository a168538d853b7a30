//! What the platform hands over (a JSON file) and what operators set themselves (properties).

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
        let settings: Self = serde_json::from_str(text).map_err(|e| e.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    /// Names the first field whose value cannot be worked with.
    fn check(&self) -> Result<(), String> {
        let p = &self.params;
        let mut addresses = vec![
            ("api_addr", &self.listen),
            ("mesh_addr", &self.mesh_listen),
            ("endpoints.cloud", &self.endpoints.cloud),
            ("endpoints.state", &self.endpoints.state),
        ];
        addresses.extend(self.peers.iter().map(|x| ("peers.endpoint", &x.addr)));
        for (field, value) in addresses {
            if value.parse::<std::net::SocketAddr>().is_err() {
                return Err(format!("{field}: {value:?} is not an IP address with a port"));
            }
        }
        let positive = [
            ("params.workers.report_s", p.workers.report_s),
            ("params.workers.lease_s", p.workers.lease_s),
            ("params.workers.cancel_s", p.workers.cancel_s),
            ("params.state.rps", p.state.rps),
            ("params.state.write_rps", p.state.write_rps),
            ("params.state.value_kb", p.state.value_kb),
            ("params.cloud.rps", p.cloud.rps),
        ];
        for (field, value) in positive {
            if !(value > 0.0 && value <= 1e6) {
                return Err(format!("{field}: {value} is not above 0 and at most 1000000"));
            }
        }
        // What a machine that is told nothing any more still runs is gone with its lease.
        let margin = p.workers.lease_margin_s();
        let least = p.workers.lease_s + p.workers.report_s + margin;
        if p.workers.cancel_s < least {
            return Err(format!(
                "params.workers.cancel_s: {} is below {least}, which is lease_s, report_s and {margin} s together: \
                 withdrawn work could not be gone in time",
                p.workers.cancel_s
            ));
        }
        if let Some(mb) = p.limits.memory_mb.filter(|mb| !(*mb > 0.0 && *mb <= 1e9)) {
            return Err(format!("params.resources.memory_mb: {mb} is not above 0 and at most 1000000000"));
        }
        if !(p.skew_ms >= 0.0 && p.skew_ms <= 1e9) {
            return Err(format!("params.skew_ms: {} is not between 0 and 1000000000", p.skew_ms));
        }
        if p.state.txn_ops < 2 {
            return Err(format!("params.state.txn_ops: {} is below 2", p.state.txn_ops));
        }
        if p.limits.max_sockets < 16 {
            return Err(format!("params.resources.max_sockets: {} is below 16", p.limits.max_sockets));
        }
        if self.node.is_empty() {
            return Err("host_name: \"\" names nobody".into());
        }
        if p.zones.is_empty() {
            return Err("params.zones: [] leaves nowhere to run".into());
        }
        for team in &p.teams {
            for (field, value) in
                [("cpus", team.cpus), ("cpus_max", team.cpus_max), ("gpus", team.gpus), ("gpus_max", team.gpus_max)]
            {
                if !(value.is_finite() && value >= 0.0) {
                    return Err(format!("params.teams.{}.{field}: {value} is negative", team.name));
                }
            }
        }
        Ok(())
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.params.teams.iter().find(|t| t.name == name)
    }
}

#[cfg(test)]
pub mod tests;
