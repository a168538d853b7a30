//! Leaders: takeover, load of the stored state, and the work of a leader in each step.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use rand::Rng;

use super::COMMAND_TIMEOUT;
use super::messages::{Command, CommandTimeout, Message};
use super::store::has_ended;
use super::users::{LeaderMembership, MembershipOutcome, leader_record};
use super::world::World;
use crate::history::job_transactions::find_end;
use crate::jobs::record::{
    LEADER_RECORD_KEY, TASK_SHARD_PREFIX, decode_shard, ended_key, open_key, parse_shard_key, shard_key,
};
use crate::jobs::{End, JobId};
use crate::process_pause::ProcessPause;
use crate::records::leadership::ConfirmationStatus;
use crate::scheduling::cluster::{ClusterState, FoundShard, MachineId, MachineState, QueuePosition};
use crate::scheduling::commit::CommitBatch;
use crate::scheduling::plan;
use crate::settings::Properties;
use crate::settings::tests::example;
use crate::store::transaction_limits::{TransactionLimits, TransactionSize};
use crate::store::{Change, Condition};

/// Most writes in a commit batch.
pub(super) const MAX_WRITES_PER_BATCH: usize = 12;
/// Time without an answer of the store after which a batch is sent again.
const BATCH_RETRY_INTERVAL: Duration = Duration::from_millis(1500);

/// An opened or ended job in a leader's watch of the store.
pub(super) struct WatchEvent {
    /// When the watch delivers the event.
    pub(super) due: Instant,
    pub(super) job: JobId,
    /// The job was opened; otherwise it ended.
    pub(super) opened: bool,
    pub(super) revision: u64,
}

/// Returns the change that writes the record of a leader.
pub(super) fn leader_record_change(leader: usize) -> Change {
    let value = serde_json::to_value(leader_record(leader)).expect("a leader record is plain");
    Change::write(LEADER_RECORD_KEY, value)
}

/// A controller that leads, or that is deposed and has not learned of it yet.
pub(super) struct Leader {
    pub(super) cluster: ClusterState,
    /// The limits on transactions, as far as this leader knows them.
    pub(super) limits: TransactionLimits,
    /// The commit batch that is to be sent, with the time of the next try.
    pub(super) batch: Option<(CommitBatch, Instant)>,
    /// Events that the watch of this leader has yet to deliver, in order.
    pub(super) watch_events: Vec<WatchEvent>,
    /// Machines whose termination this leader has requested from the cloud.
    pub(super) requested_terminations: HashSet<MachineId>,
    /// Start and end of a process pause, in which the clock runs on and messages wait in the sockets.
    pub(super) pause: Option<(Instant, Instant)>,
    /// Start and end of a partition from the store, while workers and cloud reach the leader. The other controllers are
    /// lost too, unless the membership says otherwise.
    pub(super) store_partition: Option<(Instant, Instant)>,
    /// When this leader took over.
    pub(super) leads_since: Instant,
    /// Machines that were known from the store when this leader loaded its cluster state.
    pub(super) inherited_machines: HashSet<MachineId>,
    pub(super) membership: LeaderMembership,
}

impl World {
    /// Elects a new leader, which loads the stored state at once, or later in worlds with users. Does nothing while the
    /// store is out.
    pub(super) fn take_over(&mut self) {
        if self.store_is_out() {
            return;
        }
        let version = self.store.version(LEADER_RECORD_KEY);
        let fencing_token = self
            .store
            .apply_if(&[Condition::at(LEADER_RECORD_KEY, version)], &[leader_record_change(self.leaders.len())])
            .expect("the version of the leader record was just read");
        let mut cluster = ClusterState::new(fencing_token, example(), Properties::default(), self.now);
        self.trace(&format!("leader {} under {fencing_token}", self.leaders.len()));
        self.users.leader_records.push((fencing_token, self.leaders.len()));
        let membership = if self.users.enabled {
            self.new_membership(fencing_token)
        } else {
            LeaderMembership::new(fencing_token, self.now, self.now)
        };
        if !self.users.enabled {
            self.load_stored_state(&mut cluster);
        }
        self.leader = self.leaders.len();
        let inherited_machines = cluster.machines.keys().cloned().collect();
        self.leaders.push(Some(Leader {
            cluster,
            limits: TransactionLimits::of_changes(MAX_WRITES_PER_BATCH),
            batch: None,
            watch_events: Vec::new(),
            requested_terminations: HashSet::new(),
            pause: None,
            store_partition: None,
            leads_since: self.now,
            inherited_machines,
            membership,
        }));
    }

