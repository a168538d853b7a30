//! The operators of a rehearsal: they run commands of the daemon's command line. Also records what the controllers
//! store for the declared objects.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use super::users::RETRY_DELAY;
use crate::controllers::Controllers;
use crate::driver::{World, lock};
use crate::judge::Event;
use crate::scenario::OperatorCommand;

/// Time for which a command without the expected result is retried.
const COMMAND_RETRY_TIMEOUT: Duration = Duration::from_secs(20);
/// Prefix of the keys for the statuses of declared objects.
const STATUS_PREFIX: &str = "c/t/";
/// Prefix of the keys for the specifications of declared objects.
const SPEC_PREFIX: &str = "c/s/";

/// Replaces `{clock:S}` by the time of day S seconds after the start of the world, and `{offset}` by the UTC offset in
/// minutes for which the start is around noon.
pub(super) fn expand_times(text: &str, start_s: u64) -> String {
    let offset_min = 720 - (start_s / 60 % 1440) as i64;
    let mut out = text.replace("\"{offset}\"", &offset_min.to_string());
    while let Some(from) = out.find("{clock:") {
        let Some(to) = out[from..].find('}').map(|n| from + n) else { break };
        let later: u64 = out[from + 7..to].trim().parse().unwrap_or(0);
        let at = 12 * 3600 + start_s % 60 + later;
        let clock = format!("{:02}:{:02}:{:02}", at / 3600 % 24, at / 60 % 60, at % 60);
        out.replace_range(from..=to, &clock);
    }
    out
}

/// Why an operator's command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command's file cannot be written.
    #[error("{}: {source}", file.display())]
    WriteFile {
        /// The file.
        file: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The command did not have the expected result within the retry timeout.
    #[error("{command}: exit {exit:?}: {output}")]
    Unexpected {
        /// The command's arguments.
        command: String,
        /// The command's exit status; none if it was killed or could not be run.
        exit: Option<i32>,
        /// The command's output.
        output: String,
    },
    /// The asynchronous task that ran the command failed.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// This number of commands was still running at the end of the rehearsal.
    #[error("{0} verbs were not over")]
    Unfinished(usize),
}

/// Runs commands, and keeps their results.
pub(super) struct Operators {
    /// Folder to which files for the commands are written.
    folder: PathBuf,
    /// The scenario's folder.
    scenario_folder: PathBuf,
    /// Wall-clock time of the start of the world, in seconds since 1970.
    start_s: u64,
    running: JoinSet<Result<String, CommandError>>,
    failed: Vec<CommandError>,
}

impl Operators {
    /// Creates operators that run no commands yet.
    pub(super) fn new(folder: &Path, scenario_folder: &Path, start_s: u64) -> Self {
        let (folder, scenario_folder) = (folder.to_owned(), scenario_folder.to_owned());
        Self { folder, scenario_folder, start_s, running: JoinSet::new(), failed: vec![] }
    }

    /// Starts a command, which is retried until it has the expected result or the retry timeout is over. `number` makes
    /// the name of its file unique.
    pub(super) fn start_command(&mut self, command: &OperatorCommand, controllers: &Controllers, number: usize) {
        let file = self.folder.join(format!("spec-{number}.json"));
        if let Some(spec) = &command.spec
            && let Err(source) = std::fs::write(&file, expand_times(spec, self.start_s))
        {
            return self.failed.push(CommandError::WriteFile { file, source });
        }
        let args = command.args.iter().map(|arg| self.argument(arg, &file)).collect();
        let run_command = controllers.command_runner(args);
        let (command, until) = (command.clone(), Instant::now() + COMMAND_RETRY_TIMEOUT);
        self.running.spawn(async move {
            loop {
                let (exit, output) = run_command().await;
                if exit == Some(command.exit) && output.contains(&command.says) {
                    return Ok(output);
                }
                if Instant::now() > until {
                    return Err(CommandError::Unexpected { command: command.args.join(" "), exit, output });
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        });
    }

    /// An argument with its placeholders replaced.
    fn argument(&self, arg: &str, spec_file: &Path) -> String {
        let arg = expand_times(arg, self.start_s).replace("{spec}", &spec_file.display().to_string());
        match arg.strip_prefix("{file:").and_then(|name| name.strip_suffix('}')) {
            Some(name) => self.scenario_folder.join(name).display().to_string(),
            None => arg,
        }
    }

    /// Whether no command is running.
    pub(super) fn idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Removes and returns the outputs of the commands that have had the expected result since the last call.
    pub(super) fn take_outputs(&mut self) -> Vec<String> {
        let mut outputs = Vec::new();
        while let Some(done) = self.running.try_join_next() {
            match done.unwrap_or_else(|error| Err(error.into())) {
                Ok(output) => outputs.push(output),
                Err(error) => self.failed.push(error),
            }
        }
        outputs
    }

    /// The errors of the commands that failed or are still running.
    pub(super) fn failures(self) -> Vec<CommandError> {
        let unfinished = self.running.len();
        let mut failed = self.failed;
        if unfinished > 0 {
            failed.push(CommandError::Unfinished(unfinished));
        }
        failed
    }
}

/// Follows the statuses of declared objects that the controllers store.
#[derive(Debug, Default)]
pub(super) struct DeclaredWatch {
    /// Revision up to which changes have been processed.
    revision: u64,
}

impl DeclaredWatch {
    /// Records every status stored since the last call for the judge.
    pub(super) fn record_changes(&mut self, world: &World) {
        let state = lock(&world.state);
        let Ok(changes) = state.store.watch(STATUS_PREFIX, self.revision) else {
            self.revision = state.store.revision();
            return;
        };
        self.revision = changes.revision;
        for event in changes.log {
            let key = event.write.as_ref().and_then(|key| key.strip_prefix(STATUS_PREFIX)?.split_once('/'));
            let Some((kind, name)) = key else { continue };
            let spec = state.store.value(&format!("{SPEC_PREFIX}{kind}/{name}")).cloned().unwrap_or_default();
            let (kind, name, status) = (kind.to_owned(), name.to_owned(), event.value.clone());
            world.record_event(Event::Declared { kind, name, spec, status });
        }
    }
}
