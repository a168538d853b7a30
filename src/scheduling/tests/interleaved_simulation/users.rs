//! Users and the controllers that answer them: cancellations through anybody, told by the production rule, and
//! what a leader may tell workers by what it can prove. The store may be out for all, slow, or refuse one.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use rand::Rng;

use super::leaders::Leader;
use super::messages::Message;
use super::workers::Worker;
use super::world::World;
use super::{CANCEL, LEADER_LEASE, LEASE};
use crate::history::job_transactions;
use crate::history::visibility::{EndVisibility, end_visibility};
use crate::jobs::record::{LEADER, WATERMARK, open_key};
use crate::jobs::{End, JobId};
use crate::membership::mesh::accepted_watermark;
use crate::membership::serving_state::{LeaderSearches, Observations, Patience};
use crate::membership::watermark::UnconfirmedCancellations;
use crate::protocol::workers::Heartbeat;
use crate::records::leadership::{LeaderRecord, Watermark};
use crate::settings::tests::example;
use crate::store::{Change, Condition};
use crate::workers::response_policy::ResponsePolicy;

const FOLLOWERS: usize = 2;
/// How often a leader's line goes to the others.
const LINES: Duration = Duration::from_millis(500);

/// A controller that answers users and does not lead.
pub(super) struct Follower {
    /// Up to which revision its watch has told.
    heard: u64,
    watermark: u64,
    pub(super) refused_until: Instant,
    /// Lines between it and the leaders are refused.
    pub(super) unheard_until: Instant,
    /// Since when the store has served it.
    served: Option<Instant>,
}

/// What a leader knows beside its cluster state.
pub(super) struct Seat {
    heard: u64,
    watermark: u64,
    /// When it last knew all that was stored.
    proof: Option<Instant>,
    pub(super) unproven: bool,
    load_at: Instant,
    unconfirmed: UnconfirmedCancellations,
    acknowledged: [u64; FOLLOWERS],
    leader_searches: LeaderSearches,
    next_line: Instant,
    /// Cut from the store, it still has the other controllers.
    pub(super) hears_others: bool,
    /// Ended, as soon as it is told that another leads.
    deposed: bool,
}

impl Seat {
    pub(super) fn new(heard: u64, proof: Instant, now: Instant) -> Self {
        Self {
            heard,
            watermark: 0,
            proof: Some(proof),
            unproven: false,
            load_at: now,
            unconfirmed: UnconfirmedCancellations::default(),
            acknowledged: [0; FOLLOWERS],
            leader_searches: LeaderSearches::default(),
            next_line: now,
            hears_others: false,
            deposed: false,
        }
    }
}

/// What has to come about often enough for the simulations to say anything.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Tally {
    pub(super) told: usize,
    pub(super) not_told: usize,
    pub(super) told_by_leader: usize,
    pub(super) stored_marks: usize,
    pub(super) outages: usize,
    pub(super) beyond_cancel: usize,
    /// Heartbeats to successors that had not loaded their cluster state.
    pub(super) unloaded: usize,
    pub(super) stops: usize,
    pub(super) nobody: usize,
    pub(super) lone_refusals: usize,
    pub(super) all_ended: usize,
    pub(super) hand_overs: usize,
    /// Zones cut off with the leader, and spells in which machines reach nobody.
    pub(super) apart: usize,
    pub(super) outbound_lost: usize,
}

impl std::ops::AddAssign for Tally {
    fn add_assign(&mut self, o: Self) {
        self.told += o.told;
        self.not_told += o.not_told;
        self.told_by_leader += o.told_by_leader;
        self.stored_marks += o.stored_marks;
        self.outages += o.outages;
        self.beyond_cancel += o.beyond_cancel;
        self.unloaded += o.unloaded;
        self.stops += o.stops;
        self.nobody += o.nobody;
        self.lone_refusals += o.lone_refusals;
        self.all_ended += o.all_ended;
        self.hand_overs += o.hand_overs;
        self.apart += o.apart;
        self.outbound_lost += o.outbound_lost;
    }
}

