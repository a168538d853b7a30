//! Notifications between the tasks of one controller: whoever changes something wakes the loops that act on it.

use tokio::sync::{Notify, watch};

/// One notification for each loop that waits for changes. A loop also looks again by itself after a while, so that a
/// missed notification costs time and nothing else.
#[derive(Default)]
pub struct Wakeups {
    /// Wakes the election (`membership::run`): the leader, the lease holder or this process's own proofs may have
    /// changed.
    pub membership: Notify,
    /// Wakes placement (`scheduling::run`): heartbeats, jobs or what is stored changed.
    pub plan: Notify,
    /// Wakes the group commit: the cluster state has something to store.
    pub commit: Notify,
    /// Wakes `workers::dispatch`: commands may be due.
    pub dispatch: Notify,
    /// Wakes `fleet`: what to scale out or in may have changed.
    pub fleet: Notify,
    /// Wakes the driver of declarations (`declarations::run`): a specification or a status changed.
    pub declarations: Notify,
    /// The cancellation watermark is to be sent to the other controllers at once (`membership::mesh`).
    pub mesh: watch::Sender<()>,
}
