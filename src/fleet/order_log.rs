//! The life of an order in the store: stored before it is carried out, dropped afterwards, and taken over from an
//! earlier leader.

use std::time::Duration;

use tracing::{debug, info};

use super::RETRY;
use super::cloud_operations::SharedOperations;
use super::manager::Fleet;
use super::provisioning::kind_of;
use crate::cloud_orders::{CloudAction, CloudOrder, InheritedOrders, MOST_RETURNED, OrderCleanUp, StoreStep};
use crate::store::budget::RequestPriority;
use crate::store::{CompareAndSwapOutcome, StoreError};
use crate::sync::{jitter, lock};

/// So many are too many to wait for an idle moment: a new leader carries them all out once more.
const TIDY_PRESSED: usize = 12;
/// Clean-up of orders gives way after this.
const TIDY_WITHIN: Duration = Duration::from_millis(400);

/// What an earlier leader has left, once; from here on it is this leader's.
pub(super) fn inherited(fleet: &Fleet, operations: &SharedOperations) -> InheritedOrders {
    let orders = fleet.leader.cluster().as_mut().map(|b| std::mem::take(&mut b.inherited)).unwrap_or_default();
    let inherited = InheritedOrders::group(orders, MOST_RETURNED);
    let mut operations = lock(operations);
    for order in &inherited.provisioning {
        info!(key = order.key, count = order.requests.len(), "inherited scale-out order resumed");
        for rental in &order.requests {
            *operations.asked.entry(kind_of(rental)).or_default() += rental.count;
        }
    }
    for call in &inherited.terminations {
        info!(orders = call.keys.len(), count = call.machines.len(), "inherited scale-in orders resumed");
        operations.returning.extend(call.machines.iter().cloned());
    }
    operations.finished.extend(inherited.completed.iter().cloned());
    inherited
}

fn fencing_token(fleet: &Fleet) -> Option<u64> {
    fleet.leader.cluster().as_ref().map(|b| b.fencing_token)
}

/// Stores an order under this leader's leader record; its key, once it stands. None where another leads
/// by now, or where `give_up` says that it can't wait any longer.
pub(super) async fn store(
    fleet: &Fleet,
    operations: &SharedOperations,
    what: CloudAction,
    give_up: impl Fn() -> bool,
) -> Result<String, StoreStep> {
    let Some(epoch) = fencing_token(fleet) else { return Err(StoreStep::Abandon) };
    let order = {
        let mut operations = lock(operations);
        operations.next += 1;
        CloudOrder::new(&fleet.membership.incarnation, epoch, operations.next, what)
    };
    let change = [order.change()];
    loop {
        let Some(under) = fencing_token(fleet) else { return Err(StoreStep::Abandon) };
        let outcome =
            fleet.store.client.compare_and_swap(&order.conditions(under), &change, RequestPriority::Critical).await;
        if outcome == Err(StoreError::Unanswered) {
            lock(operations).late.insert(order.key.clone(), under);
        }
        match order.step_after(&outcome, fencing_token(fleet)) {
            StoreStep::Execute => return Ok(order.key),
            StoreStep::Abandon => return Err(StoreStep::Abandon),
            StoreStep::Retry if give_up() => {
                // It may yet be applied: it is cleaned up like one that was.
                lock(operations).finished.push(order.key);
                return Err(StoreStep::Retry);
            }
            StoreStep::Retry => {
                debug!(?outcome, key = order.key, "storing an order");
                if matches!(outcome, Ok(CompareAndSwapOutcome::Failed(_))) {
                    fleet.store.read_barrier.wait().await;
                    fleet.membership.check_deposed();
                }
                tokio::time::sleep(jitter(RETRY)).await;
            }
        }
    }
}

/// Orders that were carried out are dropped together, behind everything else.
pub(super) async fn tidy(fleet: &Fleet, operations: &SharedOperations) {
    let Some(fencing_token) = fencing_token(fleet) else { return };
    let pressed = lock(operations).due_for_clean_up(fencing_token).len() >= TIDY_PRESSED;
    let urgent = if pressed { RequestPriority::Placement } else { RequestPriority::Background };
    let most = fleet.store.client.writes_ready(urgent).min(fleet.settings.params.state.txn_ops as usize);
    let (keys, clean_up) = {
        let mut operations = lock(operations);
        let keys: Vec<String> = operations.due_for_clean_up(fencing_token).iter().take(most).cloned().collect();
        let clean_up = OrderCleanUp::new(&keys, &operations.late, fencing_token);
        (keys, clean_up)
    };
    if keys.is_empty() {
        return;
    }
    let outcome = tokio::time::timeout(
        TIDY_WITHIN,
        fleet.store.client.compare_and_swap(&clean_up.conditions, &clean_up.changes, urgent),
    )
    .await;
    if matches!(outcome, Ok(Ok(CompareAndSwapOutcome::Applied(_)))) {
        let mut operations = lock(operations);
        operations.cleaned_up(&keys, fencing_token);
        fleet.membership.want_new_fencing_token_for_orders(operations.marks_press());
    }
}
