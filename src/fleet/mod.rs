//! The machines: what the cloud offers, what to rent, what to return.

pub mod cloud;
pub mod drain;
pub mod orders;
pub mod rent;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, info, warn};

use cloud::{CloudError, MOST_RENTED, MOST_RETURNED, Rental};
use orders::{CloudOrder, Inherited, Next, What};
use rent::Refusals;

use crate::kinds::Kind;
use crate::node::Node;
use crate::scheduling::book::Standing;
use crate::scheduling::room::Ground;
use crate::store::budget::Urgent;
use crate::store::{StoreError, TxnOutcome};
use crate::sync::jitter;
use crate::sync::lock;

const CATALOG_EVERY: Duration = Duration::from_secs(60);
const RETRY: Duration = Duration::from_millis(700);
const LIST_EVERY: Duration = Duration::from_secs(5);
const EVERY: Duration = Duration::from_millis(500);
/// Between two looks for what to rent.
const RENT_GAP: Duration = Duration::from_millis(1000);
/// Between two looks for what can be spared.
const DRAIN_GAP: Duration = Duration::from_millis(3000);
const TELL_EVERY: Duration = Duration::from_secs(15);
/// A look rests this many times as long as it took.
const REST: u32 = 8;
/// Rentals of one kind asked for at once, each of up to `MOST_RENTED` machines.
const MOST_RENTALS: u64 = 8;
/// An unanswered rental is asked again under its own name this often before it is let go; what
/// it may still bring is adopted when it reports.
const RENT_TRIES: u32 = 6;
/// So many are too many to wait for an idle moment: a new owner carries them all out once more.
const TIDY_PRESSED: usize = 12;
/// Keys of orders that stay marked as done under one token, and one clean-up more at the most.
const MOST_MARKED: usize = 64;
/// Clean-up of orders gives way after this.
const TIDY_WITHIN: Duration = Duration::from_millis(400);

/// Every controller needs the types to judge submissions.
pub async fn learn_catalog(node: Arc<Node>) {
    loop {
        let pause = match node.cloud.catalog().await {
            Ok(catalog) => {
                let mut held = lock(&node.catalog);
                if held.as_deref() != Some(&catalog) {
                    debug!(types = catalog.types.len(), "catalog");
                    *held = Some(Arc::new(catalog));
                }
                drop(held);
                node.wake.plan.notify_one();
                CATALOG_EVERY
            }
            Err(error) => {
                debug!(%error, "asking for the catalog");
                RETRY
            }
        };
        node.tidy_counts();
        node.tell_held();
        tokio::time::sleep(jitter(pause)).await;
    }
}

/// What the owner remembers of its dealings with the cloud.
#[derive(Default)]
pub struct Dealings {
    pub refusals: Refusals,
    /// Machines asked for and not yet named.
    pub asked: HashMap<Kind, u64>,
    returning: HashSet<String>,
    next: u64,
    /// Orders that were carried out and are still stored.
    finished: Vec<String>,
    /// Orders of which a try was not answered, and the last token of such a try.
    late: HashMap<String, u64>,
    /// Those among them that are marked as done, to be dropped under a later token.
    marked: Vec<String>,
}

impl Dealings {
    fn no_longer_asked(&mut self, kind: &Kind, count: u64) {
        if let Some(asked) = self.asked.get_mut(kind) {
            *asked = asked.saturating_sub(count);
        }
        self.asked.retain(|_, n| *n > 0);
    }

    /// What is to be cleaned up under this token: what was marked under an earlier one too.
    fn due_for_clean_up(&mut self, token: u64) -> &[String] {
        let late = &self.late;
        let free = |key: &mut String| late.get(key).is_none_or(|under| *under < token);
        self.finished.extend(self.marked.extract_if(.., free));
        &self.finished
    }

    /// Whether so many are marked that a higher token is wanted, under which they can be dropped.
    fn marks_press(&self) -> bool {
        self.marked.len() >= MOST_MARKED
    }

    /// These were cleaned up under this token.
    fn cleaned_up(&mut self, keys: &[String], token: u64) {
        self.finished.retain(|key| !keys.contains(key));
        for key in keys {
            if self.late.get(key).is_some_and(|under| *under >= token) {
                self.marked.push(key.clone());
            } else {
                self.late.remove(key);
            }
        }
    }
}

type Shared = Arc<std::sync::Mutex<Dealings>>;

