//! Configuration: bringing the platform's records into force on this daemon.
//!
//! [`Config`] holds the [`View`] in force. Some daemons of each hall follow the
//! platform's key space (`sync`), the others learn from them (`gossip`); both
//! bring changes into the `mirror`, which never goes back. Operators' writes
//! go straight to the platform (`write`).

mod change;
mod gossip;
mod mirror;
pub mod record;
mod sync;
mod view;
mod write;

pub use gossip::Digest;
pub use view::{Key, ROOT, Versioned, View};

use super::{
    ctx::Ctx,
    input::{OperatorRequest, PlatformAnswer, PlatformEntry, WatchEvent},
    keys::{CommandId, DaemonName, OperationId, PlatformId, Revision},
    member::Members,
    metric::Metric,
    options::Mechanism,
    time::{Span, Time},
    timer::{ConfigTimer, Timer},
};
use gossip::Gossip;
use mirror::Mirror;
use sync::Sync;
use write::Writes;

crate::record! {
    /// Messages between the configuration parts of two daemons.
    pub enum ConfigMessage {
        /// How far the sender is.
        Digest(Digest),
        /// Asks for every change after a revision.
        Fetch {
            /// The revision up to which the sender is complete.
            after: Revision,
        },
        /// Every change between two revisions.
        Changes {
            /// The first changes are those after this revision.
            after: Revision,
            /// The revision up to which they are complete.
            complete: Revision,
            /// The changes, in order.
            events: Vec<WatchEvent>,
        },
        /// Every record, for one that lags far behind.
        Snapshot {
            /// The revision up to which it is complete.
            complete: Revision,
            /// The revision of the last change up to there.
            changed: Revision,
            /// The records.
            entries: Vec<PlatformEntry>,
        },
    }
}

impl ConfigMessage {
    /// The revision up to which the sender is complete, if the message tells.
    pub fn revision(&self) -> Option<Revision> {
        match self {
            ConfigMessage::Digest(digest) => Some(digest.complete),
            ConfigMessage::Fetch { after } => Some(*after),
            ConfigMessage::Changes { .. } | ConfigMessage::Snapshot { .. } => None,
        }
    }
}

/// The configuration in force, and the work of keeping it current.
#[derive(Debug, Default)]
pub struct Config {
    mirror: Mirror,
    sync: Sync,
    gossip: Gossip,
    writes: Writes,
    events: u64,
    told: Revision,
}

/// Queries.
impl Config {
    /// The records in force.
    pub fn view(&self) -> &View {
        &self.mirror.view
    }

    /// When the platform is last known to have held nothing newer than the view.
    pub fn confirmed(&self) -> Time {
        self.mirror.confirmed
    }

    /// Adds what this part has counted.
    pub fn metrics(&self, metrics: &mut Vec<Metric>) {
        let sync = &self.sync.counted;
        let writes = &self.writes.counted;
        let revision = self.mirror.view.revision().0.max(0) as u64;
        metrics.push(Metric::gauge("config_revision", revision));
        metrics.push(Metric::gauge(
            "config_watching",
            u64::from(self.sync.is_watching()),
        ));
        metrics.push(Metric::counter("config_events_total", self.events));
        let calls = [
            ("list", sync.lists),
            ("watch", sync.watches),
            ("write", writes.calls),
        ];
        for (kind, value) in calls {
            let metric = Metric::counter("config_platform_calls_total", value);
            metrics.push(metric.with_label("kind", kind));
        }
        metrics.push(Metric::counter("config_sync_failures_total", sync.failures));
        let ends = [
            ("accepted", writes.accepted),
            ("conflict", writes.conflicts),
            ("invalid", writes.invalid),
            ("unavailable", writes.unavailable),
        ];
        for (end, value) in ends {
            let metric = Metric::counter("config_writes_total", value);
            metrics.push(metric.with_label("end", end));
        }
        let gossip = &self.gossip.counted;
        metrics.extend([
            Metric::counter("config_read_backs_total", writes.read_backs),
            Metric::counter("config_digests_total", gossip.digests),
            Metric::counter("config_fetches_total", gossip.fetches),
            Metric::counter("config_changes_served_total", gossip.changes),
            Metric::counter("config_snapshots_served_total", gossip.snapshots),
        ]);
    }
}

/// Commands. Each returns the keys whose records changed.
impl Config {
    /// Asks peers for the records, then the platform.
    pub fn on_start(&mut self, ctx: &mut Ctx) -> Vec<Key> {
        if !ctx.options.is_enabled(Mechanism::RevisionOrder) {
            self.mirror.view.allow_any_order();
        }
        self.gossip.start(ctx);
        match self.gossip.is_waiting() {
            true => self.sync.start_later(ctx),
            false => self.sync.start(ctx, &self.mirror.view),
        }
        Vec::new()
    }

