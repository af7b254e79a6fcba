//! Membership of daemons, discovery for callers, and the runner hosts.
//!
//! No consensus is involved. Each daemon probes the others, keeps its own member
//! table and judges the hosts by itself. Updates are broadcast along trees, and
//! repeats and table syncs make up for lost messages.

mod broadcast;
mod discovery;
mod freshness;
mod gossip;
mod health;
mod hosts;
mod liveness;
mod load;
mod maintenance;
mod message;
mod probe;
mod registry;
mod table;
mod tree;

pub use health::Health;
pub use hosts::{Host, Hosts};
pub use load::{Digest, HostLoad};
pub use message::{Gossip, MemberMessage, MemberTimer, Update};
pub use table::{MemberStatus, MemberUpdate};

use super::{
    config::{Key, View},
    ctx::Ctx,
    group::Groups,
    input::PlatformAnswer,
    keys::{CallId, DaemonName, HostName, Incarnation, KeyHash, ModelName, PlatformId, Revision},
    message::Message,
    metric::Metric,
    options::Mechanism,
    output::{CallOutput, Ending, Output, Refusal},
    request::ticket,
    status::DaemonStatus,
    time::{Span, Time},
    timer::Timer,
};
use broadcast::Repeat;
use discovery::Candidate;
use freshness::Freshness;
use gossip::GossipQueue;
use load::LoadMonitor;
use maintenance::Maintenance;
use probe::Prober;
use registry::Registry;
use std::net::SocketAddr;
use table::Table;
use tree::{BroadcastId, SeenBroadcasts};

/// Interval between checks of the registration.
const REGISTRY_INTERVAL: Span = Span::from_millis(500);

/// Member table of this daemon, with the failure detection and gossip that maintain it.
#[derive(Debug, Default)]
pub struct Members {
    me: DaemonName,
    table: Table,
    prober: Prober,
    daemon_gossip: GossipQueue<DaemonName>,
    leaving_gossip: GossipQueue<HostName>,
    repeats: Vec<Repeat>,
    maintenance: Maintenance,
    freshness: Freshness,
    registry: Registry,
    load_monitor: LoadMonitor,
    seen: SeenBroadcasts,
    hosts_swept: Time,
    always_fresh: bool,
    stopping: bool,
    /// Set after a pause of this daemon, until the platform's store answers.
    resumed: bool,
    /// Number of times that this incarnation has refuted its death.
    refutation: u32,
    /// Number of broadcasts started, which is the sequence number of the last one.
    broadcasts: u64,
    forwards: u64,
    suspicions: u64,
    deaths: u64,
    duplicates: u64,
}

/// Queries.
impl Members {
    /// Returns true if this daemon's state is recent enough to act on.
    pub fn is_fresh(&self, now: Time) -> bool {
        let up = self.table.up().len();
        self.always_fresh || self.freshness.is_fresh(now, up, self.table.expected())
    }

    /// Returns the peer address of a live daemon, if it runs as the given incarnation.
    pub fn address(
        &self,
        daemon: &DaemonName,
        incarnation: Option<Incarnation>,
    ) -> Option<SocketAddr> {
        let member = self.table.get(daemon)?;
        let record = &member.latest.daemon;
        let matches = incarnation.is_none_or(|wanted| wanted == record.incarnation);
        (member.is_up() && matches).then_some(record.peer)
    }

    /// Iterates over the other live daemons by name, with their peer addresses.
    pub fn live(&self) -> impl Iterator<Item = (&DaemonName, SocketAddr)> {
        let members = self.table.iter().filter(|member| member.is_up());
        members.map(|member| (&member.latest.daemon.name, member.latest.daemon.peer))
    }

    /// Returns the status of every daemon, this one included, by name.
    pub fn status(&self, view: &View) -> Vec<DaemonStatus> {
        let own = DaemonStatus {
            daemon: self.me.clone(),
            state: if self.stopping { "leaving" } else { "live" }.to_owned(),
            revision: view.revision(),
        };
        let others = self.table.iter().map(|member| DaemonStatus {
            daemon: member.latest.daemon.name.clone(),
            state: member.state().to_owned(),
            revision: member.revision,
        });
        let mut all: Vec<DaemonStatus> = others.chain([own]).collect();
        all.sort_by(|a, b| a.daemon.cmp(&b.daemon));
        all
    }

