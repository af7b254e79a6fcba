//! Serves callers by way of another daemon while this one reaches no runner.
//!
//! A request goes to a peer that reaches the runners, on a listener of its own
//! for daemons. The peer serves it like a caller's, with the time and the runs
//! that are left, but never passes it on, so that no request goes round. It
//! declines what it can't take; then the next peer is asked. What a peer may have
//! run goes to no other.

pub mod choice;
mod headers;
pub mod relayed;
mod send;
mod server;
mod stream;

pub(super) use send::{RelayError, Relayed, send};
pub(super) use server::{Admitted, admit, declined};
pub(super) use stream::resume;

use super::{
    call::Call,
    responses::{CallResponse, Refusal, strip_hop_by_hop},
};
use crate::shell::whole_body::read_whole;
use http::Response;
use http_body_util::{Either, Full};

/// Passes a peer's response on to the caller.
pub(super) async fn respond(call: Call, relayed: Relayed) -> CallResponse {
    if relayed.is_stream(&call) {
        return stream::relay(call, relayed);
    }
    let Relayed {
        response,
        connection,
        guard,
    } = relayed;
    let (mut parts, body) = response.into_parts();
    let remaining = call.deadline.since(call.state.now());
    let reading = read_whole(body, &call.state.held_bytes);
    let read = compio::time::timeout(remaining.into(), reading).await;
    drop((connection, guard));
    match read {
        Ok(Some(bytes)) => {
            strip_hop_by_hop(&mut parts.headers);
            Response::from_parts(parts, Either::Left(Full::new(bytes)))
        }
        Ok(None) => call.refuse(Refusal::Unknown),
        Err(_) => call.refuse(Refusal::TimedOut),
    }
}
