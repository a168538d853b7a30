//! Who leads, and who owns teams and machines.
//!
//! The leader's key hangs on a lease; the leader writes the assignment, whose stamp is the
//! owner's token towards workers and the condition of its every placement. Clocks only decide
//! how soon a new leader comes: a deposed owner is stopped by the stamp, not by the time.

pub mod mesh;
pub mod records;
pub mod standing;
pub mod stranded;

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info, warn};

use crate::jobs::record::{ASSIGNMENT, LEADER};
use crate::node::Node;
use crate::store::budget::Urgent;
use crate::store::{Change, Condition, StoreError, TxnOutcome};
use crate::sync::lock;
use records::{Assignment, Leader};

/// After yielding, the others get this long to take over before this controller tries again.
const SHY: Duration = Duration::from_secs(10);

/// What this controller is to do next, from what it knows.
#[derive(Debug, PartialEq, Eq)]
enum Step {
    Wait,
    Campaign,
    Renew,
    Assign,
}

/// Pure, so that every combination can be tried.
fn next_step(me: &str, leader: Option<&str>, owner: Option<&str>, raise: bool, renew_due: bool) -> Step {
    match leader {
        None => Step::Campaign,
        Some(l) if l != me => Step::Wait,
        Some(_) if owner != Some(me) || raise => Step::Assign,
        Some(_) if renew_due => Step::Renew,
        Some(_) => Step::Wait,
    }
}

pub async fn run(node: Arc<Node>) {
    let life = node.properties.leader_lease;
    let renew_every = life / 4;
    let mut permit: Option<u64> = None;
    let mut renewed = Instant::now();
    let mut shy_until = Instant::now();
    loop {
        let _ = tokio::time::timeout(renew_every / 2, node.wake.membership.notified()).await;
        let (ready, leader, assignment) = {
            let mirror = lock(&node.mirror);
            (mirror.ready, mirror.leader().cloned(), mirror.assignment().cloned())
        };
        if !ready {
            continue;
        }
        node.check_deposed();
        if let Some(lease) = permit
            && node.should_yield(Instant::now())
        {
            warn!("yields: workers reach another controller and not this one");
            if node.store.release(lease).await.is_ok() {
                permit = None;
                shy_until = Instant::now() + SHY;
            }
            continue;
        }
        if leader.is_none() && Instant::now() < shy_until {
            continue;
        }
        let step = next_step(
            &node.incarnation,
            leader.as_ref().map(|(l, _)| l.incarnation.as_str()),
            assignment.as_ref().map(|(a, _)| a.incarnation.as_str()),
            node.raise_wanted(),
            renewed.elapsed() >= renew_every,
        );
        let outcome = match step {
            Step::Wait => Ok(()),
            Step::Campaign => campaign(&node, &mut permit, life).await.map(|()| renewed = Instant::now()),
            Step::Renew => match permit {
                Some(lease) => node.store.renew(lease).await.map(|alive| {
                    renewed = Instant::now();
                    if !alive {
                        info!("leadership lost: its lease has ended");
                        permit = None;
                    }
                }),
                None => Ok(()),
            },
            Step::Assign => assign(&node, leader.map_or(0, |(_, s)| s), assignment.map_or(0, |(_, s)| s)).await,
        };
        if let Err(error) = outcome {
            debug!(%error, ?step, "membership");
            tokio::time::sleep(crate::sync::jitter(Duration::from_millis(150))).await;
        }
    }
}

async fn campaign(node: &Node, permit: &mut Option<u64>, life: Duration) -> Result<(), StoreError> {
    let lease = match *permit {
        Some(lease) if node.store.renew(lease).await? => lease,
        _ => node.store.grant(life).await?,
    };
    *permit = Some(lease);
    let me = Leader { node: node.settings.node.clone(), incarnation: node.incarnation.clone() };
    let change = Change::Write {
        write: LEADER.into(),
        value: serde_json::to_value(&me).unwrap_or_default(),
        permit: Some(lease),
    };
    match node.store.txn(&[Condition::absent(LEADER)], &[change], Urgent::First).await? {
        TxnOutcome::Applied(stamp) => {
            info!(stamp, "leads");
            lock(&node.mirror).note_leader(me, stamp);
            node.wake.membership.notify_one();
        }
        TxnOutcome::Failed(_) => {
            node.fresh.wait().await;
        }
        TxnOutcome::NoSuchLease => *permit = None,
    }
    Ok(())
}

/// Writes this controller as owner. Done again, it raises the token: every command given under
/// the older one is dead wherever the new one has been seen.
async fn assign(node: &Arc<Node>, leader_stamp: u64, stamp: u64) -> Result<(), StoreError> {
    let record = Assignment {
        node: node.settings.node.clone(),
        incarnation: node.incarnation.clone(),
        teams: node.settings.params.teams.iter().map(|t| t.name.clone()).collect(),
    };
    let conditions = [Condition::at(LEADER, leader_stamp), Condition::at(ASSIGNMENT, stamp)];
    let change = Change::write(ASSIGNMENT, serde_json::to_value(&record).unwrap_or_default());
    match node.store.txn(&conditions, &[change], Urgent::First).await? {
        TxnOutcome::Applied(token) => {
            lock(&node.mirror).note_assignment(record, token);
            node.owns(token);
        }
        outcome => {
            warn!(?outcome, "the assignment was not written");
            node.fresh.wait().await;
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn steps_by_cases() {
        for (name, leader, owner, raise, due, want) in [
            ("nobody leads", None, Some("b"), false, false, Step::Campaign),
            ("another leads", Some("b"), Some("b"), true, true, Step::Wait),
            ("leads, another owns", Some("a"), Some("b"), false, true, Step::Assign),
            ("leads, nobody owns", Some("a"), None, false, false, Step::Assign),
            ("token to raise", Some("a"), Some("a"), true, false, Step::Assign),
            ("renewal due", Some("a"), Some("a"), false, true, Step::Renew),
            ("all well", Some("a"), Some("a"), false, false, Step::Wait),
        ] {
            assert_eq!(next_step("a", leader, owner, raise, due), want, "{name}");
        }
    }
}
