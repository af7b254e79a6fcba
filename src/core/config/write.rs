//! Operators' writes: read the key, write it if it is unchanged, answer.
//!
//! An answer says only what is known. When the answer to a write is lost, the
//! key is read back: if it remembers the operation, the write took effect; if
//! it is unchanged, the same write is tried again, which can't take effect
//! twice; if another operator changed it, the operator gets a conflict.
//!
//! A record is deleted by a write that says so and hangs on a lease, so that
//! the operations that it remembers outlive it for [`DELETED_KEPT`].

use super::{
    change::{self, Plan, Stamp},
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

/// How long an operator's write is tried.
const WRITE_TIMEOUT: Span = Span::from_secs(8);

/// How long a deleted record is kept.
const DELETED_KEPT: Span = Span::from_secs(3_600);

/// The pause before a failed step is tried again, at first.
const FIRST_PAUSE: Span = Span::from_millis(50);

/// The longest pause before a failed step is tried again.
const MAX_PAUSE: Span = Span::from_millis(800);

/// The writes under way.
#[derive(Debug, Default)]
pub(super) struct Writes {
    open: BTreeMap<u64, Write>,
    calls: BTreeMap<PlatformId, u64>,
    /// Writes begun, and how they ended.
    pub(super) counted: WriteCounts,
}

/// How writes ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WriteCounts {
    /// Durable.
    pub(super) accepted: u64,
    /// Another operator was first.
    pub(super) conflicts: u64,
    /// Not possible.
    pub(super) invalid: u64,
    /// Not known.
    pub(super) unavailable: u64,
    /// Read back after a lost answer.
    pub(super) read_backs: u64,
    /// Platform calls made.
    pub(super) calls: u64,
}

#[derive(Debug)]
struct Write {
    command: CommandId,
    operation: OperationId,
    request: OperatorRequest,
    path: String,
    step: Step,
    pause: Span,
    until: Time,
}

#[derive(Clone, Debug)]
enum Step {
    /// The key is being read.
    Reading {
        /// What an earlier try expected, if its answer was lost.
        tried: Option<Expect>,
    },
    /// A lease is being granted, for a value to be written.
    Granting { expect: Expect, value: String },
    /// A value is being written.
    Writing(Change),
}

#[derive(Clone, Debug)]
struct Change {
    expect: Expect,
    value: String,
    lease: Option<LeaseId>,
}

/// Commands.
impl Writes {
    /// Begins a write.
    pub(super) fn begin(
        &mut self,
        ctx: &mut Ctx,
        command: CommandId,
        operation: OperationId,
        request: OperatorRequest,
    ) {
        let fault = change::fault(&request, operation);
        let (Some(key), None) = (change::key(&request), fault) else {
            self.counted.invalid += 1;
            let reason = fault.unwrap_or("nothing to write").to_owned();
            answer(ctx, command, OperatorAnswer::Invalid(reason));
            return;
        };
        let number = ctx.next_id();
        let write = Write {
            command,
            operation,
            request,
            path: key.path(),
            step: Step::Reading { tried: None },
            pause: FIRST_PAUSE,
            until: ctx.now + WRITE_TIMEOUT,
        };
        self.open.insert(number, write);
        self.read(ctx, number);
    }

    /// Takes the answer to a call; returns the change known to have taken effect.
    pub(super) fn on_answer(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        id: PlatformId,
        answer: Option<PlatformAnswer>,
    ) -> Option<WatchEvent> {
        let number = self.calls.remove(&id)?;
        let step = self.open.get(&number)?.step.clone();
        match (step, answer) {
            (_, None) => self.pause(ctx, number),
            (Step::Reading { tried }, Some(PlatformAnswer::Entries { revision, entries })) => {
                self.on_read(ctx, view, number, tried, revision, entries.first());
            }
            (Step::Granting { expect, value }, Some(PlatformAnswer::Leased { lease, .. })) => {
                let lease = Some(lease);
                let change = Change {
                    expect,
                    value,
                    lease,
                };
                self.write(ctx, number, change);
            }
            (Step::Writing(change), Some(PlatformAnswer::Written { revision })) => {
                return self.on_written(ctx, number, change, revision);
            }
            (Step::Writing(_), Some(PlatformAnswer::Conflict { revision, current })) => {
                self.on_conflict(ctx, number, revision, current.as_ref());
            }
            _ => {}
        }
        None
    }

    /// Goes on with a write after a pause.
    pub(super) fn on_timer(&mut self, ctx: &mut Ctx, number: u64) {
        let Some(write) = self.open.get_mut(&number) else {
            return;
        };
        if ctx.now >= write.until {
            let reason = "the platform's service does not answer".to_owned();
            self.end(ctx, number, OperatorAnswer::Unavailable(reason));
            return;
        }
        match write.step.clone() {
            Step::Reading { .. } => {}
            Step::Granting { .. } => write.step = Step::Reading { tried: None },
            Step::Writing(change) if !ctx.options.is_enabled(Mechanism::ReadBack) => {
                self.write(ctx, number, change);
                return;
            }
            Step::Writing(change) => {
                let tried = Some(change.expect);
                write.step = Step::Reading { tried };
                self.counted.read_backs += 1;
            }
        }
        self.read(ctx, number);
    }

