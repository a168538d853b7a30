//! Draining: which machines are no longer needed, because what they run, and the work expected meanwhile, fits on the
//! others. Tasks that can save their progress are moved; the others run to their end.

use std::time::{Duration, Instant};

use crate::jobs::JobSpec;
use crate::machine_kinds::Catalog;
use crate::protocol::workers::{AttemptStatus, TaskKey};
use crate::scheduling::backfill;
use crate::scheduling::cluster::{ClusterState, Machine, MachineId, MachineState};
use crate::scheduling::intents;
use crate::scheduling::plan::queue;
use crate::scheduling::room::{Ground, Room, Zones, suspect_after, usable};
use crate::sla;

/// A machine costs this long in any case.
const LEAST_CHARGED: Duration = Duration::from_secs(60);
/// A task stopped sooner after its start does not count as started, and has hardly worked.
const RUN_BEFORE_MOVE: Duration = Duration::from_secs(32);
/// Moving costs saving, fetching and a new start; less than this left is not worth it.
const WORTH_MOVING: Duration = Duration::from_secs(30);
/// Work that was started this often stays where it is: each move costs its user time.
const MOST_TRIES: u64 = 3;
/// Room kept free, in boot times' worth of the arrivals seen lately.
const SPARE_BOOTS: f64 = 0.5;
/// The same for classes whose users are promised a start sooner than a machine boots.
const SPARE_BOOTS_PROMPT: f64 = 1.0;
/// One in so many machines is drained at once at the most: a peak passes within a minute, and a
/// wrong guess costs little.
const PART: usize = 10;
/// Machines whose tasks would have to move are looked at up to this many a time.
const MOST_TRIED: usize = 60;

/// A machine to drain, and the tasks of it to move.
#[derive(Debug)]
pub struct DrainDecision {
    /// The machine that is no longer needed.
    pub machine: MachineId,
    /// Tasks to stop there so that they go on elsewhere, each with its grace period in seconds: the time in which it
    /// saves its progress.
    pub moves: Vec<(TaskKey, u64)>,
}

/// Rooms in the order in which work is to be gathered: the cheapest machines first, those with
/// accelerators last, and of machines alike the fullest first. What is left untouched at the
/// end of it can be spared.
struct CapacityPool<'a> {
    ground: Ground<'a>,
    rooms: Vec<Room<'a>>,
    /// Holds work that waits or is expected; not to be spared.
    wanted: Vec<bool>,
    /// Kinds for which more work waits or is expected than there is room for.
    short: Vec<bool>,
}

impl<'a> CapacityPool<'a> {
    fn new(cluster: &'a ClusterState, catalog: &'a Catalog, now: Instant) -> Self {
        let ground = Ground::new(cluster, catalog);
        let suspect = suspect_after(cluster);
        let mut rooms: Vec<Room> = cluster
            .machines
            .values()
            .filter(|m| usable(m, suspect, now) || m.state == MachineState::Booting)
            // Idle tasks give way: their room is there for others, and they are put somewhere last.
            .filter_map(|m| ground.room(m))
            .map(|r| r.without_idle())
            .collect();
        rooms.sort_by(|a, b| {
            let dear = |r: &Room| (r.of.gpus > 0.0, r.price());
            let (a_key, b_key) = (dear(a), dear(b));
            (a_key.0.cmp(&b_key.0)).then(a_key.1.total_cmp(&b_key.1)).then(a.cpus.total_cmp(&b.cpus))
        });
        let wanted =
            rooms.iter().map(|r| r.machine.is_some_and(|m| cluster.reservations.contains_key(&m.id))).collect();
        let short = vec![false; ground.offers.len()];
        Self { ground, rooms, wanted, short }
    }

    /// Keeps room for `n` tasks like this. Where that is not all to be had, no machine that they
    /// could use is spared; accelerators that they have no use for only for work that has
    /// waited long.
    fn keep(&mut self, spec: &JobSpec, zones: &Zones, n: u64, waits: bool) {
        let mut open = self.ground.open_to(spec, zones);
        // Idle work keeps no machine with accelerators that it has no use for.
        for (open, offer) in open.iter_mut().zip(&self.ground.offers) {
            *open &= offer.is_some_and(|o| backfill::may(spec, &o, 1.0, f64::INFINITY, false).keep);
        }
        let waits = waits && !spec.is_idle();
        if !self.put(spec, &open, n, None) {
            for (at, offer) in self.ground.offers.iter().enumerate() {
                let apt = offer.is_some_and(|o| waits || o.apt(spec));
                self.short[at] |= open[at] && apt;
            }
        }
    }

    /// Puts up to `n` tasks like this into the first rooms that take them. False if some are left.
    fn put(&mut self, spec: &JobSpec, open: &[bool], mut n: u64, except: Option<usize>) -> bool {
        for (at, room) in self.rooms.iter_mut().enumerate() {
            if n == 0 {
                break;
            }
            if Some(at) == except || !open.get(room.kind).copied().unwrap_or(false) {
                continue;
            }
            let units = room.units(spec, n);
            if units > 0 {
                let k = units as f64;
                room.add(-k * spec.cpus, -k * spec.gpus, -k * spec.memory_gb);
                self.wanted[at] = true;
                n -= units;
            }
        }
        n == 0
    }
}

