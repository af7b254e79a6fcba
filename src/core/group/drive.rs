//! Driving one domain: from its record to orders, and from answers to the
//! next record.
//!
//! The record is changed only by compare-and-swap on the revision last read
//! or written. A write whose answer was lost is settled by reading the record
//! again: whatever stands there is the basis of the next plan.

use super::{
    super::{
        config::{Key, View, record::Placement},
        ctx::Ctx,
        input::{PlatformAnswer, PlatformEntry},
        keys::{DomainName, Fence, Owner, PlatformId, Revision},
        member::{Hosts, Members},
        options::Mechanism,
        output::{Expect, Level, PlatformCall},
        request::Requests,
        time::Time,
        timer::Timer,
    },
    GroupTimer, SOON,
    budget::{self, Share},
    check,
    drain::Drains,
    forget::Forgets,
    order::{ORDER_TIMEOUT, OrderTally, Round, Runners},
    picture, plan,
    relocate::Lacks,
    serving::Serving,
    stability::Stability,
    write,
};

/// The other parts.
#[derive(Clone, Copy)]
pub(super) struct Site<'a> {
    pub(super) view: &'a View,
    pub(super) hosts: &'a Hosts,
    pub(super) members: &'a Members,
    pub(super) requests: &'a Requests,
}

/// What a domain is driven by.
#[derive(Clone, Copy)]
pub(super) struct World<'a> {
    pub(super) site: Site<'a>,
    pub(super) serving: &'a Serving,
    /// When the wanted versions last changed.
    pub(super) steered: Time,
}

/// A record and where it stands at the platform's service.
#[derive(Clone, Debug)]
pub(super) struct Basis {
    pub(super) record: Placement,
    /// Zero if the record is not there yet.
    pub(super) revision: Revision,
}

/// A platform call under way.
#[derive(Debug)]
enum Call {
    Read,
    Write(Box<Placement>),
}

/// What was counted of records.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecordTally {
    pub(super) written: u64,
    pub(super) conflicts: u64,
    pub(super) unanswered: u64,
    pub(super) refused: u64,
}

/// What was counted while driving.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    pub(super) orders: OrderTally,
    pub(super) records: RecordTally,
}

/// One domain driven by this daemon.
#[derive(Debug)]
pub(super) struct Driver {
    domain: DomainName,
    fence: Fence,
    basis: Option<Basis>,
    call: Option<(PlatformId, Time, Call)>,
    /// Orders that an earlier holder sent may take effect until then.
    quiet: Option<Time>,
    taken: Time,
    pub(super) runners: Runners,
    pub(super) drains: Drains,
    pub(super) steadiness: Stability,
    lacks: Lacks,
    forgets: Forgets,
    share: Share,
    rate: f64,
}

/// Queries.
impl Driver {
    pub(super) fn domain(&self) -> &DomainName {
        &self.domain
    }

    pub(super) fn fence(&self) -> Fence {
        self.fence
    }

    /// Gigabytes a second that the domain may load, as last worked out.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    pub(super) fn waits_for(&self, id: PlatformId) -> bool {
        self.call.as_ref().is_some_and(|(call, _, _)| *call == id)
    }

    /// Whether an order or a write of this driver may still take effect.
    pub(super) fn busy(&self, now: Time) -> bool {
        self.call.is_some() || self.runners.busy(now)
    }
}

/// Commands.
impl Driver {
    pub(super) fn new(now: Time, domain: DomainName, fence: Fence) -> Self {
        Self {
            domain,
            fence,
            basis: None,
            call: None,
            quiet: None,
            taken: now,
            runners: Runners::default(),
            drains: Drains::default(),
            steadiness: Stability::default(),
            lacks: Lacks::default(),
            forgets: Forgets::default(),
            share: Share::default(),
            rate: 0.0,
        }
    }

    /// Goes on with the domain's placement. The duty must be held right now.
    pub(super) fn on_tick(&mut self, ctx: &mut Ctx, world: &World, tally: &mut Tally) {
        let Site { view, hosts, .. } = world.site;
        self.expire_call(ctx);
        if self.call.is_some() {
            return;
        }
        let Some(basis) = &self.basis else {
            self.read(ctx);
            return;
        };
        let quiet = self.quiet.is_some_and(|until| ctx.now < until);
        self.rate = self.share.rate(ctx, view, &basis.record);
        let weights = budget::weights(view);
        let round = Round {
            domain: &self.domain,
            record: &basis.record,
            hosts,
            fence: self.fence,
            orders: !quiet,
            weights: &weights,
            rate: self.rate,
        };
        let soon = self.runners.on_round(ctx, &round, &mut tally.orders);
        if let Some(soon) = soon {
            let timer = GroupTimer::Plan(self.domain.clone());
            ctx.timer(Timer::Group(timer), soon.max(SOON));
        }
        let over = picture::over(&basis.record);
        self.drains
            .on_round(ctx, world, &self.domain, basis.revision, &over);
        self.steadiness.on_round(ctx.now, hosts, &self.domain);
        if quiet {
            return;
        }
        self.forgets.on_round(ctx, view, &basis.record);
        self.lacks.on_round(ctx, view, hosts, &basis.record);
        if check::engines(hosts, &self.domain).next().is_none() {
            return;
        }
        let picture = picture::draw(ctx, world, self, basis);
        let next = plan::next(&basis.record, &picture);
        if next != basis.record {
            self.write(ctx, hosts, next, tally);
        }
    }

