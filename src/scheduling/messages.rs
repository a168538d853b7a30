//! Messages of workers: their kind, and their order.

/// How a worker's message reached this controller. Only a heartbeat proves that the response to an earlier heartbeat
/// can no longer take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A heartbeat that the worker sent by itself.
    Heartbeat,
    /// The reply to a direct command.
    CommandReply,
}

/// The position of a message in the sequence that one machine's worker sends. Later messages compare greater: each
/// start of the worker begins a new agent epoch, in which its messages are numbered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageSequence {
    /// The agent epoch; 0 before the first message.
    pub agent_epoch: u64,
    /// The number of the message within its agent epoch.
    pub number: u64,
}
