//! Registration of this daemon with the platform's store.
//!
//! The daemon's record is attached to a lease. Any call may fail, and a write may
//! have taken effect although its answer was lost, so each step checks what is
//! stored before it goes on.

use super::super::{
    config::{Key, record::Daemon},
    ctx::Ctx,
    input::{PlatformAnswer, PlatformEntry},
    keys::{Incarnation, LeaseId, Owner, PlatformId, Revision},
    output::{Expect, Level, PlatformCall},
    time::{Span, Time},
};
use rand::Rng as _;

/// Time to live of the lease, by which the record outlives its daemon.
///
/// Longer than a duty's lease: peers detect a dead daemon long before, and the
/// renewals of many daemons must not overload the platform's store.
const LEASE_TTL: Span = Span::from_secs(60);

/// Interval between renewals of the lease.
const RENEWAL_INTERVAL: Span = Span::from_secs(20);

/// Time after which an unanswered call counts as failed.
const CALL_TIMEOUT: Span = Span::from_secs(5);

/// Delay before the first retry, doubled with each failure in a row.
const MIN_RETRY_DELAY: Span = Span::from_millis(500);

/// Upper bound of the delay before a retry, without its jitter.
const MAX_RETRY_DELAY: Span = Span::from_secs(10);

/// Delay before a record that says that the daemon is leaving is removed.
const REVOKE_DELAY: Span = Span::from_secs(10);

/// Next step of the registration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Step {
    /// Request a lease.
    #[default]
    Grant,
    /// Write the record.
    Write(Expect),
    /// Renew the lease.
    Renew,
    /// Revoke the lease.
    Revoke,
    /// None: another incarnation has taken the name, or the lease has ended.
    Done,
}

/// State of the registration.
#[derive(Debug, Default)]
pub struct Registry {
    step: Step,
    lease: Option<LeaseId>,
    written: Option<Revision>,
    in_flight: Option<(PlatformId, Time)>,
    platform_check: Option<(PlatformId, Time)>,
    due: Time,
    retry_delay: Span,
    leaving: bool,
    failures: u64,
}

/// Queries.
impl Registry {
    /// Returns the time of the next step, or of the timeout of the call in flight.
    pub fn due(&self) -> Time {
        match self.in_flight {
            Some((_, sent)) => sent + CALL_TIMEOUT,
            None => self.due,
        }
    }

    /// Returns the number of failed calls.
    pub fn failures(&self) -> u64 {
        self.failures
    }

