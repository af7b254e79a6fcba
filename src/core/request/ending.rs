//! Completion of requests.
//!
//! Every request ends exactly once. It is refused as "not run" only if it can't have run;
//! otherwise its outcome is reported as unknown.

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
    /// Refuses a request that was never opened.
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
        self.send_ending(ctx, call, ending);
    }

    /// Reports the outcome of a request that was never opened as unknown.
    pub(super) fn end_unknown(&mut self, ctx: &mut Ctx, call: CallId, reason: Doubt) {
        self.send_ending(ctx, call, Ending::Unknown(reason));
    }

    /// Ends a request without a response: as refused if it can't have run, else as unknown.
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
        let truthful = ctx.options.is_enabled(Mechanism::RefusalTruth);
        let ending = match call.unknown_reason {
            Some(unknown) if truthful => Ending::Unknown(unknown),
            _ => Ending::Refused {
                reason,
                retry_after,
            },
        };
        self.end(ctx, key, ending);
    }

    /// Ends a request and releases everything that it holds.
    pub(super) fn end(&mut self, ctx: &mut Ctx, key: CallKey, ending: Ending) {
        self.leave_stage(ctx, key, ending != Ending::Complete);
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        self.by_id.remove(&call.id);
        if call.request.relayed_by.is_none() {
            self.limits.release(&call.account);
        }
        if let Ending::Refused { .. } = ending {
            self.release_reservation(ctx, &call);
        }
        if ending == Ending::Complete {
            let latency = ctx.now.since(call.arrived);
            self.queues.record_latency(&call.pool(), latency);
        }
        self.send_ending(ctx, call.id, ending);
        self.mark_ready(call.pool());
        self.exit_if_done(ctx);
    }

    /// Ends the request of a caller that has disconnected.
    pub(super) fn on_caller_gone(&mut self, ctx: &mut Ctx, call: CallId) {
        if let Some(key) = self.by_id.get(&call).copied() {
            self.end(ctx, key, Ending::Unknown(Doubt::CallerGone));
        }
    }

    /// Ends a request whose deadline has passed.
    pub(super) fn on_deadline(&mut self, ctx: &mut Ctx, call: CallId) {
        let Some(key) = self.by_id.get(&call).copied() else {
            return;
        };
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        if call.attempt().is_some() {
            call.unknown_reason = Some(Doubt::Expired);
        }
        self.give_up(ctx, key, Refusal::Expired, None);
    }

    /// Takes a request out of its current stage; `cancel` tells the runner to stop its attempt.
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
                    self.router.on_attempt_ended(ctx.now, host, attempt.sent_at);
                }
                if cancel {
                    let attempt = attempt.id;
                    ctx.push(Output::Runner(RunnerOutput::Cancel { attempt }));
                }
            }
        }
    }

    /// Begins the graceful stop: new requests are refused.
    pub(super) fn begin_stop(&mut self, ctx: &mut Ctx) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        if !ctx.options.is_enabled(Mechanism::GracefulStop) {
            ctx.push(Output::Exit);
            return;
        }
        ctx.set_timer(Timer::Request(RequestTimer::Stop), ctx.options.grace);
        self.exit_if_done(ctx);
    }

    /// Ends all requests that are still open when the grace period of the graceful stop expires.
    pub(super) fn on_grace_expired(&mut self, ctx: &mut Ctx) {
        let mut open_calls: Vec<(CallId, CallKey)> = self
            .calls
            .iter()
            .map(|(key, call)| (call.id, key))
            .collect();
        open_calls.sort_unstable();
        for (_, key) in open_calls {
            let Some(call) = self.calls.get_mut(key) else {
                continue;
            };
            if call.attempt().is_some() {
                call.unknown_reason = Some(Doubt::Stopped);
            }
            self.give_up(ctx, key, Refusal::Stopping, None);
        }
    }

    /// Requests the exit once the daemon is stopping and no request is open.
    fn exit_if_done(&mut self, ctx: &mut Ctx) {
        if self.stopping && self.calls.is_empty() && ctx.options.is_enabled(Mechanism::GracefulStop)
        {
            ctx.push(Output::Exit);
        }
    }

    fn send_ending(&mut self, ctx: &mut Ctx, call: CallId, ending: Ending) {
        self.counters.record_ending(&ending);
        ctx.push(Output::Call(CallOutput::End { call, ending }));
    }
}
