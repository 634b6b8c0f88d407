use std::process::ExitCode;

/// Exit code of the program.
///
/// ```
/// assert_eq!(arbutuspick_entry::ExitStatus::WrongInput as u8, 2);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done, or stopped as planned.
    Done = 0,
    /// Failed at run time.
    Failed = 1,
    /// Wrong settings, questionnaire or command line.
    WrongInput = 2,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
