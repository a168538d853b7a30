//! Storage of orders: writes them before they are carried out, deletes them afterwards, and takes over those of earlier
//! leaders.

use std::time::Duration;

use tracing::{debug, info};

use super::RETRY_DELAY;
use super::cloud_operations::CloudOperator;
use super::provisioning::requested_kind;
use crate::cloud_orders::{
    CloudAction, CloudOrder, InheritedOrders, MAX_MACHINES_PER_TERMINATION, OrderCleanUp, StoreStep,
};
use crate::store::CompareAndSwapOutcome;
use crate::store::budget::RequestPriority;
use crate::sync::jitter;

/// Number of completed orders at which the clean-up gets a higher priority than background requests and no longer waits
/// for an idle moment: a new leader would carry all of them out again.
const URGENT_CLEAN_UP_ORDERS: usize = 12;
/// Timeout of a clean-up write.
const CLEAN_UP_TIMEOUT: Duration = Duration::from_millis(400);

/// Reason why an order was not stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum NotStored {
    /// This controller is no longer the leader.
    #[error("another controller leads")]
    Deposed,
    /// The caller gave up. The write may still be applied, so the order is cleaned up like a completed one.
    #[error("the store did not answer in time")]
    GivenUp,
    /// The order is too large for one value of the store.
    #[error("the order is too large for the store")]
    TooLarge,
}

impl CloudOperator {
    /// Takes the orders of earlier leaders out of the cluster state. From then on they are operations of this leader.
    pub(super) fn take_inherited_orders(&self) -> InheritedOrders {
        let orders = {
            let mut guard = self.fleet.leader.cluster();
            guard.as_mut().map(|cluster| std::mem::take(&mut cluster.inherited_orders)).unwrap_or_default()
        };
        let inherited = InheritedOrders::group(orders, MAX_MACHINES_PER_TERMINATION);
        let mut operations = self.operations();
        for order in &inherited.provisioning {
            info!(key = order.key, count = order.requests.len(), "inherited scale-out order resumed");
            for request in &order.requests {
                operations.add_requested(requested_kind(request), request.count);
            }
        }
        for call in &inherited.terminations {
            info!(orders = call.keys.len(), count = call.machines.len(), "inherited scale-in orders resumed");
            operations.terminating.extend(call.machines.iter().cloned());
        }
        operations.completed.extend(inherited.completed.iter().cloned());
        inherited
    }

    /// Returns the fencing token of this controller, or `None` if it does not lead.
    fn fencing_token(&self) -> Option<u64> {
        self.fleet.leader.cluster().as_ref().map(|cluster| cluster.fencing_token)
    }

    /// Stores an order on condition that the leader record is this leader's, and returns the order's key. Repeats the
    /// write until the order is stored, another controller leads, or `gives_up` returns true after a failed attempt.
    pub(super) async fn store_order(
        &self,
        action: CloudAction,
        gives_up: impl Fn() -> bool,
    ) -> Result<String, NotStored> {
        let fleet = &self.fleet;
        let Some(epoch) = self.fencing_token() else { return Err(NotStored::Deposed) };
        let number = self.operations().next_number();
        let order = CloudOrder::new(&fleet.membership.incarnation, epoch, number, action);
        let change = [order.change()];
        loop {
            let Some(fencing_token) = self.fencing_token() else { return Err(NotStored::Deposed) };
            let conditions = order.conditions(fencing_token);
            self.operations().write_tokens.insert(order.key.clone(), fencing_token);
            let outcome = fleet.store.client.compare_and_swap(&conditions, &change, RequestPriority::Critical).await;
            match order.next_step(&outcome, self.fencing_token()) {
                StoreStep::Execute => return Ok(order.key),
                StoreStep::Abandon => return Err(NotStored::Deposed),
                StoreStep::Split => {
                    // An earlier attempt without an answer may still be applied.
                    self.operations().completed.push(order.key);
                    return Err(NotStored::TooLarge);
                }
                StoreStep::Retry if gives_up() => {
                    self.operations().completed.push(order.key);
                    return Err(NotStored::GivenUp);
                }
                StoreStep::Retry => {
                    debug!(?outcome, key = order.key, "cloud order write failed");
                    if matches!(outcome, Ok(CompareAndSwapOutcome::Failed(_))) {
                        fleet.store.read_barrier.wait_for_proof().await;
                        fleet.membership.check_deposed();
                    }
                    tokio::time::sleep(jitter(RETRY_DELAY)).await;
                }
            }
        }
    }

    /// Cleans up completed orders in one write, with a lower priority than everything else unless there are
    /// [`URGENT_CLEAN_UP_ORDERS`] or more.
    pub(super) async fn clean_up_orders(&self) {
        let Some(fencing_token) = self.fencing_token() else { return };
        let client = &self.fleet.store.client;
        let is_urgent = self.operations().orders_to_clean_up(fencing_token).len() >= URGENT_CLEAN_UP_ORDERS;
        let priority = if is_urgent { RequestPriority::Placement } else { RequestPriority::Background };
        let max_orders = client.available_writes(priority).min(client.changes_at_once());
        let (keys, clean_up) = {
            let mut operations = self.operations();
            let keys: Vec<String> =
                operations.orders_to_clean_up(fencing_token).iter().take(max_orders).cloned().collect();
            let clean_up = OrderCleanUp::new(&keys, &operations.write_tokens, fencing_token);
            (keys, clean_up)
        };
        if keys.is_empty() {
            return;
        }
        let write = client.compare_and_swap(&clean_up.conditions, &clean_up.changes, priority);
        let outcome = tokio::time::timeout(CLEAN_UP_TIMEOUT, write).await;
        if matches!(outcome, Ok(Ok(CompareAndSwapOutcome::Applied(_)))) {
            let mut operations = self.operations();
            operations.record_clean_up(&keys, fencing_token);
            self.fleet.membership.want_new_fencing_token_for_orders(operations.needs_higher_fencing_token());
        }
    }
}
