//! Duty: the lease that makes one daemon the driver of a domain's placement.
//!
//! A holder claims `duty/DOMAIN` under a lease; the claim's revision is its
//! fencing number. It relies on its own clock alone: a renewal counts from the
//! time it was sent, and the duty ends a margin before the lease can expire.

use super::{
    super::{
        config::{
            Key,
            record::{Daemon, Duty},
        },
        ctx::Ctx,
        input::{PlatformAnswer, PlatformEntry},
        keys::{
            DaemonName, DomainName, Fence, HallName, LeaseId, OperationId, Owner, PlatformId,
            RegionName,
        },
        options::Mechanism,
        output::{Expect, Level, PlatformCall},
        time::{Span, Time},
    },
    driver::CoreState,
    write,
};
use std::{cmp::Reverse, collections::BTreeMap};
use xxhash_rust::xxh3::xxh3_64;

/// Divisor of the lease that gives the margin by which a duty ends before its lease expires.
const EXPIRY_MARGIN_DIVISOR: u64 = 5;

/// Number of renewals attempted within one lease.
const RENEWALS_PER_LEASE: u64 = 4;

/// Additional delay before a claim for each rank below the first candidate.
const RANK_DELAY: Span = Span::from_millis(2_000);

/// Timeout of a platform call, in leases.
const CALL_TIMEOUT_LEASES: u64 = 1;

/// State of this daemon's attempt to hold one domain's duty.
#[derive(Clone, Debug, Default, PartialEq)]
enum State {
    #[default]
    Idle,
    Granting {
        call: PlatformId,
        sent: Time,
        expect: Expect,
    },
    Claiming {
        call: PlatformId,
        claim: Claim,
    },
    /// The answer to the claim was lost, so the key is read back.
    Reading {
        call: PlatformId,
        claim: Claim,
    },
    Held(HeldLease),
}

/// A claim on the duty's key, made under a granted lease.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Claim {
    lease: LeaseId,
    /// Time at which the lease was requested.
    granted: Time,
    sent: Time,
    operation: OperationId,
    /// State of the key that the claim requires.
    expect: Expect,
}

impl Claim {
    /// Returns the fencing number if the entry was written by this claim.
    fn fence_in(&self, entry: Option<&PlatformEntry>) -> Option<Fence> {
        let entry = entry?;
        let duty: Duty = serde_json::from_str(&entry.value).ok()?;
        (duty.operation == self.operation).then_some(Fence(entry.revision.0))
    }
}

/// The lease under which the duty is held.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HeldLease {
    lease: LeaseId,
    fence: Fence,
    /// Time at which the duty ends unless the lease is renewed.
    expires: Time,
    /// The renewal in flight, and the time at which it was sent.
    renewal: Option<(PlatformId, Time)>,
    /// Time at which the last successful renewal was sent.
    renewed: Time,
}

/// Effect of an event on a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DutyChange {
    /// The duty is held, or not held, as before.
    Unchanged,
    /// This daemon now holds the duty.
    Acquired,
    /// This daemon no longer holds the duty.
    Lost,
}

/// One domain's duty as this daemon claims, renews and loses it.
#[derive(Debug, Default)]
pub(super) struct DutyLease {
    state: State,
    vacant_since: Option<Time>,
}

/// Queries.
impl DutyLease {
    /// Returns the fencing number while the duty is held by this daemon's own clock.
    pub(super) fn fence(&self, now: Time) -> Option<Fence> {
        match &self.state {
            State::Held(held) if now < held.expires => Some(held.fence),
            _ => None,
        }
    }

    /// Returns true if this duty waits for the answer to a platform call.
    pub(super) fn waits_for(&self, id: PlatformId) -> bool {
        match &self.state {
            State::Idle => false,
            State::Granting { call, .. }
            | State::Claiming { call, .. }
            | State::Reading { call, .. } => *call == id,
            State::Held(held) => held.renewal.is_some_and(|(call, _)| call == id),
        }
    }
}

/// Commands.
impl DutyLease {
    /// Claims the duty, renews it, or abandons an expired lease or call; called periodically.
    pub(super) fn on_tick(
        &mut self,
        ctx: &mut Ctx,
        core: &CoreState,
        domain: &DomainName,
    ) -> DutyChange {
        match &self.state {
            State::Idle => {
                self.try_claim(ctx, core, domain);
                DutyChange::Unchanged
            }
            State::Granting { sent, .. } => {
                if ctx.now.since(*sent) > ctx.options.lease.times(CALL_TIMEOUT_LEASES) {
                    self.state = State::Idle;
                }
                DutyChange::Unchanged
            }
            State::Claiming { claim, .. } | State::Reading { claim, .. } => {
                if ctx.now.since(claim.granted) > ctx.options.lease.times(CALL_TIMEOUT_LEASES) {
                    self.state = State::Idle;
                }
                DutyChange::Unchanged
            }
            State::Held(held) if ctx.now >= held.expires => {
                self.mark_lost(ctx, domain, "lease expired")
            }
            State::Held(_) => {
                self.renew(ctx);
                DutyChange::Unchanged
            }
        }
    }

