//! Scenarios: which faults are injected when, read from a script whose run is bounded.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollylanding_protocol::jobs::JobId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhai::{Dynamic, Engine, EvalAltResult};

use crate::driver::relay::Passing;
use crate::driver::{Link, lock};
use crate::world::cloud::Boots;

/// The controllers that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Who {
    /// The controller of this number, from 0.
    Number(usize),
    /// The controller that schedules at the moment of the fault.
    Leader,
    /// All controllers.
    All,
}

/// A number of machines, relative or absolute.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Many {
    /// A fraction of all machines, from 0 to 1.
    Part(f64),
    /// This many machines, or all if there are fewer.
    Count(usize),
}

impl Many {
    /// The number of machines out of `all`.
    pub fn of(self, all: usize) -> usize {
        match self {
            Self::Part(part) => (all as f64 * part).round() as usize,
            Self::Count(n) => n.min(all),
        }
    }
}

/// A fault or another intervention of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Machines fail.
    LoseMachines(Many),
    /// All machines of a zone fail.
    LoseZone(String),
    /// A machine fails that holds a finished result not yet collected.
    LoseHolder,
    /// The cloud takes back this fraction of the spot machines.
    TakeSpot(f64),
    /// Workers do nothing for this long, and continue afterwards.
    Hang(Many, Duration),
    /// Workers fail every task that they start, for this long.
    Sick(Many, Duration),
    /// Machines run this many times slower.
    Slow(Many, f64),
    /// The workers' monotonic clocks run this many times as fast.
    Drift(Many, f64),
    /// How machines rented from now on boot.
    Boots(Boots),
    /// One link of controllers is disturbed for this long.
    Link(Who, Link, Passing, Duration),
    /// All links to and from the other controllers are disturbed for this long.
    Peers(Who, Passing, Duration),
    /// The state service is unavailable for this long.
    Outage(Duration),
    /// The cloud is unavailable for this long.
    CloudOutage(Duration),
    /// The state service refuses these controllers for this long.
    Refuse(Who, Duration),
    /// This many writes are acknowledged and never applied.
    LoseWrites(u32),
    /// This many of the newest keys under a prefix vanish.
    Vanish(String, usize),
    /// This many writes are applied and not answered.
    Unanswered(u32),
    /// This many writes are applied only after this delay, and not answered.
    LateWrites(u32, Duration),
    /// All leases of the state service end at once.
    DropLeases,
    /// Watches receive no changes for this long.
    StallWatches(Duration),
    /// The state service applies requests at once, and answers with the first duration's delay, for the second
    /// duration.
    SlowStore(Duration, Duration),
    /// The state service discards its log of changes, so that watches have to list again.
    ForgetLog,
    /// A one-way partition of workers: their reports arrive, answers and commands do not.
    InboundLost(Many, Duration),
    /// Reports of workers within the last duration are delivered again, between the first and the second duration
    /// later.
    LateCopies(Many, Duration, Duration, Duration),
    /// Controllers are partitioned from the state service and the other controllers; workers and users still reach
    /// them.
    Lone(Who, Duration),
    /// Controllers are killed without warning, and restarted after this delay.
    End(Who, Duration),
    /// Controllers' processes are paused for this long.
    Pause(Who, Duration),
    /// A rolling restart of all controllers, at this interval.
    Roll(Duration),
    /// An operator runs a command.
    Operator(Verb),
    /// Announces that somebody other than the rehearsal's users is about to cancel a job.
    WillCancel(JobId),
    /// This fraction of the users whose jobs are accepted and not over cancel them now.
    CancelShare(f64),
    /// Breaks a rule on purpose: a running task is started on a second machine.
    StartTwice,
}

/// A state of the system on which a fault can wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// A machine holds a finished result that is not yet collected.
    HoldsResult,
    /// A task has started since the last look.
    JustPlaced,
    /// A write was acknowledged and not applied.
    AcknowledgedOnly,
    /// The lease holder or the leader has changed or is missing.
    Election,
}

const CONDITIONS: [(&str, Condition); 4] = [
    ("a machine holds a finished result", Condition::HoldsResult),
    ("the owner has just placed", Condition::JustPlaced),
    ("a write is acknowledged and not carried out", Condition::AcknowledgedOnly),
    ("an election is under way", Condition::Election),
];

/// When a fault is injected.
#[derive(Debug, Clone, PartialEq)]
pub enum Trigger {
    /// At this time since the world began.
    At(Duration),
    /// The first time that the condition holds, from this time on.
    When(Condition, Duration),
}