    /// Takes the answer to a platform call of this part; nothing means that it failed.
    pub fn on_platform(
        &mut self,
        ctx: &mut Ctx,
        id: PlatformId,
        answer: Option<PlatformAnswer>,
    ) -> Vec<Key> {
        if let Some((revision, entries)) = self.sync.on_answer(ctx, id, answer.clone()) {
            let changed = self.mirror.replace(entries, revision, revision);
            self.on_confirmed(ctx);
            self.sync.follow(ctx, &self.mirror.view);
            return changed;
        }
        let view = &self.mirror.view;
        let written = self.writes.on_answer(ctx, view, id, answer);
        let changed = written.and_then(|event| self.mirror.apply_early(event));
        changed.into_iter().collect()
    }

    /// Takes changes under a watch.
    pub fn on_watched(
        &mut self,
        ctx: &mut Ctx,
        id: PlatformId,
        revision: Revision,
        events: Vec<WatchEvent>,
    ) -> Vec<Key> {
        if !self.sync.on_watched(ctx, id) {
            return Vec::new();
        }
        self.events += events.len() as u64;
        let changed = self.mirror.apply(events, revision);
        self.on_confirmed(ctx);
        changed
    }

    /// Starts a new watch after the old one ended.
    pub fn on_watch_ended(&mut self, ctx: &mut Ctx, id: PlatformId, compacted: bool) -> Vec<Key> {
        self.sync.on_watch_ended(ctx, id, compacted);
        Vec::new()
    }

    /// Takes a message of another daemon's configuration part.
    pub fn on_message(
        &mut self,
        ctx: &mut Ctx,
        members: &Members,
        from: &DaemonName,
        message: ConfigMessage,
    ) -> Vec<Key> {
        match message {
            ConfigMessage::Digest(digest) => {
                let mirror = &mut self.mirror;
                self.gossip.on_digest(ctx, mirror, members, from, digest);
                Vec::new()
            }
            ConfigMessage::Fetch { after } => {
                self.gossip
                    .on_fetch(ctx, &self.mirror, members, from, after);
                Vec::new()
            }
            ConfigMessage::Changes {
                after,
                complete,
                events,
            } => {
                if after > self.mirror.view.revision() {
                    return Vec::new();
                }
                let changed = self.mirror.apply(events, complete);
                self.on_fetched(ctx);
                changed
            }
            ConfigMessage::Snapshot {
                complete,
                changed,
                entries,
            } => {
                let changed = self.mirror.replace(entries, complete, changed);
                self.on_fetched(ctx);
                changed
            }
        }
    }

    /// Takes a timer.
    pub fn on_timer(&mut self, ctx: &mut Ctx, timer: ConfigTimer, members: &Members) -> Vec<Key> {
        match timer {
            ConfigTimer::Watch => self.sync.on_timer(ctx, &self.mirror.view),
            ConfigTimer::Write(number) => self.writes.on_timer(ctx, number),
            ConfigTimer::Fetch => self.gossip.on_timer(ctx, &self.mirror, members),
            ConfigTimer::Gossip => self.on_period(ctx, members),
            ConfigTimer::Timeout(_) => {}
        }
        Vec::new()
    }

    /// Writes what an operator asks for; the request has been found possible.
    pub fn on_operator(
        &mut self,
        ctx: &mut Ctx,
        command: CommandId,
        operation: OperationId,
        request: OperatorRequest,
    ) {
        self.writes.begin(ctx, command, operation, request);
    }

    fn on_confirmed(&mut self, ctx: &mut Ctx) {
        self.gossip.on_confirmed(ctx, &mut self.mirror);
        self.tell_changes(ctx);
    }

    fn on_fetched(&mut self, ctx: &mut Ctx) {
        self.gossip.on_fetched(&self.mirror);
        if self.mirror.view.revision() == Revision::default() {
            self.sync.start(ctx, &self.mirror.view);
        }
        self.tell_changes(ctx);
    }

    /// Brings the next period forward if there are changes to tell.
    fn tell_changes(&mut self, ctx: &mut Ctx) {
        if self.mirror.changed > self.told {
            ctx.set_timer(Timer::Config(ConfigTimer::Gossip), Span::ZERO);
        }
    }

    fn on_period(&mut self, ctx: &mut Ctx, members: &Members) {
        let mirror = &self.mirror;
        let has_changed = mirror.changed > self.told;
        self.told = mirror.changed;
        self.gossip.on_period(ctx, mirror, members, has_changed);
        if mirror.view.revision() > Revision::default() {
            let watcher = self.gossip.is_watcher(ctx, &mirror.view, members);
            self.sync.set_watcher(ctx, &mirror.view, watcher);
        }
    }
}
