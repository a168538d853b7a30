//! Sends due commands to workers directly, so that they need not wait for the answer to their next heartbeat.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use tracing::debug;

use super::{Heartbeat, WorkerCommands};
use crate::controller::Controller;
use crate::protocol::{self, CallError};
use crate::scheduling::cluster::DirectCommand;
use crate::scheduling::messages::MessageKind;
use crate::traffic::Passage;

/// Past this a command counts as one that may still arrive.
const ANSWER_WITHIN: Duration = Duration::from_millis(2500);
/// Looks again this often for what is due without having been told.
const EVERY: Duration = Duration::from_millis(1000);

/// Sends the commands that are due straight to their workers, for ever.
pub async fn run(node: Arc<Controller>) {
    loop {
        let _ = tokio::time::timeout(EVERY, node.wakeups.dispatch.notified()).await;
        if node.unproven() {
            continue;
        }
        let due = match node.leader.cluster().as_mut() {
            Some(cluster) => cluster.direct_commands(Instant::now()),
            None => Vec::new(),
        };
        // At most one command per machine is under way, which bounds these.
        for direct in due {
            tokio::spawn(send(node.clone(), direct));
        }
    }
}

async fn send(node: Arc<Controller>, direct: DirectCommand) {
    let body = protocol::encode(&WorkerCommands {
        fencing_token: direct.fencing_token,
        agent_epoch: Some(direct.agent_epoch),
        orders: direct.commands,
    });
    node.traffic.count(Passage::Command);
    let outcome = node.http.call(Method::POST, &direct.addr, "/do", Some(body), ANSWER_WITHIN).await;
    let now = Instant::now();
    let catalog = node.catalog.get();
    {
        let mut held = node.leader.cluster();
        let Some(cluster) = held.as_mut() else { return };
        let heartbeat = match &outcome {
            Ok((200 | 409, body)) => protocol::decode::<Heartbeat>(body).ok().filter(Heartbeat::check),
            _ => None,
        };
        // Only a definite answer, or a connection that never was, settles what was sent.
        let settled = heartbeat.is_some() || matches!(outcome, Err(CallError::NotSent) | Ok((400, _)));
        if let Err(error) = &outcome {
            debug!(machine = %direct.machine, %error, "direct command");
        }
        cluster.command_over(&direct.machine, direct.fencing_token, settled, now);
        if let Some(heartbeat) = heartbeat {
            cluster.take_heartbeat(heartbeat, MessageKind::CommandReply, catalog.as_deref(), now);
        }
    }
    node.wakeups.commit.notify_one();
    node.wakeups.plan.notify_one();
}
