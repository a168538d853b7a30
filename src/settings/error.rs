//! Errors of loading settings and properties.

use std::path::PathBuf;

/// Error of loading the configuration of a controller.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// No settings file was given.
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
    /// The settings are invalid.
    #[error("{}: {source}", file.display())]
    Settings {
        /// Path of the file, as it was given.
        file: PathBuf,
        /// The reason.
        source: InvalidSettings,
    },
    /// The properties are invalid.
    #[error("{}: {source}", file.display())]
    Properties {
        /// Path of the file, as it was given.
        file: PathBuf,
        /// The reason.
        source: InvalidProperties,
    },
}

/// Reason why settings are invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidSettings {
    /// A field is missing or of the wrong type; the error names it.
    #[error(transparent)]
    Decode(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Further text follows the settings.
    #[error(transparent)]
    Trailing(#[from] serde_json::Error),
    /// The value of a field is not allowed.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field.
        field: String,
        /// Value of the field and the bound that it violates.
        reason: String,
    },
}

impl InvalidSettings {
    /// Creates the error of a field; `reason` gives its value and the bound that it violates.
    pub(super) fn field(field: impl Into<String>, reason: impl Into<String>) -> Self {
        Self::Field { field: field.into(), reason: reason.into() }
    }
}

/// Reason why properties are invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidProperties {
    /// The text is not a properties file.
    #[error(transparent)]
    Parse(#[from] java_properties::PropertiesError),
    /// A value is not a number.
    #[error("{name}: {text:?} is not a number")]
    NotANumber {
        /// Name of the property.
        name: &'static str,
        /// Value of the property.
        text: String,
    },
    /// A value is out of its range.
    #[error("{name}: {text} is not between {low} and {high}")]
    OutOfRange {
        /// Name of the property.
        name: &'static str,
        /// Value of the property.
        text: String,
        /// Minimum value.
        low: f64,
        /// Maximum value.
        high: f64,
    },
    /// No property has this name.
    #[error("{name}: unknown property (value {text:?})")]
    Unknown {
        /// Name in the file.
        name: String,
        /// Value of the property.
        text: String,
    },
}
