//! Telling other daemons: load digests, leaving hosts, and news that is forwarded.

use super::{
    super::{config::View, ctx::Ctx, group::Groups, keys::HostName, message::Message, time::Span},
    Gossip, Hosts, MemberMessage, Members, News, load,
    spread::{self, Source},
};

/// How often hosts are judged anew.
const SWEEP: Span = Span::from_secs(1);

/// How often urgent news is spread again, along other trees.
const REPEATS: u32 = 2;

/// News to be spread again.
#[derive(Debug)]
pub struct Repeat {
    news: News,
    left: u32,
}

/// Commands.
impl Members {
    pub(super) fn on_load_tick(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        hosts: &mut Hosts,
        groups: &Groups,
    ) -> Vec<HostName> {
        let domains = load::domains(ctx, view, groups, hosts);
        self.loads.poll(ctx, view, hosts, &domains);
        for digest in self.loads.digests(ctx, view, hosts, &domains) {
            self.spread(ctx, News::Load(digest));
        }
        let mut changed = Vec::new();
        self.repeat(ctx);
        for host in hosts.take_news(ctx.now) {
            changed.extend(self.hear_leaving(ctx, hosts, host.clone()));
            self.leaving.add(host.clone(), self.table.up().len());
            self.spread_surely(ctx, News::Leaving(host));
        }
        if ctx.now.since(self.hosts_swept) >= SWEEP {
            self.hosts_swept = ctx.now;
            changed.extend(hosts.sweep(ctx));
        }
        changed
    }

    /// Takes news that is spread, and forwards it once.
    pub(super) fn on_spread(
        &mut self,
        ctx: &mut Ctx,
        hosts: &mut Hosts,
        source: Source<'_>,
        news: News,
    ) -> Vec<HostName> {
        if *source.origin == ctx.me.name || !self.seen.take(source) {
            self.older += 1;
            return Vec::new();
        }
        self.forward(ctx, source, &news);
        match news {
            News::Daemon(delta) => {
                self.merge(ctx, delta);
                Vec::new()
            }
            News::Leaving(host) => self.hear_leaving(ctx, hosts, host),
            News::Load(digest) => hosts.on_digest(ctx, digest),
        }
    }

    /// Takes news that a host is leaving, and passes it on if it is new.
    pub(super) fn hear_leaving(
        &mut self,
        ctx: &mut Ctx,
        hosts: &mut Hosts,
        host: HostName,
    ) -> Vec<HostName> {
        let changed = hosts.on_leaving(ctx, &host);
        if !changed.is_empty() {
            self.leaving.add(host, self.table.up().len());
        }
        changed
    }

    pub(super) fn take_gossip(
        &mut self,
        ctx: &mut Ctx,
        hosts: &mut Hosts,
        gossip: Gossip,
    ) -> Vec<HostName> {
        self.merge_all(ctx, gossip.daemons);
        let mut changed = Vec::new();
        for host in gossip.leaving {
            changed.extend(self.hear_leaving(ctx, hosts, host));
        }
        changed
    }

    /// Sends news of this daemon's to all now, and again soon after.
    pub(super) fn spread_surely(&mut self, ctx: &mut Ctx, news: News) {
        self.spread(ctx, news.clone());
        let left = REPEATS;
        self.repeats.push(Repeat { news, left });
    }

    pub(super) fn repeat(&mut self, ctx: &mut Ctx) {
        for mut repeat in std::mem::take(&mut self.repeats) {
            self.spread(ctx, repeat.news.clone());
            repeat.left -= 1;
            if repeat.left > 0 {
                self.repeats.push(repeat);
            }
        }
    }

    /// Sends news of this daemon's to all.
    pub(super) fn spread(&mut self, ctx: &mut Ctx, news: News) {
        self.spreads += 1;
        let origin = ctx.me.name.clone();
        let source = Source {
            origin: &origin,
            incarnation: ctx.me.incarnation,
            sequence: self.spreads,
        };
        self.forward(ctx, source, &news);
    }

    pub(super) fn forward(&mut self, ctx: &mut Ctx, source: Source<'_>, news: &News) {
        for name in spread::children(self.table.up(), &ctx.me.name, source) {
            let Some(member) = self.table.get(name) else {
                continue;
            };
            let address = member.news.daemon.peer;
            self.forwards += 1;
            let message = MemberMessage::Spread {
                origin: source.origin.clone(),
                incarnation: source.incarnation,
                sequence: source.sequence,
                news: news.clone(),
            };
            ctx.datagram(address, Message::Member(message));
        }
    }
}
