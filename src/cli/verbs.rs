//! Operator commands: they read and change declarations through the state service.

use std::path::{Path, PathBuf};
use std::time::Duration;

use chrono::DateTime;
use clap::{Args, Subcommand, ValueEnum};
use serde_json::{Value, json};

use super::error::CliError;
use super::start_runtime;
use crate::declarations::DeclarationKind;
use crate::declarations::operator::{DeclarationReport, Operator, OperatorError};
use crate::declarations::table::KINDS;
use crate::jobs::record::time_of_day_ms;
use crate::settings::Settings;

/// Time without an answer after which a command fails.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

// The doc comments of the arguments below are the texts of `--help`.
#[derive(Args, Clone)]
pub struct CommonOptions {
    /// Settings file (JSON) written by the platform; it contains the address of the state service
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Print the output as JSON
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum RolloutVerb {
    Pause,
    Resume,
    Back,
    Finish,
}

#[derive(Subcommand)]
pub enum Verb {
    /// Declare the windows, heat rules, readings or rollouts of a file: all of them, or none if any is invalid
    Declare {
        /// Kind of declaration: window, heat, reading or rollout
        #[arg(value_parser = parse_kind)]
        kind: DeclarationKind,
        /// File with one JSON object, including its name, or a list of such objects
        file: PathBuf,
        /// Only validate the file, without contacting the state service
        #[arg(long)]
        check: bool,
        #[command(flatten)]
        common: CommonOptions,
    },
    /// Show declarations and their status
    Show {
        #[arg(value_parser = parse_kind)]
        kind: Option<DeclarationKind>,
        name: Option<String>,
        #[command(flatten)]
        common: CommonOptions,
    },
    /// Remove a declaration; its owner reports the removal and discards its state
    Remove {
        #[arg(value_parser = parse_kind)]
        kind: DeclarationKind,
        name: String,
        #[command(flatten)]
        common: CommonOptions,
    },
    /// Acknowledge a reported condition, such as a missed window
    Confirm {
        #[arg(value_parser = parse_kind)]
        kind: DeclarationKind,
        name: String,
        #[command(flatten)]
        common: CommonOptions,
    },
    /// Store a sensor reading
    Reading {
        /// Name of the sensor
        name: String,
        #[arg(allow_negative_numbers = true)]
        value: f64,
        /// Time of the reading, such as 2026-07-01T12:30:00+02:00; defaults to the current time
        #[arg(long, value_parser = parse_time_ms)]
        at: Option<u64>,
        #[command(flatten)]
        common: CommonOptions,
    },
    /// Pause or resume a rollout, roll it back, or finish it by cancelling the old job
    Rollout {
        step: RolloutVerb,
        name: String,
        /// Address of the controller that cancels the old job; defaults to the controller of the settings file
        #[arg(long)]
        node: Option<String>,
        #[command(flatten)]
        common: CommonOptions,
    },
}

/// Error of parsing an argument.
#[derive(Debug, thiserror::Error)]
enum ArgumentError {
    #[error("none of {}", DeclarationKind::ALL.map(DeclarationKind::as_str).join(", "))]
    UnknownKind,
    #[error(transparent)]
    InvalidTime(#[from] chrono::ParseError),
    #[error("before 1970")]
    TooEarly,
}

fn parse_kind(name: &str) -> Result<DeclarationKind, ArgumentError> {
    DeclarationKind::from_name(name).ok_or(ArgumentError::UnknownKind)
}

/// Parses an RFC 3339 time into milliseconds since 1970.
fn parse_time_ms(text: &str) -> Result<u64, ArgumentError> {
    let time = DateTime::parse_from_rfc3339(text)?;
    u64::try_from(time.timestamp_millis()).map_err(|_| ArgumentError::TooEarly)
}

impl Verb {
    fn common(&self) -> &CommonOptions {
        match self {
            Self::Declare { common, .. }
            | Self::Show { common, .. }
            | Self::Remove { common, .. }
            | Self::Confirm { common, .. }
            | Self::Reading { common, .. }
            | Self::Rollout { common, .. } => common,
        }
    }
}

/// Output of a command.
struct VerbOutput {
    /// Lines printed without `--json`.
    lines: Vec<String>,
    /// Value printed with `--json`.
    json: Value,
}

impl VerbOutput {
    fn completed(outcome: &str, kind: DeclarationKind, name: &str) -> Self {
        let json = json!({"kind": kind, "name": name, "done": outcome});
        Self { lines: vec![format!("{kind} {name}: {outcome}")], json }
    }
}

/// Executes an operator command and prints its output.
///
/// # Errors
/// The settings are invalid, the command is rejected, or there is no answer.
pub fn run_verb(verb: &Verb) -> Result<(), CliError> {
    let settings = Settings::load(&verb.common().config)?;
    let runtime = start_runtime()?;
    let listen = settings.listen.clone();
    let operator = Operator::new(settings, KINDS, ANSWER_TIMEOUT);
    let output = runtime.block_on(execute_verb(verb, &operator, &listen))?;
    if verb.common().json {
        println!("{}", output.json);
    } else {
        output.lines.iter().for_each(|line| println!("{line}"));
    }
    Ok(())
}

async fn execute_verb(verb: &Verb, operator: &Operator, listen: &str) -> Result<VerbOutput, CliError> {
    match verb {
        Verb::Declare { kind, file, check, .. } => declare(operator, *kind, file, *check).await,
        Verb::Show { kind, name, .. } => show(operator, *kind, name.as_deref()).await,
        Verb::Remove { kind, name, .. } => {
            operator.remove(*kind, name).await?;
            Ok(VerbOutput::completed("removed", *kind, name))
        }
        Verb::Confirm { kind, name, .. } => {
            operator.apply_verb(*kind, "confirm", name, listen).await?;
            Ok(VerbOutput::completed("confirmed", *kind, name))
        }
        Verb::Reading { name, value, at, .. } => {
            operator.store_reading(name, *value, at.unwrap_or_else(time_of_day_ms)).await?;
            Ok(VerbOutput::completed("read", DeclarationKind::Reading, name))
        }
        Verb::Rollout { step, name, node, .. } => {
            let (verb, outcome) = match step {
                RolloutVerb::Pause => ("pause", "paused"),
                RolloutVerb::Resume => ("resume", "resumed"),
                RolloutVerb::Back => ("back", "goes back"),
                RolloutVerb::Finish => ("finish", "finished"),
            };
            let node = node.as_deref().unwrap_or(listen);
            operator.apply_verb(DeclarationKind::Rollout, verb, name, node).await?;
            Ok(VerbOutput::completed(outcome, DeclarationKind::Rollout, name))
        }
    }
}

/// Declares the specs of a file, or only validates them.
async fn declare(
    operator: &Operator,
    kind: DeclarationKind,
    file: &Path,
    check_only: bool,
) -> Result<VerbOutput, CliError> {
    let read = std::fs::read_to_string(file);
    let text = read.map_err(|source| CliError::ReadFile { file: file.to_owned(), source })?;
    let specs = operator.parse_specs(kind, &text).map_err(|error| match error {
        OperatorError::Refused(refusals) => CliError::RefusedSpecs { file: file.to_owned(), refusals },
        other => other.into(),
    })?;
    if check_only {
        let line = format!("{kind}: {} well formed", specs.len());
        return Ok(VerbOutput { lines: vec![line], json: json!({"kind": kind, "well_formed": specs.len()}) });
    }
    let written = operator.declare(kind, &specs).await?;
    let describe = |name: &String| {
        let outcome = if written.contains(name) { "declared" } else { "is so already" };
        format!("{kind} {name}: {outcome}")
    };
    Ok(VerbOutput { lines: specs.keys().map(describe).collect(), json: json!({"kind": kind, "declared": written}) })
}

async fn show(operator: &Operator, kind: Option<DeclarationKind>, name: Option<&str>) -> Result<VerbOutput, CliError> {
    let reports = operator.show(kind, name).await?;
    let describe = |report: &DeclarationReport| {
        let heading = format!("{} {}", report.kind, report.name);
        std::iter::once(heading).chain(report.lines.iter().map(|line| format!("  {line}"))).collect::<Vec<_>>()
    };
    Ok(VerbOutput { lines: reports.iter().flat_map(describe).collect(), json: json!(reports) })
}
