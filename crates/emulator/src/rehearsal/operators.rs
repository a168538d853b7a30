//! The operators of a rehearsal: commands of the daemon's command line, and what the controllers store of the objects
//! that they declare.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use super::users::RETRY_AFTER;
use crate::controllers::Controllers;
use crate::driver::{World, lock};
use crate::judge::Event;
use crate::scenario::OperatorCommand;

/// A command that did not have the expected result is retried for this long.
const RETRY_VERB_FOR: Duration = Duration::from_secs(20);
/// Keys of the statuses, and of the specifications, of declared objects.
const STATUSES: &str = "c/t/";
const SPECS: &str = "c/s/";

/// Replaces `{clock:S}` by the time of day S seconds after the beginning, and `{offset}` by a UTC offset in minutes in
/// which the beginning is around noon.
pub(super) fn times(text: &str, begun_s: u64) -> String {
    let offset_min = 720 - (begun_s / 60 % 1440) as i64;
    let mut out = text.replace("\"{offset}\"", &offset_min.to_string());
    while let Some(from) = out.find("{clock:") {
        let Some(to) = out[from..].find('}').map(|n| from + n) else { break };
        let later: u64 = out[from + 7..to].trim().parse().unwrap_or(0);
        let at = 12 * 3600 + begun_s % 60 + later;
        let clock = format!("{:02}:{:02}:{:02}", at / 3600 % 24, at / 60 % 60, at % 60);
        out.replace_range(from..=to, &clock);
    }
    out
}

/// Why an operator's command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// Its file cannot be written.
    #[error("{}: {source}", file.display())]
    WriteFile {
        /// The file.
        file: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// It did not have the expected result within its time.
    #[error("{command}: exit {exit:?}: {output}")]
    Unexpected {
        /// Its arguments.
        command: String,
        /// Its exit status, if it ended by itself.
        exit: Option<i32>,
        /// What it printed.
        output: String,
    },
    /// The task that ran it has failed.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
    /// So many commands were not over at the end.
    #[error("{0} verbs were not over")]
    Unfinished(usize),
}

/// Runs commands, and keeps their results.
pub(super) struct Operators {
    /// Where files for the commands are written.
    folder: PathBuf,
    /// The scenario's folder.
    scenario_folder: PathBuf,
    /// Wall-clock time at which the world began, in seconds since 1970.
    begun_s: u64,
    running: JoinSet<Result<String, CommandError>>,
    failed: Vec<CommandError>,
}

impl Operators {
    pub(super) fn new(folder: &Path, scenario_folder: &Path, begun_s: u64) -> Self {
        let (folder, scenario_folder) = (folder.to_owned(), scenario_folder.to_owned());
        Self { folder, scenario_folder, begun_s, running: JoinSet::new(), failed: vec![] }
    }

    /// Starts a command, which is retried until it has the expected result or its time is over. `number` makes the name
    /// of its file unique.
    pub(super) fn operate(&mut self, verb: &OperatorCommand, controllers: &Controllers, number: usize) {
        let file = self.folder.join(format!("spec-{number}.json"));
        if let Some(spec) = &verb.spec
            && let Err(source) = std::fs::write(&file, times(spec, self.begun_s))
        {
            return self.failed.push(CommandError::WriteFile { file, source });
        }
        let args = verb.args.iter().map(|arg| self.argument(arg, &file)).collect();
        let runs = controllers.verbs(args);
        let (verb, until) = (verb.clone(), Instant::now() + RETRY_VERB_FOR);
        self.running.spawn(async move {
            loop {
                let (exit, said) = runs().await;
                if exit == Some(verb.exit) && said.contains(&verb.says) {
                    return Ok(said);
                }
                if Instant::now() > until {
                    return Err(CommandError::Unexpected { command: verb.args.join(" "), exit, output: said });
                }
                tokio::time::sleep(RETRY_AFTER).await;
            }
        });
    }

    /// An argument with its placeholders replaced.
    fn argument(&self, arg: &str, spec_file: &Path) -> String {
        let arg = times(arg, self.begun_s).replace("{spec}", &spec_file.display().to_string());
        match arg.strip_prefix("{file:").and_then(|name| name.strip_suffix('}')) {
            Some(name) => self.scenario_folder.join(name).display().to_string(),
            None => arg,
        }
    }

    /// Whether no command is running.
    pub(super) fn idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Outputs of the commands that have had the expected result since the last call.
    pub(super) fn finished(&mut self) -> Vec<String> {
        let mut outputs = Vec::new();
        while let Some(done) = self.running.try_join_next() {
            match done.unwrap_or_else(|error| Err(error.into())) {
                Ok(said) => outputs.push(said),
                Err(error) => self.failed.push(error),
            }
        }
        outputs
    }

    /// Commands that failed, and how many were not over.
    pub(super) fn failures(self) -> Vec<CommandError> {
        let late = self.running.len();
        let mut failed = self.failed;
        if late > 0 {
            failed.push(CommandError::Unfinished(late));
        }
        failed
    }
}

/// Follows what the controllers store of declared objects.
#[derive(Debug, Default)]
pub(super) struct DeclaredWatch {
    /// Revision up to which changes are known.
    revision: u64,
}

impl DeclaredWatch {
    /// Records every status stored since the last call for the judge.
    pub(super) fn look(&mut self, world: &World) {
        let state = lock(&world.state);
        let Ok(changes) = state.store.watch(STATUSES, self.revision) else {
            self.revision = state.store.revision();
            return;
        };
        self.revision = changes.revision;
        for event in changes.log {
            let key = event.write.as_ref().and_then(|key| key.strip_prefix(STATUSES)?.split_once('/'));
            let Some((kind, name)) = key else { continue };
            let spec = state.store.value(&format!("{SPECS}{kind}/{name}")).cloned().unwrap_or_default();
            let (kind, name, status) = (kind.to_owned(), name.to_owned(), event.value.clone());
            world.record_event(Event::Declared { kind, name, spec, status });
        }
    }
}
