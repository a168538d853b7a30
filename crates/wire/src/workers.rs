//! What workers report and are told.

use serde::{Deserialize, Serialize};

use crate::jobs::JobId;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LegStatus {
    Fetching,
    #[serde(rename = "gathering")]
    Waiting,
    Running,
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "peers")]
    Peers,
    #[serde(rename = "alone")]
    Alone,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "full")]
    NoRoom,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
}

/// `run-000412/3` on the wire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskKey {
    pub job: JobId,
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

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leg {
    #[serde(rename = "leg")]
    pub task: TaskKey,
    #[serde(rename = "try")]
    pub attempt: u64,
    pub status: LegStatus,
    #[serde(default, rename = "cause")]
    pub cause: Option<Cause>,
    #[serde(default, rename = "kept")]
    pub saved: Option<bool>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    #[serde(rename = "berth")]
    pub machine: String,
    #[serde(rename = "endpoint")]
    pub addr: String,
    #[serde(rename = "fleet")]
    pub type_name: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "tally")]
    pub seq: u64,
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(default, rename = "recallS")]
    pub notice_s: Option<f64>,
    pub legs: Vec<Leg>,
}

impl Report {
    /// Whether it makes sense in itself.
    pub fn check(&self) -> bool {
        self.session >= 1
            && !self.machine.is_empty()
            && self.addr.parse::<std::net::SocketAddr>().is_ok()
            && self.notice_s.is_none_or(|s| (-1e6..=1e6).contains(&s))
            && self.legs.iter().all(|l| (l.status == LegStatus::Exited) == l.cause.is_some())
    }
}

/// What a worker is to do; it executes them in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    Launch {
        #[serde(rename = "leg")]
        task: TaskKey,
        #[serde(rename = "try")]
        attempt: u64,
    },
    Halt {
        #[serde(rename = "leg")]
        task: TaskKey,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "windDownS")]
        grace_s: u64,
    },
    Reap {
        #[serde(rename = "leg")]
        task: TaskKey,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Orders under a token: in the answer to a report, or sent directly to a session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(default, rename = "shift", skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
    pub orders: Vec<Order>,
}

#[cfg(test)]
mod tests;