    /// Appends the membership metrics.
    pub fn metrics(&self, metrics: &mut Vec<Metric>) {
        let expected = self.table.expected() as u64;
        let registered = u64::from(self.registry.is_registered());
        metrics.extend([
            Metric::gauge("members_up", self.table.up().len() as u64),
            Metric::gauge("members_expected", expected),
            Metric::gauge("member_registered", registered),
            Metric::counter("member_suspicions_total", self.suspicions),
            Metric::counter("member_deaths_total", self.deaths),
            Metric::counter("member_refutations_total", u64::from(self.refutation)),
            Metric::counter("member_news_total", self.broadcasts),
            Metric::counter("member_forwards_total", self.forwards),
            Metric::counter("member_repeats_total", self.duplicates),
            Metric::counter("member_registry_failures_total", self.registry.failures()),
        ]);
    }

    /// Returns the daemons that callers may be directed to.
    fn candidates<'a>(&'a self, ctx: &Ctx<'a>) -> Vec<Candidate<'a>> {
        let members = self.table.iter().filter(|member| member.accepts_work());
        let mut candidates: Vec<Candidate> = members
            .map(|member| Candidate {
                daemon: &member.latest.daemon.name,
                address: member.latest.daemon.caller,
                region: &member.latest.daemon.region,
                hall: &member.latest.daemon.hall,
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
    /// Starts probing and registers with the platform's store.
    pub fn on_start(&mut self, ctx: &mut Ctx) {
        self.me = ctx.me.name.clone();
        self.freshness.set_window(ctx.options.freshness);
        self.always_fresh = !ctx.options.is_enabled(Mechanism::FreshnessBound);
        self.registry.advance(ctx);
        self.on_period(ctx);
        ctx.set_timer(Timer::Member(MemberTimer::Load), load::POLL_INTERVAL);
        ctx.set_timer(Timer::Member(MemberTimer::Registry), REGISTRY_INTERVAL);
    }

    /// Records that the platform's store has answered.
    ///
    /// Ignored after a pause of this daemon: the answer may have been queued since before it.
    pub fn on_platform_reachable(&mut self, now: Time) {
        if !self.resumed && !self.prober.is_overdue(now) {
            self.freshness.record_platform(now);
        }
    }

    /// Records a message from a daemon; returns false if the message is to be dropped.
    ///
    /// That is the case for an ended incarnation and for this daemon's own name.
    pub fn on_contact(
        &mut self,
        ctx: &mut Ctx,
        from: &DaemonName,
        incarnation: Incarnation,
        address: SocketAddr,
    ) -> bool {
        self.record_contact(ctx, from, incarnation, address)
    }

    /// Records the configuration revision in force on another daemon.
    pub fn note_revision(&mut self, from: &DaemonName, revision: Revision) {
        self.table.note_revision(from, revision);
    }

    /// Schedules an early probe of a daemon that a stream message could not be delivered to.
    pub fn on_undelivered(&mut self, _ctx: &mut Ctx, address: SocketAddr) {
        if let Some(name) = self.table.by_address(address) {
            self.prober.prioritize(name.clone());
        }
    }

    /// Handles a message; returns the hosts whose health or load changed.
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
                wants_record,
                gossip,
            } => {
                let changed = self.apply_gossip(ctx, hosts, gossip);
                self.answer_probe(ctx, from, number, wants_record);
                return changed;
            }
            MemberMessage::Ack { number, gossip } => {
                let changed = self.apply_gossip(ctx, hosts, gossip);
                self.on_ack(ctx, number);
                return changed;
            }
            MemberMessage::IndirectProbe { number, target } => {
                self.on_indirect_probe(ctx, from, number, target);
            }
            MemberMessage::IndirectAck { number } => self.on_indirect_ack(number),
            MemberMessage::Pull => self.send_table(ctx, from),
            MemberMessage::Table(updates) => self.merge_all(ctx, updates),
            MemberMessage::Broadcast {
                origin,
                incarnation,
                sequence,
                update,
            } => {
                let id = BroadcastId {
                    origin: &origin,
                    incarnation,
                    sequence,
                };
                return self.on_broadcast(ctx, hosts, id, update);
            }
        }
        Vec::new()
    }

