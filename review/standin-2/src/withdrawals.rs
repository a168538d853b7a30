//! A machine stops with all that is on it as a launch arrives, while the cloud is out; users cancel jobs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::users::{Job, Users};
use crate::world::{World, lock};

/// `forgotten`: every poll for a job fails for this long while most others are answered.
const FORGOTTEN: Duration = Duration::from_secs(90);

/// What users have seen of one job since it was cancelled.
struct Polls {
    id: &'static str,
    answered: usize,
    failed: usize,
    /// Begin of the present row of failed polls.
    failing_since: Option<Instant>,
    longest: Duration,
}

impl Polls {
    fn new(id: &'static str) -> Self {
        Self { id, answered: 0, failed: 0, failing_since: None, longest: Duration::ZERO }
    }

    fn poll(&mut self, users: &Users, node: usize) {
        if !users.healthy(node) {
            return;
        }
        let asked = Instant::now();
        if matches!(users.ask_at(node, self.id), Some((200, _))) {
            self.answered += 1;
            self.failing_since = None;
        } else {
            self.failed += 1;
            let since = *self.failing_since.get_or_insert(asked);
            self.longest = self.longest.max(since.elapsed());
        }
    }
}

pub fn run(world: &Arc<World>, trouble: bool) -> Outcome {
    let users = match Users::start(world) {
        Ok(users) => users,
        Err(error) => return Outcome::CouldNotRun(error),
    };
    // Two machines with 96 cores each: `healthy` runs on the first, `early` on the second. Then `bystander` fits on the
    // first alone, and `late` on the second alone.
    let job = |id, cpus| Job { id, fleets: vec!["ilios"], cpus, gpus: 1.0, ..Job::default() };
    let (healthy, early, bystander, late) =
        (job("run-000001", 90.0), job("run-000002", 80.0), job("run-000003", 5.0), job("run-000004", 10.0));
    let start = |job: &Job| users.submit(job) && users.wait_started(job.id);
    if !start(&healthy) || !start(&early) || !start(&bystander) {
        return Outcome::CouldNotRun("the first jobs did not start".into());
    }
    let machine = |id| world.machine_of(id);
    if machine(bystander.id) != machine(healthy.id) || machine(early.id) == machine(healthy.id) {
        return Outcome::CouldNotRun("the first jobs did not start on the expected machines".into());
    }
    if trouble {
        world.cloud_out.store(true, Ordering::Relaxed);
        world.die_at_launch.store(true, Ordering::Relaxed);
        world.note("the cloud is out; the next machine that receives a launch stops");
    }
    if !users.submit(&late) {
        return Outcome::CouldNotRun("the job was not accepted".into());
    }
    if !trouble && !users.wait_started(late.id) {
        return Outcome::CouldNotRun("the job did not start".into());
    }
    let until = Instant::now() + Duration::from_secs(8);
    while trouble && lock(&world.died).is_none() {
        if Instant::now() > until {
            return Outcome::CouldNotRun("no launch went directly to a machine".into());
        }
        thread::sleep(Duration::from_millis(20));
    }
    // The user of `late` cancels it. Then the user of `bystander` cancels that, through a controller that does not lead.
    let mut cancelled = [Polls::new(late.id), Polls::new(bystander.id)];
    let mut control = [Polls::new(healthy.id), Polls::new(early.id)];
    let until = Instant::now() + FORGOTTEN + Duration::from_secs(7);
    let (mut round, mut confirmed) = ((lock(&world.leader).unwrap_or(0) + 1) % 3, [false; 2]);
    while Instant::now() < until && !(confirmed == [true; 2] && cancelled.iter().all(|polls| polls.answered > 6)) {
        for (polls, confirmed) in cancelled.iter_mut().zip(&mut confirmed) {
            // The request is repeated until it is answered.
            if !*confirmed {
                *confirmed = matches!(users.withdraw_at(round % 3, polls.id), Some((200, _)));
            }
            polls.poll(&users, (round + 1) % 3);
        }
        for polls in &mut control {
            polls.poll(&users, round % 3);
        }
        round += 1;
        thread::sleep(Duration::from_millis(1500));
    }
    let (answered, failed) = control.iter().fold((0, 0), |(a, f), p| (a + p.answered, f + p.failed));
    let row = |polls: &Polls| {
        let (id, longest) = (polls.id, polls.longest.as_secs_f64());
        format!("{id}: {} answered, {} failed, longest row of failures {longest:.1} s", polls.answered, polls.failed)
    };
    let summary = format!(
        "polls for the cancelled jobs: {}; {}; for the other jobs: {answered} answered, {failed} failed",
        row(&cancelled[0]),
        row(&cancelled[1]),
    );
    if cancelled.iter().any(|polls| polls.longest >= FORGOTTEN) && answered > failed {
        Outcome::Broken(summary)
    } else {
        Outcome::Held(summary)
    }
}
