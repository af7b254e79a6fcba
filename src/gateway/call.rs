//! A caller's request while it is served, and the rules for sending it again.

use super::{
    adapter::CallHead,
    admission::AdmissionClass,
    balancer::Endpoint,
    connection::RunnerConnection,
    open_requests::OpenGuard,
    peer_relay::relayed::RelayedGuard,
    quarantine::mark::Mark,
    rank::Rank,
    responses::{self, CallResponse, Refusal},
    roster::HostKey,
    spec::{Route, RouteKind},
    state::GatewayState,
};
use crate::core::{
    keys::{AccountName, Arrival, Fingerprint, PromptPart, ServiceName},
    time::{Span, Time},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Response, Uri};
use hyper::body::Incoming;
use std::rc::Rc;

/// Maximum number of runs of a request that don't count, as its own part might crash runners.
const MAX_EXCUSED_RUNS: u32 = 1;

/// Who sends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A caller.
    Caller,
    /// Another daemon, which reaches no runner; the request is passed on no further.
    Peer,
}

/// Accepted request of a caller.
pub struct Call {
    /// State of the gateway.
    pub state: Rc<GatewayState>,
    /// Matching route.
    pub route: Route,
    /// Service drawn from the route's split.
    pub service: ServiceName,
    /// Decoded head.
    pub head: CallHead,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as the caller sent them, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Account of the caller.
    pub account: Option<AccountName>,
    /// Rank within the service.
    pub rank: Rank,
    /// Hash of what makes it the same as another request.
    pub fingerprint: Fingerprint,
    /// True once it was passed to other daemons.
    pub is_relayed: bool,
    /// Counts it among the requests of other daemons, if one sent it; it is passed on no further.
    pub relayed: Option<RelayedGuard>,
    /// Number of its arrival here.
    pub arrival: Arrival,
    /// Time by which the response must be complete.
    pub deadline: Time,
    /// Runners that an attempt was made on.
    pub tried: Vec<HostKey>,
    /// Number of runners on which the request may have run.
    pub runs: u32,
    /// Number of runs that don't count against the route's limit.
    pub excused: u32,
    /// True if a runner has crashed under it.
    pub has_crashed: bool,
    /// Number of times that the request was sent.
    pub attempts: u32,
    /// True if the last runner that was tried could not be connected to.
    pub is_unreached: bool,
    /// Time of arrival.
    pub arrived: Time,
    /// Estimated time that the caller spent on earlier attempts of its own.
    pub time_spent: Span,
    /// Time at which it was sent to the last runner.
    pub sent_at: Time,
    /// Time of the first event that came from a runner.
    pub first_event: Option<Time>,
    /// Keeps the request among the open ones.
    pub open: OpenGuard,
}

/// Response of a runner whose head has arrived.
pub struct StartedResponse {
    /// Runner that responds.
    pub endpoint: Endpoint,
    /// Connection, kept open while the body is read.
    pub connection: RunnerConnection,
    /// Head and unread body.
    pub response: Response<Incoming>,
    /// Keeps the request counted as in flight at the runner.
    pub in_flight: InFlightGuard,
}

impl Call {
    /// Returns the class in which the request is admitted now.
    pub(super) fn admission_class(&self, resume_after: Option<u64>) -> AdmissionClass {
        // A request that may have run is always admitted: to its caller a refusal would be a
        // failure.
        if self.runs > 0 || resume_after > self.head.resume_after {
            return AdmissionClass::Resumed;
        }
        let elapsed = self.time_spent + self.state.now().since(self.arrived);
        AdmissionClass::before_run(elapsed, self.route.objective)
    }

    /// Returns the request's identifier as its caller gave it.
    pub(super) fn id(&self) -> &str {
        id_text(&self.head.id)
    }

    /// Builds the response to a request that the gateway itself ends, and logs the reason.
    pub(super) fn refuse(&self, refusal: Refusal) -> CallResponse {
        slog::info!(self.state.log, "request failed";
            "request" => self.id(),
            "route" => &self.route.name,
            "reason" => format!("{refusal:?}"),
            "sends" => self.attempts,
            "runs" => self.runs,
            "after_ms" => self.state.now().since(self.arrived).as_millis());
        responses::refused(refusal)
    }

    /// Returns true if the request or a part of its prompt is quarantined.
    pub(super) fn is_quarantined(&self) -> bool {
        let parts = &self.head.shared_parts;
        self.state.quarantine.refuses(self.fingerprint, parts)
    }

    /// Records that a runner answers the request.
    pub(super) fn record_answer(&self, host: HostKey) {
        let mut soundness = self.state.quarantine.soundness.borrow_mut();
        let marks = Mark::of(self.fingerprint, &self.head.shared_parts);
        soundness.answered(host, marks, self.state.now());
    }

    /// Returns the shared parts of the request's prompt, for logs.
    pub(super) fn parts_text(&self) -> String {
        let parts = self.head.shared_parts.iter();
        let texts: Vec<String> = parts.map(PromptPart::to_string).collect();
        texts.join(",")
    }

