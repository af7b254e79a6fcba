//! Learning of changes from other daemons, and telling them.
//!
//! A daemon tells a few others at random how far its mirror is: at once and
//! twice more when it has learnt a change, and once a period besides. One that lags fetches
//! what it lacks from the one that told it. Each change so travels once to
//! each daemon, whatever the size of the fleet, and a lost message costs one
//! period.
//!
//! Two daemons of each hall watch the platform, by rank. The others step in,
//! one after the other, when nobody but themselves has had word from the
//! platform for a while, and step back when somebody has.

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

/// How often a digest is sent without need.
const PERIOD: Span = Span::from_millis(500);

/// Daemons told in each period.
const PERIOD_FANOUT: usize = 2;

/// Daemons told at once of a change.
const CHANGE_FANOUT: usize = 4;

/// How often as many are told again, for those that were not.
const CHANGE_REPEATS: u8 = 2;

/// The pause before they are told again.
const REPEAT_PAUSE: Span = Span::from_millis(50);

/// How long a fetch may go unanswered before another daemon is asked.
const FETCH_TIMEOUT: Span = Span::from_millis(300);

/// Daemons of a hall that watch the platform.
const WATCHERS: usize = 2;

/// Daemons of a hall that may watch the platform at most.
const MAX_WATCHERS: usize = 8;

/// How old word from the platform is before further daemons watch it.
const STALE: Span = Span::from_secs(3);

/// How much later each further daemon steps in.
const STEP: Span = Span::from_millis(300);

/// The exchange with other daemons.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    /// Whose word from the platform the mirror's confirmation is.
    source: DaemonName,
    /// When the platform was last known to be heard by another daemon.
    heard_elsewhere: Option<Time>,
    /// A daemon that is ahead, and the last change that it told of.
    ahead: Option<(DaemonName, Revision)>,
    fetching: Option<Time>,
    /// How often the last change is yet to be told again.
    repeats: u8,
    seed: usize,
    /// What was done, for metrics.
    pub(super) counted: GossipCounts,
}

/// What was done.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GossipCounts {
    /// Digests sent.
    pub(super) digests: u64,
    /// Fetches sent.
    pub(super) fetches: u64,
    /// Fetches answered with changes.
    pub(super) changes: u64,
    /// Fetches answered with every entry.
    pub(super) snapshots: u64,
}

/// Queries.
impl Gossip {
    /// Whether a peer was asked for what this daemon lacks.
    pub(super) fn is_waiting(&self) -> bool {
        self.fetching.is_some()
    }

    /// Whether this daemon is to watch the platform.
    pub(super) fn is_watcher(&self, ctx: &Ctx, view: &View, members: &Members) -> bool {
        let rank = rank(ctx, view, members);
        if rank < WATCHERS {
            return true;
        }
        let patience = STALE + STEP.times(rank as u64);
        let elsewhere = self.heard_elsewhere;
        let is_stale = elsewhere.is_none_or(|at| ctx.now.since(at) >= patience);
        is_stale && rank < MAX_WATCHERS
    }
}

/// Commands.
impl Gossip {
    /// Asks the first daemons that the settings name for what they know.
    pub(super) fn start(&mut self, ctx: &mut Ctx) {
        let jitter = Span(ctx.rng.random_range(0..PERIOD.0));
        ctx.set_timer(Timer::Config(ConfigTimer::Gossip), PERIOD + jitter);
        self.seed = ctx.rng.random_range(0..1_000);
        self.ask_seed(ctx);
    }

    /// Notes that this daemon has had word from the platform.
    pub(super) fn on_confirmed(&mut self, ctx: &Ctx, mirror: &mut Mirror) {
        self.source = ctx.me.name.clone();
        mirror.confirm(ctx.now);
    }

    /// Tells a few daemons how far the mirror is.
    pub(super) fn on_period(
        &mut self,
        ctx: &mut Ctx,
        mirror: &Mirror,
        members: &Members,
        has_changed: bool,
    ) {
        let (fanout, pause) = match (has_changed, self.repeats) {
            (true, _) => {
                self.repeats = CHANGE_REPEATS;
                (CHANGE_FANOUT, REPEAT_PAUSE)
            }
            (false, 0) => (PERIOD_FANOUT, PERIOD),
            (false, repeats) => {
                self.repeats = repeats - 1;
                (CHANGE_FANOUT, REPEAT_PAUSE.times(2))
            }
        };
        ctx.set_timer(Timer::Config(ConfigTimer::Gossip), pause);
        let some = members.live().choose_multiple(ctx.rng, fanout);
        for (_, to) in some {
            self.send_digest(ctx, mirror, to);
        }
    }

