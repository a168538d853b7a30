//! Properties that operators set in a Java-style properties file: a name, a default and a range for each value that the
//! platform's settings do not contain.

use std::collections::HashMap;
use std::path::Path;
use std::time::Duration;

use super::{InvalidProperties, SettingsError};

macro_rules! properties {
    ($($(#[doc = $doc:literal])+ $field:ident: $kind:ident = $default:expr, $name:literal, $low:expr, $high:expr;)+) => {
        /// Values that operators may override, each with a default and an allowed range; the file gives durations in
        /// seconds. [`Properties::lines`] uses the names of the properties file.
        #[derive(Debug, Clone, PartialEq)]
        pub struct Properties { $($(#[doc = $doc])+ pub $field: properties!(@type $kind),)+ }

        impl Default for Properties {
            fn default() -> Self {
                Self { $($field: properties!(@make $kind, $default),)+ }
            }
        }

        impl Properties {
            /// Returns the name and effective value of each property, as `check` prints them.
            pub fn lines(&self) -> Vec<(&'static str, String)> {
                vec![$(($name, properties!(@show $kind, self.$field)),)+]
            }

            fn set(&mut self, name: &str, text: &str) -> Result<(), InvalidProperties> {
                match name {
                    $($name => {
                        let value: f64 = text.trim().parse()
                            .map_err(|_| InvalidProperties::NotANumber { name: $name, text: text.to_owned() })?;
                        if !($low..=$high).contains(&value) {
                            let (low, high) = ($low, $high);
                            return Err(InvalidProperties::OutOfRange { name: $name, text: text.to_owned(), low, high });
                        }
                        self.$field = properties!(@make $kind, value);
                        Ok(())
                    })+
                    _ => Err(InvalidProperties::Unknown { name: name.to_owned(), text: text.to_owned() }),
                }
            }
        }
    };
    (@type seconds) => { Duration };
    (@type number) => { f64 };
    (@make seconds, $v:expr) => { Duration::from_secs_f64($v) };
    (@make number, $v:expr) => { $v };
    (@show seconds, $v:expr) => { format!("{}", $v.as_secs_f64()) };
    (@show number, $v:expr) => { format!("{}", $v) };
}

properties! {
    /// Time after which an unrenewed election lease expires and another controller takes over.
    election_lease: seconds = 3.0, "leader.lease.seconds", 0.5, 600.0;
    /// Deadline of a job that has none, as a multiple of its estimated run time.
    soft_deadline_factor: number = 4.0, "sla.soft.deadline.estimates", 1.0, 100.0;
    /// Time without a heartbeat after which a machine is considered lost and is terminated.
    silence_timeout: seconds = 12.0, "machines.silence.seconds", 2.0, 3600.0;
    /// Time for which a machine may be idle before it is terminated.
    idle_timeout: seconds = 120.0, "machines.idle.seconds", 0.0, 86400.0;
    /// Maximum boot time of a machine, as a multiple of its type's usual boot time; slower boots are abandoned.
    max_boot_ratio: number = 4.0, "machines.boot.patience", 1.0, 100.0;
    /// Maximum price of machines provisioned for idle work, as a multiple of that of the cheapest eligible kind.
    max_idle_price_ratio: number = 3.0, "idle.machines.dearer", 1.0, 1000.0;
    /// Maximum number of machines, including those that boot.
    max_machines: number = 5000.0, "machines.most", 1.0, 100000.0;
    /// Time before machines of a type, zone and kind are requested again after a refusal.
    refusal_backoff: seconds = 15.0, "machines.refusal.seconds", 1.0, 3600.0;
    /// Window over which the service received by each group of work is measured.
    served_window: seconds = 300.0, "served.window.seconds", 10.0, 86400.0;
    /// Minimum fraction of the promised service: below it, machines are provisioned at once. Work that receives less
    /// than this fraction of the share due to its offered work is placed first.
    min_served_ratio: number = 0.75, "served.floor", 0.0, 1.0;
    /// Fraction of the allocated cores that goes to work too late to meet any objective.
    late_core_share: number = 0.05, "served.late.part", 0.0, 1.0;
    /// Time within which work that needs several tasks at once is to start, regardless of other work that arrives.
    gang_start_limit: seconds = 240.0, "large.begin.seconds", 1.0, 86400.0;
    /// Number of consecutive task failures after which a machine is quarantined.
    max_consecutive_failures: number = 2.0, "machines.failures", 1.0, 1000.0;
}

impl Properties {
    /// Reads a properties file. Properties that it does not contain keep their defaults; an unknown name or a value out
    /// of range is an error that names the file.
    ///
    /// # Errors
    /// Names the file and the first invalid property.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path).map_err(|source| SettingsError::Read { file: path.to_owned(), source })?;
        Self::parse(&text).map_err(|source| SettingsError::Properties { file: path.to_owned(), source })
    }

    /// Parses properties from the text of a file, by the same rules as [`Self::load`].
    ///
    /// # Errors
    /// Names the first invalid property.
    pub fn parse(text: &[u8]) -> Result<Self, InvalidProperties> {
        let entries: HashMap<String, String> = java_properties::read(text)?;
        let mut properties = Self::default();
        let mut entries: Vec<_> = entries.into_iter().collect();
        entries.sort();
        for (name, value) in entries {
            properties.set(&name, &value)?;
        }
        Ok(properties)
    }
}

#[cfg(test)]
mod tests;
