//! A job is cancelled while a launch of it is on its way to a machine that stops, hangs past its lease, hears nothing or
//! reaches nobody, and the cloud can terminate no machine. Leaders change, and earlier ones go on. All controllers are
//! asked about the job at every step.

use std::time::Duration;

use super::messages::{Answer, Command, Message};
use super::world::World;
use super::{LEADER_LEASE, WORKER_LEASE};
use crate::history::job_transactions;
use crate::jobs::JobId;
use crate::protocol::workers::WorkerCommand;

/// Time for which the cloud is out.
const CLOUD_OUTAGE: Duration = Duration::from_secs(75);
/// Time for which a machine hears nothing or reaches nobody.
const PARTITION: Duration = Duration::from_secs(60);
/// Longest delay at which an answer is still carried out.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(3500);
/// Steps within which a launch is sent, and within which the cancellation is confirmed after the cloud is back.
const MAX_STEPS: usize = 1200;

/// What happens to the machine as the launch is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MachineFault {
    None,
    Stops,
    HangsPastLease,
    HearsNothing,
    ReachesNobody,
}

/// When another controller becomes the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderChange {
    None,
    BeforeCancellation,
    AfterCancellation,
    /// Twice after the cancellation, the second time before the first successor has necessarily loaded its cluster state.
    TwiceAfterCancellation,
    /// The store refuses the leader, which goes on commanding its machines.
    LeaderRefused,
    /// The leader ends after the cancellation.
    LeaderEnds,
}

impl World {
    /// Returns the index of a message that launches a task of the job.
    fn find_launch(&self, id: &JobId) -> Option<usize> {
        let launches = |commands: &[WorkerCommand]| {
            commands.iter().any(|command| matches!(command, WorkerCommand::Launch { task, .. } if task.job == *id))
        };
        self.messages.iter().position(|(_, message)| match message {
            Message::Command(Command { commands, .. }) | Message::Answer(Answer { commands, .. }) => launches(commands),
            _ => false,
        })
    }

    /// Delays the message with this index, and returns the worker that it is for.
    fn delay_launch(&mut self, index: usize, delay: Duration) -> usize {
        let (due, message) = &mut self.messages[index];
        match message {
            Message::Command(Command { worker, .. }) => {
                *due += delay;
                *worker
            }
            Message::Answer(Answer { worker, .. }) => {
                *due += delay.min(MAX_ANSWER_DELAY);
                *worker
            }
            _ => unreachable!("the message launches a task"),
        }
    }

    fn begin_machine_fault(&mut self, w: usize, fault: MachineFault) {
        let now = self.now;
        let worker = &mut self.workers[w];
        match fault {
            MachineFault::None => {}
            MachineFault::Stops => worker.hangs_until = now + Duration::from_secs(100_000),
            MachineFault::HangsPastLease => worker.hangs_until = now + WORKER_LEASE + Duration::from_secs(6),
            MachineFault::HearsNothing => worker.inbound_lost_until = now + PARTITION,
            MachineFault::ReachesNobody => worker.outbound_lost_until = now + PARTITION,
        }
    }

    /// Steps, and asks all controllers about the job in each step.
    fn step_and_ask(&mut self, id: &JobId, steps: usize) {
        for _ in 0..steps {
            self.step();
            (0..3).for_each(|_| self.ask_any_controller(id));
        }
    }

    fn begin_leader_change(&mut self, id: &JobId, change: LeaderChange) {
        match change {
            LeaderChange::None | LeaderChange::BeforeCancellation => {}
            LeaderChange::AfterCancellation => self.take_over(),
            LeaderChange::TwiceAfterCancellation => {
                self.take_over();
                self.step_and_ask(id, 12);
                self.take_over();
            }
            LeaderChange::LeaderRefused => {
                self.refuse_leader_at_store(PARTITION);
                self.take_over();
            }
            LeaderChange::LeaderEnds => {
                self.leaders[self.leader] = None;
                self.next_leader_from = self.now + LEADER_LEASE;
            }
        }
    }

    /// Plays one case. The model checks that no task starts after the confirmation, that no controller reports the job as
    /// open after it, and that each question is answered that a controller with access to the store is asked.
    fn play_launch_in_flight(seed: u64, fault: MachineFault, change: LeaderChange, delay: Duration) -> Self {
        let case = format!("{fault:?}, {change:?}, launch delayed by {delay:?}, seed {seed}");
        let mut world = Self::with_users(seed, 3);
        world.fault_free = true;
        (0..2).for_each(|_| world.submit_job());
        let id = world.records.keys().last().expect("submitted").clone();
        let launch = (0..MAX_STEPS).find_map(|_| {
            world.step();
            world.find_launch(&id)
        });
        let w = world.delay_launch(launch.unwrap_or_else(|| panic!("{case}: never launched")), delay);
        world.begin_machine_fault(w, fault);
        world.cloud_out_until = world.now + CLOUD_OUTAGE;
        if change == LeaderChange::BeforeCancellation {
            world.take_over();
        }
        let sent = job_transactions::cancel_job(&world.records[&id], None, 0, usize::MAX);
        world.apply_transaction(&sent.conditions, &sent.changes).expect("the job is open");
        world.step_and_ask(&id, 3);
        world.begin_leader_change(&id, change);
        while world.now + Duration::from_secs(1) < world.cloud_out_until {
            world.step_and_ask(&id, 1);
            let is_confirmed = world.cancelled_since.contains_key(&id);
            assert!(
                fault != MachineFault::Stops || !is_confirmed,
                "{case}: confirmed while the launch may still start it"
            );
        }
        let confirmed = (0..MAX_STEPS).any(|_| {
            world.step_and_ask(&id, 1);
            world.cancelled_since.contains_key(&id)
        });
        assert!(confirmed, "{case}: never confirmed");
        world.step_and_ask(&id, 300);
        world
    }
}

/// Guards against polls that go unanswered while a cancellation cannot be confirmed, against answers that are older than
/// one given before, and against starts after a confirmation.
#[test]
fn questions_are_answered_and_nothing_starts_after_a_confirmation_while_a_launch_is_in_flight() {
    let faults = [
        MachineFault::None,
        MachineFault::Stops,
        MachineFault::HangsPastLease,
        MachineFault::HearsNothing,
        MachineFault::ReachesNobody,
    ];
    let changes = [
        LeaderChange::None,
        LeaderChange::BeforeCancellation,
        LeaderChange::AfterCancellation,
        LeaderChange::TwiceAfterCancellation,
        LeaderChange::LeaderRefused,
        LeaderChange::LeaderEnds,
    ];
    let (mut answered_as_open, mut confirmed_again) = (0, 0);
    for fault in faults {
        for change in changes {
            for (seed, delay_s) in [(1, 2), (2, 9), (3, 16), (4, 40)] {
                let delay = Duration::from_secs(delay_s);
                let tally = World::play_launch_in_flight(seed, fault, change, delay).users.tally;
                answered_as_open += tally.answered_as_open;
                confirmed_again += tally.confirmed_again;
            }
        }
    }
    assert!(answered_as_open > 30_000 && confirmed_again > 30_000, "{answered_as_open} {confirmed_again}");
}
