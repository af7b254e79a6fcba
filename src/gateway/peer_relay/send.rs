//! Sends a request to one peer after the other until one takes it.

use super::{
    choice::RelayPeer,
    headers::{DECLINED, RUNS_LEFT},
};
use crate::{
    core::keys::DaemonName,
    gateway::{
        adapter::Adapter,
        call::Call,
        connection::{RunnerConnection, SendError},
        spec::RouteKind,
        state::GatewayState,
    },
    shell::http::is_event_stream,
};
use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use metrics::counter;
use std::{rc::Rc, time::Duration};

/// Number of peers that are asked to take a request.
const MAX_PEERS: usize = 5;

/// Timeout of a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Reason for which there is no response of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum RelayError {
    /// No peer took the request; it has not run.
    NotTaken,
    /// A peer took the request, and its response is lost.
    Lost,
    /// The deadline has passed at a peer.
    TimedOut,
}

/// Response of a peer whose head has arrived.
pub(in crate::gateway) struct Relayed {
    /// Head and unread body.
    pub(super) response: Response<Incoming>,
    /// Dropping the connection makes the peer give the request up.
    pub(super) connection: RunnerConnection,
    /// Keeps the request counted as in flight at the peer.
    pub(super) guard: InFlight,
}

impl Relayed {
    /// Returns true if the response is a stream that is relayed event by event.
    pub(super) fn is_stream(&self, call: &Call) -> bool {
        call.route.kind == RouteKind::Stream
            && self.response.status().is_success()
            && is_event_stream(self.response.headers())
    }
}

/// Guard that counts a request as in flight at its peer until it is dropped.
pub(in crate::gateway) struct InFlight {
    state: Rc<GatewayState>,
    name: DaemonName,
}

impl InFlight {
    fn new(state: Rc<GatewayState>, name: DaemonName) -> Self {
        state.relay_peers.borrow_mut().started(&name);
        Self { state, name }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.state.relay_peers.borrow_mut().ended(&self.name);
    }
}

/// Sends a request to peers, as a stream to be resumed after the event `resume_after`; it is passed
/// on once only.
///
/// # Errors
///
/// Fails if no peer responds; the request has run unless none took it.
pub(in crate::gateway) async fn send<A>(
    call: &mut Call,
    resume_after: Option<u64>,
) -> Result<Relayed, RelayError>
where
    A: Adapter,
{
    call.is_relayed = true;
    let is_repeat = call.attempts > 0;
    if is_repeat && !call.state.take_retry(&call.service) {
        return Err(RelayError::NotTaken);
    }
    for _ in 0..MAX_PEERS {
        let Some(peer) = choose(call) else {
            break;
        };
        let outcome = send_to::<A>(call, &peer, resume_after).await;
        log_outcome(call, &peer, &outcome);
        match outcome {
            Err(RelayError::NotTaken) => {
                let mut relay_peers = call.state.relay_peers.borrow_mut();
                relay_peers.failed(peer.name, call.state.now());
            }
            Err(error) => {
                call.runs += 1;
                return Err(error);
            }
            Ok(relayed) => return Ok(relayed),
        }
    }
    Err(RelayError::NotTaken)
}

fn choose(call: &Call) -> Option<RelayPeer> {
    let state = &call.state;
    let now = state.now();
    if now >= call.deadline {
        return None;
    }
    let relay_peers = state.relay_peers.borrow();
    let own = &state.settings.name;
    relay_peers.choose(
        &state.peers.borrow(),
        own,
        now,
        &mut *state.rng.borrow_mut(),
    )
}

async fn send_to<A>(
    call: &Call,
    peer: &RelayPeer,
    resume_after: Option<u64>,
) -> Result<Relayed, RelayError>
where
    A: Adapter,
{
    let guard = InFlight::new(call.state.clone(), peer.name.clone());
    let opened = RunnerConnection::open(peer.address, CONNECT_TIMEOUT).await;
    let mut connection = opened.map_err(|_| RelayError::NotTaken)?;
    let request = request::<A>(call, resume_after);
    let remaining = call.deadline.since(call.state.now());
    let sent = compio::time::timeout(remaining.into(), connection.send(request)).await;
    let response = sent
        .map_err(|_| RelayError::TimedOut)?
        .map_err(|error| match error {
            SendError::Refused | SendError::NotSent => RelayError::NotTaken,
            SendError::Cut => RelayError::Lost,
        })?;
    let (parts, body) = response.into_parts();
    if parts.headers.contains_key(DECLINED) {
        return Err(RelayError::NotTaken);
    }
    let head = A::decode_response(&parts);
    let is_own = head.has_proof && head.id == call.head.id;
    if parts.status.is_success() && !is_own {
        return Err(RelayError::Lost);
    }
    Ok(Relayed {
        response: Response::from_parts(parts, body),
        connection,
        guard,
    })
}

/// Builds the request that is sent to a peer: the caller's, with the time and the runs left.
fn request<A>(call: &Call, resume_after: Option<u64>) -> Request<Full<Bytes>>
where
    A: Adapter,
{
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let headers = request.headers_mut();
    *headers = call.headers.clone();
    let remaining = call.deadline.since(call.state.now());
    A::set_relay_headers(headers, remaining, resume_after);
    headers.insert(RUNS_LEFT, HeaderValue::from(call.runs_left()));
    request
}

fn log_outcome(call: &Call, peer: &RelayPeer, outcome: &Result<Relayed, RelayError>) {
    let (label, status) = match outcome {
        Ok(relayed) => ("answered", relayed.response.status().as_u16()),
        Err(RelayError::NotTaken) => ("not_taken", 0),
        Err(RelayError::Lost) => ("lost", 0),
        Err(RelayError::TimedOut) => ("timed_out", 0),
    };
    counter!("relayed_total", "outcome" => label).increment(1);
    slog::info!(call.state.log, "request passed to a peer";
        "request" => call.id(),
        "peer" => peer.name.as_str(),
        "outcome" => label,
        "status" => status,
        "runs" => call.runs,
        "after_ms" => call.state.now().since(call.arrived).as_millis());
}
