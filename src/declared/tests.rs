//! Seeded interleavings of operators, owners and the store: the real mirror, shelf and driver, with a
//! kind that only counts up to what its spec says. Transactions come late, twice or unanswered, owners
//! are replaced and go on without knowing, and stand still between any two of looked, sent and answered.

use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Waker};
use std::time::Instant;

use hollylanding_emulator::world::store::{Limits, Store};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tracing::Level;

use super::driver::{Driver, Ended, Write, changes, conditions};
use super::operator::{Known, transaction};
use super::records::{OPERATORS, spec_key, status_key};
use super::run::{Hands, run};
use super::table::Entry;
use super::{Declared, Kind, Names, Problem, View};
use crate::jobs::record::{ASSIGNMENT, MIRRORED, MIRRORED_AFTER};
use crate::scheduling::Book;
use crate::scheduling::wishes::Wishes;
use crate::settings::Properties;
use crate::settings::tests::example;
use crate::store::budget::Urgent;
use crate::store::client::Page;
use crate::store::mirror::{Loading, Mirror};
use crate::store::{Change, Condition, StoreError, TxnOutcome};

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Goal {
    pub goal: u64,
}

/// How far it has come, and under which token.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counted {
    pub at: u64,
    pub by: u64,
}

/// Counts up to its goal, and asks for as much as is stored: jobs named after it are not to be placed.
pub struct Toy<const OF: usize>;

impl<const OF: usize> Declared for Toy<OF> {
    const KIND: Kind = Kind::ALL[OF];
    type Spec = Goal;
    type Status = Counted;

    fn check(spec: &Goal, _: &Names) -> Result<(), Problem> {
        if spec.goal > 0 { Ok(()) } else { Err(Problem::new("goal", "0 is nothing to count to")) }
    }
    fn step(_: &str, spec: &Goal, status: &Counted, view: &View) -> Option<Counted> {
        (status.at < spec.goal).then_some(Counted { at: status.at + 1, by: view.epoch })
    }
    fn wish(name: &str, _: &Goal, status: &Counted, _: &View, wishes: &mut Wishes) {
        wishes.not_yet.insert(format!("{name}-{}", status.at).as_str().into());
    }
    fn tell(_: &str, spec: &Goal, status: &Counted, _: u64) -> Vec<String> {
        vec![format!("{} of {}", status.at, spec.goal)]
    }
    fn news(name: &str, _: &Counted, after: &Counted) -> Vec<(Level, String)> {
        vec![(Level::INFO, format!("{name} {} {}", after.at, after.by))]
    }
}

/// Another kind by the same rules, which wants a change each time it is asked.
pub struct Restless;

impl Declared for Restless {
    const KIND: Kind = Kind::Rollout;
    type Spec = Goal;
    type Status = Counted;

    fn check(_: &Goal, _: &Names) -> Result<(), Problem> {
        Ok(())
    }
    fn step(_: &str, _: &Goal, status: &Counted, view: &View) -> Option<Counted> {
        Some(Counted { at: status.at + 1, by: view.epoch })
    }
    fn wish(_: &str, _: &Goal, _: &Counted, _: &View, _: &mut Wishes) {}
    fn tell(_: &str, _: &Goal, _: &Counted, _: u64) -> Vec<String> {
        Vec::new()
    }
    fn news(_: &str, _: &Counted, _: &Counted) -> Vec<(Level, String)> {
        Vec::new()
    }
}

type Heat = Toy<1>;

static TOYS: [Entry; 1] = [Entry::of::<Heat>()];
static BOTH: [Entry; 2] = [Entry::of::<Restless>(), Entry::of::<Heat>()];
static ALL: [Entry; 4] = [Entry::of::<Toy<0>>(), Entry::of::<Heat>(), Entry::of::<Toy<2>>(), Entry::of::<Toy<3>>()];

/// What the play leaves out of each transaction's conditions.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Without {
    Nothing,
    Assignment,
    Spec,
    Status,
    Operators,
}

struct Controller {
    mirror: Mirror,
    loading: Option<(Loading, String)>,
    owner: Option<(Book, Driver)>,
    /// Decided, and not sent yet.
    decided: Option<(Vec<Write>, u64)>,
    /// Every line, once.
    told: HashMap<String, usize>,
}

type Sent = (Vec<Condition>, Vec<Change>);

