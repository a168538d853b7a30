//! What time alone brings about: silence, overdue proofs, empty machines that drain.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::{ClusterState, Machine, MachineId, MachineState};
use crate::process_pause::{PROOF_PART, ProcessPause};
use crate::protocol::workers::TaskKey;

/// How far into the time allowed for a cancellation a machine that proves nothing is returned.
const CANCELLATION_PROOF_FRACTION: f64 = 0.45;
/// One in so many machines silent at once is no chance of single machines.
pub(super) const CORRELATED_FRACTION_DIVISOR: usize = 12;
/// One in so many lost is most of them, as far as handing over is concerned.
pub(super) const MOST_FRACTION_DIVISOR: usize = 3;
/// How many leases many machines that are silent together get.
const CORRELATED_SILENCE_LEASES: u32 = 2;
/// Past the end of these; covers a machine's clock's drift and the way of a heartbeat.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// Many that were silent together are all back within so many reports' time.
const RECOVERY_HEARTBEATS: u32 = 3;

impl ClusterState {
    /// This controller was paused and has not listened: machines were not silent or idle for that long,
    /// and what it missed may still be on its way.
    pub fn adjust_for_pause(&mut self, pause: ProcessPause) {
        for machine in self.machines.values_mut() {
            machine.last_seen = pause.forgive(machine.last_seen);
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
        for machine in self.machines.values().filter(|m| m.report_expected()) {
            all += 1;
            silent += usize::from(now.saturating_duration_since(machine.last_seen) > silence.mul_f64(0.8));
        }
        silent >= 3 && silent * part >= all
    }

    /// Most machines have missed two heartbeats, or hear nothing: whoever they talk to, it is not this controller.
    pub fn most_machines_lost(&self, now: Instant) -> bool {
        let missed = self.settings.params.workers.heartbeat_interval().mul_f64(2.0);
        self.many_silent(missed, MOST_FRACTION_DIVISOR, now) || self.many_inbound_lost(MOST_FRACTION_DIVISOR, None)
    }

    /// Machines that hold a task of a job that was cancelled, and have not proven it gone for too
    /// long. What is left of a job that is done has exited.
    pub fn overdue_machines(&self, now: Instant) -> BTreeSet<MachineId> {
        let allowed = self.settings.params.workers.cancellation_deadline();
        let patience = allowed.mul_f64(CANCELLATION_PROOF_FRACTION);
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
        let late = self.ending_jobs.iter().filter_map(|id| self.jobs.get(id));
        let late = late.filter(|job| !job.ended_done && job.ended.is_some_and(due));
        late.flat_map(|job| job.bound.iter().filter_map(|i| job.binding(*i))).map(|b| b.machine.clone()).collect()
    }

    /// What time alone brings about: silence, overdue proofs, empty machines that drain.
    pub fn tick(&mut self, now: Instant) {
        if !self.loaded {
            return;
        }
        for (id, reason) in self.machines_to_terminate(now) {
            self.schedule_termination(&id, reason);
        }
        self.stop_idle_on_scale_in_candidates(now);
        self.end_due_quarantines(now);
        self.resume_suspended_jobs(now);
    }

    /// How long many machines may be silent together: longer than one alone.
    fn max_correlated_silence(&self) -> Duration {
        (self.settings.params.workers.lease() * CORRELATED_SILENCE_LEASES + LEASE_MARGIN).max(self.properties.silence)
    }

    /// How long a machine may be silent now.
    ///
    /// Many machines that fall silent together point at the network or at this controller:
    /// returning them all would lose what they run, and past their leases still the machines, for
    /// which others would have to boot. Those that have died the cloud's list tells of.
    fn tolerated_silence(&mut self, now: Instant) -> Duration {
        if self.many_silent(self.properties.silence, CORRELATED_FRACTION_DIVISOR, now) {
            self.many_silent_seen_at = Some(now);
        }
        // Those that are back do not report at the same moment: the last of them are not alone at once.
        let back_within = self.settings.params.workers.heartbeat_interval() * RECOVERY_HEARTBEATS;
        let many = self.many_silent_seen_at.is_some_and(|at| now.saturating_duration_since(at) < back_within);
        if many { self.max_correlated_silence() } else { self.properties.silence }
    }

    /// Machines to be returned, and why.
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

    /// Where the last of other work has left a machine that can be spared, idle work that can save goes as
    /// well; the rest of it runs out.
    fn stop_idle_on_scale_in_candidates(&mut self, now: Instant) {
        let left = |m: &&Machine| {
            m.state == MachineState::Draining
                && m.scale_in_candidate
                && m.idle_work_allocated().cpus > 0.0
                && m.has_only_idle_work()
        };
        let keys: Vec<TaskKey> = self.machines.values().filter(left).flat_map(|m| m.bound.iter().cloned()).collect();
        for key in keys {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let grace_s = job.spec().save_s.ceil() as u64 + 1;
            if job.spec().checkpoint_s > 0.0 && job.binding(key.index).is_some_and(|b| b.halt_grace_s.is_none()) {
                self.halt_task_or_gang(&key, grace_s, now);
            }
        }
    }
}
