//! Upkeep of the member table: probes, updates, and this daemon's own status.

use super::{
    super::{
        ctx::Ctx,
        keys::{DaemonName, Incarnation},
        message::Message,
        output::Level,
        time::{Span, Time},
        timer::Timer,
    },
    Gossip, MemberMessage, MemberTimer, Members, Update,
    probe::{self, INDIRECT_PROBES, PROBE_INTERVAL},
    registry,
    table::{Contact, MemberStatus, MemberUpdate},
};
use std::net::SocketAddr;

/// Time after a message from a daemon during which reports of its death aren't believed.
const CONTACT_WINDOW: Span = Span::from_secs(1);

/// Maximum number of queued daemon updates piggybacked on one message.
const MAX_GOSSIP_DAEMONS: usize = 6;

/// Maximum number of leaving hosts piggybacked on one message.
const MAX_GOSSIP_HOSTS: usize = 16;

impl Members {
    /// Returns the update that describes this daemon.
    pub(super) fn own_update(&self, ctx: &Ctx) -> MemberUpdate {
        let status = if self.stopping {
            MemberStatus::Leaving
        } else {
            MemberStatus::Alive
        };
        MemberUpdate {
            daemon: registry::record(ctx, self.stopping),
            refutation: self.refutation,
            status,
        }
    }

    /// Evaluates the probe of the period that has ended, and starts the next.
    pub(super) fn on_period(&mut self, ctx: &mut Ctx) {
        ctx.set_timer(Timer::Member(MemberTimer::Probe), PROBE_INTERVAL);
        if self.prober.begin_period(ctx.now) {
            self.table.restart_suspicions(ctx.now);
            self.resumed = true;
            self.registry.restart_platform_check(ctx);
        }
        if let Some((target, answered)) = self.prober.finish() {
            self.freshness.record_probe(ctx.now, answered);
            if !answered {
                self.suspect(ctx, target);
            }
        }
        for name in self.prober.expire_suspects(&self.table, ctx.now) {
            self.on_suspicion_timeout(ctx, &name);
        }
        for (name, number) in self.prober.reprobes() {
            self.send_probe(ctx, &name, number);
            self.probe_indirectly(ctx, &name, number);
        }
        self.start_probe(ctx);
        self.run_maintenance(ctx);
    }

    /// Has other daemons probe the current target, whose probe has timed out.
    pub(super) fn on_direct_timeout(&mut self, ctx: &mut Ctx) {
        if let Some(probe) = self.prober.unanswered().cloned() {
            self.probe_indirectly(ctx, &probe.target, probe.number);
        }
    }

    fn probe_indirectly(&mut self, ctx: &mut Ctx, name: &DaemonName, number: u64) {
        let Some(member) = self.table.get(name) else {
            return;
        };
        let target = member.latest.daemon.peer;
        for helper in probe::random_peers(ctx, &self.table, name, INDIRECT_PROBES) {
            self.send(
                ctx,
                &helper,
                MemberMessage::IndirectProbe { number, target },
            );
        }
    }

    /// Records a message from a daemon; returns false if the message is to be dropped.
    pub(super) fn record_contact(
        &mut self,
        ctx: &mut Ctx,
        from: &DaemonName,
        incarnation: Incarnation,
        address: SocketAddr,
    ) -> bool {
        if *from == ctx.me.name {
            return false;
        }
        let replaced = self
            .table
            .by_address(address)
            .filter(|name| *name != from)
            .cloned();
        match self
            .table
            .record_contact(from, incarnation, address, ctx.now)
        {
            Contact::Old => return false,
            Contact::Known => {}
            Contact::New => {
                let detail = format!("incarnation {} at {address}", incarnation.0);
                ctx.log(Level::Info, "member.joined", from, detail);
                self.daemon_gossip.add(from.clone(), self.table.up().len());
                self.prober.add_to_round(ctx, from.clone());
            }
            Contact::Revived => {
                ctx.log(
                    Level::Info,
                    "member.revived",
                    from,
                    "received a message from a daemon declared dead",
                );
                self.send_death_notice(ctx, from);
            }
        }
        if let Some(name) = replaced {
            self.mark_dead(ctx, &name, "another daemon uses its address");
        }
        true
    }

