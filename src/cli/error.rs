//! Why a command failed, and with which exit status.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use crate::declarations::operator::{OperatorError, Refusal};
use crate::protocol::CallError;
use crate::protocol::jobs::InvalidField;
use crate::settings::SettingsError;

/// Exit status of refused settings, arguments and requests.
const REFUSED: u8 = 2;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// The settings or properties cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A file cannot be read.
    #[error("{}: {source}", file.display())]
    ReadFile {
        /// The file.
        file: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// A file holds no description of a job.
    #[error("{}: {source}", file.display())]
    DecodeJob {
        /// The file.
        file: PathBuf,
        /// Where the text is no description of a job.
        source: serde_json::Error,
    },
    /// The described job cannot be submitted.
    #[error("{}: {reason}", file.display())]
    InvalidJob {
        /// The file.
        file: PathBuf,
        /// The field that cannot be used, and why.
        reason: InvalidField,
    },
    /// `--node` names no address.
    #[error("--node: {0:?} is not an IP address with a port")]
    InvalidAddress(String),
    /// The asynchronous runtime cannot be started.
    #[error(transparent)]
    Runtime(std::io::Error),
    /// A controller gives no answer.
    #[error("{node}: {source}")]
    Call {
        /// Its address.
        node: String,
        /// What happened instead.
        source: CallError,
    },
    /// A controller answers with an error.
    #[error("{node} answered {status} {body}")]
    Answer {
        /// Its address.
        node: String,
        /// The HTTP status.
        status: u16,
        /// The answer as JSON.
        body: String,
    },
    /// Specs of a file are refused.
    #[error("{}", with_file(file, refusals).join("\n"))]
    RefusedSpecs {
        /// The file.
        file: PathBuf,
        /// Why, one reason an entry.
        refusals: Vec<Refusal>,
    },
    /// An operator's verb was not carried out.
    #[error(transparent)]
    Operator(#[from] OperatorError),
}

fn with_file(file: &Path, refusals: &[Refusal]) -> Vec<String> {
    refusals.iter().map(|refusal| format!("{}: {refusal}", file.display())).collect()
}

impl CliError {
    /// Prints the error, one reason a line, and gives the exit status that goes with it.
    pub fn report(&self) -> ExitCode {
        self.to_string().lines().for_each(|line| eprintln!("hollylanding: {line}"));
        if self.is_refusal() { ExitCode::from(REFUSED) } else { ExitCode::FAILURE }
    }

    /// Whether trying again would not help.
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
