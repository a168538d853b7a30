//! Communication with workers: their heartbeats, which are answered with commands, and commands sent to them
//! directly.

pub mod dispatch;
pub mod response_policy;
pub mod service;
#[cfg(test)]
mod tests;

use std::time::Instant;

use tracing::debug;

use self::response_policy::ResponsePolicy;
use crate::membership::ReportedEnds;
pub use crate::protocol::workers::{
    AttemptReport, AttemptStatus, ExitCause, Heartbeat, TaskKey, WorkerCommand, WorkerCommands,
};
use crate::scheduling::messages::{MessageKind, MessageSequence};
pub use service::WorkerService;

/// The response to a heartbeat.
pub enum HeartbeatResponse {
    /// 200: the heartbeat was recorded; what the worker is to do.
    Commands(WorkerCommands),
    /// 421, with the name of the leader.
    Redirect(String),
    /// 503: nobody known here may answer for the controllers.
    Unavailable,
    /// 400: the heartbeat cannot be decoded, or breaks a rule of the protocol.
    Malformed,
}

/// Which heartbeat of which machine.
struct HeartbeatId {
    machine: String,
    sequence: MessageSequence,
}

/// What became of a valid heartbeat.
enum Recorded {
    /// Recorded in the cluster state. Commands for the worker, if its lease may be renewed.
    ByLeader(WorkerCommands),
    /// The worker has seen a higher fencing token than this leader's: it leads no longer.
    Deposed,
    /// This controller does not lead.
    NotLeader,
}

/// Handles one heartbeat: validates it, fences off leaders that were replaced, reconciles and records it in the cluster
/// state, and answers. Only the leader records it. A fencing token higher than its own tells it that it is no longer
/// the leader; a 200 would then only renew the worker's lease without a leader.
pub fn handle_heartbeat(service: &WorkerService, body: &[u8]) -> HeartbeatResponse {
    let Some(heartbeat) = decode_valid_heartbeat(body) else { return HeartbeatResponse::Malformed };
    let unproven = service.membership.unproven();
    let mut policy = ResponsePolicy {
        cluster_state_loaded: false,
        leader_known: false,
        unproven_since_pause: unproven,
        store_answers: unproven && service.membership.state_service_answers(),
    };
    if policy.stays_silent() {
        return HeartbeatResponse::Unavailable;
    }
    let now = Instant::now();
    let sequence = MessageSequence { agent_epoch: heartbeat.agent_epoch, number: heartbeat.seq };
    let id = HeartbeatId { machine: heartbeat.machine.clone(), sequence };
    policy.leader_known = service.membership.knows_leader(now);
    // A leader stops tasks of jobs that have ended by the watch cache, whatever else it may do.
    let ended = service.membership.reported_ends(&heartbeat, policy.may_command());
    match record_heartbeat(service, heartbeat, &mut policy, &ended, now) {
        Recorded::ByLeader(commands) => answer_as_leader(service, &id.machine, commands, policy, &ended, now),
        Recorded::Deposed => {
            service.membership.step_down("higher fencing token reported by a worker");
            HeartbeatResponse::Unavailable
        }
        Recorded::NotLeader => redirect_to_leader(service, &id, now),
    }
}

/// Decodes a heartbeat. `None` if it breaks a rule of the protocol.
fn decode_valid_heartbeat(body: &[u8]) -> Option<Heartbeat> {
    match crate::protocol::decode::<Heartbeat>(body) {
        Ok(heartbeat) => heartbeat.check().then_some(heartbeat),
        Err(error) => {
            debug!(%error, "heartbeat rejected");
            None
        }
    }
}

/// Compares the fencing tokens, then reconciles the heartbeat with the cluster state and records it there.
fn record_heartbeat(
    service: &WorkerService,
    heartbeat: Heartbeat,
    policy: &mut ResponsePolicy,
    ended: &ReportedEnds,
    now: Instant,
) -> Recorded {
    let mut held = service.leader.cluster();
    let Some(cluster) = held.as_mut() else { return Recorded::NotLeader };
    if heartbeat.fencing_token > cluster.fencing_token {
        return Recorded::Deposed;
    }
    let catalog = service.catalog.get();
    let machine = heartbeat.machine.clone();
    cluster.take_heartbeat(heartbeat, MessageKind::Heartbeat, catalog.as_deref(), now);
    policy.cluster_state_loaded = cluster.loaded;
    let orders = if policy.sends_all_commands() {
        cluster.heartbeat_response_commands(&machine, now)
    } else {
        cluster.halts_of_ended_jobs(&machine, &ended.jobs)
    };
    Recorded::ByLeader(WorkerCommands { fencing_token: cluster.fencing_token, agent_epoch: None, orders })
}

/// Answers with the commands, if the worker's lease may be renewed.
fn answer_as_leader(
    service: &WorkerService,
    machine: &str,
    commands: WorkerCommands,
    policy: ResponsePolicy,
    ended: &ReportedEnds,
    now: Instant,
) -> HeartbeatResponse {
    service.wakeups.plan.notify_one();
    service.wakeups.commit.notify_one();
    let leases_expire_in_time = || service.membership.leases_end_in_time(now);
    let holds_machine = || service.membership.must_hold_worker(machine, now);
    if policy.renews_lease(ended.is_complete_through(commands.fencing_token), leases_expire_in_time, holds_machine) {
        HeartbeatResponse::Commands(commands)
    } else {
        HeartbeatResponse::Unavailable
    }
}

/// Sends the worker to the leader, as far as that is known for certain: sent to a leader of long ago, workers would
/// only come and go.
fn redirect_to_leader(service: &WorkerService, id: &HeartbeatId, now: Instant) -> HeartbeatResponse {
    let leader = service.membership.leader_node();
    debug!(machine = id.machine, leader, "heartbeat redirected");
    match leader {
        Some(leader) if leader != service.settings.node && service.membership.knows_leader(now) => {
            service.membership.record_redirect(&id.machine, id.sequence, now);
            HeartbeatResponse::Redirect(leader)
        }
        _ => HeartbeatResponse::Unavailable,
    }
}
