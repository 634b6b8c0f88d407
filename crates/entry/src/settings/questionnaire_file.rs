use std::fs;
use std::path::Path;

use arbutuspick_records::{AccountRequest, Questionnaire};
use snafu::ResultExt;

use super::SettingsError;
use super::settings_error::{MalformedSnafu, UnreadableSnafu};

/// Reads and checks a team's questionnaire in YAML.
///
/// ```no_run
/// let request = arbutuspick_entry::read_questionnaire("questionnaire.yaml".as_ref())?;
/// let config = request.generate_config();
/// println!("{} is guaranteed {} kinds of cells", request.account, config.guarantees.len());
/// # Ok::<(), arbutuspick_entry::SettingsError>(())
/// ```
pub fn read_questionnaire(path: &Path) -> Result<AccountRequest, SettingsError> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let questionnaire: Questionnaire = serde_yaml_ng::from_str(&text).context(MalformedSnafu)?;
    Ok(AccountRequest::try_from(questionnaire)?)
}
