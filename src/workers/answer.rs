//! What a leader may answer to a worker's heartbeat, depending on what it can prove of its leadership. Pure.

/// What a leader knows when a heartbeat comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rights {
    /// Its cluster state is loaded.
    pub loaded: bool,
    /// What is known here of who leads may be acted on towards workers (`membership::serving_state`).
    pub knows: bool,
    /// Nothing was proven yet since a process pause.
    pub unproven: bool,
    /// The store answers somebody.
    pub serves: bool,
}

impl Rights {
    /// After a process pause another may lead: the worker finds it by asking elsewhere. Where the store answers
    /// nobody, no other can lead either, and the worker's lease is held without telling it anything new.
    pub fn silent(&self) -> bool {
        self.unproven && self.serves
    }

    /// Whether it may act as the leader: give orders beyond stopping what is over.
    pub fn acts(&self) -> bool {
        self.knows && !self.unproven
    }

    /// Whether all orders are given; else only what is over is stopped.
    pub fn whole(&self) -> bool {
        self.acts() && self.loaded
    }

    /// Whether ends may have been stored that neither its cluster state nor its watch cache has. `through`: the watch
    /// cache has heard all that was stored before its leader record.
    pub fn blind(&self, through: bool) -> bool {
        !self.loaded && !through
    }

    /// Whether the machine is answered. What has ended since its last proof is in no cluster state of one that is
    /// blind: whoever is not held may run on nowhere. `spare`: its leases still end in time; `kept`: whether one that
    /// may be leader no more holds this machine, asked only where it matters.
    pub fn holds(&self, through: bool, spare: impl FnOnce() -> bool, kept: impl FnOnce() -> bool) -> bool {
        (!self.blind(through) || spare()) && (self.knows || kept())
    }
}
