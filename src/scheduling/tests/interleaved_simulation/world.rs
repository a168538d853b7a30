//! The state of the model: the store, the workers, the leaders, the messages in transit, and the records for the
//! checks.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hollylanding_emulator::world::store::Store;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::leaders::Leader;
use super::messages::Message;
use super::users::Users;
use super::workers::Worker;
use crate::jobs::JobId;
use crate::jobs::record::JobRecord;
use crate::machine_kinds::tests::machine_type;
use crate::machine_kinds::{Catalog, MachineType};
use crate::protocol::workers::TaskKey;
use crate::store::TransactionLimits;

/// A simulated cluster with its controllers, store, cloud and users.
pub(super) struct World {
    pub(super) rng: StdRng,
    /// Draws which commands are repeated.
    pub(super) repeats_rng: StdRng,
    pub(super) start: Instant,
    pub(super) now: Instant,
    pub(super) store: Store,
    /// The limits on a transaction that the store applies at once; late copies are applied whatever their size.
    pub(super) store_limits: TransactionLimits,
    /// The step at which the store lowers its limits, and the limits from then on.
    pub(super) lowered_limits: Option<(usize, TransactionLimits)>,
    /// Number of transactions that were refused for their size.
    pub(super) too_large_transactions: usize,
    /// Number of shards that were split off others.
    pub(super) split_shards: usize,
    pub(super) workers: Vec<Worker>,
    /// All controllers that have led, by the order of their elections; none once one has ended or steps down.
    pub(super) leaders: Vec<Option<Leader>>,
    /// Index of the leader that was elected last.
    pub(super) leader: usize,
    /// Leaders that have ended, and the leader that is reached at the same address now.
    pub(super) restarted_as: HashMap<usize, usize>,
    /// Earliest time of the next election: until then the election lease of a leader that has ended is valid.
    pub(super) next_leader_from: Instant,
    /// Messages in transit with their delivery times.
    pub(super) messages: Vec<(Instant, Message)>,
    /// Ids of direct commands that were answered or timed out, whichever came first.
    pub(super) settled_commands: HashSet<u64>,
    pub(super) last_command_id: u64,
    pub(super) records: BTreeMap<JobId, Arc<JobRecord>>,
    /// When each cancellation was confirmed to its user, or stored where the model has no users.
    pub(super) cancelled_since: HashMap<JobId, Instant>,
    /// When the end of each job was stored.
    pub(super) ended_since: HashMap<JobId, Instant>,
    pub(super) completed: HashSet<TaskKey>,
    pub(super) catalog: Catalog,
    pub(super) started_attempts: usize,
    pub(super) process_pauses: usize,
    pub(super) late_copies: usize,
    pub(super) repeated_commands: usize,
    pub(super) inbound_partitions: usize,
    pub(super) leader_partitions: usize,
    pub(super) leader_restarts: usize,
    pub(super) failed_attempts: usize,
    /// Number of machines; each terminated one is replaced.
    pub(super) machine_count: usize,
    /// Jobs that are submitted at most.
    pub(super) max_jobs: usize,
    /// No more faults are drawn, and messages are neither delayed for long nor duplicated.
    pub(super) fault_free: bool,
    /// Until then the cloud carries out no request.
    pub(super) cloud_out_until: Instant,
    pub(super) users: Users,
}

impl World {
    /// Creates a world without users, with this number of machines and a first leader.
    pub(super) fn new(seed: u64, machines: usize) -> Self {
        let start = Instant::now() + Duration::from_secs(3600);
        let machine_type = MachineType { boot_s: 10.0, ..machine_type("t", 4.0, 0.0, 1.0) };
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            repeats_rng: StdRng::seed_from_u64(seed),
            start,
            now: start,
            store: Store::default(),
            store_limits: TransactionLimits::of_changes(usize::MAX),
            lowered_limits: None,
            too_large_transactions: 0,
            split_shards: 0,
            workers: (0..machines).map(|n| Worker::new(n, start)).collect(),
            leaders: Vec::new(),
            leader: 0,
            restarted_as: HashMap::new(),
            next_leader_from: start,
            messages: Vec::new(),
            settled_commands: HashSet::new(),
            last_command_id: 0,
            records: BTreeMap::new(),
            cancelled_since: HashMap::new(),
            ended_since: HashMap::new(),
            completed: HashSet::new(),
            catalog: Catalog { types: vec![machine_type] },
            started_attempts: 0,
            process_pauses: 0,
            late_copies: 0,
            repeated_commands: 0,
            inbound_partitions: 0,
            leader_partitions: 0,
            leader_restarts: 0,
            failed_attempts: 0,
            machine_count: machines,
            max_jobs: machines * 2 + 2,
            fault_free: false,
            cloud_out_until: start,
            users: Users::new(false, start),
        };
        world.take_over();
        world
    }
}
