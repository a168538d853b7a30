//! Machines: they come up, report to the controllers, and fail.

use std::sync::Arc;
use std::time::Duration;

use hollylanding_protocol::workers::{Heartbeat, WorkerCommands};
use hollylanding_protocol::{self as protocol, CallError};
use hyper::Method;
use hyper::body::Bytes;
use serde_json::Value;

use super::relay::relay;
use super::server::serve_worker;
use super::{Link, Node, STEP, World, lock};
use crate::judge::Event;
use crate::world::cloud::MachineInfo;
use crate::world::fleet;

/// Least time between two heartbeats of a worker, however often something changes.
const CHANGE_GAP: Duration = Duration::from_millis(500);
/// Time until a worker turns to the next controller.
const NEXT_AFTER: Duration = Duration::from_secs(1);
/// How long a worker waits for an answer.
const ANSWER_WITHIN: Duration = Duration::from_secs(4);
/// Interval at which a hanging worker is looked at.
const HANGING_STEP: Duration = Duration::from_millis(100);
/// Where controllers take reports.
const REPORT_PATH: &str = "/v1/report";
/// Status of a controller that is not responsible, and may name the one that is.
const MISDIRECTED: u16 = 421;

impl World {
    /// Delivers a copy of a heartbeat to every controller, whoever leads by now; the answers are dropped.
    pub(super) fn deliver_copy(self: &Arc<Self>, mut heartbeat: Heartbeat) {
        for (at, node) in lock(&self.nodes).clone().into_iter().enumerate() {
            heartbeat.addr = self.addr_for(&heartbeat.machine, at).unwrap_or(heartbeat.addr);
            let (world, body) = (self.clone(), Some(protocol::encode(&heartbeat)));
            tokio::spawn(
                async move { world.http.call(Method::POST, &node.addr, REPORT_PATH, body, ANSWER_WITHIN).await },
            );
        }
    }

    /// The cloud gives notice to a machine's worker that it will be taken away after `left`.
    pub fn notice(&self, machine: &str, left: Duration) {
        self.with_fleet(|fleet, now| fleet.notify_interruption(machine, now + left));
    }

    /// A machine fails with everything on it; the cloud's list shows that only after a while.
    pub fn kill(&self, machine: &str) {
        self.with_fleet(|fleet, now| fleet.remove_machine(machine, now));
        lock(&self.cloud).kill(machine, self.now());
    }

    /// A machine comes up, and its worker begins to report.
    pub(super) async fn up(self: &Arc<Self>, name: &str) {
        let Some(MachineInfo { machine_type: of, zone, spot }) = lock(&self.cloud).machine(name) else { return };
        let addr = serve_worker(self, name).await;
        let addrs = self.worker_addrs(&addr).await;
        lock(&self.addrs).insert(name.to_owned(), addrs);
        lock(&self.cloud).set_addr(name, addr.clone());
        self.note(Event::Up { machine: name.to_owned(), type_name: of.name.clone(), zone: zone.clone(), spot });
        let machine = fleet::Machine { addr, machine_type: of, zone, spot, speed: 1.0 };
        self.with_fleet(|fleet, now| fleet.add_machine(name, machine, now));
        tokio::spawn(Reporter::new(self.clone(), name).run());
    }

    /// The controllers whose links to workers can be disturbed.
    fn gated_controllers(&self) -> Vec<usize> {
        let gates = lock(&self.gates);
        gates.keys().filter(|(_, link)| *link == Link::Workers).map(|(controller, _)| *controller).collect()
    }

    /// The address of a worker as each controller reaches it: through a relay where its link can be disturbed.
    async fn worker_addrs(&self, addr: &str) -> Vec<String> {
        let gated = self.gated_controllers();
        let mut addrs = vec![addr.to_owned(); gated.iter().max().map_or(1, |n| n + 1)];
        for controller in gated {
            if let Ok(behind) = relay(addr.to_owned(), self.gate(controller, Link::Workers)).await {
                addrs[controller] = behind;
            }
        }
        addrs
    }

    /// The address of a machine's worker as the controller of this number reaches it.
    pub(super) fn addr_for(&self, machine: &str, controller: usize) -> Option<String> {
        let addrs = lock(&self.addrs);
        let of = addrs.get(machine)?;
        of.get(controller).or(of.first()).cloned()
    }
}

