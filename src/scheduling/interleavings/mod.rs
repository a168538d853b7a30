//! Seeded interleavings: the real cluster state, placement and transactions in a small model of store,
//! workers and cloud where messages and transactions come late, twice or are lost, owners go on after
//! being deposed, lose the store alone or are back at once, machines hang or hear nothing, and jobs are withdrawn. The
//! model checks the rules itself.

mod meetings;
mod troubles;
mod users;
mod workers;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hollylanding_emulator::world::store::Store;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use users::{Seat, Users};
use workers::Worker;

use super::cluster::{ClusterState, MachineId, MachineState, Via};
use super::plan;
use crate::history::moves::{self, Move, Place, end_among, place_of};
use crate::jobs::record::{
    ASSIGNMENT, CHUNK, JobRecord, TASKS, WATERMARK, chunk_key, decode_chunk, ended_key, ended_keys, open_key,
    parse_chunk_key,
};
use crate::jobs::tests::spec;
use crate::jobs::{End, JobId, Shape};
use crate::kinds::tests::machine_type;
use crate::kinds::{Catalog, MachineType};
use crate::membership::records::Watermark;
use crate::process_pause::ProcessPause;
use crate::settings::Properties;
use crate::settings::tests::example;
use crate::store::commit::Batch;
use crate::store::{Change, Condition};
use crate::wire::workers::{LegStatus, Order, Report, TaskKey};

const STEP: Duration = Duration::from_millis(100);
const LEASE: Duration = Duration::from_secs(24);
const CANCEL: Duration = Duration::from_secs(49);
const ANSWER_TAKEN: Duration = Duration::from_secs(4);
/// After this long without a sign of life another owns.
const LEADER_LEASE: Duration = Duration::from_secs(3);
const COMMAND_WAITED: Duration = Duration::from_millis(2500);

fn ended(store: &Store, id: &str) -> bool {
    ended_keys(id).iter().any(|key| store.has(key))
}

/// Submitted with a mistake: fails wherever it runs, until its user withdraws it.
fn bad(id: &str) -> bool {
    id.ends_with(['3', '8'])
}

struct Owner {
    cluster: ClusterState,
    batch: Option<(Batch, Instant)>,
    /// What its watch will tell, and when: jobs opened and ended, with the revision.
    news: Vec<(Instant, JobId, bool, u64)>,
    returning: HashSet<MachineId>,
    /// Is paused from and until then, while its clock runs on: what reaches it lies in its sockets.
    frozen: Option<(Instant, Instant)>,
    /// Without the store and the other controllers from and until then, while workers and cloud reach it.
    cut: Option<(Instant, Instant)>,
    since: Instant,
    /// Machines that the store named at its takeover.
    inherited: HashSet<MachineId>,
    seat: Seat,
}

enum Message {
    /// A copy is one that was held back until nobody waits for its answer.
    Report {
        to: usize,
        report: Report,
        sent: Instant,
        copy: bool,
    },
    Answer {
        worker: usize,
        from: usize,
        session: u64,
        sent: Instant,
        token: u64,
        orders: Vec<Order>,
        /// All orders, not stops alone.
        whole: bool,
    },
    Command {
        id: u64,
        worker: usize,
        from: usize,
        token: u64,
        session: u64,
        orders: Vec<Order>,
    },
    Reply {
        id: u64,
        to: usize,
        machine: MachineId,
        token: u64,
        report: Report,
    },
    GivenUp {
        id: u64,
        to: usize,
        machine: MachineId,
        token: u64,
    },
    Txn {
        conditions: Vec<Condition>,
        changes: Vec<Change>,
    },
    Return {
        from: usize,
        machine: MachineId,
    },
    Returned {
        to: usize,
        machine: MachineId,
    },
    /// A line of an owner to another controller.
    Line {
        from: usize,
        to: usize,
        watermark: Watermark,
    },
    /// The store's answer to the owner's own user.
    Withdrawn {
        to: usize,
        id: JobId,
        token: u64,
    },
}

