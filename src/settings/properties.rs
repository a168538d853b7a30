//! The operators' settings, a Java-style properties file: one name, default and range for each value that the platform
//! does not give.

use std::collections::HashMap;
use std::path::Path;
use std::time::Duration;

use super::{InvalidProperties, SettingsError};

macro_rules! properties {
    ($($(#[doc = $doc:literal])+ $field:ident: $kind:ident = $default:expr, $name:literal, $low:expr, $high:expr;)+) => {
        /// Settings that operators may override, with a default and an allowed range each; durations are given in
        /// seconds. [`Properties::lines`] names them as the properties file does.
        #[derive(Debug, Clone, PartialEq)]
        pub struct Properties { $($(#[doc = $doc])+ pub $field: properties!(@type $kind),)+ }

        impl Default for Properties {
            fn default() -> Self {
                Self { $($field: properties!(@make $kind, $default),)+ }
            }
        }

        impl Properties {
            /// Name, effective value, as `check` prints them.
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
    /// Seconds after which an unrenewed election lease ends and another controller takes over.
    election_lease: seconds = 3.0, "leader.lease.seconds", 0.5, 600.0;
    /// Deadline of a job without one, in estimates.
    soft_deadline_factor: number = 4.0, "sla.soft.deadline.estimates", 1.0, 100.0;
    /// Seconds without a report after which a machine is given up and returned.
    silence_timeout: seconds = 12.0, "machines.silence.seconds", 2.0, 3600.0;
    /// Seconds a machine may stand idle before it is returned.
    idle_timeout: seconds = 120.0, "machines.idle.seconds", 0.0, 86400.0;
    /// Machine boots longer than this many times the type's usual time are given up.
    max_boot_ratio: number = 4.0, "machines.boot.patience", 1.0, 100.0;
    /// Idle work rents only machines at most this many times as dear for it as the cheapest kind open to it.
    max_idle_price_ratio: number = 3.0, "idle.machines.dearer", 1.0, 1000.0;
    /// Machines held at the most, booting ones included.
    max_machines: number = 5000.0, "machines.most", 1.0, 100000.0;
    /// Seconds to keep from asking again for machines of a type, zone and kind that were refused.
    refusal_backoff: seconds = 15.0, "machines.refusal.seconds", 1.0, 3600.0;
    /// Seconds over which it is counted who is served.
    served_window: seconds = 300.0, "served.window.seconds", 10.0, 86400.0;
    /// Who gets less than this part of what was promised is rented for at once; who gets less than this
    /// part of what it would by its offered work goes first.
    min_served_ratio: number = 0.75, "served.floor", 0.0, 1.0;
    /// Of the cores that are given out, work too late for all promises gets this part.
    late_core_share: number = 0.05, "served.late.part", 0.0, 1.0;
    /// Seconds within which work that needs several tasks at once is to begin, whatever else comes.
    gang_start_limit: seconds = 240.0, "large.begin.seconds", 1.0, 86400.0;
    /// Task failures in a row after which a machine is taken out.
    max_consecutive_failures: number = 2.0, "machines.failures", 1.0, 1000.0;
}

impl Properties {
    /// Reads a properties file. What it does not mention keeps its default; an unknown name or a value out of range is
    /// an error that names the file.
    ///
    /// # Errors
    /// Names the file and the first property that cannot be used.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read(path).map_err(|source| SettingsError::Read { file: path.to_owned(), source })?;
        Self::parse(&text).map_err(|source| SettingsError::Properties { file: path.to_owned(), source })
    }

    /// Reads properties from the text of a file, by the same rules as [`Self::load`].
    ///
    /// # Errors
    /// Names the first property that cannot be used.
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
