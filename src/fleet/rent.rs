//! What to rent and what to give up: pure functions of the cluster state and the time.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::jobs::JobSpec;
use crate::machine_kinds::{Catalog, MachineKind};
use crate::scheduling::backfill;
use crate::scheduling::cluster::{ClusterState, Machine, MachineId, MachineState};
use crate::scheduling::forecast::{Slots, Timeline};
use crate::scheduling::intents::{self, RoomIntent};
use crate::scheduling::plan::{Quotas, Turn, queue};
use crate::scheduling::promises::starts_left_s;
use crate::scheduling::room::{Ground, Offer, Room, Zones};

/// Grace on top of a type's usual boot time.
const BOOT_GRACE: Duration = Duration::from_secs(10);
/// Longest memory of a refusal.
const LONGEST_REFUSAL: Duration = Duration::from_secs(120);
/// A refusal is remembered for this long after its pause.
const REFUSAL_KEPT: Duration = Duration::from_secs(3600);

/// Kinds of which it is kept how many were ever held; more than any catalog has.
const MOST_GIVEN: usize = 1000;

#[derive(Debug)]
struct Refused {
    at: Instant,
    base: Duration,
    until: Instant,
    /// In a row.
    times: u32,
}

/// Refused kinds are left alone for a while, longer each time in a row. What was given once is
/// there again when machines are lost: a kind of which clearly fewer are held than ever were is
/// asked for again after the first pause.
#[derive(Debug, Default)]
pub struct Refusals {
    refused: HashMap<MachineKind, Refused>,
    /// Most machines held at once.
    given: HashMap<MachineKind, u64>,
}

impl Refusals {
    /// Notes that the cloud refused this kind. The pause is `base` at first and doubles with each refusal in a row, up
    /// to eight times `base` and 120 s.
    pub fn note(&mut self, kind: MachineKind, base: Duration, now: Instant) {
        let times = self.refused.get(&kind).map_or(0, |r| r.times).min(3);
        let pause = (base * 2u32.pow(times)).min(LONGEST_REFUSAL);
        // Kinds come and go over months; what was refused long ago starts afresh.
        self.refused.retain(|_, r| now.saturating_duration_since(r.until) < REFUSAL_KEPT);
        self.refused.insert(kind, Refused { at: now, base, until: now + pause, times: times + 1 });
    }

    /// So many machines of each kind are held now.
    pub fn holds(&mut self, held: &HashMap<MachineKind, u64>) {
        for (kind, n) in held {
            if let Some(most) = self.given.get_mut(kind) {
                *most = (*most).max(*n);
            } else if self.given.len() < MOST_GIVEN {
                self.given.insert(kind.clone(), *n);
            }
        }
    }

    /// Forgets the refusals of a kind, once it was given again.
    pub fn clear(&mut self, kind: &MachineKind) {
        self.refused.remove(kind);
    }

    /// Whether to leave a kind alone of which this many are held.
    pub fn refused(&self, kind: &MachineKind, held: u64, now: Instant) -> bool {
        let Some(refused) = self.refused.get(kind) else { return false };
        let given = self.given.get(kind).copied().unwrap_or(0);
        let until = if held * 10 < given * 9 { refused.until.min(refused.at + refused.base) } else { refused.until };
        now < until
    }
}

/// The cheapest way, per task actually held, to run `count` more tasks of a job on the kinds open
/// to it, by its place among the offers, with how many one machine holds.
fn cheapest<'a>(
    ground: &Ground<'a>,
    spec: &JobSpec,
    count: u64,
    open: impl Fn(usize, &Offer<'a>) -> bool,
) -> Option<(usize, Offer<'a>, f64)> {
    let mut chosen: Option<(usize, Offer, f64)> = None;
    for (at, offer) in ground.offers.iter().enumerate() {
        let Some(offer) = offer.filter(|o| open(at, o)) else { continue };
        let held = Room::empty(offer.of, at).units(spec, count);
        if held == 0 {
            continue;
        }
        let cost = offer.price() / held as f64;
        // Among equals the first by name, whatever machines came first.
        let better = |(_, other, best): &(usize, Offer, f64)| {
            (cost < best - 1e-12)
                || (cost < best + 1e-12 && (&offer.of.name, offer.zone) < (&other.of.name, other.zone))
        };
        if chosen.as_ref().is_none_or(better) {
            chosen = Some((at, offer, cost));
        }
    }
    chosen
}

