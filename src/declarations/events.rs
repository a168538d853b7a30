//! Log events of declarations. Each has a constant message and carries its details in fields.
//!
//! Events are derived from the status before and after a change. The leader logs them only once it has observed the
//! change in the store, so that nothing is logged that was not stored.

use std::fmt::Debug;

use tracing::{error, info};

use super::records::DeclarationKind;

/// A change of status of one kind of declaration that can be logged.
pub trait StatusEvent: Debug + Send {
    /// Logs the event for the declaration named `name`.
    fn log(&self, name: &str);
}

/// The uninhabited event type of kinds that log no status changes.
#[derive(Debug)]
pub enum NoEvent {}

impl StatusEvent for NoEvent {
    fn log(&self, _: &str) {
        match *self {}
    }
}

/// An event of a declaration of any kind.
#[derive(Debug)]
pub enum DeclarationEvent {
    /// The status was deleted after its specification.
    Removed {
        /// The declaration's kind.
        kind: DeclarationKind,
        /// The declaration's name.
        name: String,
    },
    /// The next status exceeds the size limit of a stored value.
    StatusTooLarge {
        /// The declaration's kind.
        kind: DeclarationKind,
        /// The declaration's name.
        name: String,
        /// Size of the status as JSON, in bytes.
        bytes: usize,
    },
    /// The status changed in a way that the kind logs.
    StatusChanged {
        /// The declaration's name.
        name: String,
        /// The change.
        event: Box<dyn StatusEvent>,
    },
}

impl DeclarationEvent {
    /// Logs the event.
    pub fn log(&self) {
        match self {
            Self::Removed { kind, name } => info!(kind = kind.as_str(), name, "declaration removed"),
            Self::StatusTooLarge { kind, name, bytes } => {
                error!(kind = kind.as_str(), name, bytes, "declaration status too large; keeping the previous status");
            }
            Self::StatusChanged { name, event } => event.log(name),
        }
    }
}