/// Sends the heartbeats of one machine for as long as it is rented, to whichever controller takes them.
struct Reporter {
    world: Arc<World>,
    /// The machine.
    name: String,
    /// The controller it reports to: its index is this number modulo the number of controllers.
    turn: usize,
    /// Digest of the state that was reported last; none if it has to be reported again.
    reported: Option<u64>,
    /// When the next heartbeat is due even if nothing changes.
    due: Duration,
    /// Before this time no heartbeat is sent.
    earliest: Duration,
}

impl Reporter {
    fn new(world: Arc<World>, name: &str) -> Self {
        let now = world.now();
        // Machines begin with different controllers.
        let turn = name.bytes().map(usize::from).sum();
        Self { world, name: name.to_owned(), turn, reported: None, due: now, earliest: now }
    }

    async fn run(mut self) {
        loop {
            let digest = lock(&self.world.fleet).report_digest(&self.name);
            let Some(digest) = digest else { return };
            let sent = self.world.now();
            if sent < self.earliest || (sent < self.due && self.reported == Some(digest)) {
                tokio::time::sleep(STEP).await;
                continue;
            }
            // A hanging machine sends nothing, and continues later.
            let Some(heartbeat) = self.world.with_fleet(|fleet, now| fleet.heartbeat(&self.name, now)) else {
                tokio::time::sleep(HANGING_STEP).await;
                continue;
            };
            self.schedule(sent, digest);
            self.send(heartbeat, sent).await;
        }
    }

    /// When the next heartbeat is sent.
    fn schedule(&mut self, sent: Duration, digest: u64) {
        let interval = self.world.params.heartbeat;
        let fraction = f64::from(digest as u8) / f64::from(u8::MAX);
        self.reported = Some(digest);
        self.earliest = sent + CHANGE_GAP.min(interval);
        self.due = sent + interval.mul_f64(0.75 + fraction / 2.0);
    }

    /// Sends a heartbeat, and acts on the answer.
    async fn send(&mut self, mut heartbeat: Heartbeat, sent: Duration) {
        let nodes = lock(&self.world.nodes).clone();
        let at = self.turn % nodes.len().max(1);
        let Some(node) = nodes.get(at) else {
            tokio::time::sleep(STEP).await;
            return;
        };
        heartbeat.addr = self.world.addr_for(&self.name, at).unwrap_or(heartbeat.addr);
        let body = Some(protocol::encode(&heartbeat));
        let answer = self.world.http.call(Method::POST, &node.addr, REPORT_PATH, body, ANSWER_WITHIN).await;
        let reachable = lock(&self.world.fleet).is_reachable(&self.name, self.world.now());
        if reachable {
            self.take(answer, heartbeat.agent_epoch, sent, at, &nodes);
        } else {
            // A worker that receives nothing waits as long as for no answer, and turns to the next controller.
            tokio::time::sleep((sent + ANSWER_WITHIN).saturating_sub(self.world.now())).await;
            self.turn_to_next();
        }
    }

    /// Acts on an answer of the controller with index `at`.
    fn take(
        &mut self,
        answer: Result<(u16, Bytes), CallError>,
        agent_epoch: u64,
        sent: Duration,
        at: usize,
        nodes: &[Node],
    ) {
        match answer {
            Ok((200, body)) => {
                if let Ok(orders) = protocol::decode::<WorkerCommands>(&body) {
                    self.world.with_fleet(|fleet, now| fleet.answer(&self.name, agent_epoch, sent, &orders, now));
                }
            }
            Ok((MISDIRECTED, body)) => {
                let answer: Value = protocol::decode(&body).unwrap_or_default();
                let named = nodes.iter().position(|node| answer["dispatcher"] == node.name.as_str());
                match named.filter(|named| *named != at) {
                    Some(named) => self.turn_to(named, sent),
                    None => self.turn_to_next(),
                }
            }
            _ => self.turn_to_next(),
        }
    }

    /// Heartbeats to this controller at once.
    fn turn_to(&mut self, controller: usize, sent: Duration) {
        self.turn = controller;
        self.due = sent;
        self.earliest = sent;
    }

    /// Heartbeats to the next controller after a while.
    fn turn_to_next(&mut self) {
        self.turn += 1;
        self.reported = None;
        self.earliest = self.world.now() + NEXT_AFTER.min(self.world.params.heartbeat);
    }
}
