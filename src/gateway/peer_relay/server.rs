//! Takes requests that other daemons pass on.

use super::{
    headers::{DECLINED, RUNS_LEFT},
    relayed::RelayedGuard,
};
use crate::gateway::{
    responses::{self, CallResponse, Refusal},
    state::GatewayState,
};
use http::{HeaderValue, request};

/// Retry delay that a peer passes on to its caller if nobody takes a request.
const DECLINED_RETRY_DELAY_MS: u64 = 700;

/// Request of another daemon that is served here.
pub(in crate::gateway) struct Admitted {
    /// Number of runners that it may be sent to.
    pub(in crate::gateway) runs_left: u32,
    /// Counts it until its response is complete.
    pub(in crate::gateway) guard: RelayedGuard,
}

/// Admits a request of another daemon, unless this one can't take it, and takes the header out that
/// it was passed on with.
pub(in crate::gateway) fn admit(
    state: &GatewayState,
    parts: &mut request::Parts,
) -> Option<Admitted> {
    let runs_left = parts.headers.remove(RUNS_LEFT);
    let runs_left = runs_left.and_then(|value| value.to_str().ok()?.parse().ok());
    let can_serve = state.is_ready() && !state.is_cut_off();
    let guard = state.relayed.start().filter(|_| can_serve);
    let (runs_left, guard) = runs_left.zip(guard)?;
    Some(Admitted { runs_left, guard })
}

/// Builds the response to a request that this daemon doesn't take.
pub(in crate::gateway) fn declined() -> CallResponse {
    let mut response = responses::refused(Refusal::Unavailable {
        retry_ms: DECLINED_RETRY_DELAY_MS,
    });
    let value = HeaderValue::from_static("1");
    response.headers_mut().insert(DECLINED, value);
    response
}
