//! The state of the model: store, workers, leaders, messages on their way, and what the checks remember.

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

pub(super) struct World {
    pub(super) rng: StdRng,
    pub(super) start: Instant,
    pub(super) now: Instant,
    pub(super) store: Store,
    pub(super) workers: Vec<Worker>,
    pub(super) leaders: Vec<Option<Leader>>,
    pub(super) leader: usize,
    /// Who came back at the address of a process that was ended.
    pub(super) reborn: HashMap<usize, usize>,
    /// The lease of an ended lease holder runs until then.
    pub(super) leads_from: Instant,
    pub(super) messages: Vec<(Instant, Message)>,
    /// Direct commands that were answered or given up, whichever came first.
    pub(super) over: HashSet<u64>,
    pub(super) commands: u64,
    pub(super) records: BTreeMap<JobId, Arc<JobRecord>>,
    pub(super) cancelled: HashMap<JobId, Instant>,
    /// When each end was stored.
    pub(super) ended_since: HashMap<JobId, Instant>,
    pub(super) completed: HashSet<TaskKey>,
    pub(super) catalog: Catalog,
    pub(super) starts: usize,
    pub(super) process_pauses: usize,
    pub(super) copies: usize,
    pub(super) inbound_lost: usize,
    pub(super) cuts: usize,
    pub(super) restarts: usize,
    pub(super) failures: usize,
    pub(super) machines: usize,
    pub(super) jobs: usize,
    pub(super) quiet: bool,
    pub(super) users: Users,
}

impl World {
    pub(super) fn new(seed: u64, machines: usize) -> Self {
        let start = Instant::now() + Duration::from_secs(3600);
        let of = MachineType { boot_s: 10.0, ..machine_type("t", 4.0, 0.0, 1.0) };
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            start,
            now: start,
            store: Store::default(),
            workers: (0..machines).map(|n| Worker::new(n, start)).collect(),
            leaders: Vec::new(),
            leader: 0,
            reborn: HashMap::new(),
            leads_from: start,
            messages: Vec::new(),
            over: HashSet::new(),
            commands: 0,
            records: BTreeMap::new(),
            cancelled: HashMap::new(),
            ended_since: HashMap::new(),
            completed: HashSet::new(),
            catalog: Catalog { types: vec![of] },
            starts: 0,
            process_pauses: 0,
            copies: 0,
            inbound_lost: 0,
            cuts: 0,
            restarts: 0,
            failures: 0,
            machines,
            jobs: machines * 2 + 2,
            quiet: false,
            users: Users::new(false, start),
        };
        world.take_over();
        world
    }
}