struct Play {
    rng: StdRng,
    store: Store,
    controllers: Vec<Controller>,
    late: Vec<Sent>,
    without: Without,
    /// How far each name has come in the store, and every line that is owed for it.
    stored: BTreeMap<String, u64>,
    lines: Vec<String>,
    broken: Vec<String>,
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

impl Play {
    fn new(seed: u64, without: Without) -> Self {
        let none = || Controller {
            mirror: Mirror::default(),
            loading: None,
            owner: None,
            decided: None,
            told: HashMap::new(),
        };
        let mut store = Store::new(Limits::default());
        // Read whole before anything is declared: a first reading tells nothing.
        store.apply_if(&[], &[Change::write("c/upgraded", json!({"old_kept": false}))]).unwrap();
        let mut play = Self {
            rng: StdRng::seed_from_u64(seed),
            store,
            controllers: (0..3).map(|_| none()).collect(),
            late: Vec::new(),
            without,
            stored: BTreeMap::new(),
            lines: Vec::new(),
            broken: Vec::new(),
        };
        for at in 0..3 {
            play.follow(at, true);
        }
        play.assign(0);
        play
    }

    /// The mirror follows, a page or an answer at a time, or is read anew.
    fn follow(&mut self, at: usize, whole: bool) {
        let controller = &mut self.controllers[at];
        loop {
            if let Some((mut loading, since)) = controller.loading.take() {
                let page = self.store.page(MIRRORED, &since, 3);
                controller.mirror.take_page(&mut loading, &page);
                if page.more {
                    let since = page.items.last().map_or(since, |i| i.path.clone());
                    controller.loading = Some((loading, since));
                } else {
                    controller.mirror.loaded(loading);
                }
            } else if let Some(revision) = controller.mirror.asking() {
                match self.store.follow(MIRRORED, revision) {
                    Ok(followed) => drop(controller.mirror.apply(&followed)),
                    Err(_) => controller.mirror.ready = false,
                }
                if controller.mirror.ready {
                    return;
                }
            } else {
                controller.loading = Some((controller.mirror.load(), MIRRORED_AFTER.to_owned()));
            }
            if !whole {
                return;
            }
        }
    }

    /// Another owns, or the same one under a newer token. Who owned before goes on.
    fn assign(&mut self, at: usize) {
        let token = self.store.apply_if(&[], &[Change::write(ASSIGNMENT, json!(at))]).unwrap();
        // A new owner proves its mirror fresh before it decides.
        self.follow(at, true);
        let mut book = Book::new(token, example(), Properties::default(), Instant::now());
        book.loaded = true;
        self.controllers[at].owner = Some((book, Driver::new(&TOYS)));
        self.controllers[at].decided = None;
    }

    fn look(&mut self, at: usize) {
        let controller = &mut self.controllers[at];
        let Some((book, driver)) = controller.owner.as_mut() else { return };
        let looked = driver.look(book, &mut controller.mirror, &|_| None, Instant::now(), 0);
        for (_, line) in looked.news {
            *controller.told.entry(line).or_default() += 1;
        }
        // What is asked for is what this controller's mirror has, never what is only decided.
        let shelf = controller.mirror.shelf();
        for (name, _, _) in shelf.specs::<Heat>().filter(|_| controller.mirror.ready) {
            let at = shelf.status::<Heat>(name).map_or(0, |(status, _)| status.at);
            assert!(book.wishes.not_yet.contains(format!("{name}-{at}").as_str()), "asks for what is not stored");
        }
        if !looked.writes.is_empty() {
            driver.sent(&looked.writes);
            controller.decided = Some((looked.writes, looked.token));
        }
    }

    fn send(&mut self, at: usize) {
        let Some((writes, token)) = self.controllers[at].decided.take() else { return };
        assert!(writes.len() <= 2);
        let left_out = |c: &Condition| match self.without {
            Without::Nothing => false,
            Without::Assignment => c.path == ASSIGNMENT,
            Without::Spec => c.path.starts_with("c/s/"),
            Without::Status => c.path.starts_with("c/t/"),
            Without::Operators => false,
        };
        let conditions = conditions(&writes, token).into_iter().filter(|c| !left_out(c)).collect();
        let sent: Sent = (conditions, changes(&writes));
        let (twice, lost) = (self.rng.random_ratio(1, 4), self.rng.random_ratio(1, 4));
        if twice || lost {
            self.late.push(sent.clone());
        }
        if lost {
            return;
        }
        let revision = self.apply(&sent);
        if let (Some(revision), Some((_, driver))) = (revision, self.controllers[at].owner.as_mut())
            && self.rng.random_ratio(3, 4)
        {
            driver.stored(revision);
        }
    }

