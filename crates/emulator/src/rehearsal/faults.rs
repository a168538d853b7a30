//! Fault injection: faults of the world and the controllers are injected and ended.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;

use super::{Rehearsal, STEP};
use crate::driver::relay::LinkState;
use crate::driver::{Link, lock};
use crate::judge::Event;
use crate::scenario::{Condition, ControllerSelector, Fault, MachineAmount};
use crate::world::cloud;
use crate::world::fleet::Fleet;

/// Delay before a controller that a rolling restart killed is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Key of the record of the lease holder.
const LEASE_HOLDER: &str = "c/leader";
/// Key of the record of the leader of the only partition.
const LEADER: &str = "c/owner/0";

/// The end of a fault, or the later part of one.
pub(super) enum Undo {
    /// Opens a link of a controller.
    Open(usize, Link),
    /// Ends an outage of the state service.
    EndStoreOutage,
    /// Ends the delay of the state service's responses.
    EndStoreDelay,
    /// Ends an outage of the cloud.
    EndCloudOutage,
    /// Lets the state service serve a controller again.
    Serve(usize),
    /// Ends the failure of all tasks on these machines.
    Heal(Vec<String>),
    /// Restarts a controller.
    End(usize),
    /// Retries to start a task twice.
    StartTwice,
    /// No action: the fault ends by itself, and counts as active until then.
    Nothing,
}

/// An [`Undo`] with its time.
pub(super) struct PlannedUndo {
    at: Instant,
    undo: Undo,
}

impl Rehearsal {
    /// Number of the controller that leads.
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

    /// Numbers of the selected controllers.
    fn select_controllers(&self, selector: ControllerSelector) -> Vec<usize> {
        match selector {
            ControllerSelector::All => (0..self.controllers.count()).collect(),
            ControllerSelector::Leader => vec![self.leader()],
            ControllerSelector::Number(n) => vec![n].into_iter().filter(|n| *n < self.controllers.count()).collect(),
        }
    }

    /// Names of randomly chosen machines.
    fn choose_machines(&mut self, amount: MachineAmount) -> Vec<String> {
        let names: Vec<String> = self.world.with_fleet(|fleet, _| fleet.machine_names().cloned().collect());
        let n = amount.of(names.len());
        names.choose_multiple(&mut self.rng, n).cloned().collect()
    }

    /// Whether the condition of a trigger holds.
    pub(super) fn holds(&self, condition: Condition) -> bool {
        match condition {
            Condition::HoldsResult => self.world.with_fleet(|fleet, _| fleet.machines_with_results().next().is_some()),
            Condition::JustPlaced => lock(&self.world.starts).len() > self.starts_seen,
            Condition::AcknowledgedOnly => lock(&self.world.state).faults.lost_writes > 0,
            // There was a lease holder, and its record or the leader's has changed since: either the leader is missing
            // or replaced, or a new lease holder does not lead yet.
            Condition::Election => {
                !self.election_records[0].is_empty() && self.election_records() != self.election_records
            }
        }
    }

    /// Plans the end of a fault after a delay.
    fn plan_undo(&mut self, delay: Duration, undo: Undo) {
        self.undo.push(PlannedUndo { at: Instant::now() + delay, undo });
    }

    /// Ends the faults whose time is over.
    pub(super) async fn undo_due(&mut self) {
        let now = Instant::now();
        let (due, rest) = std::mem::take(&mut self.undo).into_iter().partition(|planned| planned.at <= now);
        self.undo = rest;
        let due: Vec<PlannedUndo> = due;
        for planned in due {
            self.undo(planned.undo).await;
        }
    }

