//! Duty: the one daemon that drives a domain's placement.
//!
//! A holder claims `duty/DOMAIN` under a lease; the claim's revision is its
//! fencing number. It trusts its own clock alone: a renewal counts from when
//! it was sent, and the duty ends a margin before the lease can.

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
    drive::Site,
    write,
};
use std::{cmp::Reverse, collections::BTreeMap};
use xxhash_rust::xxh3::xxh3_64;

/// The part of a lease that a holder leaves unused, as a divisor.
const MARGIN_PART: u64 = 5;

/// Renewals tried within one lease.
const RENEWALS: u64 = 4;

/// How much longer each next candidate waits before it claims.
const RANK_DELAY: Span = Span::from_millis(2_000);

/// How long a platform call may stay unanswered, in leases.
const CALL_LEASES: u64 = 1;

/// How far a daemon is with one domain's duty.
#[derive(Clone, Debug, Default, PartialEq)]
enum State {
    #[default]
    Idle,
    Granting {
        call: PlatformId,
        sent: Time,
    },
    Claiming {
        call: PlatformId,
        claim: Claim,
    },
    /// The claim's answer was lost: the key is read back.
    Reading {
        call: PlatformId,
        claim: Claim,
    },
    Held(Tenure),
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Claim {
    lease: LeaseId,
    granted: Time,
    sent: Time,
    operation: OperationId,
}

impl Claim {
    /// The fencing number, if the entry holds this claim.
    fn won(&self, entry: Option<&PlatformEntry>) -> Option<Fence> {
        let entry = entry?;
        let duty: Duty = serde_json::from_str(&entry.value).ok()?;
        (duty.operation == self.operation).then_some(Fence(entry.revision.0))
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Tenure {
    lease: LeaseId,
    fence: Fence,
    until: Time,
    renewal: Option<(PlatformId, Time)>,
    renewed: Time,
}

/// What has become of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// Nothing has changed.
    Same,
    /// The duty begins.
    Taken,
    /// The duty has ended.
    Lost,
}

/// One domain's duty, from this daemon's side.
#[derive(Debug, Default)]
pub(super) struct Claimant {
    state: State,
    vacant: Option<Time>,
}

/// Queries.
impl Claimant {
    /// The fencing number, while the duty is held by this daemon's own clock.
    pub(super) fn fence(&self, now: Time) -> Option<Fence> {
        match &self.state {
            State::Held(tenure) if now < tenure.until => Some(tenure.fence),
            _ => None,
        }
    }

    /// Whether a platform call is this duty's.
    pub(super) fn waits_for(&self, id: PlatformId) -> bool {
        match &self.state {
            State::Idle => false,
            State::Granting { call, .. }
            | State::Claiming { call, .. }
            | State::Reading { call, .. } => *call == id,
            State::Held(tenure) => tenure.renewal.is_some_and(|(call, _)| call == id),
        }
    }
}

/// Commands.
impl Claimant {
    /// Claims, renews or gives up; called again and again.
    pub(super) fn on_tick(&mut self, ctx: &mut Ctx, site: &Site, domain: &DomainName) -> Turn {
        match &self.state {
            State::Idle => {
                self.seek(ctx, site, domain);
                Turn::Same
            }
            State::Granting { sent, .. } => {
                if ctx.now.since(*sent) > ctx.options.lease.times(CALL_LEASES) {
                    self.state = State::Idle;
                }
                Turn::Same
            }
            State::Claiming { claim, .. } | State::Reading { claim, .. } => {
                if ctx.now.since(claim.granted) > ctx.options.lease.times(CALL_LEASES) {
                    self.state = State::Idle;
                }
                Turn::Same
            }
            State::Held(tenure) if ctx.now >= tenure.until => {
                self.lose(ctx, domain, "lease has run out")
            }
            State::Held(_) => {
                self.renew(ctx);
                Turn::Same
            }
        }
    }

    /// Ends the duty on evidence that another daemon has it.
    pub(super) fn lose(&mut self, ctx: &mut Ctx, domain: &DomainName, reason: &str) -> Turn {
        let held = matches!(self.state, State::Held(_));
        self.state = State::Idle;
        self.vacant = None;
        if !held {
            return Turn::Same;
        }
        ctx.log(Level::Warning, "duty.lost", domain, reason);
        Turn::Lost
    }

    /// Ends the duty at the platform's service, so that another may claim at once.
    pub(super) fn release(&mut self, ctx: &mut Ctx, domain: &DomainName) {
        if let State::Held(tenure) = self.state {
            let lease = tenure.lease;
            ctx.platform(Owner::Group, PlatformCall::Revoke { lease });
            ctx.log(Level::Info, "duty.released", domain, "");
        }
        self.state = State::Idle;
    }

    /// Takes the answer to this duty's call; nothing means that it failed.
    pub(super) fn on_platform(
        &mut self,
        ctx: &mut Ctx,
        domain: &DomainName,
        answer: Option<PlatformAnswer>,
    ) -> Turn {
        match self.state.clone() {
            State::Idle => Turn::Same,
            State::Granting { sent, .. } => {
                self.on_granted(ctx, domain, sent, answer);
                Turn::Same
            }
            State::Claiming { claim, .. } => self.on_claimed(ctx, domain, claim, answer),
            State::Reading { claim, .. } => self.on_read(ctx, domain, claim, answer),
            State::Held(tenure) => self.on_renewed(ctx, domain, tenure, answer),
        }
    }

