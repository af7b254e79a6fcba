//! Operators' writes: read the key, write it if it is unchanged, and answer.
//!
//! An answer claims only what is known. If the answer to a write is lost, the
//! key is read back: if it names the operation, the write took effect; if it is
//! unchanged, the same write is repeated, which can't take effect twice; if
//! another operation changed it, the operator gets a conflict.
//!
//! A record is deleted by writing one marked as deleted under a lease, so that
//! its operations remain known for [`DELETED_RECORD_TTL`].

use super::{
    change::{self, Plan, RecordHeader},
    view::View,
};
use crate::core::{
    ctx::Ctx,
    input::{OperatorRequest, PlatformAnswer, PlatformEntry, WatchEvent},
    keys::{CommandId, LeaseId, OperationId, Owner, PlatformId, Revision},
    options::Mechanism,
    output::{Expect, OperatorAnswer, Output, PlatformCall},
    time::{Span, Time},
    timer::{ConfigTimer, Timer},
};
use rand::Rng as _;
use std::collections::BTreeMap;

/// Time after which an operator's write is given up.
const WRITE_TIMEOUT: Span = Span::from_secs(8);

/// Time to live of a record marked as deleted.
const DELETED_RECORD_TTL: Span = Span::from_secs(3_600);

/// Delay before the first retry of a failed call, doubled with each retry.
const MIN_RETRY_DELAY: Span = Span::from_millis(50);

/// Upper bound of the delay before a retry, without its jitter.
const MAX_RETRY_DELAY: Span = Span::from_millis(800);

/// Operators' writes in flight.
#[derive(Debug, Default)]
pub(super) struct Writes {
    in_flight: BTreeMap<u64, Write>,
    calls: BTreeMap<PlatformId, u64>,
    /// Counters for metrics.
    pub(super) counters: WriteCounters,
}

/// Counters of writes, by result, and of platform calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WriteCounters {
    /// Writes that took effect.
    pub(super) accepted: u64,
    /// Writes that another operation preceded.
    pub(super) conflicts: u64,
    /// Invalid requests.
    pub(super) invalid: u64,
    /// Writes with an unknown result.
    pub(super) unavailable: u64,
    /// Reads after a lost answer.
    pub(super) read_backs: u64,
    /// Platform calls made.
    pub(super) calls: u64,
}

/// Operator's write in flight.
#[derive(Debug)]
struct Write {
    command: CommandId,
    operation: OperationId,
    request: OperatorRequest,
    path: String,
    step: Step,
    retry_delay: Span,
    deadline: Time,
}

/// Step of a write.
#[derive(Clone, Debug)]
enum Step {
    /// The key is being read.
    Reading {
        /// Expectation of an earlier write whose answer was lost, if any.
        unconfirmed: Option<Expect>,
    },
    /// A lease is being granted for a value to be written.
    Granting { expect: Expect, value: String },
    /// A value is being written.
    Writing(PutParams),
}

/// Parameters of a conditional put.
#[derive(Clone, Debug)]
struct PutParams {
    expect: Expect,
    value: String,
    lease: Option<LeaseId>,
}

/// Commands.
impl Writes {
    /// Starts a write.
    pub(super) fn begin(
        &mut self,
        ctx: &mut Ctx,
        command: CommandId,
        operation: OperationId,
        request: OperatorRequest,
    ) {
        let invalid_reason = change::invalid_reason(&request, operation);
        let (Some(key), None) = (change::key(&request), invalid_reason) else {
            self.counters.invalid += 1;
            let reason = invalid_reason
                .unwrap_or("the request is not a write")
                .to_owned();
            send_answer(ctx, command, OperatorAnswer::Invalid(reason));
            return;
        };
        let number = ctx.next_id();
        let write = Write {
            command,
            operation,
            request,
            path: key.path(),
            step: Step::Reading { unconfirmed: None },
            retry_delay: MIN_RETRY_DELAY,
            deadline: ctx.now + WRITE_TIMEOUT,
        };
        self.in_flight.insert(number, write);
        self.read(ctx, number);
    }

    /// Handles the answer to a call, and returns the change if one is known to have taken effect.
    pub(super) fn on_answer(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        id: PlatformId,
        answer: Option<PlatformAnswer>,
    ) -> Option<WatchEvent> {
        let number = self.calls.remove(&id)?;
        let step = self.in_flight.get(&number)?.step.clone();
        match (step, answer) {
            (_, None) => self.retry_later(ctx, number),
            (
                Step::Reading { unconfirmed },
                Some(PlatformAnswer::Entries { revision, entries }),
            ) => {
                self.on_read(ctx, view, number, unconfirmed, revision, entries.first());
            }
            (Step::Granting { expect, value }, Some(PlatformAnswer::Leased { lease, .. })) => {
                let lease = Some(lease);
                let params = PutParams {
                    expect,
                    value,
                    lease,
                };
                self.write(ctx, number, params);
            }
            (Step::Writing(params), Some(PlatformAnswer::Written { revision })) => {
                return self.on_written(ctx, number, params, revision);
            }
            (Step::Writing(_), Some(PlatformAnswer::Conflict { revision, current })) => {
                self.on_conflict(ctx, number, revision, current.as_ref());
            }
            _ => {}
        }
        None
    }

