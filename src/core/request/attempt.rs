//! Attempts: sending a request to a runner and handling its response or failure.
//!
//! A response is accepted only if it echoes the attempt and the epoch that were
//! sent. A silent or broken connection is first replaced by a new one to the
//! same runner; if that fails too, the runner is suspected and another is used.

use super::{
    super::{
        ctx::Ctx,
        input::{Echo, Failure, Payload},
        keys::AttemptId,
        member::Health,
        options::Mechanism,
        output::{CallOutput, Doubt, Ending, Output, Refusal, Route, RunnerOutput},
        time::Span,
        timer::{RequestTimer, Timer},
    },
    CallKey, Cluster, Requests, Stage,
    admission::is_state_fresh,
    call::{Attempt, Call},
    routing::ChosenRoute,
};

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 6;

/// Retry delay sent to a caller once every attempt has failed.
const EXHAUSTED_RETRY_DELAY: Span = Span::from_secs(1);

/// Kind of a failed attempt, by whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FailureKind {
    /// No part of the request reached the other side.
    NotSent,
    /// The other side declined and did not run the request.
    Declined,
    /// The request may have run.
    MayHaveRun(Doubt),
}

impl Requests {
    /// Starts an attempt on the chosen route.
    pub(super) fn start_attempt(
        &mut self,
        ctx: &mut Ctx,
        key: CallKey,
        chosen: ChosenRoute,
        fresh: bool,
    ) {
        let ChosenRoute {
            route,
            version,
            extra_timeout,
        } = chosen;
        let id = ctx.new_attempt_id();
        let call = &mut self.calls[key];
        if let Route::Group { host, .. } | Route::Service { host, .. } = &route {
            self.router.on_attempt_started(ctx.now, host, call);
        }
        call.attempts += 1;
        call.stage = Stage::Running(Attempt {
            id,
            route: route.clone(),
            version,
            fresh,
            sent_at: ctx.now,
            last_activity: ctx.now,
            accepted: false,
            streaming: false,
            extra_timeout,
        });
        self.counters.attempts += 1;
        self.counters.resumed += u64::from(call.delivered > 0);
        self.by_attempt.insert(id, key);
        ctx.push(Output::Runner(RunnerOutput::Attempt {
            attempt: id,
            call: call.id,
            route,
            fresh,
            resume_at: call.delivered,
        }));
        let timeout = extra_timeout + ctx.options.silence;
        ctx.set_timer(Timer::Request(RequestTimer::Silent(id)), timeout);
    }

    /// Relays a non-idempotent request to the daemon that issued its ticket.
    pub(super) fn relay(&mut self, ctx: &mut Ctx, cluster: &Cluster, key: CallKey) {
        let call = &self.calls[key];
        let Some(ticket) = &call.request.ticket else {
            return;
        };
        let known = cluster
            .members
            .address(&ticket.daemon, Some(ticket.incarnation));
        let Some(address) = known else {
            self.end(ctx, key, Ending::Unknown(Doubt::ArbiterGone));
            return;
        };
        self.counters.relayed += 1;
        let route = Route::Daemon {
            daemon: ticket.daemon.clone(),
            address,
            target: call.request.target.clone(),
        };
        let chosen = ChosenRoute {
            route,
            version: None,
            extra_timeout: Span::ZERO,
        };
        self.start_attempt(ctx, key, chosen, false);
    }

    /// Handles the beginning of a response.
    pub(super) fn on_accepted(
        &mut self,
        ctx: &mut Ctx,
        cluster: &Cluster,
        id: AttemptId,
        echo: Echo,
    ) {
        let Some((key, attempt)) = self.current_attempt(id) else {
            return;
        };
        if ctx.options.is_enabled(Mechanism::AnswerMatching) && !echo_matches(attempt, &echo) {
            self.counters.mismatched += 1;
            self.handle_failure(ctx, cluster, key, FailureKind::MayHaveRun(Doubt::Cut));
            return;
        }
        attempt.accepted = true;
        attempt.last_activity = ctx.now;
    }

