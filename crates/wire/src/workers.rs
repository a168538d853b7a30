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
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn reports_read_and_refused() {
        let good = json!({"berth":"host-1","endpoint":"127.0.0.1:9","fleet":"g","yard":"a","borrowed":true,
            "shift":1,"tally":8,"baton":0,"recallS":null,"legs":[
              {"leg":"run-1/3","try":2,"status":"ended","cause":"done"}]});
        let read = |v: &serde_json::Value| crate::decode::<Report>(&crate::encode(v)).ok().filter(Report::check);
        assert_eq!(read(&good).unwrap().legs[0].task.index, 3);
        for (pointer, bad) in [
            ("/legs/0/leg", json!("run-1")),
            ("/legs/0/status", json!("lost")),
            ("/legs/0/cause", json!(null)),
            ("/endpoint", json!("nowhere")),
            ("/shift", json!(0)),
            ("/tally", json!(-1)),
        ] {
            let mut value = good.clone();
            *value.pointer_mut(pointer).unwrap() = bad;
            assert!(read(&value).is_none(), "{pointer}");
        }
    }

    #[test]
    fn orders_as_written() {
        let task = TaskKey { job: "run-7".into(), index: 1 };
        let order = Order::Halt { task, attempt: 3, grace_s: 10 };
        assert_eq!(
            serde_json::to_value(&order).unwrap(),
            json!({"verb":"halt","leg":"run-7/1","try":3,"windDownS":10})
        );
    }
}
