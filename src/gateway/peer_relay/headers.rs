//! Headers between two daemons, one of which passes a request on.

use http::HeaderName;

/// Number of runners that the peer may still send a request to.
pub(super) const RUNS_LEFT: HeaderName = HeaderName::from_static("x-relay-runs");

/// Present in the response of a peer that has not taken a request.
pub(super) const DECLINED: HeaderName = HeaderName::from_static("x-relay-declined");
