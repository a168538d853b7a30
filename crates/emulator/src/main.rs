//! The emulator's program: run the whole service on one machine, rehearse failures, check scenarios.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use hollylanding_emulator::controllers::{Controllers, daemon};
use hollylanding_emulator::driver::World;
use hollylanding_emulator::rehearsal::{self, Setup};
use hollylanding_emulator::report;
use hollylanding_emulator::scenario::{self, Plan};
use hollylanding_emulator::sizes::{DEFAULT, Sizes};
use indicatif::{ProgressBar, ProgressStyle};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::runtime::Runtime;

/// A rule was broken or a result was lost.
const BROKEN: u8 = 1;
/// Wrong arguments or files.
const UNUSABLE: u8 = 2;

/// An emulated cloud, state service and fleet on loopback, with hollylanding's controllers as real processes.
///
/// Exit status: 0 done; 1 a rule was broken, a result was lost, or it could not be run; 2 a wrong file.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs everything until Ctrl-C, and prints what to try
    Up {
        /// Sizes (TOML); without it the ones of scenarios/default.toml
        #[arg(long, value_name = "FILE")]
        sizes: Option<PathBuf>,
        /// Where settings and logs go
        #[arg(long, value_name = "DIR", default_value = "target/rehearsal/up")]
        folder: PathBuf,
    },
    /// Runs a scenario and judges what happened
    Rehearse {
        /// The scenario (rhai); without it nothing goes wrong
        file: Option<PathBuf>,
        /// Sizes (TOML), in place of what the scenario asks for
        #[arg(long, value_name = "FILE")]
        sizes: Option<PathBuf>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Draws pairs of faults by the seed instead, for this long
        #[arg(long, value_name = "MINUTES", conflicts_with = "file")]
        soak: Option<f64>,
        /// Where settings, logs and the report go
        #[arg(long, value_name = "DIR", default_value = "target/rehearsal")]
        folder: PathBuf,
    },
    /// Says whether a scenario and its sizes are well-formed
    Check {
        /// The scenario (rhai) or sizes (TOML)
        file: PathBuf,
    },
}