    /// Retries the current step of a write, or gives the write up.
    pub(super) fn on_timer(&mut self, ctx: &mut Ctx, number: u64) {
        let Some(write) = self.in_flight.get_mut(&number) else {
            return;
        };
        if ctx.now >= write.deadline {
            let reason = "the platform's service did not answer in time".to_owned();
            self.finish(ctx, number, OperatorAnswer::Unavailable(reason));
            return;
        }
        match write.step.clone() {
            Step::Reading { .. } => {}
            Step::Granting { .. } => write.step = Step::Reading { unconfirmed: None },
            Step::Writing(params) if !ctx.options.is_enabled(Mechanism::ReadBack) => {
                self.write(ctx, number, params);
                return;
            }
            Step::Writing(params) => {
                let unconfirmed = Some(params.expect);
                write.step = Step::Reading { unconfirmed };
                self.counters.read_backs += 1;
            }
        }
        self.read(ctx, number);
    }

    fn on_read(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        number: u64,
        unconfirmed: Option<Expect>,
        revision: Revision,
        current: Option<&PlatformEntry>,
    ) {
        let Some(write) = self.in_flight.get(&number) else {
            return;
        };
        if RecordHeader::from_entry(current).has_applied(write.operation) {
            let revision = current.map_or(revision, |entry| entry.revision);
            self.finish(ctx, number, OperatorAnswer::Accepted { revision });
            return;
        }
        let expect = current.map_or(Expect::Absent, |entry| Expect::At(entry.revision));
        let plan = change::plan(&write.request, write.operation, current, view);
        match plan {
            Plan::NoChange => self.finish(ctx, number, OperatorAnswer::Accepted { revision }),
            Plan::Conflict(revision) => {
                self.finish(ctx, number, OperatorAnswer::Conflict { revision });
            }
            Plan::Invalid(reason) => {
                self.finish(ctx, number, OperatorAnswer::Invalid(reason.to_owned()));
            }
            _ if unconfirmed.is_some_and(|unconfirmed| unconfirmed != expect) => {
                let revision = current.map_or(revision, |entry| entry.revision);
                self.finish(ctx, number, OperatorAnswer::Conflict { revision });
            }
            Plan::Put(value) => {
                let lease = None;
                let params = PutParams {
                    expect,
                    value,
                    lease,
                };
                self.write(ctx, number, params);
            }
            Plan::MarkDeleted(value) => self.grant(ctx, number, expect, value),
        }
    }

    fn on_written(
        &mut self,
        ctx: &mut Ctx,
        number: u64,
        params: PutParams,
        revision: Revision,
    ) -> Option<WatchEvent> {
        let key = self.in_flight.get(&number)?.path.clone();
        self.finish(ctx, number, OperatorAnswer::Accepted { revision });
        Some(WatchEvent::Put(PlatformEntry {
            key,
            value: params.value,
            revision,
            lease: params.lease,
        }))
    }

    fn on_conflict(
        &mut self,
        ctx: &mut Ctx,
        number: u64,
        revision: Revision,
        current: Option<&PlatformEntry>,
    ) {
        let Some(write) = self.in_flight.get(&number) else {
            return;
        };
        let is_own = RecordHeader::from_entry(current).has_applied(write.operation);
        let revision = current.map_or(revision, |entry| entry.revision);
        let answer = match is_own && ctx.options.is_enabled(Mechanism::ReadBack) {
            true => OperatorAnswer::Accepted { revision },
            false => OperatorAnswer::Conflict { revision },
        };
        self.finish(ctx, number, answer);
    }

    fn read(&mut self, ctx: &mut Ctx, number: u64) {
        let Some(write) = self.in_flight.get(&number) else {
            return;
        };
        let key = write.path.clone();
        self.call(ctx, number, PlatformCall::Get { key });
    }

    fn grant(&mut self, ctx: &mut Ctx, number: u64, expect: Expect, value: String) {
        let Some(write) = self.in_flight.get_mut(&number) else {
            return;
        };
        write.step = Step::Granting { expect, value };
        let ttl = DELETED_RECORD_TTL;
        self.call(ctx, number, PlatformCall::Grant { ttl });
    }

    fn write(&mut self, ctx: &mut Ctx, number: u64, params: PutParams) {
        let Some(write) = self.in_flight.get_mut(&number) else {
            return;
        };
        write.step = Step::Writing(params.clone());
        let call = PlatformCall::Put {
            key: write.path.clone(),
            value: params.value,
            expect: params.expect,
            lease: params.lease,
        };
        self.call(ctx, number, call);
    }

    fn call(&mut self, ctx: &mut Ctx, number: u64, call: PlatformCall) {
        self.counters.calls += 1;
        let id = ctx.call_platform(Owner::Config, call);
        self.calls.insert(id, number);
    }

    fn retry_later(&mut self, ctx: &mut Ctx, number: u64) {
        let Some(write) = self.in_flight.get_mut(&number) else {
            return;
        };
        let jitter = Span(ctx.rng.random_range(0..=write.retry_delay.0));
        let after = write.retry_delay + jitter;
        write.retry_delay = write.retry_delay.times(2).min(MAX_RETRY_DELAY);
        ctx.set_timer(Timer::Config(ConfigTimer::Write(number)), after);
    }

    fn finish(&mut self, ctx: &mut Ctx, number: u64, result: OperatorAnswer) {
        let Some(write) = self.in_flight.remove(&number) else {
            return;
        };
        let counter = match &result {
            OperatorAnswer::Accepted { .. } => &mut self.counters.accepted,
            OperatorAnswer::Conflict { .. } => &mut self.counters.conflicts,
            OperatorAnswer::Unavailable(_) => &mut self.counters.unavailable,
            _ => &mut self.counters.invalid,
        };
        *counter += 1;
        send_answer(ctx, write.command, result);
    }
}

fn send_answer(ctx: &mut Ctx, command: CommandId, answer: OperatorAnswer) {
    ctx.push(Output::Operator { command, answer });
}