    /// Takes a record that the watch has brought.
    pub(super) fn on_record(&mut self, record: &Placement, revision: Revision) {
        if let Some(basis) = &mut self.basis
            && basis.revision < revision
            && self.call.is_none()
        {
            basis.record = record.clone();
            basis.revision = revision;
        }
    }

    /// Takes the answer to this driver's call; gives a fencing number above its own.
    pub(super) fn on_platform(
        &mut self,
        ctx: &mut Ctx,
        answer: Option<PlatformAnswer>,
        tally: &mut RecordTally,
    ) -> Option<Fence> {
        let (_, _, call) = self.call.take()?;
        match (call, answer) {
            (Call::Read, Some(PlatformAnswer::Entries { entries, .. })) => {
                let first = self.basis.is_none();
                self.adopt(ctx, entries.first());
                if first {
                    self.settle(ctx);
                }
            }
            (Call::Write(record), Some(PlatformAnswer::Written { revision })) => {
                tally.written += 1;
                self.basis = Some(Basis {
                    record: *record,
                    revision,
                });
            }
            (Call::Write(_), Some(PlatformAnswer::Conflict { current, .. })) => {
                tally.conflicts += 1;
                self.adopt(ctx, current.as_ref());
            }
            (Call::Write(_), _) => {
                tally.unanswered += 1;
                self.read(ctx);
            }
            (Call::Read, _) => {}
        }
        let held = self.basis.as_ref()?.record.fence;
        (held > self.fence).then_some(held)
    }

    /// Lets orders of an earlier holder run out before the first one of ours.
    fn settle(&mut self, ctx: &Ctx) {
        let fresh = self.basis.as_ref().is_some_and(|b| b.revision.0 == 0);
        if !fresh {
            self.quiet = Some(ctx.now.max(self.taken) + ORDER_TIMEOUT);
        }
    }

    fn adopt(&mut self, ctx: &mut Ctx, entry: Option<&PlatformEntry>) {
        let Some(entry) = entry else {
            let record = Placement {
                domain: self.domain.clone(),
                ..Placement::default()
            };
            let revision = Revision::default();
            self.basis = Some(Basis { record, revision });
            return;
        };
        match serde_json::from_str(&entry.value) {
            Ok(record) => {
                let revision = entry.revision;
                self.basis = Some(Basis { record, revision });
            }
            Err(error) => {
                self.basis = None;
                ctx.log(
                    Level::Error,
                    "placement.unreadable",
                    &self.domain,
                    error.to_string(),
                );
            }
        }
    }

    /// Gives up on a call that has had no answer.
    fn expire_call(&mut self, ctx: &mut Ctx) {
        let Some((_, sent, call)) = &self.call else {
            return;
        };
        if ctx.now.since(*sent) < ctx.options.lease {
            return;
        }
        let wrote = matches!(call, Call::Write(_));
        self.call = None;
        if wrote {
            self.read(ctx);
        }
    }

    fn read(&mut self, ctx: &mut Ctx) {
        let key = Key::Placement(self.domain.clone()).path();
        let id = ctx.platform(Owner::Group, PlatformCall::Get { key });
        self.call = Some((id, ctx.now, Call::Read));
    }

    fn write(&mut self, ctx: &mut Ctx, hosts: &Hosts, mut next: Placement, tally: &mut Tally) {
        let Some(basis) = &self.basis else {
            return;
        };
        if ctx.options.has(Mechanism::OneGroupPerHost) {
            let stranger = check::stranger(&next, hosts)
                .map(|host| format!("host {host} is of another domain"));
            let fault = check::placement(&next).err().or(stranger);
            if let Some(reason) = fault {
                tally.records.refused += 1;
                ctx.log(Level::Error, "placement.refused", &self.domain, reason);
                return;
            }
        }
        next.fence = self.fence;
        next.operation = ctx.operation();
        let expect = match basis.revision {
            Revision(0) => Expect::Absent,
            revision => Expect::At(revision),
        };
        let key = Key::Placement(self.domain.clone());
        if let Some(id) = write::put(ctx, &key, &next, expect, None) {
            self.call = Some((id, ctx.now, Call::Write(Box::new(next))));
        }
    }
}