pub async fn run(node: Arc<Node>) {
    let dealings = Shared::default();
    let (mut listed, mut told, mut drained) = (None::<Instant>, None::<Instant>, Instant::now());
    let (mut renting, mut returning) = (tokio::task::JoinSet::new(), tokio::task::JoinSet::new());
    let mut tidying = tokio::task::JoinSet::new();
    loop {
        let _ = tokio::time::timeout(EVERY, node.wake.fleet.notified()).await;
        if node.unproven() || !lock(&node.book).as_ref().is_some_and(|b| b.loaded) {
            continue;
        }
        if listed.is_none_or(|at| at.elapsed() >= LIST_EVERY) {
            listed = Some(Instant::now());
            match node.cloud.list().await {
                Ok(machines) => take_list(&node, machines),
                Err(error) => debug!(%error, "listing machines"),
            }
        }
        while renting.try_join_next().is_some() {}
        while returning.try_join_next().is_some() {}
        let begun = Instant::now();
        if drained.elapsed() >= DRAIN_GAP {
            drain_some(&node);
            drained = Instant::now();
            if told.is_none_or(|at| at.elapsed() >= TELL_EVERY) && tracing::enabled!(tracing::Level::DEBUG) {
                told = Some(Instant::now());
                tell_fleet(&node);
            }
        }
        let inherited = inherited(&node, &dealings);
        for (rentals, key) in inherited.rentals {
            renting.spawn(carry_out(node.clone(), dealings.clone(), rentals, key));
        }
        for (names, keys) in inherited.returns {
            returning.spawn(give_back(node.clone(), dealings.clone(), names, keys));
        }
        for rentals in decide(&node, &dealings) {
            renting.spawn(rent(node.clone(), dealings.clone(), rentals));
        }
        for names in to_return(&node, &dealings) {
            returning.spawn(return_all(node.clone(), dealings.clone(), names));
        }
        while tidying.try_join_next().is_some() {}
        if tidying.is_empty() {
            let (node, dealings) = (node.clone(), dealings.clone());
            tidying.spawn(async move { tidy(&node, &dealings).await });
        }
        tokio::time::sleep(RENT_GAP.max(begun.elapsed() * REST)).await;
    }
}

fn take_list(node: &Node, machines: Vec<cloud::Listed>) {
    let now = Instant::now();
    let mut held = lock(&node.book);
    let Some(book) = held.as_mut() else { return };
    for machine in machines {
        let age = Duration::try_from_secs_f64(machine.held_s).unwrap_or_default();
        let kind = Kind { type_name: machine.type_name, zone: machine.zone, spot: machine.spot };
        book.expect(&machine.id, &kind, machine.addr.as_deref(), age, now);
        match machine.state.as_str() {
            "failed" => book.condemn(&machine.id, "failed by the cloud's word"),
            "running" => book.listed_up(&machine.id, now),
            _ => {}
        }
    }
    node.wake.dispatch.notify_one();
}

/// What is held of each kind and how full it is, for whoever looks at costs.
fn tell_fleet(node: &Node) {
    let (Some(catalog), held) = (node.catalog(), lock(&node.book)) else { return };
    let Some(book) = held.as_ref() else { return };
    let ground = Ground::new(book, &catalog);
    let mut held_of = BTreeMap::<usize, (u32, u32, u32, u32, f64, f64)>::new();
    for machine in book.machines.values() {
        let Some(room) = ground.room(machine) else { continue };
        let of = held_of.entry(room.kind).or_default();
        match machine.standing {
            Standing::Booting => of.0 += 1,
            Standing::Up => of.1 += 1,
            Standing::Draining | Standing::Condemned => of.2 += 1,
        }
        if machine.standing != Standing::Booting {
            of.3 += u32::from(machine.bound.is_empty());
            of.4 += machine.taken().cpus / room.of.cpus;
            of.5 += if room.of.gpus > 0.0 { machine.taken().gpus / room.of.gpus } else { 0.0 };
        }
    }
    for (kind, (booting, up, leaving, empty, cpus, gpus)) in held_of {
        let n = f64::from((up + leaving).max(1));
        let (cpus_used, gpus_used) = ((100.0 * cpus / n).round(), (100.0 * gpus / n).round());
        let kind = &book.kinds()[kind];
        debug!(%kind, booting, up, leaving, empty, cpus_used, gpus_used, "fleet");
    }
}

fn drain_some(node: &Node) {
    let now = Instant::now();
    let Some(catalog) = node.catalog() else { return };
    let mut held = lock(&node.book);
    let Some(book) = held.as_mut() else { return };
    for (id, why) in rent::to_give_up(book, &catalog, now) {
        book.condemn(&id, why);
    }
    let chosen = drain::choose(book, &catalog, now);
    if chosen.is_empty() {
        return;
    }
    for drain in chosen {
        book.drain(&drain.machine, &drain.moves, now);
    }
    book.tick(now);
    node.wake.dispatch.notify_one();
}

