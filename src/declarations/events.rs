//! Log events of declarations: each has a constant message, and its particulars are fields.
//!
//! Events follow from a status before and after a change. They are logged by the leader only once it has heard of the
//! change from the store, so that nothing is logged that was not stored.

use std::fmt::Debug;

use tracing::{error, info};

use super::records::DeclarationKind;

/// An event of one kind of declaration.
pub trait StatusEvent: Debug + Send {
    /// Logs it for the declaration of this name.
    fn log(&self, name: &str);
}

/// The event type of kinds that log nothing.
#[derive(Debug)]
pub enum NoEvent {}

impl StatusEvent for NoEvent {
    fn log(&self, _: &str) {
        match *self {}
    }
}

/// An event of any declaration.
#[derive(Debug)]
pub enum DeclarationEvent {
    /// Its status was dropped after its spec.
    Removed {
        /// The declaration's kind.
        kind: DeclarationKind,
        /// Its name.
        name: String,
    },
    /// The next status is larger than the store takes.
    StatusTooLarge {
        /// The declaration's kind.
        kind: DeclarationKind,
        /// Its name.
        name: String,
        /// Size of the status as JSON.
        bytes: usize,
    },
    /// Its status has changed in a way that its kind logs.
    StatusChanged {
        /// The declaration's name.
        name: String,
        /// What has changed.
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
