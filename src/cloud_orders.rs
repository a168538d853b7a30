//! Stored orders for cloud operations that only the leader may carry out. Each is stored before it is carried out.
//!
//! The cloud does not check fencing tokens, so it cannot refuse a call of a leader that was replaced meanwhile. Instead,
//! an order is written by a compare-and-swap on the leader record, so that no replaced leader can store one, and a new
//! leader reads all open orders before it decides anything. It places no work on machines that an open order
//! terminates, and it carries out the remaining orders itself under the same names, so that a late call of its
//! predecessor has no further effect (docs/duties.md).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use tracing::error;

use crate::jobs::record::LEADER_RECORD_KEY;
use crate::protocol::cloud::ProvisioningRequest;
use crate::protocol::state::KeyValue;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError};

/// Key prefix of stored orders, one key each.
pub const CLOUD_ORDERS: &str = "d/";

/// Most machines in one provisioning request.
pub const MOST_PER_PROVISIONING: u64 = 50;
/// Most machines in one termination request.
pub const MOST_PER_TERMINATION: usize = 100;

/// What an order asks of the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CloudAction {
    /// Provisioning requests for machines of one kind. The cloud answers a request name alike however often it is sent.
    #[serde(rename = "rent")]
    Provision(Vec<ProvisioningRequest>),
    /// Machines to terminate.
    #[serde(rename = "return")]
    Terminate(Vec<String>),
    /// Carried out. The key is kept while an unanswered write of the order may still be applied, so that such a copy
    /// is not taken for an open order.
    #[serde(rename = "done")]
    Completed,
}

/// Why a stored order cannot be carried out.
#[derive(Debug, thiserror::Error)]
enum InvalidOrder {
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    #[error("count: {0} is not between 1 and {MOST_PER_PROVISIONING}")]
    ProvisionCount(u64),
    #[error("return: {0} machines are more than {MOST_PER_TERMINATION}")]
    TooManyTerminations(usize),
}

impl CloudAction {
    /// Checks the limits of the cloud's calls. A valid order exceeds none of them.
    fn check(&self) -> Result<(), InvalidOrder> {
        match self {
            Self::Provision(requests) => {
                match requests.iter().find(|request| !(1..=MOST_PER_PROVISIONING).contains(&request.count)) {
                    Some(request) => Err(InvalidOrder::ProvisionCount(request.count)),
                    None => Ok(()),
                }
            }
            Self::Terminate(machines) if machines.len() > MOST_PER_TERMINATION => {
                Err(InvalidOrder::TooManyTerminations(machines.len()))
            }
            Self::Terminate(_) | Self::Completed => Ok(()),
        }
    }
}

/// A cloud operation under a unique key.
#[derive(Debug, Clone, PartialEq)]
pub struct CloudOrder {
    /// Its key in the store: [`CLOUD_ORDERS`] followed by the order's [`unique_name`].
    pub key: String,
    /// Version of the leader record (the leader's fencing token) under which the order was made.
    pub epoch: u64,
    /// The operation, or the mark that it was carried out.
    pub action: CloudAction,
}

#[derive(Serialize, Deserialize)]
struct StoredOrder {
    epoch: u64,
    #[serde(rename = "what")]
    action: CloudAction,
}

impl StoredOrder {
    fn decode(value: &serde_json::Value) -> Result<Self, InvalidOrder> {
        let stored = Self::deserialize(value)?;
        stored.action.check()?;
        Ok(stored)
    }
}

/// What a leader does after an attempt to store an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreStep {
    /// The order is stored: carry it out.
    Execute,
    /// The outcome is unknown: store it again.
    Retry,
    /// Another controller leads. If the order was stored, that controller carries it out.
    Abandon,
}

/// A unique name for an order or a provisioning request. A process may lead more than once and counts from one each
/// time, but never under the same fencing token.
pub fn unique_name(incarnation: &str, fencing_token: u64, number: u64) -> String {
    format!("{incarnation}-{fencing_token}-{number}")
}

impl CloudOrder {
    /// An order under a name of its own. `number` must be new among the orders and requests of this incarnation and
    /// epoch.
    pub fn new(incarnation: &str, epoch: u64, number: u64, action: CloudAction) -> Self {
        Self { key: format!("{CLOUD_ORDERS}{}", unique_name(incarnation, epoch, number)), epoch, action }
    }

