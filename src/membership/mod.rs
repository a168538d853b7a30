//! Who leads, and who owns teams and machines.
//!
//! The leader's key hangs on a lease; the leader writes the assignment, whose stamp is the
//! owner's token towards workers and the condition of its every placement. Clocks only decide
//! how soon a new leader comes: a deposed owner is stopped by the stamp, not by the time.

pub mod mesh;
pub mod records;
pub mod standing;
pub mod stranded;
pub mod watermark;
#[cfg(test)]
mod watermark_tests;

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info, warn};

use crate::jobs::record::{ASSIGNMENT, LEADER, WATERMARK};
use crate::node::Node;
use crate::store::budget::Urgent;
use crate::store::{Change, Condition, StoreError, TxnOutcome};
use crate::sync::lock;
use records::{Assignment, Leader, Watermark};
use watermark::Lag;

/// After yielding, the others get this long to take over before this controller tries again.
const BACK_OFF: Duration = Duration::from_secs(10);

/// A process ends the leadership of those before it on its address this often at the most: two controllers
/// that were given one name by mistake must not do so to each other for ever.
const MOST_EXPIRED: u32 = 2;

/// What this controller is to do next, from what it knows.
#[derive(Debug, PartialEq, Eq)]
enum Step {
    Wait,
    /// The process that leads was this one's predecessor on its address, so it is gone: its leadership is
    /// ended before its lease runs out.
    Expire,
    Campaign,
    Renew,
    Assign,
}

/// Pure, so that every combination can be tried. `predecessor`: another incarnation of this controller's
/// name leads.
fn next_step(
    me: &str,
    leader: Option<&str>,
    predecessor: bool,
    owner: Option<&str>,
    raise: bool,
    renew_due: bool,
) -> Step {
    match leader {
        None => Step::Campaign,
        Some(l) if l != me && predecessor => Step::Expire,
        Some(l) if l != me => Step::Wait,
        Some(_) if owner != Some(me) || raise => Step::Assign,
        Some(_) if renew_due => Step::Renew,
        Some(_) => Step::Wait,
    }
}

/// This controller's own assignment stands, and it does not act on it: the write was carried out and not
/// answered. It is written again, which answers under which token to begin, or to go on.
fn unheard(me: &str, assignment: Option<(&str, u64)>, token: Option<u64>) -> bool {
    assignment.is_some_and(|(owner, stamp)| owner == me && token.is_none_or(|token| token < stamp))
}

pub async fn run(node: Arc<Node>) {
    let life = node.properties.leader_lease;
    let renew_every = life / 4;
    let mut permit: Option<u64> = None;
    let mut renewed = Instant::now();
    let mut backs_off_until = Instant::now();
    let mut expired = 0;
    let mut lag = Lag::default();
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
                backs_off_until = Instant::now() + BACK_OFF;
            }
            continue;
        }
        if leader.is_none() && Instant::now() < backs_off_until {
            continue;
        }
        let token = lock(&node.book).as_ref().map(|book| book.token);
        let assigned = assignment.as_ref().map(|(a, stamp)| (a.incarnation.as_str(), *stamp));
        let step = next_step(
            &node.incarnation,
            leader.as_ref().map(|(l, _)| l.incarnation.as_str()),
            expired < MOST_EXPIRED && leader.as_ref().is_some_and(|(l, _)| l.node == node.settings.node),
            assigned.map(|(owner, _)| owner),
            node.raise_wanted() || unheard(&node.incarnation, assigned, token),
            renewed.elapsed() >= renew_every,
        );
        let outcome = match step {
            Step::Wait => Ok(()),
            Step::Expire => expire_predecessor(&node, leader.map_or(0, |(_, s)| s)).await.map(|()| expired += 1),
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
        let [_, waiting] = node.history.hidden();
        if let Some(long) = lag.tells(waiting, node.history.watermark(), Instant::now()) {
            warn!(
                waiting,
                for_s = long.as_secs(),
                owner = node.owner_node(),
                "withdrawals are stored and not confirmed by the owner: their users are told to come again"
            );
        }
        if let Some(watermark) = node.watermark_to_store(Instant::now()) {
            store_watermark(&node, watermark).await;
        }
    }
}

