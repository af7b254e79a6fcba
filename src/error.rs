//! Why a command failed.

use crate::exit_codes::Exit;
use std::{fmt, net::SocketAddr};
use tonic::{Code, Status};

/// A command's failure: the step and the peer at which it arose.
#[derive(Debug)]
pub struct CommandError {
    /// What the exit status says.
    pub exit: Exit,
    /// The step.
    pub step: &'static str,
    /// The daemon asked, if the step asked one.
    pub peer: Option<SocketAddr>,
    /// What went wrong.
    pub reason: String,
}

impl CommandError {
    /// A failure on this host.
    pub fn local<R>(exit: Exit, step: &'static str, reason: R) -> Self
    where
        R: fmt::Display,
    {
        Self {
            exit,
            step,
            peer: None,
            reason: reason.to_string(),
        }
    }

    /// A daemon that can't be reached.
    pub fn unreachable<R>(step: &'static str, peer: SocketAddr, reason: R) -> Self
    where
        R: fmt::Display,
    {
        Self {
            peer: Some(peer),
            ..Self::local(Exit::Unavailable, step, reason)
        }
    }

    /// A daemon's answer to an operator.
    pub fn answered(step: &'static str, peer: SocketAddr, status: &Status) -> Self {
        let exit = match status.code() {
            Code::Aborted => Exit::Conflict,
            Code::InvalidArgument | Code::FailedPrecondition | Code::Unauthenticated => {
                Exit::Refused
            }
            Code::Unavailable | Code::Unknown | Code::Cancelled | Code::DeadlineExceeded => {
                Exit::Unavailable
            }
            _ => Exit::Failure,
        };
        Self {
            peer: Some(peer),
            ..Self::local(exit, step, status.message())
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.step)?;
        if let Some(peer) = self.peer {
            write!(f, " at {peer}")?;
        }
        write!(f, ": {}", self.reason)
    }
}

impl std::error::Error for CommandError {}
