//! Users and the controllers that answer them. Users cancel through any controller, and cancellations are confirmed by
//! the production rule; leaders answer workers by what they can prove. The store may be out for all controllers, slow,
//! or refuse a single one.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use rand::Rng;

use super::answers::AnswerState;
use super::leaders::Leader;
use super::messages::Message;
use super::workers::Worker;
use super::world::World;
use super::{CANCELLATION_DEADLINE, LEADER_LEASE, WORKER_LEASE};
use crate::history::job_transactions;
use crate::history::visibility::CancelledJobAnswer;
use crate::jobs::record::open_key;
use crate::jobs::{End, JobId};
use crate::membership::confirmation_write;
use crate::membership::mesh::accepted_watermark;
use crate::membership::serving_state::{FreshnessLimits, LeaderSearches, Observations};
use crate::membership::watermark::{UnconfirmedCancellations, own_watermark};
use crate::protocol::workers::Heartbeat;
use crate::records::leadership::{
    ConfirmedCancellations, LeaderRecord, RevisionBounds, StoredConfirmations, Watermark,
};
use crate::settings::tests::example;
use crate::workers::response_policy::ResponsePolicy;

/// Number of controllers beside the leader.
const FOLLOWER_COUNT: usize = 2;
/// Interval between the peer messages of a leader.
const PEER_MESSAGE_INTERVAL: Duration = Duration::from_millis(500);

/// A controller that answers users and does not lead.
pub(super) struct Follower {
    answers: AnswerState,
    /// The store refuses this follower until then.
    pub(super) store_refused_until: Instant,
    /// Peer messages from leaders are dropped until then.
    pub(super) unreachable_until: Instant,
    /// Since when the store has served the follower without a break.
    served_since: Option<Instant>,
}

/// A leader's knowledge of the store and of the other controllers, beside its cluster state.
pub(super) struct LeaderMembership {
    observed_revision: u64,
    answers: AnswerState,
    /// When the leader last knew all that was stored.
    proven_at: Option<Instant>,
    /// Nothing has been proven since the last process pause.
    pub(super) unproven_since_pause: bool,
    load_at: Instant,
    unconfirmed_ends: UnconfirmedCancellations,
    leader_searches: LeaderSearches,
    next_peer_message_at: Instant,
    /// During a partition from the store the leader still reaches the other controllers.
    pub(super) reaches_peers: bool,
    /// The leader has observed that another one leads.
    successor_seen: bool,
}

impl LeaderMembership {
    pub(super) fn new(observed_revision: u64, proven_at: Instant, now: Instant) -> Self {
        Self {
            observed_revision,
            answers: AnswerState::new(),
            proven_at: Some(proven_at),
            unproven_since_pause: false,
            load_at: now,
            unconfirmed_ends: UnconfirmedCancellations::default(),
            leader_searches: LeaderSearches::default(),
            next_peer_message_at: now,
            reaches_peers: false,
            successor_seen: false,
        }
    }
}

/// What a leader does in the rest of a step, by its membership.
pub(super) enum MembershipOutcome {
    /// Places tasks, stores and commands.
    Acts,
    /// Does nothing, since its cluster state is not loaded or unproven.
    Waits,
    /// Ends, since another controller leads.
    StepsDown,
}

/// Counts of the events that must occur often enough for the simulations to be conclusive.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Tally {
    /// Cancellations that were confirmed to their users.
    pub(super) confirmed: usize,
    /// Questions about cancelled jobs that were answered as before the cancellation.
    pub(super) answered_as_open: usize,
    /// Of these, questions about jobs whose cancellation was held back while later ones were confirmed.
    pub(super) answered_while_held: usize,
    /// Questions about cancelled jobs that were not answered.
    pub(super) unanswered_questions: usize,
    /// Questions about cancelled jobs after the confirmation.
    pub(super) confirmed_again: usize,
    pub(super) confirmed_by_leader: usize,
    pub(super) stored_confirmations: usize,
    /// Writes of confirmations that were applied late.
    pub(super) late_confirmations: usize,
    pub(super) outages: usize,
    /// Outages of the store that outlasted the cancellation deadline.
    pub(super) outages_past_deadline: usize,
    /// Heartbeats to successors that had not yet loaded their cluster state.
    pub(super) heartbeats_before_load: usize,
    /// Answers with commands for tasks of ended jobs alone.
    pub(super) stop_only_answers: usize,
    pub(super) unanswered_heartbeats: usize,
    /// Spells in which the store refused the leader alone.
    pub(super) leader_refusals: usize,
    pub(super) full_restarts: usize,
    pub(super) takeovers: usize,
    /// Partitions of a zone with the leader in it.
    pub(super) zone_partitions: usize,
    /// Spells in which half of the machines reached no controller.
    pub(super) outbound_partitions: usize,
}

