//! This daemon's record at the platform's service.
//!
//! The record hangs on a lease. Any call may fail, and a write may have taken
//! effect although its answer was lost, so each step looks at what is there
//! before it goes on.

use super::super::{
    config::{Key, record::Daemon},
    ctx::Ctx,
    input::{PlatformAnswer, PlatformEntry},
    keys::{Incarnation, LeaseId, Owner, PlatformId, Revision},
    output::{Expect, Level, PlatformCall},
    time::{Span, Time},
};
use rand::Rng as _;

/// How long the record outlives its daemon.
///
/// Longer than a duty's lease: peers find a dead daemon long before, and the
/// renewals of many daemons must not crowd the platform's service.
const LEASE: Span = Span::from_secs(60);

/// How often the lease is renewed.
const RENEWAL: Span = Span::from_secs(20);

/// How long an answer may take.
const TIMEOUT: Span = Span::from_secs(5);

/// The first wait after a failure.
const MIN_RETRY: Span = Span::from_millis(500);

/// The longest wait after failures.
const MAX_RETRY: Span = Span::from_secs(10);

/// How long the record stays once it says that the daemon is leaving.
const LEAVING: Span = Span::from_secs(10);

/// What is to be done next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Step {
    /// Get a lease.
    #[default]
    Grant,
    /// Write the record.
    Write(Expect),
    /// Renew the lease.
    Renew,
    /// End the lease.
    Revoke,
    /// Nothing; another run has taken the name, or the lease has ended.
    Done,
}

/// The record's state.
#[derive(Debug, Default)]
pub struct Registry {
    step: Step,
    lease: Option<LeaseId>,
    written: Option<Revision>,
    waiting: Option<(PlatformId, Time)>,
    probing: Option<(PlatformId, Time)>,
    due: Time,
    retry: Span,
    leaving: bool,
    failures: u64,
}

/// Queries.
impl Registry {
    /// When the registry next wants to act.
    pub fn due(&self) -> Time {
        match self.waiting {
            Some((_, sent)) => sent + TIMEOUT,
            None => self.due,
        }
    }

    /// Calls that failed.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// Whether the record is in place.
    pub fn is_registered(&self) -> bool {
        self.written.is_some() && self.lease.is_some()
    }
}

/// Commands.
impl Registry {
    /// Takes the next step if it is due.
    pub fn advance(&mut self, ctx: &mut Ctx) {
        if self.due() > ctx.now {
            return;
        }
        if self.waiting.take().is_some() {
            self.fail(ctx);
            return;
        }
        let call = match self.step {
            Step::Grant => PlatformCall::Grant { ttl: LEASE },
            Step::Write(expect) => self.write(ctx, expect),
            Step::Renew => match self.lease {
                Some(lease) => PlatformCall::KeepAlive { lease },
                None => PlatformCall::Grant { ttl: LEASE },
            },
            Step::Revoke => match self.lease {
                Some(lease) => PlatformCall::Revoke { lease },
                None => return self.wait(ctx, Step::Done, MAX_RETRY),
            },
            Step::Done => {
                self.due = ctx.now + LEASE;
                return;
            }
        };
        let id = ctx.platform(Owner::Member, call);
        self.waiting = Some((id, ctx.now));
    }

    /// Asks for any answer, to learn whether the platform's service can be reached.
    pub fn check_reach(&mut self, ctx: &mut Ctx) {
        let is_open = |(_, sent): (PlatformId, Time)| ctx.now.since(sent) < TIMEOUT;
        if self.probing.is_some_and(is_open) {
            return;
        }
        let key = Key::Daemon(ctx.me.name.clone()).path();
        let id = ctx.platform(Owner::Member, PlatformCall::Get { key });
        self.probing = Some((id, ctx.now));
    }

    /// Asks anew, whatever was asked before; answers to that may be old.
    pub fn check_reach_anew(&mut self, ctx: &mut Ctx) {
        self.probing = None;
        self.check_reach(ctx);
    }

    /// Takes an answer to a check of reach; false if it is for another call.
    pub fn on_reached(&mut self, id: PlatformId) -> bool {
        let is_check = self.probing.is_some_and(|(probe, _)| probe == id);
        if is_check {
            self.probing = None;
        }
        is_check
    }

