//! Leaders: a takeover with the load of what is stored, and the turn of a leader in each step.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use rand::Rng;
use serde_json::Value;

use super::COMMAND_WAITED;
use super::messages::{Command, GivenUp, Message};
use super::store::ended;
use super::users::Seat;
use super::world::World;
use crate::history::job_transactions::find_end;
use crate::jobs::record::{LEADER, TASKS, decode_shard, ended_key, open_key, parse_shard_key, shard_key};
use crate::jobs::{End, JobId};
use crate::process_pause::ProcessPause;
use crate::scheduling::cluster::{ClusterState, MachineId, MachineState};
use crate::scheduling::commit::CommitBatch;
use crate::scheduling::plan;
use crate::settings::Properties;
use crate::settings::tests::example;
use crate::store::{Change, Condition};

/// Writes that a batch takes at most.
const WRITES_PER_BATCH: usize = 12;
/// After this long without an answer of the store a batch is sent again.
const BATCH_WAITED: Duration = Duration::from_millis(1500);

/// A job that was opened or ended, as a watch tells it.
pub(super) struct DeliveredChange {
    /// When the watch tells it.
    pub(super) due: Instant,
    pub(super) job: JobId,
    /// Opened, or else ended.
    pub(super) opened: bool,
    pub(super) revision: u64,
}

/// A controller that leads, or that did and has not learned that it leads no longer.
pub(super) struct Leader {
    pub(super) cluster: ClusterState,
    pub(super) batch: Option<(CommitBatch, Instant)>,
    /// What its watch will tell, in order.
    pub(super) news: Vec<DeliveredChange>,
    pub(super) returning: HashSet<MachineId>,
    /// Is paused from and until then, while its clock runs on: what reaches it lies in its sockets.
    pub(super) frozen: Option<(Instant, Instant)>,
    /// Without the store and the other controllers from and until then, while workers and cloud reach it.
    pub(super) cut: Option<(Instant, Instant)>,
    pub(super) since: Instant,
    /// Machines that the store named at its takeover.
    pub(super) inherited: HashSet<MachineId>,
    pub(super) seat: Seat,
}

impl World {
    pub(super) fn take_over(&mut self) {
        if self.store_out() {
            return;
        }
        let version = self.store.version(LEADER);
        let fencing_token = self
            .store
            .apply_if(&[Condition::at(LEADER, version)], &[Change::write(LEADER, Value::from(self.leaders.len()))])
            .expect("the model's leader knows the stamp");
        let mut cluster = ClusterState::new(fencing_token, example(), Properties::default(), self.now);
        self.trace(&format!("leader {} under {fencing_token}", self.leaders.len()));
        self.users.assigned.push((fencing_token, self.leaders.len()));
        let seat =
            if self.users.on { self.new_seat(fencing_token) } else { Seat::new(fencing_token, self.now, self.now) };
        if !self.users.on {
            self.load(&mut cluster);
        }
        self.leader = self.leaders.len();
        let inherited = cluster.machines.keys().cloned().collect();
        self.leaders.push(Some(Leader {
            cluster,
            batch: None,
            news: Vec::new(),
            returning: HashSet::new(),
            frozen: None,
            cut: None,
            since: self.now,
            inherited,
            seat,
        }));
    }

    /// What is stored, into a successor's cluster state.
    pub(super) fn load(&self, cluster: &mut ClusterState) {
        let mut shards: HashMap<JobId, Vec<_>> = HashMap::new();
        for (key, value, version) in self.store.under(TASKS) {
            let (id, shard) = parse_shard_key(key).expect("own keys");
            shards.entry(id.into()).or_default().push((shard, version, decode_shard(value).expect("own values")));
        }
        for (id, record) in &self.records {
            let over = ended(&self.store, id);
            let mut stored = shards.remove(id).unwrap_or_default();
            if self.store.has(&ended_key(id, End::Done)) {
                // What is done has exited: its shards are only dropped.
                cluster.requeue_shard_drops(stored.drain(..).map(|(shard, ..)| (id.clone(), shard)).collect());
            }
            if self.store.has(&open_key(id)) || !stored.is_empty() {
                cluster.load_job(record.clone(), stored, self.now);
            }
            if over {
                // When it was heard of, by the successor's watch cache or the end's record (`scheduling::load`).
                let at = self.ended_since.get(id).copied().unwrap_or(self.now);
                cluster.end_job(id, None, at);
                cluster.set_ended_after(id, self.users.ended_after(id));
            }
        }
        cluster.finish_load(self.now);
    }

