//! Commands for operators: they read and write what is declared, through the state service.

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

/// A verb gives up after this time without an answer.
const PATIENCE: Duration = Duration::from_secs(30);

#[derive(Args, Clone)]
pub struct CommonOptions {
    /// Settings file (JSON) that the platform hands over; it names the state service
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Prints JSON
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
    /// Declares windows, heat rules, readings or rollouts: all of a file, or nothing where any is wrong
    Declare {
        /// window, heat, reading or rollout
        #[arg(value_parser = parse_kind)]
        kind: DeclarationKind,
        /// One JSON object with its name, or a list of them
        file: PathBuf,
        /// Checks only, and asks nobody
        #[arg(long)]
        check: bool,
        #[command(flatten)]
        common: CommonOptions,
    },
    /// Shows what is declared and how it stands
    Show {
        #[arg(value_parser = parse_kind)]
        kind: Option<DeclarationKind>,
        name: Option<String>,
        #[command(flatten)]
        common: CommonOptions,
    },
    /// Takes back what was declared; its owner tells that and forgets it
    Remove {
        #[arg(value_parser = parse_kind)]
        kind: DeclarationKind,
        name: String,
        #[command(flatten)]
        common: CommonOptions,
    },
    /// Confirms that somebody has seen what is shown, such as a window that was missed
    Confirm {
        #[arg(value_parser = parse_kind)]
        kind: DeclarationKind,
        name: String,
        #[command(flatten)]
        common: CommonOptions,
    },
    /// Hands in what a sensor reads
    Reading {
        /// The sensor
        name: String,
        #[arg(allow_negative_numbers = true)]
        value: f64,
        /// When it was read, such as 2026-07-01T12:30:00+02:00; now, if not given
        #[arg(long, value_parser = parse_time_ms)]
        at: Option<u64>,
        #[command(flatten)]
        common: CommonOptions,
    },
    /// Pauses or resumes a rollout, takes it back, or finishes it by cancelling the old job
    Rollout {
        step: RolloutVerb,
        name: String,
        /// The controller that cancels the old job; if not given, the one whose settings these are
        #[arg(long)]
        node: Option<String>,
        #[command(flatten)]
        common: CommonOptions,
    },
}

/// Why an argument cannot be used.
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

/// The time in ms since 1970.
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

/// What a verb prints.
struct VerbOutput {
    /// Without `--json`.
    lines: Vec<String>,
    /// With `--json`.
    json: Value,
}

impl VerbOutput {
    fn done(what: &str, kind: DeclarationKind, name: &str) -> Self {
        let json = json!({"kind": kind, "name": name, "done": what});
        Self { lines: vec![format!("{kind} {name}: {what}")], json }
    }
}

/// Carries out a verb and prints its output.
///
/// # Errors
/// The settings cannot be used, the verb is refused, or there is no answer.
pub fn run_verb(verb: &Verb) -> Result<(), CliError> {
    let settings = Settings::load(&verb.common().config)?;
    let runtime = start_runtime()?;
    let listen = settings.listen.clone();
    let operator = Operator::new(settings, KINDS, PATIENCE);
    let output = runtime.block_on(carry_out(verb, &operator, &listen))?;
    if verb.common().json {
        println!("{}", output.json);
    } else {
        output.lines.iter().for_each(|line| println!("{line}"));
    }
    Ok(())
}

async fn carry_out(verb: &Verb, operator: &Operator, listen: &str) -> Result<VerbOutput, CliError> {
    match verb {
        Verb::Declare { kind, file, check, .. } => declare(operator, *kind, file, *check).await,
        Verb::Show { kind, name, .. } => show(operator, *kind, name.as_deref()).await,
        Verb::Remove { kind, name, .. } => {
            operator.remove(*kind, name).await?;
            Ok(VerbOutput::done("removed", *kind, name))
        }
        Verb::Confirm { kind, name, .. } => {
            operator.apply_verb(*kind, "confirm", name, listen).await?;
            Ok(VerbOutput::done("confirmed", *kind, name))
        }
        Verb::Reading { name, value, at, .. } => {
            operator.store_reading(name, *value, at.unwrap_or_else(time_of_day_ms)).await?;
            Ok(VerbOutput::done("read", DeclarationKind::Reading, name))
        }
        Verb::Rollout { step, name, node, .. } => {
            let (verb, what) = match step {
                RolloutVerb::Pause => ("pause", "paused"),
                RolloutVerb::Resume => ("resume", "resumed"),
                RolloutVerb::Back => ("back", "goes back"),
                RolloutVerb::Finish => ("finish", "finished"),
            };
            let node = node.as_deref().unwrap_or(listen);
            operator.apply_verb(DeclarationKind::Rollout, verb, name, node).await?;
            Ok(VerbOutput::done(what, DeclarationKind::Rollout, name))
        }
    }
}

/// Declares the specs of a file, or only checks them.
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
        let what = if written.contains(name) { "declared" } else { "is so already" };
        format!("{kind} {name}: {what}")
    };
    Ok(VerbOutput { lines: specs.keys().map(describe).collect(), json: json!({"kind": kind, "declared": written}) })
}

async fn show(operator: &Operator, kind: Option<DeclarationKind>, name: Option<&str>) -> Result<VerbOutput, CliError> {
    let reports = operator.show(kind, name).await?;
    let describe = |report: &DeclarationReport| {
        let head = format!("{} {}", report.kind, report.name);
        std::iter::once(head).chain(report.lines.iter().map(|line| format!("  {line}"))).collect::<Vec<_>>()
    };
    Ok(VerbOutput { lines: reports.iter().flat_map(describe).collect(), json: json!(reports) })
}
