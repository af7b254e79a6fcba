//! Sends a request to one runner after the other until one responds.
//!
//! The route's kind decides which requests may be sent again: an idempotent one
//! always, any other only while every earlier runner said that it did not run
//! it.

use super::{
    adapter::Adapter,
    admission::{self, FullReason},
    attempt::{attempt, record_failure},
    balancer::ChooseError,
    call::{AttemptError, AttemptParams, Call, StartedResponse},
    permits::{self, Denials},
    quarantine::crash_check,
    responses::Refusal,
    selection::{choose_endpoint, record_admission},
};
use crate::core::time::Span;
use metrics::counter;

/// Attempts allowed beyond the route's limit, for runners that did not run the request.
const MAX_EXTRA_ATTEMPTS: u32 = 2;

/// Retry delay of a request that no runner could take.
pub(super) const UNAVAILABLE_RETRY_DELAY_MS: u64 = 700;

/// Maximum time that a request which may have run waits for runners that are held back; callers of
/// a stream give up after two seconds.
const MAX_HELD_BACK_WAIT: Span = Span::from_millis(1_000);

/// Sends a request to one runner after the other until one starts to respond.
///
/// # Errors
///
/// Fails with the refusal that the caller is to receive.
pub(super) async fn send_with_retries<A>(
    call: &mut Call,
    resume_after: Option<u64>,
) -> Result<StartedResponse, Refusal>
where
    A: Adapter,
{
    let mut last = AttemptError::Unreached;
    let mut denials = Denials::default();
    let objective = call.route.objective;
    let mut waited = Span::ZERO;
    loop {
        if call.state.now() >= call.deadline {
            return Err(final_refusal(call, AttemptError::TimedOut));
        }
        if call.is_quarantined() {
            return Err(final_refusal(call, AttemptError::Quarantined));
        }
        if call.should_relay() {
            return Err(final_refusal(call, last));
        }
        let is_exhausted = call.attempts > call.route.attempts + MAX_EXTRA_ATTEMPTS
            || call.counted_runs() >= call.route.attempts.max(1)
            || call.is_distrusted();
        if is_exhausted {
            return Err(final_refusal(call, last));
        }
        let class = call.admission_class(resume_after);
        let endpoint = match choose_endpoint(call, class, denials.are_enough(objective)) {
            Ok(endpoint) => endpoint,
            Err(ChooseError::AllFull {
                retry_delay,
                reason,
                ..
            }) if call.runs == 0 => {
                count_refusal(call, reason, retry_delay);
                return Err(Refusal::Unavailable {
                    retry_ms: retry_delay.as_millis(),
                });
            }
            Err(ChooseError::HeldBack { wait }) if call.runs == 0 => {
                return Err(refuse_held_back(call, wait));
            }
            // To the caller of a request that may have run, a refusal would be a failure.
            Err(ChooseError::HeldBack { wait })
                if waited + wait <= MAX_HELD_BACK_WAIT
                    && call.state.now() + wait < call.deadline =>
            {
                compio::time::sleep(wait.into()).await;
                waited = waited + wait;
                denials = Denials::default();
                continue;
            }
            Err(_) => return Err(final_refusal(call, last)),
        };
        let asked_at = call.state.now();
        let timeout = denials.time_left(objective);
        let permit = match permits::acquire(&call.state, &endpoint, timeout).await {
            Ok(permit) => permit,
            Err(reason) => {
                denials.record(reason, call.state.now().since(asked_at));
                continue;
            }
        };
        if call.attempts > 0 && !call.state.take_retry(&call.service) {
            return Err(final_refusal(call, last));
        }
        if call.tried.is_empty() {
            record_admission(call);
        }
        call.tried.push(endpoint.host);
        let params = AttemptParams {
            resume_after,
            class,
        };
        let error = match attempt::<A>(call, &endpoint, permit, params).await {
            Ok(started) => return Ok(started),
            Err(error) => error,
        };
        record_failure(call, &endpoint, error);
        if error == AttemptError::Cut {
            crash_check::connection_ended(call, &endpoint).await;
        }
        last = error;
        if !call.may_retry(error) {
            return Err(final_refusal(call, error));
        }
    }
}

/// Counts a request that is refused because the heads are full, and logs it if ranks differ.
fn count_refusal(call: &Call, reason: FullReason, retry_delay: Span) {
    let rank = call.rank;
    let priority = rank.priority().to_string();
    counter!("requests_not_admitted_total", "reason" => reason.name(), "priority" => priority)
        .increment(1);
    if rank.is_ranked() {
        slog::info!(call.state.log, "request not admitted";
            "request" => call.id(),
            "priority" => rank.priority(),
            "reason" => reason.name(),
            "retry_ms" => retry_delay.as_millis());
    }
}

/// Returns the refusal of a request that has not run, because all its runners want none for some
/// time, by their rate limits or pauses.
fn refuse_held_back(call: &Call, wait: Span) -> Refusal {
    let retry_delay = admission::held_back_retry_delay(wait);
    let retry_delay = retry_delay.draw(&mut *call.state.rng.borrow_mut());
    slog::info!(call.state.log, "all runners held back";
        "request" => call.id(),
        "service" => call.service.as_str(),
        "wait_ms" => wait.as_millis());
    Refusal::Unavailable {
        retry_ms: retry_delay.as_millis(),
    }
}

/// Returns the refusal for the caller after the last attempt.
pub(super) fn final_refusal(call: &Call, error: AttemptError) -> Refusal {
    if call.runs == 0 && error == AttemptError::Quarantined {
        return Refusal::Quarantined;
    }
    if call.runs == 0 {
        return Refusal::Unavailable {
            retry_ms: UNAVAILABLE_RETRY_DELAY_MS,
        };
    }
    match error {
        AttemptError::TimedOut => Refusal::TimedOut,
        _ => Refusal::Unknown,
    }
}
