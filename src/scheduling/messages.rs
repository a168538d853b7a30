//! Messages of workers: how they reached this controller, and in which order they were made.

/// How a message reached us: only true heartbeats prove that an earlier answer is dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A heartbeat that the worker sent by itself.
    Heartbeat,
    /// The reply to a direct command.
    CommandReply,
}

/// The place of a message among all that one machine's worker sends. Later messages are greater: an agent epoch
/// begins with each start of the worker, and within it messages are numbered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageSequence {
    /// The agent epoch; 0 before the first message.
    pub agent_epoch: u64,
    /// The number of the message within its agent epoch.
    pub number: u64,
}
