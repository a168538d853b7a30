//! Reads scenarios and sizes from files.

use std::path::Path;

use hollylanding_emulator::scenario::{self, Plan};
use hollylanding_emulator::sizes::{DEFAULT, Sizes};

use super::error::ProgramError;

/// A scenario with its sizes.
pub struct Scenario {
    /// The scenario's faults and settings.
    pub plan: Plan,
    /// The sizes of the rehearsal.
    pub sizes: Sizes,
}

/// Reads a text file.
fn read(path: &Path) -> Result<String, ProgramError> {
    std::fs::read_to_string(path).map_err(ProgramError::file(path))
}

/// Reads sizes from a file, or returns the default sizes if no file is given.
///
/// # Errors
/// The file cannot be read, or its sizes are invalid.
pub fn read_sizes(path: Option<&Path>) -> Result<Sizes, ProgramError> {
    let text = path.map_or_else(|| Ok(DEFAULT.to_owned()), read)?;
    Sizes::parse(&text).map_err(|source| ProgramError::Sizes { file: path.map(Path::to_owned), source })
}

/// Reads a scenario with its sizes: those of the given file, those of the file that the scenario names in its own
/// folder, or the default sizes.
///
/// # Errors
/// A file cannot be read, or is invalid.
pub fn read_scenario(path: &Path, sizes: Option<&Path>, seed: u64) -> Result<Scenario, ProgramError> {
    let script_error = |source| ProgramError::Script { file: Some(path.to_owned()), source };
    let plan = scenario::read(&read(path)?, seed).map_err(script_error)?;
    let named_sizes = plan.sizes.as_ref().map(|name| path.with_file_name(name));
    let sizes = read_sizes(sizes.or(named_sizes.as_deref()))?;
    Ok(Scenario { plan, sizes })
}

/// Checks a sizes file or a scenario, and returns a summary of its contents.
///
/// # Errors
/// The file cannot be read, or is invalid.
pub fn check(path: &Path) -> Result<String, ProgramError> {
    if path.extension().is_some_and(|extension| extension == "toml") {
        return Ok(format!("{} kinds of work", read_sizes(Some(path))?.work.len()));
    }
    Ok(format!("{} faults", read_scenario(path, None, 1)?.plan.steps.len()))
}
