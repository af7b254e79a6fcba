//! Error type of the subcommands.

use crate::exit_codes::ExitStatus;
use std::{fmt, net::SocketAddr};
use tonic::{Code, Status};

/// Error of a subcommand, with the step that failed.
#[derive(Debug)]
pub struct CommandError {
    /// Exit status of the process.
    pub exit: ExitStatus,
    /// Step that failed, such as "failed to connect".
    pub step: &'static str,
    /// Daemon that the step was about, if any.
    pub daemon: Option<SocketAddr>,
    /// Cause of the failure.
    pub reason: String,
}

impl CommandError {
    /// Creates an error that arose in this process.
    pub fn local<R>(exit: ExitStatus, step: &'static str, reason: R) -> Self
    where
        R: fmt::Display,
    {
        Self {
            exit,
            step,
            daemon: None,
            reason: reason.to_string(),
        }
    }

    /// Creates an error for a daemon that can't be reached.
    pub fn unreachable<R>(step: &'static str, daemon: SocketAddr, reason: R) -> Self
    where
        R: fmt::Display,
    {
        Self {
            daemon: Some(daemon),
            ..Self::local(ExitStatus::Unavailable, step, reason)
        }
    }

    /// Creates an error from the gRPC status of a daemon's response.
    pub fn from_status(step: &'static str, daemon: SocketAddr, status: &Status) -> Self {
        let exit = match status.code() {
            Code::Aborted => ExitStatus::Conflict,
            Code::InvalidArgument | Code::FailedPrecondition | Code::Unauthenticated => {
                ExitStatus::Refused
            }
            Code::Unavailable | Code::Unknown | Code::Cancelled | Code::DeadlineExceeded => {
                ExitStatus::Unavailable
            }
            _ => ExitStatus::Failure,
        };
        Self {
            daemon: Some(daemon),
            ..Self::local(exit, step, status.message())
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.step)?;
        if let Some(daemon) = self.daemon {
            write!(f, " (daemon {daemon})")?;
        }
        write!(f, ": {}", self.reason)
    }
}

impl std::error::Error for CommandError {}
