//! Cloud operations in progress: machines that the leader has requested or is terminating, and stored orders to clean
//! up.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};

use super::manager::Fleet;
use super::scale_out::CapacityRefusals;
use crate::cloud_orders::{OrderWriteTokens, unique_name};
use crate::machine_kinds::MachineKind;
use crate::sync::lock;

/// Maximum number of orders marked as completed under one fencing token, not counting those of one more clean-up. Once
/// it is reached, a higher fencing token is needed, under which the marked orders can be deleted.
pub(super) const MAX_MARKED_ORDERS: usize = 64;

/// State of the leader's cloud operations.
#[derive(Default)]
pub(super) struct CloudOperations {
    /// Recent refusals for lack of capacity, by machine kind.
    pub(super) refusals: CapacityRefusals,
    /// Number of machines of each kind that were requested and that the cloud has not named yet.
    pub(super) requested: HashMap<MachineKind, u64>,
    /// Names of machines whose termination is in progress.
    pub(super) terminating: HashSet<String>,
    /// Number in the last name of an order or a request.
    last_number: u64,
    /// Keys of orders that were carried out and are still stored.
    pub(super) completed: Vec<String>,
    /// Fencing tokens of the order writes that may still be applied, late or once more.
    pub(super) write_tokens: OrderWriteTokens,
    /// Keys of orders that are marked as completed, to be deleted under a later fencing token.
    pub(super) marked: Vec<String>,
}

impl CloudOperations {
    /// Returns a number that no other order or request of this leader has.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Counts machines of a kind as requested.
    pub(super) fn add_requested(&mut self, kind: MachineKind, count: u64) {
        *self.requested.entry(kind).or_default() += count;
    }

    /// Counts machines of a kind as requested no longer, because the cloud has named them or will not.
    pub(super) fn remove_requested(&mut self, kind: &MachineKind, count: u64) {
        if let Some(requested) = self.requested.get_mut(kind) {
            *requested = requested.saturating_sub(count);
        }
        self.requested.retain(|_, count| *count > 0);
    }

    /// Returns the keys of the orders to clean up under this fencing token, including those marked under an earlier
    /// one.
    pub(super) fn orders_to_clean_up(&mut self, fencing_token: u64) -> &[String] {
        let write_tokens = &self.write_tokens;
        let is_deletable =
            |key: &mut String| write_tokens.get(key).is_none_or(|write_token| *write_token < fencing_token);
        self.completed.extend(self.marked.extract_if(.., is_deletable));
        &self.completed
    }

    /// Whether so many orders are marked that a higher fencing token is needed, under which they can be deleted.
    pub(super) fn needs_higher_fencing_token(&self) -> bool {
        self.marked.len() >= MAX_MARKED_ORDERS
    }

    /// Records that these orders were cleaned up under this fencing token: deleted, or marked as completed.
    pub(super) fn record_clean_up(&mut self, keys: &[String], fencing_token: u64) {
        self.completed.retain(|key| !keys.contains(key));
        for key in keys {
            if self.write_tokens.get(key).is_some_and(|write_token| *write_token >= fencing_token) {
                self.marked.push(key.clone());
            } else {
                self.write_tokens.remove(key);
            }
        }
    }
}

/// Carries out cloud operations for the leader. Clones share their state.
#[derive(Clone)]
pub(super) struct CloudOperator {
    pub(super) fleet: Arc<Fleet>,
    operations: Arc<Mutex<CloudOperations>>,
}

impl CloudOperator {
    /// Creates an operator with no operations in progress.
    pub(super) fn new(fleet: Arc<Fleet>) -> Self {
        Self { fleet, operations: Arc::default() }
    }

    /// Locks and returns the operations in progress. Where the cluster state is needed as well, it is locked first.
    pub(super) fn operations(&self) -> MutexGuard<'_, CloudOperations> {
        lock(&self.operations)
    }

    /// Returns a name that no other request to the cloud has.
    pub(super) fn unique_request_name(&self, fencing_token: u64, operations: &mut CloudOperations) -> String {
        unique_name(&self.fleet.membership.incarnation, fencing_token, operations.next_number())
    }
}

#[cfg(test)]
mod tests;