    /// Ends the duty, logging the reason if it was held.
    pub(super) fn mark_lost(
        &mut self,
        ctx: &mut Ctx,
        domain: &DomainName,
        reason: &str,
    ) -> DutyChange {
        let held = matches!(self.state, State::Held(_));
        self.state = State::Idle;
        self.vacant_since = None;
        if !held {
            return DutyChange::Unchanged;
        }
        ctx.log(Level::Warning, "duty.lost", domain, reason);
        DutyChange::Lost
    }

    /// Revokes the lease and ends the duty, so that another daemon can claim it at once.
    pub(super) fn release(&mut self, ctx: &mut Ctx, domain: &DomainName) {
        if let State::Held(held) = self.state {
            let lease = held.lease;
            ctx.call_platform(Owner::Group, PlatformCall::Revoke { lease });
            ctx.log(Level::Info, "duty.released", domain, "");
        }
        self.state = State::Idle;
    }

    /// Handles the answer to this duty's call; `None` means that the call failed.
    pub(super) fn on_platform(
        &mut self,
        ctx: &mut Ctx,
        domain: &DomainName,
        answer: Option<PlatformAnswer>,
    ) -> DutyChange {
        match self.state.clone() {
            State::Idle => DutyChange::Unchanged,
            State::Granting { sent, expect, .. } => {
                self.on_granted(ctx, domain, (sent, expect), answer);
                DutyChange::Unchanged
            }
            State::Claiming { claim, .. } => self.on_claimed(ctx, domain, claim, answer),
            State::Reading { claim, .. } => self.on_read(ctx, domain, claim, answer),
            State::Held(held) => self.on_renewed(ctx, domain, held, answer),
        }
    }

    fn try_claim(&mut self, ctx: &mut Ctx, core: &CoreState, domain: &DomainName) {
        if core.view.duty(domain).is_some() {
            self.vacant_since = None;
            return;
        }
        let since = *self.vacant_since.get_or_insert(ctx.now);
        let unreadable = core.view.unreadable_duty(domain);
        // The holder whose claim was overwritten may not know yet.
        let lease = unreadable.map_or(Span::ZERO, |_| ctx.options.lease);
        let delay = RANK_DELAY.times(rank(ctx, core, domain)) + lease;
        if ctx.now.since(since) < delay {
            return;
        }
        let expect = unreadable.map_or(Expect::Absent, Expect::At);
        let ttl = ctx.options.lease;
        let call = ctx.call_platform(Owner::Group, PlatformCall::Grant { ttl });
        let sent = ctx.now;
        self.state = State::Granting { call, sent, expect };
    }

    fn on_granted(
        &mut self,
        ctx: &mut Ctx,
        domain: &DomainName,
        (sent, expect): (Time, Expect),
        answer: Option<PlatformAnswer>,
    ) {
        self.state = State::Idle;
        let Some(PlatformAnswer::Leased { lease, ttl }) = answer else {
            return;
        };
        if ttl == Span::ZERO {
            return;
        }
        let claim = Claim {
            lease,
            granted: sent,
            sent: ctx.now,
            operation: ctx.new_operation_id(),
            expect,
        };
        let record = Duty {
            daemon: ctx.me.name.clone(),
            incarnation: ctx.me.incarnation,
            operation: claim.operation,
        };
        let key = Key::Duty(domain.clone());
        if let Some(call) = write::put(ctx, &key, &record, expect, Some(lease)) {
            self.state = State::Claiming { call, claim };
        }
    }

    fn on_claimed(
        &mut self,
        ctx: &mut Ctx,
        domain: &DomainName,
        claim: Claim,
        answer: Option<PlatformAnswer>,
    ) -> DutyChange {
        match answer {
            Some(PlatformAnswer::Written { revision }) => {
                self.acquire(ctx, domain, claim, Fence(revision.0))
            }
            Some(PlatformAnswer::Conflict { current, .. }) => {
                if let Some(fence) = claim.fence_in(current.as_ref()) {
                    return self.acquire(ctx, domain, claim, fence);
                }
                let lease = claim.lease;
                ctx.call_platform(Owner::Group, PlatformCall::Revoke { lease });
                self.state = State::Idle;
                DutyChange::Unchanged
            }
            _ => {
                let key = Key::Duty(domain.clone()).path();
                let call = ctx.call_platform(Owner::Group, PlatformCall::Get { key });
                self.state = State::Reading { call, claim };
                DutyChange::Unchanged
            }
        }
    }

