//! Users: they submit jobs, ask about them and cancel them, as the protocol's page describes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::Upload;
use crate::http;
use crate::msgpack::Value;
use crate::world::World;

/// The image that all jobs need.
const IMAGE: &str = "img-01";

#[derive(Debug, Clone)]
pub struct Job {
    pub id: String,
    pub family: &'static str,
    pub desk: &'static str,
    pub shape: &'static str,
    pub tasks: u64,
    pub cpus: f64,
    pub mem: f64,
    pub run_s: f64,
    pub due_s: Option<f64>,
    pub checkpoint_s: f64,
    pub stow_s: f64,
    pub fleets: Option<Vec<&'static str>>,
    pub spot: bool,
    pub same_place: bool,
    pub urgency: &'static str,
}

impl Job {
    /// An array of small tasks.
    pub fn array(id: String, family: &'static str, desk: &'static str, tasks: u64, cpus: f64, run_s: f64) -> Self {
        Self {
            id,
            family,
            desk,
            shape: "sweep",
            tasks,
            cpus,
            mem: cpus * 2.0,
            run_s,
            due_s: None,
            checkpoint_s: 0.0,
            stow_s: 0.0,
            fleets: None,
            spot: false,
            same_place: false,
            urgency: "normal",
        }
    }

    fn body(&self) -> Value {
        let names = |names: &Vec<&'static str>| Value::List(names.iter().map(|n| Value::text(*n)).collect());
        Value::map([
            ("uid", Value::text(&self.id)),
            ("jobFamily", Value::text(self.family)),
            ("desk", Value::text(self.desk)),
            ("shape", Value::text(self.shape)),
            ("urgency", Value::text(self.urgency)),
            ("legs", Value::Uint(self.tasks)),
            ("cpus", Value::Float(self.cpus)),
            ("accelerators", Value::Float(0.0)),
            ("memGb", Value::Float(self.mem)),
            ("kit", Value::text(IMAGE)),
            ("imageGb", Value::Float(0.2)),
            ("fleets", self.fleets.as_ref().map_or(Value::Null, names)),
            ("yard", Value::Null),
            ("samePlace", Value::Bool(self.same_place)),
            ("scatter", Value::Bool(false)),
            ("borrowed", Value::Bool(self.spot)),
            ("expectedS", Value::Float(if self.shape == "service" { 0.0 } else { self.run_s })),
            ("milestoneS", Value::Float(self.checkpoint_s)),
            ("stowS", Value::Float(self.stow_s)),
            ("dueS", self.due_s.map_or(Value::Null, Value::Float)),
        ])
    }

    fn upload(&self) -> Upload {
        Upload {
            gang: self.shape == "group",
            tasks: self.tasks,
            cpus: self.cpus,
            mem: self.mem,
            run: if self.shape == "service" { Duration::ZERO } else { Duration::from_secs_f64(self.run_s) },
            checkpoint_s: self.checkpoint_s,
            stow_s: self.stow_s,
            image: IMAGE,
        }
    }
}

/// What users were told of a job.
#[derive(Debug, Clone, Default)]
pub struct Told {
    pub accepted: Option<Instant>,
    pub done: Option<Instant>,
    pub cancelled: Option<Instant>,
    pub cancel_asked: Option<Instant>,
    pub last: Option<(u16, String)>,
    /// Every answer: when it was asked for, when it came, its status and its text.
    pub answers: Vec<(Instant, Instant, u16, String)>,
}

pub struct Users {
    pub world: Arc<World>,
    pub nodes: Vec<String>,
    pub told: Mutex<BTreeMap<String, Told>>,
}

fn status_of(body: &Value) -> String {
    body.get("status").as_str().or(body.get("error").as_str()).unwrap_or("").to_owned()
}

impl Users {
    pub fn new(world: Arc<World>, nodes: Vec<String>) -> Arc<Self> {
        Arc::new(Self { world, nodes, told: Mutex::default() })
    }

    fn with_told(&self, id: &str, change: impl FnOnce(&mut Told)) {
        let mut told = self.told.lock().unwrap_or_else(|p| p.into_inner());
        change(told.entry(id.to_owned()).or_default());
    }

    pub fn told(&self, id: &str) -> Told {
        self.told.lock().unwrap_or_else(|p| p.into_inner()).get(id).cloned().unwrap_or_default()
    }

    fn record(&self, what: &str, id: &str, node: usize, asked: Instant, answer: &Option<(u16, Value)>) {
        let text = answer.as_ref().map_or("no answer".into(), |(status, body)| format!("{status} {}", body.json()));
        self.world.note(format!("{what} {id} at node-{node}: {text}"));
        if let Some((status, body)) = answer {
            let text = status_of(body);
            self.with_told(id, |told| {
                let now = Instant::now();
                match text.as_str() {
                    "done" => {
                        told.done.get_or_insert(now);
                    }
                    "withdrawn" => {
                        told.cancelled.get_or_insert(now);
                    }
                    "pending" | "running" => {
                        told.accepted.get_or_insert(now);
                    }
                    _ => {}
                }
                told.answers.push((asked, now, *status, text.clone()));
                told.last = Some((*status, text));
            });
        }
    }

    /// One attempt to submit a job, at one node.
    pub fn submit_once(&self, job: &Job, node: usize) -> Option<(u16, Value)> {
        self.world.lock().fleet.uploads.entry(job.id.clone()).or_insert_with(|| job.upload());
        let asked = Instant::now();
        let answer = http::call(&self.nodes[node], "POST", "/work", Some(&job.body()), Duration::from_secs(5));
        self.record("submit", &job.id, node, asked, &answer);
        answer
    }

    /// Submits a job, and repeats that at the other nodes for up to 60 s. Returns whether it was accepted.
    pub fn submit(&self, job: &Job, first_node: usize) -> bool {
        let started = Instant::now();
        for attempt in 0.. {
            match self.submit_once(job, (first_node + attempt) % self.nodes.len()) {
                Some((200 | 201, _)) => return true,
                Some((400 | 422, _)) => return false,
                _ if started.elapsed() > Duration::from_secs(60) => return false,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        false
    }

    /// Asks about a job at one node.
    pub fn poll(&self, id: &str, node: usize) -> Option<(u16, String)> {
        let asked = Instant::now();
        let answer = http::call(&self.nodes[node], "GET", &format!("/work/{id}"), None, Duration::from_secs(2));
        self.record("ask", id, node, asked, &answer);
        answer.map(|(status, body)| (status, status_of(&body)))
    }

    /// One attempt to cancel a job, at one node.
    pub fn cancel_once(&self, id: &str, node: usize) -> Option<(u16, String)> {
        self.with_told(id, |told| {
            told.cancel_asked.get_or_insert(Instant::now());
        });
        let path = format!("/work/{id}/withdraw");
        let asked = Instant::now();
        let answer = http::call(&self.nodes[node], "POST", &path, Some(&Value::map([])), Duration::from_secs(5));
        self.record("cancel", id, node, asked, &answer);
        answer.map(|(status, body)| (status, status_of(&body)))
    }

    /// Asks about a job at changing nodes until it is done, every `interval`, for up to `timeout`.
    pub fn wait_done(&self, id: &str, interval: Duration, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        for node in 0.. {
            if self.poll(id, node % self.nodes.len()).is_some_and(|(status, text)| status == 200 && text == "done") {
                return true;
            }
            if Instant::now() + interval > until {
                return false;
            }
            std::thread::sleep(interval);
        }
        false
    }
}
