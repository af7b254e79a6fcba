//! Members: the other daemons, discovery for callers, and the runner hosts.
//!
//! Nothing here needs agreement. Each daemon keeps its own table of the others
//! by probing them, and its own judgement of the hosts; news is spread along
//! trees, and what is lost is made good by what is repeated.

mod discovery;
mod fresh;
mod health;
mod hosts;
mod liveness;
mod load;
mod probe;
mod registry;
mod rumors;
mod spread;
mod table;
mod telling;

pub use health::Health;
pub use hosts::{Host, Hosts};
pub use load::{Digest, HostLoad};
pub use table::{Delta, Standing};

use super::{
    config::{Key, View},
    count::Count,
    ctx::Ctx,
    group::Groups,
    input::PlatformAnswer,
    keys::{CallId, DaemonName, HostName, Incarnation, KeyHash, ModelName, PlatformId, Revision},
    message::Message,
    options::Mechanism,
    output::{CallOutput, Ending, Output, Refusal},
    request::ticket,
    status::DaemonStatus,
    time::{Span, Time},
    timer::Timer,
};
use discovery::Candidate;
use fresh::Fresh;
use liveness::Chores;
use load::Loads;
use probe::Prober;
use registry::Registry;
use rumors::Rumors;
use spread::{Seen, Source};
use std::net::SocketAddr;
use table::Table;
use telling::Repeat;

crate::record! {
    /// Messages between the membership parts of two daemons.
    pub enum MemberMessage {
        /// Asks for a sign of life.
        Probe {
            /// Names the probe in its answer.
            number: u64,
            /// Whether the sender lacks the receiver's record.
            greet: bool,
            /// What else is new.
            gossip: Gossip,
        },
        /// A sign of life.
        Alive {
            /// The probe answered.
            number: u64,
            /// What else is new.
            gossip: Gossip,
        },
        /// Asks the receiver to probe an address for the sender.
        ProbeFor {
            /// The sender's number of the probe.
            number: u64,
            /// Whom to probe.
            target: SocketAddr,
        },
        /// The daemon that the receiver asked about gave a sign of life.
        Vouched {
            /// The receiver's number of the probe.
            number: u64,
        },
        /// Asks for the receiver's whole table.
        Pull,
        /// The sender's whole table.
        Table(Vec<Delta>),
        /// News for every daemon, to be forwarded.
        Spread {
            /// The daemon that had it first.
            origin: DaemonName,
            /// That daemon's run.
            incarnation: Incarnation,
            /// The number of that run's message, from one.
            sequence: u64,
            /// The news.
            news: News,
        },
    }

    /// News that rides on a probe or its answer.
    #[derive(Default)]
    pub struct Gossip {
        /// How daemons stand.
        pub daemons: Vec<Delta>,
        /// Hosts that are leaving.
        pub leaving: Vec<HostName>,
    }

    /// What is spread to every daemon.
    pub enum News {
        /// How a daemon stands.
        Daemon(Delta),
        /// A host is leaving.
        Leaving(HostName),
        /// What a domain's duty holder knows of its hosts.
        Load(Digest),
    }

    /// Timers of the membership part.
    #[derive(Copy, Eq, Hash)]
    pub enum MemberTimer {
        /// The next probe is due.
        Probe,
        /// The direct answer to a probe is late.
        Indirect,
        /// Load is to be looked after.
        Load,
        /// The registration may need a step.
        Registry,
    }
}

/// How often the registration is looked after.
const REGISTRY_TICK: Span = Span::from_millis(500);

/// The other daemons, as far as this one knows.
#[derive(Debug, Default)]
pub struct Members {
    me: DaemonName,
    table: Table,
    prober: Prober,
    rumors: Rumors<DaemonName>,
    leaving: Rumors<HostName>,
    repeats: Vec<Repeat>,
    chores: Chores,
    fresh: Fresh,
    registry: Registry,
    loads: Loads,
    seen: Seen,
    hosts_swept: Time,
    unbounded: bool,
    stopping: bool,
    /// Set after a pause of this daemon, until the platform's service answers.
    woken: bool,
    refutation: u32,
    spreads: u64,
    forwards: u64,
    suspicions: u64,
    deaths: u64,
    older: u64,
}

/// Queries.
impl Members {
    /// Whether what this daemon knows can be taken as current.
    pub fn is_fresh(&self, now: Time) -> bool {
        let up = self.table.up().len();
        self.unbounded || self.fresh.is_fresh(now, up, self.table.expected())
    }

    /// The peer address of a daemon that is thought alive, if the run is the one named.
    pub fn address(
        &self,
        daemon: &DaemonName,
        incarnation: Option<Incarnation>,
    ) -> Option<SocketAddr> {
        let member = self.table.get(daemon)?;
        let held = &member.news.daemon;
        let is_run = incarnation.is_none_or(|wanted| wanted == held.incarnation);
        (member.is_up() && is_run).then_some(held.peer)
    }

