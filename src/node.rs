//! One controller: what its parts share, behind short locks that are never held across an await.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tracing::{debug, error, info, warn};

use crate::declared;
use crate::declared::driver::{self, Ended};
use crate::declared::run::Hands;
use crate::declared::table::KINDS;
use crate::fleet;
use crate::fleet::cloud::CloudClient;
use crate::history::reader::{self, History};
use crate::history::sweep;
use crate::jobs::admission::Admission;
use crate::jobs::record::time_of_day_ms;
use crate::jobs::{Counts, End, JobId};
use crate::kinds::Catalog;
use crate::membership::mesh::Heard;
use crate::membership::records::{Plea, Watermark};
use crate::membership::standing::{Health, LetGo, Patience, Seen, Standing};
use crate::membership::stranded::Stranded;
use crate::membership::watermark::{self, Unconfirmed};
use crate::membership::{self, mesh};
use crate::scheduling::served::{Account, Row};
use crate::scheduling::{self, Book};
use crate::settings::{Properties, Settings};
use crate::standstill::{BEAT, Pulse};
use crate::store::audit::{self, Audit};
use crate::store::budget::{Budget, Urgent};
use crate::store::follow::Fresh;
use crate::store::mirror::{Mirror, News};
use crate::store::share::{Parts, Want, by_need};
use crate::store::{Change, Condition, StateClient, StoreError, TxnOutcome, commit, follow};
use crate::sync::lock;
use crate::traffic::Traffic;
use crate::wire::Http;
use crate::wire::workers::Report;
use crate::workers::dispatch;

/// Jobs that are over, by a mirror that holds everything up to a revision.
#[derive(Debug, Default)]
pub struct Over {
    pub jobs: HashSet<JobId>,
    through: u64,
}

impl Over {
    /// Whether all that was stored before this revision is known.
    pub fn since(&self, revision: u64) -> bool {
        self.through >= revision
    }
}

/// Who is to look again because something changed.
#[derive(Default)]
pub struct Wake {
    pub membership: Notify,
    pub plan: Notify,
    pub commit: Notify,
    pub dispatch: Notify,
    pub fleet: Notify,
    pub declared: Notify,
    /// Other controllers are to hear the watermark at once.
    pub mesh: tokio::sync::watch::Sender<()>,
}

pub struct Node {
    pub settings: Settings,
    pub properties: Properties,
    /// Names this process among all that ever ran; rental names are made from it.
    pub incarnation: String,
    pub http: Http,
    pub traffic: Arc<Traffic>,
    pub store: Arc<StateClient>,
    pub cloud: CloudClient,
    pub mirror: Mutex<Mirror>,
    pub fresh: Fresh,
    pub history: Arc<History>,
    pub audit: Mutex<Audit>,
    pub catalog: Mutex<Option<Arc<Catalog>>>,
    /// The book of tasks and machines, while this controller owns them.
    pub book: Mutex<Option<Book>>,
    pub heard: Mutex<Heard>,
    /// Submissions that wait to be written.
    pub admission: Mutex<Admission>,
    /// Who was served lately, kept by every controller.
    pub served: Mutex<Account>,
    pub wake: Wake,
    /// Notices that this process stood still.
    pulse: Mutex<Pulse>,
    /// Stood still for so long that another may own by now; nothing is done until the store says.
    unproven: AtomicBool,
    stranded: Mutex<Stranded>,
    /// What users and machines are told while little can be proven.
    health: Mutex<Health>,
    let_go: Mutex<LetGo>,
    /// Withdrawals that other controllers may not have heard this owner confirm.
    unconfirmed: Mutex<Unconfirmed>,
    owner_tasks: Mutex<Vec<tokio::task::AbortHandle>>,
    /// Orders that are marked as done wait for a higher token (`fleet::orders`).
    marks_pressed: AtomicBool,
}

/// An owner writes most; the others keep enough for users and for a campaign.
const WRITES: Parts = Parts { owner: 0.7, others: 0.25 };
/// Users ask every controller alike; an owner needs few requests more than the others, since its
/// writes go many at a time.
const REQUESTS: Parts = Parts { owner: 0.5, others: 0.45 };
/// Shares are worked out again this often, as the others tell what they want.
const SHARE_EVERY: Duration = Duration::from_secs(1);

