//! Conversion of the arguments of script functions, and its errors.

use std::time::Duration;

use rhai::{Dynamic, EvalAltResult};

use super::{Condition, ControllerSelector, Fault, MachineAmount};
use crate::driver::Link;
use crate::driver::relay::LinkState;
use crate::world::cloud::BootMode;

/// Maximum of times and other numbers in a scenario; for times in seconds.
const MAX_NUMBER: f64 = 86_400.0;

/// The conditions of triggers by their text in scripts.
const CONDITIONS: [(&str, Condition); 4] = [
    ("a machine holds a finished result", Condition::HoldsResult),
    ("the owner has just placed", Condition::JustPlaced),
    ("a write is acknowledged and not carried out", Condition::AcknowledgedOnly),
    ("an election is under way", Condition::Election),
];

/// Why an argument is invalid.
#[derive(Debug, thiserror::Error)]
pub(super) enum ArgumentError {
    #[error("expected a number, found {0}")]
    NotANumber(&'static str),
    #[error("{value} is not between {min} and {max}")]
    OutOfRange { value: f64, min: f64, max: f64 },
    #[error("{name}: {source}")]
    Named { name: &'static str, source: Box<ArgumentError> },
    #[error("the number of machines is {0}, expected 0 or more")]
    NegativeMachines(i64),
    #[error("{0} is no valid amount of machines: expected a fraction from 0 to 1, or a whole number")]
    InvalidFraction(f64),
    #[error("the number of the controller is {0}, expected 0 or more")]
    NegativeController(i64),
    #[error("unknown controller {0:?}: expected a number from 0, \"owner\", \"leader\" or \"all\"")]
    UnknownController(String),
    #[error("unknown link {0:?}: expected store, cloud, workers, users or peers")]
    UnknownLink(String),
    #[error("unknown condition {text:?}: expected one of: {}", CONDITIONS.map(|(name, _)| name).join("; "))]
    UnknownCondition { text: String },
    #[error("unknown boot mode {0:?}: expected usual, at once or never")]
    UnknownBoots(String),
    #[error("the count is {0}, expected 0 to {max}", max = u32::MAX)]
    NotACount(i64),
    #[error("the argument of a command is {0}, expected a string")]
    NotAString(&'static str),
    #[error("{0:?} has no output: `says` applies only to operator commands")]
    HasNoOutput(Fault),
    #[error("{0:?} has no exit status: `exits` applies only to operator commands")]
    NoExitStatus(Fault),
    #[error("the earliest time {from} is after the latest time {to}")]
    Reversed { from: f64, to: f64 },
    #[error("more than {0} faults")]
    TooManyFaults(usize),
}

impl From<ArgumentError> for Box<EvalAltResult> {
    fn from(error: ArgumentError) -> Self {
        error.to_string().into()
    }
}

/// A number that may be an integer or a float in the script.
fn any_number(value: &Dynamic) -> Result<f64, ArgumentError> {
    let number = value.as_float().or_else(|_| value.as_int().map(|n| n as f64));
    number.map_err(ArgumentError::NotANumber)
}

/// Checks that a number is within bounds.
fn check_range(value: f64, min: f64, max: f64) -> Result<f64, ArgumentError> {
    if (min..=max).contains(&value) { Ok(value) } else { Err(ArgumentError::OutOfRange { value, min, max }) }
}

/// A number within the bounds for all numbers.
pub(super) fn number(value: &Dynamic) -> Result<f64, ArgumentError> {
    check_range(any_number(value)?, 0.0, MAX_NUMBER)
}

/// A number within the given bounds. The error states the name of the function.
pub(super) fn number_within(name: &'static str, value: &Dynamic, min: f64, max: f64) -> Result<f64, ArgumentError> {
    any_number(value)
        .and_then(|number| check_range(number, min, max))
        .map_err(|source| ArgumentError::Named { name, source: Box::new(source) })
}

/// A duration in seconds.
pub(super) fn seconds(value: &Dynamic) -> Result<Duration, ArgumentError> {
    number(value).map(Duration::from_secs_f64)
}

/// A count of writes or keys.
pub(super) fn count(n: i64) -> Result<u32, ArgumentError> {
    u32::try_from(n).map_err(|_| ArgumentError::NotACount(n))
}

/// A number of machines (an integer) or a fraction of all machines (a float).
pub(super) fn machine_amount(value: &Dynamic) -> Result<MachineAmount, ArgumentError> {
    if let Ok(n) = value.as_int() {
        return usize::try_from(n).map(MachineAmount::Count).map_err(|_| ArgumentError::NegativeMachines(n));
    }
    match number(value)? {
        fraction if fraction <= 1.0 => Ok(MachineAmount::Part(fraction)),
        more => Err(ArgumentError::InvalidFraction(more)),
    }
}

/// The selected controllers: a number, `"all"`, or `"leader"` or `"owner"`, which both select the leader.
pub(super) fn controllers(value: &Dynamic) -> Result<ControllerSelector, ArgumentError> {
    if let Ok(n) = value.as_int() {
        return usize::try_from(n).map(ControllerSelector::Number).map_err(|_| ArgumentError::NegativeController(n));
    }
    match value.clone().into_string().unwrap_or_default().as_str() {
        "owner" | "leader" => Ok(ControllerSelector::Leader),
        "all" => Ok(ControllerSelector::All),
        other => Err(ArgumentError::UnknownController(other.to_owned())),
    }
}

/// A fault that sets a link of the selected controllers to a state for a time.
pub(super) fn link_fault(of: &Dynamic, link: &str, state: LinkState, time: &Dynamic) -> Result<Fault, ArgumentError> {
    let (selector, time) = (controllers(of)?, seconds(time)?);
    let link = match link {
        "store" => Link::Store,
        "cloud" => Link::Cloud,
        "workers" => Link::Workers,
        "users" => Link::Users,
        "peers" => return Ok(Fault::Peers(selector, state, time)),
        other => return Err(ArgumentError::UnknownLink(other.to_owned())),
    };
    Ok(Fault::Link(selector, link, state, time))
}

/// The boot mode of this name.
pub(super) fn boot_mode(name: &str) -> Result<BootMode, ArgumentError> {
    match name {
        "usual" => Ok(BootMode::Usual),
        "at once" => Ok(BootMode::AtOnce),
        "never" => Ok(BootMode::Never),
        other => Err(ArgumentError::UnknownBoots(other.to_owned())),
    }
}

/// The condition with this text.
pub(super) fn condition(text: &str) -> Result<Condition, ArgumentError> {
    let known = CONDITIONS.iter().find(|(name, _)| *name == text);
    known.map(|(_, condition)| *condition).ok_or_else(|| ArgumentError::UnknownCondition { text: text.to_owned() })
}