/// Who leads decides how soon there is an owner and nothing else: the assignment stands until a new leader
/// writes the next one, and whatever its owner has sent is judged by that.
pub(crate) fn expiry(stamp: u64) -> (Condition, Change) {
    (Condition::at(LEADER, stamp), Change::Drop { drop: LEADER.into() })
}

async fn expire_predecessor(node: &Node, stamp: u64) -> Result<(), StoreError> {
    let (condition, change) = expiry(stamp);
    let outcome = node.store.txn(&[condition], &[change], Urgent::First).await?;
    info!(?outcome, "its predecessor led: that is over");
    node.fresh.wait().await;
    Ok(())
}

/// Leadership for whoever finds none, on its lease.
pub(crate) fn candidacy(me: &Leader, lease: u64) -> (Condition, Change) {
    let value = serde_json::to_value(me).unwrap_or_default();
    (Condition::absent(LEADER), Change::Write { write: LEADER.into(), value, permit: Some(lease) })
}

async fn campaign(node: &Node, permit: &mut Option<u64>, life: Duration) -> Result<(), StoreError> {
    let lease = match *permit {
        Some(lease) if node.store.renew(lease).await? => lease,
        _ => node.store.grant(life).await?,
    };
    *permit = Some(lease);
    let me = Leader { node: node.settings.node.clone(), incarnation: node.incarnation.clone() };
    let (condition, change) = candidacy(&me, lease);
    match node.store.txn(&[condition], &[change], Urgent::First).await? {
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

/// An owner, named by whoever leads and on what it has read: nobody else may have been named since.
pub(crate) fn naming(owner: &Assignment, leader_stamp: u64, stamp: u64) -> ([Condition; 2], Change) {
    let change = Change::write(ASSIGNMENT, serde_json::to_value(owner).unwrap_or_default());
    ([Condition::at(LEADER, leader_stamp), Condition::at(ASSIGNMENT, stamp)], change)
}

/// Writes this controller as owner. Done again, it raises the token: every command given under
/// the older one is dead wherever the new one has been seen.
async fn assign(node: &Arc<Node>, leader_stamp: u64, stamp: u64) -> Result<(), StoreError> {
    let record = Assignment {
        node: node.settings.node.clone(),
        incarnation: node.incarnation.clone(),
        teams: node.settings.params.teams.iter().map(|t| t.name.clone()).collect(),
    };
    let (conditions, change) = naming(&record, leader_stamp, stamp);
    match node.store.txn(&conditions, &[change], Urgent::First).await? {
        TxnOutcome::Applied(token) => {
            if lock(&node.mirror).note_assignment(record, token) {
                node.owns(token);
            } else {
                warn!(token, "assigned, and replaced before the answer came");
            }
        }
        outcome => {
            warn!(?outcome, "the assignment was not written");
            node.fresh.wait().await;
        }
    }
    Ok(())
}

/// That it is stored under the assignment that its token names makes it true. A late copy of an older one only
/// makes a controller that has just started wait for the next.
fn storing(watermark: Watermark) -> (Condition, Change) {
    let value = serde_json::to_value(watermark).unwrap_or_default();
    (Condition::at(ASSIGNMENT, watermark.token), Change::write(WATERMARK, value))
}

/// Controllers that do not hear this owner read it there.
async fn store_watermark(node: &Node, watermark: Watermark) {
    let (condition, change) = storing(watermark);
    match node.store.txn(&[condition], &[change], Urgent::First).await {
        Ok(TxnOutcome::Applied(_)) => node.confirmed(watermark.revision, Instant::now()),
        outcome => debug!(?outcome, "storing the watermark"),
    }
}

#[cfg(test)]
mod late;

#[cfg(test)]
mod tests;
