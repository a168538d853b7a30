//! Job descriptions as users submit them, and their validation.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::text;

/// Maximum number of tasks of one job.
pub const MAX_TASKS: u64 = 100_000;

/// The id of a job, `run-` and digits. It is reference-counted because many maps are keyed by it.
pub type JobId = std::sync::Arc<str>;

/// How the tasks of a job depend on each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each with a result of its own.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that start together and fail together (gang scheduling).
    #[serde(rename = "group")]
    Gang,
    /// Replicas that run until they are stopped.
    #[serde(rename = "service")]
    Service,
}

/// The priority of a job, ordered from the least to the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    /// Runs only on capacity that no other job needs.
    #[serde(rename = "idle")]
    Idle,
    /// The usual priority.
    #[serde(rename = "normal")]
    Normal,
    /// Before normal jobs.
    #[serde(rename = "high")]
    High,
    /// Before all others.
    #[serde(rename = "prod")]
    Prod,
}

/// A job as submitted. The names on the wire differ from the field names; see the serde renames.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id, chosen by the user; it makes submission idempotent.
    #[serde(rename = "uid", deserialize_with = "text::required")]
    pub id: JobId,
    /// Kind of work; jobs of one class resemble each other in run time and needs.
    #[serde(rename = "jobFamily", deserialize_with = "text::required")]
    pub class: String,
    /// Team that submits the job and whose quota it counts against.
    #[serde(rename = "desk", deserialize_with = "text::required")]
    pub team: String,
    /// How its tasks depend on each other.
    #[serde(deserialize_with = "text::variant")]
    pub shape: Shape,
    /// Its priority.
    #[serde(deserialize_with = "text::variant")]
    pub urgency: Urgency,
    /// Number of tasks, from 1 to [`MAX_TASKS`].
    #[serde(rename = "legs")]
    pub tasks: u64,
    /// Cores that one task needs.
    pub cpus: f64,
    /// Accelerators that one task needs.
    #[serde(rename = "accelerators")]
    pub gpus: f64,
    /// Memory that one task needs, in GB.
    #[serde(rename = "memGb")]
    pub memory_gb: f64,
    /// Name of the image that a machine fetches before a task starts.
    #[serde(rename = "kit", deserialize_with = "text::required")]
    pub image: String,
    /// Size of the image, in GB.
    #[serde(rename = "imageGb")]
    pub image_gb: f64,
    /// Names of the machine types allowed; any type if absent.
    #[serde(rename = "fleets", default, deserialize_with = "text::optional_list")]
    pub types: Option<Vec<String>>,
    /// Zone required; any zone if absent.
    #[serde(rename = "yard", default, deserialize_with = "text::optional")]
    pub zone: Option<String>,
    /// Whether all tasks must run in one zone.
    #[serde(rename = "samePlace")]
    pub same_zone: bool,
    /// Whether no zone may hold more than half of its tasks, rounded up.
    #[serde(rename = "scatter")]
    pub spread: bool,
    /// Whether its tasks may run on spot machines.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// The user's estimate of one task's run time, in seconds.
    #[serde(rename = "expectedS")]
    pub estimate_s: f64,
    /// Interval of checkpoints in seconds; 0 if a task cannot save its progress.
    #[serde(rename = "milestoneS")]
    pub checkpoint_s: f64,
    /// Time that saving takes when a task is stopped, in seconds.
    #[serde(rename = "stowS")]
    pub save_s: f64,
    /// Deadline in seconds after the submission, if there is one.
    #[serde(rename = "dueS", default)]
    pub due_s: Option<f64>,
}

/// A field of a job description whose value is not allowed.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
#[error("{field}: {value} is not {wanted}")]
pub struct InvalidField {
    /// The field's name on the wire.
    pub field: &'static str,
    /// The value that it has.
    pub value: String,
    /// The values allowed, as part of a sentence: `in its form`, `an amount`.
    pub wanted: String,
}

impl JobSpec {
    /// Checks each field on its own, without regard to the machines and teams that exist. The error names the field as
    /// it is on the wire.
    pub fn check(&self) -> Result<(), InvalidField> {
        let invalid =
            |field, value: String, wanted: &str| Err(InvalidField { field, value, wanted: wanted.to_owned() });
        if !is_valid_job_id(&self.id) {
            return invalid("uid", format!("{:?}", self.id), "in its form");
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return invalid("legs", self.tasks.to_string(), &format!("between 1 and {MAX_TASKS}"));
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

    /// Deadline, counted from the submission.
    pub fn due(&self) -> Option<Duration> {
        self.due_s.map(Duration::from_secs_f64)
    }

    /// The user's estimate of one task's run time.
    pub fn estimate(&self) -> Duration {
        Duration::from_secs_f64(self.estimate_s)
    }

    /// Whether the job runs only on capacity that other jobs leave unused.
    pub fn is_idle(&self) -> bool {
        self.urgency == Urgency::Idle
    }

    /// Whether the tasks of the job start and fail together.
    pub fn is_gang(&self) -> bool {
        self.shape == Shape::Gang
    }
}

/// Whether an id is `run-` and one to twenty digits: bounded, and free of characters that are special in a key or a
/// path.
pub fn is_valid_job_id(id: &str) -> bool {
    id.strip_prefix("run-")
        .is_some_and(|digits| (1..=20).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit()))
}