    /// Every rule that the store can show broken.
    fn apply(&mut self, sent: &Sent) -> Option<u64> {
        if sent.1.iter().any(|change| matches!(change, Change::Write { write, .. } if write == OPERATORS)) {
            if self.store.apply_if(&sent.0, &sent.1).is_ok() {
                self.broken.push(format!("written again: {:?}", sent.1));
            }
            return None;
        }
        let before: Vec<bool> = NAMES.map(|name| self.store.has(&spec_key(Kind::Heat, name))).into();
        let token = self.store.stamp(ASSIGNMENT);
        let revision = self.store.apply_if(&sent.0, &sent.1).ok()?;
        for change in &sent.1 {
            match change {
                Change::Write { write, value, .. } => {
                    let name = write.rsplit('/').next().unwrap();
                    let status: Counted = serde_json::from_value(value.clone()).unwrap();
                    if status.by != token {
                        self.broken.push(format!("{name}: by {} and not {token}", status.by));
                    }
                    if !before[NAMES.iter().position(|n| *n == name).unwrap()] {
                        self.broken.push(format!("{name}: no spec"));
                    }
                    let was = self.stored.insert(name.to_owned(), status.at).unwrap_or(0);
                    if status.at != was + 1 {
                        self.broken.push(format!("{name}: {} after {was}", status.at));
                    }
                    self.lines.push(format!("{name} {} {}", status.at, status.by));
                }
                Change::Drop { drop } => {
                    let name = drop.rsplit('/').next().unwrap();
                    if before[NAMES.iter().position(|n| *n == name).unwrap()] {
                        self.broken.push(format!("{name}: dropped while declared"));
                    }
                    self.stored.remove(name);
                }
            }
        }
        Some(revision)
    }

    /// Operators write as the command line does; copies of what they wrote come late, too.
    fn operate(&mut self) {
        let name = NAMES[self.rng.random_range(0..NAMES.len())].to_owned();
        let mut known = Known { operators: self.store.stamp(OPERATORS), ..Known::default() };
        for prefix in ["c/s/heat/", "c/t/heat/"] {
            self.store.page(prefix, "", usize::MAX).items.into_iter().for_each(|item| known.take(item));
        }
        let stands = self.store.has(&spec_key(Kind::Heat, &name));
        let goal = self.stored.get(&name).copied().unwrap_or(0) + self.rng.random_range(1..4);
        let value = if stands && self.rng.random_ratio(1, 3) { None } else { Some(json!({"goal": goal})) };
        let mine = json!(self.rng.random::<u64>());
        let (mut conditions, changes) = transaction(Kind::Heat, &known, &[(name, value)], &mine);
        conditions.retain(|c| self.without != Without::Operators || c.path != OPERATORS);
        if self.store.apply_if(&conditions, &changes).is_ok() && self.rng.random_ratio(1, 3) {
            self.late.push((conditions, changes));
        }
    }

    fn step(&mut self) {
        let at = self.rng.random_range(0..3);
        match self.rng.random_range(0..20) {
            0 => self.assign(at),
            1..4 => self.operate(),
            4..9 => self.follow(at, false),
            9..14 => self.look(at),
            14..18 => self.send(at),
            18 if !self.late.is_empty() => {
                let n = self.rng.random_range(0..self.late.len());
                let sent = self.late.swap_remove(n);
                self.apply(&sent);
            }
            _ if self.rng.random_ratio(1, 10) => self.store.forget_log(),
            _ => {}
        }
    }