    fn seek(&mut self, ctx: &mut Ctx, site: &Site, domain: &DomainName) {
        if site.view.duty(domain).is_some() {
            self.vacant = None;
            return;
        }
        let since = *self.vacant.get_or_insert(ctx.now);
        let rank = rank(ctx, site, domain);
        if ctx.now.since(since) < RANK_DELAY.times(rank) {
            return;
        }
        let ttl = ctx.options.lease;
        let call = ctx.platform(Owner::Group, PlatformCall::Grant { ttl });
        let sent = ctx.now;
        self.state = State::Granting { call, sent };
    }

    fn on_granted(
        &mut self,
        ctx: &mut Ctx,
        domain: &DomainName,
        sent: Time,
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
            operation: ctx.operation(),
        };
        let record = Duty {
            daemon: ctx.me.name.clone(),
            incarnation: ctx.me.incarnation,
            operation: claim.operation,
        };
        let key = Key::Duty(domain.clone());
        if let Some(call) = write::put(ctx, &key, &record, Expect::Absent, Some(lease)) {
            self.state = State::Claiming { call, claim };
        }
    }

    fn on_claimed(
        &mut self,
        ctx: &mut Ctx,
        domain: &DomainName,
        claim: Claim,
        answer: Option<PlatformAnswer>,
    ) -> Turn {
        match answer {
            Some(PlatformAnswer::Written { revision }) => {
                self.take(ctx, domain, claim, Fence(revision.0))
            }
            Some(PlatformAnswer::Conflict { current, .. }) => {
                if let Some(fence) = claim.won(current.as_ref()) {
                    return self.take(ctx, domain, claim, fence);
                }
                let lease = claim.lease;
                ctx.platform(Owner::Group, PlatformCall::Revoke { lease });
                self.state = State::Idle;
                Turn::Same
            }
            _ => {
                let key = Key::Duty(domain.clone()).path();
                let call = ctx.platform(Owner::Group, PlatformCall::Get { key });
                self.state = State::Reading { call, claim };
                Turn::Same
            }
        }
    }

    fn on_read(
        &mut self,
        ctx: &mut Ctx,
        domain: &DomainName,
        claim: Claim,
        answer: Option<PlatformAnswer>,
    ) -> Turn {
        self.state = State::Idle;
        let Some(PlatformAnswer::Entries { entries, .. }) = answer else {
            return Turn::Same;
        };
        match claim.won(entries.first()) {
            Some(fence) => self.take(ctx, domain, claim, fence),
            None => Turn::Same,
        }
    }

    fn take(&mut self, ctx: &mut Ctx, domain: &DomainName, claim: Claim, fence: Fence) -> Turn {
        self.state = State::Held(Tenure {
            lease: claim.lease,
            fence,
            until: end_of(ctx, claim.granted),
            renewal: None,
            renewed: claim.granted,
        });
        ctx.log(
            Level::Info,
            "duty.taken",
            domain,
            format!("fence {}", fence.0),
        );
        Turn::Taken
    }

    fn renew(&mut self, ctx: &mut Ctx) {
        let State::Held(tenure) = &mut self.state else {
            return;
        };
        let period = Span(ctx.options.lease.0 / RENEWALS);
        let waits = |(_, sent): (PlatformId, Time)| ctx.now.since(sent) < ctx.options.lease;
        if tenure.renewal.is_some_and(waits) || ctx.now.since(tenure.renewed) < period {
            return;
        }
        let lease = tenure.lease;
        let call = ctx.platform(Owner::Group, PlatformCall::KeepAlive { lease });
        tenure.renewal = Some((call, ctx.now));
    }

    fn on_renewed(
        &mut self,
        ctx: &mut Ctx,
        domain: &DomainName,
        mut tenure: Tenure,
        answer: Option<PlatformAnswer>,
    ) -> Turn {
        let Some((_, sent)) = tenure.renewal.take() else {
            return Turn::Same;
        };
        match answer {
            Some(PlatformAnswer::Leased { ttl, .. }) if ttl > Span::ZERO => {
                tenure.until = end_of(ctx, sent);
                tenure.renewed = sent;
            }
            Some(_) => return self.lose(ctx, domain, "lease is gone"),
            None => {}
        }
        self.state = State::Held(tenure);
        Turn::Same
    }
}

/// When a duty renewed by a call sent at `sent` ends.
fn end_of(ctx: &Ctx, sent: Time) -> Time {
    let lease = ctx.options.lease;
    if !ctx.options.has(Mechanism::DutyMargin) {
        return ctx.now + lease;
    }
    sent + (lease - Span(lease.0 / MARGIN_PART))
}

/// This daemon's place among the live candidates for a domain, zero for the first.
///
/// Daemons of the domain's own hall come first, then those of its region;
/// among equals rendezvous hashing spreads the domains.
fn rank(ctx: &Ctx, site: &Site, domain: &DomainName) -> u64 {
    let Site {
        view,
        hosts,
        members,
        ..
    } = site;
    let hall = hosts.in_domain(domain).next().map(|h| &h.entry.hall);
    let near = view.daemons().map(|d| &d.record);
    let region = near
        .filter(|d| Some(&d.hall) == hall)
        .map(|d| &d.region)
        .next();
    let score = |name: &DaemonName, its_hall: &HallName, its_region: &RegionName| {
        let text = format!("{domain}\n{name}");
        let score = xxh3_64(text.as_bytes());
        (
            Some(its_hall) == hall,
            Some(its_region) == region,
            score,
            Reverse(name.clone()),
        )
    };
    let mine = score(&ctx.me.name, &ctx.me.hall, &ctx.me.region);
    let places: BTreeMap<&DaemonName, &Daemon> = view
        .daemons()
        .map(|d| (&d.record.name, &d.record))
        .collect();
    let nowhere = Daemon::default();
    let ahead = members.live().filter(|(name, _)| {
        let place = places.get(name).copied().unwrap_or(&nowhere);
        score(name, &place.hall, &place.region) > mine
    });
    ahead.count() as u64
}
