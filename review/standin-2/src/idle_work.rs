//! Idle jobs of a guest team that fit machines with accelerators only and need no accelerators.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::users::{Job, Users};
use crate::world::World;

/// How long the jobs are watched after their acceptance.
const WATCHED: Duration = Duration::from_secs(105);

pub fn run(world: &Arc<World>, trouble: bool) -> Outcome {
    let users = match Users::start(world) {
        Ok(users) => users,
        Err(error) => return Outcome::CouldNotRun(error),
    };
    let urgency = if trouble { "idle" } else { "normal" };
    let guest = Job {
        desk: "agro-lab",
        class: "crop-backfill",
        urgency,
        cpus: 4.0,
        mem_gb: 14.4,
        run_s: 10.0,
        ..Job::default()
    };
    // The first job fits all machine types, the second one `ilios` alone by its memory, the third by the types it allows.
    let jobs = [
        Job { id: "run-000501", ..guest.clone() },
        Job { id: "run-000502", mem_gb: 192.0, ..guest.clone() },
        Job { id: "run-000503", fleets: vec!["ilios"], ..guest },
    ];
    if !jobs.iter().all(|job| users.submit(job)) {
        return Outcome::Held("a job was not accepted".into());
    }
    let until = Instant::now() + WATCHED;
    let mut done = [false; 3];
    while Instant::now() < until && done != [true; 3] {
        thread::sleep(Duration::from_secs(3));
        for (job, done) in jobs.iter().zip(&mut done) {
            *done |= matches!(users.ask(job.id), Some((200, body)) if body.get("status").text() == "done");
        }
    }
    let starts = jobs.each_ref().map(|job| world.starts(job.id));
    let summary = format!(
        "after {:.0} s done: {done:?}, starts: {starts:?}, `ilios` rented: {} of 23",
        (WATCHED.saturating_sub(until.saturating_duration_since(Instant::now()))).as_secs_f64(),
        world.rented("ilios"),
    );
    if done == [true; 3] {
        Outcome::Held(summary)
    } else if done[0] && starts.contains(&0) {
        Outcome::Broken(summary)
    } else {
        Outcome::CouldNotRun(summary)
    }
}
