//! Why settings or properties are refused.

use std::path::PathBuf;

/// Why the configuration of a controller was refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// No settings file is named.
    #[error("--config: no settings file is given")]
    NoFile,
    /// A file cannot be read.
    #[error("{}: {source}", file.display())]
    Read {
        /// Path of the file, as it was given.
        file: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The settings cannot be used.
    #[error("{}: {source}", file.display())]
    Settings {
        /// Path of the file, as it was given.
        file: PathBuf,
        /// What is wrong.
        source: InvalidSettings,
    },
    /// The properties cannot be used.
    #[error("{}: {source}", file.display())]
    Properties {
        /// Path of the file, as it was given.
        file: PathBuf,
        /// What is wrong.
        source: InvalidProperties,
    },
}

/// What is wrong with settings.
#[derive(Debug, thiserror::Error)]
pub enum InvalidSettings {
    /// A field is missing or of the wrong type; the error names it.
    #[error(transparent)]
    Decode(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// There is more text after the settings.
    #[error(transparent)]
    Trailing(#[from] serde_json::Error),
    /// The value of a field cannot be used.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field.
        field: String,
        /// Its value, and the bound that it breaks.
        reason: String,
    },
}

impl InvalidSettings {
    /// A field, and its value with the bound that it breaks.
    pub(super) fn field(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self::Field { field: field.into(), reason: reason.into() }
    }
}

/// What is wrong with properties.
#[derive(Debug, thiserror::Error)]
pub enum InvalidProperties {
    /// The text is no properties file.
    #[error(transparent)]
    Parse(#[from] java_properties::PropertiesError),
    /// A value is no number.
    #[error("{name}: {text:?} is not a number")]
    NotANumber {
        /// The property.
        name: &'static str,
        /// Its value.
        text: String,
    },
    /// A value is out of its range.
    #[error("{name}: {text} is not between {low} and {high}")]
    OutOfRange {
        /// The property.
        name: &'static str,
        /// Its value.
        text: String,
        /// The least value.
        low: f64,
        /// The largest value.
        high: f64,
    },
    /// There is no such property.
    #[error("{name}: unknown property (value {text:?})")]
    Unknown {
        /// Its name.
        name: String,
        /// Its value.
        text: String,
    },
}