    /// The turn of a leader in a step: it hears what is new, places, stores, commands and returns machines.
    pub(super) fn run_leader(&mut self, i: usize) {
        let Some(mut leader) = self.leaders[i].take() else { return };
        if !self.resume(&mut leader) {
            self.leaders[i] = Some(leader);
            return;
        }
        let now = self.now;
        leader.cut = leader.cut.filter(|(_, until)| *until > now);
        let cut = leader.cut.is_some() || self.store_out();
        self.hear_news(&mut leader, cut);
        if self.users.on {
            match self.hears(i, &mut leader, cut) {
                None => return,
                Some(true) => {}
                Some(false) => {
                    self.leaders[i] = Some(leader);
                    return;
                }
            }
        }
        self.place_tasks(i, &mut leader);
        let deposed = self.store_what_changed(&mut leader);
        self.send_direct_commands(i, &mut leader);
        self.return_machines(i, &mut leader, cut);
        if !deposed {
            self.leaders[i] = Some(leader);
        }
    }

    /// False while the leader is paused; at the end of a pause its cluster state learns of it.
    fn resume(&self, leader: &mut Leader) -> bool {
        let Some((began, ended)) = leader.frozen else { return true };
        if self.now < ended {
            return false;
        }
        leader.frozen = None;
        leader.cluster.adjust_for_pause(ProcessPause { began, ended });
        leader.seat.unproven = self.users.on;
        true
    }

