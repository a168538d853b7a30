//! The command line interface: commands and their arguments. The doc comments of arguments and commands are the texts
//! of `--help`.

mod error;
mod verbs;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use hyper::Method;
use serde_json::Value;
use tracing_subscriber::EnvFilter;

use self::error::CliError;
use crate::jobs::JobSpec;
use crate::protocol::{self, Http};
use crate::settings::{Properties, Settings, SettingsError};

/// Deadline of a request to a controller.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// hollylanding, a cluster scheduler that admits work by deadline share and return.
///
/// Exit status: 0 done, 1 failed while running (no answer, or cannot serve), 2 refused settings,
/// arguments or request.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true, arg_required_else_help = true)]
struct Cli {
    #[command(flatten)]
    files: ConfigFiles,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Args, Clone)]
struct ConfigFiles {
    /// Settings file (JSON) written by the platform
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Properties file (Java-style) of the operators
    #[arg(long, value_name = "FILE")]
    properties: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is killed (the same as giving --config alone)
    Serve(ConfigFiles),
    /// Validate settings and properties and print the effective properties
    Check(ConfigFiles),
    /// Submit a job described in a JSON file
    Submit {
        /// Address of a controller, such as 127.0.0.1:8080
        #[arg(long)]
        node: String,
        /// File with the job as JSON, with the fields of POST /work
        file: PathBuf,
    },
    /// Print the state of a job
    Status {
        /// Address of a controller, such as 127.0.0.1:8080
        #[arg(long)]
        node: String,
        /// Id of the job, such as run-000412
        id: String,
    },
    /// Cancel a job
    #[command(name = "withdraw")]
    Cancel {
        /// Address of a controller, such as 127.0.0.1:8080
        #[arg(long)]
        node: String,
        /// Id of the job, such as run-000412
        id: String,
    },
    #[command(flatten)]
    Declarations(verbs::Verb),
}

/// Runs the command line and returns the exit status, which the README documents.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    match run_command(cli) {
        Ok(exit_code) => exit_code,
        Err(error) => error.report(),
    }
}

fn run_command(cli: Cli) -> Result<ExitCode, CliError> {
    match cli.command {
        None => return serve(&cli.files),
        Some(Command::Serve(files)) => return serve(&files),
        Some(Command::Check(files)) => check(&files)?,
        Some(Command::Submit { node, file }) => submit(&node, &file)?,
        Some(Command::Status { node, id }) => call_controller(&node, Method::GET, &format!("/work/{id}"), None)?,
        Some(Command::Cancel { node, id }) => {
            call_controller(&node, Method::POST, &format!("/work/{id}/withdraw"), Some(Vec::new()))?;
        }
        Some(Command::Declarations(verb)) => verbs::run_verb(&verb)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn load_config(files: &ConfigFiles) -> Result<(Settings, Properties), SettingsError> {
    let config = files.config.as_deref().ok_or(SettingsError::NoFile)?;
    let settings = Settings::load(config)?;
    let properties = match &files.properties {
        Some(path) => Properties::load(path)?,
        None => Properties::default(),
    };
    let file = files.properties.as_deref().unwrap_or(config);
    let checked = settings.check_properties(&properties);
    checked.map_err(|source| SettingsError::Settings { file: file.to_owned(), source })?;
    Ok((settings, properties))
}

fn serve(files: &ConfigFiles) -> Result<ExitCode, CliError> {
    let (settings, properties) = load_config(files)?;
    start_logging();
    // The controller has already logged the error.
    let outcome = crate::controller::serve(settings, properties);
    Ok(if outcome.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Starts logging to standard error, at the level given by the environment variable `LOG_LEVEL`.
fn start_logging() {
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let filter = EnvFilter::try_new(format!("error,hollylanding={level}"))
        .unwrap_or_else(|_| EnvFilter::new("error,hollylanding=info"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .init();
}

fn check(files: &ConfigFiles) -> Result<(), CliError> {
    let (settings, properties) = load_config(files)?;
    println!("# controller {}, {} others", settings.node, settings.peers.len());
    for (name, value) in properties.lines() {
        println!("{name}={value}");
    }
    Ok(())
}

fn submit(node: &str, file: &Path) -> Result<(), CliError> {
    let file_path = || file.to_owned();
    let text = std::fs::read_to_string(file).map_err(|source| CliError::ReadFile { file: file_path(), source })?;
    let decoded = serde_json::from_str(&text);
    let spec: JobSpec = decoded.map_err(|source| CliError::DecodeJob { file: file_path(), source })?;
    spec.check().map_err(|reason| CliError::InvalidJob { file: file_path(), reason })?;
    call_controller(node, Method::POST, "/work", Some(protocol::encode(&spec)))
}

fn start_runtime() -> Result<tokio::runtime::Runtime, CliError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CliError::Runtime)
}

/// Sends a request to a controller and prints the answer as JSON.
fn call_controller(node: &str, method: Method, path: &str, body: Option<Vec<u8>>) -> Result<(), CliError> {
    if node.parse::<std::net::SocketAddr>().is_err() {
        return Err(CliError::InvalidAddress(node.to_owned()));
    }
    let runtime = start_runtime()?;
    let answer = runtime.block_on(async { Http::default().call(method, node, path, body, CALL_TIMEOUT).await });
    let (status, body) = answer.map_err(|source| CliError::Call { node: node.to_owned(), source })?;
    let body = protocol::decode::<Value>(&body).map(|value| value.to_string()).unwrap_or_default();
    if !(200..300).contains(&status) {
        return Err(CliError::Answer { node: node.to_owned(), status, body });
    }
    println!("{body}");
    Ok(())
}
