//! Following the platform's key space: one list, then a watch.
//!
//! The watch begins after the revision that the view is complete to, so no
//! change is missed; if the service has forgotten that revision, the keys are
//! listed again. Failures are retried after growing, jittered pauses, so that
//! daemons don't come back all at once after an outage.

use {
    super::view::{Key, ROOT, View},
    crate::core::{
        ctx::Ctx,
        input::{PlatformAnswer, WatchEvent},
        keys::{Owner, PlatformId, Revision},
        output::PlatformCall,
        time::{Span, Time},
        timer::{ConfigTimer, Timer},
    },
    rand::Rng as _,
};

/// The pause before a failed list or watch is tried again, at first.
const FIRST_PAUSE: Span = Span::from_millis(100);

/// The longest pause before a failed list or watch is tried again.
const MAX_PAUSE: Span = Span::from_millis(1_600);

/// How long a watch may be silent.
const WATCH_SILENCE: Span = Span::from_secs(4);

/// How far this daemon is with following the key space.
#[derive(Debug, Default)]
pub(super) struct Sync {
    phase: Phase,
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
    /// Changes seen under watches.
    pub(super) events: u64,
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
    /// Lists, or watches if the view has a revision to go on from.
    pub(super) fn start(&mut self, ctx: &mut Ctx, view: &View) {
        if view.revision() > Revision::default() {
            self.watch(ctx, view);
            return;
        }
        self.list(ctx);
    }

    /// Takes the answer to a list; nothing if the call was not one.
    pub(super) fn on_answer(
        &mut self,
        ctx: &mut Ctx,
        view: &mut View,
        id: PlatformId,
        answer: Option<PlatformAnswer>,
    ) -> Option<Vec<Key>> {
        if self.phase != Phase::Listing(id) {
            return None;
        }
        let Some(PlatformAnswer::Entries { revision, entries }) = answer else {
            self.pause(ctx);
            return Some(Vec::new());
        };
        let changed = view.replace(entries, revision);
        self.watch(ctx, view);
        Some(changed)
    }

    /// Takes changes under the watch.
    pub(super) fn on_watched(
        &mut self,
        ctx: &mut Ctx,
        view: &mut View,
        id: PlatformId,
        revision: Revision,
        events: Vec<WatchEvent>,
    ) -> Vec<Key> {
        if self.phase != Phase::Watching(id) {
            return Vec::new();
        }
        self.heard = ctx.now;
        self.failures = 0;
        self.counted.events += events.len() as u64;
        let changed = events.into_iter().filter_map(|e| view.apply(e)).collect();
        view.advance(revision);
        changed
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
                ctx.platform(Owner::Config, PlatformCall::Unwatch { watch });
                self.pause(ctx);
            }
            Phase::Watching(_) => self.look_again(ctx),
        }
    }

    fn list(&mut self, ctx: &mut Ctx) {
        self.counted.lists += 1;
        let prefix = ROOT.to_owned();
        let id = ctx.platform(Owner::Config, PlatformCall::List { prefix });
        self.phase = Phase::Listing(id);
    }

    fn watch(&mut self, ctx: &mut Ctx, view: &View) {
        self.counted.watches += 1;
        let call = PlatformCall::Watch {
            prefix: ROOT.to_owned(),
            from: Revision(view.revision().0 + 1),
        };
        self.phase = Phase::Watching(ctx.platform(Owner::Config, call));
        self.heard = ctx.now;
        self.look_again(ctx);
    }

    fn look_again(&self, ctx: &mut Ctx) {
        ctx.timer(Timer::Config(ConfigTimer::Watch), WATCH_SILENCE);
    }

    fn pause(&mut self, ctx: &mut Ctx) {
        self.phase = Phase::Idle;
        self.counted.failures += 1;
        let pause = FIRST_PAUSE.times(1 << self.failures.min(4)).min(MAX_PAUSE);
        self.failures += 1;
        let jitter = Span(ctx.rng.random_range(0..=pause.0));
        ctx.timer(Timer::Config(ConfigTimer::Watch), pause + jitter);
    }
}
