//! How a leader may respond to a worker's heartbeat, by what it can prove of its leadership. Pure.

/// What a leader can prove when a heartbeat arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponsePolicy {
    /// Its cluster state is loaded.
    pub cluster_state_loaded: bool,
    /// What is known here of who leads is recent enough to be acted on towards workers (`membership::serving_state`).
    pub leader_known: bool,
    /// The process was paused, and nothing was proven since.
    pub unproven_since_pause: bool,
    /// The store answers at least one controller.
    pub store_answers: bool,
}

impl ResponsePolicy {
    /// Whether the worker gets no answer. After a process pause another controller may lead, which the worker finds by
    /// asking elsewhere. Where the store answers nobody, no other can lead either, and the worker's lease is renewed
    /// without new commands.
    pub fn stays_silent(&self) -> bool {
        self.unproven_since_pause && self.store_answers
    }

    /// Whether it may act as the leader and give commands beyond stopping tasks of ended jobs.
    pub fn may_command(&self) -> bool {
        self.leader_known && !self.unproven_since_pause
    }

    /// Whether all commands are sent; otherwise only tasks of ended jobs are stopped.
    pub fn sends_all_commands(&self) -> bool {
        self.may_command() && self.cluster_state_loaded
    }

    /// Whether ends of jobs may be stored that neither its cluster state nor its watch cache has.
    /// `cache_covers_term`: the watch cache has everything that was stored before this leader's leader record.
    pub fn may_miss_ends(&self, cache_covers_term: bool) -> bool {
        !self.cluster_state_loaded && !cache_covers_term
    }

    /// Whether the worker's lease is renewed. A leader that may miss ends could keep tasks of ended jobs running, so it
    /// renews only while the leases still expire in time (`leases_expire_in_time`). One that may no longer be the
    /// leader renews only for machines that found no other (`holds_machine`). The functions are called only where
    /// their results matter.
    pub fn renews_lease(
        &self,
        cache_covers_term: bool,
        leases_expire_in_time: impl FnOnce() -> bool,
        holds_machine: impl FnOnce() -> bool,
    ) -> bool {
        (!self.may_miss_ends(cache_covers_term) || leases_expire_in_time()) && (self.leader_known || holds_machine())
    }
}