    /// Returns true if the record is written and attached to a lease.
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
        if self.in_flight.take().is_some() {
            self.schedule_retry(ctx);
            return;
        }
        let call = match self.step {
            Step::Grant => PlatformCall::Grant { ttl: LEASE_TTL },
            Step::Write(expect) => self.write(ctx, expect),
            Step::Renew => match self.lease {
                Some(lease) => PlatformCall::KeepAlive { lease },
                None => PlatformCall::Grant { ttl: LEASE_TTL },
            },
            Step::Revoke => match self.lease {
                Some(lease) => PlatformCall::Revoke { lease },
                None => return self.schedule(ctx, Step::Done, MAX_RETRY_DELAY),
            },
            Step::Done => {
                self.due = ctx.now + LEASE_TTL;
                return;
            }
        };
        let id = ctx.call_platform(Owner::Member, call);
        self.in_flight = Some((id, ctx.now));
    }

    /// Checks that the platform's store is reachable, unless a check is in flight.
    pub fn check_platform(&mut self, ctx: &mut Ctx) {
        let is_open = |(_, sent): (PlatformId, Time)| ctx.now.since(sent) < CALL_TIMEOUT;
        if self.platform_check.is_some_and(is_open) {
            return;
        }
        let key = Key::Daemon(ctx.me.name.clone()).path();
        let id = ctx.call_platform(Owner::Member, PlatformCall::Get { key });
        self.platform_check = Some((id, ctx.now));
    }

    /// Starts a new check even if one is in flight, whose answer may be old.
    pub fn restart_platform_check(&mut self, ctx: &mut Ctx) {
        self.platform_check = None;
        self.check_platform(ctx);
    }

    /// Handles the answer to a check; returns false if `id` is another call.
    pub fn on_platform_check(&mut self, id: PlatformId) -> bool {
        let is_check = self.platform_check.is_some_and(|(check, _)| check == id);
        if is_check {
            self.platform_check = None;
        }
        is_check
    }

    /// Handles the answer to the call in flight, `None` if it failed.
    pub fn on_answer(&mut self, ctx: &mut Ctx, id: PlatformId, answer: Option<PlatformAnswer>) {
        if self.in_flight.is_none_or(|(sent, _)| sent != id) {
            return;
        }
        self.in_flight = None;
        let Some(answer) = answer else {
            self.schedule_retry(ctx);
            return;
        };
        self.retry_delay = Span::ZERO;
        match answer {
            PlatformAnswer::Leased { ttl, .. } if ttl == Span::ZERO => self.on_lease_lost(ctx),
            PlatformAnswer::Leased { lease, .. } => self.on_lease(ctx, lease),
            PlatformAnswer::Written { revision } => self.on_written(ctx, revision),
            PlatformAnswer::Conflict { current, .. } => self.on_conflict(ctx, current),
            PlatformAnswer::Revoked => self.schedule(ctx, Step::Done, LEASE_TTL),
            PlatformAnswer::Entries { .. } => self.schedule_retry(ctx),
        }
    }

    /// Checks that the record in force is the one that this incarnation wrote.
    pub fn on_config(&mut self, ctx: &mut Ctx, entry: Option<&PlatformEntry>) {
        if self.step != Step::Renew || self.in_flight.is_some() {
            return;
        }
        let Some(entry) = entry else {
            self.on_lease_lost(ctx);
            return;
        };
        if Some(entry.revision) <= self.written {
            return;
        }
        self.take_over(ctx, entry);
    }

    /// Marks the record as leaving, to remove it after [`REVOKE_DELAY`].
    pub fn on_stop(&mut self, ctx: &mut Ctx) {
        self.leaving = true;
        let Some(revision) = self.written else {
            return;
        };
        self.in_flight = None;
        self.schedule(ctx, Step::Write(Expect::At(revision)), Span::ZERO);
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

    /// Handles a lease that was granted or renewed; a new one requires a write.
    fn on_lease(&mut self, ctx: &mut Ctx, lease: LeaseId) {
        let is_new = self.lease != Some(lease);
        self.lease = Some(lease);
        if is_new {
            let expect = self.written.map_or(Expect::Absent, Expect::At);
            self.schedule(ctx, Step::Write(expect), Span::ZERO);
        } else {
            self.schedule(ctx, Step::Renew, RENEWAL_INTERVAL);
        }
        self.advance(ctx);
    }

    fn on_written(&mut self, ctx: &mut Ctx, revision: Revision) {
        self.written = Some(revision);
        if self.leaving {
            self.schedule(ctx, Step::Revoke, REVOKE_DELAY);
        } else {
            self.schedule(ctx, Step::Renew, RENEWAL_INTERVAL);
        }
    }

    /// Handles a key that wasn't as expected.
    ///
    /// An earlier incarnation left it, it is gone, or a write whose answer was lost changed it.
    fn on_conflict(&mut self, ctx: &mut Ctx, current: Option<PlatformEntry>) {
        match current {
            None => self.schedule(ctx, Step::Write(Expect::Absent), Span::ZERO),
            Some(entry) => self.take_over(ctx, &entry),
        }
        self.advance(ctx);
    }

    /// Adopts or overwrites the stored record, or yields it to a later incarnation.
    fn take_over(&mut self, ctx: &mut Ctx, entry: &PlatformEntry) {
        let stored: Daemon = serde_json::from_str(&entry.value).unwrap_or_default();
        let own = record(ctx, self.leaving);
        if stored.incarnation > own.incarnation {
            let name = ctx.me.name.clone();
            ctx.log(
                Level::Error,
                "member.replaced",
                name,
                "a later incarnation has registered this name",
            );
            self.written = None;
            self.schedule(ctx, Step::Done, LEASE_TTL);
            return;
        }
        if stored == own && entry.lease == self.lease {
            self.on_written(ctx, entry.revision);
            return;
        }
        self.schedule(ctx, Step::Write(Expect::At(entry.revision)), Span::ZERO);
    }

    /// Restarts the registration after the lease or the record was lost.
    fn on_lease_lost(&mut self, ctx: &mut Ctx) {
        if self.leaving {
            self.schedule(ctx, Step::Done, LEASE_TTL);
            return;
        }
        self.lease = None;
        self.written = None;
        self.schedule(ctx, Step::Grant, Span::ZERO);
    }

    /// Schedules the current step again, with exponential backoff and jitter.
    fn schedule_retry(&mut self, ctx: &mut Ctx) {
        self.failures += 1;
        self.retry_delay = self
            .retry_delay
            .times(2)
            .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let jitter = Span(ctx.rng.random_range(0..=self.retry_delay.0 / 2));
        self.schedule(ctx, self.step, self.retry_delay + jitter);
    }

    fn schedule(&mut self, ctx: &mut Ctx, step: Step, delay: Span) {
        self.step = step;
        self.due = ctx.now + delay;
    }
}

/// Returns this daemon's own record.
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
