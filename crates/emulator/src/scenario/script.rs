//! The script language of scenarios: functions of a rhai engine whose execution is bounded.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rhai::{Dynamic, Engine, EvalAltResult};

use super::arguments::{
    ArgumentError, boot_mode, condition, controllers, count, link_fault, machine_amount, number, number_within, seconds,
};
use super::{Fault, OperatorCommand, Plan, ScriptError, Trigger};
use crate::driver::lock;
use crate::driver::relay::LinkState;

/// The result of a script function.
type ScriptResult<T> = Result<T, Box<EvalAltResult>>;

/// Maximum number of faults in a scenario.
const MAX_FAULTS: usize = 1000;
/// Maximum delay of the state service's responses, in ms. It is longer than any client waits.
const MAX_RESPONSE_DELAY_MS: f64 = 20_000.0;

/// Adds a fault to a plan.
fn add_fault(plan: &Mutex<Plan>, trigger: Trigger, fault: Fault) -> ScriptResult<()> {
    let mut plan = lock(plan);
    if plan.steps.len() >= MAX_FAULTS {
        return Err(ArgumentError::TooManyFaults(MAX_FAULTS).into());
    }
    plan.steps.push((trigger, fault));
    Ok(())
}

/// Creates an engine with limits, so that a faulty script ends with an error and does not exhaust the machine.
fn bounded_engine() -> Engine {
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

/// Registers the faults of machines and workers.
fn register_machine_faults(engine: &mut Engine) {
    engine
        .register_type_with_name::<Fault>("Fault")
        .register_fn("lose_machines", |n: Dynamic| ScriptResult::Ok(Fault::LoseMachines(machine_amount(&n)?)))
        .register_fn("lose_zone", |zone: &str| Fault::LoseZone(zone.into()))
        .register_fn("lose_holder", || Fault::LoseHolder)
        .register_fn("take_spot", |part: Dynamic| ScriptResult::Ok(Fault::TakeSpot(number(&part)?)))
        .register_fn("hang", |n: Dynamic, s: Dynamic| ScriptResult::Ok(Fault::Hang(machine_amount(&n)?, seconds(&s)?)))
        .register_fn("sick", |n: Dynamic, s: Dynamic| ScriptResult::Ok(Fault::Sick(machine_amount(&n)?, seconds(&s)?)))
        .register_fn("slow", |n: Dynamic, by: Dynamic| {
            ScriptResult::Ok(Fault::Slow(machine_amount(&n)?, number(&by)?.max(1.0)))
        })
        .register_fn("deaf", |n: Dynamic, s: Dynamic| {
            ScriptResult::Ok(Fault::InboundLost(machine_amount(&n)?, seconds(&s)?))
        })
        .register_fn("late_copies", |n: Dynamic, from: Dynamic, to: Dynamic, s: Dynamic| {
            ScriptResult::Ok(Fault::LateCopies(machine_amount(&n)?, seconds(&from)?, seconds(&to)?, seconds(&s)?))
        })
        .register_fn("drift", |n: Dynamic, by: Dynamic| {
            ScriptResult::Ok(Fault::Drift(machine_amount(&n)?, number(&by)?))
        })
        .register_fn("start_twice", || Fault::StartTwice)
        .register_fn("boots", |how: &str| ScriptResult::Ok(Fault::Boots(boot_mode(how)?)));
}

/// Registers the faults of the state service and the cloud.
fn register_store_faults(engine: &mut Engine) {
    engine
        .register_fn("outage", |s: Dynamic| ScriptResult::Ok(Fault::Outage(seconds(&s)?)))
        .register_fn("cloud_outage", |s: Dynamic| ScriptResult::Ok(Fault::CloudOutage(seconds(&s)?)))
        .register_fn("refuse", |of: Dynamic, s: Dynamic| {
            ScriptResult::Ok(Fault::Refuse(controllers(&of)?, seconds(&s)?))
        })
        .register_fn("lose_writes", |n: i64| ScriptResult::Ok(Fault::LoseWrites(count(n)?)))
        .register_fn("vanish", |prefix: &str, n: i64| {
            ScriptResult::Ok(Fault::Vanish(prefix.into(), count(n)? as usize))
        })
        .register_fn("unanswered", |n: i64| ScriptResult::Ok(Fault::Unanswered(count(n)?)))
        .register_fn("late_writes", |n: i64, s: Dynamic| ScriptResult::Ok(Fault::LateWrites(count(n)?, seconds(&s)?)))
        .register_fn("drop_leases", || Fault::DropLeases)
        .register_fn("stall_watches", |s: Dynamic| ScriptResult::Ok(Fault::StallWatches(seconds(&s)?)))
        .register_fn("slow_store", |ms: Dynamic, s: Dynamic| {
            let ms = number_within("slow_store", &ms, 1.0, MAX_RESPONSE_DELAY_MS)?;
            ScriptResult::Ok(Fault::SlowStore(Duration::from_secs_f64(ms / 1000.0), seconds(&s)?))
        })
        .register_fn("forget_log", || Fault::ForgetLog);
}

/// Registers the faults of controllers and their links.
fn register_controller_faults(engine: &mut Engine) {
    engine
        .register_fn("cut", |of: Dynamic, link: &str, s: Dynamic| {
            ScriptResult::Ok(link_fault(&of, link, LinkState::Held, &s)?)
        })
        .register_fn("reset", |of: Dynamic, link: &str, s: Dynamic| {
            ScriptResult::Ok(link_fault(&of, link, LinkState::Reset, &s)?)
        })
        .register_fn("delay", |of: Dynamic, link: &str, by: Dynamic, s: Dynamic| {
            ScriptResult::Ok(link_fault(&of, link, LinkState::Delayed(seconds(&by)?), &s)?)
        })
        .register_fn("lone", |of: Dynamic, s: Dynamic| ScriptResult::Ok(Fault::Lone(controllers(&of)?, seconds(&s)?)))
        .register_fn("end", |of: Dynamic, s: Dynamic| ScriptResult::Ok(Fault::End(controllers(&of)?, seconds(&s)?)))
        .register_fn("pause", |of: Dynamic, s: Dynamic| ScriptResult::Ok(Fault::Pause(controllers(&of)?, seconds(&s)?)))
        .register_fn("roll", |every: Dynamic| ScriptResult::Ok(Fault::Roll(seconds(&every)?)));
}

/// Creates an operator's command that expects exit status 0 and any output.
fn operator_command(args: rhai::Array, spec: Option<String>) -> ScriptResult<Fault> {
    let mut texts = Vec::new();
    for arg in args {
        texts.push(arg.into_string().map_err(ArgumentError::NotAString)?);
    }
    Ok(Fault::Operator(OperatorCommand { args: texts, spec, exit: 0, says: String::new() }))
}

/// Registers the actions of operators and users.
fn register_operator_actions(engine: &mut Engine) {
    engine
        .register_fn("operator", |args: rhai::Array| operator_command(args, None))
        .register_fn("operator", |args: rhai::Array, spec: rhai::Map| {
            operator_command(args, Some(rhai::format_map_as_json(&spec)))
        })
        .register_fn("says", |words: &str, fault: Fault| match fault {
            Fault::Operator(command) => {
                ScriptResult::Ok(Fault::Operator(OperatorCommand { says: words.into(), ..command }))
            }
            other => Err(ArgumentError::HasNoOutput(other).into()),
        })
        .register_fn("exits", |status: i64, fault: Fault| match fault {
            Fault::Operator(command) => {
                ScriptResult::Ok(Fault::Operator(OperatorCommand { exit: status as i32, ..command }))
            }
            other => Err(ArgumentError::NoExitStatus(other).into()),
        })
        .register_fn("withdraw_share", |part: Dynamic| {
            ScriptResult::Ok(Fault::CancelShare(number_within("withdraw_share", &part, 0.0, 1.0)?))
        })
        .register_fn("will_withdraw", |job: &str| Fault::WillCancel(job.into()));
}

/// Registers the settings of the whole plan.
fn register_settings(engine: &mut Engine, plan: &Arc<Mutex<Plan>>) {
    let (often, quiet, capacity, sizes) = (plan.clone(), plan.clone(), plan.clone(), plan.clone());
    engine
        .register_fn("ask_often", move |times: Dynamic| {
            lock(&often).poll_rate_factor = number(&times)?;
            ScriptResult::Ok(())
        })
        .register_fn("quiet", move |s: Dynamic| {
            lock(&quiet).min_quiet_period = seconds(&s)?;
            ScriptResult::Ok(())
        })
        .register_fn("capacity", move |old: &str, new: &str, replicas: i64| {
            lock(&capacity).capacity.push((vec![old.into(), new.into()], usize::try_from(replicas).unwrap_or(0)));
        })
        .register_fn("sizes", move |file: &str| lock(&sizes).sizes = Some(file.to_owned()));
}

/// Registers the triggers of faults.
fn register_triggers(engine: &mut Engine, plan: &Arc<Mutex<Plan>>, seed: u64) {
    let (at, when, when_from, at_random) = (plan.clone(), plan.clone(), plan.clone(), plan.clone());
    let rng = Mutex::new(ChaCha8Rng::seed_from_u64(seed));
    engine
        .register_fn("at", move |s: Dynamic, fault: Fault| add_fault(&at, Trigger::At(seconds(&s)?), fault))
        .register_fn("when", move |text: &str, fault: Fault| {
            add_fault(&when, Trigger::When(condition(text)?, Duration::ZERO), fault)
        })
        .register_fn("when", move |text: &str, from: Dynamic, fault: Fault| {
            add_fault(&when_from, Trigger::When(condition(text)?, seconds(&from)?), fault)
        })
        .register_fn("at_random", move |from: Dynamic, to: Dynamic, fault: Fault| {
            let (from, to) = (number(&from)?, number(&to)?);
            if from > to {
                return Err(ArgumentError::Reversed { from, to }.into());
            }
            let drawn = lock(&rng).random_range(from..=to);
            add_fault(&at_random, Trigger::At(Duration::from_secs_f64(drawn)), fault)
        });
}

/// Executes a script and returns its plan. `seed` determines all random draws.
///
/// # Errors
/// The line of the script at which an error occurred, with its description.
pub fn read(script: &str, seed: u64) -> Result<Plan, ScriptError> {
    let plan = Arc::new(Mutex::new(Plan::default()));
    let mut engine = bounded_engine();
    register_machine_faults(&mut engine);
    register_store_faults(&mut engine);
    register_controller_faults(&mut engine);
    register_operator_actions(&mut engine);
    register_settings(&mut engine, &plan);
    register_triggers(&mut engine, &plan, seed);
    engine
        .run(script)
        .map_err(|error| ScriptError { line: error.position().line().unwrap_or(1), why: error.to_string() })?;
    let plan = lock(&plan).clone();
    Ok(plan)
}
