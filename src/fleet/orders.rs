//! Orders to the cloud: what only the owner may have done, stored before it is done.
//!
//! The cloud knows no tokens, so a call of an owner that was replaced meanwhile cannot be refused
//! there. It is made harmless instead: an order is stored on condition of the assignment, so no
//! replaced owner stores one, and a new owner reads those that are open before it decides anything.
//! What is to be returned is then no place for its work, and it carries out the rest itself under
//! the same names, so that a late call of its predecessor finds nothing left to do (docs/duties.md).

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use tracing::error;

use crate::jobs::record::ASSIGNMENT;
use crate::store::{Change, Condition, StoreError, TxnOutcome};
use crate::wire::cloud::Rental;
use crate::wire::state::Item;

/// Open orders, one key each.
pub const ORDERS: &str = "d/";

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum What {
    /// Requests for machines of one kind, under names that the cloud answers alike for ever.
    Rent(Vec<Rental>),
    /// Machines to be returned.
    Return(Vec<String>),
    /// Carried out. Its key is kept while a copy of the order may still be stored by it, which must not
    /// be taken for an order that is open.
    Done,
}

/// One order. Its epoch is the assignment under which it was first meant.
#[derive(Debug, Clone, PartialEq)]
pub struct CloudOrder {
    pub key: String,
    pub epoch: u64,
    pub what: What,
}

#[derive(Serialize, Deserialize)]
struct Stored {
    epoch: u64,
    what: What,
}

/// What an owner does after it tried to store an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// It stands: it may be carried out.
    Act,
    /// Nobody knows yet.
    Again,
    /// Another owner's assignment stands; the order is that one's, if it stands at all.
    Stop,
}

/// A name that nobody has used or will use, for an order or for a rental: a process may own twice and
/// counts from one each time, but never under the same token.
pub fn name(incarnation: &str, token: u64, number: u64) -> String {
    format!("{incarnation}-{token}-{number}")
}

impl CloudOrder {
    pub fn new(incarnation: &str, epoch: u64, number: u64, what: What) -> Self {
        Self { key: format!("{ORDERS}{}", name(incarnation, epoch, number)), epoch, what }
    }

    /// Stored only while this assignment stands, and once.
    pub fn conditions(&self, token: u64) -> [Condition; 2] {
        [Condition::at(ASSIGNMENT, token), Condition::absent(&self.key)]
    }

    pub fn change(&self) -> Change {
        let stored = Stored { epoch: self.epoch, what: self.what.clone() };
        Change::write(&self.key, serde_json::to_value(stored).unwrap_or_default())
    }

    /// `token`: the one that is held now, if any.
    pub fn next(&self, outcome: &Result<TxnOutcome, StoreError>, token: Option<u64>) -> Next {
        match (outcome, token) {
            (_, None) => Next::Stop,
            (Ok(TxnOutcome::Applied(_)), _) => Next::Act,
            // An earlier try did apply, and this assignment still stands.
            (Ok(TxnOutcome::Failed(keys)), _) if !keys.iter().any(|k| k == ASSIGNMENT) => Next::Act,
            // The assignment is another: this owner's own newer one, or one that it has not heard of.
            _ => Next::Again,
        }
    }

    pub fn read(item: &Item) -> Option<Self> {
        match Stored::deserialize(&item.value) {
            Ok(stored) => Some(Self { key: item.path.clone(), epoch: stored.epoch, what: stored.what }),
            Err(problem) => {
                error!(path = item.path, %problem, "an unreadable order in the store");
                None
            }
        }
    }
}

/// Open orders as their heir carries them out: rentals one by one under their names, returns together.
#[derive(Debug, Default, PartialEq)]
pub struct Inherited {
    /// Requests of one order, and its key.
    pub rentals: Vec<(Vec<Rental>, String)>,
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

/// Clean-up of orders that were carried out: only the present owner's. An order of which a try was not
/// answered under this very token (`late`) would be stored once more by that try if its key were free; it
/// is marked as done instead, and dropped under a later token, which no such try gets past.
pub fn clean_up(keys: &[String], late: &HashMap<String, u64>, token: u64) -> ([Condition; 1], Vec<Change>) {
    let change = |key: &String| match late.get(key) {
        Some(under) if *under >= token => {
            Change::write(key, serde_json::to_value(Stored { epoch: token, what: What::Done }).unwrap_or_default())
        }
        _ => Change::Drop { drop: key.clone() },
    };
    ([Condition::at(ASSIGNMENT, token)], keys.iter().map(change).collect())
}

#[cfg(test)]
mod late;

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;

