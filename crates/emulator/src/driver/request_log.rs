//! The requests that the world has carried out and answered, kept so that a test can deliver them once more.

use hollylanding_protocol::state::CompareAndSwap;
use hollylanding_protocol::workers::WorkerCommands;
use serde_json::Value;

/// Direct commands that a worker has carried out.
#[derive(Debug, Clone)]
pub struct CarriedOutCommands {
    /// The machine of the worker.
    pub machine: String,
    /// The commands, with their fencing token and agent epoch.
    pub commands: WorkerCommands,
}

/// Requests in the order in which they were carried out. Nothing is recorded until [`Self::enable`] is called.
#[derive(Debug, Default)]
pub struct RequestLog {
    enabled: bool,
    /// Direct commands that were answered 200.
    pub commands: Vec<CarriedOutCommands>,
    /// Transactions with changes that were applied.
    pub transactions: Vec<CompareAndSwap<'static>>,
}

impl RequestLog {
    /// Records all requests from now on.
    pub fn enable(&mut self) {
        self.enabled = true;
    }

    pub(super) fn record_commands(&mut self, machine: &str, commands: WorkerCommands) {
        if self.enabled {
            self.commands.push(CarriedOutCommands { machine: machine.to_owned(), commands });
        }
    }

    /// Records the transaction in this request body if it changes anything.
    pub(super) fn record_transaction(&mut self, body: &Value) {
        if !self.enabled {
            return;
        }
        let transaction = serde_json::from_value::<CompareAndSwap>(body.clone());
        self.transactions.extend(transaction.into_iter().filter(|t| !t.apply.is_empty()));
    }
}
