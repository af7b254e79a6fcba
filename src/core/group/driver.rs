//! The driver of one domain: turns its placement record into orders, and what
//! the runners answer into the next record.
//!
//! The record is changed only by compare-and-swap on the revision last read
//! or written. If the answer to a write was lost, the record is read again,
//! and the next plan starts from what was read.

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
    BATCH_DELAY, GroupTimer, check,
    drain::Drains,
    load_rate::{self, RateShare},
    order::{ORDER_TIMEOUT, OrderCounters, OrderInputs, Runners},
    plan,
    purge::DeletedGroups,
    relocate::Shortages,
    serving::ServingGroups,
    snapshot,
    stability::Stability,
    write,
};

/// Read access to the other parts of the core.
#[derive(Clone, Copy)]
pub(super) struct CoreState<'a> {
    pub(super) view: &'a View,
    pub(super) hosts: &'a Hosts,
    pub(super) members: &'a Members,
    pub(super) requests: &'a Requests,
}

/// State that a driver reads in a pass.
#[derive(Clone, Copy)]
pub(super) struct DriverInputs<'a> {
    pub(super) core: CoreState<'a>,
    pub(super) serving: &'a ServingGroups,
    /// Time of the last change to a group, model or upgrade, any of which may change versions.
    pub(super) versions_changed: Time,
}

/// A placement record and its revision in the platform's store.
#[derive(Clone, Debug)]
pub(super) struct StoredPlacement {
    pub(super) record: Placement,
    /// Zero if the record does not exist yet.
    pub(super) revision: Revision,
}

/// A platform call in flight.
#[derive(Debug)]
enum PendingCall {
    Read,
    Write(Box<Placement>),
}

/// Counters of placement writes, for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecordCounters {
    pub(super) written: u64,
    pub(super) conflicts: u64,
    pub(super) unanswered: u64,
    pub(super) refused: u64,
}

/// Counters of all drivers of this daemon, for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    pub(super) orders: OrderCounters,
    pub(super) records: RecordCounters,
}

/// One domain driven by this daemon.
#[derive(Debug)]
pub(super) struct Driver {
    domain: DomainName,
    fence: Fence,
    stored: Option<StoredPlacement>,
    call: Option<(PlatformId, Time, PendingCall)>,
    /// End of the quiet period, in which orders of an earlier holder may still take effect.
    quiet_until: Option<Time>,
    /// Time at which the duty was acquired.
    acquired: Time,
    pub(super) runners: Runners,
    pub(super) drains: Drains,
    pub(super) stability: Stability,
    shortages: Shortages,
    deleted_groups: DeletedGroups,
    rate_share: RateShare,
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

    /// Returns the rate at which the domain may load, in gigabytes per second, as of the last pass.
    pub(super) fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns true if this driver waits for the answer to a platform call.
    pub(super) fn waits_for(&self, id: PlatformId) -> bool {
        self.call.as_ref().is_some_and(|(call, _, _)| *call == id)
    }

    /// Returns true if an order or a write of this driver may still take effect.
    pub(super) fn is_busy(&self, now: Time) -> bool {
        self.call.is_some() || self.runners.is_busy(now)
    }
}

/// Commands.
impl Driver {
    pub(super) fn new(now: Time, domain: DomainName, fence: Fence) -> Self {
        Self {
            domain,
            fence,
            stored: None,
            call: None,
            quiet_until: None,
            acquired: now,
            runners: Runners::default(),
            drains: Drains::default(),
            stability: Stability::default(),
            shortages: Shortages::default(),
            deleted_groups: DeletedGroups::default(),
            rate_share: RateShare::default(),
            rate: 0.0,
        }
    }

    /// Runs a planning pass: polls and orders runners, then plans and writes the next record.
    ///
    /// The duty must be held at this moment.
    pub(super) fn on_tick(
        &mut self,
        ctx: &mut Ctx,
        inputs: &DriverInputs,
        counters: &mut Counters,
    ) {
        let CoreState { view, hosts, .. } = inputs.core;
        self.expire_call(ctx);
        if self.call.is_some() {
            return;
        }
        let Some(stored) = &self.stored else {
            self.read(ctx);
            return;
        };
        let quiet = self.quiet_until.is_some_and(|until| ctx.now < until);
        self.rate = self.rate_share.rate(ctx, view, &stored.record);
        let load_sizes = load_rate::load_sizes(view);
        let order_inputs = OrderInputs {
            domain: &self.domain,
            record: &stored.record,
            hosts,
            fence: self.fence,
            send_orders: !quiet,
            load_sizes: &load_sizes,
            rate: self.rate,
        };
        let wait = self
            .runners
            .on_tick(ctx, &order_inputs, &mut counters.orders);
        if let Some(wait) = wait {
            let timer = GroupTimer::Plan(self.domain.clone());
            ctx.set_timer(Timer::Group(timer), wait.max(BATCH_DELAY));
        }
        let ended = snapshot::ended_placements(&stored.record);
        self.drains
            .on_tick(ctx, inputs, &self.domain, stored.revision, &ended);
        self.stability.on_tick(ctx.now, hosts, &self.domain);
        if quiet {
            return;
        }
        self.deleted_groups.on_tick(ctx, view, &stored.record);
        self.shortages.on_tick(ctx, view, hosts, &stored.record);
        if check::engine_hosts(hosts, &self.domain).next().is_none() {
            return;
        }
        let snapshot = snapshot::build(ctx, inputs, self, stored);
        let next = plan::next(&stored.record, &snapshot);
        if next != stored.record {
            self.write(ctx, hosts, next, counters);
        }
    }