    fn on_read(
        &mut self,
        ctx: &mut Ctx,
        domain: &DomainName,
        claim: Claim,
        answer: Option<PlatformAnswer>,
    ) -> DutyChange {
        self.state = State::Idle;
        let Some(PlatformAnswer::Entries { entries, .. }) = answer else {
            return DutyChange::Unchanged;
        };
        match claim.fence_in(entries.first()) {
            Some(fence) => self.acquire(ctx, domain, claim, fence),
            None => DutyChange::Unchanged,
        }
    }

    fn acquire(
        &mut self,
        ctx: &mut Ctx,
        domain: &DomainName,
        claim: Claim,
        fence: Fence,
    ) -> DutyChange {
        self.state = State::Held(HeldLease {
            lease: claim.lease,
            fence,
            expires: duty_end(ctx, claim.granted),
            renewal: None,
            renewed: claim.granted,
        });
        if let Expect::At(_) = claim.expect {
            let detail = "the entry before it could not be read";
            ctx.log(Level::Warning, "duty.replaced", domain, detail);
        }
        ctx.log(
            Level::Info,
            "duty.taken",
            domain,
            format!("fence {}", fence.0),
        );
        DutyChange::Acquired
    }

    fn renew(&mut self, ctx: &mut Ctx) {
        let State::Held(held) = &mut self.state else {
            return;
        };
        let interval = Span(ctx.options.lease.0 / RENEWALS_PER_LEASE);
        let in_flight = |(_, sent): (PlatformId, Time)| ctx.now.since(sent) < ctx.options.lease;
        if held.renewal.is_some_and(in_flight) || ctx.now.since(held.renewed) < interval {
            return;
        }
        let lease = held.lease;
        let call = ctx.call_platform(Owner::Group, PlatformCall::KeepAlive { lease });
        held.renewal = Some((call, ctx.now));
    }

    fn on_renewed(
        &mut self,
        ctx: &mut Ctx,
        domain: &DomainName,
        mut held: HeldLease,
        answer: Option<PlatformAnswer>,
    ) -> DutyChange {
        let Some((_, sent)) = held.renewal.take() else {
            return DutyChange::Unchanged;
        };
        match answer {
            Some(PlatformAnswer::Leased { ttl, .. }) if ttl > Span::ZERO => {
                held.expires = duty_end(ctx, sent);
                held.renewed = sent;
            }
            Some(_) => return self.mark_lost(ctx, domain, "lease no longer exists"),
            None => {}
        }
        self.state = State::Held(held);
        DutyChange::Unchanged
    }
}

/// Returns the time at which a duty ends whose lease was renewed by a call sent at `sent`.
fn duty_end(ctx: &Ctx, sent: Time) -> Time {
    let lease = ctx.options.lease;
    if !ctx.options.is_enabled(Mechanism::DutyMargin) {
        return ctx.now + lease;
    }
    sent + (lease - Span(lease.0 / EXPIRY_MARGIN_DIVISOR))
}

/// Returns this daemon's rank among the live candidates for a domain, zero for the first.
///
/// Daemons of the domain's own hall rank first, then those of its region;
/// rendezvous hashing spreads the domains among daemons that are otherwise equal.
fn rank(ctx: &Ctx, core: &CoreState, domain: &DomainName) -> u64 {
    let CoreState {
        view,
        hosts,
        members,
        ..
    } = core;
    let hall = hosts.in_domain(domain).next().map(|h| &h.entry.hall);
    let daemons = view.daemons().map(|d| &d.record);
    let region = daemons
        .filter(|d| Some(&d.hall) == hall)
        .map(|d| &d.region)
        .next();
    let score = |name: &DaemonName, other_hall: &HallName, other_region: &RegionName| {
        let text = format!("{domain}\n{name}");
        let score = xxh3_64(text.as_bytes());
        (
            Some(other_hall) == hall,
            Some(other_region) == region,
            score,
            Reverse(name.clone()),
        )
    };
    let own_score = score(&ctx.me.name, &ctx.me.hall, &ctx.me.region);
    let records: BTreeMap<&DaemonName, &Daemon> = view
        .daemons()
        .map(|d| (&d.record.name, &d.record))
        .collect();
    let unknown = Daemon::default();
    let ahead = members.live().filter(|(name, _)| {
        let record = records.get(name).copied().unwrap_or(&unknown);
        score(name, &record.hall, &record.region) > own_score
    });
    ahead.count() as u64
}