    /// Acknowledges a probe, with this daemon's record if the sender wants it.
    pub(super) fn answer_probe(
        &mut self,
        ctx: &mut Ctx,
        from: &DaemonName,
        number: u64,
        wants_record: bool,
    ) {
        let gossip = self.gossip(ctx, wants_record);
        self.send(ctx, from, MemberMessage::Ack { number, gossip });
    }

    /// Returns the updates to piggyback on the next message, with this daemon's own if wanted.
    fn gossip(&mut self, ctx: &Ctx, include_own: bool) -> Gossip {
        let own = include_own.then(|| self.own_update(ctx));
        let names = self.daemon_gossip.next_batch(MAX_GOSSIP_DAEMONS);
        let members = names.iter().filter_map(|name| self.table.get(name));
        Gossip {
            daemons: own
                .into_iter()
                .chain(members.map(|m| m.latest.clone()))
                .collect(),
            leaving: self.leaving_gossip.next_batch(MAX_GOSSIP_HOSTS),
        }
    }

    /// Handles an ack of a probe, this daemon's own or a relayed one.
    pub(super) fn on_ack(&mut self, ctx: &mut Ctx, number: u64) {
        if let Some((requester, number)) = self.prober.on_ack(number) {
            let message = MemberMessage::IndirectAck { number };
            ctx.send_datagram(requester, Message::Member(message));
        }
        if self.maintenance.synced.is_none() {
            let own = self.own_update(ctx);
            self.broadcast_repeatedly(ctx, Update::Daemon(own));
            self.sync(ctx);
        }
    }

    /// Handles the ack of an indirect probe, which answers this daemon's own probe.
    pub(super) fn on_indirect_ack(&mut self, number: u64) {
        if let Some(target) = self.prober.target(number) {
            self.table.clear_suspicion(&target);
            self.prober.on_ack(number);
        }
    }

    /// Probes an address on another daemon's behalf.
    pub(super) fn on_indirect_probe(
        &mut self,
        ctx: &mut Ctx,
        from: &DaemonName,
        number: u64,
        target: SocketAddr,
    ) {
        let Some(requester) = self.table.get(from).map(|m| m.latest.daemon.peer) else {
            return;
        };
        let Some(number) = self.prober.relay(ctx, requester, number) else {
            return;
        };
        let message = MemberMessage::Probe {
            number,
            wants_record: false,
            gossip: Gossip::default(),
        };
        ctx.send_datagram(target, Message::Member(message));
    }

    /// Merges updates about daemons.
    pub(super) fn merge_all(&mut self, ctx: &mut Ctx, updates: Vec<MemberUpdate>) {
        for update in updates {
            self.merge(ctx, update);
        }
    }

    /// Merges an update about a daemon; returns true if it changed the table.
    pub(super) fn merge(&mut self, ctx: &mut Ctx, update: MemberUpdate) -> bool {
        if update.daemon.name == ctx.me.name {
            self.refute(ctx, &update);
            return false;
        }
        let name = update.daemon.name.clone();
        let known = self
            .table
            .get(&name)
            .map(|m| (m.latest.precedence(), m.last_contact));
        if let Some((precedence, last_contact)) = known {
            let is_recent = last_contact.is_some_and(|at| ctx.now.since(at) < CONTACT_WINDOW);
            let same_incarnation = precedence.0 == update.daemon.incarnation;
            if update.status == MemberStatus::Dead && same_incarnation && is_recent {
                self.prober.prioritize(name);
                return false;
            }
        }
        let status = update.status;
        if !self.table.merge(update, ctx.now) {
            return false;
        }
        let known = known.map(|(precedence, _)| precedence.2);
        if known != Some(status) {
            let kind = match status {
                MemberStatus::Alive => "member.alive",
                MemberStatus::Leaving => "member.leaving",
                MemberStatus::Dead => "member.dead",
            };
            ctx.log(Level::Info, kind, &name, "reported by another daemon");
        }
        self.daemon_gossip.add(name, self.table.up().len());
        true
    }

