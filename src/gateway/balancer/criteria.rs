//! What a choice of a runner is made from, and what it results in.

use crate::{
    core::{
        keys::{Epoch, HallName, HostName, ModelName, ServiceName},
        time::Span,
    },
    gateway::{
        admission::{AdmissionClass, FullReason, Precedence},
        head_limits::HeadLimits,
        load::Loads,
        notices::Notices,
        roster::{HostKey, Roster, RunnerInstance, SLOW_FACTOR},
        spec::Engine,
    },
};
use std::net::SocketAddr;

/// What is known of the runners.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Runners and groups.
    pub roster: &'a Roster,
    /// Load of the runners.
    pub loads: &'a Loads,
    /// What runners say of themselves.
    pub notices: &'a Notices,
    /// How many requests the heads of each model may hold.
    pub limits: &'a HeadLimits,
}

/// Criteria for choosing a runner.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Requested model and its engine, if the service serves models.
    pub model: Option<(&'a ModelName, &'a Engine)>,
    /// Admission class of the request.
    pub class: AdmissionClass,
    /// What the request has to leave to others.
    pub precedence: Precedence,
    /// Expected duration of the request at a group that isn't slow.
    pub duration: Span,
    /// Time left until the request's deadline.
    pub remaining: Span,
    /// Hall of this daemon.
    pub hall: &'a HallName,
    /// Runners that were tried already, which are excluded.
    pub tried: &'a [HostKey],
    /// True if only a runner that needs no permit will do.
    pub unlimited: bool,
}

/// Runner that a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Key in the roster.
    pub host: HostKey,
    /// Name of the host.
    pub name: HostName,
    /// Start of the runner, in Unix milliseconds.
    pub born: u64,
    /// Address for requests.
    pub address: SocketAddr,
    /// Epoch of its group, for a model's request.
    pub epoch: Option<Epoch>,
}

impl Endpoint {
    /// Returns the identity of the run that the host's runner is in.
    pub fn instance(&self) -> RunnerInstance {
        (self.name.clone(), self.born)
    }
}

/// Runner that could take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key in the roster.
    pub host: HostKey,
    /// Epoch of its group, for a model's request.
    pub epoch: Option<Epoch>,
    /// Slowdown factor of its group; 1 for a runner without one.
    pub slowdown: f64,
}

/// Candidates that take a request together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tier {
    /// Those that aren't slow.
    Fast,
    /// Slow ones, which are used if the others take no request.
    Slow,
}

impl Candidate {
    /// Returns the tier that it belongs to.
    pub fn tier(&self) -> Tier {
        match self.slowdown < SLOW_FACTOR {
            true => Tier::Fast,
            false => Tier::Slow,
        }
    }
}

impl Criteria<'_> {
    /// Returns true unless a group is so slow that the request would end there without a response.
    pub(super) fn can_finish_at(&self, candidate: &Candidate) -> bool {
        // A request that may have run goes on wherever it can.
        let is_new = self.class != AdmissionClass::Resumed;
        let is_fast = candidate.tier() == Tier::Fast;
        is_fast || !is_new || self.duration.scaled(candidate.slowdown) <= self.remaining
    }
}

crate::record! {
    /// Reason for which a runner is left out of a choice.
    #[derive(Copy, Eq)]
    pub enum Exclusion {
        /// The request was sent to it before.
        Tried,
        /// Its rate limit or a pause allows no request now.
        HeldBack,
        /// It needs a permit, and only runners that need none will do.
        NeedsPermit,
        /// It failed or stalled a moment ago, and others are left.
        Avoided,
        /// It is so slow that the request would end there without a response.
        TooSlow,
        /// It is at its limit for requests of this class.
        Full,
    }
}

/// Observer of the runners that are left out of a choice, and of the reasons.
pub trait Observer {
    /// Records that a runner is left out.
    fn left_out(&mut self, host: HostKey, cause: Exclusion);
}

/// Observer of the request path, which records nothing.
impl Observer for () {
    fn left_out(&mut self, _: HostKey, _: Exclusion) {}
}

/// Reason for which no runner was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChooseError {
    /// No runner serves the request now.
    NoneServing,
    /// All runners that serve the request are at their limit.
    AllFull {
        /// Delay after which the caller should retry.
        retry_delay: Span,
        /// One of these runners.
        host: HostKey,
        /// Reason for which none of them takes the request.
        reason: FullReason,
    },
    /// All runners that serve the request want none now, by their rate limits or pauses.
    HeldBack {
        /// Time until the first of them may take one.
        wait: Span,
    },
}
