//! Gangs whose tasks must be in one zone, while a small task of another job keeps a machine up that has room for one task
//! of the gang.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::users::{Job, Users};
use crate::world::World;

/// How long the gang is watched after its acceptance.
const WATCHED: Duration = Duration::from_secs(102);

/// A gang of short tasks, and a tiny task of a guest.
pub fn run_beside_guest(world: &Arc<World>, trouble: bool) -> Outcome {
    let guest = Job {
        id: "run-000800",
        desk: "agro-lab",
        class: "soil-probes",
        urgency: "idle",
        cpus: 0.25,
        mem_gb: 0.45,
        run_s: 150.0,
        ..Job::default()
    };
    let gang = Job {
        id: "run-000801",
        class: "airflow-solve",
        gang_in_one_zone: true,
        legs: 2,
        cpus: 30.0,
        mem_gb: 51.0,
        run_s: 35.0,
        ..Job::default()
    };
    run(world, trouble.then_some(guest), &gang)
}

/// A small task that must be in `costa`, on the only machine there if the cloud has no more.
pub fn run_in_full_zone(world: &Arc<World>, _: bool) -> Outcome {
    let small = Job {
        id: "run-000900",
        desk: "vagones",
        class: "wagon-match",
        yard: Some("costa"),
        mem_gb: 2.4,
        run_s: 120.0,
        ..Job::default()
    };
    let gang = Job {
        id: "run-000901",
        desk: "rutas",
        class: "roster-solve",
        gang_in_one_zone: true,
        legs: 2,
        cpus: 15.0,
        mem_gb: 51.0,
        run_s: 50.0,
        ..Job::default()
    };
    run(world, Some(small), &gang)
}

/// Submits the gang once the first job runs, if there is one, and watches the gang.
fn run(world: &Arc<World>, first: Option<Job>, gang: &Job) -> Outcome {
    let users = match Users::start(world) {
        Ok(users) => users,
        Err(error) => return Outcome::CouldNotRun(error),
    };
    if !first.is_none_or(|job| users.submit(&job) && users.wait_started(job.id)) {
        return Outcome::CouldNotRun("the first job did not start".into());
    }
    if !users.submit(gang) {
        return Outcome::CouldNotRun("the gang was not accepted".into());
    }
    let began = Instant::now();
    let mut done = false;
    while began.elapsed() < WATCHED && !done {
        thread::sleep(Duration::from_secs(3));
        done = matches!(users.ask(gang.id), Some((200, body)) if body.get("status").text() == "done");
    }
    let rented: Vec<String> =
        world.sizes.types.iter().map(|t| format!("{} `{}`", world.rented(t.name), t.name)).collect();
    let summary = format!(
        "gang done: {done}, its tasks were started {} times; machines rented in all: {}",
        world.starts(gang.id),
        rented.join(", "),
    );
    if done { Outcome::Held(summary) } else { Outcome::Broken(summary) }
}
