//! Configuration: replication of the platform's records to this daemon.
//!
//! [`Config`] holds the [`View`] in force. A few daemons of each hall watch the
//! platform's key space (`sync`), and the others fetch changes from them
//! (`gossip`). Both apply changes to the `mirror`, whose revision never decreases.
//! Operators' writes go directly to the platform (`write`).

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
use sync::PlatformSync;
use write::Writes;

crate::record! {
    /// Configuration message from one daemon to another.
    pub enum ConfigMessage {
        /// Position of the sender's mirror.
        Digest(Digest),
        /// Request for all changes after a revision.
        Fetch {
            /// Revision up to which the sender is complete.
            after: Revision,
        },
        /// All changes between two revisions.
        Changes {
            /// Revision after which the changes begin.
            after: Revision,
            /// Revision up to which the changes are complete.
            complete: Revision,
            /// Changes, in order.
            events: Vec<WatchEvent>,
        },
        /// All records, for a daemon whose revision is too old for single changes.
        Snapshot {
            /// Revision up to which the records are complete.
            complete: Revision,
            /// Revision of the last change up to then.
            changed: Revision,
            /// Records, as the platform's store holds them.
            entries: Vec<PlatformEntry>,
        },
    }
}

impl ConfigMessage {
    /// Returns the revision up to which the sender is complete, if the message gives it.
    pub fn revision(&self) -> Option<Revision> {
        match self {
            ConfigMessage::Digest(digest) => Some(digest.complete),
            ConfigMessage::Fetch { after } => Some(*after),
            ConfigMessage::Changes { .. } | ConfigMessage::Snapshot { .. } => None,
        }
    }
}

/// Configuration in force, and the state of its replication.
#[derive(Debug, Default)]
pub struct Config {
    mirror: Mirror,
    sync: PlatformSync,
    gossip: Gossip,
    writes: Writes,
    events: u64,
    announced: Revision,
}

/// Queries.
impl Config {
    /// Returns the records in force.
    pub fn view(&self) -> &View {
        &self.mirror.view
    }

    /// Returns the last time at which the platform is known to have held nothing newer.
    pub fn confirmed(&self) -> Time {
        self.mirror.confirmed
    }

    /// Appends the metrics of this part.
    pub fn metrics(&self, metrics: &mut Vec<Metric>) {
        let sync = &self.sync.counters;
        let writes = &self.writes.counters;
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
        let gossip = &self.gossip.counters;
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
    /// Fetches the records from a seed daemon, and otherwise from the platform.
    pub fn on_start(&mut self, ctx: &mut Ctx) -> Vec<Key> {
        if !ctx.options.is_enabled(Mechanism::RevisionOrder) {
            self.mirror.view.allow_any_order();
        }
        self.gossip.start(ctx);
        match self.gossip.is_fetching() {
            true => self.sync.start_after_peers(ctx),
            false => self.sync.start(ctx, &self.mirror.view),
        }
        Vec::new()
    }

    /// Handles the answer to a platform call of this part; `None` means that the call failed.
    pub fn on_platform(
        &mut self,
        ctx: &mut Ctx,
        id: PlatformId,
        answer: Option<PlatformAnswer>,
    ) -> Vec<Key> {
        if let Some((revision, entries)) = self.sync.on_answer(ctx, id, answer.clone()) {
            let changed = self.mirror.replace(entries, revision, revision);
            self.on_confirmed(ctx);
            self.sync.start_watch(ctx, &self.mirror.view);
            return changed;
        }
        let view = &self.mirror.view;
        let written = self.writes.on_answer(ctx, view, id, answer);
        let changed = written.and_then(|event| self.mirror.apply_early(event));
        changed.into_iter().collect()
    }

    /// Handles changes under a watch.
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

    /// Starts a new watch, or lists again if the old one was compacted.
    pub fn on_watch_ended(&mut self, ctx: &mut Ctx, id: PlatformId, compacted: bool) -> Vec<Key> {
        self.sync.on_watch_ended(ctx, id, compacted);
        Vec::new()
    }

    /// Handles a configuration message from another daemon.
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

    /// Handles a timer.
    pub fn on_timer(&mut self, ctx: &mut Ctx, timer: ConfigTimer, members: &Members) -> Vec<Key> {
        match timer {
            ConfigTimer::Watch => self.sync.on_timer(ctx, &self.mirror.view),
            ConfigTimer::Write(number) => self.writes.on_timer(ctx, number),
            ConfigTimer::Fetch => self.gossip.on_fetch_timer(ctx, &self.mirror, members),
            ConfigTimer::Gossip => self.on_gossip_timer(ctx, members),
            ConfigTimer::Timeout(_) => {}
        }
        Vec::new()
    }

    /// Starts an operator's write; the request has already been checked.
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
        self.announce_changes(ctx);
    }

    fn on_fetched(&mut self, ctx: &mut Ctx) {
        self.gossip.on_fetched(&self.mirror);
        if self.mirror.view.revision() == Revision::default() {
            self.sync.start(ctx, &self.mirror.view);
        }
        self.announce_changes(ctx);
    }

    /// Sends the next digests immediately if there are unannounced changes.
    fn announce_changes(&mut self, ctx: &mut Ctx) {
        if self.mirror.changed > self.announced {
            ctx.set_timer(Timer::Config(ConfigTimer::Gossip), Span::ZERO);
        }
    }

    fn on_gossip_timer(&mut self, ctx: &mut Ctx, members: &Members) {
        let mirror = &self.mirror;
        let has_changed = mirror.changed > self.announced;
        self.announced = mirror.changed;
        self.gossip
            .on_gossip_timer(ctx, mirror, members, has_changed);
        if mirror.view.revision() > Revision::default() {
            let should_watch = self.gossip.should_watch(ctx, &mirror.view, members);
            self.sync.set_enabled(ctx, &mirror.view, should_watch);
        }
    }
}
