//! Which machine is no longer needed: what it runs, and what is expected meanwhile, fits on the
//! others. Its tasks that can save move; the rest of them run out.

use std::time::{Duration, Instant};

use super::Catalog;
use crate::jobs::JobSpec;
use crate::scheduling::book::{Book, Machine, MachineId, Standing};
use crate::scheduling::plan::{Room, allowed, queue, room, usable};
use crate::sla;
use crate::workers::{LegStatus, TaskKey};

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

/// A machine to drain, and the tasks of it to move.
#[derive(Debug)]
pub struct Drain {
    pub machine: MachineId,
    pub moves: Vec<(TaskKey, u64)>,
}

fn price(catalog: &Catalog, machine: &Machine) -> f64 {
    catalog.get(&machine.type_name).map_or(0.0, |t| t.price(machine.spot))
}

/// Puts one task of this kind into the first room that takes it, the fullest first.
fn put(rooms: &mut [Room], spec: &JobSpec) -> bool {
    let fitting =
        rooms.iter_mut().filter(|r| allowed(spec, &r.type_name, &r.zone, r.spot) && r.fits(spec)).min_by(|a, b| {
            (a.all_gpus > 0.0, a.cpus).partial_cmp(&(b.all_gpus > 0.0, b.cpus)).unwrap_or(std::cmp::Ordering::Equal)
        });
    fitting.map(|r| r.take(spec)).is_some()
}

/// The dearest machine that can be spared, if any. Emptier ones come first among equals.
pub fn choose(book: &Book, catalog: &Catalog, now: Instant) -> Option<Drain> {
    let mut candidates: Vec<&Machine> = book
        .machines
        .values()
        .filter(|m| m.standing == Standing::Up && now.saturating_duration_since(m.since) >= LEAST_CHARGED)
        .collect();
    candidates.sort_by(|a, b| {
        price(catalog, b).total_cmp(&price(catalog, a)).then(a.bound.len().cmp(&b.bound.len())).then(b.id.cmp(&a.id))
    });
    let rooms: Vec<Room> = book
        .machines
        .values()
        .filter(|m| usable(book, m, now) || m.standing == Standing::Booting)
        .filter_map(|m| room(book, m, catalog, now))
        .collect();
    // Of machines alike only the emptiest is worth trying.
    let mut tried: Vec<(&str, &str, bool)> = Vec::new();
    for machine in candidates {
        let kind = (machine.type_name.as_str(), machine.zone.as_str(), machine.spot);
        if tried.contains(&kind) {
            continue;
        }
        tried.push(kind);
        let mut others: Vec<Room> = rooms.iter().filter(|r| r.id != machine.id).cloned().collect();
        if let Some(moves) = spared(book, catalog, machine, &mut others, now) {
            return Some(Drain { machine: machine.id.clone(), moves });
        }
    }
    None
}

fn spared(
    book: &Book,
    catalog: &Catalog,
    machine: &Machine,
    others: &mut [Room],
    now: Instant,
) -> Option<Vec<(TaskKey, u64)>> {
    let of = catalog.get(&machine.type_name)?;
    let mut moves = Vec::new();
    let mut longest = Duration::ZERO;
    for key in &machine.bound {
        let Some(job) = book.job(&key.job) else { continue };
        let Some(binding) = job.binding(key.index) else { continue };
        let spec = job.spec();
        if job.ended.is_some() || binding.halting.is_some() {
            continue;
        }
        let running = binding.running_since.filter(|_| binding.status == Some(LegStatus::Running));
        let ran = running.map_or(Duration::ZERO, |s| now.saturating_duration_since(s));
        let rest = sla::remaining(job.agreement.run, ran);
        let tries = job.tasks.get(key.index as usize).map_or(0, |t| t.attempt);
        let can_move = spec.checkpoint_s > 0.0 && !(spec.is_gang() && spec.tasks > 1) && tries < MOST_TRIES;
        if can_move && rest > WORTH_MOVING {
            // Something on its way, or just begun, is not torn down again.
            if ran < RUN_BEFORE_MOVE || !put(others, spec) {
                return None;
            }
            longest = longest.max(rest);
            moves.push((key.clone(), spec.save_s.ceil() as u64 + 1));
        } else if rest > WORTH_MOVING * 2 && !(of.gpus > 0.0 && spec.gpus <= 0.0) {
            // It would hold the machine for long anyway.
            return None;
        }
    }
    // Waiting work, then what is expected while a machine would boot.
    for turn in queue(book, now) {
        let Some(job) = book.job(&turn.job) else { continue };
        let spec = job.spec();
        if spec.gpus <= 0.0 && of.gpus > 0.0 || !allowed(spec, &of.name, &machine.zone, machine.spot) {
            continue;
        }
        if !job.waiting.iter().all(|_| put(others, spec)) {
            return None;
        }
    }
    for (class, expected) in &book.arrivals {
        let spec = &expected.like.spec;
        if spec.gpus <= 0.0 && of.gpus > 0.0 || !allowed(spec, &of.name, &machine.zone, machine.spot) {
            continue;
        }
        let prompt = book
            .settings
            .params
            .objectives
            .iter()
            .any(|o| o.kind == "wait" && o.class == *class && o.within_s < of.boot_s);
        let boots = if prompt { SPARE_BOOTS_PROMPT } else { SPARE_BOOTS };
        let tasks = (expected.per_second(now) * of.boot_s * boots).round() as u64;
        if !(0..tasks).all(|_| put(others, spec)) {
            return None;
        }
    }
    Some(moves)
}