    /// Handles an expired timer; returns the hosts whose health or load changed.
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
            MemberTimer::Indirect => self.on_direct_timeout(ctx),
            MemberTimer::Registry => {
                ctx.set_timer(Timer::Member(MemberTimer::Registry), REGISTRY_INTERVAL);
                self.registry.advance(ctx);
            }
            MemberTimer::Load => {
                ctx.set_timer(Timer::Member(MemberTimer::Load), load::POLL_INTERVAL);
                return self.on_load_timer(ctx, view, hosts, groups);
            }
        }
        Vec::new()
    }

    /// Handles the answer to a platform call of this part, `None` if the call failed.
    pub fn on_platform(&mut self, ctx: &mut Ctx, id: PlatformId, answer: Option<PlatformAnswer>) {
        if !self.registry.on_platform_check(id) {
            self.registry.on_answer(ctx, id, answer);
            return;
        }
        if answer.is_some() {
            self.resumed = false;
            self.on_platform_reachable(ctx.now);
        }
    }

    /// Applies changes of the daemons' records in force.
    pub fn on_config(&mut self, ctx: &mut Ctx, view: &View, changed: &[Key]) {
        for key in changed {
            let Key::Daemon(name) = key else {
                continue;
            };
            if *name == ctx.me.name {
                self.registry.on_config(ctx, view.entry(key));
                continue;
            }
            let record = view.daemon(name).map(|entry| &entry.record);
            if self.table.update_record(name, record, ctx.now) {
                self.prober.add_to_round(ctx, name.clone());
            }
        }
    }

    /// Answers a caller's discovery request.
    pub fn on_entries(
        &mut self,
        ctx: &mut Ctx,
        view: &View,
        call: CallId,
        credential: KeyHash,
        _model: Option<ModelName>,
    ) {
        let Some(account) = view.account_by_key(&credential) else {
            let reason = match view.is_loaded() {
                true => Refusal::Unauthorized,
                false => Refusal::Stale,
            };
            refuse(ctx, call, reason);
            return;
        };
        let count = usize::from(ctx.options.entry_count.max(1));
        let candidates = self.candidates(ctx);
        let selected = discovery::select(ctx, &account.name, candidates, count);
        if selected.is_empty() {
            let reason = if self.stopping {
                Refusal::Stopping
            } else {
                Refusal::Stale
            };
            refuse(ctx, call, reason);
            return;
        }
        let entries = discovery::entries(&selected);
        let accepts_work = !self.stopping && self.is_fresh(ctx.now);
        let ticket = accepts_work.then(|| ticket::issue(ctx, &account.name));
        let ttl = ctx.options.entry_ttl;
        ctx.push(Output::Call(CallOutput::Entries {
            call,
            entries,
            ttl,
            ticket,
        }));
    }

    /// Withdraws from discovery and announces the departure to the other daemons.
    pub fn on_stop(&mut self, ctx: &mut Ctx, _view: &View) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        let own = self.own_update(ctx);
        self.broadcast_repeatedly(ctx, Update::Daemon(own));
        self.registry.on_stop(ctx);
    }

    fn send_table(&mut self, ctx: &mut Ctx, to: &DaemonName) {
        if !self.reaches_peers(ctx.now) {
            return;
        }
        let Some(address) = self.table.get(to).map(|m| m.latest.daemon.peer) else {
            return;
        };
        let others = self.table.iter().map(|member| member.latest.clone());
        let table: Vec<MemberUpdate> = others.chain([self.own_update(ctx)]).collect();
        ctx.send_stream(address, Message::Member(MemberMessage::Table(table)));
    }
}

fn refuse(ctx: &mut Ctx, call: CallId, reason: Refusal) {
    let ending = Ending::Refused {
        reason,
        retry_after: None,
    };
    ctx.push(Output::Call(CallOutput::End { call, ending }));
}