/// The earliest promise that renting can still keep sets the slack of waiting work; work past
/// all of them waits up to its own run time. It waits this part of its slack before the cheapest
/// kind of machine is rented for it, and the longer the dearer the kind, up to all of its slack.
const PATIENCE: f64 = 0.15;
/// The part of the arrivals that is counted with: the rest is left to chance, which is cheaper.
const EXPECTED_PART: f64 = 0.5;
/// Work that has waited no longer than this goes before what is yet to come.
const FRESH: Duration = Duration::from_secs(20);
/// Renting must bring the start forward by at least this much.
const GAIN_S: f64 = 3.0;
/// Longer than the forecast looks ahead.
const HELD_FOR_ROOM: Duration = Duration::from_secs(86_400);
/// Tasks and jobs followed through the forecast; more than these wait for the next one.
const MOST_FORECAST: usize = 20_000;
const MOST_FOLLOWED: usize = 500;

/// How many machines of each kind there are, whatever they stand for.
pub fn held_by_kind(cluster: &ClusterState) -> HashMap<MachineKind, u64> {
    let mut counts = vec![0u64; cluster.kinds().len()];
    for kind in cluster.machines.values().filter_map(|m| m.kind) {
        if let Some(count) = counts.get_mut(kind) {
            *count += 1;
        }
    }
    cluster.kinds().iter().cloned().zip(counts).filter(|(_, n)| *n > 0).collect()
}

/// What to rent so that waiting work starts in time: cheap kinds soon, dear ones only when the
/// slack of the work asks for it.
pub fn plan(
    cluster: &ClusterState,
    catalog: &Catalog,
    refusals: &Refusals,
    asked: &HashMap<MachineKind, u64>,
    now: Instant,
) -> Vec<(MachineKind, u64)> {
    // For what fails everywhere nothing is rented.
    let turns = queue(cluster, now).into_iter().filter(|t| !t.quarantined);
    let (idle, urgent): (Vec<Turn>, Vec<Turn>) = turns.partition(|t| t.job.spec().is_idle());
    let room = !cluster.intents.room.is_empty();
    if idle.is_empty() && urgent.is_empty() && !room {
        return Vec::new();
    }
    let ground = Ground::with_all_offers(cluster, catalog);
    let mut intents = Intents::new(cluster, &ground, refusals, asked, now);
    // Idle tasks give way, so that their room counts for others; what they wait for themselves is looked
    // at after that, on the machines as they are.
    if !urgent.is_empty() || room {
        let mut timelines = intents.timelines(true);
        // Work that has waited will have to wait for what is yet to come as well: fresh work has the
        // higher return. What ends on the machines is not all theirs.
        let (fresh, waited): (Vec<Turn>, Vec<Turn>) = urgent.into_iter().partition(|t| t.age < FRESH);
        intents.follow(fresh, &mut timelines);
        intents.follow_room(&mut timelines);
        if !waited.is_empty() {
            expect_arrivals(cluster, &ground, &mut timelines, now);
        }
        intents.follow(waited, &mut timelines);
    }
    if !idle.is_empty() {
        let mut timelines = intents.timelines(false);
        intents.follow(idle, &mut timelines);
    }
    intents.wanted.into_iter().collect()
}

/// What is to be rented, as it is found out job by job.
struct Intents<'a> {
    cluster: &'a ClusterState,
    ground: &'a Ground<'a>,
    asked: &'a HashMap<MachineKind, u64>,
    kinds: Vec<Option<MachineKind>>,
    refused: Vec<bool>,
    /// Machines held, asked for and wanted.
    total: u64,
    wanted: BTreeMap<MachineKind, u64>,
    quotas: Quotas<'a>,
    followed: usize,
    jobs: usize,
    now: Instant,
}

impl<'a> Intents<'a> {
    fn new(
        cluster: &'a ClusterState,
        ground: &'a Ground<'a>,
        refusals: &Refusals,
        asked: &'a HashMap<MachineKind, u64>,
        now: Instant,
    ) -> Self {
        let kinds: Vec<Option<MachineKind>> = ground.offers.iter().map(|o| o.map(|o| o.kind())).collect();
        let held = held_by_kind(cluster);
        let refused = |k: &MachineKind| refusals.refused(k, held.get(k).copied().unwrap_or(0), now);
        let refused = kinds.iter().map(|k| k.as_ref().is_none_or(refused)).collect();
        let total = cluster.machines.values().filter(|m| m.state != MachineState::Terminating).count() as u64
            + kinds.iter().flatten().filter_map(|k| asked.get(k)).sum::<u64>();
        let (wanted, quotas) = (BTreeMap::new(), Quotas::new(cluster));
        Self { cluster, ground, asked, kinds, refused, total, wanted, quotas, followed: 0, jobs: 0, now }
    }

