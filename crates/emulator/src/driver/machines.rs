//! Machines: they boot, report to the controllers, and fail.

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

/// Minimum time between two heartbeats of a worker, however often its state changes.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a worker tries the next controller.
const NEXT_CONTROLLER_DELAY: Duration = Duration::from_secs(1);
/// Time for which a worker waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval at which a hanging worker is checked.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The path at which controllers receive heartbeats.
const REPORT_PATH: &str = "/v1/report";
/// Status of a controller that does not lead; its response may name the leader.
const MISDIRECTED: u16 = 421;

impl World {
    /// Delivers a copy of a heartbeat to every controller, whichever leads by now. The responses are ignored.
    pub(super) fn deliver_copy(self: &Arc<Self>, mut heartbeat: Heartbeat) {
        for (at, node) in lock(&self.nodes).clone().into_iter().enumerate() {
            heartbeat.addr = self.addr_for(&heartbeat.machine, at).unwrap_or(heartbeat.addr);
            let (world, body) = (self.clone(), Some(protocol::encode(&heartbeat)));
            tokio::spawn(async move {
                world.http.call(Method::POST, &node.addr, REPORT_PATH, body, RESPONSE_TIMEOUT).await
            });
        }
    }

    /// Notifies a machine's worker that the machine will be interrupted after `delay`.
    pub fn notify_interruption(&self, machine: &str, delay: Duration) {
        self.with_fleet(|fleet, now| fleet.notify_interruption(machine, now + delay));
    }

    /// Fails a machine with everything on it. The cloud's list shows the failure only after a delay.
    pub fn kill(&self, machine: &str) {
        self.with_fleet(|fleet, now| fleet.remove_machine(machine, now));
        lock(&self.cloud).kill(machine, self.now());
    }

    /// Starts the worker of a machine that has booted.
    pub(super) async fn start_machine(self: &Arc<Self>, name: &str) {
        let Some(MachineInfo { machine_type: of, zone, spot }) = lock(&self.cloud).machine(name) else { return };
        let addr = serve_worker(self, name).await;
        let addrs = self.worker_addrs(&addr).await;
        lock(&self.worker_addrs).insert(name.to_owned(), addrs);
        lock(&self.cloud).set_addr(name, addr.clone());
        self.record_event(Event::Up { machine: name.to_owned(), type_name: of.name.clone(), zone: zone.clone(), spot });
        let machine = fleet::Machine { addr, machine_type: of, zone, spot, speed: 1.0 };
        self.with_fleet(|fleet, now| fleet.add_machine(name, machine, now));
        tokio::spawn(HeartbeatSender::new(self.clone(), name).run());
    }

    /// The controllers whose links to the workers have a switch.
    fn switched_controllers(&self) -> Vec<usize> {
        let switches = lock(&self.link_switches);
        switches.keys().filter(|(_, link)| *link == Link::Workers).map(|(controller, _)| *controller).collect()
    }

    /// The address at which each controller reaches a worker: that of a relay if the controller's link has a switch.
    async fn worker_addrs(&self, addr: &str) -> Vec<String> {
        let switched = self.switched_controllers();
        let mut addrs = vec![addr.to_owned(); switched.iter().max().map_or(1, |n| n + 1)];
        for controller in switched {
            if let Ok(relay_addr) = relay(addr.to_owned(), self.link_switch(controller, Link::Workers)).await {
                addrs[controller] = relay_addr;
            }
        }
        addrs
    }

    /// The address at which the controller of this number reaches a machine's worker.
    pub(super) fn addr_for(&self, machine: &str, controller: usize) -> Option<String> {
        let addrs = lock(&self.worker_addrs);
        let by_controller = addrs.get(machine)?;
        by_controller.get(controller).or(by_controller.first()).cloned()
    }
}

/// Sends the heartbeats of one machine for as long as it exists, to whichever controller accepts them.
struct HeartbeatSender {
    world: Arc<World>,
    /// Name of the machine.
    name: String,
    /// Index of the controller that receives the heartbeats, modulo the number of controllers.
    controller: usize,
    /// Digest of the state that was reported last; none if the state has to be reported again.
    reported_digest: Option<u64>,
    /// When the next heartbeat is due even if the state has not changed.
    due: Duration,
    /// No heartbeat is sent before this time.
    earliest: Duration,
}

impl HeartbeatSender {
    fn new(world: Arc<World>, name: &str) -> Self {
        let now = world.now();
        // Machines start with different controllers.
        let controller = name.bytes().map(usize::from).sum();
        Self { world, name: name.to_owned(), controller, reported_digest: None, due: now, earliest: now }
    }

    async fn run(mut self) {
        loop {
            let digest = lock(&self.world.fleet).report_digest(&self.name);
            let Some(digest) = digest else { return };
            let sent = self.world.now();
            if sent < self.earliest || (sent < self.due && self.reported_digest == Some(digest)) {
                tokio::time::sleep(STEP).await;
                continue;
            }
            // A hanging worker sends nothing, and continues later.
            let Some(heartbeat) = self.world.with_fleet(|fleet, now| fleet.heartbeat(&self.name, now)) else {
                tokio::time::sleep(HANG_POLL_INTERVAL).await;
                continue;
            };
            self.schedule(sent, digest);
            self.send(heartbeat, sent).await;
        }
    }

    /// Sets when the next heartbeat is sent.
    fn schedule(&mut self, sent: Duration, digest: u64) {
        let interval = self.world.params.heartbeat;
        let fraction = f64::from(digest as u8) / f64::from(u8::MAX);
        self.reported_digest = Some(digest);
        self.earliest = sent + MIN_HEARTBEAT_INTERVAL.min(interval);
        self.due = sent + interval.mul_f64(0.75 + fraction / 2.0);
    }

    /// Sends a heartbeat, and handles the response.
    async fn send(&mut self, mut heartbeat: Heartbeat, sent: Duration) {
        let nodes = lock(&self.world.nodes).clone();
        let at = self.controller % nodes.len().max(1);
        let Some(node) = nodes.get(at) else {
            tokio::time::sleep(STEP).await;
            return;
        };
        heartbeat.addr = self.world.addr_for(&self.name, at).unwrap_or(heartbeat.addr);
        let body = Some(protocol::encode(&heartbeat));
        let answer = self.world.http.call(Method::POST, &node.addr, REPORT_PATH, body, RESPONSE_TIMEOUT).await;
        let reachable = lock(&self.world.fleet).is_reachable(&self.name, self.world.now());
        if reachable {
            self.handle_response(answer, heartbeat.agent_epoch, sent, at, &nodes);
        } else {
            // A worker that receives nothing waits for the response timeout, and then tries the next controller.
            tokio::time::sleep((sent + RESPONSE_TIMEOUT).saturating_sub(self.world.now())).await;
            self.switch_to_next();
        }
    }

    /// Handles the response of the controller with index `at`.
    fn handle_response(
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
                    Some(named) => self.switch_to(named, sent),
                    None => self.switch_to_next(),
                }
            }
            _ => self.switch_to_next(),
        }
    }

    /// Sends the next heartbeat to this controller, at once.
    fn switch_to(&mut self, controller: usize, sent: Duration) {
        self.controller = controller;
        self.due = sent;
        self.earliest = sent;
    }

    /// Sends the next heartbeat to the next controller, after a delay.
    fn switch_to_next(&mut self) {
        self.controller += 1;
        self.reported_digest = None;
        self.earliest = self.world.now() + NEXT_CONTROLLER_DELAY.min(self.world.params.heartbeat);
    }
}