impl Node {
    pub fn new(settings: Settings, properties: Properties) -> Arc<Self> {
        let now = Instant::now();
        let http = Http::default();
        let traffic = Arc::<Traffic>::default();
        let (limits, others) = (&settings.params.state, settings.peers.len());
        let make = |parts: Parts, limit: f64| {
            let share = parts.fixed(limit, others, false);
            Budget::new(share, share, now)
        };
        let (requests, writes) = (make(REQUESTS, limits.rps), make(WRITES, limits.write_rps));
        let state = settings.endpoints.state.clone();
        let store = Arc::new(StateClient::new(http.clone(), state, requests, writes, traffic.clone()));
        let cloud = CloudClient::new(http.clone(), &settings, traffic.clone(), now);
        Arc::new(Self {
            incarnation: format!("{:016x}", rand::random::<u64>()),
            http,
            traffic,
            store,
            cloud,
            mirror: Mutex::default(),
            fresh: Fresh::default(),
            history: Arc::new(History::new(&settings)),
            audit: Mutex::default(),
            catalog: Mutex::default(),
            book: Mutex::default(),
            heard: Mutex::default(),
            admission: Mutex::new(Admission::new(now)),
            served: Mutex::new(Account::new(&settings, &properties, now)),
            wake: Wake::default(),
            pulse: Mutex::new(Pulse::new(now)),
            unproven: AtomicBool::new(false),
            stranded: Mutex::default(),
            health: Mutex::default(),
            let_go: Mutex::default(),
            unconfirmed: Mutex::default(),
            owner_tasks: Mutex::default(),
            marks_pressed: AtomicBool::new(false),
            settings,
            properties,
        })
    }

