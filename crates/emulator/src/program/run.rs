//! Runs the emulated deployment, until Ctrl-C or for a scenario.

use std::path::Path;
use std::time::Duration;

use hollylanding_emulator::controllers::{Controllers, daemon_path};
use hollylanding_emulator::driver::World;
use hollylanding_emulator::rehearsal::{self, Outcome, Setup};
use hollylanding_emulator::report;
use hollylanding_emulator::scenario::Plan;
use hollylanding_emulator::sizes::Sizes;
use indicatif::{ProgressBar, ProgressStyle};
use tokio::runtime::Runtime;

use super::error::ProgramError;

/// Interval at which the controllers' processes are checked.
const PROCESS_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the world and the controllers until Ctrl-C.
///
/// # Errors
/// The controllers cannot be run, or a file cannot be written.
pub fn up(sizes: &Sizes, folder: &Path) -> Result<(), ProgramError> {
    let binary = daemon_path()?;
    let runtime = Runtime::new().map_err(ProgramError::Runtime)?;
    runtime.block_on(async {
        let world = World::open(sizes.world_params(1, false));
        // No user uploads job descriptions here, so that the workers get them from the submitted jobs.
        world.upload_stored_jobs(Duration::from_secs(5));
        let mut controllers = Controllers::start(&world, sizes, binary.clone(), folder).await?;
        let job = folder.join("job.json");
        let example = sizes.work.first().map(|w| w.spec("run-000001"));
        let text = serde_json::to_string_pretty(&example).unwrap_or_default();
        std::fs::write(&job, text).map_err(ProgramError::file(&job))?;
        print_instructions(&controllers, &binary, folder, &job);
        loop {
            tokio::select! {
                _ = tokio::signal::ctrl_c() => return Ok(()),
                () = tokio::time::sleep(PROCESS_CHECK_INTERVAL) => controllers.tick()?,
            }
        }
    })
}

/// Prints the addresses, and commands to try.
fn print_instructions(controllers: &Controllers, binary: &Path, folder: &Path, job: &Path) {
    println!("controllers: {}", controllers.direct_addrs.join(", "));
    println!("settings and logs: {}", folder.display());
    println!("try:");
    let (binary, node) = (binary.display(), controllers.direct_addrs.first().cloned().unwrap_or_default());
    println!("  {binary} submit --node {node} {}", job.display());
    println!("  {binary} status --node {node} run-000001");
    println!("  {binary} withdraw --node {node} run-000001");
    println!("  {binary} show --config {}", folder.join("operator.json").display());
    println!("Ctrl-C ends it all.");
}

/// The inputs of a rehearsal.
pub struct Rehearsal<'a> {
    /// Title of the rehearsal in the report.
    pub title: &'a str,
    /// The scenario's file, if it has one.
    pub file: Option<&'a Path>,
    /// The scenario.
    pub plan: &'a Plan,
    /// The sizes.
    pub sizes: &'a Sizes,
    /// Seed of all random draws.
    pub seed: u64,
    /// Folder to which settings, logs and the report are written.
    pub folder: &'a Path,
}

/// Runs a rehearsal, writes its report, and returns whether the verdict is clean, no controller exited unexpectedly and
/// no operator's command failed.
///
/// # Errors
/// The controllers cannot be run, or the report cannot be written.
pub fn rehearse(rehearsal: &Rehearsal) -> Result<bool, ProgramError> {
    let Rehearsal { title, file, plan, sizes, seed, folder } = *rehearsal;
    let binary = daemon_path()?;
    let scenario_folder = file.and_then(Path::parent).unwrap_or(Path::new(""));
    let runtime = Runtime::new().map_err(ProgramError::Runtime)?;
    let style = ProgressStyle::with_template("{msg} [{elapsed}] {bar:40} {pos} of {len} tasks done")?;
    let bar = ProgressBar::new(0).with_style(style).with_message(title.to_owned());
    let progress = |done: usize, all: usize| {
        bar.set_length(all as u64);
        bar.set_position(done as u64);
    };
    let setup = Setup { sizes, plan, seed, binary: &binary, folder, scenario_folder };
    let outcome = runtime.block_on(rehearsal::run(&setup, progress))?;
    // Requests in progress must not delay the end of the program.
    runtime.shutdown_background();
    bar.finish_and_clear();
    let path = folder.join("report.html");
    std::fs::write(&path, report::page(title, sizes, &outcome)?).map_err(ProgramError::file(&path))?;
    print_outcome(&outcome, &path);
    Ok(outcome.verdict.is_clean() && outcome.unexpected_exits == 0 && outcome.failed_commands.is_empty())
}

/// Prints the violations, the failed commands, and the summary as the last line.
fn print_outcome(outcome: &Outcome, report: &Path) {
    for violation in &outcome.verdict.violations {
        println!("{:.1} s: {}: {}", violation.at.as_secs_f64(), violation.rule.name(), violation.what);
    }
    outcome.failed_commands.iter().for_each(|error| println!("an operator's verb failed: {error}"));
    println!("report: {}", report.display());
    if let Some(recovery_time) = outcome.recovery_time {
        println!(
            "once all was well, every job accepted by then was answered by every controller after {:.1} s",
            recovery_time.as_secs_f64()
        );
    }
    println!("{}", outcome.verdict.summary_line());
}
