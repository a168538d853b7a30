//! What one controller keeps of the election, of its peers and of its own proofs, each behind a short lock.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

use tokio::task::AbortHandle;

use super::mesh::peers::PeerStates;
use super::serving_state::{HealthCheck, LeaderSearches};
use super::unreachable_leader::UnreachableLeader;
use super::watermark::UnconfirmedCancellations;
use crate::history::job_history::JobHistory;
use crate::machine_kinds::SharedCatalog;
use crate::process_pause::PauseDetector;
use crate::scheduling::leader_state::LeaderState;
use crate::settings::{Properties, Settings};
use crate::store::handle::StateStore;
use crate::wakeups::Wakeups;

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
    pub(super) store: Arc<StateStore>,
    pub(super) history: Arc<JobHistory>,
    pub(super) leader: Arc<LeaderState>,
    pub(super) catalog: Arc<SharedCatalog>,
    pub(super) wakeups: Arc<Wakeups>,
    /// What the other controllers said last.
    pub(super) peer_states: Mutex<PeerStates>,
    /// Notices that this process was paused.
    pub(super) pause_detector: Mutex<PauseDetector>,
    /// Was paused for so long that another may lead by now; nothing is done until the store says.
    pub(super) unproven: AtomicBool,
    pub(super) unreachable_leader: Mutex<UnreachableLeader>,
    /// What users and machines are told while little can be proven.
    pub(super) health: Mutex<HealthCheck>,
    pub(super) leader_searches: Mutex<LeaderSearches>,
    /// Cancellations that other controllers may not have heard this leader confirm.
    pub(super) unconfirmed: Mutex<UnconfirmedCancellations>,
    pub(super) start_leader_loops: OnceLock<StartLeaderLoops>,
    pub(super) leader_tasks: Mutex<Vec<AbortHandle>>,
    /// Orders that are marked as done wait for a higher fencing token (`fleet::order_storage`).
    pub(super) orders_want_new_fencing_token: AtomicBool,
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
            peer_states: Mutex::default(),
            pause_detector: Mutex::new(PauseDetector::new(Instant::now())),
            unproven: AtomicBool::new(false),
            unreachable_leader: Mutex::default(),
            health: Mutex::default(),
            leader_searches: Mutex::default(),
            unconfirmed: Mutex::default(),
            start_leader_loops: OnceLock::new(),
            leader_tasks: Mutex::default(),
            orders_want_new_fencing_token: AtomicBool::new(false),
        }
    }

    /// What is started whenever this controller becomes the leader; only the first call counts. The loops are aborted
    /// when it steps down.
    pub fn set_leader_loops(&self, start: impl Fn() -> Vec<AbortHandle> + Send + Sync + 'static) {
        let _ = self.start_leader_loops.set(Box::new(start));
    }
}
