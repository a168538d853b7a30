//! Faults: injected into the world and the controllers, and ended again.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;

use super::{Rehearsal, STEP};
use crate::driver::relay::LinkState;
use crate::driver::{Link, lock};
use crate::judge::Event;
use crate::scenario::{Condition, ControllerSelector, Fault, MachineAmount};
use crate::world::cloud;
use crate::world::fleet::Fleet;

/// Time until a controller that is ended by a rolling restart is started again.
const RESTART_AFTER: Duration = Duration::from_secs(1);
/// Keys of the lease holder, and of the leader of the only partition.
const LEASE_HOLDER: &str = "c/leader";
const LEADER: &str = "c/owner/0";

/// The end of a fault, or the later part of one.
pub(super) enum Undo {
    /// Opens a link of a controller.
    Open(usize, Link),
    /// Ends an outage of the state service.
    EndStoreOutage,
    /// Ends the delay of the state service's answers.
    EndStoreDelay,
    /// Ends an outage of the cloud.
    EndCloudOutage,
    /// The state service serves a controller again.
    Serve(usize),
    /// Workers no longer fail their tasks.
    Heal(Vec<String>),
    /// Restarts a controller.
    End(usize),
    /// Retries to start a task twice.
    StartTwice,
    /// Nothing is to be done: the fault ends by itself.
    Nothing,
}

/// An [`Undo`] with its time.
pub(super) struct Planned {
    at: Instant,
    undo: Undo,
}

