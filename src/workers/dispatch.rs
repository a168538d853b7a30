//! Sends due commands to workers directly, so that the commands need not wait for the response to the next heartbeat.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Method;
use tracing::debug;

use super::service::WorkerService;
use super::{Heartbeat, WorkerCommands};
use crate::protocol::{self, CallError};
use crate::scheduling::cluster::{DirectCommand, MachineId};
use crate::scheduling::messages::MessageKind;
use crate::traffic::CallKind;

/// Time limit for the reply to a command. A command without a reply by then counts as one that may
/// still arrive.
const REPLY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Longest pause between two checks for due commands.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);

/// Sends commands directly to their workers as they become due. Never returns.
pub async fn run(service: Arc<WorkerService>) {
    loop {
        let _ = tokio::time::timeout(CHECK_INTERVAL, service.wakeups.dispatch.notified()).await;
        if service.membership.unproven() {
            continue;
        }
        let due_commands = match service.leader.cluster().as_mut() {
            Some(cluster) => cluster.direct_commands(Instant::now()),
            None => Vec::new(),
        };
        // At most one direct command per machine is in flight, which bounds the number of these tasks.
        for command in due_commands {
            tokio::spawn(send_command(service.clone(), command));
        }
    }
}

/// Sends one direct command to its worker and records the reply.
async fn send_command(service: Arc<WorkerService>, command: DirectCommand) {
    let DirectCommand { machine, addr, fencing_token, agent_epoch, commands } = command;
    let body = protocol::encode(&WorkerCommands { fencing_token, agent_epoch: Some(agent_epoch), orders: commands });
    service.traffic.count(CallKind::Command);
    let outcome = service.http.call(Method::POST, &addr, "/do", Some(body), REPLY_TIMEOUT).await;
    record_reply(&service, &machine, fencing_token, outcome);
}

/// Records the reply to a direct command, or its failure, in the cluster state.
fn record_reply(
    service: &WorkerService,
    machine: &MachineId,
    fencing_token: u64,
    outcome: Result<(u16, Bytes), CallError>,
) {
    let now = Instant::now();
    let catalog = service.catalog.get();
    {
        let mut cluster_guard = service.leader.cluster();
        let Some(cluster) = cluster_guard.as_mut() else { return };
        let heartbeat = match &outcome {
            Ok((200 | 409, body)) => protocol::decode::<Heartbeat>(body).ok().filter(Heartbeat::check),
            _ => None,
        };
        // Only a definite reply, or a command that was never sent, shows that the command cannot arrive later.
        let settled = heartbeat.is_some() || matches!(outcome, Err(CallError::NotSent) | Ok((400, _)));
        if let Err(error) = &outcome {
            debug!(%machine, %error, "worker command failed");
        }
        cluster.finish_direct_command(machine, fencing_token, settled, now);
        if let Some(heartbeat) = heartbeat {
            cluster.take_heartbeat(heartbeat, MessageKind::CommandReply, catalog.as_deref(), now);
        }
    }
    service.wakeups.commit.notify_one();
    service.wakeups.plan.notify_one();
}