    use hollylanding_emulator::world::store::{Limits, Store};
    use rand::{Rng, SeedableRng, rngs::StdRng};

    use super::*;

    fn failed(keys: &[&str]) -> Result<TxnOutcome, StoreError> {
        Ok(TxnOutcome::Failed(keys.iter().map(|k| (*k).to_owned()).collect()))
    }

    #[test]
    fn what_follows_a_try_by_cases() {
        let order = CloudOrder::new("me", 7, 1, What::Return(vec!["m1".into()]));
        assert_eq!(order.key, "d/me-7-1");
        let cases = [
            ("applied", Ok(TxnOutcome::Applied(9)), Some(7), Next::Act),
            ("applied, and replaced since", Ok(TxnOutcome::Applied(9)), None, Next::Stop),
            ("an earlier copy applied", failed(&["d/me-7-1"]), Some(7), Next::Act),
            ("another assignment", failed(&[ASSIGNMENT]), Some(7), Next::Again),
            ("applied under another assignment", failed(&[ASSIGNMENT, "d/me-7-1"]), Some(8), Next::Again),
            ("another assignment, known", failed(&[ASSIGNMENT]), None, Next::Stop),
            ("not answered", Err(StoreError::Unanswered), Some(7), Next::Again),
            ("refused", Err(StoreError::Unavailable(429)), Some(7), Next::Again),
        ];
        for (name, outcome, token, want) in cases {
            assert_eq!(order.next(&outcome, token), want, "{name}");
        }
        let item = Item { path: order.key.clone(), value: serde_json::json!({"epoch": 7}), stamp: 1 };
        assert_eq!(CloudOrder::read(&item), None, "an order of which half is missing");
    }

    #[test]
    fn what_is_inherited_takes_few_calls() {
        let names = |from: usize, n: usize| (from..from + n).map(|m| format!("m{m}")).collect::<Vec<_>>();
        let sizes = [60, 30, 20, 100, 1];
        let orders = (1..).zip(sizes).map(|(n, size)| CloudOrder::new("me", 7, n, What::Return(names(0, size))));
        let returns = Inherited::of(orders.collect(), 100).returns;
        let sizes: Vec<(usize, usize)> = returns.iter().map(|(names, keys)| (names.len(), keys.len())).collect();
        assert_eq!(sizes, [(90, 2), (20, 1), (100, 1), (1, 1)], "nothing is split, and none over the limit");
    }

    /// A process that owned twice gave its rentals the names of the first time again, and the cloud
    /// answered with the machines of then.
    #[test]
    fn no_name_is_used_twice() {
        let terms = [("a", 3), ("b", 5), ("a", 9)];
        let names: BTreeSet<String> = terms.iter().flat_map(|(i, t)| (1..50).map(|n| name(i, *t, n))).collect();
        assert_eq!(names.len(), terms.len() * 49);
    }

    /// A holder at some step of a return: it may stand still before any of them.
    #[derive(Clone)]
    struct Holder {
        token: u64,
        /// Machines that it takes to be there and not on their way out, and what it has placed.
        fleet: BTreeSet<String>,
        placed: BTreeSet<String>,
        orders: Vec<(CloudOrder, bool)>,
        unanswered: HashMap<String, u64>,
        number: u64,
    }

