//! Exchange of configuration changes between daemons.
//!
//! A daemon sends digests of its mirror's position to a few random daemons:
//! immediately and twice more after a change, and otherwise at a fixed interval.
//! A daemon that lags fetches the missing changes from the sender. Each change
//! thus travels to each daemon once, whatever the size of the cluster, and a
//! lost message delays it by at most one interval.
//!
//! Two daemons of each hall, chosen by rank, watch the platform. If no other
//! daemon has been in contact with the platform recently, further daemons start
//! to watch one after the other, and stop when another daemon is in contact again.

use super::{ConfigMessage, mirror::Mirror, view::View};
use crate::core::{
    ctx::Ctx,
    keys::{DaemonName, Revision},
    member::Members,
    message::Message,
    time::{Span, Time},
    timer::{ConfigTimer, Timer},
};
use rand::{Rng as _, seq::IteratorRandom as _};
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Interval between digests while nothing changes.
const GOSSIP_INTERVAL: Span = Span::from_millis(500);

/// Number of daemons that get a digest per interval.
const GOSSIP_FANOUT: usize = 2;

/// Number of daemons that get a digest immediately after a change.
const CHANGE_FANOUT: usize = 4;

/// Number of times that the digest of a change is sent again, to other random daemons.
const CHANGE_REPEATS: u8 = 2;

/// Delay before a change's digest is sent again; doubled after the first time.
const REPEAT_DELAY: Span = Span::from_millis(50);

/// Time after which an unanswered fetch may be repeated, also to another daemon.
const FETCH_TIMEOUT: Span = Span::from_millis(300);

/// Number of daemons of a hall that watch the platform.
const WATCHERS_PER_HALL: usize = 2;

/// Maximum number of daemons of a hall that watch the platform during an outage.
const MAX_WATCHERS_PER_HALL: usize = 8;

/// Time without news of the platform after which further daemons watch it.
const TAKEOVER_DELAY: Span = Span::from_secs(3);

/// Additional delay per rank before a further daemon watches the platform.
const TAKEOVER_DELAY_PER_RANK: Span = Span::from_millis(300);

/// State of the exchange with other daemons.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    /// Daemon whose contact with the platform confirmed the mirror.
    source: DaemonName,
    /// Last known contact of another daemon with the platform.
    peer_heard: Option<Time>,
    /// Daemon that is ahead of this one, and the revision of its last change.
    ahead: Option<(DaemonName, Revision)>,
    fetch_sent: Option<Time>,
    /// Number of times that the last change is still to be sent again.
    repeats_left: u8,
    seed_index: usize,
    /// Counters for metrics.
    pub(super) counters: GossipCounters,
}

/// Counters of the exchange.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GossipCounters {
    /// Digests sent.
    pub(super) digests: u64,
    /// Fetches sent.
    pub(super) fetches: u64,
    /// Fetches answered with changes.
    pub(super) changes: u64,
    /// Fetches answered with a snapshot.
    pub(super) snapshots: u64,
}

/// Queries.
impl Gossip {
    /// Returns true if a fetch is in flight.
    pub(super) fn is_fetching(&self) -> bool {
        self.fetch_sent.is_some()
    }

    /// Returns true if this daemon is to watch the platform.
    pub(super) fn should_watch(&self, ctx: &Ctx, view: &View, members: &Members) -> bool {
        let rank = rank(ctx, view, members);
        if rank < WATCHERS_PER_HALL {
            return true;
        }
        let delay = TAKEOVER_DELAY + TAKEOVER_DELAY_PER_RANK.times(rank as u64);
        let heard = self.peer_heard;
        let is_stale = heard.is_none_or(|at| ctx.now.since(at) >= delay);
        is_stale && rank < MAX_WATCHERS_PER_HALL
    }
}

/// Commands.
impl Gossip {
    /// Starts the digests, and fetches the records from a seed daemon.
    pub(super) fn start(&mut self, ctx: &mut Ctx) {
        let jitter = Span(ctx.rng.random_range(0..GOSSIP_INTERVAL.0));
        ctx.set_timer(Timer::Config(ConfigTimer::Gossip), GOSSIP_INTERVAL + jitter);
        self.seed_index = ctx.rng.random_range(0..1_000);
        self.fetch_from_seed(ctx);
    }

    /// Records that this daemon is in contact with the platform.
    pub(super) fn on_confirmed(&mut self, ctx: &Ctx, mirror: &mut Mirror) {
        self.source = ctx.me.name.clone();
        mirror.confirm(ctx.now);
    }

    /// Sends digests to a few random daemons and sets the timer for the next ones.
    pub(super) fn on_gossip_timer(
        &mut self,
        ctx: &mut Ctx,
        mirror: &Mirror,
        members: &Members,
        has_changed: bool,
    ) {
        let (fanout, delay) = match (has_changed, self.repeats_left) {
            (true, _) => {
                self.repeats_left = CHANGE_REPEATS;
                (CHANGE_FANOUT, REPEAT_DELAY)
            }
            (false, 0) => (GOSSIP_FANOUT, GOSSIP_INTERVAL),
            (false, repeats) => {
                self.repeats_left = repeats - 1;
                (CHANGE_FANOUT, REPEAT_DELAY.times(2))
            }
        };
        ctx.set_timer(Timer::Config(ConfigTimer::Gossip), delay);
        let targets = members.live().choose_multiple(ctx.rng, fanout);
        for (_, to) in targets {
            self.send_digest(ctx, mirror, to);
        }
    }