    /// Declares a suspect dead that has left every probe unanswered.
    fn on_suspicion_timeout(&mut self, ctx: &mut Ctx, name: &DaemonName) {
        self.mark_dead(ctx, name, "probes went unanswered");
    }

    /// Declares a daemon's incarnation dead on this daemon's own evidence.
    ///
    /// The death isn't broadcast while most probes fail, since this daemon itself may be cut off.
    pub(super) fn mark_dead(&mut self, ctx: &mut Ctx, name: &DaemonName, reason: &str) {
        let Some(update) = self.table.mark_dead(name, ctx.now) else {
            return;
        };
        self.deaths += 1;
        ctx.log(Level::Warning, "member.dead", name, reason);
        if self
            .freshness
            .half_answered(ctx.now, probe::SUSPICION_TIMEOUT)
        {
            self.daemon_gossip.add(name.clone(), self.table.up().len());
            self.broadcast_repeatedly(ctx, Update::Daemon(update));
        }
    }

    fn suspect(&mut self, ctx: &mut Ctx, name: DaemonName) {
        if self.table.mark_suspect(&name, ctx.now) {
            self.suspicions += 1;
            self.prober.add_suspect(ctx, name);
        }
    }

    /// Refutes an update that declares this incarnation dead, by one that supersedes it.
    fn refute(&mut self, ctx: &mut Ctx, update: &MemberUpdate) {
        let is_death = update.status == MemberStatus::Dead;
        let is_own = update.daemon.incarnation == ctx.me.incarnation;
        if !is_death || !is_own || update.refutation < self.refutation {
            return;
        }
        self.refutation = update.refutation + 1;
        ctx.log(
            Level::Warning,
            "member.refuted",
            ctx.me.name.clone(),
            "another daemon declared this one dead",
        );
        let own = self.own_update(ctx);
        self.broadcast_repeatedly(ctx, Update::Daemon(own));
    }

    /// Tells a daemon that it was declared dead, so that it refutes that.
    fn send_death_notice(&mut self, ctx: &mut Ctx, name: &DaemonName) {
        let Some(member) = self.table.get(name) else {
            return;
        };
        let update = MemberUpdate {
            status: MemberStatus::Dead,
            ..member.latest.clone()
        };
        let message = MemberMessage::Ack {
            number: 0,
            gossip: Gossip {
                daemons: vec![update],
                ..Gossip::default()
            },
        };
        self.send(ctx, name, message);
    }

    fn start_probe(&mut self, ctx: &mut Ctx) {
        let Some(probe) = self.prober.start(ctx, &self.table) else {
            return;
        };
        self.send_probe(ctx, &probe.target, probe.number);
        ctx.set_timer(Timer::Member(MemberTimer::Indirect), probe::DIRECT_TIMEOUT);
    }

    /// Sends a probe, with this daemon's own record if the target may not know it.
    pub(super) fn send_probe(&mut self, ctx: &mut Ctx, name: &DaemonName, number: u64) {
        let Some(member) = self.table.get(name) else {
            return;
        };
        let wants_record = !member.has_record();
        let is_new = member.last_contact.is_none();
        let gossip = self.gossip(ctx, wants_record || is_new);
        let message = MemberMessage::Probe {
            number,
            wants_record,
            gossip,
        };
        self.send(ctx, name, message);
    }

    /// Sends a probe to an address whose daemon may be unknown or dead.
    pub(super) fn probe_address(&mut self, ctx: &mut Ctx, address: SocketAddr) {
        let message = MemberMessage::Probe {
            number: 0,
            wants_record: true,
            gossip: self.gossip(ctx, true),
        };
        ctx.send_datagram(address, Message::Member(message));
    }

    /// Sends a datagram to a daemon.
    pub(super) fn send(&mut self, ctx: &mut Ctx, to: &DaemonName, message: MemberMessage) {
        if let Some(member) = self.table.get(to) {
            ctx.send_datagram(member.latest.daemon.peer, Message::Member(message));
        }
    }

    /// Returns true if enough of the expected daemons are reachable.
    pub(super) fn reaches_peers(&self, now: Time) -> bool {
        let up = self.table.up().len();
        self.freshness.reaches_peers(now, up, self.table.expected())
    }
}
