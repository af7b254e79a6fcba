//! Keeping the table of daemons current: probes, news, and this daemon's own standing.

use super::{
    super::{
        ctx::Ctx,
        keys::{DaemonName, Incarnation},
        message::Message,
        output::Level,
        time::{Span, Time},
        timer::Timer,
    },
    Gossip, MemberMessage, MemberTimer, Members, News,
    probe::{self, HELPERS, PERIOD},
    registry,
    table::{Delta, Heard, Standing},
};
use rand::Rng as _;
use std::net::SocketAddr;

/// How soon the whole table is asked of another daemon again, at first.
const FIRST_SYNC: Span = Span::from_millis(500);

/// How often the whole table is asked of another daemon.
const SYNC: Span = Span::from_secs(60);

/// How often a dead daemon is probed all the same, to notice that a partition is over.
const DEAD_PROBE: Span = Span::from_secs(2);

/// How often old entries are dropped.
const SWEEP: Span = Span::from_secs(60);

/// How soon after hearing from a daemon hearsay of its death is doubted.
const RECENT: Span = Span::from_secs(1);

/// The most news of daemons in one message.
const MAX_DAEMONS: usize = 6;

/// The most news of leaving hosts in one message.
const MAX_LEAVING: usize = 16;

/// How often, within the freshness bound, the platform's service is asked for any answer.
const REACH_DIVISOR: u64 = 3;

/// What is done now and then.
#[derive(Debug, Default)]
pub struct Chores {
    synced: Option<Time>,
    pause: Span,
    dead_probed: Time,
    swept: Time,
}

impl Members {
    /// This daemon as the others are to know it.
    pub(super) fn own(&self, ctx: &Ctx) -> Delta {
        let standing = if self.stopping {
            Standing::Leaving
        } else {
            Standing::Alive
        };
        Delta {
            daemon: registry::record(ctx, self.stopping),
            refutation: self.refutation,
            standing,
        }
    }

    /// A period is over: judge its probe, and start the next.
    pub(super) fn on_period(&mut self, ctx: &mut Ctx) {
        ctx.timer(Timer::Member(MemberTimer::Probe), PERIOD);
        if self.prober.begin(ctx.now) {
            self.table.forgive(ctx.now);
            self.woken = true;
            self.registry.check_reach_anew(ctx);
        }
        if let Some((target, answered)) = self.prober.finish() {
            self.fresh.on_probe(ctx.now, answered);
            if !answered {
                self.suspect(ctx, target);
            }
        }
        for name in self.prober.expire(&self.table, ctx.now) {
            self.declare_dead(ctx, &name);
        }
        for (name, number) in self.prober.again() {
            self.send_probe(ctx, &name, number);
            self.probe_through(ctx, &name, number);
        }
        self.start_probe(ctx);
        self.do_chores(ctx);
    }

    /// The direct answer is late: ask others to probe too.
    pub(super) fn on_indirect(&mut self, ctx: &mut Ctx) {
        if let Some(probe) = self.prober.unanswered().cloned() {
            self.probe_through(ctx, &probe.target, probe.number);
        }
    }

    fn probe_through(&mut self, ctx: &mut Ctx, name: &DaemonName, number: u64) {
        let Some(member) = self.table.get(name) else {
            return;
        };
        let target = member.news.daemon.peer;
        for helper in probe::helpers(ctx, &self.table, name, HELPERS) {
            self.send(ctx, &helper, MemberMessage::ProbeFor { number, target });
        }
    }

    /// Notes a sign of life; false if it is from a run known to be over.
    pub(super) fn hear(
        &mut self,
        ctx: &mut Ctx,
        from: &DaemonName,
        incarnation: Incarnation,
        address: SocketAddr,
    ) -> bool {
        if *from == ctx.me.name {
            return false;
        }
        let replaced = self.table.at(address).filter(|name| *name != from).cloned();
        match self.table.hear(from, incarnation, address, ctx.now) {
            Heard::Old => return false,
            Heard::Known => {}
            Heard::New => {
                let detail = format!("run {} at {address}", incarnation.0);
                ctx.log(Level::Info, "member.joined", from, detail);
                self.rumors.add(from.clone(), self.table.up().len());
                self.prober.include(ctx, from.clone());
            }
            Heard::Revived => {
                ctx.log(Level::Info, "member.revived", from, "it was thought dead");
                self.tell_of_death(ctx, from);
            }
        }
        if let Some(name) = replaced {
            self.bury(ctx, &name, "another daemon has its address");
        }
        true
    }

