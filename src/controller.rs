//! One controller: creates the owners of its state, passes them to their users, and starts their loops.
//!
//! Only the command line (`cli`) depends on this module. `membership` documents which locks may be held together and in
//! which order.

mod state_owners;

use std::sync::{Arc, Weak};
use std::time::Instant;

use tokio::task::AbortHandle;
use tracing::{debug, error, info};

use crate::audit::{self, Auditor};
use crate::declarations::{self, context::DeclarationState};
use crate::fleet::{self, Fleet};
use crate::history::end_sweep_loop;
use crate::history::job_history::JobHistory;
use crate::history::reader::{self, HistoryReader};
use crate::machine_kinds::SharedCatalog;
use crate::membership::{self, Membership, SHARE_INTERVAL, mesh};
use crate::process_pause::CHECK_INTERVAL;
use crate::scheduling::commit::{self, GroupCommit};
use crate::scheduling::leader_state::LeaderState;
use crate::scheduling::scheduler::Scheduler;
use crate::scheduling::scheduling_loop;
use crate::settings::{Properties, Settings};
use crate::store::handle::StateStore;
use crate::store::{read_barrier, watch};
use crate::sync::lock;
use crate::traffic::Traffic;
use crate::users::UserService;
use crate::workers::{WorkerService, dispatch};
use state_owners::StateOwners;

/// One controller with all its components.
pub struct Controller {
    /// The platform's settings, validated at the start.
    pub settings: Arc<Settings>,
    /// The state service: its client, the watch cache and the read barrier.
    pub store: Arc<StateStore>,
    /// The machine types that the cloud offers.
    pub catalog: Arc<SharedCatalog>,
    /// The leader election, and proofs of leadership and freshness.
    pub membership: Arc<Membership>,
    /// The API for users.
    pub users: Arc<UserService>,
    traffic: Arc<Traffic>,
    history: Arc<JobHistory>,
    leader: Arc<LeaderState>,
    audit: Arc<Auditor>,
    scheduler: Arc<Scheduler>,
    group_commit: Arc<GroupCommit>,
    workers: Arc<WorkerService>,
    fleet: Arc<Fleet>,
    declarations: Arc<DeclarationState>,
}

impl Controller {
    /// Creates a controller that is inactive until [`Self::start`].
    pub fn new(settings: Settings, properties: Properties) -> Arc<Self> {
        let owners = StateOwners::new(settings, properties, Instant::now());
        let declarations = Arc::new(owners.declarations());
        let workers = Arc::new(owners.workers());
        let controller = Arc::new(Self {
            scheduler: Arc::new(owners.scheduler(declarations.clone())),
            group_commit: Arc::new(owners.group_commit()),
            fleet: Arc::new(owners.fleet()),
            users: Arc::new(owners.users(workers.clone())),
            declarations,
            workers,
            settings: owners.settings,
            store: owners.store,
            catalog: owners.catalog,
            membership: owners.membership,
            traffic: owners.traffic,
            history: owners.history,
            leader: owners.leader,
            audit: owners.audit,
        });
        // A weak reference, since the controller owns the membership that holds this closure.
        let weak = Arc::downgrade(&controller);
        let start = move || Weak::upgrade(&weak).map(|this| this.start_leader_loops()).unwrap_or_default();
        controller.membership.set_leader_loops(start);
        controller
    }

    /// Starts everything except the listener for users and workers.
    pub fn start(self: &Arc<Self>) {
        tokio::spawn(watch::run(self.store.clone(), self.membership.clone()));
        tokio::spawn(read_barrier::run(self.store.clone(), self.membership.clone()));
        let reader = HistoryReader { history: self.history.clone(), store: self.store.clone() };
        tokio::spawn(reader::run(Arc::new(reader)));
        tokio::spawn(end_sweep_loop::run(self.history.clone(), self.store.client.clone()));
        tokio::spawn(audit::run(self.audit.clone()));
        tokio::spawn(membership::run(self.membership.clone()));
        tokio::spawn(membership::run_confirmations(self.membership.clone()));
        tokio::spawn(mesh::accept_connections(self.membership.clone()));
        for peer in &self.settings.peers {
            tokio::spawn(mesh::send_lines(self.membership.clone(), peer.clone()));
        }
        let controller = self.clone();
        tokio::spawn(fleet::poll_catalog(self.fleet.clone(), move || controller.log_entry_counts()));
        let traffic = self.traffic.clone();
        tokio::spawn(async move { traffic.run().await });
        let membership = self.membership.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(SHARE_INTERVAL).await;
                membership.update_store_shares();
            }
        });
        let membership = self.membership.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(CHECK_INTERVAL).await;
                membership.detect_pause(Instant::now());
            }
        });
    }

    /// Starts the loops that run while this controller is the leader.
    fn start_leader_loops(&self) -> Vec<AbortHandle> {
        vec![
            tokio::spawn(scheduling_loop::run(self.scheduler.clone())).abort_handle(),
            tokio::spawn(commit::run(self.group_commit.clone())).abort_handle(),
            tokio::spawn(dispatch::run(self.workers.clone())).abort_handle(),
            tokio::spawn(fleet::run(self.fleet.clone())).abort_handle(),
            tokio::spawn(declarations::run::run_declarations(self.declarations.clone())).abort_handle(),
        ]
    }

    /// Returns the number of entries in each collection that can grow, for operators and tests. Each is bounded by open
    /// work, the number of machines or a constant (docs/history.md).
    pub fn entry_counts(&self) -> Vec<(&'static str, usize)> {
        let mut counts = Vec::new();
        {
            let watch_cache = self.store.watch_cache();
            counts.push(("open_jobs", watch_cache.open_jobs().count()));
            counts.push(("open_tasks", watch_cache.open_work().tasks as usize));
            counts.push(("descriptions", watch_cache.ended_count()));
            counts.push(("declared", watch_cache.registry().entry_count()));
        }
        let history = self.history.counts();
        counts.push(("audited", self.audit.remembered()));
        counts.extend([
            ("ends", history.cached_ends),
            ("asked", history.queued_jobs),
            ("waiting", history.waiters),
            ("hidden", self.history.hidden_cancellations().remembered),
        ]);
        counts.push(("served", self.leader.accounting().entry_count()));
        counts.push(("in_admission", lock(&self.users.admission).waiting_count()));
        counts.extend(self.membership.entry_counts());
        if let Some(cluster) = self.leader.cluster().as_ref() {
            counts.extend(cluster.entry_counts());
        }
        counts
    }

    /// Logs [`Self::entry_counts`] at `debug`.
    pub fn log_entry_counts(&self) {
        if tracing::enabled!(tracing::Level::DEBUG) {
            let counts: Vec<String> =
                self.entry_counts().iter().map(|(name, count)| format!("{name}={count}")).collect();
            debug!(entries = counts.join(" "), "entry counts reported");
        }
    }
}

/// Runs a controller on the current thread until it is killed.
///
/// # Errors
/// The runtime cannot be started or the API listener fails.
pub fn serve(settings: Settings, properties: Properties) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let controller = Controller::new(settings, properties);
        info!(
            controller = controller.settings.node,
            incarnation = controller.membership.incarnation,
            "controller started"
        );
        // Binds the address first: success proves that an earlier process of this name is gone, which membership relies
        // on.
        let outcome = async {
            let acceptor = crate::users::bind(&controller.users).await?;
            controller.start();
            crate::users::serve(controller.users.clone(), acceptor).await
        }
        .await;
        if let Err(error) = &outcome {
            error!(%error, address = controller.settings.listen, "API listener failed; exiting");
        }
        outcome
    })
}