    /// Handles a record delivered by the watch.
    pub(super) fn on_record(&mut self, record: &Placement, revision: Revision) {
        if let Some(stored) = &mut self.stored
            && stored.revision < revision
            && self.call.is_none()
        {
            stored.record = record.clone();
            stored.revision = revision;
        }
    }

    /// Handles the answer to this driver's call; returns the record's fencing number if it is
    /// above this driver's own.
    pub(super) fn on_platform(
        &mut self,
        ctx: &mut Ctx,
        answer: Option<PlatformAnswer>,
        counters: &mut RecordCounters,
    ) -> Option<Fence> {
        let (_, _, call) = self.call.take()?;
        match (call, answer) {
            (PendingCall::Read, Some(PlatformAnswer::Entries { entries, .. })) => {
                let first = self.stored.is_none();
                self.adopt(ctx, entries.first());
                if first {
                    self.start_quiet_period(ctx);
                }
            }
            (PendingCall::Write(record), Some(PlatformAnswer::Written { revision })) => {
                counters.written += 1;
                self.stored = Some(StoredPlacement {
                    record: *record,
                    revision,
                });
            }
            (PendingCall::Write(_), Some(PlatformAnswer::Conflict { current, .. })) => {
                counters.conflicts += 1;
                self.adopt(ctx, current.as_ref());
            }
            (PendingCall::Write(_), _) => {
                counters.unanswered += 1;
                self.read(ctx);
            }
            (PendingCall::Read, _) => {}
        }
        let fence = self.stored.as_ref()?.record.fence;
        (fence > self.fence).then_some(fence)
    }

    /// Starts the quiet period, so that orders of an earlier holder expire before this driver
    /// sends its first.
    fn start_quiet_period(&mut self, ctx: &Ctx) {
        let is_new = self.stored.as_ref().is_some_and(|s| s.revision.0 == 0);
        if !is_new {
            self.quiet_until = Some(ctx.now.max(self.acquired) + ORDER_TIMEOUT);
        }
    }

    /// Makes a stored entry, or an empty record if there is none, the current record.
    fn adopt(&mut self, ctx: &mut Ctx, entry: Option<&PlatformEntry>) {
        let Some(entry) = entry else {
            let record = Placement {
                domain: self.domain.clone(),
                ..Placement::default()
            };
            let revision = Revision::default();
            self.stored = Some(StoredPlacement { record, revision });
            return;
        };
        match serde_json::from_str(&entry.value) {
            Ok(record) => {
                let revision = entry.revision;
                self.stored = Some(StoredPlacement { record, revision });
            }
            Err(error) => {
                self.stored = None;
                ctx.log(
                    Level::Error,
                    "placement.unreadable",
                    &self.domain,
                    error.to_string(),
                );
            }
        }
    }

    /// Abandons a call that has not been answered within a lease.
    fn expire_call(&mut self, ctx: &mut Ctx) {
        let Some((_, sent, call)) = &self.call else {
            return;
        };
        if ctx.now.since(*sent) < ctx.options.lease {
            return;
        }
        let wrote = matches!(call, PendingCall::Write(_));
        self.call = None;
        if wrote {
            self.read(ctx);
        }
    }

    fn read(&mut self, ctx: &mut Ctx) {
        let key = Key::Placement(self.domain.clone()).path();
        let id = ctx.call_platform(Owner::Group, PlatformCall::Get { key });
        self.call = Some((id, ctx.now, PendingCall::Read));
    }

    fn write(
        &mut self,
        ctx: &mut Ctx,
        hosts: &Hosts,
        mut next: Placement,
        counters: &mut Counters,
    ) {
        let Some(stored) = &self.stored else {
            return;
        };
        if ctx.options.is_enabled(Mechanism::OneGroupPerHost) {
            let foreign_host = check::foreign_host(&next, hosts)
                .map(|host| format!("host {host} belongs to another domain"));
            let fault = check::placement(&next).err().or(foreign_host);
            if let Some(reason) = fault {
                counters.records.refused += 1;
                ctx.log(Level::Error, "placement.refused", &self.domain, reason);
                return;
            }
        }
        next.fence = self.fence;
        next.operation = ctx.new_operation_id();
        let expect = match stored.revision {
            Revision(0) => Expect::Absent,
            revision => Expect::At(revision),
        };
        let key = Key::Placement(self.domain.clone());
        if let Some(id) = write::put(ctx, &key, &next, expect, None) {
            self.call = Some((id, ctx.now, PendingCall::Write(Box::new(next))));
        }
    }
}