    /// Handles a digest: replies if the sender lags, fetches if this daemon does.
    pub(super) fn on_digest(
        &mut self,
        ctx: &mut Ctx,
        mirror: &mut Mirror,
        members: &Members,
        from: &DaemonName,
        digest: Digest,
    ) {
        let confirmed = Time(ctx.now.0.saturating_sub(digest.age.0));
        if digest.source != ctx.me.name {
            self.peer_heard = self.peer_heard.max(Some(confirmed));
        }
        if mirror.changed > digest.complete {
            self.send_digest_to(ctx, mirror, members, from);
            return;
        }
        if digest.changed > mirror.view.revision() {
            self.ahead = Some((from.clone(), digest.changed));
            self.fetch(ctx, mirror, members);
            return;
        }
        mirror.view.advance(digest.complete);
        if confirmed > mirror.confirmed {
            mirror.confirm(confirmed);
            self.source = digest.source;
        }
    }

    /// Sends a daemon the changes that it lacks.
    pub(super) fn on_fetch(
        &mut self,
        ctx: &mut Ctx,
        mirror: &Mirror,
        members: &Members,
        from: &DaemonName,
        after: Revision,
    ) {
        let Some(to) = members.address(from, None) else {
            return;
        };
        let message = mirror.changes_since(after);
        match &message {
            ConfigMessage::Snapshot { .. } => {
                self.counters.snapshots += 1;
                ctx.send_stream(to, Message::Config(message));
            }
            _ => {
                self.counters.changes += 1;
                ctx.send_datagram(to, Message::Config(message));
            }
        }
    }

    /// Records that a fetch was answered.
    pub(super) fn on_fetched(&mut self, mirror: &Mirror) {
        self.fetch_sent = None;
        let complete = mirror.view.revision();
        self.ahead.take_if(|(_, changed)| *changed <= complete);
    }

    /// Repeats a fetch if changes are still missing.
    pub(super) fn on_fetch_timer(&mut self, ctx: &mut Ctx, mirror: &Mirror, members: &Members) {
        if mirror.view.revision() == Revision::default() {
            self.fetch_from_seed(ctx);
            return;
        }
        self.ahead
            .take_if(|(_, changed)| *changed <= mirror.view.revision());
        self.fetch(ctx, mirror, members);
    }

    fn fetch(&mut self, ctx: &mut Ctx, mirror: &Mirror, members: &Members) {
        let Some((daemon, _)) = &self.ahead else {
            return;
        };
        let is_in_flight = self
            .fetch_sent
            .is_some_and(|at| ctx.now.since(at) < FETCH_TIMEOUT);
        let Some(to) = members.address(daemon, None) else {
            self.ahead = None;
            return;
        };
        if is_in_flight {
            return;
        }
        self.send_fetch(ctx, to, mirror.view.revision());
    }

    fn fetch_from_seed(&mut self, ctx: &mut Ctx) {
        let own = ctx.me.peer;
        let seeds: Vec<SocketAddr> = ctx.me.seeds.iter().copied().filter(|s| *s != own).collect();
        if seeds.is_empty() {
            return;
        }
        self.seed_index += 1;
        let seed = seeds[self.seed_index % seeds.len()];
        self.send_fetch(ctx, seed, Revision::default());
    }

    fn send_fetch(&mut self, ctx: &mut Ctx, to: SocketAddr, after: Revision) {
        self.fetch_sent = Some(ctx.now);
        self.counters.fetches += 1;
        ctx.send_datagram(to, Message::Config(ConfigMessage::Fetch { after }));
        ctx.set_timer(Timer::Config(ConfigTimer::Fetch), FETCH_TIMEOUT);
    }

    fn send_digest_to(
        &mut self,
        ctx: &mut Ctx,
        mirror: &Mirror,
        members: &Members,
        to: &DaemonName,
    ) {
        if let Some(to) = members.address(to, None) {
            self.send_digest(ctx, mirror, to);
        }
    }

    fn send_digest(&mut self, ctx: &mut Ctx, mirror: &Mirror, to: SocketAddr) {
        self.counters.digests += 1;
        let digest = Digest {
            complete: mirror.view.revision(),
            changed: mirror.changed,
            age: ctx.now.since(mirror.confirmed),
            source: self.source.clone(),
        };
        ctx.send_datagram(to, Message::Config(ConfigMessage::Digest(digest)));
    }
}

crate::record! {
    /// Position of a daemon's mirror.
    pub struct Digest {
        /// Revision up to which the mirror is complete.
        pub complete: Revision,
        /// Revision of the last change up to then.
        pub changed: Revision,
        /// Time since the platform is known to have held nothing newer.
        pub age: Span,
        /// Daemon that was in contact with the platform.
        pub source: DaemonName,
    }
}

/// Returns the number of live daemons of this hall that rank higher, by rendezvous hashing.
fn rank(ctx: &Ctx, view: &View, members: &Members) -> usize {
    let hall = &ctx.me.hall;
    let weight = |daemon: &DaemonName| {
        let seed = xxh3_64_with_seed(hall.as_str().as_bytes(), 0);
        xxh3_64_with_seed(daemon.as_str().as_bytes(), seed)
    };
    let own_weight = weight(&ctx.me.name);
    let in_hall = |name: &DaemonName| {
        let record = view.daemon(name).map(|held| &held.record);
        record.is_some_and(|record| record.hall == *hall && !record.leaving)
    };
    members
        .live()
        .filter(|(name, _)| in_hall(name) && weight(name) > own_weight)
        .count()
}
