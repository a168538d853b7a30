//! Machines fail every task that they start, for less than a minute; a job has tasks on three of them.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::users::{Job, Users};
use crate::world::{World, lock};

/// How long machines fail every task that they start.
const SICK: Duration = Duration::from_secs(55);
/// When the control job is submitted, after the job.
const CONTROL_AT: Duration = Duration::from_secs(90);
/// How long the job is watched after its acceptance.
const WATCHED: Duration = Duration::from_secs(112);

pub fn run(world: &Arc<World>, trouble: bool) -> Outcome {
    let users = match Users::start(world) {
        Ok(users) => users,
        Err(error) => return Outcome::CouldNotRun(error),
    };
    let began = Instant::now();
    if trouble {
        *lock(&world.sick_until) = Some(began + SICK);
    }
    // One task fills a machine of 16 cores, so that the job takes three machines.
    let job = Job {
        id: "run-000700",
        desk: "rutas",
        class: "roster-solve",
        fleets: vec!["trocha"],
        legs: 3,
        cpus: 15.0,
        mem_gb: 51.0,
        run_s: 20.0,
        ..Job::default()
    };
    if !users.submit(&job) {
        return Outcome::CouldNotRun("the job was not accepted".into());
    }
    // A job of another class and machine type, long after the trouble: the service and the cloud are in order.
    let control = Job {
        id: "run-000701",
        desk: "vagones",
        class: "demand-cast",
        fleets: vec!["cumbre"],
        cpus: 6.0,
        gpus: 1.0,
        mem_gb: 48.0,
        run_s: 5.0,
        ..Job::default()
    };
    let (mut done, mut submitted, mut control_done) = (false, false, false);
    while began.elapsed() < WATCHED && !done {
        thread::sleep(Duration::from_secs(3));
        done = matches!(users.ask(job.id), Some((200, body)) if body.get("status").text() == "done");
        if began.elapsed() >= CONTROL_AT && !submitted {
            submitted = users.submit(&control);
        }
        if submitted && !control_done {
            control_done = matches!(users.ask(control.id), Some((200, body)) if body.get("status").text() == "done");
        }
        let machines: Vec<String> = world.machines().iter().map(|m| m.name.clone()).collect();
        world.note(&format!("machines rented now: {machines:?}"));
    }
    let summary = format!(
        "job done: {done}, its tasks were started {} times, `trocha` rented: {} in all; control job done: {control_done}",
        world.starts(job.id),
        world.rented("trocha"),
    );
    let waits_without_machine = world.machines().iter().all(|m| m.kind_name(world) != "trocha");
    if done {
        Outcome::Held(summary)
    } else if control_done && waits_without_machine {
        Outcome::Broken(format!("{summary}; the job waits, no machine that it allows is rented, and none is asked for"))
    } else {
        Outcome::CouldNotRun(summary)
    }
}
