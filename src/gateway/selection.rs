//! Chooses the runner for a request from what the daemon knows now.

use super::{
    admission::{self, AdmissionClass, Precedence},
    balancer::{self, ChooseError, Criteria, Endpoint, View},
    call::Call,
    contention,
    rank::Rank,
    roster::HostKey,
    routes::RouteTable,
    state::GatewayState,
};
use crate::core::{
    keys::{AccountName, ModelName, ServiceName},
    time::Time,
};

/// Request as far as the choice of its runner depends on it.
#[derive(Clone, Copy)]
pub(super) struct SelectionRequest<'a> {
    /// Service of the request.
    pub(super) service: &'a ServiceName,
    /// Requested model.
    pub(super) model: Option<&'a ModelName>,
    /// Account of the caller.
    pub(super) account: Option<&'a AccountName>,
    /// Rank within the service.
    pub(super) rank: Rank,
    /// Admission class.
    pub(super) class: AdmissionClass,
    /// Length of the prompt, in tokens.
    pub(super) prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub(super) answer_tokens: u32,
    /// Time by which the response must be complete.
    pub(super) deadline: Time,
    /// Runners that an attempt was made on.
    pub(super) tried: &'a [HostKey],
    /// True if only a runner that needs no permit will do.
    pub(super) unlimited: bool,
}

impl<'a> SelectionRequest<'a> {
    fn of(call: &'a Call, class: AdmissionClass, unlimited: bool) -> Self {
        Self {
            service: &call.service,
            model: call.head.model.as_ref(),
            account: call.account.as_ref(),
            rank: call.rank,
            class,
            prompt_tokens: call.head.prompt_tokens,
            answer_tokens: call.head.max_tokens,
            deadline: call.deadline,
            tried: &call.tried,
            unlimited,
        }
    }

    /// Returns a model's request as far as it matters for contention.
    fn contention_request(&self, table: &'a RouteTable) -> Option<contention::Request<'a>> {
        Some(contention::Request {
            service: self.service,
            model: self.model?,
            engine: table.spec().engine(self.service)?,
            rank: self.rank,
            account: self.account,
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.answer_tokens,
        })
    }
}

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
    let request = SelectionRequest::of(call, class, unlimited);
    let chosen = with_choice_inputs(state, &request, |view, criteria, now| {
        balancer::choose(view, criteria, now, &mut *state.rng.borrow_mut())
    });
    let chosen = chosen.unwrap_or(Err(ChooseError::NoneServing));
    // Late requests come after all others, so those that are refused aren't expected anywhere.
    if let Err(ChooseError::AllFull { host, .. }) = chosen
        && class == AdmissionClass::OnTime
    {
        state.loads.borrow_mut().request_refused(host);
    }
    chosen
}

/// Calls `choose` with the inputs of the choice of a runner; returns none if there is no configuration.
pub(super) fn with_choice_inputs<F, T>(
    state: &GatewayState,
    request: &SelectionRequest<'_>,
    choose: F,
) -> Option<T>
where
    F: FnOnce(View<'_>, Criteria<'_>, Time) -> T,
{
    let now = state.now();
    let table = state.route_table()?;
    let engine = table.spec().engine(request.service);
    let model = request.model.zip(engine);
    let criteria = Criteria {
        service: request.service,
        model,
        class: request.class,
        precedence: precedence(state, request, &table),
        duration: admission::expected_duration(
            model.map(|(model, engine)| (engine, model)),
            request.prompt_tokens,
            request.answer_tokens,
        ),
        remaining: request.deadline.since(now),
        hall: &state.settings.hall,
        tried: request.tried,
        unlimited: request.unlimited,
    };
    let view = View {
        roster: &state.roster.borrow(),
        loads: &state.loads.borrow(),
        notices: &state.notices.borrow(),
        limits: &state.head_limits.borrow(),
    };
    Some(choose(view, criteria, now))
}

/// Returns what a request has to leave to others. One that may have run goes on whatever others
/// need.
fn precedence(
    state: &GatewayState,
    request: &SelectionRequest<'_>,
    table: &RouteTable,
) -> Precedence {
    match request.contention_request(table) {
        Some(contending) if request.class != AdmissionClass::Resumed => {
            let daemons = state.peers.borrow().count().max(1);
            let contention = state.contention.borrow();
            contention.precedence(&contending, daemons, state.now())
        }
        _ => Precedence::default(),
    }
}

/// Counts a request as sent to a head, unless another daemon passed it on.
pub(super) fn record_admission(call: &Call) {
    let Some(table) = call.state.route_table() else {
        return;
    };
    let request = SelectionRequest::of(call, AdmissionClass::OnTime, false);
    let contending = request.contention_request(&table);
    if let Some(request) = contending.filter(|_| call.relayed.is_none()) {
        let mut contention = call.state.contention.borrow_mut();
        contention.record_admission(&request, call.state.now());
        contention.report_admission(&request);
    }
}

/// Returns true if a request that may have run could go on at another runner now.
pub(super) fn has_alternative(call: &Call) -> bool {
    call.may_fail_over() && choose_endpoint(call, AdmissionClass::Resumed, false).is_ok()
}
