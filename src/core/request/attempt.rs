//! Attempts: sending a request to a runner, and what becomes of it.
//!
//! An answer counts only if it names the attempt and the epoch that were sent.
//! A silent or cut connection is first replaced by a new one to the same
//! runner; if that fails too, the runner is suspected and another is taken.

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
    admission::is_fresh,
    call::{Attempt, Call},
    routing::Pick,
};

/// The most attempts for one request.
const MAX_ATTEMPTS: u32 = 6;

/// When to ask again after every attempt failed.
const RETRY_AFTER: Span = Span::from_secs(1);

/// How an attempt came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    /// Nothing of it reached the other side.
    NotSent,
    /// The other side has not run it.
    Declined,
    /// It may have run.
    Lost(Doubt),
}

impl Requests {
    /// Sends a request to a runner.
    pub(super) fn start(&mut self, ctx: &mut Ctx, key: CallKey, pick: Pick, fresh: bool) {
        let Pick {
            route,
            version,
            wait,
        } = pick;
        let id = ctx.attempt();
        let call = &mut self.calls[key];
        if let Route::Group { host, .. } | Route::Service { host, .. } = &route {
            self.router.began(ctx.now, host, call);
        }
        call.attempts += 1;
        call.stage = Stage::Running(Attempt {
            id,
            route: route.clone(),
            version,
            fresh,
            sent: ctx.now,
            heard: ctx.now,
            accepted: false,
            flowing: false,
            wait,
        });
        self.tally.attempts += 1;
        self.tally.resumed += u64::from(call.delivered > 0);
        self.by_attempt.insert(id, key);
        ctx.push(Output::Runner(RunnerOutput::Attempt {
            attempt: id,
            call: call.id,
            route,
            fresh,
            resume_at: call.delivered,
        }));
        let patience = wait + ctx.options.silence;
        ctx.timer(Timer::Request(RequestTimer::Silent(id)), patience);
    }

    /// Sends a non-idempotent request to the daemon that its ticket names.
    pub(super) fn relay(&mut self, ctx: &mut Ctx, site: &Cluster, key: CallKey) {
        let call = &self.calls[key];
        let Some(ticket) = &call.request.ticket else {
            return;
        };
        let known = site
            .members
            .address(&ticket.daemon, Some(ticket.incarnation));
        let Some(address) = known else {
            self.end(ctx, key, Ending::Unknown(Doubt::ArbiterGone));
            return;
        };
        self.tally.relayed += 1;
        let route = Route::Daemon {
            daemon: ticket.daemon.clone(),
            address,
            target: call.request.target.clone(),
        };
        let pick = Pick {
            route,
            version: None,
            wait: Span::ZERO,
        };
        self.start(ctx, key, pick, false);
    }

    /// An answer has begun.
    pub(super) fn on_accepted(&mut self, ctx: &mut Ctx, site: &Cluster, id: AttemptId, echo: Echo) {
        let Some((key, attempt)) = self.current(id) else {
            return;
        };
        if ctx.options.has(Mechanism::AnswerMatching) && !belongs(attempt, &echo) {
            self.tally.mismatched += 1;
            self.fail(ctx, site, key, Trouble::Lost(Doubt::Cut));
            return;
        }
        attempt.accepted = true;
        attempt.heard = ctx.now;
    }

    /// Part of an answer has come.
    pub(super) fn on_chunk(
        &mut self,
        ctx: &mut Ctx,
        site: &Cluster,
        id: AttemptId,
        offset: u32,
        tokens: u32,
        payload: Payload,
    ) {
        let Some((key, attempt)) = self.current(id) else {
            return;
        };
        let gap = ctx.now.since(attempt.heard);
        attempt.heard = ctx.now;
        let was_flowing = std::mem::replace(&mut attempt.flowing, true);
        let matches = attempt.accepted || !ctx.options.has(Mechanism::AnswerMatching);
        if was_flowing
            && tokens > 0
            && let Some(host) = attempt.host().cloned()
        {
            self.router.saw_gap(&host, Span(gap.0 / u64::from(tokens)));
        }
        let call = &mut self.calls[key];
        if tokens > 0 && offset.saturating_add(tokens) <= call.delivered {
            return;
        }
        if !matches || offset != call.delivered {
            self.tally.mismatched += 1;
            self.fail(ctx, site, key, Trouble::Lost(Doubt::Cut));
            return;
        }
        call.delivered += tokens;
        self.tally.tokens += u64::from(tokens);
        let call = call.id;
        self.begin(ctx, key, id);
        ctx.push(Output::Call(CallOutput::Deliver {
            call,
            offset,
            tokens,
            payload,
        }));
    }

    /// An answer has ended whole.
    pub(super) fn on_finished(&mut self, ctx: &mut Ctx, site: &Cluster, id: AttemptId) {
        let Some((key, attempt)) = self.current(id) else {
            return;
        };
        if !attempt.accepted && ctx.options.has(Mechanism::AnswerMatching) {
            self.tally.mismatched += 1;
            self.fail(ctx, site, key, Trouble::Lost(Doubt::Cut));
            return;
        }
        self.begin(ctx, key, id);
        self.end(ctx, key, Ending::Complete);
    }

    /// An attempt has ended otherwise.
    pub(super) fn on_failed(
        &mut self,
        ctx: &mut Ctx,
        site: &Cluster,
        id: AttemptId,
        failure: Failure,
    ) {
        let Some((key, _)) = self.current(id) else {
            return;
        };
        let trouble = match failure {
            Failure::NotSent => Trouble::NotSent,
            Failure::Declined => Trouble::Declined,
            Failure::Cut => Trouble::Lost(Doubt::Cut),
            Failure::Unknown => Trouble::Lost(Doubt::RunnerError),
            Failure::Status(_) => Trouble::Lost(Doubt::RunnerError),
        };
        self.fail(ctx, site, key, trouble);
    }

