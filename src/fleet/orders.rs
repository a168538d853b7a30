//! Orders to the cloud: what only the leader may have done, stored before it is done.
//!
//! The cloud knows no fencing tokens, so a call of a leader that was replaced meanwhile cannot be refused
//! there. It is made harmless instead: an order is stored on condition of the leader record, so no
//! replaced leader stores one, and a new leader reads those that are open before it decides anything.
//! What is to be returned is then no place for its work, and it carries out the rest itself under
//! the same names, so that a late call of its predecessor finds nothing left to do (docs/duties.md).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use tracing::error;

use super::cloud::{MOST_RENTED, MOST_RETURNED};
use crate::jobs::record::LEADER;
use crate::protocol::cloud::ProvisioningRequest;
use crate::protocol::state::KeyValue;
use crate::store::{Change, CompareAndSwapOutcome, Condition, StoreError};

/// Open orders, one key each.
pub const ORDERS: &str = "d/";

/// What an order asks of the cloud.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum What {
    /// Requests for machines of one kind, under names that the cloud answers alike for ever.
    Rent(Vec<ProvisioningRequest>),
    /// Machines to be returned.
    Return(Vec<String>),
    /// Carried out. Its key is kept while a copy of the order may still be stored by it, which must not
    /// be taken for an order that is open.
    Done,
}

impl What {
    /// Whether a controller can have meant it: each call is as large as the cloud takes it.
    fn check(&self) -> Result<(), String> {
        match self {
            Self::Rent(rentals) => match rentals.iter().find(|rental| !(1..=MOST_RENTED).contains(&rental.count)) {
                Some(rental) => Err(format!("count: {} is not between 1 and {MOST_RENTED}", rental.count)),
                None => Ok(()),
            },
            Self::Return(names) if names.len() > MOST_RETURNED => {
                Err(format!("return: {} machines are more than {MOST_RETURNED}", names.len()))
            }
            Self::Return(_) | Self::Done => Ok(()),
        }
    }
}

/// One order. Its epoch is the leader record under which it was first meant.
#[derive(Debug, Clone, PartialEq)]
pub struct CloudOrder {
    /// Its key in the store: [`ORDERS`] followed by the order's unique [`name`].
    pub key: String,
    /// Version of the leader record (the leader's fencing token) under which the order was made.
    pub epoch: u64,
    /// What is to be done, or that it was done.
    pub what: What,
}

#[derive(Serialize, Deserialize)]
struct Stored {
    epoch: u64,
    what: What,
}

/// What a leader does after it tried to store an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// It stands: it may be carried out.
    Act,
    /// Nobody knows yet.
    Again,
    /// Another leader's leader record stands; the order is that one's, if it stands at all.
    Stop,
}

/// A name that nobody has used or will use, for an order or for a rental: a process may lead twice and
/// counts from one each time, but never under the same fencing token.
pub fn name(incarnation: &str, fencing_token: u64, number: u64) -> String {
    format!("{incarnation}-{fencing_token}-{number}")
}

impl CloudOrder {
    /// An order under a name of its own. `number` must be new among the orders and rentals of this incarnation and
    /// epoch.
    pub fn new(incarnation: &str, epoch: u64, number: u64, what: What) -> Self {
        Self { key: format!("{ORDERS}{}", name(incarnation, epoch, number)), epoch, what }
    }

    /// Stored only while this leader record stands, and once.
    pub fn conditions(&self, fencing_token: u64) -> [Condition; 2] {
        [Condition::at(LEADER, fencing_token), Condition::absent(&self.key)]
    }

    /// The change that stores the order; to be sent with [`Self::conditions`].
    pub fn change(&self) -> Change {
        let stored = Stored { epoch: self.epoch, what: self.what.clone() };
        Change::write(&self.key, serde_json::to_value(stored).unwrap_or_default())
    }

    /// `fencing_token`: the one that is held now, if any.
    pub fn next(&self, outcome: &Result<CompareAndSwapOutcome, StoreError>, fencing_token: Option<u64>) -> Next {
        match (outcome, fencing_token) {
            (_, None) => Next::Stop,
            (Ok(CompareAndSwapOutcome::Applied(_)), _) => Next::Act,
            // An earlier try did apply, and this leader record still stands.
            (Ok(CompareAndSwapOutcome::Failed(keys)), _) if !keys.iter().any(|k| k == LEADER) => Next::Act,
            // The leader record is another: this leader's own newer one, or one that it has not heard of.
            _ => Next::Again,
        }
    }

    /// Reads a stored order. None, with an error in the log, if it cannot be read or asks for more than the cloud
    /// takes in one call.
    pub fn read(item: &KeyValue) -> Option<Self> {
        let read = Stored::deserialize(&item.value).map_err(|error| error.to_string());
        match read.and_then(|stored| stored.what.check().map(|()| stored)) {
            Ok(stored) => Some(Self { key: item.path.clone(), epoch: stored.epoch, what: stored.what }),
            Err(problem) => {
                error!(path = item.path, problem, "an order in the store that cannot be carried out; left as it is");
                None
            }
        }
    }
}

/// Open orders as their successor carries them out: rentals one by one under their names, returns together.
#[derive(Debug, Default, PartialEq)]
pub struct Inherited {
    /// Requests of one order, and its key.
    pub rentals: Vec<(Vec<ProvisioningRequest>, String)>,
    /// Machines, and the keys of all orders that name them.
    pub returns: Vec<(Vec<String>, Vec<String>)>,
    /// Orders that were carried out and are still stored.
    pub done: Vec<String>,
}

impl Inherited {
    /// Each order is whole in one call of at most `most` machines, which is what an order holds itself.
    pub fn of(orders: Vec<CloudOrder>, most: usize) -> Self {
        let mut inherited = Self::default();
        for order in orders {
            match order.what {
                What::Rent(rentals) => inherited.rentals.push((rentals, order.key)),
                What::Return(names) => match inherited.returns.last_mut() {
                    Some((all, keys)) if all.len() + names.len() <= most => {
                        all.extend(names);
                        keys.push(order.key);
                    }
                    _ => inherited.returns.push((names, vec![order.key])),
                },
                What::Done => inherited.done.push(order.key),
            }
        }
        inherited
    }
}

/// Clean-up of orders that were carried out: only the present leader's. An order of which a try was not
/// answered under this very fencing token (`late`) would be stored once more by that try if its key were free; it
/// is marked as done instead, and dropped under a later fencing token, which no such try gets past.
pub fn clean_up(keys: &[String], late: &HashMap<String, u64>, fencing_token: u64) -> ([Condition; 1], Vec<Change>) {
    let change = |key: &String| match late.get(key) {
        Some(under) if *under >= fencing_token => Change::write(
            key,
            serde_json::to_value(Stored { epoch: fencing_token, what: What::Done }).unwrap_or_default(),
        ),
        _ => Change::Drop { drop: key.clone() },
    };
    ([Condition::at(LEADER, fencing_token)], keys.iter().map(change).collect())
}

#[cfg(test)]
mod late;

#[cfg(test)]
mod tests;
