//! What the process's exit status says.

use std::process::{ExitCode, Termination};

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It did what was asked.
    Success,
    /// It failed.
    Failure,
    /// The command line makes no sense.
    Usage,
    /// The settings are refused.
    BadSettings,
    /// The daemon refused the change; nothing was changed.
    Refused,
    /// Another operator was first.
    Conflict,
    /// The daemon can't be reached, or can't tell whether the change was made.
    Unavailable,
}

impl From<Exit> for u8 {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::Usage => 2,
            Exit::BadSettings => 3,
            Exit::Refused => 4,
            Exit::Conflict => 5,
            Exit::Unavailable => 6,
        }
    }
}

impl Termination for Exit {
    fn report(self) -> ExitCode {
        ExitCode::from(u8::from(self))
    }
}