/// A scenario that was read: its faults in the order in which they were written, and its settings.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Plan {
    /// The faults with their triggers.
    pub steps: Vec<(Trigger, Fault)>,
    /// Name of the file of sizes that the script asks for, in the scenario's folder.
    pub sizes: Option<String>,
    /// Factor by which users ask more often than usual.
    pub often: f64,
    /// Least time for which users ask about every job once all faults are over.
    pub quiet: Duration,
    /// Sets of services with the number of replicas that must run in total.
    pub capacity: Vec<(Vec<JobId>, usize)>,
}

/// A command of the daemon's command line, as an operator runs it, with the result expected.
#[derive(Debug, Clone, PartialEq)]
pub struct Verb {
    /// `{config}` stands for a settings file, `{spec}` for the file that `spec` is written to, `{file:NAME}` for a file
    /// beside the scenario.
    pub args: Vec<String>,
    /// JSON; `{clock:S}` in it stands for the time of day S seconds after the beginning, `"{offset}"` for the UTC
    /// offset.
    pub spec: Option<String>,
    /// Exit status expected; the command is retried for a while.
    pub exit: i32,
    /// Text that the output has to contain.
    pub says: String,
}

/// An error in a scenario.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: {why}")]
pub struct ScriptError {
    /// Line of the script, from 1.
    pub line: usize,
    /// Description of the error.
    pub why: String,
}

type ScriptResult<T> = Result<T, Box<EvalAltResult>>;

/// Steps of a plan, and seconds of a scenario, at the most.
const MOST_STEPS: usize = 1000;
const MOST_SECONDS: f64 = 86_400.0;
/// Slowest answer of the state service: longer than anybody waits for it.
const SLOWEST_MS: f64 = 20_000.0;

fn unbounded(value: &Dynamic) -> Result<f64, String> {
    let number = value.as_float().or_else(|_| value.as_int().map(|n| n as f64));
    number.map_err(|kind| format!("a number is wanted and not a {kind}"))
}

fn number(value: &Dynamic) -> ScriptResult<f64> {
    let number = unbounded(value)?;
    if (0.0..=MOST_SECONDS).contains(&number) {
        Ok(number)
    } else {
        Err(format!("{number} is not between 0 and {MOST_SECONDS}").into())
    }
}

/// A fault's number within its own bounds, named in the error.
fn within(name: &str, value: &Dynamic, least: f64, most: f64) -> ScriptResult<f64> {
    let number = unbounded(value).map_err(|error| format!("{name}: {error}"))?;
    if (least..=most).contains(&number) {
        Ok(number)
    } else {
        Err(format!("{name}: {number} is not between {least} and {most}").into())
    }
}

fn seconds(value: &Dynamic) -> ScriptResult<Duration> {
    number(value).map(Duration::from_secs_f64)
}

fn many(value: &Dynamic) -> ScriptResult<Many> {
    if let Ok(n) = value.as_int() {
        return Ok(Many::Count(usize::try_from(n).map_err(|_| format!("{n} machines"))?));
    }
    match number(value)? {
        part if part <= 1.0 => Ok(Many::Part(part)),
        more => Err(format!("{more} is no part: from 0 to 1, or a whole number of machines").into()),
    }
}

fn who(value: &Dynamic) -> ScriptResult<Who> {
    if let Ok(n) = value.as_int() {
        return Ok(Who::Number(usize::try_from(n).map_err(|_| format!("controller {n}"))?));
    }
    match value.clone().into_string().unwrap_or_default().as_str() {
        "owner" => Ok(Who::Leader),
        "all" => Ok(Who::All),
        other => Err(format!("{other:?} is no controller: a number from 0, \"owner\" or \"all\"").into()),
    }
}

fn link_fault(of: &Dynamic, link: &str, passing: Passing, time: &Dynamic) -> ScriptResult<Fault> {
    let (of, time) = (who(of)?, seconds(time)?);
    let link = match link {
        "store" => Link::Store,
        "cloud" => Link::Cloud,
        "workers" => Link::Workers,
        "users" => Link::Users,
        "peers" => return Ok(Fault::Peers(of, passing, time)),
        other => return Err(format!("{other:?} is no link: store, cloud, workers, users or peers").into()),
    };
    Ok(Fault::Link(of, link, passing, time))
}

fn condition(so: &str) -> ScriptResult<Condition> {
    let names: Vec<&str> = CONDITIONS.iter().map(|(name, _)| *name).collect();
    let known = CONDITIONS.iter().find(|(name, _)| *name == so);
    known.map(|(_, condition)| *condition).ok_or_else(|| format!("{so:?} is none of: {}", names.join("; ")).into())
}

