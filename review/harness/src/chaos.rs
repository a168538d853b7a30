//! A drawn run with many troubles, to look for broken rules.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::cases::{freight, job_of, timing};
use crate::controllers::Controllers;
use crate::users::{Job, Users};
use crate::world::{StoreLink, World};
use crate::{Context, Verdict};

struct Rng(u64);
impl Rng {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 >> 3
    }
    fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }
}

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

pub fn chaos(context: &Context) -> Verdict {
    let env = |name: &str, default: u64| std::env::var(name).ok().and_then(|s| s.parse().ok()).unwrap_or(default);
    let seed = env("SEED", 1);
    let (trouble_s, calm_s, kinds) = (env("TROUBLE_S", 100), env("CALM_S", 110), env("KINDS", (1 << 18) - 1));
    let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let (settings, limits, params) = freight(3.0, 6);
    let params = params.replace(r#""cpus_max":0.0"#, r#""cpus_max":90.0"#);
    let world = World::new(settings, limits, timing(24.0), 3, &context.record);
    let mut controllers = Controllers::start(&world, &context.root, &context.folder, 3, &params);
    if !controllers.wait_healthy(seconds(20)) {
        return Verdict::CouldNotRun;
    }
    let users = Users::new(world.clone(), controllers.api.clone());
    let started = Instant::now();
    let mut handles = Vec::new();
    for user in 0..6u64 {
        let (users, mut rng) = (users.clone(), Rng(seed.wrapping_mul(77).wrapping_add(user * 7919 + 13) | 1));
        handles.push(std::thread::spawn(move || {
            let mut n = 0;
            let mut mine: Vec<(Job, bool)> = Vec::new();
            while started.elapsed() < seconds(trouble_s + calm_s) {
                if started.elapsed() < seconds(trouble_s) && mine.len() < 16 && rng.below(4) == 0 {
                    let id = format!("run-{:06}", user * 1000 + n);
                    n += 1;
                    let mut job =
                        Job::array(id, "wagon-match", "vagones", 1 + rng.below(4), 2.0, 2.0 + rng.below(14) as f64);
                    if rng.below(3) == 0 {
                        job.shape = "group";
                        job.tasks = 2;
                        job.cpus = 6.0;
                        job.same_place = true;
                    }
                    if rng.below(3) == 0 {
                        (job.checkpoint_s, job.stow_s) = (5.0, 2.0);
                    }
                    users.submit_once(&job, rng.below(3) as usize);
                    mine.push((job, rng.below(4) == 0));
                }
                if !mine.is_empty() {
                    let pick = rng.below(mine.len() as u64) as usize;
                    let (job, cancel) = &mine[pick];
                    let told = users.told(&job.id);
                    if told.accepted.is_none() && told.done.is_none() && told.cancelled.is_none() {
                        users.submit_once(job, rng.below(3) as usize);
                    } else if *cancel && told.cancelled.is_none() && told.done.is_none() && rng.below(2) == 0 {
                        users.cancel_once(&job.id, rng.below(3) as usize);
                    } else if rng.below(8) == 0 {
                        users.submit_once(job, rng.below(3) as usize);
                    } else {
                        users.poll(&job.id, rng.below(3) as usize);
                    }
                }
                std::thread::sleep(Duration::from_millis(100 + rng.below(200)));
            }
        }));
    }
    // Troubles, each for a while.
    let mut undo: Vec<(Instant, u64, usize)> = Vec::new();
    while started.elapsed() < seconds(trouble_s) {
        std::thread::sleep(Duration::from_millis(1000 + rng.below(4000)));
        let (kind, node, now) =
            (rng.below(if kinds >> 18 == 0 { 18 } else { 20 }), rng.below(3) as usize, Instant::now());
        for (_, kind, node) in undo.extract_if(.., |(at, ..)| *at <= now) {
            end_trouble(&world, &mut controllers, kind, node);
        }
        if kinds & (1 << kind) == 0 || (kind == 18 && controllers.older[node].is_none()) {
            continue;
        }
        let machines: Vec<String> = {
            let state = world.lock();
            state.fleet.workers.values().filter(|w| w.alive).map(|w| w.name.clone()).collect()
        };
        let machine =
            if machines.is_empty() { None } else { Some(machines[rng.below(machines.len() as u64) as usize].clone()) };
        let longest = if kind == 19 || rng.below(4) == 0 { 45 } else { 8 };
        let for_s = 2 + rng.below(longest);
        world.note(format!("trouble {kind} node-{node} {machine:?} for {for_s} s"));
        let until = now + seconds(for_s);
        match kind {
            0 => {
                controllers.kill(node);
                undo.push((now + Duration::from_millis(100 + rng.below(6000)), kind, node));
                continue;
            }
            1 => controllers.signal(node, "STOP"),
            2 => world.lock().links[node].refused = true,
            3 => world.lock().store.down = true,
            4 => world.lock().links[node].silent = true,
            5 => world.lock().links[node].answers_lost = true,
            6 => world.lock().links[node].late_by = Some(seconds(2 + rng.below(10))),
            7 => world.lock().hold_commands = Some((seconds(2 + rng.below(14)), 1 + rng.below(3))),
            8 => world.lock().copy_reports = Some((seconds(2 + rng.below(40)), 1 + rng.below(3))),
            9 => {
                if let Some(machine) = machine {
                    world.lock().fleet.workers.get_mut(&machine).unwrap().hangs_until = until;
                }
                continue;
            }
            10 => {
                if let Some(machine) = machine {
                    world.lock().fleet.workers.get_mut(&machine).unwrap().deaf_until = until;
                }
                continue;
            }
            11 => {
                if let Some(machine) = machine {
                    world.lock().fleet.workers.get_mut(&machine).unwrap().mute_until = until;
                }
                continue;
            }
            _ => {
                if rng.below(3) == 0
                    && let Some(machine) = machine
                {
                    world.kill_machine(&machine);
                } else {
                    (0..3).for_each(|i| controllers.kill(i));
                    std::thread::sleep(Duration::from_millis(100 + rng.below(4000)));
                    (0..3).for_each(|i| controllers.spawn(i));
                }
                continue;
            }
        }
        undo.push((until, kind, node));
    }
    for (_, kind, node) in undo {
        end_trouble(&world, &mut controllers, kind, node);
    }
    world.note("the troubles are over");
    for handle in handles {
        let _ = handle.join();
    }
    let ended: Vec<usize> = (0..3).filter(|i| controllers.ended(*i)).collect();
    if !ended.is_empty() {
        world.note(format!("BROKEN controllers ended: {ended:?}"));
    }
    let broken = judge(&world, &users);
    if broken == 0 && ended.is_empty() { Verdict::Held } else { Verdict::Broken }
}

fn end_trouble(world: &World, controllers: &mut Controllers, kind: u64, node: usize) {
    world.note(format!("end of trouble {kind} node-{node}"));
    match kind {
        0 => {
            controllers.kill(node);
            controllers.spawn(node);
        }
        1 => controllers.signal(node, "CONT"),
        3 => world.lock().store.down = false,
        7 => world.lock().hold_commands = None,
        8 => world.lock().copy_reports = None,
        15 | 17 => (0..3).for_each(|i| controllers.set_peers(i, crate::proxy::PASS)),
        19 => {
            (0..3).for_each(|i| controllers.set_peers(i, crate::proxy::PASS));
            let mut state = world.lock();
            (state.links[1], state.cut_zone) = (StoreLink::default(), None);
        }
        16 => {
            (0..3).for_each(|i| controllers.set_peers(i, crate::proxy::PASS));
            world.lock().links[node] = StoreLink::default();
        }
        _ => world.lock().links[node] = StoreLink::default(),
    }
}

fn judge(world: &World, users: &Users) -> usize {
    let mut problems = Vec::new();
    let state = world.lock();
    let cancel = seconds(49);
    let mut on: HashMap<String, BTreeMap<String, (u64, Instant)>> = HashMap::new();
    let mut cpus = 0.0;
    let told = users.told.lock().unwrap_or_else(|p| p.into_inner()).clone();
    let cancelled = |leg: &str| told.get(job_of(leg)).and_then(|t| t.cancelled);
    for event in &state.fleet.events {
        let upload = &state.fleet.uploads[job_of(&event.leg)];
        let places = on.entry(event.leg.clone()).or_default();
        if event.what == "start" {
            if !places.is_empty() {
                problems.push(format!("ran_twice {event:?} while on {places:?}"));
            }
            places.insert(event.machine.clone(), (event.attempt, event.at));
            cpus += upload.cpus;
            if cpus > 90.0 + 1e-6 {
                problems.push(format!("quota {cpus} at {event:?}"));
            }
            if cancelled(&event.leg).is_some_and(|at| event.at > at) {
                problems.push(format!("started after its cancellation was confirmed {event:?}"));
            }
            let zone = |machine: &str| state.fleet.workers[machine].yard.clone();
            let zones: BTreeSet<String> = on
                .iter()
                .filter(|(leg, _)| job_of(leg) == job_of(&event.leg))
                .flat_map(|(_, places)| places.keys())
                .map(|m| zone(m))
                .collect();
            if upload.gang && zones.len() > 1 {
                problems.push(format!("wrong_place {event:?}"));
            }
        } else {
            if places.remove(&event.machine).is_some() {
                cpus -= upload.cpus;
            }
            if cancelled(&event.leg).is_some_and(|at| event.at > at + cancel) {
                problems.push(format!("ran_cancelled {event:?}"));
            }
        }
    }
    for (leg, places) in &on {
        if !places.is_empty() && cancelled(leg).is_some_and(|at| at.elapsed() > cancel) {
            problems.push(format!("ran_cancelled {leg} is still on {places:?}"));
        }
    }
    let (mut done, mut open) = (0, 0);
    for (id, told) in &told {
        let mut answers = told.answers.clone();
        answers.sort_by_key(|(_, came, ..)| *came);
        for (i, (_, came, _, text)) in answers.iter().enumerate() {
            let later = answers[i + 1..].iter().filter(|(asked, ..)| asked > came);
            for (_, _, status, later_text) in later {
                let back = match text.as_str() {
                    "done" | "withdrawn" => *status != 503 && later_text != text,
                    "pending" | "running" => *status == 404 || *status == 400 || *status == 422,
                    _ => false,
                };
                if back {
                    problems.push(format!("went_back {id}: {text}, then {status} {later_text}"));
                }
            }
        }
        if told.cancelled.is_some() && told.cancel_asked.is_none() {
            problems.push(format!("went_back {id}: cancelled by nobody"));
        }
        if told.done.is_some() {
            done += 1;
            let upload = &state.fleet.uploads[id];
            let results = state.fleet.results.iter().filter(|leg| job_of(leg) == id).count() as u64;
            if results < if upload.gang { 1 } else { upload.tasks } {
                problems.push(format!("not_done {id}: {results} results"));
            }
        } else if told.cancelled.is_none() && told.accepted.is_some() {
            open += 1;
            problems.push(format!("open at the end: {id}, last answer {:?}", told.last));
        }
    }
    drop(state);
    problems.sort_by_key(|p| p.starts_with("open"));
    problems.truncate(60);
    for problem in &problems {
        world.note(format!("BROKEN {problem}"));
    }
    world.note(format!("{} problems; {} jobs, {done} done, {open} open", problems.len(), told.len()));
    problems.len()
}

/// Entry 24 of the open issues: a leader that is cut off returns a machine on which its successor has placed work.
pub fn stale_return(context: &Context) -> Verdict {
    let (settings, limits, params) = freight(3.0, 1);
    let world = World::new(settings, limits, timing(24.0), 3, &context.record);
    let controllers = Controllers::start(&world, &context.root, &context.folder, 3, params);
    if !controllers.wait_healthy(seconds(20)) {
        return Verdict::CouldNotRun;
    }
    let users = Users::new(world.clone(), controllers.api.clone());
    let first = Job::array("run-000001".into(), "wagon-match", "vagones", 2, 8.0, 200.0);
    let second = Job::array("run-000002".into(), "wagon-match", "vagones", 2, 16.0, 60.0);
    users.submit(&first, 0);
    std::thread::sleep(seconds(8));
    let leader = {
        let state = world.lock();
        let holder = state.store.get("c/leader").map(|(value, _)| value.get("node").as_str().unwrap_or("").to_owned());
        holder.and_then(|node| node.strip_prefix("node-").and_then(|n| n.parse::<usize>().ok()))
    };
    let Some(leader) = leader else { return Verdict::CouldNotRun };
    // The machines hear nothing for the moment of the cancellation; then the leader is cut off.
    {
        let mut state = world.lock();
        let until = Instant::now() + seconds(2);
        state.fleet.workers.values_mut().for_each(|w| (w.deaf_until, w.mute_until) = (until, until));
    }
    users.cancel_once(&first.id, leader);
    world.note(format!("node-{leader} is cut off from the state service, the others and the workers"));
    {
        let mut state = world.lock();
        state.links[leader].refused = true;
        state.unreachable_nodes.push(leader);
    }
    controllers.set_peers(leader, crate::proxy::HOLD);
    users.submit(&second, (leader + 1) % 3);
    for _ in 0..10 {
        std::thread::sleep(seconds(5));
        users.poll(&second.id, (leader + 1) % 3);
        users.cancel_once(&first.id, (leader + 1) % 3);
    }
    let lost = world.lock().fleet.events.iter().filter(|e| e.what == "lost" && job_of(&e.leg) == second.id).count();
    world.note(format!("{lost} tasks of the second job were lost with returned machines"));
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}
