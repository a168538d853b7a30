//! A gang whose tasks must be in one zone. In one zone a machine is up that has room for one of them, and the cloud has no
//! more machines there; in the other zone it has enough.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::users::{Job, Users};
use crate::world::World;

/// How long the gang is watched after its acceptance.
const WATCHED: Duration = Duration::from_secs(102);

pub fn run(world: &Arc<World>, _: bool) -> Outcome {
    let api = match world.start_controllers() {
        Ok(api) => api,
        Err(error) => return Outcome::CouldNotRun(error),
    };
    let users = Users::new(world, api);
    if !users.wait_healthy() {
        return Outcome::CouldNotRun("the controllers did not become healthy".into());
    }
    // A small task that must be in `costa`, on the only machine there, which has room for one task of the gang.
    let small = Job {
        id: "run-000900",
        desk: "vagones",
        class: "wagon-match",
        yard: Some("costa"),
        mem_gb: 2.4,
        run_s: 120.0,
        ..Job::default()
    };
    if !(users.submit(&small) && users.wait_started(small.id)) {
        return Outcome::CouldNotRun("the first job did not start".into());
    }
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
    if !users.submit(&gang) {
        return Outcome::CouldNotRun("the gang was not accepted".into());
    }
    let began = Instant::now();
    let mut done = false;
    while began.elapsed() < WATCHED && !done {
        thread::sleep(Duration::from_secs(3));
        done = matches!(users.ask(gang.id), Some((200, body)) if body.get("status").text() == "done");
    }
    let summary = format!(
        "gang done: {done}, its tasks were started {} times; machines rented in all: {} `trocha`, {} `cumbre`",
        world.starts(gang.id),
        world.rented("trocha"),
        world.rented("cumbre"),
    );
    if done { Outcome::Held(summary) } else { Outcome::Broken(summary) }
}
