//! The errors of the program.

use std::path::{Path, PathBuf};

use hollylanding_emulator::controllers::ControllerError;
use hollylanding_emulator::report::ReportError;
use hollylanding_emulator::scenario::ScriptError;
use hollylanding_emulator::sizes::SizesError;

/// Why the program failed.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// A file cannot be read or written.
    #[error("{}: {source}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// Sizes are invalid.
    #[error("{}{source}", prefix(file.as_deref()))]
    Sizes {
        /// The sizes file; none for the default sizes.
        file: Option<PathBuf>,
        /// The error.
        source: SizesError,
    },
    /// A scenario is invalid.
    #[error("{}{source}", prefix(file.as_deref()))]
    Script {
        /// The scenario's file; none for a script that was drawn at random.
        file: Option<PathBuf>,
        /// The error.
        source: ScriptError,
    },
    /// The asynchronous runtime cannot be started.
    #[error(transparent)]
    Runtime(std::io::Error),
    /// The controllers cannot be run.
    #[error(transparent)]
    Controllers(#[from] ControllerError),
    /// The progress bar cannot be drawn.
    #[error(transparent)]
    ProgressBar(#[from] indicatif::style::TemplateError),
    /// The report cannot be rendered.
    #[error(transparent)]
    Report(#[from] ReportError),
}

impl ProgramError {
    /// The error of an operation on a file.
    pub fn file(file: &Path) -> impl FnOnce(std::io::Error) -> Self {
        let file = file.to_owned();
        move |source| Self::File { file, source }
    }
}

/// The path of a file as a prefix of an error message.
fn prefix(file: Option<&Path>) -> String {
    file.map(|file| format!("{}: ", file.display())).unwrap_or_default()
}
