//! Stored orders: a write-ahead log of the cloud operations that only the leader may carry out. Each order is stored
//! before it is carried out.
//!
//! The cloud does not check fencing tokens, so it cannot reject a call of a leader that was replaced meanwhile.
//! Instead, an order is written by a compare-and-swap on the leader record, so that no replaced leader can store one,
//! and a new leader reads all open orders before it decides anything. The new leader places no work on machines that an
//! open order terminates, and carries out the remaining orders itself under the same request names. These requests are
//! idempotent, so a late call of its predecessor has no further effect (docs/duties.md).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use tracing::error;

use crate::jobs::record::LEADER_RECORD_KEY;
use crate::protocol::cloud::ProvisioningRequest;
use crate::protocol::state::KeyValue;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError};

/// Key prefix of stored orders. Each order has a key of its own.
pub const CLOUD_ORDER_PREFIX: &str = "d/";

/// Maximum number of machines in one provisioning request.
pub const MAX_MACHINES_PER_PROVISIONING: u64 = 50;
/// Maximum number of machines in one termination request.
pub const MAX_MACHINES_PER_TERMINATION: usize = 100;

/// Cloud operation of an order, or the mark that it was carried out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CloudAction {
    /// Provisioning requests for machines of one kind. They are idempotent: the cloud answers repeated requests of the
    /// same name alike.
    #[serde(rename = "rent")]
    Provision(Vec<ProvisioningRequest>),
    /// Names of the machines to terminate.
    #[serde(rename = "return")]
    Terminate(Vec<String>),
    /// The order was carried out. Its key is kept while a write of the order may still be applied, late or once more, so
    /// that such a write cannot store the order again as an open one.
    #[serde(rename = "done")]
    Completed,
}

/// Reason why a stored order cannot be carried out.
#[derive(Debug, thiserror::Error)]
enum InvalidOrder {
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    #[error("machine count of a provisioning request: {0} is not between 1 and {MAX_MACHINES_PER_PROVISIONING}")]
    ProvisionCount(u64),
    #[error("termination order: {0} machines exceed the limit of {MAX_MACHINES_PER_TERMINATION}")]
    TooManyTerminations(usize),
}

impl CloudAction {
    /// Whether the order names several requests or machines, so that smaller orders can do the same.
    fn can_be_split(&self) -> bool {
        match self {
            Self::Provision(requests) => requests.len() > 1,
            Self::Terminate(machines) => machines.len() > 1,
            Self::Completed => false,
        }
    }

    /// Checks that the order exceeds no limit of the cloud's API.
    fn check_limits(&self) -> Result<(), InvalidOrder> {
        match self {
            Self::Provision(requests) => {
                match requests.iter().find(|request| !(1..=MAX_MACHINES_PER_PROVISIONING).contains(&request.count)) {
                    Some(request) => Err(InvalidOrder::ProvisionCount(request.count)),
                    None => Ok(()),
                }
            }
            Self::Terminate(machines) if machines.len() > MAX_MACHINES_PER_TERMINATION => {
                Err(InvalidOrder::TooManyTerminations(machines.len()))
            }
            Self::Terminate(_) | Self::Completed => Ok(()),
        }
    }
}

/// Order for a cloud operation, stored under a unique key.
#[derive(Debug, Clone, PartialEq)]
pub struct CloudOrder {
    /// Key of the order in the store: [`CLOUD_ORDER_PREFIX`] followed by the order's [`unique_name`].
    pub key: String,
    /// Fencing token (version of the leader record) of the leader that created the order.
    pub epoch: u64,
    /// Operation to carry out, or [`CloudAction::Completed`].
    pub action: CloudAction,
}

/// Stored form of an order: the value under its key.
#[derive(Serialize, Deserialize)]
struct StoredOrder {
    epoch: u64,
    #[serde(rename = "what")]
    action: CloudAction,
}

impl StoredOrder {
    /// Decodes an order and checks it against the limits of the cloud's API.
    fn decode(value: &serde_json::Value) -> Result<Self, InvalidOrder> {
        let stored = Self::deserialize(value)?;
        stored.action.check_limits()?;
        Ok(stored)
    }
}

/// Next step of a leader after an attempt to store an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreStep {
    /// The order is stored: carry it out.
    Execute,
    /// The order may not be stored: repeat the write.
    Retry,
    /// The order is too large to be stored: store smaller ones in its place.
    Split,
    /// Another controller leads. If the order was stored, that controller carries it out.
    Abandon,
}

/// Returns the unique name of an order or a provisioning request. A process may lead more than once and numbers its
/// orders and requests from one each time, but never under the same fencing token.
pub fn unique_name(incarnation: &str, fencing_token: u64, number: u64) -> String {
    format!("{incarnation}-{fencing_token}-{number}")
}

impl CloudOrder {
    /// Creates an order with a unique key. `number` must differ from that of every other order and request of this
    /// incarnation and epoch.
    pub fn new(incarnation: &str, epoch: u64, number: u64, action: CloudAction) -> Self {
        Self { key: format!("{CLOUD_ORDER_PREFIX}{}", unique_name(incarnation, epoch, number)), epoch, action }
    }

    /// Returns the conditions of the write that stores the order: the version of the leader record is `fencing_token`,
    /// and the order's key is absent.
    pub fn conditions(&self, fencing_token: u64) -> [Condition; 2] {
        [Condition::at(LEADER_RECORD_KEY, fencing_token), Condition::absent(&self.key)]
    }

