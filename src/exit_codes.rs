//! Exit codes of the process.

use std::process::{ExitCode, Termination};

/// Outcome of a command, reported as the process's exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success,
    /// The command failed for a reason that no other status covers.
    Failure,
    /// The command line is invalid.
    Usage,
    /// The settings are invalid.
    InvalidSettings,
    /// The daemon refused the request; nothing was changed.
    Refused,
    /// Another operator changed the record first.
    Conflict,
    /// The daemon can't be reached, or doesn't know whether the change was made.
    Unavailable,
}

impl From<ExitStatus> for u8 {
    fn from(exit: ExitStatus) -> Self {
        match exit {
            ExitStatus::Success => 0,
            ExitStatus::Failure => 1,
            ExitStatus::Usage => 2,
            ExitStatus::InvalidSettings => 3,
            ExitStatus::Refused => 4,
            ExitStatus::Conflict => 5,
            ExitStatus::Unavailable => 6,
        }
    }
}

impl Termination for ExitStatus {
    fn report(self) -> ExitCode {
        ExitCode::from(u8::from(self))
    }
}