impl Rehearsal {
    /// Number of the controller that schedules.
    fn leader(&self) -> usize {
        let state = lock(&self.world.state);
        let leader = state.store.value(LEADER).and_then(|v| v["node"].as_str()).unwrap_or_default();
        leader.strip_prefix("node-").and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    /// The records of the lease holder and of the leader, as they are stored.
    pub(super) fn election_records(&self) -> [String; 2] {
        let state = lock(&self.world.state);
        [LEASE_HOLDER, LEADER].map(|key| state.store.value(key).map_or_else(String::new, |v| v.to_string()))
    }

    /// Numbers of the controllers meant.
    fn controllers_meant(&self, who: ControllerSelector) -> Vec<usize> {
        match who {
            ControllerSelector::All => (0..self.controllers.count()).collect(),
            ControllerSelector::Leader => vec![self.leader()],
            ControllerSelector::Number(n) => vec![n].into_iter().filter(|n| *n < self.controllers.count()).collect(),
        }
    }

    /// Randomly chosen machines.
    fn some_machines(&mut self, many: MachineAmount) -> Vec<String> {
        let names: Vec<String> = self.world.with_fleet(|fleet, _| fleet.machine_names().cloned().collect());
        let n = many.of(names.len());
        names.choose_multiple(&mut self.rng, n).cloned().collect()
    }

    /// Whether a condition holds that a fault waits for.
    pub(super) fn holds(&self, condition: Condition) -> bool {
        match condition {
            Condition::HoldsResult => self.world.with_fleet(|fleet, _| fleet.machines_with_results().next().is_some()),
            Condition::JustPlaced => lock(&self.world.starts).len() > self.starts_seen,
            Condition::AcknowledgedOnly => lock(&self.world.state).faults.lost_writes > 0,
            // Somebody led, and now nobody or another does; or who holds the lease does not lead yet.
            Condition::Election => {
                !self.election_records[0].is_empty() && self.election_records() != self.election_records
            }
        }
    }

    fn later(&mut self, after: Duration, undo: Undo) {
        self.undo.push(Planned { at: Instant::now() + after, undo });
    }

    /// Ends the faults whose time is over.
    pub(super) async fn undo_due(&mut self) {
        let now = Instant::now();
        let (due, rest) = std::mem::take(&mut self.undo).into_iter().partition(|planned| planned.at <= now);
        self.undo = rest;
        let due: Vec<Planned> = due;
        for planned in due {
            self.undo(planned.undo).await;
        }
    }

    async fn undo(&mut self, undo: Undo) {
        match undo {
            Undo::Open(of, link) => self.world.link_switch(of, link).set(LinkState::Open),
            Undo::EndStoreOutage => {
                let mut state = lock(&self.world.state);
                let now = state.now();
                state.store.set_outage(false, now);
            }
            Undo::EndStoreDelay => lock(&self.world.state).faults.response_delay = Duration::ZERO,
            Undo::EndCloudOutage => lock(&self.world.cloud).set_outage(false),
            Undo::Serve(of) => lock(&self.world.state).store.set_refused(&of.to_string(), false),
            Undo::Heal(machines) => self.on_fleet(&machines, |fleet, machine, _| fleet.set_sick(machine, false)),
            Undo::StartTwice => self.start_twice(),
            Undo::Nothing => {}
            Undo::End(of) => self.controllers.end(of, RESTART_AFTER).await,
        }
    }

    /// Disturbs one link of a controller.
    fn link(&mut self, of: usize, link: Link, passing: LinkState, time: Duration) {
        self.world.link_switch(of, link).set(passing);
        self.later(time, Undo::Open(of, link));
    }

    /// All links to the other controllers, both ways.
    fn peers(&mut self, of: usize, passing: LinkState, time: Duration) {
        for other in (0..self.controllers.count()).filter(|n| *n != of) {
            self.link(of, Link::Peer(other), passing, time);
            self.link(other, Link::Peer(of), passing, time);
        }
    }

    /// Retried until something runs that another machine has room for.
    fn start_twice(&mut self) {
        if !self.world.with_fleet(|fleet, now| fleet.start_twice(now)) {
            self.later(STEP, Undo::StartTwice);
        }
    }

    /// Faults of machines and their workers.
    fn on_machines(&mut self, fault: &Fault) {
        match fault {
            Fault::LoseMachines(many) => {
                let machines = self.some_machines(*many);
                machines.iter().for_each(|machine| self.world.kill(machine));
            }
            Fault::LoseZone(zone) => {
                let lost: Vec<String> =
                    self.world.with_fleet(|fleet, _| fleet.machines_in_zone(zone).cloned().collect());
                lost.iter().for_each(|machine| self.world.kill(machine));
            }
            Fault::LoseHolder => {
                let holder = self.world.with_fleet(|fleet, _| fleet.machines_with_results().next().cloned());
                holder.iter().for_each(|machine| self.world.kill(machine));
            }
            Fault::TakeSpot(part) => self.take_spot(*part),
            Fault::Boots(boots) => lock(&self.world.cloud).set_boots(*boots),
            Fault::StartTwice => self.start_twice(),
            other => self.on_workers(other),
        }
    }

    fn take_spot(&mut self, part: f64) {
        let events = lock(&self.world.cloud).interrupt_spot_machines(part, self.world.now());
        for event in events {
            if let cloud::Event::Notice(machine, left) = event {
                self.world.notify_interruption(&machine, left);
            }
        }
    }

    /// Faults of workers whose machines stay.
    fn on_workers(&mut self, fault: &Fault) {
        match fault {
            Fault::Hang(many, time) => {
                let machines = self.some_machines(*many);
                self.on_fleet(&machines, |fleet, machine, now| fleet.hang(machine, now + *time));
                self.later(*time, Undo::Nothing);
            }
            Fault::InboundLost(many, time) => {
                let machines = self.some_machines(*many);
                self.on_fleet(&machines, |fleet, machine, now| fleet.partition_inbound(machine, now + *time));
                self.later(*time, Undo::Nothing);
            }
            Fault::LateCopies(many, from, to, time) => {
                let machines = self.some_machines(*many);
                self.on_fleet(&machines, |fleet, machine, now| fleet.copy_heartbeats(machine, now + *time, *from, *to));
                self.later(*time + *to, Undo::Nothing);
            }
            Fault::Sick(many, time) => {
                let machines = self.some_machines(*many);
                self.on_fleet(&machines, |fleet, machine, _| fleet.set_sick(machine, true));
                self.later(*time, Undo::Heal(machines));
            }
            Fault::Slow(many, by) => {
                let machines = self.some_machines(*many);
                self.on_fleet(&machines, |fleet, machine, _| fleet.set_speed(machine, 1.0 / by));
            }
            Fault::Drift(many, by) => {
                let machines = self.some_machines(*many);
                self.on_fleet(&machines, |fleet, machine, _| fleet.set_clock_rate(machine, *by));
            }
            _ => {}
        }
    }

    /// Does the same to each of these machines at one moment.
    fn on_fleet(&self, machines: &[String], act: impl Fn(&mut Fleet, &str, Duration)) {
        self.world.with_fleet(|fleet, now| machines.iter().for_each(|machine| act(fleet, machine, now)));
    }

    /// Faults of the state service.
    fn on_store(&mut self, fault: &Fault) {
        let world = self.world.clone();
        let mut state = lock(&world.state);
        let now = state.now();
        match fault {
            Fault::Outage(time) => {
                state.store.set_outage(true, now);
                self.later(*time, Undo::EndStoreOutage);
            }
            Fault::LoseWrites(n) => state.faults.writes_to_lose += n,
            Fault::Vanish(prefix, n) => {
                let lost = state.store.lose_newest_keys(prefix, *n);
                self.add_note(format!("vanished: {}", lost.join(", ")));
            }
            Fault::Unanswered(n) => state.faults.unanswered_writes += n,
            Fault::LateWrites(n, by) => state.faults.late_writes = (*n, *by),
            Fault::DropLeases => state.store.drop_leases(),
            Fault::StallWatches(time) => state.faults.watches_stalled_until = Some(Instant::now() + *time),
            Fault::SlowStore(by, time) => {
                state.faults.response_delay = *by;
                self.later(*time, Undo::EndStoreDelay);
            }
            Fault::ForgetLog => state.store.discard_log(),
            _ => {}
        }
    }

    /// Disturbances of links of controllers.
    fn on_links(&mut self, fault: &Fault) {
        match fault {
            Fault::Link(who, link, passing, time) => {
                for of in self.controllers_meant(*who) {
                    self.link(of, *link, *passing, *time);
                }
            }
            Fault::Peers(who, passing, time) => {
                self.controllers_meant(*who).into_iter().for_each(|of| self.peers(of, *passing, *time));
            }
            Fault::Lone(who, time) => {
                for of in self.controllers_meant(*who) {
                    self.link(of, Link::Store, LinkState::Held, *time);
                    self.peers(of, LinkState::Held, *time);
                }
            }
            _ => {}
        }
    }

    /// Injects a fault, and plans its end.
    pub(super) async fn apply(&mut self, fault: &Fault) {
        self.add_note(format!("{fault:?}"));
        match fault {
            Fault::Refuse(who, time) => {
                for of in self.controllers_meant(*who) {
                    lock(&self.world.state).store.set_refused(&of.to_string(), true);
                    self.later(*time, Undo::Serve(of));
                }
            }
            Fault::CloudOutage(time) => {
                lock(&self.world.cloud).set_outage(true);
                self.later(*time, Undo::EndCloudOutage);
            }
            Fault::End(who, again) => {
                for of in self.controllers_meant(*who) {
                    self.controllers.end(of, *again).await;
                }
            }
            Fault::Pause(who, time) => {
                for of in self.controllers_meant(*who) {
                    self.controllers.pause(of, *time);
                }
            }
            Fault::Roll(every) => {
                for of in 0..self.controllers.count() {
                    self.later(every.mul_f64(of as f64), Undo::End(of));
                }
            }
            Fault::Operator(command) => self.operators.operate(command, &self.controllers, self.notes.len()),
            Fault::WillCancel(job) => self.world.record_event(Event::CancellationAsked(job.clone())),
            Fault::CancelShare(part) => {
                let n = self.users.cancel_share(*part);
                self.add_note(format!("{n} users withdraw their jobs"));
            }
            other => {
                self.on_links(other);
                self.on_machines(other);
                self.on_store(other);
            }
        }
    }
}