    /// Starts everything but the listener for users and workers.
    pub fn start(self: &Arc<Self>) {
        tokio::spawn(follow::run(self.clone()));
        tokio::spawn(follow::run_fresh(self.clone()));
        tokio::spawn(reader::run(self.clone()));
        tokio::spawn(sweep::run(self.history.clone(), self.store.clone()));
        tokio::spawn(audit::run(self.clone()));
        tokio::spawn(membership::run(self.clone()));
        tokio::spawn(mesh::listen(self.clone()));
        for peer in &self.settings.peers {
            tokio::spawn(mesh::tell(self.clone(), peer.clone()));
        }
        tokio::spawn(fleet::learn_catalog(self.clone()));
        let traffic = self.traffic.clone();
        tokio::spawn(async move { traffic.run().await });
        let node = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(SHARE_EVERY).await;
                node.share();
            }
        });
        let node = self.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(BEAT).await;
                node.beat(Instant::now());
            }
        });
    }

    /// To be called before anything is judged by time. The one place where a standstill of this process is
    /// handed to all that do: their silences, idle times and proofs of before are void.
    pub fn beat(&self, now: Instant) {
        let gap = lock(&self.pulse).beat(now);
        if self.unproven.load(Ordering::Relaxed) {
            self.fresh.wanted.notify_one();
        }
        let Some(gap) = gap else { return };
        let void = gap.void(self.properties.leader_lease);
        warn!(pause_s = gap.length().as_secs_f64(), ownership_open = void.ownership, "stood still");
        if void.ownership {
            self.unproven.store(true, Ordering::Relaxed);
            self.fresh.was_absent();
        }
        if let Some(book) = lock(&self.book).as_mut() {
            book.was_absent(gap);
        }
        *lock(&self.stranded) = Stranded::default();
        self.store.was_absent(gap);
        self.fresh.wanted.notify_one();
        self.wake.membership.notify_one();
    }

    /// Begins something that only counts if the process does not stand still meanwhile.
    pub fn gaps(&self) -> u64 {
        self.beat(Instant::now());
        lock(&self.pulse).gaps()
    }

    /// The mirror was just proven fresh: who owns is known again.
    pub fn proven(&self) {
        self.check_deposed();
        lock(&self.let_go).clear();
        if self.unproven.swap(false, Ordering::Relaxed) {
            info!(owns = lock(&self.book).is_some(), "what was known before the standstill is proven or dropped");
        }
    }

    /// Nothing may be decided or answered yet, after a standstill.
    pub fn unproven(&self) -> bool {
        self.beat(Instant::now());
        self.unproven.load(Ordering::Relaxed)
    }

    /// Whether a question read now was most likely given up by who asked it, while this process stood still.
    pub fn stale_question(&self) -> bool {
        let now = Instant::now();
        self.beat(now);
        lock(&self.pulse).last().is_some_and(|gap| gap.stale_question(now))
    }

    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        lock(&self.catalog).clone()
    }

    /// Hands what the mirror learned to whoever acts on it.
    pub fn spread(&self, news: News) {
        if news.is_empty() {
            let (mirror, mut held) = (lock(&self.mirror), lock(&self.book));
            if let Some(book) = held.as_mut() {
                book.holds_ends(mirror.asking());
            }
            return;
        }
        if news.ownership {
            self.wake.membership.notify_one();
        }
        if news.declared {
            self.wake.declared.notify_one();
        }
        let mirror = lock(&self.mirror);
        let (now, now_ms) = (Instant::now(), time_of_day_ms());
        if let Some(stored) = mirror.watermark() {
            self.history.advance(stored.revision);
        }
        {
            let mut served = lock(&self.served);
            for record in news.opened.iter().filter_map(|id| mirror.open(id)) {
                served.offered(&record.spec, record.age(now_ms), now);
            }
            for id in &news.ended {
                self.history.heard(id, now);
                if let Some(record) = mirror.ended_record(id) {
                    served.ended(&record, self.history.ended(id), record.age(now_ms), now);
                }
            }
        }
        let mut held = lock(&self.book);
        if let Some(book) = held.as_mut().filter(|b| b.loaded) {
            for id in &news.opened {
                if let Some(record) = mirror.open(id) {
                    book.add_job(record.clone(), now);
                }
            }
            for id in &news.ended {
                let how = self.history.ended(id);
                book.end_job(id, how, now);
                // What this owner has stored as done needs no confirmation; of the rest any may be withdrawn.
                if how != Some(End::Done) {
                    lock(&self.unconfirmed).heard(mirror.ended_by(id).unwrap_or(mirror.revision), now);
                    self.wake.mesh.send_replace(());
                }
            }
            book.holds_ends(mirror.asking());
            self.wake.plan.notify_one();
            self.wake.dispatch.notify_one();
        }
    }

    /// This controller's record stands as the assignment, under this token.
    pub fn owns(self: &Arc<Self>, token: u64) {
        self.press_marks(false);
        let mut held = lock(&self.book);
        if let Some(book) = held.as_mut() {
            book.raise_token(token);
            info!(token, "token raised");
            return;
        }
        info!(token, "owns teams and machines");
        if let Some((rows, told)) = lock(&self.heard).served.take() {
            lock(&self.served).take_over(&rows, told);
        }
        *held = Some(Book::new(token, self.settings.clone(), self.properties.clone(), Instant::now()));
        drop(held);
        self.share();
        let mut tasks = lock(&self.owner_tasks);
        tasks.push(tokio::spawn(scheduling::run(self.clone())).abort_handle());
        tasks.push(tokio::spawn(commit::run(self.clone())).abort_handle());
        tasks.push(tokio::spawn(dispatch::run(self.clone())).abort_handle());
        tasks.push(tokio::spawn(fleet::run(self.clone())).abort_handle());
        tasks.push(tokio::spawn(declared::run::run(self.clone())).abort_handle());
    }

    /// This owner's book is loaded, with all ends up to this revision.
    pub fn took_over(&self, known: u64, now: Instant) {
        let mut unconfirmed = lock(&self.unconfirmed);
        *unconfirmed = Unconfirmed::default();
        unconfirmed.heard(known, now);
        self.wake.mesh.send_replace(());
    }

    /// As the owner: up to which revision withdrawals are in its loaded book, and obeyed (`book::watermark`). None
    /// while it is not sure to be the one that is assigned, by all that it has heard.
    pub fn watermark(&self) -> Option<Watermark> {
        let (mirror, mut held) = (lock(&self.mirror), lock(&self.book));
        let book = held.as_mut().filter(|b| b.loaded).map(|b| (b.token, b.watermark()));
        let watermark = watermark::own(&self.incarnation, book, mirror.assignment())?;
        drop((mirror, held));
        self.history.advance(watermark.revision);
        Some(watermark)
    }

    /// The same where it is to be stored, since another controller has not acknowledged it.
    pub fn watermark_to_store(&self, now: Instant) -> Option<Watermark> {
        let watermark = self.watermark()?;
        let acknowledged = lock(&self.heard).acknowledged(&self.settings.peers, now);
        let mut unconfirmed = lock(&self.unconfirmed);
        unconfirmed.confirmed(acknowledged, now);
        (unconfirmed.due(now) || unconfirmed.lags(acknowledged, watermark.revision, now)).then_some(watermark)
    }

    /// Every controller can read a watermark this high.
    pub fn confirmed(&self, watermark: u64, now: Instant) {
        lock(&self.unconfirmed).confirmed(watermark, now);
    }

    /// The token under which a withdrawal that is stored by this owner may be told at once.
    pub fn withdraws_under(&self) -> Option<u64> {
        lock(&self.book).as_ref().filter(|b| b.loaded).map(|b| b.token)
    }

    /// A withdrawal was stored while this controller owned under this token. True if its book has it now, and no
    /// machine may run it for an earlier owner: an owner that came since has read it.
    pub fn withdrew(&self, id: &JobId, token: u64) -> bool {
        let mut held = lock(&self.book);
        let Some(book) = held.as_mut().filter(|b| b.loaded && b.first_token <= token) else { return false };
        book.end_job(id, Some(End::Withdrawn), Instant::now());
        let obeyed = book.obeyed_in(id);
        drop(held);
        self.wake.dispatch.notify_one();
        if obeyed {
            self.history.show(id);
        }
        obeyed
    }

    /// Stops owning at once: somebody newer does.
    pub fn step_down(&self, why: &str) {
        let owned = lock(&self.book).take();
        if let Some(book) = owned {
            warn!(token = book.token, why, "no longer owns");
            for task in lock(&self.owner_tasks).drain(..) {
                task.abort();
            }
            self.share();
        }
    }

    /// What this controller lately wanted of the state service, in requests and in changes.
    pub fn wants(&self) -> [Want; 2] {
        let owner = lock(&self.book).is_some();
        let (requests, writes) = self.store.wants();
        [requests, writes].map(|per_second| Want { owner, per_second })
    }

    /// Works out this controller's shares of the state service's limits.
    fn share(&self) {
        let (limits, others) = (&self.settings.params.state, self.settings.peers.len());
        let mine = self.wants();
        let heard = lock(&self.heard).wants(Instant::now());
        let share = |at: usize, parts: Parts, limit: f64| {
            if heard.len() < others {
                return parts.fixed(limit, others, mine[at].owner);
            }
            let all: Vec<Want> = std::iter::once(mine[at]).chain(heard.iter().map(|w| w[at])).collect();
            by_need(limit, parts, &all)
        };
        self.store.set_shares(share(0, REQUESTS, limits.rps), share(1, WRITES, limits.write_rps));
    }

    /// What is declared asks something of jobs that have just come, before they are placed.
    pub fn refresh_wishes(&self, now: Instant) {
        let (mirror, mut held) = (lock(&self.mirror), lock(&self.book));
        if let Some(book) = held.as_mut().filter(|b| b.wishes_due) {
            self.wishes_of(book, &mirror, now);
        }
    }

    /// What is declared asks of this book, by what is stored; to be called before anything is placed by it.
    pub fn wishes_of(&self, book: &mut Book, mirror: &Mirror, now: Instant) {
        driver::refresh(KINDS, book, mirror.shelf(), &|id| self.history.ended(id), now, time_of_day_ms());
    }

    /// Compares the book's token with the assignment as mirrored.
    pub fn check_deposed(&self) {
        let newer =
            lock(&self.mirror).assignment().filter(|(a, _)| a.incarnation != self.incarnation).map(|(_, stamp)| *stamp);
        let token = lock(&self.book).as_ref().map(|b| b.token);
        if let (Some(newer), Some(token)) = (newer, token)
            && newer > token
        {
            self.step_down("another controller is assigned");
        }
    }

    /// Whether the owner's token is to be raised: commands are to be made void, or marks of orders to be dropped.
    pub fn raise_wanted(&self) -> bool {
        let marks = self.marks_pressed.load(Ordering::Relaxed);
        lock(&self.book).as_ref().is_some_and(|b| b.raise_wanted(Instant::now()) || (marks && b.loaded))
    }

    /// Whether so many orders are marked as done that a higher token is wanted, under which they can be dropped.
    pub fn press_marks(&self, pressed: bool) {
        self.marks_pressed.store(pressed, Ordering::Relaxed);
    }

    /// A worker was sent to the owner. If workers keep coming back, the owner is told through the
    /// store, which it must still reach since it holds its lease.
    pub fn note_redirect(self: &Arc<Self>, machine: &str, report: (u64, u64), now: Instant) {
        let Some(machines) = lock(&self.stranded).note(machine, report, now) else { return };
        let Some(token) = lock(&self.mirror).assignment().map(|(_, stamp)| *stamp) else { return };
        warn!(machines, "workers cannot reach the owner");
        let plea = Plea { node: self.settings.node.clone(), token, machines };
        let node = self.clone();
        tokio::spawn(async move {
            let (conditions, changes) = plea.transaction();
            let _ = node.store.txn(&conditions, &changes, Urgent::First).await;
        });
    }

    /// The version of a plea of another controller for workers that this owner has indeed lost.
    pub fn plea_to_answer(&self, now: Instant) -> Option<u64> {
        let (plea, stamp) = lock(&self.mirror).plea().cloned()?;
        let lost = lock(&self.book).as_ref().is_some_and(|b| b.token == plea.token && b.lost_most(now));
        lost.then_some(stamp)
    }

    /// The node that workers should report to, as far as known here.
    pub fn owner_node(&self) -> Option<String> {
        let mirror = lock(&self.mirror);
        mirror.leader()?;
        mirror.assignment().map(|(a, _)| a.node.clone())
    }

    pub fn store_serves(&self) -> bool {
        self.store.health().failing_for(Instant::now()) < Duration::from_secs(2)
    }

    /// What this controller can prove, and what it hears of the others.
    fn seen(&self, now: Instant) -> Seen {
        let (heard, answering) = lock(&self.heard).others(now);
        let proof = self.fresh.age(now);
        let refused = self.store.health().failing_for(now);
        Seen { proof, refused, peers: self.settings.peers.len(), heard, answering }
    }

    /// Questions can be answered by what is stored.
    pub fn can_answer(&self) -> bool {
        let now = Instant::now();
        lock(&self.mirror).ready && self.seen(now).standing(Patience::of_health(0)) == Standing::Sound
    }

    /// Healthy: has read the store once, and is not one that cannot answer where others may.
    pub fn healthy(&self) -> bool {
        // After a standstill a proof is a moment away, unless the store answers nobody.
        let proving = self.unproven() && self.store_serves();
        let read = {
            let mirror = lock(&self.mirror);
            mirror.ready || mirror.revision > 0
        };
        let now = Instant::now();
        lock(&self.health).judge(read && !proving && self.catalog().is_some(), self.seen(now), now)
    }

    /// Whether what is known here of who owns may be acted on towards workers.
    pub fn knows_owner(&self, now: Instant) -> bool {
        self.seen(now).standing(Patience::of_ownership(self.properties.leader_lease)).speaks()
    }

    /// Whether this machine is held by an owner that may be one no more (`membership::standing`).
    pub fn holds(&self, machine: &str, now: Instant) -> bool {
        let (others, lease) = (self.settings.peers.len(), self.settings.params.workers.lease());
        let mut let_go = lock(&self.let_go);
        if let_go.begins() {
            warn!(
                "neither the store nor another controller tells who owns: workers are let go, and held if they come back"
            );
        }
        let_go.holds(machine, others, lease, now)
    }

    /// Which jobs of a report are over, as far as the mirror tells. Only looked for where the book alone may
    /// not decide: it is not loaded, or `acts` is false.
    pub fn over_among(&self, report: &Report, acts: bool) -> Over {
        let token = match lock(&self.book).as_ref() {
            Some(book) if !(acts && book.loaded) => book.token,
            _ => return Over::default(),
        };
        let mirror = lock(&self.mirror);
        let through = mirror.asking().unwrap_or(0);
        let over = |id: &&JobId| {
            // All that was ever started before this assignment had been accepted before it.
            let missing = through >= token && mirror.open(id).is_none();
            missing || mirror.ended_by(id).is_some() || self.history.ended(id).is_some()
        };
        let jobs = report.legs.iter().map(|leg| &leg.task.job).filter(over).cloned().collect();
        Over { jobs, through }
    }

    /// An owner that knows no end that was stored since its last proof may hold machines for so long that
    /// their leases are over when the first such task has to be gone.
    pub fn may_hold_blindly(&self, now: Instant) -> bool {
        let spare = self.settings.params.workers.spare();
        self.fresh.age(now).is_some_and(|age| age < spare)
    }

    pub fn counts(&self, id: &JobId) -> Counts {
        if let Some(book) = lock(&self.book).as_ref() {
            return book.counts(id);
        }
        lock(&self.heard).counts.get(id).copied().unwrap_or_default()
    }

    /// What changed since the peer was last told, at most `most` of it.
    pub fn counts_to_tell(&self, told: &mut HashMap<JobId, Counts>, most: usize) -> Vec<(JobId, Counts)> {
        let held = lock(&self.book);
        let Some(book) = held.as_ref() else { return Vec::new() };
        let mut changed = Vec::new();
        for (id, counts) in book.all_counts() {
            if changed.len() >= most {
                break;
            }
            if told.get(id) != Some(&counts) {
                changed.push((id.clone(), counts));
            }
        }
        told.retain(|id, _| book.has_job(id));
        told.extend(changed.iter().cloned());
        changed
    }

    /// The account as the owner sees it, for whoever may succeed it.
    pub fn served_to_tell(&self) -> Vec<Row> {
        if lock(&self.book).is_none() {
            return Vec::new();
        }
        lock(&self.served).rows().iter().take(mesh::MOST_ROWS).cloned().collect()
    }

    /// Drops the counts of jobs that are not open.
    pub fn tidy_counts(&self) {
        let mirror = lock(&self.mirror);
        lock(&self.heard).counts.retain(|id, _| mirror.open(id).is_some());
    }

    /// Entries of everything held that could grow, for operators and for tests: each follows open
    /// work, machines or a fixed bound (docs/history.md).
    pub fn held(&self) -> Vec<(&'static str, usize)> {
        let mut held = Vec::new();
        {
            let mirror = lock(&self.mirror);
            held.push(("open_jobs", mirror.open_jobs().count()));
            held.push(("open_tasks", mirror.held().tasks as usize));
            held.push(("descriptions", mirror.ended_kept()));
            held.push(("declared", mirror.shelf().entries()));
        }
        let [ends, asked, waiting] = self.history.held();
        held.push(("audited", lock(&self.audit).remembered()));
        held.extend([("ends", ends), ("asked", asked), ("waiting", waiting), ("hidden", self.history.hidden()[0])]);
        held.push(("served", lock(&self.served).entries()));
        held.push(("in_admission", lock(&self.admission).waiting()));
        held.push(("counts_heard", lock(&self.heard).counts.len()));
        held.push(("stranded", lock(&self.stranded).remembered()));
        held.push(("let_go", lock(&self.let_go).remembered()));
        if let Some(book) = lock(&self.book).as_ref() {
            held.extend(book.held());
        }
        held
    }

    /// Tells at `debug` what `held` gives.
    pub fn tell_held(&self) {
        if tracing::enabled!(tracing::Level::DEBUG) {
            let held: Vec<String> = self.held().iter().map(|(what, n)| format!("{what}={n}")).collect();
            debug!(held = held.join(" "), "held");
        }
    }
}

