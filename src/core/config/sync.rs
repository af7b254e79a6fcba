//! Replication of the platform's key space: one list, then a watch.
//!
//! Daemons that aren't to watch list the keys once, if no other daemon can send
//! them the records, and make no further calls. The watch starts after the
//! revision that the view is complete to, so no change is missed; if that
//! revision was compacted, the keys are listed again. Failures are retried with
//! exponential backoff and jitter, so that the daemons don't all call at the same
//! time after an outage.

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

/// Delay before the first retry of a failed list or watch, doubled with each failure in a row.
const MIN_RETRY_DELAY: Span = Span::from_millis(100);

/// Upper bound of the delay before a retry, without its jitter.
const MAX_RETRY_DELAY: Span = Span::from_millis(1_600);

/// Time that other daemons have to send the records before the platform is asked.
const PEER_TIMEOUT: Span = Span::from_millis(300);

/// Time without progress after which a watch counts as failed.
const WATCH_TIMEOUT: Span = Span::from_secs(4);

/// State of the replication.
#[derive(Debug, Default)]
pub(super) struct PlatformSync {
    phase: Phase,
    /// True if this daemon isn't to watch the platform.
    is_disabled: bool,
    last_progress: Time,
    consecutive_failures: u32,
    /// Counters for metrics.
    pub(super) counters: SyncCounters,
}

/// Counters of the replication.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SyncCounters {
    /// Lists requested.
    pub(super) lists: u64,
    /// Watches started.
    pub(super) watches: u64,
    /// Lists and watches that failed.
    pub(super) failures: u64,
}

/// Phase of the replication.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Phase {
    /// Waiting for the timer.
    #[default]
    Idle,
    /// A list is in flight.
    Listing(PlatformId),
    /// A watch is open.
    Watching(PlatformId),
}

/// Queries.
impl PlatformSync {
    /// Returns true if a watch is open.
    pub(super) fn is_watching(&self) -> bool {
        matches!(self.phase, Phase::Watching(_))
    }
}

/// Commands.
impl PlatformSync {
    /// Starts after a delay in which other daemons may send the records.
    pub(super) fn start_after_peers(&mut self, ctx: &mut Ctx) {
        let jitter = Span(ctx.rng.random_range(0..=PEER_TIMEOUT.0));
        ctx.set_timer(Timer::Config(ConfigTimer::Watch), PEER_TIMEOUT + jitter);
    }

    /// Starts, unless a list or watch is in progress or watching is disabled.
    pub(super) fn start(&mut self, ctx: &mut Ctx, view: &View) {
        if self.phase != Phase::Idle || self.is_disabled {
            return;
        }
        match view.revision() > Revision::default() {
            true => self.open_watch(ctx, view),
            false => self.list(ctx),
        }
    }

    /// Starts a watch after a list, unless watching is disabled.
    pub(super) fn start_watch(&mut self, ctx: &mut Ctx, view: &View) {
        if !self.is_disabled {
            self.open_watch(ctx, view);
        }
    }

    /// Enables or disables watching; disabling it ends an open watch.
    pub(super) fn set_enabled(&mut self, ctx: &mut Ctx, view: &View, is_enabled: bool) {
        let was_disabled = std::mem::replace(&mut self.is_disabled, !is_enabled);
        if is_enabled && was_disabled {
            self.start(ctx, view);
        }
        if let Phase::Watching(watch) = self.phase
            && !is_enabled
        {
            ctx.call_platform(Owner::Config, PlatformCall::Unwatch { watch });
            self.phase = Phase::Idle;
        }
    }

    /// Handles the answer to a call; `None` if the call was no list, or failed.
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
            self.retry_later(ctx);
            return None;
        };
        self.phase = Phase::Idle;
        Some((revision, entries))
    }

    /// Records progress of a watch; returns false if it isn't the open one.
    pub(super) fn on_watched(&mut self, ctx: &Ctx, id: PlatformId) -> bool {
        if self.phase != Phase::Watching(id) {
            return false;
        }
        self.last_progress = ctx.now;
        self.consecutive_failures = 0;
        true
    }

    /// Lists again if the watch's revisions were compacted, otherwise retries the watch.
    pub(super) fn on_watch_ended(&mut self, ctx: &mut Ctx, id: PlatformId, compacted: bool) {
        if self.phase != Phase::Watching(id) {
            return;
        }
        match compacted {
            true => self.list(ctx),
            false => self.retry_later(ctx),
        }
    }

    /// Retries after a failure, or ends a watch without progress.
    pub(super) fn on_timer(&mut self, ctx: &mut Ctx, view: &View) {
        match self.phase {
            Phase::Idle => self.start(ctx, view),
            Phase::Listing(_) => {}
            Phase::Watching(watch) if ctx.now.since(self.last_progress) >= WATCH_TIMEOUT => {
                ctx.call_platform(Owner::Config, PlatformCall::Unwatch { watch });
                self.retry_later(ctx);
            }
            Phase::Watching(_) => self.set_watch_timer(ctx),
        }
    }

    fn list(&mut self, ctx: &mut Ctx) {
        self.counters.lists += 1;
        let prefix = ROOT.to_owned();
        let id = ctx.call_platform(Owner::Config, PlatformCall::List { prefix });
        self.phase = Phase::Listing(id);
    }

    fn open_watch(&mut self, ctx: &mut Ctx, view: &View) {
        self.counters.watches += 1;
        let call = PlatformCall::Watch {
            prefix: ROOT.to_owned(),
            from: Revision(view.revision().0 + 1),
        };
        self.phase = Phase::Watching(ctx.call_platform(Owner::Config, call));
        self.last_progress = ctx.now;
        self.set_watch_timer(ctx);
    }

    fn set_watch_timer(&self, ctx: &mut Ctx) {
        ctx.set_timer(Timer::Config(ConfigTimer::Watch), WATCH_TIMEOUT);
    }

    fn retry_later(&mut self, ctx: &mut Ctx) {
        self.phase = Phase::Idle;
        self.counters.failures += 1;
        let delay = MIN_RETRY_DELAY
            .times(1 << self.consecutive_failures.min(4))
            .min(MAX_RETRY_DELAY);
        self.consecutive_failures += 1;
        let jitter = Span(ctx.rng.random_range(0..=delay.0));
        ctx.set_timer(Timer::Config(ConfigTimer::Watch), delay + jitter);
    }
}
