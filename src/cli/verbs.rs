//! Commands for operators: they read and write what is declared, through the state service.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use chrono::DateTime;
use clap::{Args, Subcommand, ValueEnum};
use serde_json::{Value, json};

use super::unusable;
use crate::declarations::DeclarationKind;
use crate::declarations::operator::{DeclarationReport, Failed, Operator};
use crate::declarations::table::KINDS;
use crate::jobs::record::time_of_day_ms;
use crate::settings::Settings;

/// Without an answer a verb gives up after this.
const PATIENCE: Duration = Duration::from_secs(30);

#[derive(Args, Clone)]
pub struct Common {
    /// Settings file (JSON) that the platform hands over; it names the state service
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Prints JSON
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Step {
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
        #[arg(value_parser = kind)]
        kind: DeclarationKind,
        /// One JSON object with its name, or a list of them
        file: PathBuf,
        /// Checks only, and asks nobody
        #[arg(long)]
        check: bool,
        #[command(flatten)]
        common: Common,
    },
    /// Shows what is declared and how it stands
    Show {
        #[arg(value_parser = kind)]
        kind: Option<DeclarationKind>,
        name: Option<String>,
        #[command(flatten)]
        common: Common,
    },
    /// Takes back what was declared; its owner tells that and forgets it
    Remove {
        #[arg(value_parser = kind)]
        kind: DeclarationKind,
        name: String,
        #[command(flatten)]
        common: Common,
    },
    /// Confirms that somebody has seen what is shown, such as a window that was missed
    Confirm {
        #[arg(value_parser = kind)]
        kind: DeclarationKind,
        name: String,
        #[command(flatten)]
        common: Common,
    },
    /// Hands in what a sensor reads
    Reading {
        /// The sensor
        name: String,
        #[arg(allow_negative_numbers = true)]
        value: f64,
        /// When it was read, such as 2026-07-01T12:30:00+02:00; now, if not given
        #[arg(long, value_parser = time_ms)]
        at: Option<u64>,
        #[command(flatten)]
        common: Common,
    },
    /// Pauses or resumes a rollout, takes it back, or finishes it by cancelling the old job
    Rollout {
        step: Step,
        name: String,
        /// The controller that cancels the old job; if not given, the one whose settings these are
        #[arg(long)]
        node: Option<String>,
        #[command(flatten)]
        common: Common,
    },
}

fn kind(word: &str) -> Result<DeclarationKind, String> {
    let words = DeclarationKind::ALL.map(DeclarationKind::word).join(", ");
    DeclarationKind::of_word(word).ok_or_else(|| format!("none of {words}"))
}

fn time_ms(text: &str) -> Result<u64, String> {
    let time = DateTime::parse_from_rfc3339(text).map_err(|error| error.to_string())?;
    u64::try_from(time.timestamp_millis()).map_err(|_| "before 1970".to_owned())
}

impl Verb {
    fn common(&self) -> &Common {
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

pub fn run(verb: &Verb) -> ExitCode {
    let settings = match Settings::load(&verb.common().config) {
        Ok(settings) => settings,
        Err(error) => return unusable(error),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("hollylanding: {error}");
            return ExitCode::FAILURE;
        }
    };
    let listen = settings.listen.clone();
    let operator = Operator::new(settings, KINDS, PATIENCE);
    match runtime.block_on(carry_out(verb, &operator, &listen)) {
        Ok((lines, value)) => {
            if verb.common().json {
                println!("{value}");
            } else {
                lines.iter().for_each(|line| println!("{line}"));
            }
            ExitCode::SUCCESS
        }
        Err(Failed::NoAnswer(why)) => {
            eprintln!("hollylanding: {why}");
            ExitCode::FAILURE
        }
        Err(Failed::Refused(problems)) => {
            problems.iter().for_each(|problem| eprintln!("hollylanding: {problem}"));
            ExitCode::from(super::UNUSABLE)
        }
    }
}

/// What a verb has to say, in lines and as JSON.
async fn carry_out(verb: &Verb, operator: &Operator, listen: &str) -> Result<(Vec<String>, Value), Failed> {
    let done = |what: &str, kind: DeclarationKind, name: &str| {
        (vec![format!("{} {name}: {what}", kind.word())], json!({"kind": kind, "name": name, "done": what}))
    };
    match verb {
        Verb::Declare { kind, file, check, .. } => {
            let named = |problem: String| format!("{}: {problem}", file.display());
            let text =
                std::fs::read_to_string(file).map_err(|error| Failed::Refused(vec![named(error.to_string())]))?;
            let specs = operator.read_list(*kind, &text).map_err(|failed| match failed {
                Failed::Refused(problems) => Failed::Refused(problems.into_iter().map(named).collect()),
                other => other,
            })?;
            if *check {
                let line = format!("{}: {} well formed", kind.word(), specs.len());
                return Ok((vec![line], json!({"kind": kind, "well_formed": specs.len()})));
            }
            let written = operator.declare(*kind, &specs).await?;
            let line = |name: &String| {
                let what = if written.contains(name) { "declared" } else { "is so already" };
                format!("{} {name}: {what}", kind.word())
            };
            Ok((specs.keys().map(line).collect(), json!({"kind": kind, "declared": written})))
        }
        Verb::Show { kind, name, .. } => {
            let shown = operator.show(*kind, name.as_deref()).await?;
            let lines = |s: &DeclarationReport| {
                let head = format!("{} {}", s.kind.word(), s.name);
                std::iter::once(head).chain(s.lines.iter().map(|line| format!("  {line}"))).collect::<Vec<_>>()
            };
            Ok((shown.iter().flat_map(lines).collect(), json!(shown)))
        }
        Verb::Remove { kind, name, .. } => {
            operator.remove(*kind, name).await?;
            Ok(done("removed", *kind, name))
        }
        Verb::Confirm { kind, name, .. } => {
            operator.act(*kind, "confirm", name, listen).await?;
            Ok(done("confirmed", *kind, name))
        }
        Verb::Reading { name, value, at, .. } => {
            operator.reading(name, *value, at.unwrap_or_else(time_of_day_ms)).await?;
            Ok(done("read", DeclarationKind::Reading, name))
        }
        Verb::Rollout { step, name, node, .. } => {
            let (verb, what) = match step {
                Step::Pause => ("pause", "paused"),
                Step::Resume => ("resume", "resumed"),
                Step::Back => ("back", "goes back"),
                Step::Finish => ("finish", "finished"),
            };
            operator.act(DeclarationKind::Rollout, verb, name, node.as_deref().unwrap_or(listen)).await?;
            Ok(done(what, DeclarationKind::Rollout, name))
        }
    }
}
