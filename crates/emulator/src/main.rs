//! The emulator's command line: runs the whole service on one machine, rehearses failures and checks scenarios.

mod program;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use hollylanding_emulator::scenario::Plan;
use program::error::ProgramError;
use program::files::{Scenario, check, read_scenario, read_sizes};
use program::run::{Rehearsal, rehearse, up};
use program::soak::soak;

/// Exit status if a rule was violated, a result was lost, or the command could not be run.
const EXIT_FAILED: u8 = 1;
/// Exit status for invalid arguments or files.
const EXIT_INVALID_INPUT: u8 = 2;

/// An emulated cloud, state service and fleet on loopback, with hollylanding's controllers as real processes.
///
/// Exit status: 0 success; 1 a rule was violated, a result was lost, or the command could not be run; 2 an invalid
/// argument or file.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the deployment until Ctrl-C, and prints commands to try
    Up {
        /// Sizes file (TOML); without it the sizes of scenarios/default.toml
        #[arg(long, value_name = "FILE")]
        sizes: Option<PathBuf>,
        /// Folder for settings and logs
        #[arg(long, value_name = "DIR", default_value = "target/rehearsal/up")]
        folder: PathBuf,
    },
    /// Runs a scenario and checks the recorded history
    Rehearse {
        /// Scenario file (rhai); without it no faults are injected
        file: Option<PathBuf>,
        /// Sizes file (TOML), instead of the one that the scenario names
        #[arg(long, value_name = "FILE")]
        sizes: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Runs rehearsals with pairs of faults drawn by the seed instead, for this many minutes
        #[arg(long, value_name = "MINUTES", conflicts_with = "file")]
        soak: Option<f64>,
        /// Folder for settings, logs and the report
        #[arg(long, value_name = "DIR", default_value = "target/rehearsal")]
        folder: PathBuf,
    },
    /// Checks whether a scenario and its sizes are well-formed
    Check {
        /// Scenario file (rhai) or sizes file (TOML)
        file: PathBuf,
    },
}

/// Prints an error and returns the exit status.
fn fail(error: &ProgramError, status: u8) -> ExitCode {
    eprintln!("hollylanding-emulator: {error}");
    ExitCode::from(status)
}

/// The exit status for the outcome of a command.
fn report_outcome(outcome: Result<bool, ProgramError>) -> ExitCode {
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILED),
        Err(error) => fail(&error, EXIT_FAILED),
    }
}

/// Runs a command. Errors of invalid files are returned; all other errors determine the exit status.
fn run_command(command: Command) -> Result<ExitCode, ProgramError> {
    match command {
        Command::Check { file } => {
            println!("{}: well-formed, {}", file.display(), check(&file)?);
            Ok(ExitCode::SUCCESS)
        }
        Command::Up { sizes, folder } => {
            let sizes = read_sizes(sizes.as_deref())?;
            Ok(report_outcome(up(&sizes, &folder).map(|()| true)))
        }
        Command::Rehearse { file: None, sizes, seed, soak: Some(minutes), folder } => {
            let sizes = read_sizes(sizes.as_deref())?;
            Ok(report_outcome(soak(minutes, seed, &sizes, &folder)))
        }
        Command::Rehearse { file: None, sizes, seed, soak: None, folder } => {
            let (sizes, plan) = (read_sizes(sizes.as_deref())?, Plan::default());
            let (title, folder) = ("nothing goes wrong", folder.as_path());
            Ok(report_outcome(rehearse(&Rehearsal { title, file: None, plan: &plan, sizes: &sizes, seed, folder })))
        }
        Command::Rehearse { file: Some(file), sizes, seed, folder, .. } => {
            let Scenario { plan, sizes } = read_scenario(&file, sizes.as_deref(), seed)?;
            let title = file.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
            let (title, file, folder) = (title.as_str(), Some(file.as_path()), folder.as_path());
            Ok(report_outcome(rehearse(&Rehearsal { title, file, plan: &plan, sizes: &sizes, seed, folder })))
        }
    }
}

fn main() -> ExitCode {
    run_command(Cli::parse().command).unwrap_or_else(|error| fail(&error, EXIT_INVALID_INPUT))
}
