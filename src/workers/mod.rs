//! Communication with workers: their heartbeats, which are answered with orders, and commands sent to them directly.

pub mod answer;
pub mod dispatch;
#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Instant;

use tracing::debug;

use self::answer::Rights;
use crate::controller::Controller;
pub use crate::protocol::workers::{
    AttemptReport, AttemptStatus, ExitCause, Heartbeat, TaskKey, WorkerCommand, WorkerCommands,
};
use crate::scheduling::messages::MessageKind;

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
pub fn take_heartbeat(node: &Arc<Controller>, body: &[u8]) -> Answer {
    let heartbeat = match crate::protocol::decode::<Heartbeat>(body) {
        Ok(heartbeat) if heartbeat.check() => heartbeat,
        Ok(_) => return Answer::Malformed,
        Err(error) => {
            debug!(%error, "malformed report");
            return Answer::Malformed;
        }
    };
    let unproven = node.unproven();
    let serves = unproven && node.store_serves();
    let mut rights = Rights { loaded: false, knows: false, unproven, serves };
    if rights.silent() {
        return Answer::Nobody;
    }
    let now = Instant::now();
    let mut deposed = false;
    let (heartbeat_from, heartbeat_at) = (heartbeat.machine.clone(), (heartbeat.agent_epoch, heartbeat.seq));
    rights.knows = node.knows_leader(now);
    // Of jobs that are over by the watch cache a leader stops what runs, whatever else it may do.
    let over = node.over_among(&heartbeat, rights.acts());
    {
        let mut held = node.leader.cluster();
        if let Some(cluster) = held.as_mut() {
            if heartbeat.fencing_token > cluster.fencing_token {
                deposed = true;
            } else {
                let catalog = node.catalog.get();
                let name = heartbeat.machine.clone();
                cluster.take_heartbeat(heartbeat, MessageKind::Heartbeat, catalog.as_deref(), now);
                rights.loaded = cluster.loaded;
                let orders = if rights.whole() {
                    cluster.commands_in_answer(&name, now)
                } else {
                    cluster.stops_only(&name, &over.jobs)
                };
                let fencing_token = cluster.fencing_token;
                drop(held);
                node.wakeups.plan.notify_one();
                node.wakeups.commit.notify_one();
                let (spare, kept) = (|| node.may_hold_blindly(now), || node.holds(&name, now));
                if !rights.holds(over.since(fencing_token), spare, kept) {
                    return Answer::Nobody;
                }
                return Answer::WorkerCommands(WorkerCommands { fencing_token, agent_epoch: None, orders });
            }
        }
    }
    if deposed {
        node.step_down("a worker has seen a higher token");
        return Answer::Nobody;
    }
    debug!(machine = heartbeat_from, leader = node.leader_node(), "a report for the leader");
    match node.leader_node() {
        // Sent to a leader of long ago, workers would only come and go.
        Some(leader) if leader != node.settings.node && node.knows_leader(now) => {
            node.note_redirect(&heartbeat_from, heartbeat_at, now);
            Answer::Elsewhere(leader)
        }
        _ => Answer::Nobody,
    }
}