impl std::ops::AddAssign for Tally {
    fn add_assign(&mut self, o: Self) {
        self.confirmed += o.confirmed;
        self.answered_as_open += o.answered_as_open;
        self.answered_while_held += o.answered_while_held;
        self.unanswered_questions += o.unanswered_questions;
        self.confirmed_again += o.confirmed_again;
        self.confirmed_by_leader += o.confirmed_by_leader;
        self.stored_confirmations += o.stored_confirmations;
        self.late_confirmations += o.late_confirmations;
        self.outages += o.outages;
        self.outages_past_deadline += o.outages_past_deadline;
        self.heartbeats_before_load += o.heartbeats_before_load;
        self.stop_only_answers += o.stop_only_answers;
        self.unanswered_heartbeats += o.unanswered_heartbeats;
        self.leader_refusals += o.leader_refusals;
        self.full_restarts += o.full_restarts;
        self.takeovers += o.takeovers;
        self.zone_partitions += o.zone_partitions;
        self.outbound_partitions += o.outbound_partitions;
    }
}

/// Users, followers, store outages and planned faults of a world.
pub(super) struct Users {
    /// Whether the world has users. Without users a cancellation counts from when it is stored, which is stricter.
    pub(super) enabled: bool,
    pub(super) followers: Vec<Follower>,
    /// Start and end of a current outage of the store.
    pub(super) store_outage: Option<(Instant, Instant)>,
    /// When the last outage of the store ended.
    pub(super) store_back_at: Instant,
    pub(super) store_slow_until: Instant,
    /// Versions of the leader record with the leader that each names.
    pub(super) leader_records: Vec<(u64, usize)>,
    /// Store revision at which each job ended.
    end_revisions: HashMap<JobId, u64>,
    /// Cancellations that are stored, with their versions.
    pub(super) cancellations: BTreeMap<JobId, u64>,
    /// Bytes that the ids of held cancellations may take.
    pub(super) max_held_bytes: usize,
    /// Something was just stored, acted on or answered, so combined faults are likely in this step.
    pub(super) fault_trigger: bool,
    /// Times and kinds of the faults to come.
    pub(super) planned_faults: Vec<(Instant, usize)>,
    pub(super) tally: Tally,
}

/// Returns the record of a leader.
pub(super) fn leader_record(leader: usize) -> LeaderRecord {
    LeaderRecord {
        node: leader.to_string(),
        incarnation: leader.to_string(),
        teams: Vec::new(),
        stored_confirmations: Some(StoredConfirmations { since: Some(0) }),
    }
}

