//! Withdrawals by users.

use tracing::{debug, info};

use super::lookup::{ended, look_up, moved_on, open_tasks, tell_end};
use super::reply::Reply;
use crate::history::moves;
use crate::jobs::record::{ASSIGNMENT, time_of_day_ms};
use crate::jobs::{End, JobId};
use crate::node::Node;
use crate::store::TxnOutcome;
use crate::store::audit::Held;
use crate::store::budget::Urgent;
use crate::sync::lock;
use crate::wire::users::{JobAnswer, Status};

pub(super) async fn withdraw(node: &Node, id: &str) -> Reply {
    let found = look_up(node, id).await;
    let Reply::Job(_, JobAnswer { status: Status::Pending | Status::Running, .. }) = &found else {
        return found;
    };
    let id: JobId = id.into();
    // It may have been found open before the mirror heard of it.
    if open_tasks(node, &id).is_none() {
        node.fresh.wait().await;
    }
    let record = lock(&node.mirror).open(&id).cloned();
    let Some(record) = record else {
        return match look_up(node, &id).await {
            Reply::Job(_, JobAnswer { status: Status::Pending | Status::Running, .. }) => {
                Reply::later("the job has not been read yet")
            }
            other => other,
        };
    };
    let owner = node.withdraws_under();
    let withdrawal = moves::withdraw(&record, owner, time_of_day_ms());
    match node.store.txn(&withdrawal.conditions, &withdrawal.changes, Urgent::First).await {
        Ok(TxnOutcome::Applied(stamp)) => {
            info!(job = %id, "withdrawn");
            lock(&node.audit).note(Held::Ended(record, End::Withdrawn));
            if owner.is_some_and(|token| node.withdrew(&id, token)) {
                return ended(&id, End::Withdrawn);
            }
            node.history.note_withdrawal(&id, stamp);
            tell_end(node, &id, End::Withdrawn).await
        }
        Ok(TxnOutcome::Failed(keys)) if keys == [ASSIGNMENT] => {
            // Another owns by now: the mirror is about to hear it.
            node.fresh.wanted.notify_one();
            Reply::later("who owns has just changed")
        }
        Ok(TxnOutcome::Failed(keys)) => moved_on(node, &id, &keys).await,
        outcome => {
            debug!(?outcome, job = %id, "withdrawing");
            Reply::later("the state service cannot be written")
        }
    }
}
