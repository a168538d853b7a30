//! Reads scenarios and sizes from files.

use std::path::Path;

use hollylanding_emulator::scenario::{self, Plan};
use hollylanding_emulator::sizes::{DEFAULT, Sizes};

use super::error::ProgramError;

/// A scenario with the sizes that it runs in.
pub struct Scenario {
    /// Its faults and settings.
    pub plan: Plan,
    /// The sizes.
    pub sizes: Sizes,
}

fn read(path: &Path) -> Result<String, ProgramError> {
    std::fs::read_to_string(path).map_err(ProgramError::file(path))
}

/// Reads sizes, or gives the default ones where no file is given.
///
/// # Errors
/// The file cannot be read, or its sizes are wrong.
pub fn read_sizes(path: Option<&Path>) -> Result<Sizes, ProgramError> {
    let text = path.map_or_else(|| Ok(DEFAULT.to_owned()), read)?;
    Sizes::parse(&text).map_err(|source| ProgramError::Sizes { file: path.map(Path::to_owned), source })
}

/// Reads a scenario with its sizes: those given, those that it names in its own folder, or the default ones.
///
/// # Errors
/// A file cannot be read, or is wrong.
pub fn read_scenario(path: &Path, sizes: Option<&Path>, seed: u64) -> Result<Scenario, ProgramError> {
    let wrong = |source| ProgramError::Script { file: Some(path.to_owned()), source };
    let plan = scenario::read(&read(path)?, seed).map_err(wrong)?;
    let own_sizes = plan.sizes.as_ref().map(|name| path.with_file_name(name));
    let sizes = read_sizes(sizes.or(own_sizes.as_deref()))?;
    Ok(Scenario { plan, sizes })
}

/// What a well-formed file of sizes or a scenario holds, in words.
///
/// # Errors
/// The file cannot be read, or is wrong.
pub fn check(path: &Path) -> Result<String, ProgramError> {
    if path.extension().is_some_and(|extension| extension == "toml") {
        return Ok(format!("{} kinds of work", read_sizes(Some(path))?.work.len()));
    }
    Ok(format!("{} faults", read_scenario(path, None, 1)?.plan.steps.len()))
}
