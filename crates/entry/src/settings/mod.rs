//! Settings of the daemon: the file as parsed, and the checked settings.

mod auth_settings;
mod caller_role;
mod entry_limits;
mod questionnaire_file;
mod raw_settings;
#[allow(clippy::module_inception, reason = "the module is named after its type")]
mod settings;
mod settings_error;

pub use auth_settings::{AuthSettings, TokenDigest};
pub use caller_role::CallerRole;
pub use entry_limits::EntryLimits;
pub use questionnaire_file::read_questionnaire;
pub use raw_settings::{RawLimits, RawPeer, RawSettings, RawToken};
pub use settings::Settings;
pub use settings_error::SettingsError;