impl Users {
    pub(super) fn new(enabled: bool, now: Instant) -> Self {
        let follower = || Follower {
            answers: AnswerState::new(),
            store_refused_until: now,
            unreachable_until: now,
            served_since: Some(now),
        };
        Self {
            enabled,
            followers: (0..FOLLOWER_COUNT).map(|_| follower()).collect(),
            store_outage: None,
            store_back_at: now,
            store_slow_until: now,
            leader_records: Vec::new(),
            end_revisions: HashMap::new(),
            cancellations: BTreeMap::new(),
            max_held_bytes: usize::MAX,
            fault_trigger: false,
            planned_faults: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Returns the leader record, and its version, as known at this revision.
    fn leader_record(&self, observed_revision: u64) -> Option<(LeaderRecord, u64)> {
        let (version, leader) = self.leader_records.iter().rev().find(|(version, _)| *version <= observed_revision)?;
        Some((leader_record(*leader), *version))
    }

    /// Returns the bounds of the revision at which the end of this job was stored.
    pub(super) fn end_bounds(&self, id: &JobId) -> RevisionBounds {
        RevisionBounds::exact(self.end_revisions.get(id).copied().unwrap_or(0))
    }

    /// Whether the end of this job is known at this revision.
    fn has_ended(&self, id: &JobId, observed_revision: u64) -> bool {
        self.end_revisions.get(id).is_some_and(|version| *version <= observed_revision)
    }

    /// Returns how many followers a leader hears, and the longest time for which the store has served one of them.
    fn reachable_followers(&self, now: Instant) -> (usize, Option<Duration>) {
        let reachable: Vec<&Follower> = self.followers.iter().filter(|f| f.unreachable_until <= now).collect();
        (reachable.len(), reachable.iter().filter_map(|f| f.served_since).map(|at| now - at).max())
    }
}

impl World {
    /// Whether the store is out for all controllers.
    pub(super) fn store_is_out(&self) -> bool {
        self.users.store_outage.is_some()
    }

    /// Whether the store leaves many requests unanswered.
    pub(super) fn store_is_slow(&self) -> bool {
        self.users.store_slow_until > self.now
    }

    /// Returns for how long a leader whose pause or partition began at `began` has been without the store. Outages of
    /// the store for all controllers don't count: during one the result is zero, and after one the time starts anew.
    pub(super) fn unreachable_for(&self, began: Instant) -> Duration {
        if self.store_is_out() { Duration::ZERO } else { self.now - began.max(self.users.store_back_at) }
    }

    /// Records the end of a job that was just stored.
    pub(super) fn record_end(&mut self, id: &JobId, end: End, version: u64) {
        self.trace(&format!("end of {id} stored at {version}: {end:?}"));
        self.users.end_revisions.insert(id.clone(), version);
        self.ended_since.insert(id.clone(), self.now);
        if end == End::Cancelled {
            if self.users.enabled {
                self.users.cancellations.insert(id.clone(), version);
                self.users.fault_trigger = true;
            } else {
                self.cancelled_since.insert(id.clone(), self.now);
            }
        }
    }

    /// Confirms a cancellation to its user.
    fn confirm_cancellation(&mut self, id: &JobId) {
        self.trace(&format!("cancellation of {id} confirmed"));
        self.cancelled_since.insert(id.clone(), self.now);
        self.users.tally.confirmed += 1;
        self.users.fault_trigger = true;
    }

    /// Creates the membership of a successor, which loads its cluster state at once or later and whose watch cache may
    /// lag.
    pub(super) fn new_membership(&mut self, fencing_token: u64) -> LeaderMembership {
        let observed_revision = if self.rng.random_bool(0.5) {
            fencing_token
        } else {
            fencing_token.saturating_sub(self.rng.random_range(1..9))
        };
        let mut membership = LeaderMembership::new(observed_revision, self.now, self.now);
        if self.rng.random_bool(0.6) {
            membership.load_at += Duration::from_millis(self.rng.random_range(200..12_000));
        }
        membership
    }

    /// Updates a leader's knowledge of the store and the other controllers, and decides what it does in this step.
    pub(super) fn run_membership(
        &mut self,
        i: usize,
        leader: &mut Leader,
        store_unreachable: bool,
    ) -> MembershipOutcome {
        let (now, revision) = (self.now, self.store.revision());
        if !store_unreachable {
            let delivered_revision =
                leader.watch_events.first().map_or(revision, |event| event.revision.saturating_sub(1));
            if delivered_revision > leader.membership.observed_revision && self.rng.random_bool(0.5) {
                leader.membership.observed_revision = delivered_revision;
            }
            if leader.membership.observed_revision >= revision {
                leader.membership.proven_at = Some(now);
                leader.membership.unproven_since_pause = false;
            }
            let known = self.users.leader_record(leader.membership.observed_revision);
            let other_leads = known.is_some_and(|(_, version)| version > leader.cluster.fencing_token);
            if other_leads
                && std::mem::replace(&mut leader.membership.successor_seen, true)
                && self.rng.random_bool(0.3)
            {
                self.trace(&format!("leader {i} steps down"));
                return MembershipOutcome::StepsDown;
            }
            if !leader.cluster.loaded && leader.membership.load_at <= now && !other_leads {
                leader.cluster.reset_for_load();
                self.load_stored_state(&mut leader.cluster);
                self.trace(&format!("leader {i} loads its cluster state at {revision}"));
                leader.watch_events.clear();
                leader.membership.observed_revision = revision;
                leader.membership.unconfirmed_ends = UnconfirmedCancellations::after_load(revision);
                leader.inherited_machines = leader.cluster.machines.keys().cloned().collect();
                self.users.fault_trigger = true;
            }
            leader.cluster.record_known_ends(Some(leader.membership.observed_revision));
            if self.rng.random_bool(0.5) {
                leader.membership.answers.catch_up(&self.store);
            }
        }
        if self.leads_by_its_record(i, leader) {
            self.announce_watermark(i, leader);
            if !store_unreachable {
                self.store_confirmations(leader);
            }
        }
        if leader.cluster.loaded && !leader.membership.unproven_since_pause {
            MembershipOutcome::Acts
        } else {
            MembershipOutcome::Waits
        }
    }

    /// Notes that a leader has observed the end of a job.
    pub(super) fn observe_end_of(&self, leader: &mut Leader, id: &JobId, version: u64) {
        if self.users.enabled && self.users.end_revisions.contains_key(id) {
            leader.membership.unconfirmed_ends.observe_end(id, version);
        }
    }

    /// Returns whether the leader may confirm cancellations, by the rule of `own_watermark`.
    fn leads_by_its_record(&self, i: usize, leader: &Leader) -> bool {
        let cluster = leader.cluster.loaded.then_some((leader.cluster.fencing_token, 0));
        let known = self.users.leader_record(leader.membership.observed_revision);
        own_watermark(&i.to_string(), cluster, known.as_ref()).is_some()
    }

    /// Sends the stored watermark to the followers.
    fn announce_watermark(&mut self, i: usize, leader: &mut Leader) {
        let now = self.now;
        let isolated = leader.store_partition.is_some() && !leader.membership.reaches_peers;
        if leader.membership.next_peer_message_at > now || isolated {
            return;
        }
        leader.membership.next_peer_message_at = now + PEER_MESSAGE_INTERVAL;
        let revision = leader.membership.answers.watch_cache.watermark().map_or(0, |stored| stored.revision);
        let watermark = Watermark { fencing_token: leader.cluster.fencing_token, revision };
        for f in 0..FOLLOWER_COUNT {
            if self.users.followers[f].unreachable_until <= now && !self.rng.random_bool(0.1) {
                self.send(Message::WatermarkAnnouncement { from: i, to: f, watermark });
            }
        }
    }

    /// Stores the cancellations that may be confirmed, as `membership::confirmation` does. At times the write is applied
    /// late and not answered.
    fn store_confirmations(&mut self, leader: &mut Leader) {
        let now = self.now;
        let watch_cache = &leader.membership.answers.watch_cache;
        let stored = watch_cache.confirmed_cancellations();
        let confirmed = leader.cluster.confirmable_cancellations(stored, self.users.max_held_bytes);
        let Some(confirmed) = confirmed else { return };
        if !leader.membership.unconfirmed_ends.take_store_due(stored, &confirmed, now) {
            return;
        }
        let (conditions, change) = confirmation_write(&confirmed, watch_cache.confirmed_cancellations_version());
        let unanswered = if self.store_is_slow() { 0.4 } else { 0.05 };
        if !self.fault_free && self.rng.random_bool(unanswered) {
            let due = now + Duration::from_millis(self.rng.random_range(2000..12_000));
            self.messages.push((due, Message::CompareAndSwap { conditions: conditions.into(), changes: vec![change] }));
            self.users.tally.late_confirmations += 1;
        } else {
            let _ = self.apply_transaction(&conditions, &[change]);
        }
    }

    /// Checks confirmations that were just stored against those that were stored before: none is taken back.
    pub(super) fn check_stored_confirmations(
        &mut self,
        before: Option<&ConfirmedCancellations>,
        stored: &ConfirmedCancellations,
    ) {
        for (id, version) in &self.users.cancellations {
            let is_confirmed = |by: &ConfirmedCancellations| *version <= by.limit_for(id);
            assert!(
                !before.is_some_and(is_confirmed) || is_confirmed(stored),
                "the confirmation of {id}, cancelled at {version}, was taken back: {before:?}, then {stored:?}"
            );
        }
        self.users.tally.stored_confirmations += 1;
    }

    /// Delivers a leader's watermark to a follower.
    pub(super) fn deliver_watermark_announcement(&mut self, from: usize, to: usize, watermark: Watermark) {
        let follower = &mut self.users.followers[to];
        if follower.unreachable_until > self.now {
            return;
        }
        let known = follower.answers.watch_cache.leader_record();
        let revision = accepted_watermark(&from.to_string(), Some(watermark), known).unwrap_or(0);
        follower.answers.advance_watermark(revision);
    }

    /// Returns what this leader may answer heartbeats with, by what it knows now.
    pub(super) fn response_policy(&self, leader: &Leader) -> ResponsePolicy {
        if !self.users.enabled {
            return ResponsePolicy {
                cluster_state_loaded: true,
                leader_known: true,
                unproven_since_pause: false,
                store_answers: true,
            };
        }
        let time_since = |start: Option<Instant>| start.map_or(Duration::ZERO, |start| self.now - start);
        let refused = time_since(leader.store_partition.map(|(start, _)| start))
            .max(time_since(self.users.store_outage.map(|(start, _)| start)));
        let isolated = leader.store_partition.is_some() && !leader.membership.reaches_peers;
        let (heard, answering) = if isolated { (0, None) } else { self.users.reachable_followers(self.now) };
        let proof = leader.membership.proven_at.map(|at| self.now - at);
        let observations = Observations { proof, refused, peers: FOLLOWER_COUNT, heard, answering };
        let leader_known = observations.serving_state(FreshnessLimits::for_leadership(LEADER_LEASE)).may_answer();
        let store_answers = refused < Duration::from_secs(2);
        ResponsePolicy {
            cluster_state_loaded: leader.cluster.loaded,
            leader_known,
            unproven_since_pause: leader.membership.unproven_since_pause,
            store_answers,
        }
    }

    /// Returns the jobs of a heartbeat that have ended by this leader's watch cache, as `Membership::reported_ends`
    /// does.
    pub(super) fn reported_ends(&self, leader: &Leader, heartbeat: &Heartbeat) -> HashSet<JobId> {
        let attempts = heartbeat.attempts.iter().map(|attempt_report| &attempt_report.task.job);
        attempts.filter(|id| self.users.has_ended(id, leader.membership.observed_revision)).cloned().collect()
    }

    /// Whether this leader answers the machine and so renews its lease.
    pub(super) fn renews_lease(&self, leader: &mut Leader, policy: ResponsePolicy, machine: &str) -> bool {
        let now = self.now;
        let spare = example().params.workers.cancellation_slack();
        let fresh = leader.membership.proven_at.is_some_and(|at| now - at < spare);
        if policy.leader_known {
            leader.membership.leader_searches.clear();
        }
        let leader_searches = &mut leader.membership.leader_searches;
        policy.renews_lease(
            leader.membership.observed_revision >= leader.cluster.fencing_token,
            || fresh,
            || leader_searches.must_hold(machine, FOLLOWER_COUNT, WORKER_LEASE, now),
        )
    }

    /// Cancels a job through a follower that the store serves, or through a controller that considers itself the
    /// leader.
    pub(super) fn cancel_through_any_controller(&mut self) {
        let open: Vec<JobId> = self.records.keys().filter(|id| self.store.has(&open_key(id))).cloned().collect();
        if open.is_empty() || self.store_is_out() {
            return;
        }
        // Mostly a job that runs.
        let is_running = |id: &&JobId| {
            self.workers.iter().any(|w| w.attempts.iter().any(|l| l.task.job == **id && w.has_live_attempt(&l.task)))
        };
        let running: Vec<JobId> = open.iter().filter(is_running).cloned().collect();
        let candidates = if running.is_empty() || self.rng.random_bool(0.2) { open } else { running };
        let id = candidates[self.rng.random_range(0..candidates.len())].clone();
        if self.rng.random_bool(0.5) {
            if self.users.followers.iter().any(|f| f.store_refused_until <= self.now) {
                let due = self.now + Duration::from_millis(self.rng.random_range(1..150));
                let sent = job_transactions::cancel_job(&self.records[&id], None, 0, usize::MAX);
                let (conditions, changes) = (sent.conditions, sent.changes);
                self.messages.push((due, Message::CompareAndSwap { conditions, changes }));
            }
            return;
        }
        let may_lead = |o: &Leader| o.cluster.loaded && o.store_partition.is_none() && o.pause.is_none();
        let leaders: Vec<usize> =
            (0..self.leaders.len()).filter(|i| self.leaders[*i].as_ref().is_some_and(may_lead)).collect();
        if leaders.is_empty() {
            return;
        }
        let leader = leaders[self.rng.random_range(0..leaders.len())];
        let fencing_token = self.leaders[leader].as_ref().expect("it leads").cluster.fencing_token;
        let sent = job_transactions::cancel_job(&self.records[&id], Some(fencing_token), 0, usize::MAX);
        if self.apply_transaction(&sent.conditions, &sent.changes).is_ok()
            && !(self.store_is_slow() && self.rng.random_bool(0.4))
        {
            self.send(Message::CancellationStored { to: leader, id, fencing_token });
        }
    }

    /// Ends a job that a leader has cancelled for its own user, as `Membership::apply_cancellation` does.
    pub(super) fn apply_cancellation(&mut self, leader: usize, id: &JobId, fencing_token: u64) {
        let now = self.now;
        let leader = self.leaders[leader]
            .as_mut()
            .filter(|o| o.cluster.loaded && o.cluster.first_fencing_token <= fencing_token);
        let Some(leader) = leader else { return };
        leader.cluster.end_job(id, Some(End::Cancelled), now);
    }

    /// Ends a store outage that is over, updates the followers, and lets users ask about their cancelled jobs.
    pub(super) fn run_users(&mut self) {
        if !self.users.enabled {
            return;
        }
        let now = self.now;
        if let Some((began, until)) = self.users.store_outage
            && until <= now
        {
            self.users.store_outage = None;
            self.users.store_back_at = now;
            self.trace("the store is back");
            self.users.tally.outages_past_deadline += usize::from(now - began > CANCELLATION_DEADLINE);
            // After an outage every election lease has its full time again.
            self.next_leader_from = self.next_leader_from.max(now + LEADER_LEASE);
        }
        let out = self.store_is_out();
        for f in 0..FOLLOWER_COUNT {
            let lags = self.rng.random_bool(0.6);
            let refused = out || self.users.followers[f].store_refused_until > now;
            let follower = &mut self.users.followers[f];
            follower.served_since = if refused { None } else { Some(follower.served_since.unwrap_or(now)) };
            if !refused && !lags {
                follower.answers.catch_up(&self.store);
            }
        }
        let cancelled: Vec<JobId> = self.users.cancellations.keys().cloned().collect();
        for id in cancelled {
            let is_confirmed = self.cancelled_since.contains_key(&id);
            if self.rng.random_bool(if is_confirmed { 0.02 } else { 0.3 }) {
                self.ask_any_controller(&id);
            }
        }
    }

    /// Lets a user ask any controller, also a leader, about a cancelled job. Once one has confirmed the cancellation, no
    /// other may report the job as open.
    pub(super) fn ask_any_controller(&mut self, id: &JobId) {
        let (now, out) = (self.now, self.store_is_out());
        let leaders = (0..self.leaders.len())
            .filter(|i| self.leaders[*i].as_ref().is_some_and(|leader| leader.pause.is_none()))
            .collect::<Vec<_>>();
        let asked = self.rng.random_range(0..FOLLOWER_COUNT + leaders.len());
        let (answers, served, by_leader) = if asked < FOLLOWER_COUNT {
            let follower = &mut self.users.followers[asked];
            (&mut follower.answers, follower.store_refused_until <= now, false)
        } else {
            let leader = self.leaders[leaders[asked - FOLLOWER_COUNT]].as_mut().expect("it leads");
            (&mut leader.membership.answers, leader.store_partition.is_none(), true)
        };
        let store = Some(&self.store).filter(|_| served && !out);
        let answer = answers.answer(id, store);
        let is_held = answers.watch_cache.confirmed_cancellations().is_some_and(|stored| stored.held.contains(id));
        let confirmed_before = self.cancelled_since.contains_key(id);
        let tally = &mut self.users.tally;
        match answer {
            Some(CancelledJobAnswer::Cancelled) if confirmed_before => tally.confirmed_again += 1,
            Some(CancelledJobAnswer::Cancelled) => {
                tally.confirmed_by_leader += usize::from(by_leader);
                self.confirm_cancellation(id);
            }
            Some(CancelledJobAnswer::Open) => {
                assert!(!confirmed_before, "{id} was reported as open after its cancellation was confirmed");
                tally.answered_as_open += 1;
                tally.answered_while_held += usize::from(is_held);
            }
            None => {
                assert!(
                    store.is_none(),
                    "a question about {id} was not answered although the store serves the controller"
                );
                tally.unanswered_questions += 1;
            }
        }
    }

    /// Restarts a follower, which then knows nothing.
    pub(super) fn restart_follower(&mut self, f: usize) {
        let follower = &mut self.users.followers[f];
        (follower.answers, follower.served_since) = (AnswerState::new(), None);
    }

    /// Returns the workers with a live task of an ended job.
    pub(super) fn workers_with_ended_tasks(&self) -> BTreeSet<usize> {
        let job_ended = |id: &JobId| self.users.end_revisions.contains_key(id);
        let has_ended_task =
            |w: &&Worker| w.attempts.iter().any(|l| job_ended(&l.task.job) && w.has_live_attempt(&l.task));
        (0..self.workers.len()).filter(|w| has_ended_task(&&self.workers[*w])).collect()
    }
}
