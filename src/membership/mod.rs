//! Which controller leads, what this one can prove of it, and what it may say to users, workers and its peers.
//!
//! `election` takes the election lease and writes the leader record; `leadership` starts and ends leading; `mesh`
//! exchanges lines with the other controllers; `pauses` handles pauses of this process; `judgement` says what may be
//! answered by what is proven; `confirmation` and `watermark` confirm cancellations.
//!
//! # Lock order
//!
//! Locks are short and never held across an await. Where two are held at once, they are taken in this order:
//!
//! 1. the watch cache (`store::handle::StateStore::watch_cache`),
//! 2. the cluster state (`scheduling::leader_state::LeaderState::cluster`),
//! 3. what is kept here (peer states, unconfirmed cancellations and the rest), and the fleet's cloud operations,
//! 4. the fair-share accounting, the history's questions and the audit, under which nothing else is locked.

mod cache_changes;
mod confirmation;
mod election;
mod ended_jobs;
mod figures;
mod judgement;
mod leadership;
pub mod mesh;
mod pauses;
pub mod serving_state;
mod store_shares;
mod turns;
pub mod unreachable_leader;
mod unreadable;
pub mod watermark;
mod yielding;

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

use tokio::task::AbortHandle;

#[cfg(test)]
pub(crate) use election::{candidacy, expiry, naming};
pub use ended_jobs::Over;
pub(crate) use store_shares::{REQUESTS, SHARE_EVERY, WRITES, first_budget};

use crate::history::job_history::JobHistory;
use crate::machine_kinds::SharedCatalog;
use crate::process_pause::PauseDetector;
use crate::scheduling::leader_state::LeaderState;
use crate::settings::{Properties, Settings};
use crate::store::handle::StateStore;
use crate::wakeups::Wakeups;
pub use election::run;
use mesh::Heard;
use serving_state::{Health, LetGo};
use unreachable_leader::UnreachableLeader;
use watermark::Unconfirmed;

/// Starts the loops that run only while this controller leads.
type StartLeaderLoops = Box<dyn Fn() -> Vec<AbortHandle> + Send + Sync>;

/// One controller's part in the election, and what it knows of the leader and of its peers.
pub struct Membership {
    /// The platform's settings.
    pub settings: Arc<Settings>,
    /// The operators' properties.
    pub properties: Arc<Properties>,
    /// Names this process among all that ever ran; orders to the cloud are named after it.
    pub incarnation: String,
    pub(crate) store: Arc<StateStore>,
    pub(crate) history: Arc<JobHistory>,
    leader: Arc<LeaderState>,
    catalog: Arc<SharedCatalog>,
    wakeups: Arc<Wakeups>,
    /// What the other controllers said last.
    heard: Mutex<Heard>,
    /// Notices that this process was paused.
    pause_detector: Mutex<PauseDetector>,
    /// Was paused for so long that another may lead by now; nothing is done until the store says.
    unproven: AtomicBool,
    unreachable_leader: Mutex<UnreachableLeader>,
    /// What users and machines are told while little can be proven.
    health: Mutex<Health>,
    let_go: Mutex<LetGo>,
    /// Cancellations that other controllers may not have heard this leader confirm.
    unconfirmed: Mutex<Unconfirmed>,
    start_leader_loops: OnceLock<StartLeaderLoops>,
    leader_tasks: Mutex<Vec<AbortHandle>>,
    /// Orders that are marked as done wait for a higher fencing token (`fleet::order_log`).
    marks_pressed: AtomicBool,
}

impl Membership {
    /// A controller that has heard of nobody and does not lead.
    pub fn new(
        settings: Arc<Settings>,
        properties: Arc<Properties>,
        store: Arc<StateStore>,
        history: Arc<JobHistory>,
        leader: Arc<LeaderState>,
        catalog: Arc<SharedCatalog>,
        wakeups: Arc<Wakeups>,
    ) -> Self {
        Self {
            settings,
            properties,
            incarnation: format!("{:016x}", rand::random::<u64>()),
            store,
            history,
            leader,
            catalog,
            wakeups,
            heard: Mutex::default(),
            pause_detector: Mutex::new(PauseDetector::new(Instant::now())),
            unproven: AtomicBool::new(false),
            unreachable_leader: Mutex::default(),
            health: Mutex::default(),
            let_go: Mutex::default(),
            unconfirmed: Mutex::default(),
            start_leader_loops: OnceLock::new(),
            leader_tasks: Mutex::default(),
            marks_pressed: AtomicBool::new(false),
        }
    }

    /// What is started whenever this controller becomes the leader; only the first call counts. The loops are aborted
    /// when it steps down.
    pub fn start_leader_loops_with(&self, start: impl Fn() -> Vec<AbortHandle> + Send + Sync + 'static) {
        let _ = self.start_leader_loops.set(Box::new(start));
    }
}
