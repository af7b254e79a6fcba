//! Open requests and their attempts.

use super::{
    super::{
        input::{CallRequest, Target},
        keys::{
            AccountName, AttemptId, CallId, HostName, OperationId, PlatformId, Revision,
            VersionName,
        },
        output::{Doubt, Route},
        time::{Span, Time},
    },
    routing::Pool,
};

slotmap::new_key_type! {
    /// An open request, in the arena.
    pub(super) struct CallKey;
}

/// One open request.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) id: CallId,
    pub(super) account: AccountName,
    pub(super) request: CallRequest,
    /// Whether it may be run again, by its marks and its service's record.
    pub(super) idempotent: bool,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    pub(super) stage: Stage,
    /// Tokens passed on to the caller.
    pub(super) delivered: u32,
    /// Whether the answer's head was passed on.
    pub(super) begun: bool,
    /// Why it may have run, once it may have.
    pub(super) doubt: Option<Doubt>,
    /// The version whose answer was begun; it is resumed on no other.
    pub(super) version: Option<VersionName>,
    /// Hosts that failed it.
    pub(super) tried: Vec<HostName>,
    pub(super) attempts: u32,
    /// What is given back if it never ran.
    pub(super) held: Held,
}

impl Call {
    /// Where requests like this one wait and run.
    pub(super) fn pool(&self) -> Pool {
        match &self.request.target {
            Target::Model { model, .. } => Pool::Model(model.clone()),
            Target::Service { service } => Pool::Service(service.clone()),
        }
    }

    pub(super) fn attempt(&self) -> Option<&Attempt> {
        match &self.stage {
            Stage::Running(attempt) => Some(attempt),
            _ => None,
        }
    }

    pub(super) fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match &mut self.stage {
            Stage::Running(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Tokens of work that it may cost at most.
    pub(super) fn cost(&self) -> u64 {
        u64::from(self.request.prompt_tokens) + u64::from(self.request.max_tokens) + 1
    }
}

/// What marks a non-idempotent request as taken.
#[derive(Debug)]
pub(super) enum Held {
    /// Nothing does.
    Nothing,
    /// A ticket of this daemon.
    Ticket(u64),
    /// A key at the platform's service, written at this revision.
    Claim { path: String, revision: Revision },
}

/// How far a request is.
#[derive(Debug)]
pub(super) enum Stage {
    /// Between two stages, while an event is dealt with.
    Idle,
    /// Its idempotency key is being claimed at the platform's service.
    Claiming(Claim),
    /// It waits for a runner with room.
    Queued,
    /// An attempt is under way.
    Running(Attempt),
}

/// The claim of a caller's own idempotency key.
#[derive(Debug)]
pub(super) struct Claim {
    /// The platform call under way.
    pub(super) id: PlatformId,
    pub(super) step: ClaimStep,
    /// Marks the claim as this request's.
    pub(super) operation: OperationId,
}

/// What a claim waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimStep {
    /// A lease for the claim to hang on.
    Lease,
    /// The create-if-absent write.
    Write,
    /// Reading the key back after the write's answer was lost.
    ReadBack,
}

/// One attempt under way.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) route: Route,
    /// The version of the group, if it went to one.
    pub(super) version: Option<VersionName>,
    /// Whether it went over a new connection.
    pub(super) fresh: bool,
    pub(super) sent: Time,
    /// When anything of it was last heard.
    pub(super) heard: Time,
    /// Whether its answer has begun and belongs to it.
    pub(super) accepted: bool,
    /// Whether a part of the answer has come.
    pub(super) flowing: bool,
    /// How long its first part may take beyond the usual silence.
    pub(super) wait: Span,
}

impl Attempt {
    /// The runner host, unless a peer was asked.
    pub(super) fn host(&self) -> Option<&HostName> {
        match &self.route {
            Route::Group { host, .. } | Route::Service { host, .. } => Some(host),
            Route::Daemon { .. } => None,
        }
    }
}
