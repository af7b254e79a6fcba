//! Sends one probe to a runner and decides what the response proves.
//!
//! Whoever is at the runner's address may respond: what another run says counts
//! for nothing, but proves that the runner has ended.

use super::{
    adapter::{Adapter, DecodeError, ProbeReport, ResponseHead},
    connection::{CONNECT_TIMEOUT, RunnerConnection, SendError},
    notices::Notice,
    roster::{ProbeFailure, RunnerInstance},
};
use crate::shell::running_time;
use futures_util::future::join;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use std::{net::SocketAddr, time::Duration};

/// Timeout of a probe over the connection that is kept open.
const REUSED_CONNECTION_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of a probe over a new connection.
const NEW_CONNECTION_TIMEOUT: Duration = Duration::from_millis(350);

/// Largest report that is read.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Runner instance that a probe is meant for, and where it was last known to be.
pub(super) struct Target {
    /// Runner instance.
    pub(super) runner: RunnerInstance,
    /// Its address.
    pub(super) address: SocketAddr,
}

impl Target {
    /// Returns true if another host says that the probe isn't meant for it.
    fn is_refused(&self, status: StatusCode, head: &ResponseHead) -> bool {
        let is_own = head.sender.as_ref() == Some(&self.runner.0);
        status == StatusCode::MISDIRECTED_REQUEST && !is_own
    }

    /// Returns true if a response is certain to come from another run.
    fn is_replaced(&self, head: &ResponseHead, report: Option<&ProbeReport>) -> bool {
        let (name, born) = &self.runner;
        let has_other_name = head.sender.as_ref().is_some_and(|sender| sender != name);
        let reported = report.and_then(|report| report.born);
        let has_other_start = *born != 0 && reported.is_some_and(|other| other != *born);
        has_other_name || has_other_start
    }
}

/// Response to a probe.
pub(super) struct Answer {
    /// Connection, for the next probe.
    pub(super) connection: RunnerConnection,
    /// Report of the runner, if it is valid.
    pub(super) report: Result<ProbeReport, DecodeError>,
    /// What the response says besides.
    pub(super) notice: Notice,
}

/// Probes a host over the kept connection and, if that fails, over new ones.
pub(super) async fn probe_host<A>(
    target: &Target,
    kept: Option<RunnerConnection>,
) -> Result<Answer, ProbeFailure>
where
    A: Adapter,
{
    if let Some(connection) = kept
        && let Ok(answered) = with_timeout(
            REUSED_CONNECTION_TIMEOUT,
            fetch_report::<A>(connection, target),
        )
        .await
    {
        return Ok(answered);
    }
    let probe_anew = || async {
        let opened = RunnerConnection::open(target.address, CONNECT_TIMEOUT).await;
        fetch_report::<A>(opened.map_err(probe_failure)?, target).await
    };
    // Two at once, so that a single lost packet isn't taken for a failure of the member.
    let (first, second) = join(
        with_timeout(NEW_CONNECTION_TIMEOUT, probe_anew()),
        with_timeout(NEW_CONNECTION_TIMEOUT, probe_anew()),
    )
    .await;
    match (first, second) {
        (Ok(answered), _) | (_, Ok(answered)) => Ok(answered),
        (Err(ProbeFailure::Replaced), _) | (_, Err(ProbeFailure::Replaced)) => {
            Err(ProbeFailure::Replaced)
        }
        (Err(ProbeFailure::Faulty), _) | (_, Err(ProbeFailure::Faulty)) => {
            Err(ProbeFailure::Faulty)
        }
        (Err(ProbeFailure::Refused), _) | (_, Err(ProbeFailure::Refused)) => {
            Err(ProbeFailure::Refused)
        }
        _ => Err(ProbeFailure::Silent),
    }
}

async fn with_timeout<F, T>(timeout: Duration, probe: F) -> Result<T, ProbeFailure>
where
    F: Future<Output = Result<T, ProbeFailure>>,
{
    let answered = running_time::within(timeout, probe).await;
    answered.unwrap_or(Err(ProbeFailure::Silent))
}

fn probe_failure(error: SendError) -> ProbeFailure {
    match error {
        SendError::NotSent => ProbeFailure::Silent,
        SendError::Refused => ProbeFailure::Refused,
        // A connection that was cut had been established, so something listens.
        SendError::Cut => ProbeFailure::Faulty,
    }
}

async fn fetch_report<A>(
    mut connection: RunnerConnection,
    target: &Target,
) -> Result<Answer, ProbeFailure>
where
    A: Adapter,
{
    let mut request = Request::get(A::probe_path())
        .header("host", target.address.to_string())
        .body(Full::default())
        .expect("the probe request is valid");
    A::set_expected_host(request.headers_mut(), &target.runner.0);
    let response = connection.send(request).await.map_err(probe_failure)?;
    let (parts, body) = response.into_parts();
    let head = A::decode_response(&parts);
    if target.is_refused(parts.status, &head) || target.is_replaced(&head, None) {
        return Err(ProbeFailure::Replaced);
    }
    if !parts.status.is_success() {
        return Err(ProbeFailure::Faulty);
    }
    let body = Limited::new(body, MAX_REPORT_BYTES).collect();
    let whole = body.await.map_err(|_| ProbeFailure::Faulty)?;
    let report = A::decode_report(&whole.to_bytes());
    if target.is_replaced(&head, report.as_ref().ok()) {
        return Err(ProbeFailure::Replaced);
    }
    Ok(Answer {
        connection,
        report,
        notice: head.notice,
    })
}
