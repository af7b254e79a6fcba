//! Following the platform's key space: one list, then a watch.
//!
//! Daemons that are no watchers list once, if no peer can tell them the
//! records, and then leave the platform alone. The watch begins after the revision that the view is complete to, so no
//! change is missed; if the service has forgotten that revision, the keys are
//! listed again. Failures are retried after growing, jittered pauses, so that
//! daemons don't come back all at once after an outage.

use super::view::{ROOT, View};
use crate::core::{
    ctx::Ctx,
    input::{PlatformAnswer, PlatformEntry},
    keys::{Owner, PlatformId, Revision},
    output::PlatformCall,
    time::{Span, Time},
    timer::{ConfigTimer, Timer},
};
use rand::Rng as _;

/// The pause before a failed list or watch is tried again, at first.
const FIRST_PAUSE: Span = Span::from_millis(100);

/// The longest pause before a failed list or watch is tried again.
const MAX_PAUSE: Span = Span::from_millis(1_600);

/// How long peers may take to tell a new daemon the records.
const PEER_PATIENCE: Span = Span::from_millis(300);

/// How long a watch may be silent.
const WATCH_SILENCE: Span = Span::from_secs(4);

/// How far this daemon is with following the key space.
#[derive(Debug, Default)]
pub(super) struct Sync {
    phase: Phase,
    /// Whether this daemon leaves the platform alone.
    is_off: bool,
    heard: Time,
    failures: u32,
    /// What was done, for metrics.
    pub(super) counted: SyncCounts,
}

/// What was done.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SyncCounts {
    /// Lists asked for.
    pub(super) lists: u64,
    /// Watches begun.
    pub(super) watches: u64,
    /// Lists and watches that failed.
    pub(super) failures: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Phase {
    /// Waiting for the timer.
    #[default]
    Idle,
    /// A list is asked for.
    Listing(PlatformId),
    /// A watch is open.
    Watching(PlatformId),
}

/// Queries.
impl Sync {
    /// Whether a watch is open.
    pub(super) fn is_watching(&self) -> bool {
        matches!(self.phase, Phase::Watching(_))
    }
}

/// Commands.
impl Sync {
    /// Begins after a pause, in which peers may tell the records.
    pub(super) fn start_later(&mut self, ctx: &mut Ctx) {
        let jitter = Span(ctx.rng.random_range(0..=PEER_PATIENCE.0));
        ctx.set_timer(Timer::Config(ConfigTimer::Watch), PEER_PATIENCE + jitter);
    }

    /// Begins, unless it has begun or is not wanted.
    pub(super) fn start(&mut self, ctx: &mut Ctx, view: &View) {
        if self.phase != Phase::Idle || self.is_off {
            return;
        }
        match view.revision() > Revision::default() {
            true => self.watch(ctx, view),
            false => self.list(ctx),
        }
    }

    /// Goes on from a list, unless watching is not wanted.
    pub(super) fn follow(&mut self, ctx: &mut Ctx, view: &View) {
        if !self.is_off {
            self.watch(ctx, view);
        }
    }

    /// Says whether this daemon is to watch the platform.
    pub(super) fn set_watcher(&mut self, ctx: &mut Ctx, view: &View, watcher: bool) {
        let was_off = std::mem::replace(&mut self.is_off, !watcher);
        if watcher && was_off {
            self.start(ctx, view);
        }
        if let Phase::Watching(watch) = self.phase
            && !watcher
        {
            ctx.call_platform(Owner::Config, PlatformCall::Unwatch { watch });
            self.phase = Phase::Idle;
        }
    }

    /// Takes the answer to a call; nothing if it was no list, or failed.
    pub(super) fn on_answer(
        &mut self,
        ctx: &mut Ctx,
        id: PlatformId,
        answer: Option<PlatformAnswer>,
    ) -> Option<(Revision, Vec<PlatformEntry>)> {
        if self.phase != Phase::Listing(id) {
            return None;
        }
        let Some(PlatformAnswer::Entries { revision, entries }) = answer else {
            self.pause(ctx);
            return None;
        };
        self.phase = Phase::Idle;
        Some((revision, entries))
    }

    /// Notes word of a watch; false if it is not the one open.
    pub(super) fn on_watched(&mut self, ctx: &Ctx, id: PlatformId) -> bool {
        if self.phase != Phase::Watching(id) {
            return false;
        }
        self.heard = ctx.now;
        self.failures = 0;
        true
    }

    /// Lists anew if the watch's revisions are gone, else watches anew.
    pub(super) fn on_watch_ended(&mut self, ctx: &mut Ctx, id: PlatformId, compacted: bool) {
        if self.phase != Phase::Watching(id) {
            return;
        }
        match compacted {
            true => self.list(ctx),
            false => self.pause(ctx),
        }
    }

    /// Tries again, or gives up a watch that is silent.
    pub(super) fn on_timer(&mut self, ctx: &mut Ctx, view: &View) {
        match self.phase {
            Phase::Idle => self.start(ctx, view),
            Phase::Listing(_) => {}
            Phase::Watching(watch) if ctx.now.since(self.heard) >= WATCH_SILENCE => {
                ctx.call_platform(Owner::Config, PlatformCall::Unwatch { watch });
                self.pause(ctx);
            }
            Phase::Watching(_) => self.look_again(ctx),
        }
    }

    fn list(&mut self, ctx: &mut Ctx) {
        self.counted.lists += 1;
        let prefix = ROOT.to_owned();
        let id = ctx.call_platform(Owner::Config, PlatformCall::List { prefix });
        self.phase = Phase::Listing(id);
    }

    fn watch(&mut self, ctx: &mut Ctx, view: &View) {
        self.counted.watches += 1;
        let call = PlatformCall::Watch {
            prefix: ROOT.to_owned(),
            from: Revision(view.revision().0 + 1),
        };
        self.phase = Phase::Watching(ctx.call_platform(Owner::Config, call));
        self.heard = ctx.now;
        self.look_again(ctx);
    }

    fn look_again(&self, ctx: &mut Ctx) {
        ctx.set_timer(Timer::Config(ConfigTimer::Watch), WATCH_SILENCE);
    }

    fn pause(&mut self, ctx: &mut Ctx) {
        self.phase = Phase::Idle;
        self.counted.failures += 1;
        let pause = FIRST_PAUSE.times(1 << self.failures.min(4)).min(MAX_PAUSE);
        self.failures += 1;
        let jitter = Span(ctx.rng.random_range(0..=pause.0));
        ctx.set_timer(Timer::Config(ConfigTimer::Watch), pause + jitter);
    }
}
