//! Messages between controllers and workers: heartbeats and commands.

use serde::{Deserialize, Serialize};

use crate::jobs::JobId;

/// The state of a task's attempt on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AttemptStatus {
    /// The machine fetches the image.
    Fetching,
    /// The attempt has its image and waits for the rest of its gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// The attempt runs.
    Running,
    /// The attempt was told to stop and saves its progress.
    Saving,
    /// The attempt has ended; its [`ExitCause`] gives the reason.
    #[serde(rename = "ended")]
    Exited,
}

/// Why an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitCause {
    /// The attempt finished with a result.
    #[serde(rename = "done")]
    Done,
    /// The attempt was told to stop.
    #[serde(rename = "halted")]
    Stopped,
    /// Another member of the attempt's gang was lost.
    #[serde(rename = "peers")]
    Peers,
    /// The attempt's gang was not complete in time.
    #[serde(rename = "alone")]
    Alone,
    /// The attempt failed.
    #[serde(rename = "error")]
    Error,
    /// The machine has too little free capacity for it.
    #[serde(rename = "full")]
    NoRoom,
    /// Another attempt of the same task is on the machine.
    #[serde(rename = "busy")]
    Busy,
    /// The worker does not know the attempt.
    #[serde(rename = "no_such")]
    Unknown,
}

/// One task of a job; `run-000412/3` on the wire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// The task's index in the job, from 0.
    pub index: u32,
}

impl Serialize for TaskKey {
    fn serialize<S: serde::Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(&format_args!("{}/{}", self.job, self.index))
    }
}

impl<'de> Deserialize<'de> for TaskKey {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(from)?;
        text.split_once('/')
            .and_then(|(job, index)| Some(Self { job: job.into(), index: index.parse().ok()? }))
            .ok_or_else(|| serde::de::Error::custom(format!("{text:?} names no task")))
    }
}

/// One attempt of a task as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The task.
    #[serde(rename = "leg")]
    pub task: TaskKey,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// The attempt's state.
    pub status: AttemptStatus,
    /// Why the attempt ended; present only for an attempt that ended.
    #[serde(default, rename = "cause")]
    pub cause: Option<ExitCause>,
    /// Whether its progress was saved, for an attempt that ended.
    #[serde(default, rename = "kept")]
    pub saved: Option<bool>,
}

/// A worker's heartbeat: what the machine is, and the state of all attempts on it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The cloud's name of the machine.
    #[serde(rename = "berth")]
    pub machine: String,
    /// Address (`host:port`) at which the worker takes commands.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Name of the machine's type.
    #[serde(rename = "fleet")]
    pub type_name: String,
    /// Zone in which it runs.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Number of the agent's epoch, from 1; it grows when the worker loses its lease and with it all its
    /// attempts.
    #[serde(rename = "shift")]
    pub agent_epoch: u64,
    /// Sequence number of the heartbeat; an older heartbeat has a smaller one.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// The highest fencing token that the worker has seen; it refuses commands under a smaller one.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Seconds until the cloud takes the machine away, once it has given notice.
    #[serde(default, rename = "recallS")]
    pub notice_s: Option<f64>,
    /// All attempts on the worker, and those that ended and are not yet reaped.
    #[serde(rename = "legs")]
    pub attempts: Vec<AttemptReport>,
}

impl Heartbeat {
    /// Whether the fields are consistent with each other and within their bounds.
    #[must_use]
    pub fn check(&self) -> bool {
        self.agent_epoch >= 1
            && !self.machine.is_empty()
            && self.addr.parse::<std::net::SocketAddr>().is_ok()
            && self.notice_s.is_none_or(|s| (-1e6..=1e6).contains(&s))
            && self.attempts.iter().all(|a| (a.status == AttemptStatus::Exited) == a.cause.is_some())
    }
}

/// A command to a worker, which executes commands in sequence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum WorkerCommand {
    /// Starts an attempt. Repeated, it changes nothing.
    Launch {
        /// The task.
        #[serde(rename = "leg")]
        task: TaskKey,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops an attempt.
    Halt {
        /// The task.
        #[serde(rename = "leg")]
        task: TaskKey,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds that the attempt has to save its progress; 0: none.
        #[serde(rename = "windDownS")]
        grace_s: u64,
    },
    /// Removes an attempt that has ended from the worker's heartbeats.
    Reap {
        /// The task.
        #[serde(rename = "leg")]
        task: TaskKey,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Commands under a fencing token: the answer to a heartbeat, or sent directly to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCommands {
    /// The fencing token of the controller that sends them.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// The agent epoch they are meant for; absent in the answer to a heartbeat.
    #[serde(default, rename = "shift", skip_serializing_if = "Option::is_none")]
    pub agent_epoch: Option<u64>,
    /// The commands, executed in sequence.
    pub orders: Vec<WorkerCommand>,
}

#[cfg(test)]
mod tests;
