//! What simulations of fixed steps with the cluster state share: a store that keeps what it was given, and workers that
//! do as the protocol says and check the rules at every start.

use super::*;
use crate::jobs::record::StoredTask;
use crate::jobs::{End, JobId};
use crate::protocol::workers::{ExitCause, WorkerCommand};
use crate::scheduling::cluster::DirectCommand;
use crate::scheduling::cluster::Placement;
use crate::scheduling::commit::CommitBatch;
use crate::settings::Settings;
use std::collections::{BTreeMap, HashSet};

pub(super) const JOB: &str = "run-000001";

pub(super) fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

pub(super) fn task(index: u32) -> TaskKey {
    TaskKey { job: JOB.into(), index }
}

#[derive(Default)]
pub(super) struct Worker {
    pub(super) type_name: &'static str,
    pub(super) zone: &'static str,
    pub(super) agent_epoch: u64,
    pub(super) seq: u64,
    pub(super) fencing_token: u64,
    pub(super) attempts: Vec<AttemptReport>,
    pub(super) reaped: HashSet<(TaskKey, u64)>,
    pub(super) gone: bool,
    /// When the heartbeat was sent that was answered last, or its agent epoch began.
    pub(super) renewed: Option<Instant>,
}

impl Worker {
    pub(super) fn live(&self, task: &TaskKey) -> bool {
        !self.gone && self.attempts.iter().any(|l| l.task == *task && l.status != AttemptStatus::Exited)
    }
}

/// An answer that is on its way.
pub(super) struct Answer {
    pub(super) to: &'static str,
    pub(super) agent_epoch: u64,
    pub(super) fencing_token: u64,
    pub(super) orders: Vec<WorkerCommand>,
    sent: Instant,
}

/// What the store holds of a job beside the first.
pub(super) struct Kept {
    record: Arc<JobRecord>,
    shard: Option<(u64, Vec<StoredTask>)>,
    pub(super) ended: Option<End>,
    ended_at: Option<Instant>,
}

pub(super) struct World {
    pub(super) now: Instant,
    pub(super) version: u64,
    pub(super) record: Arc<JobRecord>,
    /// What the store holds of the job: its one shard, and its end.
    pub(super) shard: Option<(u64, Vec<StoredTask>)>,
    pub(super) ended: Option<End>,
    /// When, as successors are told; their own beginning where nobody says.
    ended_at: Option<Instant>,
    /// Tasks that were done on a worker.
    pub(super) completed: HashSet<TaskKey>,
    /// Of these, whose exit went with a lease or a machine; started again they exit as done at once.
    forgotten: HashSet<TaskKey>,
    pub(super) workers: BTreeMap<&'static str, Worker>,
    /// Further jobs.
    pub(super) more: BTreeMap<JobId, Kept>,
    /// What every leader is given.
    pub(super) settings: Settings,
}

