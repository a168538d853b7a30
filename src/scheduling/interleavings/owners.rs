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

pub(super) struct Owner {
    pub(super) cluster: ClusterState,
    pub(super) batch: Option<(Batch, Instant)>,
    /// What its watch will tell, and when: jobs opened and ended, with the revision.
    pub(super) news: Vec<(Instant, JobId, bool, u64)>,
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

    pub(super) fn run_owner(&mut self, i: usize) {
        let now = self.now;
        let Some(mut owner) = self.owners[i].take() else { return };
        if let Some((began, ended)) = owner.frozen {
            if now < ended {
                self.owners[i] = Some(owner);
                return;
            }
            owner.frozen = None;
            owner.cluster.after_pause(ProcessPause { began, ended });
            owner.seat.unproven = self.users.on;
        }
        owner.cut = owner.cut.filter(|(_, until)| *until > now);
        let cut = owner.cut.is_some() || self.store_out();
        let (due, later): (Vec<_>, Vec<_>) = owner.news.drain(..).partition(|(at, ..)| *at <= now && !cut);
        owner.news = later;
        for (_, id, opened, stamp) in due {
            // What one hears before it has loaded, it loads.
            if !owner.cluster.loaded {
                continue;
            }
            if opened {
                owner.cluster.add_job(self.records[&id].clone(), now);
            } else {
                owner.cluster.end_job(&id, None, now);
                self.heard_end(&mut owner, &id, stamp);
            }
        }
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
        owner.cluster.tick(now);
        let decisions = plan::place(&mut owner.cluster, &self.catalog, now);
        self.check_places(i, &owner, &decisions);
        owner.cluster.bind_all(decisions, now);
        // What is kept with every binding is what a count afresh gives.
        for machine in owner.cluster.machines.values() {
            let (kept, afresh) = (machine.taken(), owner.cluster.taken_afresh(machine));
            assert!((kept.cpus - afresh.cpus).abs() < 1e-6 && (kept.memory_gb - afresh.memory_gb).abs() < 1e-6);
        }
        let mut deposed = false;
        if owner.batch.is_none() {
            let (ends, chunks) = owner.cluster.next_writes(12, now);
            let batch = Batch { ends, chunks, at_ms: 0 };
            if !batch.is_empty() {
                owner.batch = Some((batch, now));
            }
        }
        if let Some((batch, at)) = owner.batch.take() {
            if at > now {
                owner.batch = Some((batch, at));
            } else {
                deposed = self.store_batch(&mut owner, batch);
            }
        }
        for direct in owner.cluster.direct_commands(now) {
            let w = self.workers.iter().position(|w| *w.id == *direct.machine).expect("known");
            let (token, session, machine) = (direct.token, direct.session, direct.machine);
            self.commands += 1;
            let id = self.commands;
            self.trace(&format!("owner {i} commands {machine} {:?}", direct.orders));
            self.messages.push((now + COMMAND_WAITED, Message::GivenUp(GivenUp { id, to: i, machine, token })));
            self.send(Message::Command(Command { id, worker: w, from: i, token, session, orders: direct.orders }));
        }
        // Without the store no order stands, and only what a withdrawal makes urgent goes without.
        let overdue = if cut { owner.cluster.overdue(now) } else { Default::default() };
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
        if !deposed {
            self.owners[i] = Some(owner);
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
            owner.batch = Some((batch, self.now + Duration::from_millis(1500)));
            return false;
        }
        if fate < unanswered {
            // Not answered, and applied some time later; asked again as it was.
            let due = self.now + self.delay() * 3;
            self.messages.push((due, Message::Txn { conditions, changes }));
            owner.batch = Some((batch, self.now + Duration::from_millis(1500)));
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
            owner.batch = Some((batch, self.now + Duration::from_millis(1500)));
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
            Err(keys) => {
                for id in batch.jobs() {
                    if let Some(end) = end_among(&keys, id) {
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
        false
    }
}