    /// The last owner goes on alone, and late copies come all the same.
    fn settle(&mut self) {
        self.assign(0);
        for _ in 0..60 {
            self.follow(0, true);
            self.look(0);
            self.send(0);
            if let Some(sent) = self.late.pop() {
                self.apply(&sent);
            }
        }
        self.follow(0, true);
        self.look(0);
    }
}

fn play(seed: u64, without: Without) -> Play {
    let mut play = Play::new(seed, without);
    for _ in 0..250 {
        play.step();
    }
    play.settle();
    play
}

/// A status is written by who owns, from the spec and the status as they stand, and counts on by one
/// each time; every change is told, and by nobody twice; all of it goes on to its end.
#[test]
fn owners_come_and_go_and_every_status_goes_on() {
    for seed in 0..150 {
        let play = play(seed, Without::Nothing);
        assert!(play.broken.is_empty(), "seed {seed}: {:?}", play.broken);
        for name in NAMES {
            let (spec, status) = (spec_key(Kind::Heat, name), status_key(Kind::Heat, name));
            let goal = play.store.value(&spec).map(|v| v["goal"].as_u64().unwrap());
            let at = play.store.value(&status).map(|v| v["at"].as_u64().unwrap());
            assert_eq!(goal, at, "seed {seed}: {name} is not where it is meant to be");
        }
        for controller in &play.controllers {
            let often = |line: &String| play.lines.iter().filter(|l| *l == line).count();
            let twice: Vec<_> =
                controller.told.iter().filter(|(l, n)| !l.ends_with("removed") && **n > often(l)).collect();
            assert!(twice.is_empty(), "seed {seed}: told twice: {twice:?}");
        }
        // A change that was stored over before anybody who owns had heard of it is told by who reads
        // anew only as far as it still shows.
        let told = |line: &String| play.controllers.iter().any(|c| c.told.contains_key(line));
        let untold: Vec<&String> = play.lines.iter().filter(|line| !told(line)).collect();
        assert!(untold.len() * 20 <= play.lines.len(), "seed {seed}: {untold:?} of {}", play.lines.len());
    }
}

/// Each condition is there for a reason, which the same plays show.
#[test]
fn without_any_of_its_conditions_the_play_finds_what_breaks() {
    for without in [Without::Assignment, Without::Spec, Without::Status, Without::Operators] {
        let found = (0..60).find(|seed| !play(*seed, without).broken.is_empty());
        assert!(found.is_some(), "{without:?}");
    }
}

/// As a controller reads them.
fn pages(store: &Store) -> Vec<Page> {
    let mut pages = vec![store.page(MIRRORED, MIRRORED_AFTER, 250)];
    while let Some(last) = pages.last().filter(|page| page.more) {
        pages.push(store.page(MIRRORED, &last.items[last.items.len() - 1].path, 250));
    }
    pages
}

fn owner(kinds: &'static [Entry], entries: &[(&str, serde_json::Value)]) -> (Book, Mirror, Driver, Store) {
    let mut store = Store::new(Limits::default());
    let token = store.apply_if(&[], &[Change::write(ASSIGNMENT, json!(0))]).unwrap();
    for (path, value) in entries {
        store.apply_if(&[], &[Change::write(*path, value.clone())]).unwrap();
    }
    let mut mirror = Mirror::default();
    let mut loading = mirror.load();
    for page in pages(&store) {
        mirror.take_page(&mut loading, &page);
    }
    mirror.loaded(loading);
    let mut book = Book::new(token, example(), Properties::default(), Instant::now());
    book.loaded = true;
    (book, mirror, Driver::new(kinds), store)
}

/// Whatever wants a change each second keeps nothing else from its own.
#[test]
fn nobody_is_kept_from_his_turn() {
    let many: Vec<(String, serde_json::Value)> = (0..20)
        .map(|n| (spec_key(Kind::Rollout, &format!("r{n:02}")), json!({"goal": 1})))
        .chain((0..5).map(|n| (spec_key(Kind::Heat, &format!("h{n}")), json!({"goal": 2}))))
        .collect();
    let entries: Vec<(&str, serde_json::Value)> = many.iter().map(|(k, v)| (k.as_str(), v.clone())).collect();
    let (mut book, mut mirror, mut driver, mut store) = owner(&BOTH, &entries);
    for round in 0..40 {
        let looked = driver.look(&mut book, &mut mirror, &|_| None, Instant::now(), 0);
        assert_eq!(looked.writes.len(), 2, "round {round}");
        driver.sent(&looked.writes);
        let conditions = conditions(&looked.writes, looked.token);
        driver.stored(store.apply_if(&conditions, &changes(&looked.writes)).unwrap());
        assert!(driver.look(&mut book, &mut mirror, &|_| None, Instant::now(), 0).writes.is_empty(), "not heard yet");
        mirror.apply(&store.follow(MIRRORED, mirror.revision).unwrap());
    }
    let at = |kind: Kind, name: &str| store.value(&status_key(kind, name)).map_or(0, |v| v["at"].as_u64().unwrap());
    assert!((0..5).all(|n| at(Kind::Heat, &format!("h{n}")) == 2), "the few are through");
    let restless: Vec<u64> = (0..20).map(|n| at(Kind::Rollout, &format!("r{n:02}"))).collect();
    assert!(restless.iter().all(|n| (3..=4).contains(n)), "and the many in turn: {restless:?}");
}

/// What strangers put there stops nothing, is told, and is never written over.
#[test]
fn what_cannot_be_read_is_left_as_it_is() {
    let large = "x".repeat(9000);
    let (mut book, mut mirror, mut driver, _) = owner(
        &TOYS,
        &[
            ("c/s/heat/bad", json!({"goal": "much"})),
            ("c/s/heat/good", json!({"goal": 1})),
            ("c/s/heat/large", json!({"goal": 1, "more": large})),
            ("c/s/heat/odd", json!({"goal": 7})),
            ("c/s/later/x", json!({})),
            ("c/s/window/w", json!({"opens": "08:00"})),
            ("c/t/heat/odd", json!("status")),
        ],
    );
    let looked = driver.look(&mut book, &mut mirror, &|_| None, Instant::now(), 0);
    let names: Vec<&str> = looked.writes.iter().map(|w| w.name.as_str()).collect();
    assert_eq!(names, ["good"]);
    assert_eq!(mirror.shelf().entries(), 5, "the larger one and the unknown kind are not taken in");
    assert!(mirror.shelf().raw_spec(Kind::Heat, "bad").is_some(), "what is unreadable is kept");
    assert_eq!(book.wishes.not_yet.len(), 1, "nothing is asked for by what cannot be read");
}

/// Strangers may write as much as they like: what is kept is bounded, and what is followed more so.
#[test]
fn what_is_kept_is_bounded() {
    let mut shelf = super::Shelf::default();
    for n in (0..1000).rev() {
        shelf.put(&spec_key(Kind::Heat, &format!("h{n:04}")), &json!({"goal": 1}), 1);
    }
    assert_eq!(shelf.entries(), 100);
    assert_eq!(shelf.names(Kind::Heat).count(), 50);
    for n in 0..1000 {
        shelf.put(&status_key(Kind::Heat, "h"), &json!({"at": n}), n);
    }
    assert_eq!(shelf.take_changed().len(), 256);
}

/// A controller that is never asked for anything but whether there is something to do.
#[derive(Default)]
struct Idle {
    touched: AtomicUsize,
}

impl Hands for Idle {
    fn quiet(&self) -> bool {
        true
    }
    fn look<T>(&self, _: impl FnOnce(&mut Book, &mut Mirror, Ended) -> T) -> Option<T> {
        self.touched.fetch_add(1, Ordering::Relaxed);
        None
    }
    fn ready(&self, _: Urgent) -> usize {
        self.touched.fetch_add(1, Ordering::Relaxed)
    }
    async fn store(&self, _: &[Condition], _: &[Change], _: Urgent) -> Result<TxnOutcome, StoreError> {
        self.touched.fetch_add(1, Ordering::Relaxed);
        Err(StoreError::Unanswered)
    }
    async fn refused(&self) {
        self.touched.fetch_add(1, Ordering::Relaxed);
    }
    async fn woken(&self) {
        std::future::pending().await
    }
}

/// Nothing declared: no look, no request, and no timer, which would need a runtime that is not there.
#[test]
fn where_nothing_is_declared_the_task_sleeps() {
    let hands = Arc::new(Idle::default());
    let mut task = std::pin::pin!(run(hands.clone()));
    assert!(task.as_mut().poll(&mut Context::from_waker(Waker::noop())).is_pending());
    assert_eq!(hands.touched.load(Ordering::Relaxed), 0);
}

/// 1,000 windows, 50 rules, 200 readings and 20 rollouts, each of half a KiB with its status: what they
/// add to a controller's start, and what is stored a second. A takeover reads none of it: every
/// controller has it.
#[test]
fn the_cost_of_a_full_shelf() {
    let mut entries = Vec::new();
    for (kind, n) in Kind::ALL.into_iter().zip([1000, 50, 200, 20]) {
        for name in (0..n).map(|n| format!("{}-{n:04}", kind.word())) {
            entries.push((spec_key(kind, &name), json!({"goal": 2, "more": "x".repeat(500)})));
            entries.push((status_key(kind, &name), json!({"at": 1, "by": 1, "more": "x".repeat(500)})));
        }
    }
    let bytes: usize = entries.iter().map(|(path, value)| path.len() + value.to_string().len()).sum();
    let entries: Vec<(&str, serde_json::Value)> = entries.iter().map(|(k, v)| (k.as_str(), v.clone())).collect();
    let (mut book, mut mirror, mut driver, mut store) = owner(&ALL, &entries);
    let pages = pages(&store).len();
    assert!(pages <= 11 && bytes < 1_500_000, "{pages} pages, {bytes} bytes");
    for second in 0..20 {
        let looked = driver.look(&mut book, &mut mirror, &|_| None, Instant::now(), 0);
        assert_eq!(looked.writes.len(), 2, "in second {second}");
        driver.sent(&looked.writes);
        let conditions = conditions(&looked.writes, looked.token);
        driver.stored(store.apply_if(&conditions, &changes(&looked.writes)).unwrap());
        mirror.apply(&store.follow(MIRRORED, mirror.revision).unwrap());
    }
}
