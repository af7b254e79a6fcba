//! State of open requests and their attempts.

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
    /// Arena key of an open request.
    pub(super) struct CallKey;
}

/// An open request.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) id: CallId,
    pub(super) account: AccountName,
    pub(super) request: CallRequest,
    /// True if both the request and its service's record allow it to run more than once.
    pub(super) idempotent: bool,
    pub(super) arrived: Time,
    pub(super) deadline: Time,
    pub(super) stage: Stage,
    /// Number of tokens sent to the caller.
    pub(super) delivered: u32,
    /// True once the response's head was sent to the caller.
    pub(super) head_sent: bool,
    /// Reason for an unknown outcome, set once the request may have run.
    pub(super) unknown_reason: Option<Doubt>,
    /// Model version that began the response; the response is resumed on no other.
    pub(super) version: Option<VersionName>,
    /// Hosts on which attempts failed; they are not tried again.
    pub(super) failed_hosts: Vec<HostName>,
    pub(super) attempts: u32,
    /// Claim that is released if the request never ran.
    pub(super) reservation: Reservation,
}

impl Call {
    /// Returns the pool in which the request waits and runs.
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

    /// Returns the maximum number of tokens that the request may cost.
    pub(super) fn cost(&self) -> u64 {
        u64::from(self.request.prompt_tokens) + u64::from(self.request.max_tokens) + 1
    }
}

/// Claim that keeps a non-idempotent request from starting twice.
#[derive(Debug)]
pub(super) enum Reservation {
    /// No claim.
    Nothing,
    /// Number of a ticket issued by this daemon.
    Ticket(u64),
    /// Key at the platform's store, with the revision of its write.
    Claim { path: String, revision: Revision },
}

/// Stage of a request's processing.
#[derive(Debug)]
pub(super) enum Stage {
    /// Between two stages, while an event is handled.
    Idle,
    /// Its idempotency key is being claimed at the platform's store.
    Claiming(Claim),
    /// Queued until a runner has room.
    Queued,
    /// An attempt is in flight.
    Running(Attempt),
}

/// A claim of a caller's own idempotency key in progress.
#[derive(Debug)]
pub(super) struct Claim {
    /// The platform call in flight.
    pub(super) id: PlatformId,
    pub(super) step: ClaimStep,
    /// Identifier by which this request recognizes its own claim.
    pub(super) operation: OperationId,
}

/// The platform call that a claim waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimStep {
    /// Grant of a lease to attach the claim to.
    Lease,
    /// Create-if-absent write of the key.
    Write,
    /// Read of the key after the write's answer was lost.
    ReadBack,
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) route: Route,
    /// Model version of the group; `None` unless it was sent to a group.
    pub(super) version: Option<VersionName>,
    /// True if it was sent over a new connection.
    pub(super) fresh: bool,
    pub(super) sent_at: Time,
    /// Time of the last activity: the start, the response's head or a part of it.
    pub(super) last_activity: Time,
    /// True once a response began that echoes this attempt.
    pub(super) accepted: bool,
    /// True once a part of the response arrived.
    pub(super) streaming: bool,
    /// Time allowed for the first part of the response in addition to the silence timeout.
    pub(super) extra_timeout: Span,
}

impl Attempt {
    /// Returns the runner host; `None` if the request was relayed to another daemon.
    pub(super) fn host(&self) -> Option<&HostName> {
        match &self.route {
            Route::Group { host, .. } | Route::Service { host, .. } => Some(host),
            Route::Daemon { .. } => None,
        }
    }
}