    /// Handles a part of a response.
    pub(super) fn on_chunk(
        &mut self,
        ctx: &mut Ctx,
        cluster: &Cluster,
        id: AttemptId,
        offset: u32,
        tokens: u32,
        payload: Payload,
    ) {
        let Some((key, attempt)) = self.current_attempt(id) else {
            return;
        };
        let elapsed = ctx.now.since(attempt.last_activity);
        attempt.last_activity = ctx.now;
        let was_streaming = std::mem::replace(&mut attempt.streaming, true);
        let matches = attempt.accepted || !ctx.options.is_enabled(Mechanism::AnswerMatching);
        if was_streaming
            && tokens > 0
            && let Some(host) = attempt.host().cloned()
        {
            self.router
                .record_token_gap(&host, Span(elapsed.0 / u64::from(tokens)));
        }
        let call = &mut self.calls[key];
        if tokens > 0 && offset.saturating_add(tokens) <= call.delivered {
            return;
        }
        if !matches || offset != call.delivered {
            self.counters.mismatched += 1;
            self.handle_failure(ctx, cluster, key, FailureKind::MayHaveRun(Doubt::Cut));
            return;
        }
        call.delivered += tokens;
        self.counters.tokens += u64::from(tokens);
        let call = call.id;
        self.send_head(ctx, key, id);
        ctx.push(Output::Call(CallOutput::Deliver {
            call,
            offset,
            tokens,
            payload,
        }));
    }

    /// Handles the complete end of a response.
    pub(super) fn on_finished(&mut self, ctx: &mut Ctx, cluster: &Cluster, id: AttemptId) {
        let Some((key, attempt)) = self.current_attempt(id) else {
            return;
        };
        if !attempt.accepted && ctx.options.is_enabled(Mechanism::AnswerMatching) {
            self.counters.mismatched += 1;
            self.handle_failure(ctx, cluster, key, FailureKind::MayHaveRun(Doubt::Cut));
            return;
        }
        self.send_head(ctx, key, id);
        self.end(ctx, key, Ending::Complete);
    }

    /// Handles an attempt that ended without a complete response.
    pub(super) fn on_failed(
        &mut self,
        ctx: &mut Ctx,
        cluster: &Cluster,
        id: AttemptId,
        failure: Failure,
    ) {
        let Some((key, _)) = self.current_attempt(id) else {
            return;
        };
        let kind = match failure {
            Failure::NotSent => FailureKind::NotSent,
            Failure::Declined => FailureKind::Declined,
            Failure::Cut => FailureKind::MayHaveRun(Doubt::Cut),
            Failure::Unknown => FailureKind::MayHaveRun(Doubt::RunnerError),
            Failure::Status(_) => FailureKind::MayHaveRun(Doubt::RunnerError),
        };
        self.handle_failure(ctx, cluster, key, kind);
    }

    /// Fails an attempt that has been silent for longer than its timeout.
    ///
    /// An attempt of a non-idempotent request fails only if its target is known to be gone.
    pub(super) fn on_silence_timer(&mut self, ctx: &mut Ctx, cluster: &Cluster, id: AttemptId) {
        let silence = ctx.options.silence;
        let now = ctx.now;
        let Some((key, attempt)) = self.current_attempt(id) else {
            return;
        };
        let allowed = if attempt.streaming {
            silence
        } else {
            silence + attempt.extra_timeout
        };
        let silent = now.since(attempt.last_activity);
        if silent < allowed {
            ctx.set_timer(Timer::Request(RequestTimer::Silent(id)), allowed - silent);
            return;
        }
        let idempotent = self.calls[key].idempotent;
        if !idempotent && !self.is_target_gone(cluster, key) {
            ctx.set_timer(Timer::Request(RequestTimer::Silent(id)), silence);
            return;
        }
        self.counters.stalled += 1;
        self.handle_failure(ctx, cluster, key, FailureKind::MayHaveRun(Doubt::Stalled));
    }

    /// Returns true if the runner or daemon that a request was sent to is known to be gone.
    fn is_target_gone(&self, cluster: &Cluster, key: CallKey) -> bool {
        let call = &self.calls[key];
        let Some(attempt) = call.attempt() else {
            return true;
        };
        let Some(host) = attempt.host() else {
            let ticket = call.request.ticket.as_ref();
            return ticket.is_none_or(|t| {
                let address = cluster.members.address(&t.daemon, Some(t.incarnation));
                address.is_none()
            });
        };
        cluster
            .hosts
            .get(host)
            .is_none_or(|h| h.health == Health::Dead)
    }

