//! Arguments of the functions that scenarios call, and why they cannot be used.

use std::time::Duration;

use rhai::{Dynamic, EvalAltResult};

use super::{Condition, ControllerSelector, Fault, MachineAmount};
use crate::driver::Link;
use crate::driver::relay::LinkState;
use crate::world::cloud::BootMode;

/// The longest time in a scenario, in seconds.
const MAX_SECONDS: f64 = 86_400.0;

const CONDITIONS: [(&str, Condition); 4] = [
    ("a machine holds a finished result", Condition::HoldsResult),
    ("the owner has just placed", Condition::JustPlaced),
    ("a write is acknowledged and not carried out", Condition::AcknowledgedOnly),
    ("an election is under way", Condition::Election),
];

/// Why an argument cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum ArgumentError {
    #[error("a number is wanted and not a {0}")]
    NotANumber(&'static str),
    #[error("{value} is not between {least} and {most}")]
    OutOfRange { value: f64, least: f64, most: f64 },
    #[error("{name}: {source}")]
    Named { name: &'static str, source: Box<ArgumentError> },
    #[error("{0} machines")]
    NegativeMachines(i64),
    #[error("{0} is no part: from 0 to 1, or a whole number of machines")]
    NotAPart(f64),
    #[error("controller {0}")]
    NegativeController(i64),
    #[error("{0:?} is no controller: a number from 0, \"owner\" or \"all\"")]
    UnknownController(String),
    #[error("{0:?} is no link: store, cloud, workers, users or peers")]
    UnknownLink(String),
    #[error("{words:?} is none of: {}", CONDITIONS.map(|(name, _)| name).join("; "))]
    UnknownCondition { words: String },
    #[error("{0:?} is no way to boot: usual, at once or never")]
    UnknownBoots(String),
    #[error("{0} is no count")]
    NotACount(i64),
    #[error("arguments are strings, and not {0}")]
    NotAString(&'static str),
    #[error("{0:?} says nothing")]
    SaysNothing(Fault),
    #[error("{0:?} has no exit status")]
    NoExitStatus(Fault),
    #[error("{from} is after {to}")]
    Reversed { from: f64, to: f64 },
    #[error("more than {0} faults")]
    TooManyFaults(usize),
}

impl From<ArgumentError> for Box<EvalAltResult> {
    fn from(error: ArgumentError) -> Self {
        error.to_string().into()
    }
}

fn any_number(value: &Dynamic) -> Result<f64, ArgumentError> {
    let number = value.as_float().or_else(|_| value.as_int().map(|n| n as f64));
    number.map_err(ArgumentError::NotANumber)
}

fn check_range(value: f64, least: f64, most: f64) -> Result<f64, ArgumentError> {
    if (least..=most).contains(&value) { Ok(value) } else { Err(ArgumentError::OutOfRange { value, least, most }) }
}

pub(super) fn number(value: &Dynamic) -> Result<f64, ArgumentError> {
    check_range(any_number(value)?, 0.0, MAX_SECONDS)
}

/// A number within bounds of its own, named in the error.
pub(super) fn number_within(name: &'static str, value: &Dynamic, least: f64, most: f64) -> Result<f64, ArgumentError> {
    any_number(value)
        .and_then(|number| check_range(number, least, most))
        .map_err(|source| ArgumentError::Named { name, source: Box::new(source) })
}

pub(super) fn seconds(value: &Dynamic) -> Result<Duration, ArgumentError> {
    number(value).map(Duration::from_secs_f64)
}

pub(super) fn count(n: i64) -> Result<u32, ArgumentError> {
    u32::try_from(n).map_err(|_| ArgumentError::NotACount(n))
}

pub(super) fn machine_amount(value: &Dynamic) -> Result<MachineAmount, ArgumentError> {
    if let Ok(n) = value.as_int() {
        return usize::try_from(n).map(MachineAmount::Count).map_err(|_| ArgumentError::NegativeMachines(n));
    }
    match number(value)? {
        fraction if fraction <= 1.0 => Ok(MachineAmount::Part(fraction)),
        more => Err(ArgumentError::NotAPart(more)),
    }
}

/// `"leader"` and `"owner"` both select the leader.
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

pub(super) fn link_fault(of: &Dynamic, link: &str, passing: LinkState, time: &Dynamic) -> Result<Fault, ArgumentError> {
    let (of, time) = (controllers(of)?, seconds(time)?);
    let link = match link {
        "store" => Link::Store,
        "cloud" => Link::Cloud,
        "workers" => Link::Workers,
        "users" => Link::Users,
        "peers" => return Ok(Fault::Peers(of, passing, time)),
        other => return Err(ArgumentError::UnknownLink(other.to_owned())),
    };
    Ok(Fault::Link(of, link, passing, time))
}

pub(super) fn boots(how: &str) -> Result<BootMode, ArgumentError> {
    match how {
        "usual" => Ok(BootMode::Usual),
        "at once" => Ok(BootMode::AtOnce),
        "never" => Ok(BootMode::Never),
        other => Err(ArgumentError::UnknownBoots(other.to_owned())),
    }
}

pub(super) fn condition(words: &str) -> Result<Condition, ArgumentError> {
    let known = CONDITIONS.iter().find(|(name, _)| *name == words);
    known.map(|(_, condition)| *condition).ok_or_else(|| ArgumentError::UnknownCondition { words: words.to_owned() })
}