    /// Loads the stored state into the cluster state of a successor.
    pub(super) fn load_stored_state(&self, cluster: &mut ClusterState) {
        let mut shards: HashMap<JobId, Vec<_>> = HashMap::new();
        for (key, value, version) in self.store.entries_with_prefix(TASK_SHARD_PREFIX) {
            let (id, shard) = parse_shard_key(key).expect("own keys");
            shards.entry(id.into()).or_default().push((shard, version, decode_shard(value).expect("own values")));
        }
        for (id, record) in &self.records {
            let job_ended = has_ended(&self.store, id);
            let mut stored = shards.remove(id).unwrap_or_default();
            if self.store.has(&ended_key(id, End::Done)) {
                // The tasks of a job that is done have exited, so its shards are only dropped.
                cluster.requeue_shard_drops(stored.drain(..).map(|(shard, ..)| (id.clone(), shard)).collect());
            }
            if self.store.has(&open_key(id)) || !stored.is_empty() {
                cluster.load_job(record.clone(), stored, self.now);
            }
            if job_ended {
                // The time at which the end was observed, from the successor's watch cache or the record of the end
                // (`scheduling::load`).
                let ended_at = self.ended_since.get(id).copied().unwrap_or(self.now);
                cluster.end_job(id, None, ended_at);
                let stored = self.users.end_bounds(id);
                cluster.set_ended_after(id, stored.after);
                let confirmed = self.stored_confirmations();
                let status =
                    confirmed.map_or(ConfirmationStatus::Unconfirmed, |confirmed| confirmed.status(id, stored));
                cluster.inherit_confirmation(id, status);
            }
        }
        cluster.finish_load(self.now);
    }

    /// Runs a leader's work of a step: it applies watch events, places tasks, stores changes, sends commands and
    /// requests terminations.
    pub(super) fn run_leader(&mut self, i: usize) {
        let Some(mut leader) = self.leaders[i].take() else { return };
        if !self.resume_after_pause(&mut leader) {
            self.leaders[i] = Some(leader);
            return;
        }
        let now = self.now;
        leader.store_partition = leader.store_partition.filter(|(_, until)| *until > now);
        let store_unreachable = leader.store_partition.is_some() || self.store_is_out();
        self.apply_watch_events(&mut leader, store_unreachable);
        if self.users.enabled {
            match self.run_membership(i, &mut leader, store_unreachable) {
                MembershipOutcome::StepsDown => return,
                MembershipOutcome::Acts => {}
                MembershipOutcome::Waits => {
                    self.leaders[i] = Some(leader);
                    return;
                }
            }
        }
        self.place_tasks(i, &mut leader);
        let deposed = self.store_changes(&mut leader);
        self.send_direct_commands(i, &mut leader);
        self.request_terminations(i, &mut leader, store_unreachable);
        if !deposed {
            self.leaders[i] = Some(leader);
        }
    }

    /// Ends a process pause that is over and tells the cluster state of it. Returns false while the leader is paused.
    fn resume_after_pause(&self, leader: &mut Leader) -> bool {
        let Some((began, ended)) = leader.pause else { return true };
        if self.now < ended {
            return false;
        }
        leader.pause = None;
        leader.cluster.adjust_for_pause(ProcessPause { began, ended });
        leader.membership.unproven_since_pause = self.users.enabled;
        true
    }