    /// Leaves the last run out of the route's limit, because its runner crashed and the request
    /// can't be the cause: runners have answered on it, or on all its shared parts.
    pub(super) fn excuse_run(&mut self) {
        if self.excused < MAX_EXCUSED_RUNS && self.is_known_sound() {
            self.excused += 1;
        }
    }

    /// Returns true if the request must not be sent on after its runner crashed, because requests
    /// like it were at several crashes.
    pub(super) fn is_distrusted(&self) -> bool {
        let quarantine = &self.state.quarantine;
        let is_distrusted = quarantine.is_distrusted(self.fingerprint, self.state.now());
        self.has_crashed && is_distrusted && !self.is_known_sound()
    }

    fn is_known_sound(&self) -> bool {
        let soundness = self.state.quarantine.soundness.borrow();
        let now = self.state.now();
        let mut parts = self.head.shared_parts.iter();
        let has_parts = !self.head.shared_parts.is_empty();
        let is_sound = |part: &PromptPart| soundness.is_sound(Mark::Part(*part), now);
        soundness.is_sound(Mark::Request(self.fingerprint), now)
            || (has_parts && parts.all(is_sound))
    }

    /// Returns true if the request may run on one more runner.
    pub(super) fn may_fail_over(&self) -> bool {
        self.counted_runs() < self.route.attempts
    }

    /// Returns the number of runs that count against the route's limit.
    pub(super) fn counted_runs(&self) -> u32 {
        self.runs - self.excused
    }

    /// Returns the number of runners that the request may still be sent to.
    pub(super) fn runs_left(&self) -> u32 {
        let attempts = self.route.attempts.max(1);
        attempts.saturating_sub(self.counted_runs())
    }

    /// Returns true if the request may be passed to another daemon, once.
    pub(super) fn may_relay(&self) -> bool {
        let may_run = self.runs == 0 || (self.is_repeatable() && self.runs_left() > 0);
        self.relayed.is_none() && !self.is_relayed && may_run
    }

    /// Returns true if the request should be passed to another daemon at once, as this one reaches
    /// no runner.
    pub(super) fn should_relay(&self) -> bool {
        self.may_relay() && self.state.is_cut_off()
    }

    /// Returns true if the request should be passed to another daemon before it is given up.
    pub(super) fn should_relay_at_last(&self) -> bool {
        self.may_relay() && (self.is_unreached || self.state.is_cut_off())
    }

    /// Returns true if the request may run more than once.
    pub(super) fn is_repeatable(&self) -> bool {
        match self.route.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.route.resumable,
        }
    }

    /// Returns true if the request may be sent again after a failed attempt.
    pub(super) fn may_retry(&self, error: AttemptError) -> bool {
        match error {
            AttemptError::Unreached | AttemptError::Declined => true,
            AttemptError::Cut | AttemptError::Unknown | AttemptError::Failed => {
                self.is_repeatable()
            }
            AttemptError::TimedOut | AttemptError::Quarantined => false,
        }
    }
}

/// Parameters of one attempt that are not part of the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptParams {
    /// Id of the last event that the caller has, if a stream is resumed.
    pub(super) resume_after: Option<u64>,
    /// Current admission class of the request.
    pub(super) class: AdmissionClass,
}

/// Guard that counts a request as in flight at its runner until it is dropped.
pub struct InFlightGuard {
    state: Rc<GatewayState>,
    host: HostKey,
}

impl InFlightGuard {
    pub(super) fn new(state: Rc<GatewayState>, host: HostKey) -> Self {
        state.loads.borrow_mut().request_started(host);
        Self { state, host }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.state.loads.borrow_mut().request_ended(self.host);
    }
}

/// Reason for which an attempt gave no response to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptError {
    /// The runner could not be reached; nothing was sent.
    Unreached,
    /// The runner says that it did not run the request.
    Declined,
    /// The runner ended the connection; the request may have run.
    Cut,
    /// The request may have run.
    Unknown,
    /// The runner responded with a server error, and another one may be asked.
    Failed,
    /// The deadline has passed.
    TimedOut,
    /// The request or a part of its prompt was quarantined meanwhile.
    Quarantined,
}

impl AttemptError {
    /// Returns the label value in metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            AttemptError::Unreached => "unreached",
            AttemptError::Declined => "declined",
            AttemptError::Cut => "cut",
            AttemptError::Unknown => "unknown",
            AttemptError::Failed => "failed",
            AttemptError::TimedOut => "timed_out",
            AttemptError::Quarantined => "quarantined",
        }
    }
}

/// Returns a request's identifier for logs; empty if there is none.
pub(super) fn id_text(id: &Option<HeaderValue>) -> &str {
    let text = id.as_ref().and_then(|id| id.to_str().ok());
    text.unwrap_or_default()
}
