use std::io;
use std::path::PathBuf;

use arbutuspick_model::FieldError;
use snafu::Snafu;

/// Why a settings file or a questionnaire is not valid.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("file {}: {source}", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The text is not YAML, or a field is unknown, missing or of another type.
    #[snafu(display("{source}"))]
    Malformed {
        /// Cause, with the path and the position of the field.
        source: serde_yaml_ng::Error,
    },
    /// A value violates a rule.
    #[snafu(display("{source}"), context(false))]
    Invalid {
        /// Field, value and rule.
        source: FieldError,
    },
}