fn add(plan: &Mutex<Plan>, trigger: Trigger, fault: Fault) -> ScriptResult<()> {
    let mut plan = lock(plan);
    if plan.steps.len() >= MOST_STEPS {
        return Err(format!("more than {MOST_STEPS} faults").into());
    }
    plan.steps.push((trigger, fault));
    Ok(())
}

/// Bounded, so that a wrong script ends with an error and not with the machine.
fn engine() -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(200_000);
    engine.set_max_call_levels(16);
    engine.set_max_expr_depths(32, 16);
    engine.set_max_string_size(10_000);
    engine.set_max_array_size(10_000);
    engine.set_max_map_size(1000);
    engine.disable_symbol("eval");
    engine
}

fn machine_faults(engine: &mut Engine) {
    engine
        .register_type_with_name::<Fault>("Fault")
        .register_fn("lose_machines", |n: Dynamic| many(&n).map(Fault::LoseMachines))
        .register_fn("lose_zone", |zone: &str| Fault::LoseZone(zone.into()))
        .register_fn("lose_holder", || Fault::LoseHolder)
        .register_fn("take_spot", |part: Dynamic| number(&part).map(Fault::TakeSpot))
        .register_fn("hang", |n: Dynamic, s: Dynamic| ScriptResult::Ok(Fault::Hang(many(&n)?, seconds(&s)?)))
        .register_fn("sick", |n: Dynamic, s: Dynamic| ScriptResult::Ok(Fault::Sick(many(&n)?, seconds(&s)?)))
        .register_fn("slow", |n: Dynamic, by: Dynamic| ScriptResult::Ok(Fault::Slow(many(&n)?, number(&by)?.max(1.0))))
        .register_fn("deaf", |n: Dynamic, s: Dynamic| ScriptResult::Ok(Fault::InboundLost(many(&n)?, seconds(&s)?)))
        .register_fn("late_copies", |n: Dynamic, from: Dynamic, to: Dynamic, s: Dynamic| {
            ScriptResult::Ok(Fault::LateCopies(many(&n)?, seconds(&from)?, seconds(&to)?, seconds(&s)?))
        })
        .register_fn("drift", |n: Dynamic, by: Dynamic| ScriptResult::Ok(Fault::Drift(many(&n)?, number(&by)?)))
        .register_fn("start_twice", || Fault::StartTwice)
        .register_fn("boots", |how: &str| {
            ScriptResult::Ok(Fault::Boots(match how {
                "usual" => Boots::Usual,
                "at once" => Boots::AtOnce,
                "never" => Boots::Never,
                other => return Err(format!("{other:?} is no way to boot: usual, at once or never").into()),
            }))
        });
}

fn store_faults(engine: &mut Engine) {
    let count = |n: i64| -> ScriptResult<u32> { u32::try_from(n).map_err(|_| format!("{n} is no count").into()) };
    engine
        .register_fn("outage", |s: Dynamic| seconds(&s).map(Fault::Outage))
        .register_fn("cloud_outage", |s: Dynamic| seconds(&s).map(Fault::CloudOutage))
        .register_fn("refuse", |of: Dynamic, s: Dynamic| ScriptResult::Ok(Fault::Refuse(who(&of)?, seconds(&s)?)))
        .register_fn("lose_writes", move |n: i64| count(n).map(Fault::LoseWrites))
        .register_fn("vanish", move |prefix: &str, n: i64| {
            ScriptResult::Ok(Fault::Vanish(prefix.into(), count(n)? as usize))
        })
        .register_fn("unanswered", move |n: i64| count(n).map(Fault::Unanswered))
        .register_fn("late_writes", move |n: i64, s: Dynamic| {
            ScriptResult::Ok(Fault::LateWrites(count(n)?, seconds(&s)?))
        })
        .register_fn("drop_leases", || Fault::DropLeases)
        .register_fn("stall_watches", |s: Dynamic| seconds(&s).map(Fault::StallWatches))
        .register_fn("slow_store", |ms: Dynamic, s: Dynamic| {
            let ms = within("slow_store", &ms, 1.0, SLOWEST_MS)?;
            ScriptResult::Ok(Fault::SlowStore(Duration::from_secs_f64(ms / 1000.0), seconds(&s)?))
        })
        .register_fn("forget_log", || Fault::ForgetLog);
}