    /// The machines there are and those asked for.
    fn timelines(&self, for_urgent: bool) -> Vec<Timeline<'a>> {
        // Those that do not hear take no work, nor may there be any of whom only old heartbeats tell. A second fleet
        // would hear no more where most don't.
        let most_inbound_lost = self.cluster.most_inbound_lost();
        let stays = |m: &&Machine| {
            !matches!(m.state, MachineState::Terminating | MachineState::Draining)
                && m.recall.is_none()
                && m.known
                && (!m.inbound_lost || most_inbound_lost)
        };
        let held = self.cluster.machines.values().filter(stays);
        let mut timelines: Vec<Timeline> =
            held.filter_map(|m| Timeline::of(self.cluster, self.ground, m, for_urgent, self.now)).collect();
        for (at, offer) in self.ground.offers.iter().enumerate() {
            let count = self.kinds[at].as_ref().and_then(|k| self.asked.get(k)).copied().unwrap_or(0);
            if let Some(offer) = offer {
                timelines.extend((0..count).map(|_| Timeline::new(Room::empty(offer.of, at), offer.of.boot_s)));
            }
        }
        timelines
    }

    /// Follows the tasks of these jobs to their places, and rents where that is too late for them.
    fn follow(&mut self, turns: Vec<Turn<'a>>, timelines: &mut Vec<Timeline<'a>>) {
        for turn in turns {
            self.jobs += 1;
            if self.jobs > MOST_FOLLOWED {
                return;
            }
            self.follow_job(&turn, timelines);
        }
    }

    fn follow_job(&mut self, turn: &Turn<'a>, timelines: &mut Vec<Timeline<'a>>) {
        let (cluster, ground) = (self.cluster, self.ground);
        let job = turn.job;
        let spec = job.spec();
        if spec.is_gang() && !self.quotas.allows(spec, spec.tasks as f64) {
            return;
        }
        let promises = starts_left_s(&job.promises, job.agreement.run, turn.age);
        let mut zones = Zones::new(cluster, job);
        let open = ground.open_to(spec, &zones);
        let least = cheapest(ground, spec, spec.tasks, |at, _| open[at]).map_or(f64::INFINITY, |(.., cost)| cost);
        let least = least.max(1e-9);
        let short = (cluster.below.short.has(spec) && !spec.is_idle()) || turn.ahead;
        let mut slots = Slots::new(timelines, job, &open);
        let mut missing = cluster.intents.waiting(turn.id, job) as u64;
        let mut offer = None;
        while missing > 0 && self.followed < MOST_FORECAST && self.quotas.allows(spec, 1.0) {
            self.followed += 1;
            let existing = slots.next(timelines, ground, &zones);
            let start = existing.map_or(f64::INFINITY, |slot| slot.at_s);
            if offer.is_none() {
                let may = |at: usize, o: &Offer| open[at] && !self.refused[at] && zones.allow(o.zone);
                offer = Some(cheapest(ground, spec, missing, may));
            }
            let rent = offer.flatten().filter(|(_, offer, cost)| {
                // A promise that not even this machine would keep is no reason to pay for it.
                let boot_s = offer.of.boot_s;
                let promised = promises.iter().copied().find(|s| *s >= boot_s);
                let slack = promised.unwrap_or(job.agreement.run.as_secs_f64());
                // Who is below the floor has no time to wait for something cheaper.
                let patience = if short { 0.0 } else { (PATIENCE * cost / least).min(1.0) };
                let bearable = slack * patience;
                self.total < cluster.properties.most_machines as u64
                    && start > bearable
                    && boot_s + GAIN_S < start
                    && backfill::may(
                        spec,
                        offer,
                        cost / least,
                        cluster.properties.idle_dearer,
                        turn.age > job.agreement.run,
                    )
                    .rent
            });
            let slot = match (rent, existing) {
                (Some((at, chosen, _)), _) => {
                    timelines.push(Timeline::new(Room::empty(chosen.of, at), chosen.of.boot_s));
                    slots.push(timelines, timelines.len() - 1);
                    *self.wanted.entry(chosen.kind()).or_default() += 1;
                    self.total += 1;
                    offer = None;
                    slots.next(timelines, ground, &zones)
                }
                (None, existing) => existing,
            };
            let Some(slot) = slot else { break };
            if zones.matter() {
                zones.take(ground.zone(timelines[slot.which].room.kind));
                offer = None;
            }
            slots.take(timelines, slot);
            self.quotas.take(spec, 1.0);
            missing -= 1;
        }
    }
}