    /// Takes a digest: the mirror is as far already, or has to fetch, or is ahead.
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
            self.heard_elsewhere = self.heard_elsewhere.max(Some(confirmed));
        }
        if mirror.changed > digest.complete {
            self.tell(ctx, mirror, members, from);
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

    /// Gives a daemon what it lacks.
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
        let message = mirror.since(after);
        match &message {
            ConfigMessage::Snapshot { .. } => {
                self.counted.snapshots += 1;
                ctx.send_stream(to, Message::Config(message));
            }
            _ => {
                self.counted.changes += 1;
                ctx.send_datagram(to, Message::Config(message));
            }
        }
    }

    /// Notes that a fetch was answered.
    pub(super) fn on_fetched(&mut self, mirror: &Mirror) {
        self.fetching = None;
        let complete = mirror.view.revision();
        self.ahead.take_if(|(_, changed)| *changed <= complete);
    }

    /// Asks again for what is still lacking.
    pub(super) fn on_timer(&mut self, ctx: &mut Ctx, mirror: &Mirror, members: &Members) {
        if mirror.view.revision() == Revision::default() {
            self.ask_seed(ctx);
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
        let is_asked = self
            .fetching
            .is_some_and(|at| ctx.now.since(at) < FETCH_TIMEOUT);
        let Some(to) = members.address(daemon, None) else {
            self.ahead = None;
            return;
        };
        if is_asked {
            return;
        }
        self.ask(ctx, to, mirror.view.revision());
    }

    fn ask_seed(&mut self, ctx: &mut Ctx) {
        let own = ctx.me.peer;
        let seeds: Vec<SocketAddr> = ctx.me.seeds.iter().copied().filter(|s| *s != own).collect();
        if seeds.is_empty() {
            return;
        }
        self.seed += 1;
        let seed = seeds[self.seed % seeds.len()];
        self.ask(ctx, seed, Revision::default());
    }

    fn ask(&mut self, ctx: &mut Ctx, to: SocketAddr, after: Revision) {
        self.fetching = Some(ctx.now);
        self.counted.fetches += 1;
        ctx.send_datagram(to, Message::Config(ConfigMessage::Fetch { after }));
        ctx.set_timer(Timer::Config(ConfigTimer::Fetch), FETCH_TIMEOUT);
    }

    fn tell(&mut self, ctx: &mut Ctx, mirror: &Mirror, members: &Members, to: &DaemonName) {
        if let Some(to) = members.address(to, None) {
            self.send_digest(ctx, mirror, to);
        }
    }

    fn send_digest(&mut self, ctx: &mut Ctx, mirror: &Mirror, to: SocketAddr) {
        self.counted.digests += 1;
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
    /// How far a daemon's mirror is.
    pub struct Digest {
        /// The revision up to which it is complete.
        pub complete: Revision,
        /// The revision of the last change up to there.
        pub changed: Revision,
        /// How long ago the platform is known to have held nothing newer.
        pub age: Span,
        /// The daemon that heard so from the platform.
        pub source: DaemonName,
    }
}

/// How many daemons of this hall come before this one, by rendezvous hashing.
fn rank(ctx: &Ctx, view: &View, members: &Members) -> usize {
    let hall = &ctx.me.hall;
    let weigh = |daemon: &DaemonName| {
        let seed = xxh3_64_with_seed(hall.as_str().as_bytes(), 0);
        xxh3_64_with_seed(daemon.as_str().as_bytes(), seed)
    };
    let mine = weigh(&ctx.me.name);
    let in_hall = |name: &DaemonName| {
        let record = view.daemon(name).map(|held| &held.record);
        record.is_some_and(|record| record.hall == *hall && !record.leaving)
    };
    members
        .live()
        .filter(|(name, _)| in_hall(name) && weigh(name) > mine)
        .count()
}
