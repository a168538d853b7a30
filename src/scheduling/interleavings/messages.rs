//! Messages between owners, workers, the store and the cloud: how long they are on their way, and what each
//! does where it arrives.

use std::time::{Duration, Instant};

use rand::Rng;

use super::ANSWER_TAKEN;
use super::world::World;
use crate::history::moves::Move;
use crate::jobs::JobId;
use crate::membership::records::Watermark;
use crate::scheduling::cluster::{MachineId, Via};
use crate::store::{Change, Condition};
use crate::wire::workers::{Order, Report};

pub(super) enum Message {
    /// A copy is one that was held back until nobody waits for its answer.
    Report {
        to: usize,
        report: Report,
        sent: Instant,
        copy: bool,
    },
    Answer {
        worker: usize,
        from: usize,
        session: u64,
        sent: Instant,
        token: u64,
        orders: Vec<Order>,
        /// All orders, not stops alone.
        whole: bool,
    },
    Command {
        id: u64,
        worker: usize,
        from: usize,
        token: u64,
        session: u64,
        orders: Vec<Order>,
    },
    Reply {
        id: u64,
        to: usize,
        machine: MachineId,
        token: u64,
        report: Report,
    },
    GivenUp {
        id: u64,
        to: usize,
        machine: MachineId,
        token: u64,
    },
    Txn {
        conditions: Vec<Condition>,
        changes: Vec<Change>,
    },
    Return {
        from: usize,
        machine: MachineId,
    },
    Returned {
        to: usize,
        machine: MachineId,
    },
    /// A line of an owner to another controller.
    Line {
        from: usize,
        to: usize,
        watermark: Watermark,
    },
    /// The store's answer to the owner's own user.
    Withdrawn {
        to: usize,
        id: JobId,
        token: u64,
    },
}

impl World {
    /// Mostly prompt; now and then held back for up to a minute.
    pub(super) fn delay(&mut self) -> Duration {
        let held = !self.quiet && self.rng.random_bool(0.12);
        Duration::from_millis(if held { self.rng.random_range(500..60_000) } else { self.rng.random_range(1..150) })
    }

    pub(super) fn send(&mut self, message: Message) {
        let mut due = self.now + self.delay();
        // Direct commands are what may come late and still be carried out: more of them do.
        if !self.quiet && matches!(message, Message::Command { .. }) && self.rng.random_bool(0.3) {
            due += Duration::from_millis(self.rng.random_range(1000..15_000));
        }
        self.messages.push((due, message));
    }

    /// A user's transaction: applied, and at times again much later, as a copy that was held back.
    pub(super) fn send_move(&mut self, sent: Move) {
        let copies = if !self.quiet && self.rng.random_bool(0.2) { 2 } else { 1 };
        for _ in 0..copies {
            let due = self.now + self.delay();
            let (conditions, changes) = (sent.conditions.clone(), sent.changes.clone());
            self.messages.push((due, Message::Txn { conditions, changes }));
        }
    }

    /// When an owner that is paused reads what was sent to it.
    pub(super) fn read_at(&self, message: &Message) -> Option<Instant> {
        let to = match message {
            Message::Report { to, .. }
            | Message::Reply { to, .. }
            | Message::GivenUp { to, .. }
            | Message::Returned { to, .. }
            | Message::Withdrawn { to, .. } => *to,
            _ => return None,
        };
        let frozen = self.owners.get(to)?.as_ref()?.frozen?;
        Some(frozen.1).filter(|until| *until > self.now)
    }