impl World {
    pub(super) fn new(machines: &[&'static str], change: impl FnOnce(&mut JobSpec)) -> Self {
        let mut job = spec();
        job.id = JOB.into();
        change(&mut job);
        let workers = machines
            .iter()
            .map(|m| (*m, Worker { type_name: "c8", zone: "a", agent_epoch: 1, ..Worker::default() }))
            .collect();
        Self {
            now: Instant::now() + s(3600.0),
            version: 10,
            // Never any age by the time of day.
            record: Arc::new(JobRecord { spec: job, at_ms: u64::MAX }),
            shard: None,
            ended: None,
            ended_at: None,
            completed: HashSet::new(),
            forgotten: HashSet::new(),
            workers,
            more: BTreeMap::new(),
            settings: example(),
        }
    }

    /// One more job, accepted: of one shard.
    pub(super) fn accept(&mut self, cluster: &mut ClusterState, n: u32, change: impl FnOnce(&mut JobSpec)) -> JobId {
        let mut job = spec();
        job.id = format!("run-{n:06}").into();
        change(&mut job);
        let (id, record) = (job.id.clone(), Arc::new(JobRecord { spec: job, at_ms: u64::MAX }));
        cluster.add_job(record.clone(), self.now);
        self.more.insert(id.clone(), Kept { record, shard: None, ended: None, ended_at: None });
        id
    }

    /// Its user cancels it: stored, and told to the leader.
    pub(super) fn cancel(&mut self, cluster: &mut ClusterState, id: &JobId) {
        match self.more.get_mut(id) {
            Some(kept) => (kept.ended, kept.ended_at) = (Some(End::Cancelled), Some(self.now)),
            None => (self.ended, self.ended_at) = (Some(End::Cancelled), Some(self.now)),
        }
        cluster.end_job(id, Some(End::Cancelled), self.now);
    }

    fn over(&self, id: &JobId) -> bool {
        self.more.get(id).map_or(self.ended, |kept| kept.ended).is_some()
    }

    fn shard_of(&mut self, id: &JobId) -> &mut Option<(u64, Vec<StoredTask>)> {
        match self.more.get_mut(id) {
            Some(kept) => &mut kept.shard,
            None => &mut self.shard,
        }
    }

    /// A new leader, with a fencing token above all before, that has read what is stored. It may be a process that led
    /// before: nothing but what is stored goes from one cluster state to the next.
    pub(super) fn leader(&mut self) -> ClusterState {
        let mut cluster = self.assigned();
        self.load(&mut cluster);
        cluster
    }

    /// The same before it has read anything.
    pub(super) fn assigned(&mut self) -> ClusterState {
        self.version += 10;
        ClusterState::new(self.version, self.settings.clone(), Properties::default(), self.now)
    }

    pub(super) fn load(&self, cluster: &mut ClusterState) {
        let first = (&self.record, &self.shard, self.ended, self.ended_at);
        let more = self.more.values().map(|k| (&k.record, &k.shard, k.ended, k.ended_at));
        for (record, shard, ended, ended_at) in std::iter::once(first).chain(more) {
            let shards: Vec<_> = shard.iter().map(|(version, tasks)| (0, *version, tasks.clone())).collect();
            if ended.is_none() || !shards.is_empty() {
                cluster.load_job(record.clone(), shards, self.now);
            }
            if ended.is_some() {
                cluster.end_job(&record.spec.id, ended, ended_at.unwrap_or(self.now));
            }
        }
        cluster.finish_load(self.now);
    }

    pub(super) fn spec_of(&self, id: &JobId) -> &JobSpec {
        &self.more.get(id).map_or(&self.record, |kept| &kept.record).spec
    }

    pub(super) fn heartbeat(&mut self, m: &str) -> Heartbeat {
        let w = self.workers.get_mut(m).unwrap();
        w.seq += 1;
        Heartbeat {
            agent_epoch: w.agent_epoch,
            fencing_token: w.fencing_token,
            ..heartbeat(m, w.type_name, w.zone, false, w.seq, w.attempts.clone())
        }
    }

    /// A heartbeat reaches the leader, and its answer is on its way.
    pub(super) fn asks(&mut self, cluster: &mut ClusterState, m: &'static str) -> Answer {
        let heartbeat = self.heartbeat(m);
        let agent_epoch = heartbeat.agent_epoch;
        cluster.take_heartbeat(heartbeat, MessageKind::Heartbeat, None, self.now);
        Answer {
            to: m,
            agent_epoch,
            fencing_token: cluster.fencing_token,
            orders: cluster.heartbeat_response_commands(m, self.now),
            sent: self.now,
        }
    }

    /// The worker hears an answer; within 4 s, that is.
    pub(super) fn hears(&mut self, answer: &Answer) {
        let w = self.workers.get_mut(answer.to).unwrap();
        if !w.gone && w.agent_epoch == answer.agent_epoch && answer.fencing_token >= w.fencing_token {
            w.fencing_token = answer.fencing_token;
            w.renewed = Some(answer.sent);
            self.execute(answer.to, &answer.orders);
        }
    }

    /// A heartbeat with a prompt answer.
    pub(super) fn turn(&mut self, cluster: &mut ClusterState, m: &'static str) {
        let answer = self.asks(cluster, m);
        self.hears(&answer);
        self.now += s(0.5);
    }

    /// A direct command arrives, be it minutes late; the reply.
    pub(super) fn arrives(&mut self, direct: &DirectCommand) -> Option<Heartbeat> {
        let (&m, w) = self.workers.iter_mut().find(|(m, _)| ***m == *direct.machine).unwrap();
        if w.gone {
            return None;
        }
        if direct.fencing_token >= w.fencing_token && direct.agent_epoch == w.agent_epoch {
            w.fencing_token = direct.fencing_token;
            self.execute(m, &direct.commands);
        }
        Some(self.heartbeat(m))
    }

    pub(super) fn replied(&mut self, cluster: &mut ClusterState, direct: &DirectCommand, reply: Heartbeat) {
        cluster.finish_direct_command(&direct.machine, direct.fencing_token, true, self.now);
        cluster.take_heartbeat(reply, MessageKind::CommandReply, None, self.now);
    }

    pub(super) fn given_up(&mut self, cluster: &mut ClusterState, direct: &DirectCommand) {
        self.now += s(2.5);
        cluster.finish_direct_command(&direct.machine, direct.fencing_token, false, self.now);
    }

    /// The command that is due to this machine. All others are refused a connection.
    pub(super) fn command(&mut self, cluster: &mut ClusterState, m: &str) -> Option<DirectCommand> {
        let mut found = None;
        for direct in cluster.direct_commands(self.now) {
            if *direct.machine == *m {
                found = Some(direct);
            } else {
                cluster.finish_direct_command(&direct.machine, direct.fencing_token, true, self.now);
            }
        }
        found
    }

    pub(super) fn execute(&mut self, m: &'static str, orders: &[WorkerCommand]) {
        for order in orders {
            match order {
                WorkerCommand::Launch { task, attempt } => self.launch(m, task, *attempt),
                WorkerCommand::Halt { task, attempt, .. } => self.exits_of(m, task, *attempt, ExitCause::Stopped),
                WorkerCommand::Reap { task, attempt } => {
                    let w = self.workers.get_mut(m).unwrap();
                    let exited = |l: &AttemptReport| {
                        l.task == *task && l.attempt == *attempt && l.status == AttemptStatus::Exited
                    };
                    let Some(at) = w.attempts.iter().position(exited) else { continue };
                    let attempt_report = w.attempts.remove(at);
                    w.reaped.insert((task.clone(), *attempt));
                    let shard = self.shard_of(&task.job).as_ref();
                    let stored = shard.is_some_and(|(_, t)| t[task.index as usize] == StoredTask::Done);
                    let lost = attempt_report.cause == Some(ExitCause::Done) && !stored && !self.over(&task.job);
                    assert!(!lost, "{task:?} was reaped before its end was stored");
                }
            }
        }
    }

    /// The rules, at a start.
    pub(super) fn launch(&mut self, m: &'static str, task: &TaskKey, attempt: u64) {
        if self.workers[m].attempts.iter().any(|l| l.task == *task && l.attempt == attempt) {
            return;
        }
        if let Some((other, _)) = self.workers.iter().find(|(_, w)| w.live(task)) {
            panic!("ran twice: {task:?} starts on {m} and is on {other}");
        }
        let again = self.workers[m].reaped.contains(&(task.clone(), attempt));
        assert!(!again, "{task:?} starts again after its reap");
        let stored = |(_, tasks): &(u64, Vec<StoredTask>)| tasks[task.index as usize] == StoredTask::Done;
        let known = self.shard_of(&task.job).as_ref().is_some_and(stored);
        let again = self.completed.contains(task);
        assert!(!again || (self.forgotten.contains(task) && !known), "{task:?} runs again though it was done");
        assert!(!self.over(&task.job), "{task:?} starts though its job is over");
        let (status, cause) =
            if again { (AttemptStatus::Exited, Some(ExitCause::Done)) } else { (AttemptStatus::Running, None) };
        let attempt_report = AttemptReport { task: task.clone(), attempt, status, cause, saved: None };
        self.workers.get_mut(m).unwrap().attempts.push(attempt_report);
    }

    pub(super) fn exits(&mut self, m: &str, index: u32, attempt: u64, cause: ExitCause) {
        self.exits_of(m, &task(index), attempt, cause);
    }

    pub(super) fn exits_of(&mut self, m: &str, key: &TaskKey, attempt: u64, cause: ExitCause) {
        for attempt_report in &mut self.workers.get_mut(m).unwrap().attempts {
            if attempt_report.task == *key
                && attempt_report.attempt == attempt
                && attempt_report.status != AttemptStatus::Exited
            {
                (attempt_report.status, attempt_report.cause) = (AttemptStatus::Exited, Some(cause));
                if cause == ExitCause::Done {
                    self.completed.insert(key.clone());
                }
            }
        }
    }

    fn forget(&mut self, m: &str) {
        let done = self.workers[m].attempts.iter().filter(|l| l.cause == Some(ExitCause::Done));
        self.forgotten.extend(done.map(|l| l.task.clone()));
    }

    pub(super) fn lease_ends(&mut self, m: &str) {
        self.forget(m);
        let w = self.workers.get_mut(m).unwrap();
        w.agent_epoch += 1;
        w.attempts.clear();
        w.reaped.clear();
        w.renewed = Some(self.now);
    }

    /// What waits is bound to this machine, and all that is to be stored is.
    pub(super) fn place(&mut self, cluster: &mut ClusterState, m: &str) {
        let job = cluster.job(&JOB.into());
        let waiting: Vec<u32> = job.map(|j| j.waiting.iter().copied().collect()).unwrap_or_default();
        self.place_these(cluster, &waiting, m);
    }

    pub(super) fn place_these(&mut self, cluster: &mut ClusterState, indices: &[u32], m: &str) {
        let Some(job) = cluster.job(&JOB.into()) else { return };
        let gang = job.spec().is_gang();
        let last = job.tasks.iter().map(|t| t.attempt).max().unwrap_or(0);
        let attempt = |i: u32| if gang { last } else { job.tasks[i as usize].attempt } + 1;
        let placements =
            indices.iter().map(|i| Placement { task: task(*i), attempt: attempt(*i), machine: m.into() }).collect();
        if !job.is_complete() {
            cluster.bind_placements(placements, self.now);
        }
        self.store(cluster);
    }

    /// Everything that is to be stored is, on the conditions that the leader's commits have. Not done too early.
    pub(super) fn store(&mut self, cluster: &mut ClusterState) {
        self.store_some(cluster, 99, self.now + s(2.0));
    }

    /// The same in one transaction of at most so many changes; how many it had.
    pub(super) fn store_some(&mut self, cluster: &mut ClusterState, most: usize, now: Instant) -> usize {
        let (ends, shards) = cluster.next_writes(most, now);
        let batch = CommitBatch { ends, shards, at_ms: 0 };
        self.version += u64::from(!batch.shards.is_empty());
        for write in &batch.shards {
            let next = (self.version, write.tasks.clone());
            let shard = self.shard_of(&write.job);
            assert_eq!(write.version, shard.as_ref().map_or(0, |(version, _)| *version));
            *shard = Some(next);
        }
        cluster.record_stored_shards(&batch.shards, self.version);
        let changes = batch.changes().len();
        for end in batch.ends {
            let mut done = (0..end.spec.tasks as u32)
                .map(|index| self.completed.contains(&TaskKey { job: end.spec.id.clone(), index }));
            let enough = if end.spec.is_gang() { done.any(|d| d) } else { done.all(|d| d) };
            assert!(enough, "stored as done before its tasks are");
            match self.more.get_mut(&end.spec.id) {
                Some(kept) => kept.ended = Some(End::Done),
                None => self.ended = Some(End::Done),
            }
            cluster.end_job(&end.spec.id, Some(End::Done), self.now);
        }
        changes
    }

    /// Shards of jobs that are over go; how many of such are left.
    pub(super) fn drop_shards(&mut self, cluster: &mut ClusterState) -> usize {
        self.drop_some(cluster, 1000);
        self.more.values().filter(|kept| kept.ended.is_some() && kept.shard.is_some()).count()
    }

    /// At most so many of them go; how many did.
    pub(super) fn drop_some(&mut self, cluster: &mut ClusterState, most: usize) -> usize {
        let drops = cluster.take_shard_drops(most);
        for (id, shard) in &drops {
            assert!(*shard == 0 && self.over(id), "{id}: what is open is kept");
            *self.shard_of(id) = None;
        }
        drops.len()
    }

    pub(super) fn raise(&mut self, cluster: &mut ClusterState) -> bool {
        let wanted = cluster.token_raise_needed(self.now);
        if wanted {
            self.version += 1;
            cluster.raise_fencing_token(self.version);
        }
        wanted
    }

    /// The machine is returned.
    pub(super) fn returned(&mut self, cluster: &mut ClusterState, m: &'static str) {
        self.forget(m);
        self.workers.get_mut(m).unwrap().gone = true;
        cluster.remove_machine(&m.into(), self.now);
    }
}

pub(super) fn on(cluster: &ClusterState, index: u32) -> Option<(u64, String)> {
    let job = cluster.job(&JOB.into())?;
    Some((job.tasks[index as usize].attempt, job.binding(index)?.machine.to_string()))
}

pub(super) fn bound(cluster: &ClusterState, index: u32, attempt: u64, m: &str) {
    assert_eq!(on(cluster, index), Some((attempt, m.to_owned())), "task {index} is bound to {m}");
}

pub(super) fn launches(orders: &[WorkerCommand]) -> usize {
    orders.iter().filter(|o| matches!(o, WorkerCommand::Launch { .. })).count()
}

pub(super) fn reaps(orders: &[WorkerCommand]) -> usize {
    orders.iter().filter(|o| matches!(o, WorkerCommand::Reap { .. })).count()
}

pub(super) fn terminating(cluster: &ClusterState) -> Vec<&str> {
    cluster.machines.values().filter(|m| m.state == MachineState::Terminating).map(|m| &*m.id).collect()
}

impl World {
    /// A greeting of this leader to a machine that has not seen its fencing token.
    pub(super) fn leader_greets(&mut self, cluster: &mut ClusterState, m: &str) -> DirectCommand {
        self.workers.get_mut(m).unwrap().fencing_token = 0;
        let mut before = None;
        for _ in 0..3 {
            self.now += s(1.1);
            before = before.or_else(|| self.command(cluster, m));
        }
        before.expect("a greeting is due")
    }
}
