//! Owners: a takeover with the load of what is stored, and the turn of an owner in each step.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use rand::Rng;
use serde_json::Value;

use super::COMMAND_WAITED;
use super::messages::{Command, GivenUp, Message};
use super::store::ended;
use super::users::Seat;
use super::world::World;
use crate::history::moves::end_among;
use crate::jobs::record::{ASSIGNMENT, TASKS, chunk_key, decode_chunk, ended_key, open_key, parse_chunk_key};
use crate::jobs::{End, JobId};
use crate::process_pause::ProcessPause;
use crate::scheduling::cluster::{ClusterState, MachineId, MachineState};
use crate::scheduling::plan;
use crate::settings::Properties;
use crate::settings::tests::example;
use crate::store::commit::Batch;
use crate::store::{Change, Condition};

/// Writes that a batch takes at most.
const WRITES_PER_BATCH: usize = 12;
/// After this long without an answer of the store a batch is sent again.
const BATCH_WAITED: Duration = Duration::from_millis(1500);

/// A job that was opened or ended, as a watch tells it.
pub(super) struct News {
    /// When the watch tells it.
    pub(super) due: Instant,
    pub(super) job: JobId,
    /// Opened, or else ended.
    pub(super) opened: bool,
    pub(super) revision: u64,
}

/// A controller that owns, or that did and has not learned that it owns no longer.
pub(super) struct Owner {
    pub(super) cluster: ClusterState,
    pub(super) batch: Option<(Batch, Instant)>,
    /// What its watch will tell, in order.
    pub(super) news: Vec<News>,
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
        let stamp = self.store.stamp(ASSIGNMENT);
        let token = self
            .store
            .apply_if(&[Condition::at(ASSIGNMENT, stamp)], &[Change::write(ASSIGNMENT, Value::from(self.owners.len()))])
            .expect("the model's leader knows the stamp");
        let mut cluster = ClusterState::new(token, example(), Properties::default(), self.now);
        self.trace(&format!("owner {} under {token}", self.owners.len()));
        self.users.assigned.push((token, self.owners.len()));
        let seat = if self.users.on { self.new_seat(token) } else { Seat::new(token, self.now, self.now) };
        if !self.users.on {
            self.load(&mut cluster);
        }
        self.owner = self.owners.len();
        let inherited = cluster.machines.keys().cloned().collect();
        self.owners.push(Some(Owner {
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
        let mut chunks: HashMap<JobId, Vec<_>> = HashMap::new();
        for (key, value, stamp) in self.store.under(TASKS) {
            let (id, chunk) = parse_chunk_key(key).expect("own keys");
            chunks.entry(id.into()).or_default().push((chunk, stamp, decode_chunk(value).expect("own values")));
        }
        for (id, record) in &self.records {
            let over = ended(&self.store, id);
            let mut stored = chunks.remove(id).unwrap_or_default();
            if self.store.has(&ended_key(id, End::Done)) {
                // What is done has exited: its chunks are only dropped.
                cluster.drop_again(stored.drain(..).map(|(chunk, ..)| (id.clone(), chunk)).collect());
            }
            if self.store.has(&open_key(id)) || !stored.is_empty() {
                cluster.load_job(record.clone(), stored, self.now);
            }
            if over {
                // When it was heard of, by the successor's mirror or the end's record (`scheduling::load`).
                let at = self.ended_since.get(id).copied().unwrap_or(self.now);
                cluster.end_job(id, None, at);
                cluster.ended_after(id, self.users.ended_after(id));
            }
        }
        cluster.finish_load(self.now);
    }

    /// The turn of an owner in a step: it hears what is new, places, stores, commands and returns machines.
    pub(super) fn run_owner(&mut self, i: usize) {
        let Some(mut owner) = self.owners[i].take() else { return };
        if !self.resume(&mut owner) {
            self.owners[i] = Some(owner);
            return;
        }
        let now = self.now;
        owner.cut = owner.cut.filter(|(_, until)| *until > now);
        let cut = owner.cut.is_some() || self.store_out();
        self.hear_news(&mut owner, cut);
        if self.users.on {
            match self.hears(i, &mut owner, cut) {
                None => return,
                Some(true) => {}
                Some(false) => {
                    self.owners[i] = Some(owner);
                    return;
                }
            }
        }
        self.place_tasks(i, &mut owner);
        let deposed = self.store_what_changed(&mut owner);
        self.send_direct_commands(i, &mut owner);
        self.return_machines(i, &mut owner, cut);
        if !deposed {
            self.owners[i] = Some(owner);
        }
    }

    /// False while the owner is paused; at the end of a pause its cluster state learns of it.
    fn resume(&self, owner: &mut Owner) -> bool {
        let Some((began, ended)) = owner.frozen else { return true };
        if self.now < ended {
            return false;
        }
        owner.frozen = None;
        owner.cluster.after_pause(ProcessPause { began, ended });
        owner.seat.unproven = self.users.on;
        true
    }

    /// Takes in what the owner's watch tells by now.
    fn hear_news(&mut self, owner: &mut Owner, cut: bool) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = owner.news.drain(..).partition(|news| news.due <= now && !cut);
        owner.news = later;
        for News { job, opened, revision, .. } in due {
            // What one hears before it has loaded, it loads.
            if !owner.cluster.loaded {
                continue;
            }
            if opened {
                owner.cluster.add_job(self.records[&job].clone(), now);
            } else {
                owner.cluster.end_job(&job, None, now);
                self.heard_end(owner, &job, revision);
            }
        }
    }

    /// Places what waits, and checks the machines and their sums.
    fn place_tasks(&self, i: usize, owner: &mut Owner) {
        let now = self.now;
        owner.cluster.tick(now);
        let decisions = plan::place(&mut owner.cluster, &self.catalog, now);
        self.check_places(i, owner, &decisions);
        owner.cluster.bind_all(decisions, now);
        // What is kept with every binding is what a count afresh gives.
        for machine in owner.cluster.machines.values() {
            let (kept, afresh) = (machine.taken(), owner.cluster.taken_afresh(machine));
            assert!((kept.cpus - afresh.cpus).abs() < 1e-6 && (kept.memory_gb - afresh.memory_gb).abs() < 1e-6);
        }
    }

    /// Stores the batch that is due, the next one if there is none. True if the owner learned that it is one no
    /// longer.
    fn store_what_changed(&mut self, owner: &mut Owner) -> bool {
        let now = self.now;
        if owner.batch.is_none() {
            let (ends, chunks) = owner.cluster.next_writes(WRITES_PER_BATCH, now);
            let batch = Batch { ends, chunks, at_ms: 0 };
            if !batch.is_empty() {
                owner.batch = Some((batch, now));
            }
        }
        let Some((batch, at)) = owner.batch.take() else { return false };
        if at > now {
            owner.batch = Some((batch, at));
            return false;
        }
        self.store_batch(owner, batch)
    }

    /// Sends direct commands, each given up after a time.
    fn send_direct_commands(&mut self, i: usize, owner: &mut Owner) {
        for direct in owner.cluster.direct_commands(self.now) {
            let worker = self.workers.iter().position(|w| *w.id == *direct.machine).expect("known");
            let (token, session, machine) = (direct.token, direct.session, direct.machine);
            self.commands += 1;
            let id = self.commands;
            self.trace(&format!("owner {i} commands {machine} {:?}", direct.orders));
            let given_up = GivenUp { id, to: i, machine, token };
            self.messages.push((self.now + COMMAND_WAITED, Message::GivenUp(given_up)));
            self.send(Message::Command(Command { id, worker, from: i, token, session, orders: direct.orders }));
        }
    }

    /// Asks the cloud to end condemned machines, each once or, as where an answer is lost, twice.
    fn return_machines(&mut self, i: usize, owner: &mut Owner, cut: bool) {
        // Without the store no order stands, and only what a withdrawal makes urgent goes without.
        let overdue = if cut { owner.cluster.overdue(self.now) } else { Default::default() };
        let condemned = owner.cluster.machines.values().filter(|m| m.state == MachineState::Condemned);
        let condemned: Vec<MachineId> =
            condemned.map(|m| m.id.clone()).filter(|id| !cut || overdue.contains(id)).collect();
        for machine in condemned {
            if owner.returning.insert(machine.clone()) {
                if !self.quiet && self.rng.random_bool(0.2) {
                    self.send(Message::Return { from: i, machine: machine.clone() });
                }
                self.send(Message::Return { from: i, machine });
            }
        }
    }

    /// True if the owner learned that it is one no longer.
    pub(super) fn store_batch(&mut self, owner: &mut Owner, batch: Batch) -> bool {
        let (conditions, changes) = (batch.conditions(owner.cluster.token), batch.changes());
        let fate = if self.quiet { 1.0 } else { self.rng.random::<f64>() };
        let unanswered = if self.slow() { 0.4 } else { 0.05 };
        if owner.cut.is_some() || self.store_out() {
            if fate < 0.2 && !self.store_out() {
                let due = self.now + self.delay() * 3;
                self.messages.push((due, Message::Txn { conditions, changes }));
            }
            owner.batch = Some((batch, self.now + BATCH_WAITED));
            return false;
        }
        if fate < unanswered {
            // Not answered, and applied some time later; asked again as it was.
            let due = self.now + self.delay() * 3;
            self.messages.push((due, Message::Txn { conditions, changes }));
            owner.batch = Some((batch, self.now + BATCH_WAITED));
            return false;
        }
        let outcome = self.apply(&conditions, &changes);
        if fate > 0.95 && !self.quiet {
            // Carried out, and repeated all the same.
            let due = self.now + self.delay() * 3;
            self.messages.push((due, Message::Txn { conditions, changes }));
        }
        if fate < unanswered + 0.05 {
            // Applied, and the answer lost.
            owner.batch = Some((batch, self.now + BATCH_WAITED));
            return false;
        }
        match outcome {
            Ok(stamp) => {
                owner.cluster.chunks_stored(&batch.chunks, stamp);
                for job in &batch.ends {
                    owner.cluster.end_job(&job.spec.id, Some(End::Done), self.now);
                }
            }
            Err(keys) if keys.iter().any(|k| k == ASSIGNMENT) => return true,
            Err(keys) => self.take_refusal(owner, &batch, &keys),
        }
        false
    }

    /// A batch was refused for these keys: what they say is taken over, and the rest is stored again.
    fn take_refusal(&self, owner: &mut Owner, batch: &Batch, keys: &[String]) {
        for id in batch.jobs() {
            if let Some(end) = end_among(keys, id) {
                owner.cluster.end_job(id, Some(end), self.now);
            }
        }
        for write in &batch.chunks {
            let key = chunk_key(&write.job, write.chunk);
            let stamp = self.store.stamp(&key);
            if self.store.value(&key).and_then(decode_chunk).is_some_and(|t| t == write.tasks) {
                owner.cluster.chunks_stored(std::slice::from_ref(write), stamp);
            } else {
                owner.cluster.set_stamp(&write.job, write.chunk, stamp);
            }
        }
        owner.cluster.to_store_again(&batch.ended_ids(), &batch.chunks);
    }
}
