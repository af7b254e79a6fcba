//! Chooses the runner for a request from what the daemon knows now.

use super::{
    admission::{self, AdmissionClass},
    balancer::{self, ChooseError, Criteria, Endpoint, View},
    call::Call,
};

/// Chooses a runner that the request was not sent to yet; `unlimited` excludes those that name a
/// rate limit.
///
/// # Errors
///
/// Fails if no runner can take the request now.
pub(super) fn choose_endpoint(
    call: &Call,
    class: AdmissionClass,
    unlimited: bool,
) -> Result<Endpoint, ChooseError> {
    let state = &call.state;
    let now = state.now();
    let table = state.route_table().ok_or(ChooseError::NoneServing)?;
    let engine = table.spec().engine(&call.service);
    let model = call.head.model.as_ref().zip(engine);
    let criteria = Criteria {
        service: &call.service,
        model,
        class,
        duration: admission::expected_duration(
            model.map(|(model, engine)| (engine, model)),
            call.head.prompt_tokens,
            call.head.max_tokens,
        ),
        remaining: call.deadline.since(now),
        hall: &state.settings.hall,
        tried: &call.tried,
        unlimited,
    };
    let chosen = {
        let view = View {
            roster: &state.roster.borrow(),
            loads: &state.loads.borrow(),
            notices: &state.notices.borrow(),
        };
        balancer::choose(view, criteria, now, &mut *state.rng.borrow_mut())
    };
    // Late requests come after all others, so those that are refused aren't expected anywhere.
    if let Err(ChooseError::AllFull { host, .. }) = chosen
        && class == AdmissionClass::OnTime
    {
        state.loads.borrow_mut().request_refused(host);
    }
    chosen
}

/// Returns true if a request that may have run could go on at another runner now.
pub(super) fn has_alternative(call: &Call) -> bool {
    call.may_fail_over() && choose_endpoint(call, AdmissionClass::Resumed, false).is_ok()
}