    /// Ends a fault, or executes the later part of one.
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
            Undo::Heal(machines) => {
                self.for_each_machine(&machines, |fleet, machine, _| fleet.set_sick(machine, false))
            }
            Undo::StartTwice => self.start_twice(),
            Undo::Nothing => {}
            Undo::End(of) => self.controllers.kill_and_restart(of, RESTART_DELAY).await,
        }
    }

    /// Sets the state of one link of a controller for a time.
    fn disturb_link(&mut self, of: usize, link: Link, state: LinkState, time: Duration) {
        self.world.link_switch(of, link).set(state);
        self.plan_undo(time, Undo::Open(of, link));
    }

    /// Sets the state of all links to and from the other controllers for a time.
    fn disturb_peer_links(&mut self, of: usize, state: LinkState, time: Duration) {
        for other in (0..self.controllers.count()).filter(|n| *n != of) {
            self.disturb_link(of, Link::Peer(other), state, time);
            self.disturb_link(other, Link::Peer(of), state, time);
        }
    }

    /// Starts a running task on a second machine. Retried until a task runs for which another machine has room.
    fn start_twice(&mut self) {
        if !self.world.with_fleet(|fleet, now| fleet.start_twice(now)) {
            self.plan_undo(STEP, Undo::StartTwice);
        }
    }

    /// Injects a fault of machines or their workers.
    fn inject_machine_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::LoseMachines(amount) => {
                let machines = self.choose_machines(*amount);
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
            Fault::TakeSpot(fraction) => self.interrupt_spot_machines(*fraction),
            Fault::Boots(boots) => lock(&self.world.cloud).set_boots(*boots),
            Fault::StartTwice => self.start_twice(),
            other => self.inject_worker_fault(other),
        }
    }

    /// Interrupts a fraction of the spot machines, and delivers the interruption notices to their workers.
    fn interrupt_spot_machines(&mut self, fraction: f64) {
        let events = lock(&self.world.cloud).interrupt_spot_machines(fraction, self.world.now());
        for event in events {
            if let cloud::Event::Notice(machine, delay) = event {
                self.world.notify_interruption(&machine, delay);
            }
        }
    }

    /// Injects a fault of workers whose machines do not fail.
    fn inject_worker_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Hang(amount, time) => {
                let machines = self.choose_machines(*amount);
                self.for_each_machine(&machines, |fleet, machine, now| fleet.hang(machine, now + *time));
                self.plan_undo(*time, Undo::Nothing);
            }
            Fault::InboundLost(amount, time) => {
                let machines = self.choose_machines(*amount);
                self.for_each_machine(&machines, |fleet, machine, now| fleet.partition_inbound(machine, now + *time));
                self.plan_undo(*time, Undo::Nothing);
            }
            Fault::LateCopies(amount, from, to, time) => {
                let machines = self.choose_machines(*amount);
                self.for_each_machine(&machines, |fleet, machine, now| {
                    fleet.copy_heartbeats(machine, now + *time, *from, *to)
                });
                self.plan_undo(*time + *to, Undo::Nothing);
            }
            Fault::Sick(amount, time) => {
                let machines = self.choose_machines(*amount);
                self.for_each_machine(&machines, |fleet, machine, _| fleet.set_sick(machine, true));
                self.plan_undo(*time, Undo::Heal(machines));
            }
            Fault::Slow(amount, by) => {
                let machines = self.choose_machines(*amount);
                self.for_each_machine(&machines, |fleet, machine, _| fleet.set_speed(machine, 1.0 / by));
            }
            Fault::Drift(amount, by) => {
                let machines = self.choose_machines(*amount);
                self.for_each_machine(&machines, |fleet, machine, _| fleet.set_clock_rate(machine, *by));
            }
            _ => {}
        }
    }

    /// Executes an action on each of these machines at one moment.
    fn for_each_machine(&self, machines: &[String], action: impl Fn(&mut Fleet, &str, Duration)) {
        self.world.with_fleet(|fleet, now| machines.iter().for_each(|machine| action(fleet, machine, now)));
    }

    /// Injects a fault of the state service.
    fn inject_store_fault(&mut self, fault: &Fault) {
        let world = self.world.clone();
        let mut state = lock(&world.state);
        let now = state.now();
        match fault {
            Fault::Outage(time) => {
                state.store.set_outage(true, now);
                self.plan_undo(*time, Undo::EndStoreOutage);
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
                self.plan_undo(*time, Undo::EndStoreDelay);
            }
            Fault::ForgetLog => state.store.discard_log(),
            _ => {}
        }
    }

    /// Injects a fault of controllers' links.
    fn inject_link_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Link(selector, link, state, time) => {
                for of in self.select_controllers(*selector) {
                    self.disturb_link(of, *link, *state, *time);
                }
            }
            Fault::Peers(selector, state, time) => {
                self.select_controllers(*selector)
                    .into_iter()
                    .for_each(|of| self.disturb_peer_links(of, *state, *time));
            }
            Fault::Lone(selector, time) => {
                for of in self.select_controllers(*selector) {
                    self.disturb_link(of, Link::Store, LinkState::Held, *time);
                    self.disturb_peer_links(of, LinkState::Held, *time);
                }
            }
            _ => {}
        }
    }

    /// Injects a fault, and plans its end.
    pub(super) async fn inject(&mut self, fault: &Fault) {
        self.add_note(format!("{fault:?}"));
        match fault {
            Fault::Refuse(selector, time) => {
                for of in self.select_controllers(*selector) {
                    lock(&self.world.state).store.set_refused(&of.to_string(), true);
                    self.plan_undo(*time, Undo::Serve(of));
                }
            }
            Fault::CloudOutage(time) => {
                lock(&self.world.cloud).set_outage(true);
                self.plan_undo(*time, Undo::EndCloudOutage);
            }
            Fault::End(selector, again) => {
                for of in self.select_controllers(*selector) {
                    self.controllers.kill_and_restart(of, *again).await;
                }
            }
            Fault::Pause(selector, time) => {
                for of in self.select_controllers(*selector) {
                    self.controllers.pause(of, *time);
                }
            }
            Fault::Roll(every) => {
                for of in 0..self.controllers.count() {
                    self.plan_undo(every.mul_f64(of as f64), Undo::End(of));
                }
            }
            Fault::Operator(command) => self.operators.start_command(command, &self.controllers, self.notes.len()),
            Fault::WillCancel(job) => self.world.record_event(Event::CancellationAsked(job.clone())),
            Fault::CancelShare(fraction) => {
                let n = self.users.cancel_fraction(*fraction);
                self.add_note(format!("{n} users withdraw their jobs"));
            }
            other => {
                self.inject_link_fault(other);
                self.inject_machine_fault(other);
                self.inject_store_fault(other);
            }
        }
    }
}