    /// Applies the events that the leader's watch delivers by now.
    fn apply_watch_events(&mut self, leader: &mut Leader, store_unreachable: bool) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            leader.watch_events.drain(..).partition(|event| event.due <= now && !store_unreachable);
        leader.watch_events = later;
        for WatchEvent { job, opened, revision, .. } in due {
            // Events before the load are dropped, since the load reads their result.
            if !leader.cluster.loaded {
                continue;
            }
            if opened {
                leader.cluster.add_job(self.records[&job].clone(), now);
            } else {
                leader.cluster.end_job(&job, None, now);
                self.observe_end_of(leader, &job, revision);
            }
        }
    }

    /// Places waiting tasks, and checks the placements and the allocated resources of the machines.
    fn place_tasks(&self, i: usize, leader: &mut Leader) {
        let now = self.now;
        leader.cluster.tick(now);
        let placements = plan::place(&mut leader.cluster, &self.catalog, now);
        self.check_placements(i, leader, &placements);
        leader.cluster.bind_placements(placements, now);
        // The resources that are tracked with every binding must equal a recomputation.
        for machine in leader.cluster.machines.values() {
            let (tracked, recomputed) = (machine.allocated(), leader.cluster.recomputed_allocation(machine));
            assert!(
                (tracked.cpus - recomputed.cpus).abs() < 1e-6
                    && (tracked.memory_gb - recomputed.memory_gb).abs() < 1e-6
            );
        }
    }

    /// Stores the pending batch if it is due, or else the next one. Returns whether the leader learned that it is
    /// deposed.
    fn store_changes(&mut self, leader: &mut Leader) -> bool {
        let now = self.now;
        if leader.batch.is_none() {
            let (ends, shards) = leader.cluster.next_writes(&leader.limits, now);
            let batch = CommitBatch { ends, shards, at_ms: 0, max_value_bytes: usize::MAX };
            if !batch.is_empty() {
                leader.batch = Some((batch, now));
            }
        }
        let Some((batch, due)) = leader.batch.take() else { return false };
        if due > now {
            leader.batch = Some((batch, due));
            return false;
        }
        self.store_batch(leader, batch)
    }

    /// Sends the direct commands that are due, each with a timeout.
    fn send_direct_commands(&mut self, i: usize, leader: &mut Leader) {
        for direct in leader.cluster.direct_commands(self.now) {
            let worker = self.workers.iter().position(|w| *w.id == *direct.machine).expect("known");
            let (fencing_token, agent_epoch, machine) = (direct.fencing_token, direct.agent_epoch, direct.machine);
            self.last_command_id += 1;
            let id = self.last_command_id;
            self.trace(&format!("leader {i} commands {machine} {:?}", direct.commands));
            let timeout = CommandTimeout { id, to: i, machine, fencing_token };
            self.messages.push((self.now + COMMAND_TIMEOUT, Message::CommandTimeout(timeout)));
            self.send(Message::Command(Command {
                id,
                worker,
                from: i,
                fencing_token,
                agent_epoch,
                commands: direct.commands,
                repeat: false,
            }));
        }
    }

    /// Requests the termination of terminating machines from the cloud, at times twice, as after a lost answer.
    fn request_terminations(&mut self, i: usize, leader: &mut Leader, store_unreachable: bool) {
        // Without the store no termination order can be stored, and only machines with overdue cancelled tasks are
        // terminated without one.
        let overdue = if store_unreachable { leader.cluster.overdue_machines(self.now) } else { Default::default() };
        let terminating = leader.cluster.machines.values().filter(|m| m.state == MachineState::Terminating);
        let terminating: Vec<MachineId> =
            terminating.map(|m| m.id.clone()).filter(|id| !store_unreachable || overdue.contains(id)).collect();
        for machine in terminating {
            if leader.requested_terminations.insert(machine.clone()) {
                if !self.fault_free && self.rng.random_bool(0.2) {
                    self.send(Message::TerminateMachine { from: i, machine: machine.clone() });
                }
                self.send(Message::TerminateMachine { from: i, machine });
            }
        }
    }

    /// Sends a batch to the store, whose answer or application may be lost, delayed or repeated. Returns whether the
    /// leader learned that it is deposed.
    pub(super) fn store_batch(&mut self, leader: &mut Leader, batch: CommitBatch) -> bool {
        let (conditions, changes) = (batch.conditions(leader.cluster.fencing_token), batch.changes());
        let draw = if self.fault_free { 1.0 } else { self.rng.random::<f64>() };
        let unanswered = if self.store_is_slow() { 0.4 } else { 0.05 };
        if leader.store_partition.is_some() || self.store_is_out() {
            if draw < 0.2 && !self.store_is_out() {
                let due = self.now + self.random_delay() * 3;
                self.messages.push((due, Message::CompareAndSwap { conditions, changes }));
            }
            leader.batch = Some((batch, self.now + BATCH_RETRY_INTERVAL));
            return false;
        }
        if draw < unanswered {
            // Not answered, applied later, and sent again unchanged.
            let due = self.now + self.random_delay() * 3;
            self.messages.push((due, Message::CompareAndSwap { conditions, changes }));
            leader.batch = Some((batch, self.now + BATCH_RETRY_INTERVAL));
            return false;
        }
        if !self.admits(&changes) {
            // Refused for its size: the leader learns the limits and parts the batch.
            leader.limits = self.store_limits;
            self.too_large_transactions += 1;
            leader.cluster.requeue_writes(&batch.ended_ids(), &batch.shards, QueuePosition::Last);
            return false;
        }
        let outcome = self.apply_transaction(&conditions, &changes);
        if draw > 0.95 && !self.fault_free {
            // Applied, and repeated later nevertheless.
            let due = self.now + self.random_delay() * 3;
            self.messages.push((due, Message::CompareAndSwap { conditions, changes }));
        }
        if draw < unanswered + 0.05 {
            // Applied, but the answer is lost.
            leader.batch = Some((batch, self.now + BATCH_RETRY_INTERVAL));
            return false;
        }
        match outcome {
            Ok(version) => {
                leader.cluster.record_fenced_write(version);
                self.split_shards += batch.shards.iter().map(|write| write.split_off.len()).sum::<usize>();
                leader.cluster.record_stored_shards(&batch.shards, version);
                for job in &batch.ends {
                    leader.cluster.end_job(&job.spec.id, Some(End::Done), self.now);
                }
            }
            Err(keys) if keys.iter().any(|k| k == LEADER_RECORD_KEY) => return true,
            Err(keys) => self.handle_rejected_batch(leader, &batch, &keys),
        }
        false
    }

    /// Whether the store takes a transaction with these changes. The limit on values is so low here that it is applied
    /// to task shards alone, which are split even in small jobs then.
    fn admits(&self, changes: &[Change]) -> bool {
        let is_shard =
            |change: &&Change| matches!(change, Change::Write { write, .. } if write.starts_with(TASK_SHARD_PREFIX));
        let shards: Vec<Change> = changes.iter().filter(is_shard).cloned().collect();
        self.store_limits.admits(&TransactionSize { changes: changes.len(), ..TransactionSize::of(&[], &shards) })
    }

    /// Handles a batch that was rejected for these keys: adopts the ends and versions that they have in the store, and
    /// queues the rest of the batch again.
    fn handle_rejected_batch(&self, leader: &mut Leader, batch: &CommitBatch, keys: &[String]) {
        for id in batch.jobs() {
            if let Some(end) = find_end(keys, id) {
                leader.cluster.end_job(id, Some(end), self.now);
            }
        }
        for write in &batch.shards {
            let found: Vec<FoundShard> = write
                .values()
                .map(|value| {
                    let key = shard_key(&write.job, value.first_task);
                    FoundShard {
                        version: self.store.version(&key),
                        tasks: self.store.value(&key).and_then(decode_shard),
                    }
                })
                .collect();
            leader.cluster.resolve_rejected_shard(write, &found);
        }
        leader.cluster.requeue_writes(&batch.ended_ids(), &batch.shards, QueuePosition::First);
    }
}