    /// Returns an attempt in flight and its request; an event of any other attempt counts as late.
    fn current_attempt(&mut self, id: AttemptId) -> Option<(CallKey, &mut Attempt)> {
        let Some(key) = self.by_attempt.get(&id).copied() else {
            self.counters.late += 1;
            return None;
        };
        let attempt = self.calls.get_mut(key)?.attempt_mut()?;
        Some((key, attempt))
    }

    /// Sends the response's head to the caller unless that was done before.
    fn send_head(&mut self, ctx: &mut Ctx, key: CallKey, attempt: AttemptId) {
        let call = &mut self.calls[key];
        if std::mem::replace(&mut call.head_sent, true) {
            return;
        }
        call.version = call.attempt().and_then(|a| a.version.clone());
        let call = call.id;
        ctx.push(Output::Call(CallOutput::Begin { call, attempt }));
    }

    /// Handles a failed attempt: retries or ends the request.
    fn handle_failure(
        &mut self,
        ctx: &mut Ctx,
        cluster: &Cluster,
        key: CallKey,
        kind: FailureKind,
    ) {
        let Some(attempt) = self.calls[key].attempt() else {
            return;
        };
        let route = attempt.route.clone();
        let fresh = attempt.fresh;
        let version = attempt.version.clone();
        let extra_timeout = attempt.extra_timeout;
        self.leave_stage(ctx, key, matches!(kind, FailureKind::MayHaveRun(_)));
        let call = &mut self.calls[key];
        if let FailureKind::MayHaveRun(reason) = kind {
            call.unknown_reason = Some(reason);
        }
        if let Route::Daemon { .. } = route {
            self.end_relay(ctx, key, kind);
            return;
        }
        if !self.withdraw_retry(ctx, cluster, key) {
            self.give_up(ctx, key, Refusal::Exhausted, Some(EXHAUSTED_RETRY_DELAY));
            return;
        }
        let reconnect = kind != FailureKind::Declined
            && kind != FailureKind::MayHaveRun(Doubt::RunnerError)
            && !fresh
            && self.router.is_usable(cluster, ctx.options, &route);
        if reconnect {
            let chosen = ChosenRoute {
                route,
                version,
                extra_timeout,
            };
            self.start_attempt(ctx, key, chosen, true);
            return;
        }
        if let Route::Group { host, .. } | Route::Service { host, .. } = route {
            if fresh && kind != FailureKind::Declined {
                self.suspects.push(host.clone());
            }
            self.calls[key].failed_hosts.push(host);
        }
        self.dispatch(ctx, cluster, key);
    }

    /// Returns true if a request may be retried; withdraws the retry from the budget.
    fn withdraw_retry(&mut self, ctx: &mut Ctx, cluster: &Cluster, key: CallKey) -> bool {
        let call = &self.calls[key];
        let single_start = !call.idempotent && ctx.options.is_enabled(Mechanism::SingleStart);
        let may_have_run = call.unknown_reason.is_some();
        if single_start && may_have_run {
            return false;
        }
        if is_unresumable(call) || call.attempts >= MAX_ATTEMPTS || !is_state_fresh(ctx, cluster) {
            return false;
        }
        self.budget.withdraw(ctx.options)
    }

    /// Ends a relayed request, whose retries are up to the other daemon.
    fn end_relay(&mut self, ctx: &mut Ctx, key: CallKey, kind: FailureKind) {
        match kind {
            FailureKind::Declined => {
                self.give_up(ctx, key, Refusal::Exhausted, Some(EXHAUSTED_RETRY_DELAY))
            }
            FailureKind::NotSent | FailureKind::MayHaveRun(Doubt::Stalled) => {
                self.end(ctx, key, Ending::Unknown(Doubt::ArbiterGone));
            }
            FailureKind::MayHaveRun(reason) => self.end(ctx, key, Ending::Unknown(reason)),
        }
    }
}

/// Returns true if a response without tokens was begun, since it can't be resumed.
fn is_unresumable(call: &Call) -> bool {
    call.head_sent && call.delivered == 0
}

/// Returns true if a response echoes the attempt and the epoch that were sent.
fn echo_matches(attempt: &Attempt, echo: &Echo) -> bool {
    let named = echo.attempt == Some(attempt.id);
    match &attempt.route {
        Route::Group { epoch, .. } => named && echo.epoch == Some(*epoch),
        Route::Service { .. } => named,
        Route::Daemon { .. } => true,
    }
}
