//! Broadcasts to all daemons: load digests, leaving hosts, and forwarded updates.

use super::{
    super::{config::View, ctx::Ctx, group::Groups, keys::HostName, message::Message, time::Span},
    Gossip, Hosts, MemberMessage, Members, Update, load,
    tree::{self, BroadcastId},
};

/// Interval between reevaluations of the hosts' health.
const SWEEP_INTERVAL: Span = Span::from_secs(1);

/// Number of times that an urgent update is broadcast again, each time along another tree.
const BROADCAST_REPEATS: u32 = 2;

/// Update to broadcast again.
#[derive(Debug)]
pub struct Repeat {
    update: Update,
    remaining: u32,
}

/// Commands.
impl Members {
    /// Polls load, broadcasts what is due and reevaluates the hosts' health.
    pub(super) fn on_load_timer(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        hosts: &mut Hosts,
        groups: &Groups,
    ) -> Vec<HostName> {
        let domains = load::held_domains(ctx, view, groups, hosts);
        self.load_monitor.poll(ctx, view, hosts, &domains);
        for digest in self.load_monitor.digests(ctx, view, hosts, &domains) {
            self.broadcast(ctx, Update::Load(digest));
        }
        let mut changed = Vec::new();
        self.repeat_broadcasts(ctx);
        for host in hosts.take_announcements(ctx.now) {
            changed.extend(self.on_host_leaving(ctx, hosts, host.clone()));
            self.leaving_gossip.add(host.clone(), self.table.up().len());
            self.broadcast_repeatedly(ctx, Update::Leaving(host));
        }
        if ctx.now.since(self.hosts_swept) >= SWEEP_INTERVAL {
            self.hosts_swept = ctx.now;
            changed.extend(hosts.sweep(ctx));
        }
        changed
    }

    /// Forwards and applies a broadcast, unless it is a duplicate.
    pub(super) fn on_broadcast(
        &mut self,
        ctx: &mut Ctx,
        hosts: &mut Hosts,
        id: BroadcastId<'_>,
        update: Update,
    ) -> Vec<HostName> {
        if *id.origin == ctx.me.name || !self.seen.insert(id) {
            self.duplicates += 1;
            return Vec::new();
        }
        self.forward(ctx, id, &update);
        match update {
            Update::Daemon(update) => {
                self.merge(ctx, update);
                Vec::new()
            }
            Update::Leaving(host) => self.on_host_leaving(ctx, hosts, host),
            Update::Load(digest) => hosts.on_digest(ctx, digest),
        }
    }

    /// Records that a host is leaving, and gossips it if that changes the host's health.
    pub(super) fn on_host_leaving(
        &mut self,
        ctx: &mut Ctx,
        hosts: &mut Hosts,
        host: HostName,
    ) -> Vec<HostName> {
        let changed = hosts.on_leaving(ctx, &host);
        if !changed.is_empty() {
            self.leaving_gossip.add(host, self.table.up().len());
        }
        changed
    }

    /// Applies piggybacked updates; returns the hosts whose health changed.
    pub(super) fn apply_gossip(
        &mut self,
        ctx: &mut Ctx,
        hosts: &mut Hosts,
        gossip: Gossip,
    ) -> Vec<HostName> {
        self.merge_all(ctx, gossip.daemons);
        let mut changed = Vec::new();
        for host in gossip.leaving {
            changed.extend(self.on_host_leaving(ctx, hosts, host));
        }
        changed
    }

    /// Broadcasts an update now and [`BROADCAST_REPEATS`] more times soon after.
    pub(super) fn broadcast_repeatedly(&mut self, ctx: &mut Ctx, update: Update) {
        self.broadcast(ctx, update.clone());
        let remaining = BROADCAST_REPEATS;
        self.repeats.push(Repeat { update, remaining });
    }

    /// Broadcasts each update with repeats remaining once more.
    pub(super) fn repeat_broadcasts(&mut self, ctx: &mut Ctx) {
        for mut repeat in std::mem::take(&mut self.repeats) {
            self.broadcast(ctx, repeat.update.clone());
            repeat.remaining -= 1;
            if repeat.remaining > 0 {
                self.repeats.push(repeat);
            }
        }
    }

    /// Broadcasts an update with this daemon as its origin.
    pub(super) fn broadcast(&mut self, ctx: &mut Ctx, update: Update) {
        self.broadcasts += 1;
        let origin = ctx.me.name.clone();
        let id = BroadcastId {
            origin: &origin,
            incarnation: ctx.me.incarnation,
            sequence: self.broadcasts,
        };
        self.forward(ctx, id, &update);
    }

    /// Sends a broadcast to this daemon's children in its tree.
    pub(super) fn forward(&mut self, ctx: &mut Ctx, id: BroadcastId<'_>, update: &Update) {
        for name in tree::children(self.table.up(), &ctx.me.name, id) {
            let Some(member) = self.table.get(name) else {
                continue;
            };
            let address = member.latest.daemon.peer;
            self.forwards += 1;
            let message = MemberMessage::Broadcast {
                origin: id.origin.clone(),
                incarnation: id.incarnation,
                sequence: id.sequence,
                update: update.clone(),
            };
            ctx.send_datagram(address, Message::Member(message));
        }
    }
}
