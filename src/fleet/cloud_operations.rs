//! The leader's memory of its calls to the cloud: refusals, machines asked for or being returned, and stored orders
//! that are to be cleaned up.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::scale_out::CapacityRefusals;
use crate::machine_kinds::MachineKind;

/// Keys of orders that stay marked as done under one fencing token, and one clean-up more at the most.
pub(super) const MOST_MARKED: usize = 64;

/// What the leader remembers of its dealings with the cloud.
#[derive(Default)]
pub struct CloudOperations {
    /// Kinds that were refused lately.
    pub refusals: CapacityRefusals,
    /// Machines asked for and not yet named.
    pub asked: HashMap<MachineKind, u64>,
    /// Machines whose return is under way.
    pub(super) returning: HashSet<String>,
    /// The number of the last name that was given to an order or a rental.
    pub(super) next: u64,
    /// Orders that were carried out and are still stored.
    pub(super) finished: Vec<String>,
    /// Orders of which a try was not answered, and the last fencing token of such a try.
    pub(super) late: HashMap<String, u64>,
    /// Those among them that are marked as done, to be dropped under a later fencing token.
    pub(super) marked: Vec<String>,
}

impl CloudOperations {
    /// So many machines of a kind were named, or will not be.
    pub(super) fn no_longer_asked(&mut self, kind: &MachineKind, count: u64) {
        if let Some(asked) = self.asked.get_mut(kind) {
            *asked = asked.saturating_sub(count);
        }
        self.asked.retain(|_, n| *n > 0);
    }

    /// What is to be cleaned up under this fencing token: what was marked under an earlier one too.
    pub(super) fn due_for_clean_up(&mut self, fencing_token: u64) -> &[String] {
        let late = &self.late;
        let free = |key: &mut String| late.get(key).is_none_or(|under| *under < fencing_token);
        self.finished.extend(self.marked.extract_if(.., free));
        &self.finished
    }

    /// Whether so many are marked that a higher fencing token is wanted, under which they can be dropped.
    pub(super) fn marks_press(&self) -> bool {
        self.marked.len() >= MOST_MARKED
    }

    /// These were cleaned up under this fencing token.
    pub(super) fn cleaned_up(&mut self, keys: &[String], fencing_token: u64) {
        self.finished.retain(|key| !keys.contains(key));
        for key in keys {
            if self.late.get(key).is_some_and(|under| *under >= fencing_token) {
                self.marked.push(key.clone());
            } else {
                self.late.remove(key);
            }
        }
    }
}

/// The same, shared by what is under way with the cloud.
pub(super) type SharedOperations = Arc<std::sync::Mutex<CloudOperations>>;

#[cfg(test)]
mod tests;
