//! Machines: what is known of each, what is left of it, and what time alone brings about.

use std::collections::{BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

use tracing::info;

use super::{Binding, ClusterState, JobState, MachineId};
use crate::cloud_orders::{CloudAction, CloudOrder};
use crate::jobs::JobSpec;
use crate::machine_kinds::MachineKind;
use crate::process_pause::{PROOF_PART, ProcessPause};
use crate::protocol::workers::{AttemptReport, AttemptStatus, TaskKey};
use crate::scheduling::one_way_partition::PartitionDetector;
use crate::sla::{self, Load};

/// Names of returned machines kept, so that their late heartbeats are not taken for news.
const GONE_KEPT: usize = 20_000;
/// How far into the time allowed for a cancellation a machine that proves nothing is returned.
const CANCEL_PATIENCE: f64 = 0.45;
/// One in so many machines silent at once is no chance of single machines.
pub(super) const TOGETHER: usize = 12;
/// One in so many lost is most of them, as far as handing over is concerned.
pub(super) const MOST: usize = 3;
/// How many leases many machines that are silent together get.
const SILENT_LEASES: u32 = 2;
/// Past the end of these; covers a machine's clock's drift and the way of a heartbeat.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Many that were silent together are all back within so many reports' time.
const BACK_REPORTS: u32 = 3;
/// Images a machine is thought to hold where the cloud does not say how much it keeps.
const IMAGES_KEPT: usize = 6;
/// Images remembered of a machine, whatever it keeps.
const MOST_IMAGES: usize = 64;
/// Shares and returns move with time; counted again after this long (the design's retest).
const LOAD_KEPT: Duration = Duration::from_secs(5);

/// What an image is compared by: a digest, since names are compared at every placement. Two
/// names alike would only mislead a preference.
pub fn image_id(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// What tasks take of their machine.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Amounts {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

impl Amounts {
    fn add(&mut self, spec: &JobSpec, sign: f64) {
        self.cpus += sign * spec.cpus;
        self.gpus += sign * spec.gpus;
        self.memory_gb += sign * spec.memory_gb;
    }
}

/// Where a machine is between its rental and its return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Rented, not heard of yet.
    Booting,
    /// Its worker has reported, and it takes work.
    Up,
    /// No new work; returned when empty.
    Draining,
    /// To be returned now, with whatever is on it.
    Terminating,
}

/// One machine: what it is, what it was heard to run, and what has been told to it.
#[derive(Debug)]
pub struct Machine {
    /// The cloud's name of it.
    pub id: MachineId,
    /// Its worker's address, once known.
    pub addr: Option<String>,
    /// Its machine type; empty while only its name is known.
    pub type_name: String,
    /// Its zone; empty while only its name is known.
    pub zone: String,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// Where it is between its rental and its return.
    pub state: MachineState,
    pub(super) agent_epoch: u64,
    /// (agent epoch, seq) of the newest message of any kind, and of the newest true heartbeat.
    pub(super) newest: (u64, u64),
    pub(super) newest_heartbeat: (u64, u64),
    /// The highest fencing token that its worker has reported.
    pub fencing_token: u64,
    /// When anything was last heard of it, by heartbeat or by reply.
    pub heard: Instant,
    /// Its last true heartbeat, or when it was first heard of: replies to commands renew no lease.
    pub last_heartbeat: Instant,
    /// When it was rented, as far as is known.
    pub since: Instant,
    /// When the cloud takes it back, if it has given notice.
    pub recall: Option<Instant>,
    /// The tasks that are bound to it.
    pub bound: BTreeSet<TaskKey>,
    pub(super) attempts: Vec<AttemptReport>,
    pub(super) command_under_way: bool,
    /// The command under way carries a launch.
    pub(super) launch_under_way: bool,
    /// A command given under this fencing token may still arrive.
    pub(super) unsettled: Option<u64>,
    /// The heartbeat whose answer carried a launch.
    pub(super) launched_in: Option<(u64, u64)>,
    pub(super) next_command: Instant,
    /// Something new is to be told without waiting for a heartbeat.
    pub(super) tell: bool,
    /// Since when nothing has been bound to it.
    pub idle_since: Option<Instant>,
    /// Something has failed on it since anything was done there.
    pub failed: bool,
    /// Drained because it can be spared: what is over of it is idle work's until the rest has run out.
    pub scale_in_candidate: bool,
    /// Quarantined: no new work until it is decided whose fault its failures are.
    pub quarantined: bool,
    /// Its heartbeats arrive and nothing reaches it: no new work until it hears again.
    pub inbound_lost: bool,
    pub(super) partition: PartitionDetector,
    /// This leader has rented it, was told of it by the cloud or the store, or was heard by it. Otherwise all
    /// that is known of it may be copies of heartbeats of a machine that is gone: no work for it yet.
    pub known: bool,
    /// Images it is thought to hold, the most recently used last, with their sizes.
    pub(super) images: VecDeque<(u64, f64)>,
    /// What it keeps of them, if the cloud says.
    pub(super) cache_gb: Option<f64>,
    /// Type, zone and kind, by their place in the cluster state's list.
    pub kind: Option<usize>,
    /// What the bound tasks take together, kept with every binding.
    taken: Amounts,
    /// What of it idle work takes: others may have it.
    idle: Amounts,
    /// Their shares and returns, and when these were counted; none once a task has left.
    load: Load,
    load_at: Option<Instant>,
    /// Live tasks were reported that are not bound here.
    strays: bool,
    /// The cloud says that it is up, whether or not it was heard of here.
    listed_up: bool,
}

impl Machine {
    pub(super) fn new(id: MachineId, now: Instant) -> Self {
        Self {
            id,
            addr: None,
            type_name: String::new(),
            zone: String::new(),
            spot: false,
            state: MachineState::Booting,
            agent_epoch: 0,
            newest: (0, 0),
            newest_heartbeat: (0, 0),
            fencing_token: 0,
            heard: now,
            last_heartbeat: now,
            since: now,
            recall: None,
            bound: BTreeSet::new(),
            attempts: Vec::new(),
            command_under_way: false,
            launch_under_way: false,
            unsettled: None,
            launched_in: None,
            next_command: now,
            tell: false,
            idle_since: None,
            failed: false,
            scale_in_candidate: false,
            quarantined: false,
            inbound_lost: false,
            partition: PartitionDetector::new(now),
            known: false,
            images: VecDeque::new(),
            cache_gb: None,
            kind: None,
            taken: Amounts::default(),
            idle: Amounts::default(),
            load: Load::default(),
            load_at: Some(now),
            strays: false,
            listed_up: false,
        }
    }

    /// No launch is under way towards it, so that what it does not report is not there and a
    /// reaped task cannot be started again.
    pub(super) fn settled(&self) -> bool {
        !self.command_under_way
            && self.unsettled.is_none()
            && self.launched_in.is_none_or(|l| self.newest_heartbeat > l)
    }

    /// Live tasks that are not bound here: their room is not free, whoever they belong to.
    pub fn has_strays(&self) -> bool {
        self.strays
    }

    /// To be called when what was reported or what is bound has changed.
    pub(super) fn look_for_strays(&mut self) {
        self.strays = self.attempts.iter().any(|l| l.status != AttemptStatus::Exited && !self.bound.contains(&l.task));
    }

    /// What its bound tasks take of it.
    pub fn taken(&self) -> Amounts {
        self.taken
    }

    /// What idle work takes of it.
    pub fn idle(&self) -> Amounts {
        self.idle
    }

    /// Nothing but idle work is on it, if anything.
    pub fn only_idle(&self) -> bool {
        self.taken.cpus <= self.idle.cpus + 1e-6 && self.taken.memory_gb <= self.idle.memory_gb + 1e-6
    }

    /// The summed shares and returns of its tasks.
    pub fn load(&self) -> Load {
        self.load
    }

    /// A task comes onto this machine.
    pub(super) fn bind(&mut self, key: TaskKey, job: &JobState, now: Instant) {
        self.known = true;
        if self.bound.insert(key) {
            self.taken.add(job.spec(), 1.0);
            if job.spec().is_idle() {
                self.idle.add(job.spec(), 1.0);
            }
            let (share, task_return) = weigh(job, None, now);
            self.load.share += share;
            self.load.total_return += task_return;
            self.idle_since = None;
        }
    }

    /// A task leaves it. What is left of an empty machine is exact, whatever was summed before.
    pub(super) fn unbind(&mut self, key: &TaskKey, spec: &JobSpec, now: Instant) {
        if self.bound.remove(key) {
            self.taken.add(spec, -1.0);
            if spec.is_idle() {
                self.idle.add(spec, -1.0);
            }
            self.load_at = None;
            if self.bound.is_empty() {
                (self.taken, self.idle) = (Amounts::default(), Amounts::default());
                self.idle_since = Some(now);
            }
            if !self.strays {
                self.look_for_strays();
            }
        }
    }

    /// What it holds is about to be read again.
    pub(super) fn hold_nothing(&mut self) {
        self.bound.clear();
        (self.taken, self.idle) = (Amounts::default(), Amounts::default());
        self.load_at = None;
    }

    /// Whether the image is expected to be in its cache or on its way there.
    pub fn holds_image(&self, image: u64) -> bool {
        self.images.iter().any(|(i, _)| *i == image)
    }

    /// Whether its worker has ever been heard of.
    pub fn reported(&self) -> bool {
        self.newest.0 > 0
    }

    /// Its worker should be heard of: it was, or an earlier leader has given it tasks, or the cloud
    /// says that it is up.
    pub fn awaited(&self) -> bool {
        (self.reported() && self.known) || !self.bound.is_empty() || self.listed_up
    }

    /// A task with this image comes: the least recently used make room for it, as the worker
    /// does. What is on its way counts, so that tasks wait for one fetch together.
    pub(super) fn remember_image(&mut self, image: u64, gb: f64) {
        let cache_gb = self.cache_gb;
        self.images.retain(|(i, _)| *i != image);
        self.images.push_back((image, gb));
        let mut held: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        let too_much = |held: f64, n: usize| cache_gb.map_or(n > IMAGES_KEPT, |most| held > most) || n > MOST_IMAGES;
        while self.images.len() > 1 && too_much(held, self.images.len()) {
            held -= self.images.pop_front().map_or(0.0, |(_, gb)| gb);
        }
    }
}

/// Share and return of one task, in the paper's terms.
fn weigh(job: &JobState, binding: Option<&Binding>, now: Instant) -> (f64, f64) {
    let ran = binding.map_or(Duration::ZERO, |b| b.ran(now));
    let rest = sla::remaining(job.agreement.run, ran);
    let age = now.saturating_duration_since(job.since);
    let share = sla::share(rest, job.agreement.deadline.saturating_sub(age), job.agreement.cores);
    (share, job.agreement.task_return(age + rest))
}

impl ClusterState {
    /// Counts shares and returns again where a task has left or where they have grown old.
    pub fn refresh_loads(&mut self, now: Instant) {
        for machine in self.machines.values_mut() {
            if machine.load_at.is_some_and(|at| now.saturating_duration_since(at) < LOAD_KEPT) {
                continue;
            }
            let mut load = Load::default();
            for key in &machine.bound {
                let Some(job) = self.jobs.get(&key.job) else { continue };
                let (share, task_return) = weigh(job, job.binding(key.index), now);
                load.share += share;
                load.total_return += task_return;
            }
            (machine.load, machine.load_at) = (load, Some(now));
        }
    }

    /// What the tasks bound to a machine take, counted afresh.
    #[cfg(test)]
    pub fn taken_afresh(&self, machine: &Machine) -> Amounts {
        let mut taken = Amounts::default();
        for key in &machine.bound {
            if let Some(job) = self.jobs.get(&key.job) {
                taken.add(job.spec(), 1.0);
            }
        }
        taken
    }

    /// A machine that was rented or listed, before it reports.
    pub fn expect(&mut self, id: &str, kind: &MachineKind, addr: Option<&str>, held: Duration, now: Instant) {
        let id: MachineId = id.into();
        if self.gone_set.contains(&id) {
            return;
        }
        let at = self.kind(&kind.type_name, &kind.zone, kind.spot);
        let machine = self.machines.entry(id.clone()).or_insert_with(|| Machine::new(id, now));
        self.stirred |= !std::mem::replace(&mut machine.known, true) && machine.reported();
        // A new leader hears of machines before it is told how long they have been held.
        machine.since = machine.since.min(now.checked_sub(held).unwrap_or(now));
        if !machine.reported() {
            machine.type_name = kind.type_name.clone();
            machine.zone = kind.zone.clone();
            machine.spot = kind.spot;
            machine.kind = at;
            if let Some(addr) = addr.filter(|a| a.parse::<std::net::SocketAddr>().is_ok()) {
                machine.addr = Some(addr.to_owned());
            }
        }
    }

    /// The cloud says that a machine is up.
    pub fn listed_up(&mut self, id: &str, now: Instant) {
        // From now on it should be heard of: until now it was booting, for all that is known here.
        if let Some(machine) = self.machines.get_mut(id).filter(|m| !m.reported() && !m.listed_up) {
            (machine.listed_up, machine.heard) = (true, now);
        }
    }

    /// Marks a machine to be returned with whatever is on it; `why` goes to the log.
    pub fn terminate(&mut self, id: &str, why: &str) {
        if let Some(machine) = self.machines.get_mut(id)
            && machine.state != MachineState::Terminating
        {
            info!(machine = id, why, bound = machine.bound.len(), "to be returned");
            machine.state = MachineState::Terminating;
        }
    }

    /// Orders that an earlier leader has stored and may yet carry out. What is to be returned takes no
    /// work from here on, whether or not it was heard of before.
    pub fn inherit_orders(&mut self, orders: Vec<CloudOrder>, now: Instant) {
        for order in &orders {
            let CloudAction::Terminate(names) = &order.action else { continue };
            for name in names {
                let id: MachineId = name.as_str().into();
                if !self.gone_set.contains(&id) {
                    self.machines.entry(id.clone()).or_insert_with(|| Machine::new(id, now));
                    self.terminate(name, "an earlier leader has ordered its return");
                }
            }
        }
        self.inherited = orders;
    }

    /// Work that would otherwise go on waiting goes to this machine: one that was to be spared stays.
    pub fn take_back(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        if machine.state == MachineState::Draining && machine.scale_in_candidate {
            (machine.state, machine.scale_in_candidate) = (MachineState::Up, false);
            info!(machine = %id, "not drained any more: work waits that fits there alone");
        }
    }

    /// No new work for a machine that can be spared; these tasks of it save and move.
    pub fn drain(&mut self, id: &MachineId, moves: &[(TaskKey, u64)], now: Instant) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        (machine.state, machine.scale_in_candidate) = (MachineState::Draining, true);
        info!(machine = %id, bound = machine.bound.len(), moved = moves.len(), "drained: it can be spared");
        for (key, grace_s) in moves {
            self.halt(key, *grace_s, now);
        }
    }

    /// The cloud has confirmed the return: everything on it is gone.
    pub fn machine_gone(&mut self, id: &MachineId, now: Instant) {
        let Some(machine) = self.machines.get(id) else { return };
        let keys: Vec<TaskKey> = machine.bound.iter().cloned().collect();
        for key in keys {
            self.note_loss(&key, now);
            self.unbind(&key, now);
        }
        self.machines.remove(id);
        self.attribution.machine_gone(id);
        if self.gone_set.insert(id.clone()) {
            self.gone.push_back(id.clone());
        }
        if self.gone.len() > GONE_KEPT
            && let Some(oldest) = self.gone.pop_front()
        {
            self.gone_set.remove(&oldest);
        }
    }

    /// This controller was paused and has not listened: machines were not silent or idle for that long,
    /// and what it missed may still be on its way.
    pub fn after_pause(&mut self, pause: ProcessPause) {
        for machine in self.machines.values_mut() {
            machine.heard = pause.forgive(machine.heard);
            machine.last_heartbeat = pause.forgive(machine.last_heartbeat);
            machine.idle_since = machine.idle_since.map(|at| pause.forgive(at));
            machine.partition.after_pause(pause);
        }
        self.last_pause = Some(pause);
    }

    /// At least three machines, and one in `part` of those that should be heard of, have been
    /// silent for about as long as the silence that is still tolerated. Those that a new leader
    /// inherits count: it may be the one that cannot hear them.
    fn many_silent(&self, silence: Duration, part: usize, now: Instant) -> bool {
        let (mut all, mut silent) = (0, 0);
        for machine in self.machines.values().filter(|m| m.awaited()) {
            all += 1;
            silent += usize::from(now.saturating_duration_since(machine.heard) > silence.mul_f64(0.8));
        }
        silent >= 3 && silent * part >= all
    }

    /// Most machines have missed two heartbeats, or hear nothing: whoever they talk to, it is not this controller.
    pub fn lost_most(&self, now: Instant) -> bool {
        let missed = self.settings.params.workers.heartbeat_interval().mul_f64(2.0);
        self.many_silent(missed, MOST, now) || self.many_inbound_lost(MOST, None)
    }

    /// Machines that hold a task of a job that was cancelled, and have not proven it gone for too
    /// long. What is left of a job that is done has exited.
    pub fn overdue(&self, now: Instant) -> BTreeSet<MachineId> {
        let allowed = self.settings.params.workers.cancellation_deadline();
        let patience = allowed.mul_f64(CANCEL_PATIENCE);
        // A leader that has come since begins no new patience, or several would add up; but machines get two
        // reports to prove to it what they have proven to the one before.
        let told_within = self.settings.params.workers.heartbeat_interval() * 2;
        let new_here = now.saturating_duration_since(self.loaded_at) < told_within;
        let due = |at: Instant| {
            let age = now.saturating_duration_since(at);
            age > patience
                && self.last_pause.is_none_or(|pause| pause.proof_due(at, allowed, now))
                && (at >= self.loaded_at || !new_here || age >= allowed.mul_f64(PROOF_PART))
        };
        let late = self.ending.iter().filter_map(|id| self.jobs.get(id));
        let late = late.filter(|job| !job.finished && job.ended.is_some_and(due));
        late.flat_map(|job| job.bound.iter().filter_map(|i| job.binding(*i))).map(|b| b.machine.clone()).collect()
    }

    /// What time alone brings about: silence, overdue proofs, empty machines that drain.
    pub fn tick(&mut self, now: Instant) {
        if !self.loaded {
            return;
        }
        // Many machines that fall silent together point at the network or at this controller:
        // returning them all would lose what they run, and past their leases still the machines, for
        // which others would have to boot. Those that have died the cloud's list tells of.
        let long = (self.settings.params.workers.lease() * SILENT_LEASES + LEASE_MARGIN).max(self.properties.silence);
        if self.many_silent(self.properties.silence, TOGETHER, now) {
            self.many_silent_at = Some(now);
        }
        // Those that are back do not report at the same moment: the last of them are not alone at once.
        let back_within = self.settings.params.workers.heartbeat_interval() * BACK_REPORTS;
        let many = self.many_silent_at.is_some_and(|at| now.saturating_duration_since(at) < back_within);
        let silence = if many { long } else { self.properties.silence };
        let mut terminate: Vec<(MachineId, &str)> =
            self.overdue(now).into_iter().map(|id| (id, "a withdrawn task is not proven gone")).collect();
        for machine in self.machines.values() {
            let quiet = now.saturating_duration_since(machine.heard);
            if (machine.awaited() || machine.reported()) && quiet > silence {
                let why = if machine.reported() { "silent" } else { "should be up and was never heard of" };
                terminate.push((machine.id.clone(), why));
            } else if machine.reported() && now.saturating_duration_since(machine.last_heartbeat) > long {
                terminate.push((machine.id.clone(), "commands reach it, and it reports nothing"));
            } else if machine.state == MachineState::Draining && machine.bound.is_empty() {
                terminate.push((machine.id.clone(), "drained"));
            }
        }
        terminate.extend(self.given_up(now).into_iter().map(|id| (id, "hears nothing")));
        for (id, why) in terminate {
            self.terminate(&id, why);
        }
        self.stop_idle_on_scale_in_candidates(now);
        self.decide_quarantines(now);
        self.release_resting(now);
    }

    /// Where the last of other work has left a machine that can be spared, idle work that can save goes as
    /// well; the rest of it runs out.
    fn stop_idle_on_scale_in_candidates(&mut self, now: Instant) {
        let left = |m: &&Machine| {
            m.state == MachineState::Draining && m.scale_in_candidate && m.idle().cpus > 0.0 && m.only_idle()
        };
        let keys: Vec<TaskKey> = self.machines.values().filter(left).flat_map(|m| m.bound.iter().cloned()).collect();
        for key in keys {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let grace_s = job.spec().save_s.ceil() as u64 + 1;
            if job.spec().checkpoint_s > 0.0 && job.binding(key.index).is_some_and(|b| b.halting.is_none()) {
                self.halt(&key, grace_s, now);
            }
        }
    }
}
