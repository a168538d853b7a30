//! Notifications between the tasks of one controller: code that changes shared state wakes the loops that act on it.

use tokio::sync::Notify;

/// One notification for each loop that waits for changes. Every loop also runs again after a timeout, so that a missed
/// notification only causes a delay.
#[derive(Default)]
pub struct Wakeups {
    /// Wakes the election (`membership::run`): the leader, the lease holder or this process's own proofs may have
    /// changed.
    pub membership: Notify,
    /// Wakes placement (`scheduling::run`): heartbeats, jobs or stored state changed.
    pub plan: Notify,
    /// Wakes the group commit: the cluster state has unsaved changes.
    pub commit: Notify,
    /// Wakes `workers::dispatch`: commands may be due.
    pub dispatch: Notify,
    /// Wakes `fleet`: the machines to scale out or in may have changed.
    pub fleet: Notify,
    /// Wakes the declarations loop (`declarations::run`): a specification or a status changed.
    pub declarations: Notify,
    /// Wakes the confirmation of cancellations (`membership::run_confirmations`): a cancellation was stored.
    pub confirmation: Notify,
}
