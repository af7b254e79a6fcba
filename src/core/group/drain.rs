//! Draining: decides when the hosts of an ended placement may be freed.
//!
//! The duty holder asks every live daemon to confirm that it has drained the
//! placement, and reads the runners again after the last confirmation. It
//! waits for a daemon that is no longer live for as long as that daemon may
//! go on serving without contact to others.

use super::{
    super::{
        config::View,
        ctx::Ctx,
        keys::{DaemonName, DomainName, Epoch, GroupName, Revision},
        member::Members,
        message::Message,
        options::Mechanism,
        request::Requests,
        time::{Span, Time},
    },
    GroupMessage,
    driver::{CoreState, DriverInputs},
    serving::ServingGroups,
};
use std::collections::BTreeMap;

/// Interval between requests to daemons that have not confirmed.
const ASK_INTERVAL: Span = Span::from_millis(500);

/// Confirmation of one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ack {
    /// Not received; holds the time at which the daemon was last live.
    Pending(Time),
    /// Received: the daemon has drained the placement.
    Received,
}

/// Draining of one ended placement.
#[derive(Debug, Default)]
struct Drain {
    acks: BTreeMap<DaemonName, Ack>,
    last_asked: Option<Time>,
    /// Time at which the last daemon had confirmed.
    confirmed: Option<Time>,
}

/// A placement that gets no new work.
#[derive(Clone, Debug)]
pub(super) struct EndedPlacement {
    /// The group.
    pub(super) group: GroupName,
    /// The epoch that has ended.
    pub(super) epoch: Epoch,
}

/// Question to a daemon: has it drained this placement?
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainQuery<'a> {
    pub(super) domain: &'a DomainName,
    pub(super) group: &'a GroupName,
    pub(super) epoch: Epoch,
    /// Revision of the record that ended the placement.
    pub(super) revision: Revision,
}

/// Queries.
impl DrainQuery<'_> {
    /// Returns true if this daemon has seen the end of the placement and has nothing running on it.
    pub(super) fn is_drained(
        &self,
        view: &View,
        serving: &ServingGroups,
        requests: &Requests,
    ) -> bool {
        let placement = view.placement(self.domain);
        placement.is_some_and(|p| p.revision >= self.revision)
            && !serving.is_current(self.group, self.epoch)
            && requests.running_on(self.group, self.epoch) == 0
    }
}

/// The ended placements of one domain that are still draining.
#[derive(Debug, Default)]
pub(super) struct Drains {
    drains: BTreeMap<Epoch, Drain>,
}

/// Queries.
impl Drains {
    /// Returns the time at which every daemon had confirmed that an epoch is drained.
    pub(super) fn confirmed(&self, epoch: Epoch) -> Option<Time> {
        self.drains.get(&epoch)?.confirmed
    }
}

/// Commands.
impl Drains {
    /// Asks daemons that have not confirmed; `revision` is that of the record in which the epochs
    /// have ended.
    pub(super) fn on_tick(
        &mut self,
        ctx: &mut Ctx,
        inputs: &DriverInputs,
        domain: &DomainName,
        revision: Revision,
        ended: &[EndedPlacement],
    ) {
        self.drains
            .retain(|epoch, _| ended.iter().any(|e| e.epoch == *epoch));
        for entry in ended {
            let query = DrainQuery {
                domain,
                group: &entry.group,
                epoch: entry.epoch,
                revision,
            };
            let drain = self.drains.entry(entry.epoch).or_default();
            drain.update(ctx, inputs, &query);
            drain.request_acks(ctx, inputs.core.members, &query);
        }
    }

    /// Records a daemon's confirmation that it has drained an epoch.
    pub(super) fn on_ack(&mut self, from: &DaemonName, epoch: Epoch) {
        if let Some(drain) = self.drains.get_mut(&epoch) {
            drain.acks.insert(from.clone(), Ack::Received);
        }
    }
}

impl Drain {
    /// Tracks which daemons are live, and records the time at which all have confirmed.
    fn update(&mut self, ctx: &Ctx, inputs: &DriverInputs, query: &DrainQuery) {
        let now = ctx.now;
        let CoreState {
            view,
            members,
            requests,
            ..
        } = inputs.core;
        for (name, _) in members.live() {
            let ack = self.acks.entry(name.clone()).or_insert(Ack::Pending(now));
            if let Ack::Pending(last_live) = ack {
                *last_live = now;
            }
        }
        if self.confirmed.is_some() {
            return;
        }
        let freshness = ctx.options.freshness;
        let is_pending = |ack: &Ack| match ack {
            Ack::Pending(last_live) => now.since(*last_live) <= freshness,
            Ack::Received => false,
        };
        let drained_here = query.is_drained(view, inputs.serving, requests);
        let drained_everywhere = drained_here && !self.acks.values().any(is_pending);
        if drained_everywhere || !ctx.options.is_enabled(Mechanism::DrainAcks) {
            self.confirmed = Some(now);
        }
    }

    /// Asks live daemons that have not confirmed, at most once per [`ASK_INTERVAL`].
    fn request_acks(&mut self, ctx: &mut Ctx, members: &Members, query: &DrainQuery) {
        let asked_recently = |last_asked: Time| ctx.now.since(last_asked) < ASK_INTERVAL;
        if self.confirmed.is_some() || self.last_asked.is_some_and(asked_recently) {
            return;
        }
        self.last_asked = Some(ctx.now);
        for (name, address) in members.live() {
            if self.acks.get(name) == Some(&Ack::Received) {
                continue;
            }
            let message = GroupMessage::AskDrained {
                domain: query.domain.clone(),
                group: query.group.clone(),
                epoch: query.epoch,
                revision: query.revision,
            };
            ctx.send_datagram(address, Message::Group(message));
        }
    }
}
