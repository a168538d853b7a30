//! Periodic checks of what follows from the passage of time alone: silent machines, overdue cancellations, drained
//! machines that are empty.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::{ClusterState, Machine, MachineId, MachineState};
use crate::process_pause::{MAX_PROOF_WAIT_RATIO, ProcessPause};
use crate::protocol::workers::TaskKey;

/// A machine that has not proven a cancelled task gone is returned after this fraction of the cancellation deadline.
const CANCELLATION_PROOF_FRACTION: f64 = 0.45;
/// If one in this many machines is silent or partitioned at once, the machines did not fail independently.
pub(super) const CORRELATED_LOSS_ONE_IN_MACHINES: usize = 12;
/// If contact with one in this many machines is lost, the loss is widespread: the leader hands over, or the network of
/// a zone is at fault.
pub(super) const WIDESPREAD_LOSS_ONE_IN_MACHINES: usize = 3;
/// How many leases a machine may be silent while many are silent at once.
const CORRELATED_SILENCE_LEASES: u32 = 2;
/// Time added to these leases for the drift of a machine's clock and the delay of a heartbeat.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Heartbeat intervals within which all machines that were silent at once report again.
const RECOVERY_HEARTBEATS: u32 = 3;

impl ClusterState {
    /// Adjusts the machines' timestamps after a pause of this process, which does not count as their silence or idle
    /// time: messages from that time may still be on their way.
    pub fn adjust_for_pause(&mut self, pause: ProcessPause) {
        for machine in self.machines.values_mut() {
            machine.last_seen = pause.shift_instant(machine.last_seen);
            machine.last_heartbeat = pause.shift_instant(machine.last_heartbeat);
            machine.idle_since = machine.idle_since.map(|at| pause.shift_instant(at));
            machine.partition.forgive_pause(pause);
        }
        self.last_pause = Some(pause);
    }

    /// Whether at least three machines, and one in `divisor` of those expected to report, have been silent for about
    /// `silence` (80 % of it). Machines that a new leader inherits count: it may be the one that cannot be reached.
    fn many_silent(&self, silence: Duration, divisor: usize, now: Instant) -> bool {
        let (mut all, mut silent) = (0, 0);
        for machine in self.machines.values().filter(|m| m.report_expected()) {
            all += 1;
            silent += usize::from(now.saturating_duration_since(machine.last_seen) > silence.mul_f64(0.8));
        }
        silent >= 3 && silent * divisor >= all
    }

    /// Whether many machines (see `WIDESPREAD_LOSS_ONE_IN_MACHINES`) have missed two heartbeats or have a one-way
    /// partition, so that this controller has lost contact with them.
    pub fn most_machines_lost(&self, now: Instant) -> bool {
        let missed = self.settings.params.workers.heartbeat_interval().mul_f64(2.0);
        self.many_silent(missed, WIDESPREAD_LOSS_ONE_IN_MACHINES, now)
            || self.many_inbound_lost(WIDESPREAD_LOSS_ONE_IN_MACHINES, None)
    }

    /// Machines that have not proven a bound task of a cancelled job gone in time. The remaining tasks of a job that is
    /// done have exited, so it needs no such proof.
    pub fn overdue_machines(&self, now: Instant) -> BTreeSet<MachineId> {
        let allowed = self.settings.params.workers.cancellation_deadline();
        let proof_time = allowed.mul_f64(CANCELLATION_PROOF_FRACTION);
        // The deadline counts on across changes of the leader, or the times of several leaders would add up. But
        // machines get two heartbeats to prove to a new leader what they have proven to its predecessor.
        let report_time = self.settings.params.workers.heartbeat_interval() * 2;
        let just_loaded = now.saturating_duration_since(self.loaded_at) < report_time;
        let due = |at: Instant| {
            let age = now.saturating_duration_since(at);
            age > proof_time
                && self.last_pause.is_none_or(|pause| pause.is_proof_due(at, allowed, now))
                && (at >= self.loaded_at || !just_loaded || age >= allowed.mul_f64(MAX_PROOF_WAIT_RATIO))
        };
        let late = self.ending_jobs.iter().filter_map(|id| self.jobs.get(id));
        let late = late.filter(|job| !job.ended_done && job.ended.is_some_and(due));
        late.flat_map(|job| job.bound.iter().filter_map(|i| job.binding(*i))).map(|b| b.machine.clone()).collect()
    }