    /// Conditions of the write that stores the order: the leader record has this version, and the key is absent.
    pub fn conditions(&self, fencing_token: u64) -> [Condition; 2] {
        [Condition::at(LEADER_RECORD_KEY, fencing_token), Condition::absent(&self.key)]
    }

    /// The change that stores the order; to be sent with [`Self::conditions`].
    pub fn change(&self) -> Change {
        let stored = StoredOrder { epoch: self.epoch, action: self.action.clone() };
        Change::write(&self.key, serde_json::to_value(stored).unwrap_or_default())
    }

    /// What follows from the outcome of an attempt to store the order. `fencing_token` is the leader's present one, or
    /// `None` if it was deposed.
    pub fn step_after(
        &self,
        outcome: &Result<CompareAndSwapOutcome, StoreError>,
        fencing_token: Option<u64>,
    ) -> StoreStep {
        match (outcome, fencing_token) {
            (_, None) => StoreStep::Abandon,
            (Ok(CompareAndSwapOutcome::Applied(_)), _) => StoreStep::Execute,
            // An earlier attempt was applied, and the leader record has not changed since.
            (Ok(CompareAndSwapOutcome::Failed(keys)), _) if !keys.iter().any(|k| k == LEADER_RECORD_KEY) => {
                StoreStep::Execute
            }
            // The leader record changed: this leader has a newer one, or another leader's is not known here yet.
            _ => StoreStep::Retry,
        }
    }

    /// Decodes a stored order. `None`, with an error in the log, if it cannot be decoded or exceeds the limits of the
    /// cloud's calls.
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

/// A stored provisioning order.
#[derive(Debug, PartialEq)]
pub struct ProvisioningOrder {
    /// The order's key.
    pub key: String,
    /// Its requests, to be repeated under their own names.
    pub requests: Vec<ProvisioningRequest>,
}

/// Stored termination orders that are carried out in one call.
#[derive(Debug, PartialEq)]
pub struct TerminationCall {
    /// Keys of all orders in it.
    pub keys: Vec<String>,
    /// Machines to terminate.
    pub machines: Vec<String>,
}

/// Stored orders of earlier leaders, grouped into the calls that carry them out.
#[derive(Debug, Default, PartialEq)]
pub struct InheritedOrders {
    /// One entry for each provisioning order.
    pub provisioning: Vec<ProvisioningOrder>,
    /// Termination orders, merged into few calls.
    pub terminations: Vec<TerminationCall>,
    /// Keys of orders that were carried out and are still stored.
    pub completed: Vec<String>,
}

impl InheritedOrders {
    /// Groups orders. No order is split, and a termination call has at most `most` machines, the limit of one order.
    pub fn group(orders: Vec<CloudOrder>, most: usize) -> Self {
        let mut inherited = Self::default();
        for order in orders {
            match order.action {
                CloudAction::Provision(requests) => {
                    inherited.provisioning.push(ProvisioningOrder { key: order.key, requests });
                }
                CloudAction::Terminate(machines) => inherited.add_termination(order.key, machines, most),
                CloudAction::Completed => inherited.completed.push(order.key),
            }
        }
        inherited
    }

    fn add_termination(&mut self, key: String, machines: Vec<String>, most: usize) {
        match self.terminations.last_mut() {
            Some(last) if last.machines.len() + machines.len() <= most => {
                last.machines.extend(machines);
                last.keys.push(key);
            }
            _ => self.terminations.push(TerminationCall { keys: vec![key], machines }),
        }
    }
}

/// The last fencing token under which a write of an order was sent and not answered, by the order's key.
pub type UnansweredWrites = HashMap<String, u64>;

/// The write that removes orders which were carried out.
#[derive(Debug)]
pub struct OrderCleanUp {
    /// Only the present leader cleans up.
    pub conditions: [Condition; 1],
    /// One change for each order.
    pub changes: Vec<Change>,
}

impl OrderCleanUp {
    /// Cleans up the orders with these keys. An order with an unanswered write under this very fencing token could be
    /// stored again by that write if its key were free. It is marked as completed instead, and deleted under a later
    /// fencing token, which no such write gets past.
    pub fn new(keys: &[String], unanswered: &UnansweredWrites, fencing_token: u64) -> Self {
        let change = |key: &String| {
            if unanswered.get(key).is_some_and(|under| *under >= fencing_token) {
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
