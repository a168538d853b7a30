//! Users: they submit, ask and cancel as the protocol says, through one controller after the other.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::map;
use crate::value::Value;
use crate::world::{World, lock};

pub struct Users {
    world: Arc<World>,
    api: Vec<String>,
    next: AtomicUsize,
}

/// A job without checkpoints and without a deadline.
#[derive(Clone)]
pub struct Job {
    pub id: &'static str,
    pub desk: &'static str,
    pub class: &'static str,
    pub urgency: &'static str,
    /// A gang whose tasks are all in one zone; otherwise an array.
    pub gang_in_one_zone: bool,
    pub yard: Option<&'static str>,
    /// Allowed machine types; any if empty.
    pub fleets: Vec<&'static str>,
    pub legs: u64,
    pub cpus: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub run_s: f64,
}

impl Default for Job {
    fn default() -> Self {
        Self {
            id: "run-000001",
            desk: "klimatismos",
            class: "leaf-vision",
            urgency: "normal",
            gang_in_one_zone: false,
            yard: None,
            fleets: vec![],
            legs: 1,
            cpus: 1.0,
            gpus: 0.0,
            mem_gb: 8.0,
            run_s: 300.0,
        }
    }
}

impl Job {
    fn body(&self) -> Value {
        let fleets = if self.fleets.is_empty() { Value::Null } else { self.fleets.clone().into() };
        map! {"uid" => self.id, "jobFamily" => self.class, "desk" => self.desk, "shape" => if self.gang_in_one_zone { "group" } else { "sweep" }, "urgency" => self.urgency,
        "legs" => self.legs, "cpus" => self.cpus, "accelerators" => self.gpus, "memGb" => self.mem_gb, "kit" => "img-01",
        "imageGb" => 0.5, "fleets" => fleets, "yard" => self.yard.map_or(Value::Null, Value::from), "samePlace" => self.gang_in_one_zone, "scatter" => false,
        "borrowed" => false, "expectedS" => self.run_s, "milestoneS" => 0.0, "stowS" => 0.0, "dueS" => Value::Null}
    }
}

impl Users {
    /// Starts the controllers, and waits until all of them are healthy.
    pub fn start(world: &Arc<World>) -> Result<Self, String> {
        let users = Self { world: world.clone(), api: world.start_controllers()?, next: AtomicUsize::new(0) };
        if users.wait_healthy() { Ok(users) } else { Err("the controllers did not become healthy".into()) }
    }

    /// Waits until every controller is healthy.
    fn wait_healthy(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if (0..self.api.len()).all(|n| self.healthy(n)) {
                self.world.note("all controllers are healthy");
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    pub fn healthy(&self, node: usize) -> bool {
        http::call(&self.api[node], "GET", "/healthz", None, Duration::from_secs(1))
            .is_some_and(|(status, _)| status == 200)
    }

    fn next_node(&self) -> usize {
        self.next.fetch_add(1, Ordering::Relaxed) % self.api.len()
    }

    /// Submits a job, with retries for up to 60 s. Returns whether it was accepted.
    pub fn submit(&self, job: &Job) -> bool {
        lock(&self.world.jobs).insert(job.id.to_owned(), job.body());
        lock(&self.world.run_s).insert(job.id.to_owned(), job.run_s);
        let until = Instant::now() + Duration::from_secs(60);
        while Instant::now() < until {
            let node = self.next_node();
            let answer = http::call(&self.api[node], "POST", "/work", Some(&job.body()), Duration::from_secs(5));
            self.world.note(&format!("submit {} ({} legs) at {node}: {}", job.id, job.legs, shown(&answer)));
            if matches!(answer, Some((200 | 201, _))) {
                return true;
            }
            thread::sleep(Duration::from_millis(1000));
        }
        false
    }

    /// Waits until a task of the job runs.
    pub fn wait_started(&self, id: &str) -> bool {
        let until = Instant::now() + Duration::from_secs(12);
        while Instant::now() < until {
            if self.world.machine_of(id).is_some() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Asks one controller about a job. Returns the status code, and the job's status.
    pub fn ask_at(&self, node: usize, id: &str) -> Option<(u16, Value)> {
        let answer = http::call(&self.api[node], "GET", &format!("/work/{id}"), None, Duration::from_secs(2));
        self.world.note(&format!("ask {id} at {node}: {}", shown(&answer)));
        answer
    }

    pub fn ask(&self, id: &str) -> Option<(u16, Value)> {
        self.ask_at(self.next_node(), id)
    }

    /// Asks to cancel a job, once, at one controller.
    pub fn withdraw_at(&self, node: usize, id: &str) -> Option<(u16, Value)> {
        let answer = http::call(&self.api[node], "POST", &format!("/work/{id}/withdraw"), None, Duration::from_secs(5));
        self.world.note(&format!("withdraw {id} at {node}: {}", shown(&answer)));
        answer
    }
}

pub fn shown(answer: &Option<(u16, Value)>) -> String {
    answer.as_ref().map_or("no answer".into(), |(status, body)| format!("{status} {}", body.json()))
}
