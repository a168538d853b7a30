//! The command line: its commands and their arguments.

mod verbs;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use hyper::Method;
use tracing_subscriber::EnvFilter;

use crate::jobs::JobSpec;
use crate::protocol::{self, Http};
use crate::settings::{Properties, Settings, SettingsError};

/// Settings that cannot be used, or a request that was refused.
const UNUSABLE: u8 = 2;
const CALL_WITHIN: Duration = Duration::from_secs(5);

/// hollylanding, a cluster scheduler that admits work by deadline share and return.
///
/// Exit status: 0 done, 1 failed while running (no answer, or cannot serve), 2 refused settings,
/// arguments or request.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true, arg_required_else_help = true)]
struct Cli {
    #[command(flatten)]
    files: Files,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Args, Clone)]
struct Files {
    /// Settings file (JSON) that the platform hands over
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Operators' own settings (Java-style properties)
    #[arg(long, value_name = "FILE")]
    properties: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a controller until it is killed (the same as giving --config alone)
    Serve(Files),
    /// Checks settings and properties and prints the properties in effect
    Check(Files),
    /// Submits a job described in a JSON file
    Submit {
        /// A controller's address, such as 127.0.0.1:8080
        #[arg(long)]
        node: String,
        /// The job as JSON, with the fields of POST /work
        file: PathBuf,
    },
    /// Prints the state of a job
    Status {
        /// A controller's address, such as 127.0.0.1:8080
        #[arg(long)]
        node: String,
        /// The job's id, such as run-000412
        id: String,
    },
    /// Withdraws a job
    #[command(name = "withdraw")]
    Cancel {
        /// A controller's address, such as 127.0.0.1:8080
        #[arg(long)]
        node: String,
        /// The job's id, such as run-000412
        id: String,
    },
    #[command(flatten)]
    Declared(verbs::Verb),
}

/// Runs the command line; the exit status is the README's.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    match cli.command {
        None => serve(&cli.files),
        Some(Command::Serve(files)) => serve(&files),
        Some(Command::Check(files)) => check(&files),
        Some(Command::Submit { node, file }) => submit(&node, &file),
        Some(Command::Status { node, id }) => ask(&node, Method::GET, &format!("/work/{id}"), None),
        Some(Command::Cancel { node, id }) => {
            ask(&node, Method::POST, &format!("/work/{id}/withdraw"), Some(Vec::new()))
        }
        Some(Command::Declared(verb)) => verbs::run(&verb),
    }
}

fn load(files: &Files) -> Result<(Settings, Properties), SettingsError> {
    let config = files
        .config
        .as_deref()
        .ok_or_else(|| SettingsError { file: "--config".into(), problem: "no settings file is given".into() })?;
    let settings = Settings::load(config)?;
    let properties = match &files.properties {
        Some(path) => Properties::load(path)?,
        None => Properties::default(),
    };
    let file = files.properties.as_deref().unwrap_or(config).display().to_string();
    settings.check_with(&properties).map_err(|problem| SettingsError { file, problem })?;
    Ok((settings, properties))
}

fn unusable(problem: impl std::fmt::Display) -> ExitCode {
    eprintln!("hollylanding: {problem}");
    ExitCode::from(UNUSABLE)
}

fn serve(files: &Files) -> ExitCode {
    let (settings, properties) = match load(files) {
        Ok(loaded) => loaded,
        Err(error) => return unusable(error),
    };
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let filter = EnvFilter::try_new(format!("error,hollylanding={level}"))
        .unwrap_or_else(|_| EnvFilter::new("error,hollylanding=info"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
    match crate::controller::serve(settings, properties) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

fn check(files: &Files) -> ExitCode {
    match load(files) {
        Err(error) => unusable(error),
        Ok((settings, properties)) => {
            println!("# controller {}, {} others", settings.node, settings.peers.len());
            for (name, value) in properties.lines() {
                println!("{name}={value}");
            }
            ExitCode::SUCCESS
        }
    }
}

fn submit(node: &str, file: &Path) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return unusable(format!("{}: {error}", file.display())),
    };
    let spec: JobSpec = match serde_json::from_str(&text) {
        Ok(spec) => spec,
        Err(error) => return unusable(format!("{}: {error}", file.display())),
    };
    if let Err(problem) = spec.check() {
        return unusable(format!("{}: {problem}", file.display()));
    }
    ask(node, Method::POST, "/work", Some(protocol::encode(&spec)))
}

fn ask(node: &str, method: Method, path: &str, body: Option<Vec<u8>>) -> ExitCode {
    if node.parse::<std::net::SocketAddr>().is_err() {
        return unusable(format!("--node: {node:?} is not an IP address with a port"));
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("hollylanding: {error}");
            return ExitCode::FAILURE;
        }
    };
    let outcome = runtime.block_on(async { Http::default().call(method, node, path, body, CALL_WITHIN).await });
    match outcome {
        Err(error) => {
            eprintln!("hollylanding: {node}: {error}");
            ExitCode::FAILURE
        }
        Ok((status, body)) => {
            let text = protocol::decode::<serde_json::Value>(&body).map(|v| v.to_string()).unwrap_or_default();
            if (200..300).contains(&status) {
                println!("{text}");
                return ExitCode::SUCCESS;
            }
            eprintln!("hollylanding: {node} answered {status} {text}");
            if matches!(status, 429 | 500..) { ExitCode::FAILURE } else { ExitCode::from(UNUSABLE) }
        }
    }
}