impl<'a> Intents<'a> {
    /// Room that operators have declared: what will not be there in time is rented as late as a machine
    /// takes to boot and fetch, and counts as taken for all that follows.
    fn follow_room(&mut self, timelines: &mut Vec<Timeline<'a>>) {
        let mut room: Vec<&RoomIntent> = self.cluster.intents.room.iter().collect();
        room.sort_by(|a, b| a.in_s.total_cmp(&b.in_s));
        for intent in room {
            let mut like = self.cluster.as_if(&intent.like, self.now);
            // All of it at one time: no place counts twice.
            like.agreement.run = HELD_FOR_ROOM;
            let (spec, zones) = (&intent.like, Zones::none(&intent.like));
            let open = self.ground.open_to(spec, &zones);
            let mut slots = Slots::new(timelines, &like, &open);
            for n in 0..intent.tasks {
                if self.followed >= MOST_FORECAST || !self.quotas.allows(spec, 1.0) {
                    break;
                }
                self.followed += 1;
                let existing = slots.next(timelines, self.ground, &zones);
                let start = existing.map_or(f64::INFINITY, |slot| slot.at_s);
                let may = |at: usize, _: &Offer| open[at] && !self.refused[at];
                let offer = cheapest(self.ground, spec, intent.tasks - n, may).filter(|(_, offer, _)| {
                    let boot_s = offer.of.boot_s;
                    let fetch_s = spec.image_gb / offer.of.fetch_gb_per_s.max(0.001);
                    start > intent.in_s
                        && boot_s + GAIN_S < start
                        && intent.in_s <= boot_s + fetch_s
                        && self.total < self.cluster.properties.most_machines as u64
                });
                if let Some((at, chosen, _)) = offer {
                    timelines.push(Timeline::new(Room::empty(chosen.of, at), chosen.of.boot_s));
                    slots.push(timelines, timelines.len() - 1);
                    *self.wanted.entry(chosen.kind()).or_default() += 1;
                    self.total += 1;
                }
                let Some(mut slot) = slots.next(timelines, self.ground, &zones) else { break };
                slot.at_s = slot.at_s.max(intent.in_s);
                slots.take(timelines, slot);
                self.quotas.take(spec, 1.0);
            }
        }
    }
}

/// Places what is expected to come while a machine would boot, each task when it comes.
fn expect_arrivals<'a>(cluster: &'a ClusterState, ground: &Ground<'a>, timelines: &mut [Timeline<'a>], now: Instant) {
    for arrivals in cluster.arrivals.values() {
        let Some(like) = cluster.like(arrivals).filter(|job| !job.spec().is_idle()) else { continue };
        let zones = Zones::none(like.spec());
        let open = ground.open_to(like.spec(), &zones);
        let within_s = ground.longest_boot_s(&open);
        let per_second = arrivals.per_second(now) * EXPECTED_PART;
        let expected = (per_second * within_s).min(MOST_FORECAST as f64 / 4.0) as u64;
        let mut slots = Slots::new(timelines, like, &open);
        for n in 0..expected {
            let Some(mut slot) = slots.next(timelines, ground, &zones) else { break };
            slot.at_s = slot.at_s.max(n as f64 / per_second);
            if slot.at_s > within_s {
                break;
            }
            slots.take(timelines, slot);
        }
    }
}

/// Machines that boot for too long or stand idle for too long.
pub fn to_give_up(cluster: &ClusterState, catalog: &Catalog, now: Instant) -> Vec<(MachineId, &'static str)> {
    let mut out = Vec::new();
    let kept = intents::idle_kept(cluster, catalog, now);
    for machine in cluster.machines.values() {
        let age = now.saturating_duration_since(machine.since);
        match machine.state {
            // What should be up has its own patience (`ClusterState::tick`).
            MachineState::Booting if machine.awaited() => {}
            MachineState::Booting => {
                let usual = catalog.get(&machine.type_name).map_or(60.0, |t| t.boot_s);
                let patience = Duration::from_secs_f64(usual * cluster.properties.boot_patience) + BOOT_GRACE;
                // A new leader has not heard of machines that were up long before it.
                let known = now.saturating_duration_since(machine.heard);
                if age > patience && known > cluster.properties.silence {
                    out.push((machine.id.clone(), "never came up"));
                }
            }
            MachineState::Up => {
                let idle = machine.idle_since.map_or(Duration::ZERO, |t| now.saturating_duration_since(t));
                if machine.bound.is_empty() && idle > cluster.properties.idle && !kept.contains(&machine.id) {
                    out.push((machine.id.clone(), "idle"));
                }
            }
            MachineState::Draining | MachineState::Terminating => {}
        }
    }
    out
}
