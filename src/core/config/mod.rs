//! Configuration: bringing the platform's records into force on this daemon.
//!
//! [`Config`] follows the platform's key space and holds the [`View`] in
//! force; it also carries out operators' writes.

mod change;
pub mod record;
mod sync;
mod view;
mod write;

pub use view::{Key, ROOT, Versioned, View};

use {
    super::{
        count::Count,
        ctx::Ctx,
        input::{OperatorRequest, PlatformAnswer, WatchEvent},
        keys::{CommandId, DaemonName, OperationId, PlatformId, Revision},
        member::Members,
        timer::ConfigTimer,
    },
    sync::Sync,
    write::Writes,
};

crate::record! {
    /// Messages between the configuration parts of two daemons.
    pub enum ConfigMessage {
        /// The revision in force on the sender.
        Revision(Revision),
    }
}

/// The configuration in force, and the work of keeping it current.
#[derive(Debug, Default)]
pub struct Config {
    view: View,
    sync: Sync,
    writes: Writes,
}

/// Queries.
impl Config {
    /// The records in force.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Adds what this part has counted.
    pub fn counts(&self, counts: &mut Vec<Count>) {
        let sync = &self.sync.counted;
        let writes = &self.writes.counted;
        let revision = self.view.revision().0.max(0) as u64;
        counts.push(Count::gauge("config_revision", revision));
        counts.push(Count::gauge(
            "config_watching",
            u64::from(self.sync.is_watching()),
        ));
        counts.push(Count::counter("config_events_total", sync.events));
        let calls = [
            ("list", sync.lists),
            ("watch", sync.watches),
            ("write", writes.calls),
        ];
        for (kind, value) in calls {
            let count = Count::counter("config_platform_calls_total", value);
            counts.push(count.labelled("kind", kind));
        }
        counts.push(Count::counter("config_sync_failures_total", sync.failures));
        let ends = [
            ("accepted", writes.accepted),
            ("conflict", writes.conflicts),
            ("invalid", writes.invalid),
            ("unavailable", writes.unavailable),
        ];
        for (end, value) in ends {
            let count = Count::counter("config_writes_total", value);
            counts.push(count.labelled("end", end));
        }
        counts.push(Count::counter("config_read_backs_total", writes.read_backs));
    }
}

/// Commands. Each returns the keys whose records changed.
impl Config {
    /// Starts listing and watching.
    pub fn on_start(&mut self, ctx: &mut Ctx) -> Vec<Key> {
        self.sync.start(ctx, &self.view);
        Vec::new()
    }

    /// Takes the answer to a platform call of this part; nothing means that it failed.
    pub fn on_platform(
        &mut self,
        ctx: &mut Ctx,
        id: PlatformId,
        answer: Option<PlatformAnswer>,
    ) -> Vec<Key> {
        let listed = self.sync.on_answer(ctx, &mut self.view, id, answer.clone());
        if let Some(changed) = listed {
            return changed;
        }
        let written = self.writes.on_answer(ctx, &self.view, id, answer);
        written
            .and_then(|event| self.view.apply(event))
            .into_iter()
            .collect()
    }

    /// Takes changes under a watch.
    pub fn on_watched(
        &mut self,
        ctx: &mut Ctx,
        id: PlatformId,
        revision: Revision,
        events: Vec<WatchEvent>,
    ) -> Vec<Key> {
        self.sync
            .on_watched(ctx, &mut self.view, id, revision, events)
    }

    /// Starts a new watch after the old one ended.
    pub fn on_watch_ended(&mut self, ctx: &mut Ctx, id: PlatformId, compacted: bool) -> Vec<Key> {
        self.sync.on_watch_ended(ctx, id, compacted);
        Vec::new()
    }

    /// Takes a message of another daemon's configuration part.
    pub fn on_message(
        &mut self,
        _ctx: &mut Ctx,
        _members: &Members,
        _from: &DaemonName,
        _message: ConfigMessage,
    ) -> Vec<Key> {
        Vec::new()
    }

    /// Takes a timer.
    pub fn on_timer(&mut self, ctx: &mut Ctx, timer: ConfigTimer, _members: &Members) -> Vec<Key> {
        match timer {
            ConfigTimer::Watch => self.sync.on_timer(ctx, &self.view),
            ConfigTimer::Write(number) => self.writes.on_timer(ctx, number),
            ConfigTimer::Timeout(_) | ConfigTimer::Fetch => {}
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
}