    /// Answers a probe; one who doesn't know this daemon gets its record.
    pub(super) fn answer_probe(
        &mut self,
        ctx: &mut Ctx,
        from: &DaemonName,
        number: u64,
        greet: bool,
    ) {
        let gossip = self.gossip(ctx, greet);
        self.send(ctx, from, MemberMessage::Alive { number, gossip });
    }

    /// What rides on the next message, this daemon's own record too if `introduce`.
    fn gossip(&mut self, ctx: &Ctx, introduce: bool) -> Gossip {
        let own = introduce.then(|| self.own(ctx));
        let told = self.rumors.take(MAX_DAEMONS);
        let told = told.iter().filter_map(|name| self.table.get(name));
        Gossip {
            daemons: own
                .into_iter()
                .chain(told.map(|m| m.news.clone()))
                .collect(),
            leaving: self.leaving.take(MAX_LEAVING),
        }
    }

    /// Takes an answer to a probe of this daemon's, or to one made for another.
    pub(super) fn on_alive(&mut self, ctx: &mut Ctx, number: u64) {
        if let Some((asker, number)) = self.prober.on_answer(number) {
            let message = MemberMessage::Vouched { number };
            ctx.datagram(asker, Message::Member(message));
        }
        if self.chores.synced.is_none() {
            let own = self.own(ctx);
            self.spread_surely(ctx, News::Daemon(own));
            self.sync(ctx);
        }
    }

    /// Takes another daemon's word that a probe of this daemon's was answered.
    pub(super) fn on_vouched(&mut self, number: u64) {
        if let Some(target) = self.prober.target(number) {
            self.table.vouch(&target);
            self.prober.on_answer(number);
        }
    }

    /// Probes an address for another daemon.
    pub(super) fn on_probe_for(
        &mut self,
        ctx: &mut Ctx,
        from: &DaemonName,
        number: u64,
        target: SocketAddr,
    ) {
        let Some(asker) = self.table.get(from).map(|m| m.news.daemon.peer) else {
            return;
        };
        let Some(number) = self.prober.take_errand(ctx, asker, number) else {
            return;
        };
        let message = MemberMessage::Probe {
            number,
            greet: false,
            gossip: Gossip::default(),
        };
        ctx.datagram(target, Message::Member(message));
    }

    /// Takes news of daemons.
    pub(super) fn merge_all(&mut self, ctx: &mut Ctx, news: Vec<Delta>) {
        for delta in news {
            self.merge(ctx, delta);
        }
    }

    /// Takes news of a daemon; true if it changed something.
    pub(super) fn merge(&mut self, ctx: &mut Ctx, delta: Delta) -> bool {
        if delta.daemon.name == ctx.me.name {
            self.refute(ctx, &delta);
            return false;
        }
        let name = delta.daemon.name.clone();
        let was = self.table.get(&name).map(|m| (m.news.rank(), m.heard));
        if let Some((rank, heard)) = was {
            let is_recent = heard.is_some_and(|at| ctx.now.since(at) < RECENT);
            let same_run = rank.0 == delta.daemon.incarnation;
            if delta.standing == Standing::Dead && same_run && is_recent {
                self.prober.hurry(name);
                return false;
            }
        }
        let standing = delta.standing;
        if !self.table.merge(delta, ctx.now) {
            return false;
        }
        let was = was.map(|(rank, _)| rank.2);
        if was != Some(standing) {
            let kind = match standing {
                Standing::Alive => "member.alive",
                Standing::Leaving => "member.leaving",
                Standing::Dead => "member.dead",
            };
            ctx.log(Level::Info, kind, &name, "as told by others");
        }
        self.rumors.add(name, self.table.up().len());
        true
    }

    /// Declares a daemon's run dead on this daemon's own evidence.
    fn declare_dead(&mut self, ctx: &mut Ctx, name: &DaemonName) {
        self.bury(ctx, name, "it didn't answer");
    }

    pub(super) fn bury(&mut self, ctx: &mut Ctx, name: &DaemonName, why: &str) {
        let Some(news) = self.table.bury(name, ctx.now) else {
            return;
        };
        self.deaths += 1;
        ctx.log(Level::Warning, "member.dead", name, why);
        if self.fresh.answers(ctx.now, probe::SUSPICION) {
            self.rumors.add(name.clone(), self.table.up().len());
            self.spread_surely(ctx, News::Daemon(news));
        }
    }

    fn suspect(&mut self, ctx: &mut Ctx, name: DaemonName) {
        if self.table.suspect(&name, ctx.now) {
            self.suspicions += 1;
            self.prober.suspect(ctx, name);
        }
    }