    /// Holders replace one another at any moment, and any of them may go on later. `fenced`: orders
    /// are stored, and read by the next one. Gives how often a machine was returned by one that no
    /// longer owned while its successor had work on it.
    fn play(seed: u64, fenced: bool) -> usize {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut store = Store::new(Limits::default());
        let mut cloud: BTreeSet<String> = (0..12).map(|n| format!("m{n:02}")).collect();
        let mut holders: Vec<Holder> = Vec::new();
        let (mut late, mut harm): (Vec<(CloudOrder, u64)>, usize) = (Vec::new(), 0);
        for step in 0..400 {
            if holders.is_empty() || rng.random_ratio(1, 25) {
                let write = [Change::write(ASSIGNMENT, serde_json::json!(step))];
                let token = store.apply_if(&[], &write).unwrap();
                let items = store.under(ORDERS).map(|(path, value, stamp)| {
                    CloudOrder::read(&Item { path: path.into(), value: value.clone(), stamp }).unwrap()
                });
                let orders: Vec<(CloudOrder, bool)> = items.filter(|_| fenced).map(|o| (o, true)).collect();
                let leaving: BTreeSet<String> = orders.iter().flat_map(|(o, _)| returned(o)).collect();
                let fleet = cloud.difference(&leaving).cloned().collect();
                let (placed, unanswered) = (BTreeSet::new(), HashMap::new());
                holders.push(Holder { token, fleet, placed, orders, unanswered, number: 0 });
            }
            // The present owner mostly, or one that was replaced and has not heard of it.
            let newest = holders.len() - 1;
            let which = if rng.random_ratio(3, 4) { newest } else { rng.random_range(0..holders.len()) };
            let owns = which == newest;
            let used = holders[newest].placed.clone();
            let holder = &mut holders[which];
            match rng.random_range(0..5) {
                0 => {
                    // Decides to return an empty machine.
                    let free = holder.fleet.iter().find(|m| !holder.placed.contains(*m)).cloned();
                    if let Some(machine) = free {
                        holder.fleet.remove(&machine);
                        holder.number += 1;
                        let what = What::Return(vec![machine]);
                        holder.orders.push((CloudOrder::new("h", holder.token, holder.number, what), false));
                    }
                }
                1 => {
                    // Stores what it has decided; some tries are answered late or never.
                    let open: Vec<usize> = (0..holder.orders.len()).filter(|n| !holder.orders[*n].1).collect();
                    for n in open {
                        let order = holder.orders[n].0.clone();
                        if !fenced {
                            holder.orders[n].1 = true;
                        } else if rng.random_ratio(1, 4) {
                            holder.unanswered.insert(order.key.clone(), holder.token);
                            late.push((order, holder.token));
                        } else {
                            let outcome = store.apply_if(&order.conditions(holder.token), &[order.change()]);
                            let outcome = match outcome {
                                Ok(stamp) => Ok(TxnOutcome::Applied(stamp)),
                                Err(refused) => Ok(TxnOutcome::Failed(refused.failed)),
                            };
                            holder.orders[n].1 = order.next(&outcome, Some(holder.token)) == Next::Act;
                        }
                    }
                }
                2 => {
                    // Carries out what stands.
                    for (order, _) in holder.orders.iter().filter(|(_, stands)| *stands) {
                        for machine in returned(order) {
                            if cloud.remove(&machine) && !owns {
                                harm += usize::from(used.contains(&machine));
                            }
                        }
                    }
                    if owns && fenced {
                        let stands = holder.orders.iter().filter(|(_, stands)| *stands);
                        let keys: Vec<String> = stands.map(|(o, _)| o.key.clone()).collect();
                        let (conditions, changes) = clean_up(&keys, &holder.unanswered, holder.token);
                        store.apply_if(&conditions, &changes).unwrap();
                        holder.orders.retain(|(_, stands)| !stands);
                    }
                }
                3 => {
                    // Places on whatever it takes to be there; only the present owner's placement counts.
                    let n = rng.random_range(0..12);
                    holder.placed.extend(holder.fleet.iter().nth(n).cloned());
                }
                _ => {
                    // A try that was not answered comes late.
                    if let Some((order, token)) = late.pop() {
                        let _ = store.apply_if(&order.conditions(token), &[order.change()]);
                    }
                    // New machines keep the play going.
                    let name = format!("m{:02}-{step}", rng.random_range(0..99));
                    cloud.insert(name.clone());
                    holders[newest].fleet.insert(name);
                }
            }
        }
        harm
    }

    fn returned(order: &CloudOrder) -> Vec<String> {
        match &order.what {
            What::Return(names) => names.clone(),
            What::Rent(_) | What::Done => Vec::new(),
        }
    }

    /// A controller that stood still between asking the store and calling the cloud returned machines on
    /// which its successor had placed work.
    #[test]
    fn a_replaced_holder_returns_nothing_that_its_successor_uses() {
        let harm = |fenced| (0..200).map(|seed| play(seed, fenced)).sum::<usize>();
        assert_eq!(harm(true), 0);
        assert!(harm(false) > 0, "without stored orders the play finds it");
    }
}