pub(super) struct Users {
    /// Whether this world has any; without, a cancellation counts from when it is stored, which is stricter.
    pub(super) on: bool,
    pub(super) followers: Vec<Follower>,
    pub(super) out: Option<(Instant, Instant)>,
    /// When the last outage ended.
    pub(super) back: Instant,
    pub(super) slow_until: Instant,
    pub(super) assigned: Vec<(u64, usize)>,
    ended: HashMap<JobId, u64>,
    marks: Vec<(u64, u64)>,
    /// Cancellations that are stored and not told, with their versions.
    pub(super) hidden: BTreeMap<JobId, u64>,
    /// Something was just stored, acted on or answered: a moment for fault.
    pub(super) moment: bool,
    pub(super) plan: Vec<(Instant, usize)>,
    pub(super) tally: Tally,
}

impl Users {
    pub(super) fn new(on: bool, now: Instant) -> Self {
        let follower =
            || Follower { heard: 0, watermark: 0, refused_until: now, unheard_until: now, served: Some(now) };
        Self {
            on,
            followers: (0..FOLLOWERS).map(|_| follower()).collect(),
            out: None,
            back: now,
            slow_until: now,
            assigned: Vec::new(),
            ended: HashMap::new(),
            marks: Vec::new(),
            hidden: BTreeMap::new(),
            moment: false,
            plan: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// The leader record as it is known at this revision.
    fn leader_record(&self, heard: u64) -> Option<(LeaderRecord, u64)> {
        let (version, leader) = self.assigned.iter().rev().find(|(version, _)| *version <= heard)?;
        let of = LeaderRecord { node: leader.to_string(), incarnation: leader.to_string(), teams: Vec::new() };
        Some((of, *version))
    }

    fn stored_mark(&self, heard: u64) -> u64 {
        self.marks.iter().filter(|(version, _)| *version <= heard).map(|(_, mark)| *mark).max().unwrap_or(0)
    }

    /// A revision at which this end did not stand yet.
    pub(super) fn ended_after(&self, id: &JobId) -> u64 {
        self.ended.get(id).map_or(0, |version| version - 1)
    }

    fn over(&self, id: &JobId, heard: u64) -> bool {
        self.ended.get(id).is_some_and(|version| *version <= heard)
    }

    /// Followers as a leader hears them: how many, and how long one of them has been able to answer.
    fn others(&self, now: Instant) -> (usize, Option<Duration>) {
        let heard: Vec<&Follower> = self.followers.iter().filter(|f| f.unheard_until <= now).collect();
        (heard.len(), heard.iter().filter_map(|f| f.served).map(|at| now - at).max())
    }
}

impl World {
    pub(super) fn store_out(&self) -> bool {
        self.users.out.is_some()
    }

    pub(super) fn slow(&self) -> bool {
        self.users.slow_until > self.now
    }

    /// How long the store has not answered this leader, nor anybody of late.
    pub(super) fn lost_for(&self, began: Instant) -> Duration {
        if self.store_out() { Duration::ZERO } else { self.now - began.max(self.users.back) }
    }

    pub(super) fn note_ended(&mut self, id: &JobId, end: End, version: u64) {
        self.trace(&format!("stored {id} {end:?} at {version}"));
        self.users.ended.insert(id.clone(), version);
        self.ended_since.insert(id.clone(), self.now);
        if end == End::Cancelled {
            if self.users.on {
                self.users.hidden.insert(id.clone(), version);
                self.users.moment = true;
            } else {
                self.cancelled.insert(id.clone(), self.now);
            }
        }
    }

    fn tell_user(&mut self, id: &JobId) {
        self.trace(&format!("told {id}"));
        self.cancelled.entry(id.clone()).or_insert(self.now);
        self.users.hidden.remove(id);
        self.users.tally.told += 1;
        self.users.moment = true;
    }

    /// A successor's seat: it may load at once or only some steps later, and its watch cache lags.
    pub(super) fn new_seat(&mut self, fencing_token: u64) -> Seat {
        let heard = if self.rng.random_bool(0.5) {
            fencing_token
        } else {
            fencing_token.saturating_sub(self.rng.random_range(1..9))
        };
        let mut seat = Seat::new(heard, self.now, self.now);
        if self.rng.random_bool(0.6) {
            seat.load_at += Duration::from_millis(self.rng.random_range(200..12_000));
        }
        seat
    }

    /// What a leader hears in this step. False if it does nothing else; none if it is one no more.
    pub(super) fn hears(&mut self, i: usize, leader: &mut Leader, cut: bool) -> Option<bool> {
        let (now, revision) = (self.now, self.store.revision());
        if !cut {
            let all = leader.news.first().map_or(revision, |news| news.revision.saturating_sub(1));
            if all > leader.seat.heard && self.rng.random_bool(0.5) {
                leader.seat.heard = all;
            }
            if leader.seat.heard >= revision {
                leader.seat.proof = Some(now);
                leader.seat.unproven = false;
            }
            let assigned = self.users.leader_record(leader.seat.heard);
            let other = assigned.is_some_and(|(_, version)| version > leader.cluster.fencing_token);
            if other && std::mem::replace(&mut leader.seat.deposed, true) && self.rng.random_bool(0.3) {
                self.trace(&format!("leader {i} steps down"));
                return None;
            }
            if !leader.cluster.loaded && leader.seat.load_at <= now && !other {
                leader.cluster.reset_for_load();
                self.load(&mut leader.cluster);
                self.trace(&format!("leader {i} loads at {revision}"));
                leader.news.clear();
                leader.seat.heard = revision;
                leader.seat.unconfirmed = UnconfirmedCancellations::default();
                leader.seat.unconfirmed.observe_end(revision, now);
                leader.inherited = leader.cluster.machines.keys().cloned().collect();
                self.users.moment = true;
            }
            leader.cluster.record_known_ends(Some(leader.seat.heard));
            leader.seat.watermark = leader.seat.watermark.max(self.users.stored_mark(leader.seat.heard));
        }
        if let Some(watermark) = self.watermark(i, leader) {
            leader.seat.watermark = leader.seat.watermark.max(watermark.revision);
            self.tell_others(i, leader, watermark, cut);
        }
        Some(leader.cluster.loaded && !leader.seat.unproven)
    }

    /// A leader heard of an end.
    pub(super) fn heard_end(&self, leader: &mut Leader, id: &JobId, version: u64) {
        if self.users.on && self.users.ended.contains_key(id) {
            leader.seat.unconfirmed.observe_end(version, self.now);
        }
    }

    /// As `Membership::watermark` has it.
    fn watermark(&self, i: usize, leader: &mut Leader) -> Option<Watermark> {
        let (of, version) = self.users.leader_record(leader.seat.heard)?;
        let mine = of.incarnation == i.to_string() && version == leader.cluster.fencing_token;
        (leader.cluster.loaded && mine).then_some(Watermark {
            fencing_token: leader.cluster.fencing_token,
            revision: leader.cluster.advance_watermark(),
        })
    }

    fn tell_others(&mut self, i: usize, leader: &mut Leader, watermark: Watermark, cut: bool) {
        let now = self.now;
        let alone = leader.cut.is_some() && !leader.seat.hears_others;
        if leader.seat.next_line <= now && !alone {
            leader.seat.next_line = now + LINES;
            for f in 0..FOLLOWERS {
                if self.users.followers[f].unheard_until <= now && !self.rng.random_bool(0.1) {
                    self.send(Message::Line { from: i, to: f, watermark });
                }
            }
        }
        let least = leader.seat.acknowledged.iter().copied().min().unwrap_or(0);
        leader.seat.unconfirmed.confirmed(least, now);
        if !cut && leader.seat.unconfirmed.due(now) {
            // As `membership::storing` has it.
            let value = serde_json::to_value(watermark).expect("a watermark is plain");
            let conditions = [Condition::at(LEADER, watermark.fencing_token)];
            let unanswered = self.slow() && self.rng.random_bool(0.4);
            if unanswered {
                let due = now + Duration::from_millis(self.rng.random_range(2000..12_000));
                let changes = vec![Change::write(WATERMARK, value)];
                self.messages.push((due, Message::CompareAndSwap { conditions: conditions.into(), changes }));
            } else if let Ok(version) = self.store.apply_if(&conditions, &[Change::write(WATERMARK, value)]) {
                self.note_mark(version, watermark.revision);
                leader.seat.unconfirmed.confirmed(watermark.revision, now);
            }
        }
    }

    pub(super) fn note_mark(&mut self, version: u64, revision: u64) {
        self.users.marks.push((version, revision));
        self.users.tally.stored_marks += 1;
    }

    /// A line of a leader arrives, and is acknowledged in the next one of the other.
    pub(super) fn hear_line(&mut self, from: usize, to: usize, watermark: Watermark) {
        let known = self.users.leader_record(self.users.followers[to].heard);
        let follower = &mut self.users.followers[to];
        if follower.unheard_until > self.now {
            return;
        }
        let revision = accepted_watermark(&from.to_string(), Some(watermark), known.as_ref()).unwrap_or(0);
        follower.watermark = follower.watermark.max(revision);
        let acknowledged = follower.watermark;
        if let Some(leader) = self.leaders[from].as_mut().filter(|_| self.rng.random_bool(0.8)) {
            leader.seat.acknowledged[to] = leader.seat.acknowledged[to].max(acknowledged);
        }
    }

    /// What this leader may answer with, by what it knows now.
    pub(super) fn response_policy(&self, leader: &Leader) -> ResponsePolicy {
        if !self.users.on {
            return ResponsePolicy {
                cluster_state_loaded: true,
                leader_known: true,
                unproven_since_pause: false,
                store_answers: true,
            };
        }
        let since = |at: Option<Instant>| at.map_or(Duration::ZERO, |at| self.now - at);
        let refused = since(leader.cut.map(|(at, _)| at)).max(since(self.users.out.map(|(at, _)| at)));
        let alone = leader.cut.is_some() && !leader.seat.hears_others;
        let (heard, answering) = if alone { (0, None) } else { self.users.others(self.now) };
        let proof = leader.seat.proof.map(|at| self.now - at);
        let seen = Observations { proof, refused, peers: FOLLOWERS, heard, answering };
        let knows = seen.serving_state(Patience::of_leadership(LEADER_LEASE)).speaks();
        let serves = refused < Duration::from_secs(2);
        ResponsePolicy {
            cluster_state_loaded: leader.cluster.loaded,
            leader_known: knows,
            unproven_since_pause: leader.seat.unproven,
            store_answers: serves,
        }
    }

    /// Jobs of a heartbeat that are over by this leader's watch cache (as `Membership::reported_ends` has it).
    pub(super) fn reported_ends(&self, leader: &Leader, heartbeat: &Heartbeat) -> HashSet<JobId> {
        let attempts = heartbeat.attempts.iter().map(|attempt_report| &attempt_report.task.job);
        attempts.filter(|id| self.users.over(id, leader.seat.heard)).cloned().collect()
    }

    /// Whether this machine is answered at all.
    pub(super) fn holds(&self, leader: &mut Leader, policy: ResponsePolicy, machine: &str) -> bool {
        let now = self.now;
        let spare = example().params.workers.spare();
        let fresh = leader.seat.proof.is_some_and(|at| now - at < spare);
        if policy.leader_known {
            leader.seat.leader_searches.clear();
        }
        let leader_searches = &mut leader.seat.leader_searches;
        policy.renews_lease(
            leader.seat.heard >= leader.cluster.fencing_token,
            || fresh,
            || leader_searches.holds(machine, FOLLOWERS, LEASE, now),
        )
    }

    /// A user of some controller: of a follower that the store serves, or of whoever thinks that it leads.
    pub(super) fn cancel_somewhere(&mut self) {
        let open: Vec<JobId> = self.records.keys().filter(|id| self.store.has(&open_key(id))).cloned().collect();
        if open.is_empty() || self.store_out() {
            return;
        }
        // Mostly one that runs.
        let runs =
            |id: &&JobId| self.workers.iter().any(|w| w.attempts.iter().any(|l| l.task.job == **id && w.live(&l.task)));
        let running: Vec<JobId> = open.iter().filter(runs).cloned().collect();
        let of = if running.is_empty() || self.rng.random_bool(0.2) { open } else { running };
        let id = of[self.rng.random_range(0..of.len())].clone();
        if self.rng.random_bool(0.5) {
            if self.users.followers.iter().any(|f| f.refused_until <= self.now) {
                let due = self.now + Duration::from_millis(self.rng.random_range(1..150));
                let sent = job_transactions::cancel_job(&self.records[&id], None, 0);
                let (conditions, changes) = (sent.conditions, sent.changes);
                self.messages.push((due, Message::CompareAndSwap { conditions, changes }));
            }
            return;
        }
        let leads = |o: &Leader| o.cluster.loaded && o.cut.is_none() && o.frozen.is_none();
        let leaders: Vec<usize> =
            (0..self.leaders.len()).filter(|i| self.leaders[*i].as_ref().is_some_and(leads)).collect();
        if leaders.is_empty() {
            return;
        }
        let at = leaders[self.rng.random_range(0..leaders.len())];
        let fencing_token = self.leaders[at].as_ref().expect("it leads").cluster.fencing_token;
        let sent = job_transactions::cancel_job(&self.records[&id], Some(fencing_token), 0);
        if self.apply(&sent.conditions, &sent.changes).is_ok() && !(self.slow() && self.rng.random_bool(0.4)) {
            self.send(Message::Cancelled { to: at, id, fencing_token });
        }
    }

    /// As `Membership::cancelled_by_leader` has it: told at once if the cluster state has it.
    pub(super) fn cancelled_by_leader(&mut self, at: usize, id: &JobId, fencing_token: u64) {
        let now = self.now;
        let leader =
            self.leaders[at].as_mut().filter(|o| o.cluster.loaded && o.cluster.first_fencing_token <= fencing_token);
        let Some(leader) = leader else { return };
        leader.cluster.end_job(id, Some(End::Cancelled), now);
        if leader.cluster.cancellation_effective(id) {
            self.users.tally.told_by_leader += 1;
            self.tell_user(id);
        }
    }

    /// Users ask again and again; followers hear of what is stored.
    pub(super) fn run_users(&mut self) {
        if !self.users.on {
            return;
        }
        let (now, revision) = (self.now, self.store.revision());
        if let Some((began, until)) = self.users.out
            && until <= now
        {
            self.users.out = None;
            self.users.back = now;
            self.trace("the store is back");
            self.users.tally.beyond_cancel += usize::from(now - began > CANCEL);
            // Every lease has its full time again.
            self.leads_from = self.leads_from.max(now + LEADER_LEASE);
        }
        let out = self.store_out();
        for f in 0..FOLLOWERS {
            let lags = self.rng.random_bool(0.6);
            let refused = out || self.users.followers[f].refused_until > now;
            let follower = &mut self.users.followers[f];
            follower.served = if refused { None } else { Some(follower.served.unwrap_or(now)) };
            if !refused && !lags {
                follower.heard = revision;
            }
            let mark = self.users.stored_mark(self.users.followers[f].heard);
            let follower = &mut self.users.followers[f];
            follower.watermark = follower.watermark.max(mark);
        }
        let hidden: Vec<(JobId, u64)> = self.users.hidden.iter().map(|(id, version)| (id.clone(), *version)).collect();
        for (id, version) in hidden {
            if !self.rng.random_bool(0.3) {
                continue;
            }
            // Anybody is asked, also the leaders; the version is known to who stored it, and told by the store.
            let leaders = self.leaders.iter().flatten().filter(|o| o.frozen.is_none()).map(|o| o.seat.watermark);
            let answers: Vec<u64> = self.users.followers.iter().map(|f| f.watermark).chain(leaders).collect();
            let watermark = answers[self.rng.random_range(0..answers.len())];
            match end_visibility(End::Cancelled, false, Some(version), watermark) {
                EndVisibility::Visible => self.tell_user(&id),
                EndVisibility::NotYet | EndVisibility::Unknown => self.users.tally.not_told += 1,
            }
        }
    }

    /// A process that has just begun knows nothing.
    pub(super) fn begin_follower(&mut self, f: usize) {
        let follower = &mut self.users.followers[f];
        (follower.heard, follower.watermark, follower.served) = (0, 0, None);
    }

    /// Machines that hold a live task of what has ended.
    pub(super) fn busy_with_ended(&self) -> BTreeSet<usize> {
        let over = |id: &JobId| self.users.ended.contains_key(id);
        let holds = |w: &&Worker| w.attempts.iter().any(|l| over(&l.task.job) && w.live(&l.task));
        (0..self.workers.len()).filter(|w| holds(&&self.workers[*w])).collect()
    }
}
