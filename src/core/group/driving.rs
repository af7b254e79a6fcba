//! The domains that a daemon drives, and their duties.

use super::{
    super::{
        config::View,
        ctx::Ctx,
        keys::DomainName,
        time::{Span, Time},
        timer::Timer,
    },
    GroupTimer, Groups,
    domain::Domain,
    driver::{CoreState, Driver, DriverInputs},
    duty::DutyChange,
    upgrade,
};
use std::collections::BTreeSet;

/// Interval at which a stopping daemon checks for orders and writes that are still in flight.
const STOP_INTERVAL: Span = Span::from_millis(100);

/// Interval between the writes that complete an upgrade, so that one is seen before the next.
const FINISH_INTERVAL: Span = Span::from_secs(2);

impl Groups {
    /// Passes a new placement record to the driver of its domain.
    pub(super) fn on_placement(&mut self, view: &View, domain: &DomainName) {
        let driver = self.domains.get_mut(domain).and_then(|d| d.driver.as_mut());
        if let (Some(driver), Some(placement)) = (driver, view.placement(domain)) {
            driver.on_record(&placement.record, placement.revision);
        }
    }

    /// Ends a duty whose claim was replaced at a later revision, by another daemon's or by what can't
    /// be read.
    pub(super) fn on_duty(&mut self, ctx: &mut Ctx, view: &View, name: &DomainName) {
        let claimed = view.duty(name).map(|duty| duty.revision);
        let Some(revision) = claimed.or_else(|| view.unreadable_duty(name)) else {
            return;
        };
        let Some(domain) = self.domains.get_mut(name) else {
            return;
        };
        let own_fence = domain.driver.as_ref().map(Driver::fence);
        if own_fence.is_some_and(|fence| revision.0 > fence.0) {
            let reason = match claimed {
                Some(_) => "another daemon claimed the duty",
                None => "the claim can't be read",
            };
            let change = domain.duty.mark_lost(ctx, name, reason);
            domain.on_duty_change(ctx, name, change);
            self.duties_lost += 1;
        }
    }

    /// Adds domains that need a duty holder, and removes those that no longer do.
    pub(super) fn update_domains(&mut self, view: &View) {
        let wanted = view.groups().map(|v| &v.record.domain);
        let placed = view.placements().map(|v| &v.record);
        let placed = placed
            .filter(|p| !p.groups.is_empty() || !p.retiring.is_empty())
            .map(|p| &p.domain);
        let needed: BTreeSet<&DomainName> = wanted.chain(placed).collect();
        self.domains
            .retain(|name, domain| needed.contains(name) || domain.driver.is_some());
        for name in needed {
            if !self.domains.contains_key(name) {
                self.domains.insert(name.clone(), Domain::default());
            }
        }
    }

    /// Claims or renews a domain's duty, or ends it.
    pub(super) fn update_duty(&mut self, ctx: &mut Ctx, core: &CoreState, name: &DomainName) {
        let Some(domain) = self.domains.get_mut(name) else {
            return;
        };
        let change = domain.duty.on_tick(ctx, core, name);
        domain.on_duty_change(ctx, name, change);
        self.duties_lost += u64::from(change == DutyChange::Lost);
    }

    /// Runs a planning pass over a domain, if the duty is still held at this moment.
    pub(super) fn drive(&mut self, ctx: &mut Ctx, core: &CoreState, name: &DomainName) {
        let Some(domain) = self.domains.get_mut(name) else {
            return;
        };
        let Some(driver) = &mut domain.driver else {
            return;
        };
        if self.stopping || domain.duty.fence(ctx.now).is_none() {
            return;
        }
        let inputs = DriverInputs {
            core: *core,
            serving: &self.serving,
            versions_changed: self.versions_changed,
        };
        driver.on_tick(ctx, &inputs, &mut self.counters);
    }

    /// Writes the completion of an upgrade.
    ///
    /// Only the duty holder of the last domain by name does so, because that domain is upgraded
    /// last.
    pub(super) fn finish_upgrade(&mut self, ctx: &mut Ctx, view: &View) {
        let last = view.placements().last().map(|v| &v.record.domain);
        if !last.is_some_and(|name| self.holds_duty(name, ctx.now)) {
            return;
        }
        let recent = |at: Time| ctx.now.since(at) < FINISH_INTERVAL;
        if self.finish_sent.is_some_and(recent) {
            return;
        }
        if upgrade::finish(ctx, view) {
            self.finish_sent = Some(ctx.now);
        }
    }

    /// Releases each duty once none of its orders and writes is in flight.
    pub(super) fn release_duties(&mut self, ctx: &mut Ctx) {
        let mut in_flight = false;
        for (name, domain) in &mut self.domains {
            if domain.driver.as_ref().is_some_and(|d| d.is_busy(ctx.now)) {
                in_flight = true;
                continue;
            }
            domain.duty.release(ctx, name);
            domain.driver = None;
        }
        if in_flight {
            ctx.set_timer(Timer::Group(GroupTimer::Duty), STOP_INTERVAL);
        }
    }
}
