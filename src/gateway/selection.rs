//! Chooses the runner for a request from what the daemon knows now.

use super::{
    admission::{self, AdmissionClass, Precedence},
    balancer::{self, ChooseError, Criteria, Endpoint, View},
    call::Call,
    contention,
    routes::RouteTable,
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
        precedence: precedence(call, class),
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
            limits: &state.head_limits.borrow(),
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

/// Returns what a request has to leave to others. One that may have run goes on whatever others
/// need.
fn precedence(call: &Call, class: AdmissionClass) -> Precedence {
    let state = &call.state;
    let table = state.route_table();
    let request = table.as_ref().and_then(|table| contending(call, table));
    match request {
        Some(request) if class != AdmissionClass::Resumed => {
            let daemons = state.peers.borrow().count().max(1);
            let contention = state.contention.borrow();
            contention.precedence(&request, daemons, state.now())
        }
        _ => Precedence::default(),
    }
}

/// Counts a request as sent to a head, unless another daemon passed it on.
pub(super) fn record_admission(call: &Call) {
    let table = call.state.route_table();
    let request = table.as_ref().and_then(|table| contending(call, table));
    if let Some(request) = request.filter(|_| call.relayed.is_none()) {
        let mut contention = call.state.contention.borrow_mut();
        contention.record_admission(&request, call.state.now());
        contention.report_admission(&request);
    }
}

/// Returns a model's request as far as it matters for contention.
fn contending<'a>(call: &'a Call, table: &'a RouteTable) -> Option<contention::Request<'a>> {
    Some(contention::Request {
        service: &call.service,
        model: call.head.model.as_ref()?,
        engine: table.spec().engine(&call.service)?,
        rank: call.rank,
        account: call.account.as_ref(),
        prompt_tokens: call.head.prompt_tokens,
        answer_tokens: call.head.max_tokens,
    })
}

/// Returns true if a request that may have run could go on at another runner now.
pub(super) fn has_alternative(call: &Call) -> bool {
    call.may_fail_over() && choose_endpoint(call, AdmissionClass::Resumed, false).is_ok()
}
