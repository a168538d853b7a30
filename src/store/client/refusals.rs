//! Transactions that the state service refuses for their size: what is known to be refused is not sent, and from what is
//! refused the limits are learnt.

use std::time::Instant;

use hyper::Method;
use tracing::warn;

use super::{Change, Condition, REQUEST_TIMEOUT, StateClient, StoreError};
use crate::protocol;
use crate::protocol::state::CompareAndSwap;
use crate::store::budget::RequestPriority;
use crate::store::transaction_limits::{CONDITIONS_PER_CHANGE, MIN_CHANGES, TransactionSize};
use crate::sync::lock;

/// Keys that the comparisons name by which limits are found out. Nothing is ever stored under them.
const PROBE_PREFIX: &str = "probe/";

impl StateClient {
    /// Fails for a transaction that is known to be refused for its size, so that it is not sent.
    pub(super) fn check_size(&self, conditions: &[Condition], changes: &[Change]) -> Result<(), StoreError> {
        if !lock(&self.limits).is_too_large(conditions, changes) {
            return Ok(());
        }
        let size = TransactionSize::of(conditions, changes);
        self.log_too_large(&size, false);
        Err(StoreError::TooLarge(Box::new(size)))
    }

    /// Learns from a transaction that the service has refused for its size, and returns the error for its sender.
    pub(super) async fn record_refusal(&self, conditions: &[Condition], changes: &[Change]) -> StoreError {
        let size = TransactionSize::of(conditions, changes);
        let lowered = self.learn_limits(&size).await;
        self.log_too_large(&size, lowered);
        StoreError::TooLarge(Box::new(size))
    }

    /// Finds out which limit a transaction of this size exceeds, if the known limits do not explain its refusal. Returns
    /// whether a limit was lowered.
    async fn learn_limits(&self, size: &TransactionSize) -> bool {
        let _one_at_a_time = self.probing.lock().await;
        let announced = lock(&self.limits).adopt_announced();
        if !self.limits().admits(size) {
            return announced;
        }
        let needed = size.needed_changes();
        if needed > MIN_CHANGES {
            match self.find_max_changes(needed).await {
                Ok(max_changes) if max_changes < needed => {
                    lock(&self.limits).lower_changes(max_changes);
                    return true;
                }
                Ok(_) => {}
                // Found out at the next refusal.
                Err(_) => return announced,
            }
        }
        lock(&self.limits).lower_value_below(size.largest_value_bytes) || announced
    }

    /// Returns the largest number of changes that the service takes in one transaction, at most `needed`.
    async fn find_max_changes(&self, needed: usize) -> Result<usize, StoreError> {
        if self.admits_changes(needed).await? {
            return Ok(needed);
        }
        let (mut admitted, mut refused) = (MIN_CHANGES, needed);
        while refused - admitted > 1 {
            let between = usize::midpoint(admitted, refused);
            if self.admits_changes(between).await? {
                admitted = between;
            } else {
                refused = between;
            }
        }
        Ok(admitted)
    }

    /// Returns whether the service takes transactions of this many changes, found out without a write: it takes four
    /// conditions for each change, so a comparison with as many is refused where the changes would be.
    async fn admits_changes(&self, changes: usize) -> Result<bool, StoreError> {
        let conditions: Vec<Condition> =
            (0..changes * CONDITIONS_PER_CHANGE).map(|n| Condition::absent(format!("{PROBE_PREFIX}{n}"))).collect();
        let body = protocol::encode(&CompareAndSwap::new(&conditions, &[]));
        match self.call(Method::POST, "/txn", Some(body), REQUEST_TIMEOUT, RequestPriority::Critical).await? {
            (200 | 409, _) => Ok(true),
            (400, _) => Ok(false),
            (status, _) => Err(StoreError::UnexpectedStatus { status, request: "a comparison" }),
        }
    }

    /// Logs a transaction that is too large: always if a limit was lowered because of it, which happens a few times in
    /// the life of a process, and otherwise at the rate of the log limit.
    fn log_too_large(&self, size: &TransactionSize, lowered: bool) {
        if !lock(&self.too_large).due(Instant::now()) && !lowered {
            return;
        }
        let limits = self.limits();
        warn!(
            changes = size.changes,
            conditions = size.conditions,
            key = size.largest_key,
            bytes = size.largest_value_bytes,
            transaction_bytes = size.value_bytes,
            max_changes = limits.max_changes,
            max_conditions = limits.max_conditions(),
            max_bytes = limits.max_value_bytes,
            "transaction too large for the state service; keeping to the limits named here"
        );
    }
}