    fn on_read(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        number: u64,
        tried: Option<Expect>,
        revision: Revision,
        current: Option<&PlatformEntry>,
    ) {
        let Some(write) = self.open.get(&number) else {
            return;
        };
        if Stamp::of(current).has(write.operation) {
            let revision = current.map_or(revision, |held| held.revision);
            self.end(ctx, number, OperatorAnswer::Accepted { revision });
            return;
        }
        let expect = current.map_or(Expect::Absent, |held| Expect::At(held.revision));
        let plan = change::plan(&write.request, write.operation, current, view);
        match plan {
            Plan::Done => self.end(ctx, number, OperatorAnswer::Accepted { revision }),
            Plan::Conflict(revision) => {
                self.end(ctx, number, OperatorAnswer::Conflict { revision });
            }
            Plan::Invalid(reason) => {
                self.end(ctx, number, OperatorAnswer::Invalid(reason.to_owned()));
            }
            _ if tried.is_some_and(|tried| tried != expect) => {
                let revision = current.map_or(revision, |held| held.revision);
                self.end(ctx, number, OperatorAnswer::Conflict { revision });
            }
            Plan::Put(value) => {
                let lease = None;
                let change = Change {
                    expect,
                    value,
                    lease,
                };
                self.write(ctx, number, change);
            }
            Plan::Retire(value) => self.grant(ctx, number, expect, value),
        }
    }

    fn on_written(
        &mut self,
        ctx: &mut Ctx,
        number: u64,
        change: Change,
        revision: Revision,
    ) -> Option<WatchEvent> {
        let key = self.open.get(&number)?.path.clone();
        self.end(ctx, number, OperatorAnswer::Accepted { revision });
        Some(WatchEvent::Put(PlatformEntry {
            key,
            value: change.value,
            revision,
            lease: change.lease,
        }))
    }

    fn on_conflict(
        &mut self,
        ctx: &mut Ctx,
        number: u64,
        revision: Revision,
        current: Option<&PlatformEntry>,
    ) {
        let Some(write) = self.open.get(&number) else {
            return;
        };
        let ours = Stamp::of(current).has(write.operation);
        let revision = current.map_or(revision, |held| held.revision);
        let answer = match ours && ctx.options.is_enabled(Mechanism::ReadBack) {
            true => OperatorAnswer::Accepted { revision },
            false => OperatorAnswer::Conflict { revision },
        };
        self.end(ctx, number, answer);
    }

    fn read(&mut self, ctx: &mut Ctx, number: u64) {
        let Some(write) = self.open.get(&number) else {
            return;
        };
        let key = write.path.clone();
        self.call(ctx, number, PlatformCall::Get { key });
    }

    fn grant(&mut self, ctx: &mut Ctx, number: u64, expect: Expect, value: String) {
        let Some(write) = self.open.get_mut(&number) else {
            return;
        };
        write.step = Step::Granting { expect, value };
        let ttl = DELETED_KEPT;
        self.call(ctx, number, PlatformCall::Grant { ttl });
    }

    fn write(&mut self, ctx: &mut Ctx, number: u64, change: Change) {
        let Some(write) = self.open.get_mut(&number) else {
            return;
        };
        write.step = Step::Writing(change.clone());
        let call = PlatformCall::Put {
            key: write.path.clone(),
            value: change.value,
            expect: change.expect,
            lease: change.lease,
        };
        self.call(ctx, number, call);
    }

    fn call(&mut self, ctx: &mut Ctx, number: u64, call: PlatformCall) {
        self.counted.calls += 1;
        let id = ctx.call_platform(Owner::Config, call);
        self.calls.insert(id, number);
    }

    fn pause(&mut self, ctx: &mut Ctx, number: u64) {
        let Some(write) = self.open.get_mut(&number) else {
            return;
        };
        let jitter = Span(ctx.rng.random_range(0..=write.pause.0));
        let after = write.pause + jitter;
        write.pause = write.pause.times(2).min(MAX_PAUSE);
        ctx.set_timer(Timer::Config(ConfigTimer::Write(number)), after);
    }

    fn end(&mut self, ctx: &mut Ctx, number: u64, ending: OperatorAnswer) {
        let Some(write) = self.open.remove(&number) else {
            return;
        };
        let counted = match &ending {
            OperatorAnswer::Accepted { .. } => &mut self.counted.accepted,
            OperatorAnswer::Conflict { .. } => &mut self.counted.conflicts,
            OperatorAnswer::Unavailable(_) => &mut self.counted.unavailable,
            _ => &mut self.counted.invalid,
        };
        *counted += 1;
        answer(ctx, write.command, ending);
    }
}

fn answer(ctx: &mut Ctx, command: CommandId, answer: OperatorAnswer) {
    ctx.push(Output::Operator { command, answer });
}
