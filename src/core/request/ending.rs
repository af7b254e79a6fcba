//! How requests end: each exactly once, and "not run" only if it is true.

use super::{
    super::{
        ctx::Ctx,
        keys::CallId,
        options::Mechanism,
        output::{CallOutput, Doubt, Ending, Output, Refusal, RunnerOutput},
        time::Span,
        timer::{RequestTimer, Timer},
    },
    CallKey, Requests, Stage,
};

impl Requests {
    /// Answers a request that was never opened.
    pub(super) fn refuse(
        &mut self,
        ctx: &mut Ctx,
        call: CallId,
        reason: Refusal,
        retry_after: Option<Span>,
    ) {
        let ending = Ending::Refused {
            reason,
            retry_after,
        };
        self.answer(ctx, call, ending);
    }

    /// Answers a request that was never opened as one that may have run.
    pub(super) fn doubt(&mut self, ctx: &mut Ctx, call: CallId, doubt: Doubt) {
        self.answer(ctx, call, Ending::Unknown(doubt));
    }

    /// Ends a request without an answer: refused if it can't have run, else unknown.
    pub(super) fn give_up(
        &mut self,
        ctx: &mut Ctx,
        key: CallKey,
        reason: Refusal,
        retry_after: Option<Span>,
    ) {
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let truthful = ctx.options.has(Mechanism::RefusalTruth);
        let ending = match call.doubt {
            Some(doubt) if truthful => Ending::Unknown(doubt),
            _ => Ending::Refused {
                reason,
                retry_after,
            },
        };
        self.end(ctx, key, ending);
    }

    /// Ends a request, and lets go of everything that it holds.
    pub(super) fn end(&mut self, ctx: &mut Ctx, key: CallKey, ending: Ending) {
        self.leave_stage(ctx, key, ending != Ending::Complete);
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        self.by_id.remove(&call.id);
        if call.request.relayed_by.is_none() {
            self.limits.ended(&call.account);
        }
        if let Ending::Refused { .. } = ending {
            self.release(ctx, &call);
        }
        if ending == Ending::Complete {
            let took = ctx.now.since(call.arrived);
            self.queues.served(&call.pool(), took);
        }
        self.answer(ctx, call.id, ending);
        self.freed(call.pool());
        self.exit_if_done(ctx);
    }

    /// The caller has gone away.
    pub(super) fn on_gone(&mut self, ctx: &mut Ctx, call: CallId) {
        if let Some(key) = self.by_id.get(&call).copied() {
            self.end(ctx, key, Ending::Unknown(Doubt::CallerGone));
        }
    }

    /// A request's time is up.
    pub(super) fn on_deadline(&mut self, ctx: &mut Ctx, call: CallId) {
        let Some(key) = self.by_id.get(&call).copied() else {
            return;
        };
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        if call.attempt().is_some() {
            call.doubt = Some(Doubt::Expired);
        }
        self.give_up(ctx, key, Refusal::Expired, None);
    }

    /// Takes a request out of the stage that it is in; `cancel` stops its attempt.
    pub(super) fn leave_stage(&mut self, ctx: &mut Ctx, key: CallKey, cancel: bool) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let pool = call.pool();
        match std::mem::replace(&mut call.stage, Stage::Idle) {
            Stage::Idle => {}
            Stage::Claiming(claim) => self.claims.forget(claim.id),
            Stage::Queued => self.queues.remove(&pool, key),
            Stage::Running(attempt) => {
                self.by_attempt.remove(&attempt.id);
                if let Some(host) = attempt.host() {
                    self.router.ended(ctx.now, host, attempt.sent);
                }
                if cancel {
                    let attempt = attempt.id;
                    ctx.push(Output::Runner(RunnerOutput::Cancel { attempt }));
                }
            }
        }
    }

    /// Refuses new requests from now on.
    pub(super) fn begin_stop(&mut self, ctx: &mut Ctx) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        if !ctx.options.has(Mechanism::GracefulStop) {
            ctx.push(Output::Exit);
            return;
        }
        ctx.timer(Timer::Request(RequestTimer::Stop), ctx.options.grace);
        self.exit_if_done(ctx);
    }

    /// Ends what still runs when the graceful stop's time is up.
    pub(super) fn on_grace_over(&mut self, ctx: &mut Ctx) {
        let mut left: Vec<(CallId, CallKey)> = self
            .calls
            .iter()
            .map(|(key, call)| (call.id, key))
            .collect();
        left.sort_unstable();
        for (_, key) in left {
            let Some(call) = self.calls.get_mut(key) else {
                continue;
            };
            if call.attempt().is_some() {
                call.doubt = Some(Doubt::Stopped);
            }
            self.give_up(ctx, key, Refusal::Stopping, None);
        }
    }

    fn exit_if_done(&mut self, ctx: &mut Ctx) {
        if self.stopping && self.calls.is_empty() && ctx.options.has(Mechanism::GracefulStop) {
            ctx.push(Output::Exit);
        }
    }

    fn answer(&mut self, ctx: &mut Ctx, call: CallId, ending: Ending) {
        self.tally.end(&ending);
        ctx.push(Output::Call(CallOutput::End { call, ending }));
    }
}