/// What to rent, the requests of each kind together.
fn decide(node: &Node, dealings: &Shared) -> Vec<Vec<Rental>> {
    let now = Instant::now();
    let Some(catalog) = node.catalog() else { return Vec::new() };
    let held = lock(&node.book);
    let Some(book) = held.as_ref() else { return Vec::new() };
    let mut dealings = lock(dealings);
    dealings.refusals.holds(&rent::held_by_kind(book));
    let wanted = rent::plan(book, &catalog, &dealings.refusals, &dealings.asked, now);
    let mut rentals = Vec::new();
    for (kind, count) in wanted {
        let mut left = count.min(MOST_RENTALS * MOST_RENTED);
        *dealings.asked.entry(kind.clone()).or_default() += left;
        let mut of_kind = Vec::new();
        while left > 0 {
            let count = left.min(MOST_RENTED);
            left -= count;
            dealings.next += 1;
            of_kind.push(Rental {
                request: orders::name(&node.incarnation, book.token, dealings.next),
                type_name: kind.type_name.clone(),
                zone: kind.zone.clone(),
                spot: kind.spot,
                count,
            });
        }
        rentals.push(of_kind);
    }
    rentals
}

/// What an earlier owner has left, once; from here on it is this owner's.
fn inherited(node: &Node, dealings: &Shared) -> Inherited {
    let orders = lock(&node.book).as_mut().map(|b| std::mem::take(&mut b.inherited)).unwrap_or_default();
    let inherited = Inherited::of(orders, MOST_RETURNED);
    let mut dealings = lock(dealings);
    for (rentals, key) in &inherited.rentals {
        info!(key, rentals = rentals.len(), "an order to rent is taken over");
        for rental in rentals {
            *dealings.asked.entry(kind_of(rental)).or_default() += rental.count;
        }
    }
    for (names, keys) in &inherited.returns {
        info!(orders = keys.len(), machines = names.len(), "orders to return are taken over");
        dealings.returning.extend(names.iter().cloned());
    }
    dealings.finished.extend(inherited.done.iter().cloned());
    inherited
}

fn token(node: &Node) -> Option<u64> {
    lock(&node.book).as_ref().map(|b| b.token)
}

/// Stores an order under this owner's assignment; its key, once it stands. None where another owns
/// by now, or where `give_up` says that it can't wait any longer.
async fn store(node: &Node, dealings: &Shared, what: What, give_up: impl Fn() -> bool) -> Result<String, Next> {
    let Some(epoch) = token(node) else { return Err(Next::Stop) };
    let order = {
        let mut dealings = lock(dealings);
        dealings.next += 1;
        CloudOrder::new(&node.incarnation, epoch, dealings.next, what)
    };
    let change = [order.change()];
    loop {
        let Some(under) = token(node) else { return Err(Next::Stop) };
        let outcome = node.store.txn(&order.conditions(under), &change, Urgent::First).await;
        if outcome == Err(StoreError::Unanswered) {
            lock(dealings).late.insert(order.key.clone(), under);
        }
        match order.next(&outcome, token(node)) {
            Next::Act => return Ok(order.key),
            Next::Stop => return Err(Next::Stop),
            Next::Again if give_up() => {
                // It may yet be applied: it is cleaned up like one that was.
                lock(dealings).finished.push(order.key);
                return Err(Next::Again);
            }
            Next::Again => {
                debug!(?outcome, key = order.key, "storing an order");
                if matches!(outcome, Ok(TxnOutcome::Failed(_))) {
                    node.fresh.wait().await;
                    node.check_deposed();
                }
                tokio::time::sleep(jitter(RETRY)).await;
            }
        }
    }
}

/// Orders that were carried out are dropped together, behind everything else.
async fn tidy(node: &Node, dealings: &Shared) {
    let Some(token) = token(node) else { return };
    let pressed = lock(dealings).due_for_clean_up(token).len() >= TIDY_PRESSED;
    let urgent = if pressed { Urgent::Second } else { Urgent::Last };
    let most = node.store.writes_ready(urgent).min(node.settings.params.state.txn_ops as usize);
    let (keys, (conditions, changes)) = {
        let mut dealings = lock(dealings);
        let keys: Vec<String> = dealings.due_for_clean_up(token).iter().take(most).cloned().collect();
        let sent = orders::clean_up(&keys, &dealings.late, token);
        (keys, sent)
    };
    if keys.is_empty() {
        return;
    }
    let outcome = tokio::time::timeout(TIDY_WITHIN, node.store.txn(&conditions, &changes, urgent)).await;
    if matches!(outcome, Ok(Ok(TxnOutcome::Applied(_)))) {
        let mut dealings = lock(dealings);
        dealings.cleaned_up(&keys, token);
        node.press_marks(dealings.marks_press());
    }
}

/// The requests of one kind, stored before the first is made.
async fn rent(node: Arc<Node>, dealings: Shared, rentals: Vec<Rental>) {
    match store(&node, &dealings, What::Rent(rentals.clone()), || false).await {
        Ok(key) => carry_out(node, dealings, rentals, key).await,
        Err(_) => {
            let mut dealings = lock(&dealings);
            for rental in &rentals {
                dealings.no_longer_asked(&kind_of(rental), rental.count);
            }
        }
    }
}