    /// The other daemons thought alive, by name.
    pub fn live(&self) -> impl Iterator<Item = (&DaemonName, SocketAddr)> {
        let members = self.table.iter().filter(|member| member.is_up());
        members.map(|member| (&member.news.daemon.name, member.news.daemon.peer))
    }

    /// The daemons' part of the report.
    pub fn status(&self, view: &View) -> Vec<DaemonStatus> {
        let own = DaemonStatus {
            daemon: self.me.clone(),
            state: if self.stopping { "leaving" } else { "live" }.to_owned(),
            revision: view.revision(),
        };
        let others = self.table.iter().map(|member| DaemonStatus {
            daemon: member.news.daemon.name.clone(),
            state: member.state().to_owned(),
            revision: member.revision,
        });
        let mut all: Vec<DaemonStatus> = others.chain([own]).collect();
        all.sort_by(|a, b| a.daemon.cmp(&b.daemon));
        all
    }

    /// Adds what this part has counted.
    pub fn counts(&self, counts: &mut Vec<Count>) {
        let expected = self.table.expected() as u64;
        let registered = u64::from(self.registry.is_registered());
        counts.extend([
            Count::gauge("members_up", self.table.up().len() as u64),
            Count::gauge("members_expected", expected),
            Count::gauge("member_registered", registered),
            Count::counter("member_suspicions_total", self.suspicions),
            Count::counter("member_deaths_total", self.deaths),
            Count::counter("member_refutations_total", u64::from(self.refutation)),
            Count::counter("member_news_total", self.spreads),
            Count::counter("member_forwards_total", self.forwards),
            Count::counter("member_repeats_total", self.older),
            Count::counter("member_registry_failures_total", self.registry.failures()),
        ]);
    }

    /// The daemons that callers may be sent to.
    fn candidates<'a>(&'a self, ctx: &Ctx<'a>) -> Vec<Candidate<'a>> {
        let takers = self.table.iter().filter(|member| member.takes_work());
        let mut candidates: Vec<Candidate> = takers
            .map(|member| Candidate {
                daemon: &member.news.daemon.name,
                address: member.news.daemon.caller,
                region: &member.news.daemon.region,
                hall: &member.news.daemon.hall,
                is_suspect: member.suspected.is_some(),
            })
            .collect();
        if !self.stopping && self.is_fresh(ctx.now) {
            candidates.push(Candidate {
                daemon: &ctx.me.name,
                address: ctx.me.caller,
                region: &ctx.me.region,
                hall: &ctx.me.hall,
                is_suspect: false,
            });
        }
        candidates
    }
}

/// Commands.
impl Members {
    /// Starts probing, and registers at the platform's service.
    pub fn on_start(&mut self, ctx: &mut Ctx) {
        self.me = ctx.me.name.clone();
        self.fresh.set_window(ctx.options.freshness);
        self.unbounded = !ctx.options.has(Mechanism::FreshnessBound);
        self.registry.advance(ctx);
        self.on_period(ctx);
        ctx.timer(Timer::Member(MemberTimer::Load), load::TICK);
        ctx.timer(Timer::Member(MemberTimer::Registry), REGISTRY_TICK);
    }

    /// Notes that the platform's service has answered.
    ///
    /// What was waiting while this daemon was paused doesn't count.
    pub fn on_platform_reachable(&mut self, now: Time) {
        if !self.woken && !self.prober.is_overdue(now) {
            self.fresh.on_platform(now);
        }
    }

    /// Notes a sign of life; false if it is from a run known to be over.
    pub fn on_contact(
        &mut self,
        ctx: &mut Ctx,
        from: &DaemonName,
        incarnation: Incarnation,
        address: SocketAddr,
    ) -> bool {
        self.hear(ctx, from, incarnation, address)
    }

    /// Notes the revision in force on another daemon.
    pub fn note_revision(&mut self, from: &DaemonName, revision: Revision) {
        self.table.note_revision(from, revision);
    }

    /// Notes that a message over a stream could not be delivered.
    pub fn on_undelivered(&mut self, _ctx: &mut Ctx, address: SocketAddr) {
        if let Some(name) = self.table.at(address) {
            self.prober.hurry(name.clone());
        }
    }