    pub(super) fn deliver(&mut self, message: Message) {
        if let Some(at) = self.read_at(&message) {
            self.messages.push((at, message));
            return;
        }
        let now = self.now;
        match message {
            Message::Report { to, report, sent, copy } => {
                let to = if copy { self.reader() } else { self.reborn.get(&to).copied().unwrap_or(to) };
                let Some(w) = self.workers.iter().position(|w| w.id == report.machine) else { return };
                let Some(mut owner) = self.owners.get_mut(to).and_then(Option::take) else { return };
                if report.token > owner.cluster.token {
                    return;
                }
                let session = report.session;
                let rights = self.rights(&owner);
                self.users.tally.unloaded += usize::from(!rights.loaded);
                let id = self.workers[w].id.clone();
                let mut orders = Vec::new();
                let mut held = false;
                if !rights.silent() {
                    let over = self.over_among(&owner, &report);
                    owner.cluster.take_report(report, Via::Report, Some(&self.catalog), now);
                    orders = if rights.whole() {
                        owner.cluster.orders_in_answer(&id, now)
                    } else {
                        owner.cluster.stops_only(&id, &over)
                    };
                    held = self.holds(&mut owner, rights, &id);
                    self.users.tally.stops += usize::from(!rights.whole() && !orders.is_empty());
                }
                let (token, whole) = (owner.cluster.token, rights.whole());
                self.owners[to] = Some(owner);
                self.trace(&format!("{id} s{session} to {to}: {rights:?} held {held} {orders:?}"));
                if !held {
                    // Asks elsewhere.
                    self.users.tally.nobody += 1;
                    let worker = &mut self.workers[w];
                    worker.home = worker.home.filter(|home| *home != to || worker.apart_until > now);
                    return;
                }
                if !copy {
                    self.send(Message::Answer { worker: w, from: to, session, sent, token, orders, whole });
                }
            }
            Message::Answer { worker, from, session, sent, token, orders, whole } => {
                let w = &mut self.workers[worker];
                let late = now - sent > ANSWER_TAKEN || w.waits_until.is_none();
                if w.inbound_lost_until > now {
                    let tells = token > w.token || orders.iter().any(|o| matches!(o, Order::Launch { .. }));
                    let row = if w.unheard.0 == from { w.unheard.1 } else { 0 };
                    w.unheard = (from, row + u32::from(tells && !late && whole));
                    return;
                }
                w.unheard = (from, 0);
                if w.gone || w.hangs_until > now || late || w.session != session || token < w.token {
                    return;
                }
                (w.token, w.renewed, w.waits_until) = (token, sent, None);
                self.execute(worker, orders);
            }
            Message::Command { id, worker, from, token, session, orders } => {
                let w = &mut self.workers[worker];
                if w.gone {
                    return;
                }
                let inbound_lost = w.inbound_lost_until > now;
                if inbound_lost && id.is_multiple_of(2) {
                    return;
                }
                let apart = w.apart_until > now && w.home != Some(from);
                if inbound_lost || apart || w.hangs_until > now {
                    // Executed once the machine goes on, or once what was held back comes through.
                    let due = w.hangs_until.max(w.inbound_lost_until).max(if apart { w.apart_until } else { now });
                    self.messages.push((due, Message::Command { id, worker, from, token, session, orders }));
                    return;
                }
                // A machine goes on within its lease, or without what it had: its lease ends first.
                if self.users.on {
                    w.end_lease(now);
                }
                if token >= w.token && session == w.session {
                    w.token = token;
                    self.execute(worker, orders);
                }
                let report = self.workers[worker].report();
                let machine: MachineId = report.machine.as_str().into();
                self.send(Message::Reply { id, to: from, machine, token, report });
            }
            Message::Reply { id, to, machine, token, report } => {
                let first = self.over.insert(id);
                if let Some(owner) = self.owners.get_mut(to).and_then(Option::as_mut).filter(|_| first) {
                    owner.cluster.command_over(&machine, token, true, now);
                    owner.cluster.take_report(report, Via::Command, Some(&self.catalog), now);
                }
            }
            Message::GivenUp { id, to, machine, token } => {
                let first = self.over.insert(id);
                if let Some(owner) = self.owners.get_mut(to).and_then(Option::as_mut).filter(|_| first) {
                    owner.cluster.command_over(&machine, token, false, now);
                }
            }
            Message::Txn { conditions, changes } => {
                if let Some((_, until)) = self.users.out {
                    let due = until + Duration::from_millis(self.rng.random_range(100..12_000));
                    self.messages.push((due, Message::Txn { conditions, changes }));
                    return;
                }
                let _ = self.apply(&conditions, &changes);
            }
            Message::Line { from, to, watermark } => self.hear_line(from, to, watermark),
            Message::Withdrawn { to, id, token } => self.withdrew(to, &id, token),
            Message::Return { from, machine } => {
                if let Some(w) = self.workers.iter_mut().find(|w| *w.id == *machine) {
                    (w.gone, w.gone_at) = (true, w.gone_at.or(Some(now)));
                }
                self.send(Message::Returned { to: from, machine });
            }
            Message::Returned { to, machine } => {
                if let Some(owner) = self.owners.get_mut(to).and_then(Option::as_mut) {
                    owner.cluster.machine_gone(&machine, now);
                }
            }
        }
    }
}