/// One after another: once one was not filled, the rest would only use up the cloud's calls.
async fn carry_out(node: Arc<Node>, dealings: Shared, rentals: Vec<Rental>, key: String) {
    let mut rentals = rentals.into_iter();
    for rental in rentals.by_ref() {
        if !carry_out_one(&node, &dealings, rental).await {
            break;
        }
    }
    let mut dealings = lock(&dealings);
    for rental in rentals {
        dealings.no_longer_asked(&kind_of(&rental), rental.count);
    }
    dealings.finished.push(key);
}

fn kind_of(rental: &Rental) -> Kind {
    Kind { type_name: rental.type_name.clone(), zone: rental.zone.clone(), spot: rental.spot }
}

/// Whether it was filled.
async fn carry_out_one(node: &Node, dealings: &Shared, rental: Rental) -> bool {
    let kind = kind_of(&rental);
    let mut outcome = Err(CloudError::Unanswered);
    for _ in 0..RENT_TRIES {
        outcome = node.cloud.rent(&rental).await;
        match &outcome {
            Ok(_) | Err(CloudError::NoCapacity) => break,
            Err(error) => debug!(%error, request = rental.request, "renting"),
        }
        tokio::time::sleep(jitter(RETRY)).await;
    }
    let now = Instant::now();
    let rented = match outcome {
        Ok(names) => names,
        Err(CloudError::NoCapacity) => Vec::new(),
        Err(error) => {
            warn!(%error, request = rental.request, "a rental is let go");
            Vec::new()
        }
    };
    let short = (rented.len() as u64) < rental.count;
    info!(kind = %kind, asked = rental.count, got = rented.len(), "rented");
    {
        let mut held = lock(&node.book);
        if let Some(book) = held.as_mut() {
            for name in &rented {
                book.expect(name, &kind, None, Duration::ZERO, now);
            }
        }
    }
    let mut dealings = lock(dealings);
    dealings.no_longer_asked(&kind, rental.count);
    if short {
        dealings.refusals.note(kind, node.properties.refusal, now);
    } else {
        dealings.refusals.clear(&kind);
    }
    node.wake.fleet.notify_one();
    !short
}

fn to_return(node: &Node, dealings: &Shared) -> Vec<Vec<String>> {
    let held = lock(&node.book);
    let Some(book) = held.as_ref() else { return Vec::new() };
    let mut dealings = lock(dealings);
    let names: Vec<String> = book
        .machines
        .values()
        .filter(|m| m.standing == Standing::Condemned && !dealings.returning.contains(&*m.id))
        .map(|m| m.id.to_string())
        .collect();
    dealings.returning.extend(names.iter().cloned());
    // What is urgent goes by itself, so that it takes nothing else along.
    let overdue = book.overdue(Instant::now());
    let (urgent, rest): (Vec<String>, Vec<String>) = names.into_iter().partition(|n| overdue.contains(n.as_str()));
    urgent.chunks(MOST_RETURNED).chain(rest.chunks(MOST_RETURNED)).map(<[String]>::to_vec).collect()
}

/// Returns machines once the order for it is stored. A controller that was deposed without knowing, as
/// after standing still, stores none; one that stands still between the two returns what its
/// successor has read to be returned. Only what a withdrawal makes urgent goes without where the store
/// does not answer, since too late would be worse than too much.
async fn return_all(node: Arc<Node>, dealings: Shared, names: Vec<String>) {
    let urgent = || {
        let overdue = lock(&node.book).as_ref().map(|b| b.overdue(Instant::now())).unwrap_or_default();
        names.iter().any(|n| overdue.contains(n.as_str()))
    };
    match store(&node, &dealings, What::Return(names.clone()), urgent).await {
        Ok(key) => give_back(node.clone(), dealings, names.clone(), vec![key]).await,
        Err(Next::Again) => give_back(node.clone(), dealings, names.clone(), Vec::new()).await,
        Err(_) => {}
    }
}

/// Asked again until answered: only the answer proves that the machines and all on them are gone.
async fn give_back(node: Arc<Node>, dealings: Shared, names: Vec<String>, keys: Vec<String>) {
    if lock(&node.book).is_none() {
        return;
    }
    while let Err(error) = node.cloud.give_back(names.clone()).await {
        debug!(%error, "returning machines");
        tokio::time::sleep(jitter(RETRY)).await;
    }
    let now = Instant::now();
    if let Some(book) = lock(&node.book).as_mut() {
        for name in &names {
            book.machine_gone(&name.as_str().into(), now);
        }
    }
    let mut dealings = lock(&dealings);
    for name in &names {
        dealings.returning.remove(name);
    }
    dealings.finished.extend(keys);
    node.wake.plan.notify_one();
}