    /// Takes in what the leader's watch tells by now.
    fn hear_news(&mut self, leader: &mut Leader, cut: bool) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = leader.news.drain(..).partition(|news| news.due <= now && !cut);
        leader.news = later;
        for DeliveredChange { job, opened, revision, .. } in due {
            // What one hears before it has loaded, it loads.
            if !leader.cluster.loaded {
                continue;
            }
            if opened {
                leader.cluster.add_job(self.records[&job].clone(), now);
            } else {
                leader.cluster.end_job(&job, None, now);
                self.heard_end(leader, &job, revision);
            }
        }
    }

    /// Places what waits, and checks the machines and their sums.
    fn place_tasks(&self, i: usize, leader: &mut Leader) {
        let now = self.now;
        leader.cluster.tick(now);
        let decisions = plan::place(&mut leader.cluster, &self.catalog, now);
        self.check_places(i, leader, &decisions);
        leader.cluster.bind_placements(decisions, now);
        // What is kept with every binding is what a count afresh gives.
        for machine in leader.cluster.machines.values() {
            let (kept, afresh) = (machine.allocated(), leader.cluster.recomputed_allocation(machine));
            assert!((kept.cpus - afresh.cpus).abs() < 1e-6 && (kept.memory_gb - afresh.memory_gb).abs() < 1e-6);
        }
    }

    /// Stores the batch that is due, the next one if there is none. True if the leader learned that it is one no
    /// longer.
    fn store_what_changed(&mut self, leader: &mut Leader) -> bool {
        let now = self.now;
        if leader.batch.is_none() {
            let (ends, shards) = leader.cluster.next_writes(WRITES_PER_BATCH, now);
            let batch = CommitBatch { ends, shards, at_ms: 0 };
            if !batch.is_empty() {
                leader.batch = Some((batch, now));
            }
        }
        let Some((batch, at)) = leader.batch.take() else { return false };
        if at > now {
            leader.batch = Some((batch, at));
            return false;
        }
        self.store_batch(leader, batch)
    }

    /// Sends direct commands, each given up after a time.
    fn send_direct_commands(&mut self, i: usize, leader: &mut Leader) {
        for direct in leader.cluster.direct_commands(self.now) {
            let worker = self.workers.iter().position(|w| *w.id == *direct.machine).expect("known");
            let (fencing_token, agent_epoch, machine) = (direct.fencing_token, direct.agent_epoch, direct.machine);
            self.commands += 1;
            let id = self.commands;
            self.trace(&format!("leader {i} commands {machine} {:?}", direct.commands));
            let given_up = GivenUp { id, to: i, machine, fencing_token };
            self.messages.push((self.now + COMMAND_WAITED, Message::GivenUp(given_up)));
            self.send(Message::Command(Command {
                id,
                worker,
                from: i,
                fencing_token,
                agent_epoch,
                orders: direct.commands,
            }));
        }
    }

    /// Asks the cloud to end terminating machines, each once or, as where an answer is lost, twice.
    fn return_machines(&mut self, i: usize, leader: &mut Leader, cut: bool) {
        // Without the store no order stands, and only what a cancellation makes urgent goes without.
        let overdue = if cut { leader.cluster.overdue_machines(self.now) } else { Default::default() };
        let terminating = leader.cluster.machines.values().filter(|m| m.state == MachineState::Terminating);
        let terminating: Vec<MachineId> =
            terminating.map(|m| m.id.clone()).filter(|id| !cut || overdue.contains(id)).collect();
        for machine in terminating {
            if leader.returning.insert(machine.clone()) {
                if !self.quiet && self.rng.random_bool(0.2) {
                    self.send(Message::Return { from: i, machine: machine.clone() });
                }
                self.send(Message::Return { from: i, machine });
            }
        }
    }

    /// True if the leader learned that it is one no longer.
    pub(super) fn store_batch(&mut self, leader: &mut Leader, batch: CommitBatch) -> bool {
        let (conditions, changes) = (batch.conditions(leader.cluster.fencing_token), batch.changes());
        let fate = if self.quiet { 1.0 } else { self.rng.random::<f64>() };
        let unanswered = if self.slow() { 0.4 } else { 0.05 };
        if leader.cut.is_some() || self.store_out() {
            if fate < 0.2 && !self.store_out() {
                let due = self.now + self.delay() * 3;
                self.messages.push((due, Message::CompareAndSwap { conditions, changes }));
            }
            leader.batch = Some((batch, self.now + BATCH_WAITED));
            return false;
        }
        if fate < unanswered {
            // Not answered, and applied some time later; asked again as it was.
            let due = self.now + self.delay() * 3;
            self.messages.push((due, Message::CompareAndSwap { conditions, changes }));
            leader.batch = Some((batch, self.now + BATCH_WAITED));
            return false;
        }
        let outcome = self.apply(&conditions, &changes);
        if fate > 0.95 && !self.quiet {
            // Carried out, and repeated all the same.
            let due = self.now + self.delay() * 3;
            self.messages.push((due, Message::CompareAndSwap { conditions, changes }));
        }
        if fate < unanswered + 0.05 {
            // Applied, and the answer lost.
            leader.batch = Some((batch, self.now + BATCH_WAITED));
            return false;
        }
        match outcome {
            Ok(version) => {
                leader.cluster.record_stored_shards(&batch.shards, version);
                for job in &batch.ends {
                    leader.cluster.end_job(&job.spec.id, Some(End::Done), self.now);
                }
            }
            Err(keys) if keys.iter().any(|k| k == LEADER) => return true,
            Err(keys) => self.take_refusal(leader, &batch, &keys),
        }
        false
    }

    /// A batch was refused for these keys: what they say is taken over, and the rest is stored again.
    fn take_refusal(&self, leader: &mut Leader, batch: &CommitBatch, keys: &[String]) {
        for id in batch.jobs() {
            if let Some(end) = find_end(keys, id) {
                leader.cluster.end_job(id, Some(end), self.now);
            }
        }
        for write in &batch.shards {
            let key = shard_key(&write.job, write.shard);
            let version = self.store.version(&key);
            if self.store.value(&key).and_then(decode_shard).is_some_and(|t| t == write.tasks) {
                leader.cluster.record_stored_shards(std::slice::from_ref(write), version);
            } else {
                leader.cluster.set_shard_version(&write.job, write.shard, version);
            }
        }
        leader.cluster.requeue_writes(&batch.ended_ids(), &batch.shards);
    }
}