impl Hands for Node {
    fn quiet(&self) -> bool {
        let mirror = lock(&self.mirror);
        let nothing = mirror.shelf().is_empty() && !mirror.shelf().any_changed();
        nothing && lock(&self.book).as_ref().is_none_or(|b| b.wishes.is_empty())
    }

    fn look<T>(&self, look: impl FnOnce(&mut Book, &mut Mirror, Ended) -> T) -> Option<T> {
        if self.unproven() {
            return None;
        }
        let (mut mirror, mut held) = (lock(&self.mirror), lock(&self.book));
        let book = held.as_mut()?;
        Some(look(book, &mut mirror, &|id| self.history.ended(id)))
    }

    fn ask(&self, id: &JobId) {
        self.history.look_up(id);
    }

    fn ready(&self, urgent: Urgent) -> usize {
        self.store.writes_ready(urgent)
    }

    async fn store(
        &self,
        conditions: &[Condition],
        changes: &[Change],
        urgent: Urgent,
    ) -> Result<TxnOutcome, StoreError> {
        self.store.txn(conditions, changes, urgent).await
    }

    async fn refused(&self) {
        self.fresh.wait().await;
        self.check_deposed();
        self.wake.membership.notify_one();
    }

    async fn woken(&self) {
        self.wake.declared.notified().await;
    }
}

/// The whole controller on the current thread, until it is killed.
pub fn serve(settings: Settings, properties: Properties) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let node = Node::new(settings, properties);
        info!(node = node.settings.node, incarnation = node.incarnation, "starting");
        // The address first: whoever had it under this name is gone, which membership goes by.
        let outcome = async {
            let acceptor = crate::users::bind(&node).await?;
            node.start();
            crate::users::serve(node.clone(), acceptor).await
        }
        .await;
        if let Err(error) = &outcome {
            error!(%error, addr = node.settings.listen, "cannot serve");
        }
        outcome
    })
}