    /// Takes an answer; nothing means that the call failed.
    pub fn on_answer(&mut self, ctx: &mut Ctx, id: PlatformId, answer: Option<PlatformAnswer>) {
        if self.waiting.is_none_or(|(waiting, _)| waiting != id) {
            return;
        }
        self.waiting = None;
        let Some(answer) = answer else {
            self.fail(ctx);
            return;
        };
        self.retry = Span::ZERO;
        match answer {
            PlatformAnswer::Leased { ttl, .. } if ttl == Span::ZERO => self.lapse(ctx),
            PlatformAnswer::Leased { lease, .. } => self.on_lease(ctx, lease),
            PlatformAnswer::Written { revision } => self.on_written(ctx, revision),
            PlatformAnswer::Conflict { current, .. } => self.on_conflict(ctx, current),
            PlatformAnswer::Revoked => self.wait(ctx, Step::Done, LEASE),
            PlatformAnswer::Entries { .. } => self.fail(ctx),
        }
    }

    /// Looks at the record in force, which must be this run's.
    pub fn on_config(&mut self, ctx: &mut Ctx, entry: Option<&PlatformEntry>) {
        if self.step != Step::Renew || self.waiting.is_some() {
            return;
        }
        let Some(entry) = entry else {
            self.lapse(ctx);
            return;
        };
        if Some(entry.revision) <= self.written {
            return;
        }
        self.take_over(ctx, entry);
    }

    /// Says in the record that the daemon is leaving, then takes it away.
    pub fn on_stop(&mut self, ctx: &mut Ctx) {
        self.leaving = true;
        let Some(revision) = self.written else {
            return;
        };
        self.waiting = None;
        self.wait(ctx, Step::Write(Expect::At(revision)), Span::ZERO);
        self.advance(ctx);
    }

    fn write(&mut self, ctx: &mut Ctx, expect: Expect) -> PlatformCall {
        PlatformCall::Put {
            key: Key::Daemon(ctx.me.name.clone()).path(),
            value: serde_json::to_string(&record(ctx, self.leaving)).unwrap_or_default(),
            expect,
            lease: self.lease,
        }
    }

    fn on_lease(&mut self, ctx: &mut Ctx, lease: LeaseId) {
        let is_new = self.lease != Some(lease);
        self.lease = Some(lease);
        if is_new {
            let expect = self.written.map_or(Expect::Absent, Expect::At);
            self.wait(ctx, Step::Write(expect), Span::ZERO);
        } else {
            self.wait(ctx, Step::Renew, RENEWAL);
        }
        self.advance(ctx);
    }

    fn on_written(&mut self, ctx: &mut Ctx, revision: Revision) {
        self.written = Some(revision);
        if self.leaving {
            self.wait(ctx, Step::Revoke, LEAVING);
        } else {
            self.wait(ctx, Step::Renew, RENEWAL);
        }
    }

    /// The key was not as expected: left by an earlier run, gone, or written by a lost answer.
    fn on_conflict(&mut self, ctx: &mut Ctx, current: Option<PlatformEntry>) {
        match current {
            None => self.wait(ctx, Step::Write(Expect::Absent), Span::ZERO),
            Some(entry) => self.take_over(ctx, &entry),
        }
        self.advance(ctx);
    }

    fn take_over(&mut self, ctx: &mut Ctx, entry: &PlatformEntry) {
        let held: Daemon = serde_json::from_str(&entry.value).unwrap_or_default();
        let mine = record(ctx, self.leaving);
        if held.incarnation > mine.incarnation {
            let name = ctx.me.name.clone();
            ctx.log(
                Level::Error,
                "member.replaced",
                name,
                "a later run has the name",
            );
            self.written = None;
            self.wait(ctx, Step::Done, LEASE);
            return;
        }
        if held == mine && entry.lease == self.lease {
            self.on_written(ctx, entry.revision);
            return;
        }
        self.wait(ctx, Step::Write(Expect::At(entry.revision)), Span::ZERO);
    }

    fn lapse(&mut self, ctx: &mut Ctx) {
        if self.leaving {
            self.wait(ctx, Step::Done, LEASE);
            return;
        }
        self.lease = None;
        self.written = None;
        self.wait(ctx, Step::Grant, Span::ZERO);
    }

    fn fail(&mut self, ctx: &mut Ctx) {
        self.failures += 1;
        self.retry = self.retry.times(2).clamp(MIN_RETRY, MAX_RETRY);
        let jitter = Span(ctx.rng.random_range(0..=self.retry.0 / 2));
        self.wait(ctx, self.step, self.retry + jitter);
    }

    fn wait(&mut self, ctx: &mut Ctx, step: Step, after: Span) {
        self.step = step;
        self.due = ctx.now + after;
    }
}

/// This daemon as the others are to know it.
pub fn record(ctx: &Ctx, leaving: bool) -> Daemon {
    Daemon {
        name: ctx.me.name.clone(),
        incarnation: Incarnation(ctx.me.incarnation.0),
        region: ctx.me.region.clone(),
        hall: ctx.me.hall.clone(),
        caller: ctx.me.caller,
        peer: ctx.me.peer,
        leaving,
    }
}