    /// Runs the periodic checks: returns silent, overdue and drained machines, stops idle work on scale-in candidates,
    /// ends quarantines and resumes suspended jobs.
    pub fn tick(&mut self, now: Instant) {
        if !self.loaded {
            return;
        }
        for (id, reason) in self.machines_to_terminate(now) {
            self.schedule_termination(&id, reason);
        }
        self.stop_idle_on_scale_in_candidates(now);
        self.end_due_quarantines(now);
        self.end_quarantines_of_healthy_jobs(now);
        self.resume_suspended_jobs(now);
    }

    /// How long a machine may be silent while many are silent at once: at least as long as a single one.
    fn max_correlated_silence(&self) -> Duration {
        (self.settings.params.workers.lease() * CORRELATED_SILENCE_LEASES + LEASE_MARGIN)
            .max(self.properties.silence_timeout)
    }

    /// How long a machine may be silent now.
    ///
    /// Many machines that fall silent at once point to the network or to this controller. Returning them all
    /// before their leases expire would lose the tasks that they run; later it would still lose the machines, and their
    /// replacements would have to boot. Dead machines are recognized by their absence from the cloud's list.
    fn tolerated_silence(&mut self, now: Instant) -> Duration {
        if self.many_silent(self.properties.silence_timeout, CORRELATED_LOSS_ONE_IN_MACHINES, now) {
            self.many_silent_seen_at = Some(now);
        }
        // Machines that are back do not all report at the same moment, so the last ones to do so get more time as well.
        let recovery_time = self.settings.params.workers.heartbeat_interval() * RECOVERY_HEARTBEATS;
        let many = self.many_silent_seen_at.is_some_and(|at| now.saturating_duration_since(at) < recovery_time);
        if many { self.max_correlated_silence() } else { self.properties.silence_timeout }
    }

    /// Machines to be returned, each with the reason.
    fn machines_to_terminate(&mut self, now: Instant) -> Vec<(MachineId, &'static str)> {
        let tolerated = self.tolerated_silence(now);
        let overdue = self.overdue_machines(now).into_iter().map(|id| (id, "cancelled task not proven gone"));
        let spent = self.machines.values().filter_map(|machine| {
            self.termination_reason(machine, tolerated, now).map(|reason| (machine.id.clone(), reason))
        });
        let partitioned = self.machines_given_up(now).into_iter().map(|id| (id, "one-way partition"));
        overdue.chain(spent).chain(partitioned).collect()
    }

    fn termination_reason(&self, machine: &Machine, tolerated: Duration, now: Instant) -> Option<&'static str> {
        let quiet = now.saturating_duration_since(machine.last_seen);
        let without_heartbeat = now.saturating_duration_since(machine.last_heartbeat);
        if (machine.report_expected() || machine.reported()) && quiet > tolerated {
            Some(if machine.reported() { "no heartbeat" } else { "never joined" })
        } else if machine.reported() && without_heartbeat > self.max_correlated_silence() {
            Some("no heartbeat although commands are answered")
        } else if machine.state == MachineState::Draining && machine.bound.is_empty() {
            Some("drained")
        } else {
            None
        }
    }

    /// On scale-in candidates where only idle work remains, stops the idle tasks that can save a checkpoint; the others
    /// run to their end.
    fn stop_idle_on_scale_in_candidates(&mut self, now: Instant) {
        let runs_only_idle_work = |m: &&Machine| {
            m.state == MachineState::Draining
                && m.scale_in_candidate
                && m.idle_work_allocated().cpus > 0.0
                && m.has_only_idle_work()
        };
        let keys: Vec<TaskKey> =
            self.machines.values().filter(runs_only_idle_work).flat_map(|m| m.bound.iter().cloned()).collect();
        for key in keys {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let grace_s = job.spec().save_s.ceil() as u64 + 1;
            if job.spec().checkpoint_s > 0.0 && job.binding(key.index).is_some_and(|b| b.halt_grace_s.is_none()) {
                self.halt_task_or_gang(&key, grace_s, now);
            }
        }
    }
}
