//! Cloud operations in progress: what the leader has requested from the cloud, and stored orders to clean up.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard};

use super::manager::Fleet;
use super::scale_out::CapacityRefusals;
use crate::cloud_orders::{UnansweredWrites, unique_name};
use crate::machine_kinds::MachineKind;
use crate::sync::lock;

/// Most orders marked as completed under one fencing token, apart from those of one more clean-up.
pub(super) const MOST_MARKED: usize = 64;

/// What the leader remembers of its cloud operations.
#[derive(Default)]
pub(super) struct CloudOperations {
    /// Kinds that were refused lately.
    pub(super) refusals: CapacityRefusals,
    /// Machines requested and not named by the cloud yet.
    pub(super) requested: HashMap<MachineKind, u64>,
    /// Machines whose termination is in progress.
    pub(super) terminating: HashSet<String>,
    /// The number in the last name that was given to an order or a request.
    last_number: u64,
    /// Keys of orders that were carried out and are still stored.
    pub(super) completed: Vec<String>,
    /// Orders with an unanswered write.
    pub(super) unanswered: UnansweredWrites,
    /// Keys of those among them that are marked as completed, to be deleted under a later fencing token.
    pub(super) marked: Vec<String>,
}

impl CloudOperations {
    /// A number that no other order or request of this incarnation has.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Counts machines as requested.
    pub(super) fn add_requested(&mut self, kind: MachineKind, count: u64) {
        *self.requested.entry(kind).or_default() += count;
    }

    /// Counts machines as requested no longer: the cloud named them, or will not.
    pub(super) fn remove_requested(&mut self, kind: &MachineKind, count: u64) {
        if let Some(requested) = self.requested.get_mut(kind) {
            *requested = requested.saturating_sub(count);
        }
        self.requested.retain(|_, count| *count > 0);
    }

    /// Keys of the orders to clean up under this fencing token, with those marked under an earlier one.
    pub(super) fn orders_to_clean_up(&mut self, fencing_token: u64) -> &[String] {
        let unanswered = &self.unanswered;
        let may_be_deleted = |key: &mut String| unanswered.get(key).is_none_or(|under| *under < fencing_token);
        self.completed.extend(self.marked.extract_if(.., may_be_deleted));
        &self.completed
    }

    /// Whether so many orders are marked that a higher fencing token is needed, under which they can be deleted.
    pub(super) fn needs_higher_fencing_token(&self) -> bool {
        self.marked.len() >= MOST_MARKED
    }

    /// Records that these orders were cleaned up under this fencing token: deleted, or marked as completed.
    pub(super) fn record_clean_up(&mut self, keys: &[String], fencing_token: u64) {
        self.completed.retain(|key| !keys.contains(key));
        for key in keys {
            if self.unanswered.get(key).is_some_and(|under| *under >= fencing_token) {
                self.marked.push(key.clone());
            } else {
                self.unanswered.remove(key);
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
    /// An operator with no operations in progress.
    pub(super) fn new(fleet: Arc<Fleet>) -> Self {
        Self { fleet, operations: Arc::default() }
    }

    /// The operations in progress. Locked after the cluster state where both are needed.
    pub(super) fn operations(&self) -> MutexGuard<'_, CloudOperations> {
        lock(&self.operations)
    }

    /// A name for a request to the cloud that no other request has.
    pub(super) fn unique_request_name(&self, fencing_token: u64, operations: &mut CloudOperations) -> String {
        unique_name(&self.fleet.membership.incarnation, fencing_token, operations.next_number())
    }
}

#[cfg(test)]
mod tests;
