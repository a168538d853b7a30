//! Communication with workers: heartbeats, which are answered with commands, and commands that are sent directly.

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
    /// 200: the heartbeat was recorded; the commands for the worker.
    Commands(WorkerCommands),
    /// 421: another controller, with this name, is the leader.
    Redirect(String),
    /// 503: this controller may not answer, and it knows no leader that could.
    Unavailable,
    /// 400: the heartbeat cannot be decoded or violates the protocol.
    Malformed,
}

/// Identifies one heartbeat of one machine.
struct HeartbeatId {
    machine: String,
    sequence: MessageSequence,
}

/// The outcome of recording a valid heartbeat.
enum RecordOutcome {
    /// This leader recorded the heartbeat in its cluster state. The commands are for the worker, if its lease may be
    /// renewed.
    ByLeader {
        commands: WorkerCommands,
        /// The version of the leader record.
        leader_version: u64,
    },
    /// The worker has seen a higher fencing token than this leader's, so this controller is no longer the leader.
    Deposed,
    /// This controller is not the leader.
    NotLeader,
}

/// Handles one heartbeat: validates it, fences off leaders that were replaced, reconciles it with the cluster state and
/// records it there, and responds. Only the leader records heartbeats. A heartbeat with a fencing token higher than its
/// own shows that it is no longer the leader; a 200 would then only renew the worker's lease without a leader.
pub fn handle_heartbeat(service: &WorkerService, body: &[u8]) -> HeartbeatResponse {
    let Some(heartbeat) = decode_valid_heartbeat(body) else { return HeartbeatResponse::Malformed };
    let unproven = service.membership.unproven();
    let mut policy = ResponsePolicy {
        cluster_state_loaded: false,
        leader_known: false,
        unproven_since_pause: unproven,
        store_answers: unproven && service.membership.state_service_answers(),
    };
    if policy.refuses_heartbeat() {
        return HeartbeatResponse::Unavailable;
    }
    let now = Instant::now();
    let sequence = MessageSequence { agent_epoch: heartbeat.agent_epoch, number: heartbeat.seq };
    let id = HeartbeatId { machine: heartbeat.machine.clone(), sequence };
    policy.leader_known = service.membership.knows_leader(now);
    // A leader stops tasks of jobs that have ended according to the watch cache, whatever other commands it may send.
    let ended = service.membership.reported_ends(&heartbeat, policy.may_command());
    match record_heartbeat(service, heartbeat, &mut policy, &ended, now) {
        RecordOutcome::ByLeader { commands, leader_version } => {
            let cache_covers_term = ended.is_complete_through(leader_version);
            answer_as_leader(service, &id.machine, commands, policy, cache_covers_term, now)
        }
        RecordOutcome::Deposed => {
            service.membership.step_down("higher fencing token reported by a worker");
            HeartbeatResponse::Unavailable
        }
        RecordOutcome::NotLeader => redirect_to_leader(service, &id, now),
    }
}

/// Decodes a heartbeat. Returns `None` if it cannot be decoded or violates the protocol.
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
) -> RecordOutcome {
    let mut cluster_guard = service.leader.cluster();
    let Some(cluster) = cluster_guard.as_mut() else { return RecordOutcome::NotLeader };
    if cluster.is_superseded_by(heartbeat.fencing_token) {
        return RecordOutcome::Deposed;
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
    let commands = WorkerCommands { fencing_token: cluster.command_token(&machine), agent_epoch: None, orders };
    RecordOutcome::ByLeader { commands, leader_version: cluster.fencing_token }
}

/// Responds with the commands if the worker's lease may be renewed. `cache_covers_term`: the watch cache has everything
/// that was stored before this leader's record.
fn answer_as_leader(
    service: &WorkerService,
    machine: &str,
    commands: WorkerCommands,
    policy: ResponsePolicy,
    cache_covers_term: bool,
    now: Instant,
) -> HeartbeatResponse {
    service.wakeups.plan.notify_one();
    service.wakeups.commit.notify_one();
    let leases_expire_in_time = || service.membership.leases_end_in_time(now);
    let holds_machine = || service.membership.must_hold_worker(machine, now);
    if policy.renews_lease(cache_covers_term, leases_expire_in_time, holds_machine) {
        HeartbeatResponse::Commands(commands)
    } else {
        HeartbeatResponse::Unavailable
    }
}

/// Redirects the worker to the leader if what is known of the leader is recent enough. Redirected to a former leader,
/// workers would only be sent from controller to controller.
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