    /// An attempt may have been silent for too long.
    pub(super) fn on_silent(&mut self, ctx: &mut Ctx, site: &Cluster, id: AttemptId) {
        let silence = ctx.options.silence;
        let now = ctx.now;
        let Some((key, attempt)) = self.current(id) else {
            return;
        };
        let allowed = if attempt.flowing {
            silence
        } else {
            silence + attempt.wait
        };
        let silent = now.since(attempt.heard);
        if silent < allowed {
            ctx.timer(Timer::Request(RequestTimer::Silent(id)), allowed - silent);
            return;
        }
        let idempotent = self.calls[key].idempotent;
        if !idempotent && !self.is_gone(site, key) {
            ctx.timer(Timer::Request(RequestTimer::Silent(id)), silence);
            return;
        }
        self.tally.stalled += 1;
        self.fail(ctx, site, key, Trouble::Lost(Doubt::Stalled));
    }

    /// Whether the other side of a request's attempt is known to be gone.
    fn is_gone(&self, site: &Cluster, key: CallKey) -> bool {
        let call = &self.calls[key];
        let Some(attempt) = call.attempt() else {
            return true;
        };
        let Some(host) = attempt.host() else {
            let ticket = call.request.ticket.as_ref();
            return ticket.is_none_or(|t| {
                let address = site.members.address(&t.daemon, Some(t.incarnation));
                address.is_none()
            });
        };
        site.hosts
            .get(host)
            .is_none_or(|h| h.health == Health::Dead)
    }

    /// The request whose present attempt this is, and the attempt.
    fn current(&mut self, id: AttemptId) -> Option<(CallKey, &mut Attempt)> {
        let Some(key) = self.by_attempt.get(&id).copied() else {
            self.tally.late += 1;
            return None;
        };
        let attempt = self.calls.get_mut(key)?.attempt_mut()?;
        Some((key, attempt))
    }

    /// Passes the answer's head on, once.
    fn begin(&mut self, ctx: &mut Ctx, key: CallKey, attempt: AttemptId) {
        let call = &mut self.calls[key];
        if std::mem::replace(&mut call.begun, true) {
            return;
        }
        call.version = call.attempt().and_then(|a| a.version.clone());
        let call = call.id;
        ctx.push(Output::Call(CallOutput::Begin { call, attempt }));
    }

    /// Deals with an attempt that came to nothing: tries again, or ends the request.
    fn fail(&mut self, ctx: &mut Ctx, site: &Cluster, key: CallKey, trouble: Trouble) {
        let Some(attempt) = self.calls[key].attempt() else {
            return;
        };
        let route = attempt.route.clone();
        let fresh = attempt.fresh;
        let version = attempt.version.clone();
        let wait = attempt.wait;
        self.leave_stage(ctx, key, matches!(trouble, Trouble::Lost(_)));
        let call = &mut self.calls[key];
        if let Trouble::Lost(doubt) = trouble {
            call.doubt = Some(doubt);
        }
        if let Route::Daemon { .. } = route {
            self.end_relay(ctx, key, trouble);
            return;
        }
        if !self.may_retry(ctx, site, key) {
            self.give_up(ctx, key, Refusal::Exhausted, Some(RETRY_AFTER));
            return;
        }
        let again = trouble != Trouble::Declined
            && trouble != Trouble::Lost(Doubt::RunnerError)
            && !fresh
            && self.router.is_usable(site, ctx.options, &route);
        if again {
            let pick = Pick {
                route,
                version,
                wait,
            };
            self.start(ctx, key, pick, true);
            return;
        }
        if let Route::Group { host, .. } | Route::Service { host, .. } = route {
            if fresh && trouble != Trouble::Declined {
                self.suspects.push(host.clone());
            }
            self.calls[key].tried.push(host);
        }
        self.dispatch(ctx, site, key);
    }

    /// Whether a request may be tried once more; takes the retry out of the budget.
    fn may_retry(&mut self, ctx: &mut Ctx, site: &Cluster, key: CallKey) -> bool {
        let call = &self.calls[key];
        let once = !call.idempotent && ctx.options.has(Mechanism::SingleStart);
        let may_have_run = call.doubt.is_some();
        if once && may_have_run {
            return false;
        }
        if is_cut_whole(call) || call.attempts >= MAX_ATTEMPTS || !is_fresh(ctx, site) {
            return false;
        }
        self.budget.withdraw(ctx.options)
    }

    /// Ends a request that another daemon was to decide on.
    fn end_relay(&mut self, ctx: &mut Ctx, key: CallKey, trouble: Trouble) {
        match trouble {
            Trouble::Declined => self.give_up(ctx, key, Refusal::Exhausted, Some(RETRY_AFTER)),
            Trouble::NotSent | Trouble::Lost(Doubt::Stalled) => {
                self.end(ctx, key, Ending::Unknown(Doubt::ArbiterGone));
            }
            Trouble::Lost(doubt) => self.end(ctx, key, Ending::Unknown(doubt)),
        }
    }
}

/// Whether part of an answer that can't be resumed was passed on.
fn is_cut_whole(call: &Call) -> bool {
    call.begun && call.delivered == 0
}

/// Whether an answer names the attempt and the epoch that were sent.
fn belongs(attempt: &Attempt, echo: &Echo) -> bool {
    let named = echo.attempt == Some(attempt.id);
    match &attempt.route {
        Route::Group { epoch, .. } => named && echo.epoch == Some(*epoch),
        Route::Service { .. } => named,
        Route::Daemon { .. } => true,
    }
}
