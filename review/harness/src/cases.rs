//! The cases of the review.

use std::time::{Duration, Instant};

use crate::controllers::Controllers;
use crate::fleet::Timing;
use crate::store::Limits;
use crate::users::{Job, Users};
use crate::world::{MachineType, Settings, World};
use crate::{Context, Verdict};

pub fn timing(lease_s: f64) -> Timing {
    Timing {
        lease: Duration::from_secs_f64(lease_s),
        gang_wait: Duration::from_secs(35),
        gang_peer: Duration::from_secs(8),
    }
}

/// The state service lowers its limits, as `state.next` announces; users then submit small arrays.
pub fn lower_limits(context: &Context) -> Verdict {
    let now = Limits { value_kb: 8.0, txn_ops: 24, write_rps: 40.0 };
    let next = Limits { value_kb: 2.0, txn_ops: 8, write_rps: 28.0 };
    let trocha = MachineType { name: "trocha", cpus: 16.0, mem: 64.0, rate: 0.96, startup_s: 10.0, capacity: 24 };
    let settings = Settings {
        report: Duration::from_secs(5),
        list_lag: Duration::from_secs(8),
        zones: vec!["costa", "sierra"],
        types: vec![trocha],
    };
    let params = r#"{"size":3,"zones":["costa","sierra"],
        "teams":[{"name":"vagones","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0}],
        "objectives":[{"kind":"deadline","class":"wagon-match","share":0.97,"times":1.0}],
        "workers":{"report_s":5.0,"lease_s":24.0,"gang_wait_s":35.0,"gang_peer_s":8.0,"cancel_s":49.0},
        "state":{"rps":100.0,"write_rps":40.0,"value_kb":8.0,"txn_ops":24,
            "next":{"rps":100.0,"write_rps":28.0,"value_kb":2.0,"txn_ops":8}},
        "cloud":{"rps":8.0,"list_lag_s":8.0},
        "resources":{"cores":0.16,"memory_mb":136.0,"max_sockets":3000},"skew_ms":25.0}"#;
    let world = World::new(settings, now, timing(24.0), 3, &context.record);
    let controllers = Controllers::start(&world, &context.root, &context.folder, 3, params);
    if !controllers.wait_healthy(Duration::from_secs(20)) {
        world.note("the controllers did not become healthy");
        return Verdict::CouldNotRun;
    }
    if context.trouble {
        world.note(format!("the state service lowers its limits from {now:?} to {next:?}"));
        world.lock().store.limits = next;
    }
    let users = Users::new(world.clone(), controllers.api.clone());
    let jobs: Vec<Job> = (0..12)
        .map(|n| Job { due_s: Some(60.0), ..Job::array(format!("run-{n:06}"), "wagon-match", "vagones", 25, 1.0, 8.0) })
        .collect();
    for (n, job) in jobs.iter().enumerate() {
        if !users.submit(job, n % 3) {
            world.note("a job was not accepted within 60 s");
            return Verdict::CouldNotRun;
        }
    }
    let accepted = Instant::now();
    let waiting = wait_for_all(&users, &jobs, accepted + WAIT_LIMIT + Duration::from_secs(1));
    let idle = machines_with_room(&world, 1.0, 2.0);
    let state = world.lock();
    let has_started = |id: &str| state.fleet.events.iter().any(|e| e.what == "start" && job_of(&e.leg) == id);
    let never_started: Vec<&str> = waiting.iter().map(String::as_str).filter(|id| !has_started(id)).collect();
    let (over, txn, value) = (state.store.over_limit, state.store.largest_txn, state.store.largest_value);
    let verdict = format!(
        "of {} accepted jobs {} are done; {} have waited {:.0} s without a start of any task while {idle} machines have \
         room: {}; the state service refused {over} transactions over its limits (largest: {txn} changes, {value} bytes \
         a value)",
        jobs.len(),
        jobs.len() - waiting.len(),
        never_started.len(),
        accepted.elapsed().as_secs_f64(),
        never_started.join(" "),
    );
    let broken = !never_started.is_empty() && idle > 0;
    drop(state);
    world.note(verdict);
    if broken { Verdict::Broken } else { Verdict::Held }
}

/// "no job is left waiting for 90 s while a machine that fits has room"
const WAIT_LIMIT: Duration = Duration::from_secs(90);

pub fn job_of(leg: &str) -> &str {
    leg.split('/').next().unwrap_or("")
}

/// Asks about all jobs every 5 s until they are done; returns those that are not by `until`.
fn wait_for_all(users: &Users, jobs: &[Job], until: Instant) -> Vec<String> {
    let mut open: Vec<String> = jobs.iter().map(|job| job.id.clone()).collect();
    for node in 0.. {
        open.retain(|id| users.poll(id, node % 3).is_none_or(|(status, text)| status != 200 || text != "done"));
        if open.is_empty() || Instant::now() >= until {
            break;
        }
        std::thread::sleep(Duration::from_secs(5).min(until.saturating_duration_since(Instant::now())));
    }
    open
}

/// The number of machines that are up and have room for a task of this size.
fn machines_with_room(world: &World, cpus: f64, mem: f64) -> usize {
    let state = world.lock();
    let fleet = &state.fleet;
    let has_room = |worker: &&crate::fleet::Worker| {
        let live = worker.tasks.iter().filter(|t| t.is_live()).filter_map(|t| fleet.uploads.get(job_of(&t.leg)));
        let (used_cpus, used_mem) = live.fold((0.0, 0.0), |(c, m), u| (c + u.cpus, m + u.mem));
        worker.alive && used_cpus + cpus <= worker.cpus && used_mem + mem <= worker.mem
    };
    fleet.workers.values().filter(has_room).count()
}

/// Jobs of a class with many small tasks come several times as often.
pub fn many_small_tasks(context: &Context) -> Verdict {
    let limits = Limits { value_kb: 16.0, txn_ops: 16, write_rps: 20.0 };
    let megalo = MachineType { name: "megalo", cpus: 96.0, mem: 384.0, rate: 5.2, startup_s: 5.0, capacity: 10 };
    let settings = Settings {
        report: Duration::from_secs(3),
        list_lag: Duration::from_secs(3),
        zones: vec!["messara"],
        types: vec![megalo],
    };
    let params = r#"{"size":3,"zones":["messara"],
        "teams":[{"name":"klimatismos","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0}],
        "objectives":[],
        "workers":{"report_s":3.0,"lease_s":36.0,"gang_wait_s":35.0,"gang_peer_s":8.0,"cancel_s":56.0},
        "state":{"rps":80.0,"write_rps":20.0,"value_kb":16.0,"txn_ops":16},
        "cloud":{"rps":3.0,"list_lag_s":3.0},
        "resources":{"cores":0.08,"memory_mb":56.0,"max_sockets":700},"skew_ms":25.0}"#;
    let world = World::new(settings, limits, timing(36.0), 3, &context.record);
    let controllers = Controllers::start(&world, &context.root, &context.folder, 3, params);
    if !controllers.wait_healthy(Duration::from_secs(20)) {
        return Verdict::CouldNotRun;
    }
    let users = Users::new(world.clone(), controllers.api.clone());
    let count = if context.trouble { 8 } else { 2 };
    let jobs: Vec<Job> =
        (0..count).map(|n| Job::array(format!("run-{n:06}"), "soil-probes", "klimatismos", 300, 0.05, 40.0)).collect();
    for (n, job) in jobs.iter().enumerate() {
        if !users.submit(job, n % 3) {
            return Verdict::CouldNotRun;
        }
    }
    let waiting = wait_for_all(&users, &jobs, Instant::now() + Duration::from_secs(100));
    let state = world.lock();
    let largest = state.fleet.largest_report;
    let of = |what: &str| state.fleet.events.iter().filter(|e| e.what == what).count();
    let (starts, done, lost) = (of("start"), of("done"), of("lost"));
    let machines: std::collections::BTreeSet<&str> =
        state.fleet.events.iter().filter(|e| e.what == "lost").map(|e| e.machine.as_str()).collect();
    let verdict = format!(
        "{} of {count} jobs are not done 100 s after their submission; the largest report had {largest} bytes; of {starts} \
         started tasks {done} were done and {lost} were lost, with {} machines that had no trouble",
        waiting.len(),
        machines.len()
    );
    // No machine stops, hangs or is cut off in this case: any loss comes from the controllers.
    let broken = !waiting.is_empty() && machines.len() >= 2;
    drop(state);
    world.note(verdict);
    if broken { Verdict::Broken } else { Verdict::Held }
}

/// Settings like those of the freight deployment, small.
pub fn freight(startup_s: f64, capacity: usize) -> (Settings, Limits, &'static str) {
    let trocha = MachineType { name: "trocha", cpus: 16.0, mem: 64.0, rate: 0.96, startup_s, capacity };
    let settings = Settings {
        report: Duration::from_secs(3),
        list_lag: Duration::from_secs(8),
        zones: vec!["costa", "sierra"],
        types: vec![trocha],
    };
    let params = r#"{"size":3,"zones":["costa","sierra"],
        "teams":[{"name":"vagones","cpus":0.0,"cpus_max":0.0,"gpus":0.0,"gpus_max":0.0}],
        "objectives":[],
        "workers":{"report_s":3.0,"lease_s":24.0,"gang_wait_s":35.0,"gang_peer_s":8.0,"cancel_s":49.0},
        "state":{"rps":100.0,"write_rps":40.0,"value_kb":8.0,"txn_ops":24},
        "cloud":{"rps":8.0,"list_lag_s":8.0},
        "resources":{"cores":0.16,"memory_mb":136.0,"max_sockets":3000},"skew_ms":25.0}"#;
    (settings, Limits { value_kb: 8.0, txn_ops: 24, write_rps: 40.0 }, params)
}

/// How long after a direct command was carried out it is repeated.
const REPEAT_AFTER: Duration = Duration::from_secs(15);

/// Direct commands that were carried out are repeated later. A task makes room for an urgent job and goes on elsewhere.
pub fn repeated_commands(context: &Context) -> Verdict {
    // One machine in each of the two zones.
    let (settings, limits, params) = freight(5.0, 1);
    let world = World::new(settings, limits, timing(24.0), 3, &context.record);
    let controllers = Controllers::start(&world, &context.root, &context.folder, 3, params);
    if !controllers.wait_healthy(Duration::from_secs(20)) {
        return Verdict::CouldNotRun;
    }
    if context.trouble {
        world.lock().repeat_commands_after = Some(REPEAT_AFTER);
    }
    let users = Users::new(world.clone(), controllers.api.clone());
    // Each job takes a whole machine. The first saves its progress, so it loses least when room is needed.
    let whole =
        |id: &str, run_s: f64| Job { mem: 32.0, ..Job::array(id.into(), "wagon-match", "vagones", 1, 16.0, run_s) };
    let moved = Job { checkpoint_s: 5.0, stow_s: 1.0, ..whole("run-000001", 40.0) };
    let other = whole("run-000002", 100.0);
    let urgent = Job { urgency: "prod", ..whole("run-000003", 4.0) };
    let has_started = |id: &str| world.lock().fleet.events.iter().any(|e| e.what == "start" && job_of(&e.leg) == id);
    let wait_for_starts = |ids: &[&str]| {
        let until = Instant::now() + Duration::from_secs(40);
        while !ids.iter().all(|id| has_started(id)) && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
        ids.iter().all(|id| has_started(id))
    };
    if !users.submit(&moved, 0) || !users.submit(&other, 1) || !wait_for_starts(&[&moved.id, &other.id]) {
        world.note("the first two jobs did not start");
        return Verdict::CouldNotRun;
    }
    // The urgent job takes the first one's machine. Then the other job is cancelled, and the first goes on there.
    if !users.submit(&urgent, 2) || !wait_for_starts(&[&urgent.id]) {
        world.note("the urgent job did not start");
        return Verdict::CouldNotRun;
    }
    for node in 0..20 {
        if users.cancel_once(&other.id, node % 3).is_some_and(|(status, text)| status == 200 && text == "withdrawn") {
            break;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let waiting = wait_for_all(&users, &[moved, urgent], Instant::now() + Duration::from_secs(55));
    let state = world.lock();
    let (mut on, mut twice) = (std::collections::BTreeMap::<&str, Vec<&str>>::new(), Vec::new());
    for event in &state.fleet.events {
        let machines = on.entry(&event.leg).or_default();
        if event.what == "start" {
            if !machines.is_empty() {
                let (leg, attempt, machine) = (&event.leg, event.attempt, &event.machine);
                twice.push(format!("{leg} try {attempt} starts on {machine} while it is on {}", machines.join(", ")));
            }
            machines.push(&event.machine);
        } else {
            machines.retain(|machine| *machine != event.machine);
        }
    }
    let verdict = format!("{} jobs not done; ran twice: {} {}", waiting.len(), twice.len(), twice.join("; "));
    let broken = !twice.is_empty();
    drop(state);
    world.note(verdict);
    if broken { Verdict::Broken } else { Verdict::Held }
}
