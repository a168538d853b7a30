//! The fencing tokens under which a leader gives commands to a machine.
//!
//! A direct command can be delivered again after it was carried out and answered, for as long as its fencing token and
//! its agent epoch match. A repeated halt or reap does nothing. Nor does a repeated launch while the worker still has
//! the attempt; but once the attempt is reaped, it starts it again, by then perhaps beside the task's next attempt or
//! after the job's cancellation was confirmed. So a reap is only sent under a higher fencing token than every launch
//! that was sent directly in this agent epoch: the worker that carries out the reap refuses those launches from then
//! on.
//!
//! A worker also loses its attempts if its agent is restarted. Attempts that it had reported in the same agent epoch and
//! reports no longer count as gone only once the worker has seen a fencing token that is higher than every launch sent
//! directly.
//!
//! The higher fencing token of a reap concerns one machine and costs no write. Any revision will do at which a write was applied
//! that is conditional on this leader's record: a later leader's record is stored at a higher revision, so commands
//! under it are obeyed, and no two leaders share a fencing token. Only responses to heartbeats raise it. A direct
//! command with a raised token could overtake a response, which the worker would then have to discard.

use super::{ClusterState, Machine, MachineId};
use crate::protocol::workers::WorkerCommand;

impl Machine {
    /// Whether a repeat of any launch that was sent directly is refused by a worker that has seen this fencing token.
    pub(super) fn launches_void_under(&self, fencing_token: u64) -> bool {
        self.direct_launch_token.is_none_or(|launch_token| launch_token < fencing_token)
    }

    /// Records the fencing token of a direct command with a launch.
    pub(super) fn record_direct_launch(&mut self, fencing_token: u64) {
        self.direct_launch_token = self.direct_launch_token.max(Some(fencing_token));
    }
}

impl ClusterState {
    /// Asks for a higher fencing token, under which this machine refuses repeats of every launch that was sent directly.
    /// Until it has seen that token, no task counts as gone from it.
    pub(super) fn void_launches(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.unsettled_token = machine.unsettled_token.max(machine.direct_launch_token);
        self.higher_token_wanted = true;
    }

    /// Records that a write on condition of this leader's record was applied at this revision of the store.
    pub fn record_fenced_write(&mut self, revision: u64) {
        self.fenced_revision = self.fenced_revision.max(revision);
    }

    /// The highest fencing token that this leader may give commands under. Every other leader's is either higher or
    /// below `first_fencing_token`.
    fn highest_fencing_token(&self) -> u64 {
        self.fencing_token.max(self.fenced_revision)
    }

    /// Whether a worker that has seen this fencing token obeys a later leader.
    pub fn is_superseded_by(&self, fencing_token: u64) -> bool {
        fencing_token > self.highest_fencing_token()
    }

    /// The fencing token of commands to this machine. It never decreases, since the worker discards what comes under a
    /// lower one.
    pub fn command_token(&self, machine: &str) -> u64 {
        self.machines.get(machine).map_or(self.fencing_token, |m| self.command_token_of(m))
    }

    pub(super) fn command_token_of(&self, machine: &Machine) -> u64 {
        self.fencing_token.max(machine.raised_token)
    }

    /// The fencing token that a response to this machine carries if it reaps.
    pub(super) fn reaping_token_of(&self, machine: &Machine) -> u64 {
        let command_token = self.command_token_of(machine);
        if machine.launches_void_under(command_token) { command_token } else { self.highest_fencing_token() }
    }

    /// Raises the machine's fencing token to `reaping_token` if these commands, which go with a response, reap.
    pub(super) fn raise_command_token(&mut self, machine: &str, commands: &[WorkerCommand], reaping_token: u64) {
        let reaps = commands.iter().any(|command| matches!(command, WorkerCommand::Reap { .. }));
        if let Some(m) = self.machines.get_mut(machine).filter(|_| reaps) {
            m.raised_token = m.raised_token.max(reaping_token);
        }
    }
}