    /// Returns the change that stores the order, to be sent with [`Self::conditions`].
    pub fn change(&self) -> Change {
        let stored = StoredOrder { epoch: self.epoch, action: self.action.clone() };
        Change::write(&self.key, serde_json::to_value(stored).unwrap_or_default())
    }

    /// Returns the next step after an attempt to store the order had this outcome. `fencing_token` is the leader's
    /// current one, or `None` if it was deposed.
    pub fn next_step(
        &self,
        outcome: &Result<CompareAndSwapOutcome, StoreError>,
        fencing_token: Option<u64>,
    ) -> StoreStep {
        match (outcome, fencing_token) {
            (_, None) => StoreStep::Abandon,
            (Ok(CompareAndSwapOutcome::Applied(_)), _) => StoreStep::Execute,
            // Only the order's own key is present already: an earlier attempt was applied, and the leader record has
            // not changed since.
            (Ok(CompareAndSwapOutcome::Failed(keys)), _) if !keys.iter().any(|k| k == LEADER_RECORD_KEY) => {
                StoreStep::Execute
            }
            (Err(StoreError::TooLarge(_)), _) if self.action.can_be_split() => StoreStep::Split,
            // The leader record changed: this leader has a newer fencing token, or it does not know yet that another
            // controller leads. An unanswered or refused write is repeated as well.
            _ => StoreStep::Retry,
        }
    }

    /// Decodes a stored order. Logs an error and returns `None` if it cannot be decoded or exceeds a limit of the
    /// cloud's API.
    pub fn from_key_value(item: &KeyValue) -> Option<Self> {
        match StoredOrder::decode(&item.value) {
            Ok(stored) => Some(Self { key: item.path.clone(), epoch: stored.epoch, action: stored.action }),
            Err(error) => {
                error!(
                    key = item.path,
                    %error, "stored cloud order rejected; leaving it in the store and not carrying it out"
                );
                None
            }
        }
    }
}

/// Stored provisioning order.
#[derive(Debug, PartialEq)]
pub struct ProvisioningOrder {
    /// Key of the order.
    pub key: String,
    /// Requests of the order, to be sent again under their own names.
    pub requests: Vec<ProvisioningRequest>,
}

/// Stored termination orders that are carried out by one call to the cloud.
#[derive(Debug, PartialEq)]
pub struct TerminationCall {
    /// Keys of the orders.
    pub keys: Vec<String>,
    /// Names of the machines to terminate.
    pub machines: Vec<String>,
}

/// Stored orders of earlier leaders, grouped into the calls that carry them out.
#[derive(Debug, Default, PartialEq)]
pub struct InheritedOrders {
    /// Provisioning orders, each carried out on its own.
    pub provisioning: Vec<ProvisioningOrder>,
    /// Calls that carry out the termination orders.
    pub terminations: Vec<TerminationCall>,
    /// Keys of orders that were carried out and are still stored.
    pub completed: Vec<String>,
}

impl InheritedOrders {
    /// Groups orders into calls. Termination orders are merged into calls of at most `max_machines` machines; none is
    /// split, since no order exceeds the limit.
    pub fn group(orders: Vec<CloudOrder>, max_machines: usize) -> Self {
        let mut inherited = Self::default();
        for order in orders {
            match order.action {
                CloudAction::Provision(requests) => {
                    inherited.provisioning.push(ProvisioningOrder { key: order.key, requests });
                }
                CloudAction::Terminate(machines) => inherited.add_termination(order.key, machines, max_machines),
                CloudAction::Completed => inherited.completed.push(order.key),
            }
        }
        inherited
    }

    /// Adds a termination order to the last call, or to a new one if it would exceed the limit.
    fn add_termination(&mut self, key: String, machines: Vec<String>, max_machines: usize) {
        match self.terminations.last_mut() {
            Some(last) if last.machines.len() + machines.len() <= max_machines => {
                last.machines.extend(machines);
                last.keys.push(key);
            }
            _ => self.terminations.push(TerminationCall { keys: vec![key], machines }),
        }
    }
}

/// For each order that this leader has written, by the order's key: the fencing token under which the last write was
/// sent.
pub type OrderWriteTokens = HashMap<String, u64>;

/// Compare-and-swap that removes completed orders from the store.
#[derive(Debug)]
pub struct OrderCleanUp {
    /// Condition that the sender is still the leader.
    pub conditions: [Condition; 1],
    /// One change for each order: its deletion, or the mark that it is completed.
    pub changes: Vec<Change>,
}

impl OrderCleanUp {
    /// Creates the write that cleans up the orders with these keys. If an order was written under the current fencing
    /// token and its key were deleted, that write could arrive late, or once more although it was answered, and store
    /// the order again. Such an order is marked as completed instead, and deleted under a later fencing token, whose
    /// conditions the late write fails.
    pub fn new(keys: &[String], write_tokens: &OrderWriteTokens, fencing_token: u64) -> Self {
        let change = |key: &String| {
            if write_tokens.get(key).is_some_and(|write_token| *write_token >= fencing_token) {
                let mark = StoredOrder { epoch: fencing_token, action: CloudAction::Completed };
                Change::write(key, serde_json::to_value(mark).unwrap_or_default())
            } else {
                Change::Drop { drop: key.clone() }
            }
        };
        Self {
            conditions: [Condition::at(LEADER_RECORD_KEY, fencing_token)],
            changes: keys.iter().map(change).collect(),
        }
    }
}

#[cfg(test)]
mod tests;