struct World {
    rng: StdRng,
    start: Instant,
    now: Instant,
    store: Store,
    workers: Vec<Worker>,
    owners: Vec<Option<Owner>>,
    owner: usize,
    /// Who came back at the address of a process that was ended.
    reborn: HashMap<usize, usize>,
    /// The lease of an ended leader runs until then.
    owns_from: Instant,
    messages: Vec<(Instant, Message)>,
    /// Direct commands that were answered or given up, whichever came first.
    over: HashSet<u64>,
    commands: u64,
    records: BTreeMap<JobId, Arc<JobRecord>>,
    withdrawn: HashMap<JobId, Instant>,
    /// When each end was stored.
    ended_since: HashMap<JobId, Instant>,
    completed: HashSet<TaskKey>,
    catalog: Catalog,
    starts: usize,
    process_pauses: usize,
    copies: usize,
    inbound_lost: usize,
    cuts: usize,
    restarts: usize,
    failures: usize,
    machines: usize,
    jobs: usize,
    quiet: bool,
    users: Users,
}

impl World {
    fn new(seed: u64, machines: usize) -> Self {
        let start = Instant::now() + Duration::from_secs(3600);
        let of = MachineType { boot_s: 10.0, ..machine_type("t", 4.0, 0.0, 1.0) };
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            start,
            now: start,
            store: Store::default(),
            workers: (0..machines).map(|n| Worker::new(n, start)).collect(),
            owners: Vec::new(),
            owner: 0,
            reborn: HashMap::new(),
            owns_from: start,
            messages: Vec::new(),
            over: HashSet::new(),
            commands: 0,
            records: BTreeMap::new(),
            withdrawn: HashMap::new(),
            ended_since: HashMap::new(),
            completed: HashSet::new(),
            catalog: Catalog { types: vec![of] },
            starts: 0,
            process_pauses: 0,
            copies: 0,
            inbound_lost: 0,
            cuts: 0,
            restarts: 0,
            failures: 0,
            machines,
            jobs: machines * 2 + 2,
            quiet: false,
            users: Users::new(false, start),
        };
        world.take_over();
        world
    }

    /// Mostly prompt; now and then held back for up to a minute.
    fn delay(&mut self) -> Duration {
        let held = !self.quiet && self.rng.random_bool(0.12);
        Duration::from_millis(if held { self.rng.random_range(500..60_000) } else { self.rng.random_range(1..150) })
    }

    fn send(&mut self, message: Message) {
        let mut due = self.now + self.delay();
        // Direct commands are what may come late and still be carried out: more of them do.
        if !self.quiet && matches!(message, Message::Command { .. }) && self.rng.random_bool(0.3) {
            due += Duration::from_millis(self.rng.random_range(1000..15_000));
        }
        self.messages.push((due, message));
    }

    fn take_over(&mut self) {
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
    fn load(&self, cluster: &mut ClusterState) {
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

    fn submit(&mut self) {
        let n = self.records.len() as u64;
        let mut job = spec();
        job.id = format!("run-{n:06}").into();
        job.team = "blue".into();
        job.shape = if n.is_multiple_of(3) { Shape::Gang } else { Shape::Array };
        job.tasks = if job.is_gang() { 2 } else { [1, 3, CHUNK + 2][n as usize % 3] };
        job.estimate_s = 5.0;
        // Never any age by the time of day: a run takes as long as it takes, and runs the same again.
        let record = Arc::new(JobRecord { spec: job, at_ms: u64::MAX });
        self.records.insert(record.spec.id.clone(), record.clone());
        self.send_move(moves::accept(&record, false));
    }

    /// A user's transaction: applied, and at times again much later, as a copy that was held back.
    fn send_move(&mut self, sent: Move) {
        let copies = if !self.quiet && self.rng.random_bool(0.2) { 2 } else { 1 };
        for _ in 0..copies {
            let due = self.now + self.delay();
            let (conditions, changes) = (sent.conditions.clone(), sent.changes.clone());
            self.messages.push((due, Message::Txn { conditions, changes }));
        }
    }

    /// Every watch tells in the order of the changes, sooner or later.
    fn tell(&mut self, id: &JobId, opened: bool, stamp: u64) {
        for i in 0..self.owners.len() {
            let mut due = self.now + self.delay();
            if self.users.on {
                // A watch that is held up for long proves nothing to its owner meanwhile.
                due = due.min(self.now + Duration::from_secs(5));
            }
            if let Some(owner) = self.owners[i].as_mut() {
                let after = owner.news.last().map_or(due, |(at, ..)| due.max(*at));
                owner.news.push((after, id.clone(), opened, stamp));
            }
        }
    }

    fn withdraw(&mut self) {
        if self.users.on {
            return self.withdraw_somewhere();
        }
        let open: Vec<JobId> = self.records.keys().filter(|id| self.store.has(&open_key(id))).cloned().collect();
        if open.is_empty() {
            return;
        }
        let id = open[self.rng.random_range(0..open.len())].clone();
        let withdrawal = moves::withdraw(&self.records[&id], None, 0);
        self.send_move(withdrawal);
    }

    fn run_owner(&mut self, i: usize) {
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
            self.messages.push((now + COMMAND_WAITED, Message::GivenUp { id, to: i, machine, token }));
            self.send(Message::Command { id, worker: w, from: i, token, session, orders: direct.orders });
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
    fn store_batch(&mut self, owner: &mut Owner, batch: Batch) -> bool {
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

    /// Applies a transaction. A job has one key at any time, and leaves none that it had once; it
    /// must not be stored as done before all its tasks are.
    fn apply(&mut self, conditions: &[Condition], changes: &[Change]) -> Result<u64, Vec<String>> {
        let stamp = self.store.apply_if(conditions, changes).map_err(|refused| refused.failed)?;
        for change in changes {
            let Change::Write { write, value, .. } = change else { continue };
            if write == WATERMARK {
                let stored: Watermark = serde_json::from_value(value.clone()).expect("own values");
                self.note_mark(stamp, stored.revision);
            }
            let Some((id, place)) = place_of(write) else { continue };
            let (id, record) = self.records.get_key_value(id).expect("a job that was submitted");
            let (id, record) = (id.clone(), record.clone());
            let [done, withdrawn] = ended_keys(&id).map(|key| self.store.has(&key));
            let keys = usize::from(self.store.has(&open_key(&id))) + usize::from(done) + usize::from(withdrawn);
            assert_eq!(keys, 1, "{id} has {keys} keys: came back, or ended twice");
            match place {
                Place::Open => self.tell(&id, true, stamp),
                Place::Ended(End::Done) => {
                    let done = |index: u64| self.completed.contains(&TaskKey { job: id.clone(), index: index as u32 });
                    let gang = record.spec.is_gang();
                    let enough = if gang { (0..record.spec.tasks).any(done) } else { (0..record.spec.tasks).all(done) };
                    assert!(enough, "{id} is stored as done before its tasks are");
                    self.note_ended(&id, End::Done, stamp);
                    self.tell(&id, false, stamp);
                }
                Place::Ended(End::Withdrawn) => {
                    self.note_ended(&id, End::Withdrawn, stamp);
                    self.tell(&id, false, stamp);
                }
                Place::Old => unreachable!("nothing writes earlier builds' keys"),
            }
        }
        Ok(stamp)
    }

    /// When an owner that is paused reads what was sent to it.
    fn read_at(&self, message: &Message) -> Option<Instant> {
        let to = match message {
            Message::Report { to, .. }
            | Message::Reply { to, .. }
            | Message::GivenUp { to, .. }
            | Message::Returned { to, .. }
            | Message::Withdrawn { to, .. } => *to,
            _ => return None,
        };
        let frozen = self.owners.get(to)?.as_ref()?.frozen?;
        Some(frozen.1).filter(|until| *until > self.now)
    }

    fn deliver(&mut self, message: Message) {
        if let Some(at) = self.read_at(&message) {
            self.messages.push((at, message));
            return;
        }
        let now = self.now;
        match message {
            Message::Report { to, report, sent, copy } => {
                let to = if copy { self.reader() } else { self.reborn.get(&to).copied().unwrap_or(to) };
                let Some(w) = self.workers.iter().position(|w| w.id == report.machine) else { return };
                let Some(mut owner) = self.owners.get_mut(to).and_then(Option::take) else { return };
                if report.token > owner.cluster.token {
                    return;
                }
                let session = report.session;
                let rights = self.rights(&owner);
                self.users.tally.unloaded += usize::from(!rights.loaded);
                let id = self.workers[w].id.clone();
                let mut orders = Vec::new();
                let mut held = false;
                if !rights.silent() {
                    let over = self.over_among(&owner, &report);
                    owner.cluster.take_report(report, Via::Report, Some(&self.catalog), now);
                    orders = if rights.whole() {
                        owner.cluster.orders_in_answer(&id, now)
                    } else {
                        owner.cluster.stops_only(&id, &over)
                    };
                    held = self.holds(&mut owner, rights, &id);
                    self.users.tally.stops += usize::from(!rights.whole() && !orders.is_empty());
                }
                let (token, whole) = (owner.cluster.token, rights.whole());
                self.owners[to] = Some(owner);
                self.trace(&format!("{id} s{session} to {to}: {rights:?} held {held} {orders:?}"));
                if !held {
                    // Asks elsewhere.
                    self.users.tally.nobody += 1;
                    let worker = &mut self.workers[w];
                    worker.home = worker.home.filter(|home| *home != to || worker.apart_until > now);
                    return;
                }
                if !copy {
                    self.send(Message::Answer { worker: w, from: to, session, sent, token, orders, whole });
                }
            }
            Message::Answer { worker, from, session, sent, token, orders, whole } => {
                let w = &mut self.workers[worker];
                let late = now - sent > ANSWER_TAKEN || w.waits_until.is_none();
                if w.inbound_lost_until > now {
                    let tells = token > w.token || orders.iter().any(|o| matches!(o, Order::Launch { .. }));
                    let row = if w.unheard.0 == from { w.unheard.1 } else { 0 };
                    w.unheard = (from, row + u32::from(tells && !late && whole));
                    return;
                }
                w.unheard = (from, 0);
                if w.gone || w.hangs_until > now || late || w.session != session || token < w.token {
                    return;
                }
                (w.token, w.renewed, w.waits_until) = (token, sent, None);
                self.execute(worker, orders);
            }
            Message::Command { id, worker, from, token, session, orders } => {
                let w = &mut self.workers[worker];
                if w.gone {
                    return;
                }
                let inbound_lost = w.inbound_lost_until > now;
                if inbound_lost && id.is_multiple_of(2) {
                    return;
                }
                let apart = w.apart_until > now && w.home != Some(from);
                if inbound_lost || apart || w.hangs_until > now {
                    // Executed once the machine goes on, or once what was held back comes through.
                    let due = w.hangs_until.max(w.inbound_lost_until).max(if apart { w.apart_until } else { now });
                    self.messages.push((due, Message::Command { id, worker, from, token, session, orders }));
                    return;
                }
                // A machine goes on within its lease, or without what it had: its lease ends first.
                if self.users.on {
                    w.end_lease(now);
                }
                if token >= w.token && session == w.session {
                    w.token = token;
                    self.execute(worker, orders);
                }
                let report = self.workers[worker].report();
                let machine: MachineId = report.machine.as_str().into();
                self.send(Message::Reply { id, to: from, machine, token, report });
            }
            Message::Reply { id, to, machine, token, report } => {
                let first = self.over.insert(id);
                if let Some(owner) = self.owners.get_mut(to).and_then(Option::as_mut).filter(|_| first) {
                    owner.cluster.command_over(&machine, token, true, now);
                    owner.cluster.take_report(report, Via::Command, Some(&self.catalog), now);
                }
            }
            Message::GivenUp { id, to, machine, token } => {
                let first = self.over.insert(id);
                if let Some(owner) = self.owners.get_mut(to).and_then(Option::as_mut).filter(|_| first) {
                    owner.cluster.command_over(&machine, token, false, now);
                }
            }
            Message::Txn { conditions, changes } => {
                if let Some((_, until)) = self.users.out {
                    let due = until + Duration::from_millis(self.rng.random_range(100..12_000));
                    self.messages.push((due, Message::Txn { conditions, changes }));
                    return;
                }
                let _ = self.apply(&conditions, &changes);
            }
            Message::Line { from, to, watermark } => self.hear_line(from, to, watermark),
            Message::Withdrawn { to, id, token } => self.withdrew(to, &id, token),
            Message::Return { from, machine } => {
                if let Some(w) = self.workers.iter_mut().find(|w| *w.id == *machine) {
                    (w.gone, w.gone_at) = (true, w.gone_at.or(Some(now)));
                }
                self.send(Message::Returned { to: from, machine });
            }
            Message::Returned { to, machine } => {
                if let Some(owner) = self.owners.get_mut(to).and_then(Option::as_mut) {
                    owner.cluster.machine_gone(&machine, now);
                }
            }
        }
    }

    fn check_withdrawn(&self) {
        for (id, at) in &self.withdrawn {
            if self.now - *at > CANCEL {
                let live = self.workers.iter().flat_map(|w| w.legs.iter().filter(move |_| !w.gone));
                let left: Vec<_> = live.filter(|l| l.task.job == *id && l.status != LegStatus::Exited).collect();
                assert!(left.is_empty(), "withdrawn and still there: {left:?}");
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let (due, later) = std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= self.now);
        self.messages = later;
        for (_, message) in due {
            self.deliver(message);
        }
        self.run_workers();
        for i in 0..self.owners.len() {
            self.run_owner(i);
        }
        // Another owns once the leader's lease has run out.
        let lost =
            |since: Option<(Instant, Instant)>| since.is_some_and(|(began, _)| self.lost_for(began) > LEADER_LEASE);
        let gone = |o: &Owner| lost(o.frozen) || lost(o.cut);
        if self.owners[self.owner].as_ref().is_some_and(gone) {
            self.take_over();
        }
        // One whose cluster state is raised writes the assignment again, as the leader would.
        let owner = self.owner;
        if self.owners[owner].is_none() {
            if self.now >= self.owns_from {
                self.take_over();
            }
        } else if self.owners[owner].as_ref().is_some_and(|o| {
            o.frozen.is_none()
                && o.cut.is_none()
                && self.users.out.is_none()
                && o.cluster.raise_wanted(self.now)
                && o.batch.is_none()
        }) {
            let stamp = self.store.stamp(ASSIGNMENT);
            let change = Change::write(ASSIGNMENT, Value::from(owner));
            if let Ok(token) = self.store.apply_if(&[Condition::at(ASSIGNMENT, stamp)], &[change])
                && let Some(o) = self.owners[owner].as_mut()
            {
                o.cluster.raise_token(token);
                self.users.assigned.push((token, owner));
            }
        }
        self.run_users();
        self.check_withdrawn();
    }

    fn trouble(&mut self, step: usize) {
        let every = 360 / self.machines.clamp(1, 360);
        if step.is_multiple_of(every) && self.records.len() < self.jobs {
            self.submit();
        }
        // Most of what meets an outage came just before it: else nothing lives through one.
        if self.store_out() && self.rng.random_bool(0.95) {
            return self.rent();
        }
        if self.rng.random_bool(0.004) {
            self.withdraw();
        }
        // Where troubles meet, hand-overs are drawn with them.
        if self.rng.random_bool(if self.users.on { 0.001 } else { 0.006 }) {
            // The deposed owner goes on until it learns of it.
            self.take_over();
        }
        if self.rng.random_bool(0.004) {
            // Under and over the lease, of an owner or of one that was replaced, at any point of its work.
            let alive: Vec<usize> = (0..self.owners.len()).filter(|i| self.owners[*i].is_some()).collect();
            let i = alive.get(self.rng.random_range(0..alive.len().max(1))).copied().unwrap_or(self.owner);
            let (ms, now) = (self.rng.random_range(500..40_000), self.now);
            if let Some(owner) = self.owners[i].as_mut().filter(|o| o.frozen.is_none()) {
                owner.frozen = Some((now, now + Duration::from_millis(ms)));
                self.process_pauses += 1;
                self.workers.iter_mut().for_each(|w| w.unheard = (i, 0));
            }
        }
        if self.rng.random_bool(0.01) {
            let w = self.rng.random_range(0..self.workers.len());
            let until = self.now + Duration::from_secs(self.rng.random_range(1..40));
            self.hang(w, until);
        }
        if self.rng.random_bool(0.05) {
            let now = self.now;
            let pick = self.rng.random_range(0..1000usize);
            if let Some(owner) = self.owners[self.owner].as_mut() {
                // As preemption and draining do.
                let bound: Vec<TaskKey> =
                    owner.cluster.machines.values().flat_map(|m| m.bound.iter().cloned()).collect();
                if !bound.is_empty() {
                    owner.cluster.halt(&bound[pick % bound.len()], 3, now);
                }
            }
        }
        self.more_trouble();
        if self.users.on {
            self.meet();
        }
        self.rent();
    }

    /// Another machine for one that is gone.
    fn rent(&mut self) {
        if self.workers.iter().filter(|w| !w.gone).count() < self.machines {
            let n = self.workers.len();
            self.workers.push(Worker::new(n, self.now));
        }
    }

    /// Two minutes of trouble, then as long as it takes without any.
    fn simulate(&mut self, steps: usize) {
        for step in 0..steps {
            self.trouble(step);
            self.step();
        }
        self.quiet = true;
        for step in 0..4000 {
            self.step();
            if step % 50 == 0 {
                let open: Vec<JobId> =
                    self.records.keys().filter(|id| bad(id) && self.store.has(&open_key(id))).cloned().collect();
                for id in open {
                    let withdrawal = moves::withdraw(&self.records[&id], None, 0);
                    self.send_move(withdrawal);
                }
            }
            self.rent();
            // A machine that never hears again has to be returned, whatever else is well.
            let inbound_lost = |w: &Worker| !w.gone && w.inbound_lost_until > self.now;
            let told = self.users.hidden.is_empty();
            if told && self.records.keys().all(|id| ended(&self.store, id)) && !self.workers.iter().any(inbound_lost) {
                return;
            }
        }
        let open: Vec<_> = self.records.keys().filter(|id| !ended(&self.store, id)).collect();
        panic!("never ended after {:?}: {open:?}", self.now - self.start);
    }
}

#[test]
fn rules_hold_whatever_the_order() {
    let (mut starts, mut process_pauses, mut failures, mut troubles) = (0, 0, 0, [0; 4]);
    for seed in 0..40 {
        let mut world = World::new(seed, 6);
        world.simulate(1200);
        starts += world.starts;
        process_pauses += world.process_pauses;
        failures += world.failures;
        let of_world = [world.copies, world.inbound_lost, world.cuts, world.restarts];
        troubles.iter_mut().zip(of_world).for_each(|(all, n)| *all += n);
    }
    assert!(starts > 5000, "the model has hardly worked: {starts} starts");
    assert!(process_pauses > 50 && failures > 100, "{process_pauses} process pauses, {failures} failures");
    assert!(troubles.iter().all(|n| *n > 20), "copies, partitioned one way, cut off, restarted: {troubles:?}");
}

/// The same at a size where plans, chunks and commands no longer fit one turn.
#[test]
fn rules_hold_with_hundreds_of_machines() {
    let mut world = World::new(7, 200);
    world.simulate(300);
    assert!(world.starts > 5000, "the model has hardly worked: {} starts", world.starts);
}
