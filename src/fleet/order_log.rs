//! The life of an order in the store: stored before it is carried out, dropped afterwards, and taken over from an
//! earlier leader.

use std::time::Duration;

use tracing::{debug, info};

use super::RETRY;
use super::cloud::MOST_RETURNED;
use super::dealings::Shared;
use super::orders::{self, CloudOrder, Inherited, Next, What};
use super::rentals::kind_of;
use crate::controller::Controller;
use crate::store::budget::Urgent;
use crate::store::{CompareAndSwapOutcome, StoreError};
use crate::sync::{jitter, lock};

/// So many are too many to wait for an idle moment: a new leader carries them all out once more.
const TIDY_PRESSED: usize = 12;
/// Clean-up of orders gives way after this.
const TIDY_WITHIN: Duration = Duration::from_millis(400);

/// What an earlier leader has left, once; from here on it is this leader's.
pub(super) fn inherited(node: &Controller, dealings: &Shared) -> Inherited {
    let orders = node.leader.cluster().as_mut().map(|b| std::mem::take(&mut b.inherited)).unwrap_or_default();
    let inherited = Inherited::of(orders, MOST_RETURNED);
    let mut dealings = lock(dealings);
    for (rentals, key) in &inherited.rentals {
        info!(key, rentals = rentals.len(), "an order to rent is taken over");
        for rental in rentals {
            *dealings.asked.entry(kind_of(rental)).or_default() += rental.count;
        }
    }
    for (names, keys) in &inherited.returns {
        info!(orders = keys.len(), machines = names.len(), "orders to return are taken over");
        dealings.returning.extend(names.iter().cloned());
    }
    dealings.finished.extend(inherited.done.iter().cloned());
    inherited
}

fn fencing_token(node: &Controller) -> Option<u64> {
    node.leader.cluster().as_ref().map(|b| b.fencing_token)
}

/// Stores an order under this leader's leader record; its key, once it stands. None where another leads
/// by now, or where `give_up` says that it can't wait any longer.
pub(super) async fn store(
    node: &Controller,
    dealings: &Shared,
    what: What,
    give_up: impl Fn() -> bool,
) -> Result<String, Next> {
    let Some(epoch) = fencing_token(node) else { return Err(Next::Stop) };
    let order = {
        let mut dealings = lock(dealings);
        dealings.next += 1;
        CloudOrder::new(&node.incarnation, epoch, dealings.next, what)
    };
    let change = [order.change()];
    loop {
        let Some(under) = fencing_token(node) else { return Err(Next::Stop) };
        let outcome = node.store.client.compare_and_swap(&order.conditions(under), &change, Urgent::First).await;
        if outcome == Err(StoreError::Unanswered) {
            lock(dealings).late.insert(order.key.clone(), under);
        }
        match order.next(&outcome, fencing_token(node)) {
            Next::Act => return Ok(order.key),
            Next::Stop => return Err(Next::Stop),
            Next::Again if give_up() => {
                // It may yet be applied: it is cleaned up like one that was.
                lock(dealings).finished.push(order.key);
                return Err(Next::Again);
            }
            Next::Again => {
                debug!(?outcome, key = order.key, "storing an order");
                if matches!(outcome, Ok(CompareAndSwapOutcome::Failed(_))) {
                    node.store.read_barrier.wait().await;
                    node.check_deposed();
                }
                tokio::time::sleep(jitter(RETRY)).await;
            }
        }
    }
}

/// Orders that were carried out are dropped together, behind everything else.
pub(super) async fn tidy(node: &Controller, dealings: &Shared) {
    let Some(fencing_token) = fencing_token(node) else { return };
    let pressed = lock(dealings).due_for_clean_up(fencing_token).len() >= TIDY_PRESSED;
    let urgent = if pressed { Urgent::Second } else { Urgent::Last };
    let most = node.store.client.writes_ready(urgent).min(node.settings.params.state.txn_ops as usize);
    let (keys, (conditions, changes)) = {
        let mut dealings = lock(dealings);
        let keys: Vec<String> = dealings.due_for_clean_up(fencing_token).iter().take(most).cloned().collect();
        let sent = orders::clean_up(&keys, &dealings.late, fencing_token);
        (keys, sent)
    };
    if keys.is_empty() {
        return;
    }
    let outcome =
        tokio::time::timeout(TIDY_WITHIN, node.store.client.compare_and_swap(&conditions, &changes, urgent)).await;
    if matches!(outcome, Ok(Ok(CompareAndSwapOutcome::Applied(_)))) {
        let mut dealings = lock(dealings);
        dealings.cleaned_up(&keys, fencing_token);
        node.press_marks(dealings.marks_press());
    }
}