    /// Outbids news of this run's death, if that is what it is.
    fn refute(&mut self, ctx: &mut Ctx, delta: &Delta) {
        let is_death = delta.standing == Standing::Dead;
        let is_this_run = delta.daemon.incarnation == ctx.me.incarnation;
        if !is_death || !is_this_run || delta.refutation < self.refutation {
            return;
        }
        self.refutation = delta.refutation + 1;
        ctx.log(
            Level::Warning,
            "member.refuted",
            ctx.me.name.clone(),
            "it was thought dead",
        );
        let own = self.own(ctx);
        self.spread_surely(ctx, News::Daemon(own));
    }

    fn tell_of_death(&mut self, ctx: &mut Ctx, name: &DaemonName) {
        let Some(member) = self.table.get(name) else {
            return;
        };
        let news = Delta {
            standing: Standing::Dead,
            ..member.news.clone()
        };
        let message = MemberMessage::Alive {
            number: 0,
            gossip: Gossip {
                daemons: vec![news],
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
        ctx.timer(Timer::Member(MemberTimer::Indirect), probe::DIRECT);
    }

    pub(super) fn send_probe(&mut self, ctx: &mut Ctx, name: &DaemonName, number: u64) {
        let Some(member) = self.table.get(name) else {
            return;
        };
        let greet = !member.is_introduced();
        let is_stranger = member.heard.is_none();
        let gossip = self.gossip(ctx, greet || is_stranger);
        let message = MemberMessage::Probe {
            number,
            greet,
            gossip,
        };
        self.send(ctx, name, message);
    }

    fn probe_address(&mut self, ctx: &mut Ctx, address: SocketAddr) {
        let message = MemberMessage::Probe {
            number: 0,
            greet: true,
            gossip: self.gossip(ctx, true),
        };
        ctx.datagram(address, Message::Member(message));
    }

    fn do_chores(&mut self, ctx: &mut Ctx) {
        let hears_peers = self.hears_peers(ctx.now);
        if !hears_peers {
            self.probe_seeds(ctx);
        }
        if !hears_peers || self.woken || !self.fresh.answers(ctx.now, probe::SUSPICION) {
            let reach = Span(self.fresh.window().0 / REACH_DIVISOR);
            if !self.fresh.reaches_platform(ctx.now, reach) {
                self.registry.check_reach(ctx);
            }
        }
        if ctx.now.since(self.chores.dead_probed) >= DEAD_PROBE {
            self.chores.dead_probed = ctx.now;
            self.probe_dead(ctx);
        }
        let synced = self.chores.synced;
        if synced.is_some_and(|at| ctx.now.since(at) >= self.chores.pause) {
            self.sync(ctx);
        }
        if ctx.now.since(self.chores.swept) >= SWEEP {
            self.chores.swept = ctx.now;
            self.table.sweep(ctx.now);
            let table = &self.table;
            self.seen.retain(|name| table.get(name).is_some());
        }
    }

    fn probe_seeds(&mut self, ctx: &mut Ctx) {
        let seeds: Vec<SocketAddr> = ctx.me.seeds.clone();
        for seed in seeds {
            let is_known = self.table.at(seed).is_some();
            if seed != ctx.me.peer && !is_known {
                self.probe_address(ctx, seed);
            }
        }
    }

    fn probe_dead(&mut self, ctx: &mut Ctx) {
        let dead = self.table.iter().filter(|member| !member.is_up());
        let dead: Vec<SocketAddr> = dead.map(|member| member.news.daemon.peer).collect();
        if dead.is_empty() {
            return;
        }
        let chosen = dead[ctx.rng.random_range(0..dead.len())];
        self.probe_address(ctx, chosen);
    }

    /// Asks one daemon for its whole table.
    fn sync(&mut self, ctx: &mut Ctx) {
        self.chores.synced = Some(ctx.now);
        self.chores.pause = self.chores.pause.times(2).clamp(FIRST_SYNC, SYNC);
        let me = ctx.me.name.clone();
        for name in probe::helpers(ctx, &self.table, &me, 1) {
            let Some(member) = self.table.get(&name) else {
                continue;
            };
            let address = member.news.daemon.peer;
            ctx.stream(address, Message::Member(MemberMessage::Pull));
        }
    }

    /// Sends a datagram to a daemon.
    pub(super) fn send(&mut self, ctx: &mut Ctx, to: &DaemonName, message: MemberMessage) {
        if let Some(member) = self.table.get(to) {
            ctx.datagram(member.news.daemon.peer, Message::Member(message));
        }
    }

    /// Whether enough of the other daemons are heard.
    pub(super) fn hears_peers(&self, now: Time) -> bool {
        let up = self.table.up().len();
        self.fresh.hears_peers(now, up, self.table.expected())
    }
}
