//! Reservations: machines kept for gangs that do not fit now but soon would, if smaller work did not take each piece
//! of room as it comes free. They last for a short time, cover a part of the machines only, and leave the room to
//! other work that is expected to end in time.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::cluster::{ClusterState, MachineId, Reservation};
use super::intents;
use super::plan::{Quotas, Turn, queue};
use super::room::{Ground, Room, Zones, suspect_after, usable};
use crate::machine_kinds::Catalog;
use crate::scheduling::forecast::{Slots, Timeline};

/// A gang waits this long before anything is held for it.
const RESERVE_AFTER: Duration = Duration::from_secs(5);
/// Nothing is held that is not expected to be enough within this time.
const RESERVE_WITHIN_S: f64 = 60.0;
/// At most one in so many machines is held.
const PART: usize = 6;
/// Gangs held for at once, the longest waiting first.
const MOST_RESERVING: usize = 40;

/// What to hold now, by machine.
pub fn choose(cluster: &ClusterState, catalog: &Catalog, now: Instant) -> HashMap<MachineId, Reservation> {
    let mut reservations = HashMap::new();
    let mut turns: Vec<Turn> = queue(cluster, now)
        .into_iter()
        .filter(|t| t.job.spec().is_gang() && !t.quarantined && (t.age >= RESERVE_AFTER || t.ahead))
        .collect();
    if turns.is_empty() {
        return reservations;
    }
    turns.sort_by_key(|t| (Reverse(t.credited), t.rank, Reverse(t.age)));
    intents::ahead_first(&mut turns);
    turns.truncate(MOST_RESERVING);
    let ground = Ground::new(cluster, catalog);
    let suspect = suspect_after(cluster);
    let usable = cluster.machines.values().filter(|m| usable(m, suspect, now));
    let mut timelines: Vec<Timeline> = usable.filter_map(|m| Timeline::of(cluster, &ground, m, false, now)).collect();
    let most = timelines.len() / PART;
    let quotas = Quotas::new(cluster);
    for turn in turns {
        if reservations.len() >= most {
            break;
        }
        if !quotas.allows(turn.job.spec(), turn.job.spec().tasks as f64) {
            continue;
        }
        let Some((within_s, taken)) = gather(cluster, &ground, &mut timelines, &turn) else { continue };
        let until = now + Duration::from_secs_f64(within_s);
        for which in taken {
            if let Some(machine) = timelines[which].room.machine {
                reservations.entry(machine.id.clone()).or_insert_with(|| Reservation { job: turn.id.clone(), until });
            }
        }
    }
    reservations
}

/// The machines on which a gang would soonest fit together, and when. Machines with accelerators
/// are left to work that needs them, unless there are too few others.
fn gather<'a>(
    cluster: &'a ClusterState,
    ground: &Ground<'a>,
    timelines: &mut [Timeline<'a>],
    turn: &Turn<'a>,
) -> Option<(f64, Vec<usize>)> {
    let (job, spec) = (turn.job, turn.job.spec());
    let need = job.waiting.len();
    let open = ground.open_to(spec, &Zones::new(cluster, job));
    let apt = |kind: usize| ground.offers[kind].is_some_and(|o| o.apt(spec));
    let zones: Vec<&str> = if spec.same_zone {
        let mut zones: Vec<&str> = ground.offers.iter().flatten().map(|o| o.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    } else {
        vec![""]
    };
    let mut best: Option<(f64, Vec<bool>)> = None;
    for zone in zones {
        for with_all in [false, true] {
            let mask: Vec<bool> = (0..open.len())
                .map(|k| open[k] && (with_all || apt(k)) && (zone.is_empty() || ground.zone(k) == zone))
                .collect();
            let held = |t: &&Timeline| mask.get(t.room.kind) == Some(&true);
            let units: u64 =
                timelines.iter().filter(held).map(|t| Room::empty(t.room.of, t.room.kind).units(spec, 64)).sum();
            if units < need as u64 {
                continue;
            }
            let mut starts: Vec<f64> = timelines.iter().filter(held).filter_map(|t| t.earliest(spec)).collect();
            starts.sort_by(f64::total_cmp);
            let last = starts.get(need - 1).or(starts.last()).copied().unwrap_or(f64::INFINITY);
            if best.as_ref().is_none_or(|(s, _)| last < *s) {
                best = Some((last, mask));
            }
            break;
        }
    }
    let (_, mask) = best?;
    let mut slots = Slots::new(timelines, job, &mask);
    let none = Zones::none(spec);
    let mut undo = Vec::new();
    let (mut last, mut taken) = (0.0, Vec::new());
    for _ in 0..need {
        match slots.next(timelines, ground, &none) {
            Some(slot) if slot.at_s <= RESERVE_WITHIN_S => {
                undo.push((slot.which, timelines[slot.which].clone()));
                last = slot.at_s.max(last);
                taken.push(slot.which);
                slots.take(timelines, slot);
            }
            _ => {
                for (which, before) in undo.into_iter().rev() {
                    timelines[which] = before;
                }
                return None;
            }
        }
    }
    Some((last, taken))
}