    /// Takes a message; returns the hosts whose health or load changed.
    pub fn on_message(
        &mut self,
        ctx: &mut Ctx,
        _view: &View,
        hosts: &mut Hosts,
        from: &DaemonName,
        message: MemberMessage,
    ) -> Vec<HostName> {
        match message {
            MemberMessage::Probe {
                number,
                greet,
                gossip,
            } => {
                let changed = self.take_gossip(ctx, hosts, gossip);
                self.answer_probe(ctx, from, number, greet);
                return changed;
            }
            MemberMessage::Alive { number, gossip } => {
                let changed = self.take_gossip(ctx, hosts, gossip);
                self.on_alive(ctx, number);
                return changed;
            }
            MemberMessage::ProbeFor { number, target } => {
                self.on_probe_for(ctx, from, number, target);
            }
            MemberMessage::Vouched { number } => self.on_vouched(number),
            MemberMessage::Pull => self.send_table(ctx, from),
            MemberMessage::Table(news) => self.merge_all(ctx, news),
            MemberMessage::Spread {
                origin,
                incarnation,
                sequence,
                news,
            } => {
                let source = Source {
                    origin: &origin,
                    incarnation,
                    sequence,
                };
                return self.on_spread(ctx, hosts, source, news);
            }
        }
        Vec::new()
    }

    /// Takes a timer; returns the hosts whose health or load changed.
    pub fn on_timer(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        hosts: &mut Hosts,
        groups: &Groups,
        timer: MemberTimer,
    ) -> Vec<HostName> {
        match timer {
            MemberTimer::Probe => self.on_period(ctx),
            MemberTimer::Indirect => self.on_indirect(ctx),
            MemberTimer::Registry => {
                ctx.timer(Timer::Member(MemberTimer::Registry), REGISTRY_TICK);
                self.registry.advance(ctx);
            }
            MemberTimer::Load => {
                ctx.timer(Timer::Member(MemberTimer::Load), load::TICK);
                return self.on_load_tick(ctx, view, hosts, groups);
            }
        }
        Vec::new()
    }

    /// Takes the answer to a platform call of this part; nothing means that it failed.
    pub fn on_platform(&mut self, ctx: &mut Ctx, id: PlatformId, answer: Option<PlatformAnswer>) {
        if !self.registry.on_reached(id) {
            self.registry.on_answer(ctx, id, answer);
            return;
        }
        if answer.is_some() {
            self.woken = false;
            self.on_platform_reachable(ctx.now);
        }
    }

    /// Takes changes of the records in force.
    pub fn on_config(&mut self, ctx: &mut Ctx, view: &View, changed: &[Key]) {
        for key in changed {
            let Key::Daemon(name) = key else {
                continue;
            };
            if *name == ctx.me.name {
                self.registry.on_config(ctx, view.entry(key));
                continue;
            }
            let record = view.daemon(name).map(|held| &held.record);
            if self.table.register(name, record, ctx.now) {
                self.prober.include(ctx, name.clone());
            }
        }
    }

    /// Answers a caller who asks which daemons to use.
    pub fn on_entries(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        call: CallId,
        credential: KeyHash,
        _model: Option<ModelName>,
    ) {
        let Some(account) = view.account_by_key(&credential) else {
            refuse(ctx, call, Refusal::Unauthorized);
            return;
        };
        let count = usize::from(ctx.options.entry_count.max(1));
        let candidates = self.candidates(ctx);
        let chosen = discovery::rank(ctx, &account.name, candidates, count);
        if chosen.is_empty() {
            let reason = if self.stopping {
                Refusal::Stopping
            } else {
                Refusal::Stale
            };
            refuse(ctx, call, reason);
            return;
        }
        let entries = discovery::entries(&chosen);
        let takes_work = !self.stopping && self.is_fresh(ctx.now);
        let ticket = takes_work.then(|| ticket::issue(ctx, &account.name));
        let ttl = ctx.options.entry_ttl;
        ctx.push(Output::Call(CallOutput::Entries {
            call,
            entries,
            ttl,
            ticket,
        }));
    }

    /// Leaves discovery, and tells the others.
    pub fn on_stop(&mut self, ctx: &mut Ctx, _view: &View) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        let own = self.own(ctx);
        self.spread_surely(ctx, News::Daemon(own));
        self.registry.on_stop(ctx);
    }

    fn send_table(&mut self, ctx: &mut Ctx, to: &DaemonName) {
        if !self.hears_peers(ctx.now) {
            return;
        }
        let Some(address) = self.table.get(to).map(|m| m.news.daemon.peer) else {
            return;
        };
        let others = self.table.iter().map(|member| member.news.clone());
        let table: Vec<Delta> = others.chain([self.own(ctx)]).collect();
        ctx.stream(address, Message::Member(MemberMessage::Table(table)));
    }
}

fn refuse(ctx: &mut Ctx, call: CallId, reason: Refusal) {
    let ending = Ending::Refused {
        reason,
        retry_after: None,
    };
    ctx.push(Output::Call(CallOutput::End { call, ending }));
}
