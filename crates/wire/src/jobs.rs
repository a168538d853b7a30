//! A job as users send it, and its checks.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::text;

pub const MOST_TASKS: u64 = 100_000;

/// Job ids are shared by every map that speaks of a job.
pub type JobId = std::sync::Arc<str>;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    #[serde(rename = "sweep")]
    Array,
    #[serde(rename = "group")]
    Gang,
    #[serde(rename = "service")]
    Service,
}

/// Ordered from the least to the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    #[serde(rename = "idle")]
    Idle,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "prod")]
    Prod,
}

/// A job as submitted. The names on the wire are the deployment's.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(rename = "uid", deserialize_with = "text::required")]
    pub id: JobId,
    #[serde(rename = "jobFamily", deserialize_with = "text::required")]
    pub class: String,
    #[serde(rename = "desk", deserialize_with = "text::required")]
    pub team: String,
    #[serde(deserialize_with = "text::variant")]
    pub shape: Shape,
    #[serde(deserialize_with = "text::variant")]
    pub urgency: Urgency,
    #[serde(rename = "legs")]
    pub tasks: u64,
    pub cpus: f64,
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    #[serde(rename = "kit", deserialize_with = "text::required")]
    pub image: String,
    #[serde(rename = "imageGb")]
    pub image_gb: f64,
    #[serde(rename = "fleets", default, deserialize_with = "text::optional_list")]
    pub types: Option<Vec<String>>,
    #[serde(rename = "yard", default, deserialize_with = "text::optional")]
    pub zone: Option<String>,
    #[serde(rename = "samePlace")]
    pub same_zone: bool,
    #[serde(rename = "scatter")]
    pub spread: bool,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    #[serde(rename = "expectedS")]
    pub estimate_s: f64,
    #[serde(rename = "milestoneS")]
    pub checkpoint_s: f64,
    #[serde(rename = "stowS")]
    pub save_s: f64,
    #[serde(rename = "dueS", default)]
    pub due_s: Option<f64>,
}

/// A field of a job that holds what it must not.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{field}: {value} is not {wanted}")]
pub struct InvalidField {
    pub field: &'static str,
    pub value: String,
    pub wanted: String,
}

impl JobSpec {
    /// What is wrong with it in itself, whatever machines and teams there are.
    pub fn check(&self) -> Result<(), InvalidField> {
        let invalid =
            |field, value: String, wanted: &str| Err(InvalidField { field, value, wanted: wanted.to_owned() });
        if !well_formed_id(&self.id) {
            return invalid("uid", format!("{:?}", self.id), "in its form");
        }
        if self.tasks == 0 || self.tasks > MOST_TASKS {
            return invalid("legs", self.tasks.to_string(), &format!("between 1 and {MOST_TASKS}"));
        }
        let amounts = [
            ("cpus", self.cpus),
            ("accelerators", self.gpus),
            ("memGb", self.memory_gb),
            ("imageGb", self.image_gb),
            ("expectedS", self.estimate_s),
            ("milestoneS", self.checkpoint_s),
            ("stowS", self.save_s),
            ("dueS", self.due_s.unwrap_or(0.0)),
        ];
        for (field, value) in amounts {
            // Far above any real amount; larger ones would overflow the time types.
            if !(0.0..=1e12).contains(&value) {
                return invalid(field, value.to_string(), "an amount");
            }
        }
        Ok(())
    }

    pub fn due(&self) -> Option<Duration> {
        self.due_s.map(Duration::from_secs_f64)
    }

    pub fn estimate(&self) -> Duration {
        Duration::from_secs_f64(self.estimate_s)
    }

    /// Fills what others leave over.
    pub fn is_idle(&self) -> bool {
        self.urgency == Urgency::Idle
    }

    /// A gang stands or falls together; everything else goes task by task.
    pub fn is_gang(&self) -> bool {
        self.shape == Shape::Gang
    }
}

/// `run-` and up to twenty digits: bounded, and free of what a key or a path would trip over.
pub fn well_formed_id(id: &str) -> bool {
    id.strip_prefix("run-")
        .is_some_and(|digits| (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit()))
}
