//! An array of many small tasks, all within the limits of the protocol, on machines that have room for all of them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::users::{Job, Users};
use crate::world::World;

/// Size limit of a request body, counted in the JSON form.
const MAX_BODY: u64 = 65_536;
/// Run time of a task. It is shorter than the lease, so that one undisturbed session completes all tasks.
const RUN_S: f64 = 20.0;
/// How long the job is watched after its acceptance.
const WATCHED: Duration = Duration::from_secs(100);

pub fn run(world: &Arc<World>, trouble: bool) -> Outcome {
    let api = match world.start_controllers() {
        Ok(api) => api,
        Err(error) => return Outcome::CouldNotRun(error),
    };
    let users = Users::new(world, api);
    if !users.wait_healthy() {
        return Outcome::CouldNotRun("the controllers did not become healthy".into());
    }
    let legs = if trouble { 1900 } else { 600 };
    let job = Job {
        id: "run-000412",
        desk: "agro-lab",
        class: "soil-probes",
        fleets: vec!["ilios"],
        legs,
        cpus: 0.05,
        mem_gb: 0.1,
        run_s: RUN_S,
        ..Job::default()
    };
    if !users.submit(&job) {
        return Outcome::Held("the job was not accepted".into());
    }
    let until = Instant::now() + WATCHED;
    let mut done = false;
    let mut seen = std::collections::BTreeMap::new();
    while Instant::now() < until && !done {
        thread::sleep(Duration::from_secs(5));
        done = matches!(users.ask(job.id), Some((200, body)) if body.get("status").text() == "done");
        for m in world.machines() {
            world.note(&format!(
                "machine {}: largest report {} bytes ({} as JSON), reports answered {}, refused {}, tasks started {}, killed at the end of a lease {}",
                m.name,
                m.largest_report.load(Ordering::Relaxed),
                m.largest_report_json.load(Ordering::Relaxed),
                m.reports_answered.load(Ordering::Relaxed),
                m.reports_refused.load(Ordering::Relaxed),
                m.starts.load(Ordering::Relaxed),
                m.killed_by_lease.load(Ordering::Relaxed),
            ));
            seen.insert(m.name.clone(), m);
        }
    }
    let (starts, largest) = seen.values().fold((0, 0), |(s, l), m| {
        (s + m.starts.load(Ordering::Relaxed), l.max(m.largest_report_json.load(Ordering::Relaxed)))
    });
    let summary = format!(
        "{legs} tasks of {RUN_S} s, {starts} starts on {} machines, largest report {largest} bytes of JSON",
        seen.len()
    );
    if done {
        Outcome::Held(format!("the job is done; {summary}"))
    } else if largest > MAX_BODY && starts >= 2 * legs {
        Outcome::Broken(format!("the accepted job is not done after {} s; {summary}", WATCHED.as_secs()))
    } else {
        Outcome::CouldNotRun(format!(
            "the job is not done, and no report was above the limit or no work was repeated; {summary}"
        ))
    }
}