/// The dearest machines that can be spared, emptier ones first among equals.
pub fn choose(cluster: &ClusterState, catalog: &Catalog, now: Instant) -> Vec<DrainDecision> {
    let mut pool = CapacityPool::new(cluster, catalog, now);
    // Waiting work, then what is expected while a machine would boot, takes its room first; idle work,
    // what of it runs included, what is left.
    for turn in queue(cluster, now).into_iter().filter(|t| !t.quarantined && !t.job.spec().is_idle()) {
        let (job, waiting) = (turn.job, cluster.intents.waiting(turn.id, turn.job) as u64);
        pool.keep(job.spec(), &Zones::new(cluster, job), waiting, turn.ahead || turn.age > job.agreement.run);
    }
    for (intent, _) in intents::room_kept(cluster, &pool.ground) {
        pool.keep(&intent.like, &Zones::none(&intent.like), intent.tasks, false);
    }
    for (class, expected) in cluster.arrivals.iter().filter(|(_, a)| !a.like.spec.is_idle()) {
        let spec = &expected.like.spec;
        let open = pool.ground.open_to(spec, &Zones::none(spec));
        let boot_s = pool.ground.longest_boot_s(&open);
        let asked = &cluster.settings.params.objectives;
        let prompt = asked.iter().any(|o| o.kind == "wait" && o.class == *class && o.within_s < boot_s);
        let boots = if prompt { SPARE_BOOTS_PROMPT } else { SPARE_BOOTS };
        let tasks = (expected.per_second(now) * boot_s * boots).round() as u64;
        pool.keep(spec, &Zones::none(spec), tasks, false);
    }
    for (id, job) in cluster.jobs().filter(|(_, job)| job.spec().is_idle() && job.ended.is_none()) {
        let tasks = (cluster.intents.waiting(id, job) + job.bound.len()) as u64;
        if tasks > 0 && !cluster.attribution.suspects(id) {
            pool.keep(job.spec(), &Zones::none(job.spec()), tasks, false);
        }
    }
    let most = (pool.rooms.len() / PART).max(1);
    let mut chosen = Vec::new();
    let mut tried = 0;
    let mut order: Vec<usize> = (0..pool.rooms.len()).collect();
    order.sort_by(|a, b| {
        let bound = |at: usize| pool.rooms[at].machine.map_or(0, |m| m.bound.len());
        let price = |at: usize| pool.rooms[at].price();
        price(*b).total_cmp(&price(*a)).then(bound(*a).cmp(&bound(*b))).then(b.cmp(a))
    });
    for at in order {
        if chosen.len() >= most || tried >= MOST_TRIED {
            break;
        }
        let Some(machine) = pool.rooms[at].machine else { continue };
        let old_enough = now.saturating_duration_since(machine.since) >= LEAST_CHARGED;
        if pool.wanted[at] || pool.short[pool.rooms[at].kind] || machine.state != MachineState::Up || !old_enough {
            continue;
        }
        tried += usize::from(!machine.bound.is_empty());
        if let Some(moves) = scale_in_candidate(cluster, machine, &mut pool, at, now) {
            // Nothing goes to a machine that is about to be left.
            pool.rooms[at].cpus = -1.0;
            chosen.push(DrainDecision { machine: machine.id.clone(), moves });
        }
    }
    chosen
}

/// What of a machine's work would have to move, if all of that fits elsewhere.
fn scale_in_candidate(
    cluster: &ClusterState,
    machine: &Machine,
    pool: &mut CapacityPool,
    at: usize,
    now: Instant,
) -> Option<Vec<(TaskKey, u64)>> {
    let of = pool.rooms[at].of;
    let (mut moves, mut stops) = (Vec::new(), Vec::new());
    for key in &machine.bound {
        let Some(job) = cluster.job(&key.job) else { continue };
        let Some(binding) = job.binding(key.index) else { continue };
        let spec = job.spec();
        if job.ended.is_some() || binding.halting.is_some() {
            continue;
        }
        if cluster.intents.stays(&key.job) || cluster.intents.ahead.as_ref().is_some_and(|a| a.names.has(spec)) {
            return None;
        }
        let ran = binding.running_since.filter(|_| binding.status == Some(AttemptStatus::Running));
        let ran = ran.map_or(Duration::ZERO, |s| now.saturating_duration_since(s));
        let rest = sla::remaining(job.agreement.run, ran);
        let tries = job.tasks.get(key.index as usize).map_or(0, |t| t.attempt);
        let can_move = spec.checkpoint_s > 0.0 && !(spec.is_gang() && spec.tasks > 1) && tries < MOST_TRIES;
        if can_move && rest > WORTH_MOVING {
            // Something on its way, or just begun, is not torn down again.
            if ran < RUN_BEFORE_MOVE {
                return None;
            }
            if spec.is_idle() && of.gpus > 0.0 && spec.gpus <= 0.0 {
                // It needs no place elsewhere at once: it waits for what is over.
                stops.push((key.clone(), spec.save_s.ceil() as u64 + 1));
                continue;
            }
            moves.push((key.clone(), spec.save_s.ceil() as u64 + 1));
        } else if rest > WORTH_MOVING * 2 && !(of.gpus > 0.0 && spec.gpus <= 0.0) {
            // It would hold the machine for long anyway.
            return None;
        }
    }
    if moves.is_empty() {
        return Some(stops);
    }
    let before = pool.rooms.clone();
    for (key, _) in &moves {
        let Some(job) = cluster.job(&key.job) else { continue };
        let open = pool.ground.open_to(job.spec(), &Zones::none(job.spec()));
        if !pool.put(job.spec(), &open, 1, Some(at)) {
            pool.rooms = before;
            return None;
        }
    }
    moves.extend(stops);
    Some(moves)
}