fn unusable(problem: impl std::fmt::Display) -> ExitCode {
    eprintln!("hollylanding-emulator: {problem}");
    ExitCode::from(UNUSABLE)
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn read_sizes(path: Option<&Path>) -> Result<Sizes, String> {
    let Some(path) = path else { return Sizes::parse(DEFAULT).map_err(|e| e.to_string()) };
    Sizes::parse(&read(path)?).map_err(|e| format!("{}: {e}", path.display()))
}

/// A scenario with its sizes: those given, those it asks for scenario_folder itself, or the default.
fn read_scenario(path: &Path, sizes: Option<&Path>, seed: u64) -> Result<(Plan, Sizes), String> {
    let plan = scenario::read(&read(path)?, seed).map_err(|e| format!("{}: {e}", path.display()))?;
    let scenario_folder = plan.sizes.as_ref().map(|name| path.with_file_name(name));
    let sizes = read_sizes(sizes.or(scenario_folder.as_deref()))?;
    Ok((plan, sizes))
}

fn check(path: &Path) -> ExitCode {
    let toml = path.extension().is_some_and(|e| e == "toml");
    let checked = if toml {
        read_sizes(Some(path)).map(|sizes| format!("{} kinds of work", sizes.work.len()))
    } else {
        read_scenario(path, None, 1).map(|(plan, _)| format!("{} faults", plan.steps.len()))
    };
    match checked {
        Ok(what) => {
            println!("{}: well-formed, {what}", path.display());
            ExitCode::SUCCESS
        }
        Err(problem) => unusable(problem),
    }
}

fn up(sizes: &Sizes, folder: &Path) -> Result<(), String> {
    let binary = daemon().map_err(|e| e.to_string())?;
    let runtime = Runtime::new().map_err(|e| e.to_string())?;
    runtime.block_on(async {
        let world = World::open(sizes.world(1, false));
        // Descriptions reach the workers by the jobs that are submitted.
        world.learn_uploads(Duration::from_secs(5));
        let mut controllers =
            Controllers::start(&world, sizes, binary.clone(), folder).await.map_err(|e| e.to_string())?;
        let job = folder.join("job.json");
        let example = sizes.work.first().map(|w| w.spec("run-000001"));
        let text = serde_json::to_string_pretty(&example).unwrap_or_default();
        std::fs::write(&job, text).map_err(|e| format!("{}: {e}", job.display()))?;
        println!("controllers: {}", controllers.direct.join(", "));
        println!("settings and logs: {}", folder.display());
        println!("try:");
        let (binary, node) = (binary.display(), controllers.direct.first().cloned().unwrap_or_default());
        println!("  {binary} submit --node {node} {}", job.display());
        println!("  {binary} status --node {node} run-000001");
        println!("  {binary} withdraw --node {node} run-000001");
        println!("  {binary} show --config {}", folder.join("operator.json").display());
        println!("Ctrl-C ends it all.");
        loop {
            tokio::select! {
                _ = tokio::signal::ctrl_c() => return Ok(()),
                () = tokio::time::sleep(Duration::from_millis(200)) => {
                    controllers.tick().map_err(|e| e.to_string())?;
                }
            }
        }
    })
}

/// Runs one plan, writes its report, and returns whether all went well.
fn rehearse(
    title: &str,
    file: Option<&Path>,
    plan: &Plan,
    sizes: &Sizes,
    seed: u64,
    folder: &Path,
) -> Result<bool, String> {
    let binary = daemon().map_err(|e| e.to_string())?;
    let scenario_folder = file.and_then(Path::parent).unwrap_or(Path::new(""));
    let runtime = Runtime::new().map_err(|e| e.to_string())?;
    let style = ProgressStyle::with_template("{msg} [{elapsed}] {bar:40} {pos} of {len} tasks done")
        .map_err(|e| e.to_string())?;
    let bar = ProgressBar::new(0).with_style(style).with_message(title.to_owned());
    let progress = |done: usize, all: usize| {
        bar.set_length(all as u64);
        bar.set_position(done as u64);
    };
    let setup = Setup { sizes, plan, seed, binary: &binary, folder, scenario_folder };
    let outcome: rehearsal::Outcome = runtime.block_on(rehearsal::run(&setup, progress)).map_err(|e| e.to_string())?;
    // What still waits to answer somebody must not keep the program.
    runtime.shutdown_background();
    bar.finish_and_clear();
    let path = folder.join("report.html");
    let page = report::page(title, sizes, &outcome).map_err(|e| e.to_string())?;
    std::fs::write(&path, page).map_err(|e| format!("{}: {e}", path.display()))?;
    for broken in &outcome.verdict.breaks {
        println!("{:.1} s: {}: {}", broken.at.as_secs_f64(), broken.rule.name(), broken.what);
    }
    outcome.failed.iter().for_each(|verb| println!("an operator's verb failed: {verb}"));
    println!("report: {}", path.display());
    if let Some(took) = outcome.settled {
        println!(
            "once all was well, every job accepted by then was answered by every controller after {:.1} s",
            took.as_secs_f64()
        );
    }
    println!("{}", outcome.verdict.line());
    Ok(outcome.verdict.clean() && outcome.own_ends == 0 && outcome.failed.is_empty())
}

/// Faults that a soak draws pairs of, in the words of scenarios.
const SOAK_FAULTS: [&str; 25] = [
    "lose_machines(0.5)",
    "lose_holder()",
    "take_spot(1.0)",
    "hang(0.3, 6)",
    "sick(0.2, 8)",
    "slow(0.3, 4)",
    "drift(0.4, 2)",
    "cut(\"owner\", \"workers\", 9)",
    "cut(\"owner\", \"store\", 6)",
    "reset(\"all\", \"peers\", 5)",
    "delay(\"all\", \"store\", 0.2, 8)",
    "cut(\"owner\", \"cloud\", 8)",
    "outage(5)",
    "refuse(\"owner\", 6)",
    "unanswered(4)",
    "late_writes(3, 6)",
    "end(\"owner\", 2)",
    "end(\"all\", 2)",
    "pause(\"owner\", 7)",
    "deaf(0.2, 12)",
    "late_copies(0.5, 1, 14, 10)",
    "lone(\"owner\", 8)",
    "lone(1, 8)",
    "end(\"owner\", 0.1)",
    "end(\"all\", 0.3)",
];

/// Pairs of faults by seed until the time is over; a failure can be reproduced by its own seed.
fn soak(minutes: f64, seed: u64, sizes: &Sizes, folder: &Path) -> Result<bool, String> {
    let until = Instant::now() + Duration::from_secs_f64(minutes.clamp(0.0, 1440.0) * 60.0);
    let mut seed = seed;
    while Instant::now() < until {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut draw = || (rng.random_range(3.0..14.0_f64), SOAK_FAULTS[rng.random_range(0..SOAK_FAULTS.len())]);
        let ((first_at, first), (second_at, second)) = (draw(), draw());
        let script = format!("at({first_at:.2}, {first}); at({second_at:.2}, {second});");
        println!("seed {seed}: {script}");
        let plan = scenario::read(&script, seed).map_err(|e| e.to_string())?;
        if !rehearse(&format!("seed {seed}"), None, &plan, sizes, seed, folder)? {
            println!("again: rehearse --soak 0.1 --seed {seed}");
            return Ok(false);
        }
        seed += 1;
    }
    Ok(true)
}

fn main() -> ExitCode {
    let outcome = match Cli::parse().command {
        Command::Check { file } => return check(&file),
        Command::Up { sizes, folder } => match read_sizes(sizes.as_deref()) {
            Ok(sizes) => up(&sizes, &folder).map(|()| true),
            Err(problem) => return unusable(problem),
        },
        Command::Rehearse { file: None, sizes, seed, soak: minutes, folder } => match read_sizes(sizes.as_deref()) {
            Ok(sizes) => match minutes {
                Some(minutes) => soak(minutes, seed, &sizes, &folder),
                None => rehearse("nothing goes wrong", None, &Plan::default(), &sizes, seed, &folder),
            },
            Err(problem) => return unusable(problem),
        },
        Command::Rehearse { file: Some(file), sizes, seed, folder, .. } => {
            match read_scenario(&file, sizes.as_deref(), seed) {
                Ok((plan, sizes)) => {
                    let title = file.file_stem().map(|s| s.to_string_lossy().into_owned()).unwrap_or_default();
                    rehearse(&title, Some(&file), &plan, &sizes, seed, &folder)
                }
                Err(problem) => return unusable(problem),
            }
        }
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(problem) => {
            eprintln!("hollylanding-emulator: {problem}");
            ExitCode::from(BROKEN)
        }
    }
}
