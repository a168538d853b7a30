//! The owners of the state of one controller, and the handles to them that each component gets.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::audit::Auditor;
use crate::declarations::context::DeclarationState;
use crate::fleet::Fleet;
use crate::fleet::cloud::CloudClient;
use crate::history::job_history::JobHistory;
use crate::jobs::admission::Admission;
use crate::machine_kinds::SharedCatalog;
use crate::membership::{Membership, REQUEST_SHARES, WRITE_SHARES, initial_budget};
use crate::protocol::Http;
use crate::scheduling::commit::GroupCommit;
use crate::scheduling::leader_state::LeaderState;
use crate::scheduling::scheduler::Scheduler;
use crate::settings::{Properties, Settings};
use crate::store::StateClient;
use crate::store::handle::StateStore;
use crate::store::transaction_limits::LimitTracker;
use crate::traffic::Traffic;
use crate::users::UserService;
use crate::wakeups::Wakeups;
use crate::workers::WorkerService;

/// All owners of state of one controller.
pub(super) struct StateOwners {
    pub settings: Arc<Settings>,
    pub properties: Arc<Properties>,
    pub http: Http,
    pub traffic: Arc<Traffic>,
    pub wakeups: Arc<Wakeups>,
    pub catalog: Arc<SharedCatalog>,
    pub store: Arc<StateStore>,
    pub history: Arc<JobHistory>,
    pub leader: Arc<LeaderState>,
    pub membership: Arc<Membership>,
    pub audit: Arc<Auditor>,
}

impl StateOwners {
    /// Creates the owners in their initial state, before anything is read or received and without leadership.
    pub(super) fn new(settings: Settings, properties: Properties, now: Instant) -> Self {
        let (settings, properties) = (Arc::new(settings), Arc::new(properties));
        let http = Http::default();
        let traffic = Arc::<Traffic>::default();
        let wakeups = Arc::<Wakeups>::default();
        let catalog = Arc::<SharedCatalog>::default();
        let store = Arc::new(state_store(&settings, http.clone(), traffic.clone(), now));
        let history = Arc::new(JobHistory::new(&settings));
        let leader = Arc::new(LeaderState::new(&settings, &properties, now));
        let membership = Arc::new(Membership::new(
            settings.clone(),
            properties.clone(),
            store.clone(),
            history.clone(),
            leader.clone(),
            catalog.clone(),
            wakeups.clone(),
        ));
        let audit = Arc::new(Auditor::new(store.clone(), history.clone(), leader.clone(), wakeups.clone()));
        Self { settings, properties, http, traffic, wakeups, catalog, store, history, leader, membership, audit }
    }

    /// Creates the state of the declarations loop.
    pub(super) fn declarations(&self) -> DeclarationState {
        DeclarationState {
            store: self.store.clone(),
            history: self.history.clone(),
            membership: self.membership.clone(),
            leader: self.leader.clone(),
            wakeups: self.wakeups.clone(),
        }
    }

    /// Creates the state of the scheduling loop.
    pub(super) fn scheduler(&self, intents: Arc<DeclarationState>) -> Scheduler {
        Scheduler {
            settings: self.settings.clone(),
            store: self.store.clone(),
            history: self.history.clone(),
            membership: self.membership.clone(),
            leader: self.leader.clone(),
            catalog: self.catalog.clone(),
            intents,
            wakeups: self.wakeups.clone(),
        }
    }

    /// Creates the state of the group commit.
    pub(super) fn group_commit(&self) -> GroupCommit {
        GroupCommit {
            store: self.store.clone(),
            history: self.history.clone(),
            membership: self.membership.clone(),
            leader: self.leader.clone(),
            audit: self.audit.clone(),
            wakeups: self.wakeups.clone(),
        }
    }

    /// Creates the service that communicates with workers.
    pub(super) fn workers(&self) -> WorkerService {
        WorkerService {
            settings: self.settings.clone(),
            membership: self.membership.clone(),
            leader: self.leader.clone(),
            catalog: self.catalog.clone(),
            wakeups: self.wakeups.clone(),
            http: self.http.clone(),
            traffic: self.traffic.clone(),
        }
    }

    /// Creates the state of the fleet's loops.
    pub(super) fn fleet(&self) -> Fleet {
        Fleet {
            settings: self.settings.clone(),
            properties: self.properties.clone(),
            store: self.store.clone(),
            membership: self.membership.clone(),
            leader: self.leader.clone(),
            catalog: self.catalog.clone(),
            cloud: CloudClient::new(self.http.clone(), &self.settings, self.traffic.clone(), Instant::now()),
            wakeups: self.wakeups.clone(),
        }
    }

    /// Creates the service behind the API for users.
    pub(super) fn users(&self, workers: Arc<WorkerService>) -> UserService {
        UserService {
            settings: self.settings.clone(),
            store: self.store.clone(),
            history: self.history.clone(),
            membership: self.membership.clone(),
            catalog: self.catalog.clone(),
            audit: self.audit.clone(),
            traffic: self.traffic.clone(),
            workers,
            admission: Mutex::new(Admission::new(Instant::now())),
        }
    }
}

/// Creates the handle of the state service, with a controller's initial share of the service's rate limits.
fn state_store(settings: &Settings, http: Http, traffic: Arc<Traffic>, now: Instant) -> StateStore {
    let (limits, others) = (&settings.params.state, settings.peers.len());
    let requests = initial_budget(REQUEST_SHARES, limits.rps, others, now);
    let writes = initial_budget(WRITE_SHARES, limits.write_rps, others, now);
    let client =
        StateClient::new(http, settings.endpoints.state.clone(), requests, writes, LimitTracker::new(limits), traffic);
    StateStore::new(Arc::new(client))
}
