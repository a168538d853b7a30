//! Scenarios: faults and their triggers, read from a script whose execution is bounded.

mod arguments;
mod script;

use std::time::Duration;

use hollylanding_protocol::jobs::JobId;

pub use self::script::read;
use crate::driver::Link;
use crate::driver::relay::LinkState;
use crate::world::cloud::BootMode;

/// The controllers that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControllerSelector {
    /// The controller of this number, from 0.
    Number(usize),
    /// The controller that leads at the time of the fault.
    Leader,
    /// All controllers.
    All,
}

/// A number of machines, relative or absolute.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum MachineAmount {
    /// A fraction of all machines, from 0 to 1.
    Part(f64),
    /// This many machines, or all if there are fewer.
    Count(usize),
}

impl MachineAmount {
    /// The number of machines if there are `all` machines.
    pub fn of(self, all: usize) -> usize {
        match self {
            Self::Part(part) => (all as f64 * part).round() as usize,
            Self::Count(n) => n.min(all),
        }
    }
}

/// A fault or another intervention of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Machines fail.
    LoseMachines(MachineAmount),
    /// All machines of a zone fail.
    LoseZone(String),
    /// A machine with a finished result that is not yet collected fails.
    LoseHolder,
    /// The cloud interrupts this fraction of the spot machines.
    TakeSpot(f64),
    /// Workers do nothing for this long, and continue afterwards.
    Hang(MachineAmount, Duration),
    /// Workers fail every task that they start, for this long.
    Sick(MachineAmount, Duration),
    /// Machines run this many times slower.
    Slow(MachineAmount, f64),
    /// The workers' monotonic clocks run this many times as fast.
    Drift(MachineAmount, f64),
    /// Sets how machines that are provisioned from now on boot.
    Boots(BootMode),
    /// One link of controllers is disturbed for this long.
    Link(ControllerSelector, Link, LinkState, Duration),
    /// All links to and from the other controllers are disturbed for this long.
    Peers(ControllerSelector, LinkState, Duration),
    /// The state service is unavailable for this long.
    Outage(Duration),
    /// The cloud is unavailable for this long.
    CloudOutage(Duration),
    /// The state service refuses these controllers for this long.
    Refuse(ControllerSelector, Duration),
    /// This many writes are acknowledged and never applied.
    LoseWrites(u32),
    /// This many of the newest keys with a prefix are lost without a change reported to watches.
    Vanish(String, usize),
    /// This many writes are applied and not answered.
    Unanswered(u32),
    /// This many writes are applied after this delay, and not answered.
    LateWrites(u32, Duration),
    /// All leases of the state service end at once.
    DropLeases,
    /// Watches receive no changes for this long.
    StallWatches(Duration),
    /// The state service applies requests at once and delays its responses by the first duration, for the second
    /// duration.
    SlowStore(Duration, Duration),
    /// The state service discards its log of changes, so that watches have to list again.
    ForgetLog,
    /// A one-way partition of workers for this long: their heartbeats arrive, responses and commands to them do not.
    InboundLost(MachineAmount, Duration),
    /// Heartbeats that workers send within the last duration are delivered again, between the first and the second
    /// duration later.
    LateCopies(MachineAmount, Duration, Duration, Duration),
    /// Controllers are partitioned from the state service and the other controllers; workers and users still reach
    /// them.
    Lone(ControllerSelector, Duration),
    /// Controllers are killed without warning, and restarted after this delay.
    End(ControllerSelector, Duration),
    /// Controllers' processes are paused for this long.
    Pause(ControllerSelector, Duration),
    /// A rolling restart of all controllers, at this interval.
    Roll(Duration),
    /// An operator runs a command.
    Operator(OperatorCommand),
    /// Announces that someone other than the rehearsal's users is about to cancel a job.
    WillCancel(JobId),
    /// Users cancel this fraction of the jobs that are accepted and have not ended.
    CancelShare(f64),
    /// Starts a running task on a second machine, which deliberately violates an invariant.
    StartTwice,
}

/// A condition that a trigger can wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// A machine holds a finished result that is not yet collected.
    HoldsResult,
    /// A task has started since the rehearsal's previous step.
    JustPlaced,
    /// A write was acknowledged and not applied.
    AcknowledgedOnly,
    /// The lease holder or the leader has changed or is missing.
    Election,
}

/// When a fault is injected.
#[derive(Debug, Clone, PartialEq)]
pub enum Trigger {
    /// At this time since the start of the world.
    At(Duration),
    /// As soon as the condition holds, but not before this time.
    When(Condition, Duration),
}

/// A parsed scenario: its faults in the order of the script, and its settings.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// The faults with their triggers.
    pub steps: Vec<(Trigger, Fault)>,
    /// Name of the sizes file that the script requires, in the scenario's folder.
    pub sizes: Option<String>,
    /// Factor by which the rate of users' polls exceeds the default.
    pub poll_rate_factor: f64,
    /// Minimum time for which users poll every job after all faults are over.
    pub min_quiet_period: Duration,
    /// Sets of services with the number of replicas that must run in total.
    pub capacity: Vec<(Vec<JobId>, usize)>,
}

/// A command of the daemon's command line that an operator runs, with the expected result.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorCommand {
    /// The arguments. `{config}` stands for a settings file, `{spec}` for the file that `spec` is written to, and
    /// `{file:NAME}` for a file in the scenario's folder.
    pub args: Vec<String>,
    /// A JSON specification. `{clock:S}` in it stands for the time of day S seconds after the start of the world, and
    /// `"{offset}"` for the UTC offset.
    pub spec: Option<String>,
    /// The expected exit status. The command is retried for a while until it has the expected result.
    pub exit: i32,
    /// Text that the output must contain.
    pub says: String,
}

/// An error in a scenario.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {why}")]
pub struct ScriptError {
    /// Line of the script, from 1.
    pub line: usize,
    /// Description of the error.
    pub why: String,
}

#[cfg(test)]
mod tests;
