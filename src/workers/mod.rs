//! Communication with workers: their heartbeats, which are answered with orders, and commands sent to them directly.

pub mod answer;
pub mod dispatch;
pub mod service;
#[cfg(test)]
mod tests;

use std::time::Instant;

use tracing::debug;

use self::answer::Rights;
pub use crate::protocol::workers::{
    AttemptReport, AttemptStatus, ExitCause, Heartbeat, TaskKey, WorkerCommand, WorkerCommands,
};
use crate::scheduling::messages::MessageKind;
pub use service::WorkerService;

/// What a heartbeat is answered with.
pub enum Answer {
    /// 200: the heartbeat was taken in; what the worker is to do.
    WorkerCommands(WorkerCommands),
    /// 421, naming the leader.
    Elsewhere(String),
    /// 503: nobody known here may answer for the controllers.
    Nobody,
    /// 400: the heartbeat cannot be read, or breaks a rule of the protocol.
    Malformed,
}

/// One heartbeat. Only the leader takes it in; a fencing token higher than its own tells it that it is no
/// longer the leader, and a 200 would then only hold the worker while its lease runs out.
pub fn take_heartbeat(service: &WorkerService, body: &[u8]) -> Answer {
    let heartbeat = match crate::protocol::decode::<Heartbeat>(body) {
        Ok(heartbeat) if heartbeat.check() => heartbeat,
        Ok(_) => return Answer::Malformed,
        Err(error) => {
            debug!(%error, "malformed report");
            return Answer::Malformed;
        }
    };
    let unproven = service.membership.unproven();
    let serves = unproven && service.membership.store_serves();
    let mut rights = Rights { loaded: false, knows: false, unproven, serves };
    if rights.silent() {
        return Answer::Nobody;
    }
    let now = Instant::now();
    let mut deposed = false;
    let (heartbeat_from, heartbeat_at) = (heartbeat.machine.clone(), (heartbeat.agent_epoch, heartbeat.seq));
    rights.knows = service.membership.knows_leader(now);
    // Of jobs that are over by the watch cache a leader stops what runs, whatever else it may do.
    let over = service.membership.over_among(&heartbeat, rights.acts());
    {
        let mut held = service.leader.cluster();
        if let Some(cluster) = held.as_mut() {
            if heartbeat.fencing_token > cluster.fencing_token {
                deposed = true;
            } else {
                let catalog = service.catalog.get();
                let name = heartbeat.machine.clone();
                cluster.take_heartbeat(heartbeat, MessageKind::Heartbeat, catalog.as_deref(), now);
                rights.loaded = cluster.loaded;
                let orders = if rights.whole() {
                    cluster.orders_in_answer(&name, now)
                } else {
                    cluster.stops_only(&name, &over.jobs)
                };
                let fencing_token = cluster.fencing_token;
                drop(held);
                service.wakeups.plan.notify_one();
                service.wakeups.commit.notify_one();
                let (spare, kept) =
                    (|| service.membership.may_hold_blindly(now), || service.membership.holds(&name, now));
                if !rights.holds(over.since(fencing_token), spare, kept) {
                    return Answer::Nobody;
                }
                return Answer::WorkerCommands(WorkerCommands { fencing_token, agent_epoch: None, orders });
            }
        }
    }
    if deposed {
        service.membership.step_down("a worker has seen a higher token");
        return Answer::Nobody;
    }
    debug!(machine = heartbeat_from, leader = service.membership.leader_node(), "a report for the leader");
    match service.membership.leader_node() {
        // Sent to a leader of long ago, workers would only come and go.
        Some(leader) if leader != service.settings.node && service.membership.knows_leader(now) => {
            service.membership.note_redirect(&heartbeat_from, heartbeat_at, now);
            Answer::Elsewhere(leader)
        }
        _ => Answer::Nobody,
    }
}