fn controller_faults(engine: &mut Engine) {
    engine
        .register_fn("cut", |of: Dynamic, link: &str, s: Dynamic| link_fault(&of, link, Passing::Held, &s))
        .register_fn("reset", |of: Dynamic, link: &str, s: Dynamic| link_fault(&of, link, Passing::Reset, &s))
        .register_fn("delay", |of: Dynamic, link: &str, by: Dynamic, s: Dynamic| {
            link_fault(&of, link, Passing::Delayed(seconds(&by)?), &s)
        })
        .register_fn("lone", |of: Dynamic, s: Dynamic| ScriptResult::Ok(Fault::Lone(who(&of)?, seconds(&s)?)))
        .register_fn("end", |of: Dynamic, s: Dynamic| ScriptResult::Ok(Fault::End(who(&of)?, seconds(&s)?)))
        .register_fn("pause", |of: Dynamic, s: Dynamic| ScriptResult::Ok(Fault::Pause(who(&of)?, seconds(&s)?)))
        .register_fn("roll", |every: Dynamic| seconds(&every).map(Fault::Roll));
}

fn verb(args: rhai::Array, spec: Option<String>) -> ScriptResult<Fault> {
    let args: Result<Vec<String>, _> = args.into_iter().map(|arg| arg.into_string()).collect();
    let args = args.map_err(|kind| format!("arguments are strings, and not {kind}"))?;
    Ok(Fault::Operator(Verb { args, spec, exit: 0, says: String::new() }))
}

fn operators(engine: &mut Engine) {
    engine
        .register_fn("operator", |args: rhai::Array| verb(args, None))
        .register_fn("operator", |args: rhai::Array, spec: rhai::Map| verb(args, Some(rhai::format_map_as_json(&spec))))
        .register_fn("says", |words: &str, fault: Fault| match fault {
            Fault::Operator(verb) => ScriptResult::Ok(Fault::Operator(Verb { says: words.into(), ..verb })),
            other => Err(format!("{other:?} says nothing").into()),
        })
        .register_fn("exits", |status: i64, fault: Fault| match fault {
            Fault::Operator(verb) => ScriptResult::Ok(Fault::Operator(Verb { exit: status as i32, ..verb })),
            other => Err(format!("{other:?} has no exit status").into()),
        })
        .register_fn("withdraw_share", |part: Dynamic| {
            within("withdraw_share", &part, 0.0, 1.0).map(Fault::CancelShare)
        })
        .register_fn("will_withdraw", |job: &str| Fault::WillCancel(job.into()));
}

/// Reads a script. `seed` determines what it draws at random.
pub fn read(script: &str, seed: u64) -> Result<Plan, ScriptError> {
    let plan = Arc::new(Mutex::new(Plan::default()));
    let mut engine = engine();
    machine_faults(&mut engine);
    store_faults(&mut engine);
    controller_faults(&mut engine);
    operators(&mut engine);
    let (often, quiet, capacity) = (plan.clone(), plan.clone(), plan.clone());
    engine
        .register_fn("ask_often", move |times: Dynamic| number(&times).map(|times| lock(&often).often = times))
        .register_fn("quiet", move |s: Dynamic| seconds(&s).map(|time| lock(&quiet).quiet = time))
        .register_fn("capacity", move |old: &str, new: &str, least: i64| {
            lock(&capacity).capacity.push((vec![old.into(), new.into()], usize::try_from(least).unwrap_or(0)));
        });
    let (at, when, then, some_time, sizes) = (plan.clone(), plan.clone(), plan.clone(), plan.clone(), plan.clone());
    let rng = Mutex::new(ChaCha8Rng::seed_from_u64(seed));
    engine
        .register_fn("at", move |s: Dynamic, fault: Fault| add(&at, Trigger::At(seconds(&s)?), fault))
        .register_fn("when", move |so: &str, fault: Fault| {
            add(&when, Trigger::When(condition(so)?, Duration::ZERO), fault)
        })
        .register_fn("when", move |so: &str, from: Dynamic, fault: Fault| {
            add(&then, Trigger::When(condition(so)?, seconds(&from)?), fault)
        })
        .register_fn("at_random", move |from: Dynamic, to: Dynamic, fault: Fault| {
            let (from, to) = (number(&from)?, number(&to)?);
            if from > to {
                return Err(format!("{from} is after {to}").into());
            }
            let drawn = lock(&rng).random_range(from..=to);
            add(&some_time, Trigger::At(Duration::from_secs_f64(drawn)), fault)
        })
        .register_fn("sizes", move |file: &str| lock(&sizes).sizes = Some(file.to_owned()));
    let run = engine
        .run(script)
        .map_err(|error| ScriptError { line: error.position().line().unwrap_or(1), why: error.to_string() });
    run?;
    let plan = lock(&plan).clone();
    Ok(plan)
}

#[cfg(test)]
mod tests;
