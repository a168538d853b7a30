//! Decides how a leader may respond to a worker's heartbeat, by what it can prove about its leadership. Pure functions
//! without side effects.

/// What a leader knows and can prove when a heartbeat arrives; its methods decide the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponsePolicy {
    /// The leader's cluster state is loaded.
    pub cluster_state_loaded: bool,
    /// What this controller knows of the present leader is recent enough to act on it towards workers
    /// (`membership::serving_state`).
    pub leader_known: bool,
    /// The process was paused, and no state was proven since.
    pub unproven_since_pause: bool,
    /// The store answers at least one controller.
    pub store_answers: bool,
}

impl ResponsePolicy {
    /// Whether the heartbeat is refused. After a process pause another controller may be the leader, which the worker
    /// finds by asking other controllers. While the store answers no controller, no other can become the leader either,
    /// and the worker's lease is renewed without new commands.
    pub fn refuses_heartbeat(&self) -> bool {
        self.unproven_since_pause && self.store_answers
    }

    /// Whether the leader may send commands other than those that stop tasks of ended jobs.
    pub fn may_command(&self) -> bool {
        self.leader_known && !self.unproven_since_pause
    }

    /// Whether all commands are sent; otherwise only those that stop tasks of ended jobs.
    pub fn sends_all_commands(&self) -> bool {
        self.may_command() && self.cluster_state_loaded
    }

    /// Whether the store may have ends of jobs that neither the leader's cluster state nor its watch cache has.
    /// `cache_covers_term` says whether the watch cache has everything that was stored before this leader's record.
    pub fn may_miss_ends(&self, cache_covers_term: bool) -> bool {
        !self.cluster_state_loaded && !cache_covers_term
    }

    /// Whether the worker's lease is renewed. A leader that may miss ends could keep tasks of ended jobs running, so it
    /// renews leases only while they still expire in time (`leases_expire_in_time`). A leader that may have been replaced
    /// renews leases only for machines that found no other leader (`holds_machine`). The functions are called only if
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
