//! A request under way, and what may be done with it.

use super::{
    adapter::CallHead,
    admission::AdmissionClass,
    balancer::Place,
    connection::RunnerConnection,
    roster::HostKey,
    spec::{Route, RouteKind},
    state::GatewayState,
};
use crate::core::{
    keys::{AccountName, ServiceName},
    time::{Span, Time},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Response, Uri};
use hyper::body::Incoming;
use std::rc::Rc;

/// A request that is to be answered.
pub struct Call {
    /// The site.
    pub site: Rc<GatewayState>,
    /// The route.
    pub route: Route,
    /// The service drawn for it.
    pub service: ServiceName,
    /// What its head says.
    pub head: CallHead,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers, as the caller sent them, but for those of one connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The caller's account.
    pub account: Option<AccountName>,
    /// When it must have its final answer.
    pub deadline: Time,
    /// Runners that it was sent to.
    pub tried: Vec<HostKey>,
    /// Runners that it may have run on.
    pub runs: u32,
    /// Sends so far.
    pub sends: u32,
    /// When it arrived.
    pub arrived: Time,
    /// The time that its caller spent on earlier tries.
    pub spent: Span,
}

/// A runner's answer, head only.
pub struct Begun {
    /// The runner.
    pub place: Place,
    /// The connection, kept while the body is read.
    pub exchange: RunnerConnection,
    /// The answer.
    pub response: Response<Incoming>,
    /// Counts the request at its runner.
    pub counted: Counted,
}

impl Call {
    /// How the request stands against its objective.
    pub(super) fn standing(&self, resume_after: Option<u64>) -> AdmissionClass {
        // Refusing what has begun to run would be a failure, not a refusal.
        if self.runs > 0 || resume_after > self.head.resume_after {
            return AdmissionClass::Resumed;
        }
        let spent = self.spent + self.site.now().since(self.arrived);
        match spent > self.route.objective {
            true => AdmissionClass::Late,
            false => AdmissionClass::OnTime,
        }
    }

    /// The request's own name, as its caller gave it.
    pub(super) fn id(&self) -> &str {
        id_text(&self.head.id)
    }

    /// Whether it may run on one more runner.
    pub(super) fn may_move(&self) -> bool {
        self.runs < self.route.attempts
    }

    /// Whether it may run more than once.
    pub(super) fn is_repeatable(&self) -> bool {
        match self.route.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.route.resumable,
        }
    }

    /// Whether it may be sent again after a send that came to nothing.
    pub(super) fn may_repeat(&self, miss: Miss) -> bool {
        match miss {
            Miss::Unreached | Miss::Declined => true,
            Miss::Unknown | Miss::Failed => self.is_repeatable(),
            Miss::TimedOut => false,
        }
    }
}

/// What one send says beside the request itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Passing {
    /// The last event that the caller has, if a stream goes on.
    pub(super) resume_after: Option<u64>,
    /// How the request stands against its objective now.
    pub(super) standing: AdmissionClass,
}

/// Counts a request at its runner for as long as it lives.
pub struct Counted {
    site: Rc<GatewayState>,
    host: HostKey,
}

impl Counted {
    pub(super) fn new(site: Rc<GatewayState>, host: HostKey) -> Self {
        site.loads.borrow_mut().sent(host);
        Self { site, host }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.site.loads.borrow_mut().ended(self.host);
    }
}

/// How one send ended without an answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    /// The runner could not be reached; nothing was sent.
    Unreached,
    /// The runner says that it did not run the request.
    Declined,
    /// The request may have run.
    Unknown,
    /// The runner answered that it failed, and may be asked again.
    Failed,
    /// The time is over.
    TimedOut,
}

impl Miss {
    /// Its name in metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Miss::Unreached => "unreached",
            Miss::Declined => "declined",
            Miss::Unknown => "unknown",
            Miss::Failed => "failed",
            Miss::TimedOut => "timed_out",
        }
    }
}

/// A request's name in logs.
pub(super) fn id_text(id: &Option<HeaderValue>) -> &str {
    let text = id.as_ref().and_then(|id| id.to_str().ok());
    text.unwrap_or_default()
}
