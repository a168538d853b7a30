//! Errors of commands and their exit statuses.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::declarations::operator::{OperatorError, Refusal};
use crate::protocol::CallError;
use crate::protocol::jobs::InvalidField;
use crate::settings::SettingsError;

/// Exit status for rejected settings, arguments and requests.
const EXIT_REFUSED: u8 = 2;

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The settings or properties are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A file cannot be read.
    #[error("{}: {source}", file.display())]
    ReadFile {
        /// Path of the file.
        file: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// A file does not contain a job description.
    #[error("{}: {source}", file.display())]
    DecodeJob {
        /// Path of the file.
        file: PathBuf,
        /// The position and the reason of the decoding error.
        source: serde_json::Error,
    },
    /// The job description is invalid.
    #[error("{}: {reason}", file.display())]
    InvalidJob {
        /// Path of the file.
        file: PathBuf,
        /// The invalid field, its value and the values allowed.
        reason: InvalidField,
    },
    /// The value of `--node` is not an address.
    #[error("--node: {0:?} is not an IP address with a port")]
    InvalidAddress(String),
    /// The asynchronous runtime cannot be started.
    #[error(transparent)]
    Runtime(std::io::Error),
    /// A request to a controller got no usable answer.
    #[error("{node}: {source}")]
    Call {
        /// Address of the controller.
        node: String,
        /// Reason why there is no answer.
        source: CallError,
    },
    /// A controller answered with an error.
    #[error("{node} answered {status} {body}")]
    Answer {
        /// Address of the controller.
        node: String,
        /// The HTTP status.
        status: u16,
        /// Body of the answer as JSON.
        body: String,
    },
    /// Specs of a file were rejected.
    #[error("{}", prefix_with_file(file, refusals).join("\n"))]
    RefusedSpecs {
        /// Path of the file.
        file: PathBuf,
        /// The reasons, one per entry.
        refusals: Vec<Refusal>,
    },
    /// An operator command was not executed.
    #[error(transparent)]
    Operator(#[from] OperatorError),
}

fn prefix_with_file(file: &Path, refusals: &[Refusal]) -> Vec<String> {
    refusals.iter().map(|refusal| format!("{}: {refusal}", file.display())).collect()
}

impl CliError {
    /// Prints the error, one reason per line, and returns its exit status.
    pub fn report(&self) -> ExitCode {
        self.to_string().lines().for_each(|line| eprintln!("hollylanding: {line}"));
        if self.is_refusal() { ExitCode::from(EXIT_REFUSED) } else { ExitCode::FAILURE }
    }

    /// Whether the input was rejected, so that a retry would not help.
    fn is_refusal(&self) -> bool {
        match self {
            Self::Settings(_)
            | Self::ReadFile { .. }
            | Self::DecodeJob { .. }
            | Self::InvalidJob { .. }
            | Self::InvalidAddress(_)
            | Self::RefusedSpecs { .. }
            | Self::Operator(OperatorError::Refused(_)) => true,
            Self::Answer { status, .. } => !matches!(status, 429 | 500..),
            Self::Runtime(_) | Self::Call { .. } | Self::Operator(OperatorError::NoAnswer(_)) => false,
        }
    }
}
