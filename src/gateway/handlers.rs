//! Handlers of the store's entries: configuration, runners, and other daemons.

use super::{
    adapter::Adapter,
    coldness::{ColdEntry, EntrySource},
    peers::{Claim, DaemonEntry, RunnerHealth},
    quarantine::{entries::QuarantineEntry, exchange, mark::Mark},
    roster::{Roster, Runner, RunnerInstance},
    state::GatewayState,
    watch::EntryHandler,
};
use crate::core::{
    input::{PlatformEntry, WatchEvent},
    keys::{DaemonName, HostName, Revision},
    time::Time,
};
use http::HeaderValue;
use serde::de::DeserializeOwned;
use std::{marker::PhantomData, rc::Rc};

/// Handler of the operators' configuration.
pub struct SpecHandler<A> {
    state: Rc<GatewayState>,
    adapter: PhantomData<A>,
}

impl<A> SpecHandler<A>
where
    A: Adapter,
{
    /// Creates a handler that updates a gateway's state.
    pub fn new(state: Rc<GatewayState>) -> Self {
        Self {
            state,
            adapter: PhantomData,
        }
    }

    fn apply(&self, entry: &PlatformEntry) {
        if entry.key != A::SPEC_KEY {
            return;
        }
        match A::decode_spec(&entry.value) {
            Ok(spec) => self.state.apply_spec(spec),
            Err(error) => slog::error!(self.state.log, "invalid configuration ignored";
                "revision" => entry.revision.0, "cause" => error.to_string()),
        }
    }
}

impl<A> EntryHandler for SpecHandler<A>
where
    A: Adapter,
{
    fn on_list(&self, _: Revision, entries: Vec<PlatformEntry>) {
        entries.iter().for_each(|entry| self.apply(entry));
    }

    fn on_change(&self, events: Vec<WatchEvent>) {
        for event in &events {
            if let WatchEvent::Put(entry) = event {
                self.apply(entry);
            }
        }
    }
}

/// Returns the host that an entry's key names; none if the name is not valid in a header. Requests
/// name the expected host there, and without it any runner at the address would run them.
fn host_name<A>(key: &str) -> Option<HostName>
where
    A: Adapter,
{
    let name = key.strip_prefix(A::RUNNER_PREFIX)?;
    fits_header(name).then(|| HostName::from(name))
}

/// Returns true if a text is a valid header value that is received unchanged.
fn fits_header(text: &str) -> bool {
    let is_trimmed = !text.is_empty() && text.trim() == text;
    is_trimmed && HeaderValue::from_str(text).is_ok()
}

/// Decoded list: the runners, and what their entries say of the time for which they are cold.
type Decoded = (Vec<(HostName, Runner)>, Vec<(RunnerInstance, ColdEntry)>);

/// Handler of the runners' entries.
pub struct RunnerHandler<A> {
    state: Rc<GatewayState>,
    adapter: PhantomData<A>,
}

impl<A> RunnerHandler<A>
where
    A: Adapter,
{
    /// Creates a handler that updates a gateway's state.
    pub fn new(state: Rc<GatewayState>) -> Self {
        Self {
            state,
            adapter: PhantomData,
        }
    }

    /// Decodes a runner's entry; an invalid one counts as absent, and so does one that another
    /// writer left for a host whose runner tells its start.
    fn decode(&self, name: &HostName, entry: &PlatformEntry) -> Option<Runner> {
        let read = A::decode_runner(&entry.value);
        let read = read.inspect_err(|error| {
            slog::debug!(self.state.log, "invalid runner entry ignored";
                "host" => name.as_str(), "cause" => error.to_string());
        });
        let runner = read.ok()?;
        let is_foreign = runner.born == 0 && self.tells_start(name);
        if is_foreign {
            slog::debug!(self.state.log, "runner entry without a start ignored";
                "host" => name.as_str());
        }
        (!is_foreign).then_some(runner)
    }

    /// Returns true if a host is known and its runner has told its start.
    fn tells_start(&self, name: &HostName) -> bool {
        let roster = self.state.roster.borrow();
        let known = roster.host_by_name(name);
        known.is_some_and(|(_, host)| host.runner.born != 0)
    }

    /// Decodes a list, in the order in which its entries were written.
    fn decode_all(&self, mut entries: Vec<PlatformEntry>, source: EntrySource) -> Decoded {
        entries.sort_by_key(|entry| entry.revision);
        let decode = |entry: &PlatformEntry| {
            let name = host_name::<A>(&entry.key)?;
            let runner = self.decode(&name, entry)?;
            let cold = ColdEntry::new(&runner, entry.revision, source);
            let instance = (name.clone(), runner.born);
            Some(((name, runner), (instance, cold)))
        };
        entries.iter().filter_map(decode).unzip()
    }

    /// Passes a list to the roster by `replace`, which returns the hosts that it lacks.
    fn apply_list<F>(
        &self,
        revision: Revision,
        entries: Vec<PlatformEntry>,
        source: EntrySource,
        replace: F,
    ) where
        F: FnOnce(&mut Roster, Vec<(HostName, Runner)>, Time) -> Vec<HostName>,
    {
        self.state.runners_revision.set(revision);
        let (listed, cold) = self.decode_all(entries, source);
        let now = self.state.now();
        let unlisted = replace(&mut self.state.roster.borrow_mut(), listed, now);
        for (runner, entry) in &cold {
            self.record_cold(runner, entry);
        }
        unlisted.iter().for_each(|name| self.log_unlisted(name));
        self.state.refresh_groups();
        self.state.runners_listed.set(true);
        self.state.report_halls_without_runners();
    }

    /// Records what an entry says of the time for which its runner is cold, unless the roster has
    /// another run at its place.
    fn record_cold(&self, (name, born): &RunnerInstance, entry: &ColdEntry) {
        let host = {
            let roster = self.state.roster.borrow();
            let known = roster.host_by_name(name);
            known
                .filter(|(_, host)| host.runner.born == *born)
                .map(|(key, _)| key)
        };
        if let Some(host) = host {
            self.state.record_cold_entry(host, entry);
        }
    }

    /// Returns how a list is read that is not from an older copy of the store.
    fn list_source(&self) -> EntrySource {
        let is_first = !self.state.runners_listed.get() && self.state.accepted.get() == 0;
        match is_first {
            true => EntrySource::FirstList,
            false => EntrySource::Current,
        }
    }

    fn log_unlisted(&self, name: &HostName) {
        let roster = self.state.roster.borrow();
        let Some((_, host)) = roster.host_by_name(name) else {
            return;
        };
        slog::info!(self.state.log, "entry of runner is gone";
            "host" => name.as_str(),
            "service" => host.runner.service.as_str(),
            "draining" => host.is_draining(),
            "used" => roster.is_usable(host, self.state.now()));
    }

    /// Logs that a listed runner says in its entry for the first time that it leaves.
    fn log_draining(&self, name: &HostName, runner: &Runner) {
        let roster = self.state.roster.borrow();
        let known = roster.host_by_name(name);
        let was_draining = known.is_some_and(|(_, host)| host.runner.draining);
        if runner.draining && !was_draining {
            slog::info!(self.state.log, "entry of runner says that it leaves";
                "host" => name.as_str(),
                "service" => runner.service.as_str());
        }
    }

    fn apply(&self, event: &WatchEvent) {
        let (key, entry) = match event {
            WatchEvent::Put(entry) => (&entry.key, Some(entry)),
            WatchEvent::Deleted { key, .. } => (key, None),
        };
        // A new holder of the duty lists the entries while its watch may still be behind the list.
        if event.revision() <= self.state.runners_revision.get() {
            return;
        }
        let Some(name) = host_name::<A>(key) else {
            return;
        };
        let runner = entry.and_then(|entry| self.decode(&name, entry));
        match runner {
            Some(runner) => {
                self.log_draining(&name, &runner);
                let cold = ColdEntry::new(&runner, event.revision(), EntrySource::Current);
                let instance = (name.clone(), runner.born);
                self.state.roster.borrow_mut().put(name, runner);
                self.record_cold(&instance, &cold);
            }
            None => {
                let now = self.state.now();
                let is_news = self.state.roster.borrow_mut().mark_unlisted(&name, now);
                if is_news {
                    self.log_unlisted(&name);
                }
            }
        }
    }
}

impl<A> EntryHandler for RunnerHandler<A>
where
    A: Adapter,
{
    const DAEMON_PREFIX: Option<&'static str> = Some(A::OWN_PREFIX);

    fn on_list(&self, revision: Revision, entries: Vec<PlatformEntry>) {
        let source = self.list_source();
        self.apply_list(revision, entries, source, Roster::replace);
    }

    fn on_older_list(&self, revision: Revision, entries: Vec<PlatformEntry>) {
        let source = EntrySource::OlderList;
        self.apply_list(revision, entries, source, Roster::replace_by_older);
    }

    fn on_change(&self, events: Vec<WatchEvent>) {
        events.iter().for_each(|event| self.apply(event));
        let now = self.state.now();
        self.state.roster.borrow_mut().expire(now);
        self.state.refresh_groups();
    }

    fn on_loss(&self) {
        let now = self.state.now();
        self.state.roster.borrow_mut().store_lost(now);
    }

    fn on_recovery(&self, seen_until: Time) {
        let now = self.state.now();
        let mut contact = self.state.contact.borrow_mut();
        contact.changes_regained(seen_until);
        let mut roster = self.state.roster.borrow_mut();
        roster.store_recovered(now);
        roster.limit_reentry(contact.outage_end(now), now);
        for host in roster.reentering(now) {
            slog::info!(self.state.log, "runner whose entry has lapsed is used";
                "host" => host.name.as_str(),
                "service" => host.runner.service.as_str(),
                "unlisted_ms" => host.unlisted_since.map(|since| now.since(since).as_millis()));
        }
    }
}

/// Handler of the gateway's own entries.
pub struct PeerHandler {
    state: Rc<GatewayState>,
    prefix: &'static str,
}

/// Prefix of the daemons' entries, below the prefix of the gateway's own entries.
pub const DAEMON_PREFIX: &str = "daemons/";
/// Key of the claim of the duty's holder.
pub const CLAIM_KEY: &str = "duty";
/// Key of the health of runners, as the duty's holder publishes it.
pub const RUNNER_HEALTH_KEY: &str = "lost";
/// Prefix of the entries of quarantined marks, each named by its mark.
pub const QUARANTINE_PREFIX: &str = "quarantine/";

/// Returns the quarantined mark that an entry's key names.
fn quarantined_mark(key: &str) -> Option<Mark> {
    Mark::parse(key.strip_prefix(QUARANTINE_PREFIX)?)
}

impl PeerHandler {
    /// Creates a handler that updates a gateway's state.
    pub fn new(state: Rc<GatewayState>, prefix: &'static str) -> Self {
        Self { state, prefix }
    }

    fn put(&self, entry: &PlatformEntry) {
        let Some(key) = entry.key.strip_prefix(self.prefix) else {
            return;
        };
        match key {
            CLAIM_KEY => self.put_claim(entry),
            RUNNER_HEALTH_KEY => self.apply_health(entry),
            _ if key.starts_with(QUARANTINE_PREFIX) => self.quarantine(key, entry),
            _ => {
                let name = key.strip_prefix(DAEMON_PREFIX).map(DaemonName::from);
                if let (Some(name), Some(daemon)) = (name, self.decode::<DaemonEntry>(entry)) {
                    self.state.peers.borrow_mut().put(name, daemon);
                }
            }
        }
    }

    /// Records the claim of the duty; one that can't be read leaves the duty without a holder.
    fn put_claim(&self, entry: &PlatformEntry) {
        let claim = self.decode::<Claim>(entry);
        let mut peers = self.state.peers.borrow_mut();
        match claim {
            Some(claim) => peers.record_claim(claim.holder, entry.revision),
            None => {
                peers.record_unreadable(entry.revision);
            }
        }
    }

    fn apply_health(&self, entry: &PlatformEntry) {
        if let Some(health) = self.decode::<RunnerHealth>(entry) {
            self.state.peers.borrow_mut().published_era = health.era;
            let mut roster = self.state.roster.borrow_mut();
            roster.mark_dead(&health.dead);
            roster.set_released(&health.ended);
            roster.set_unreachable(health.lost.into_iter().collect());
            roster.set_slow(health.slow.into_iter().collect());
            drop(roster);
            self.state.refresh_groups();
        }
    }

    fn quarantine(&self, key: &str, entry: &PlatformEntry) {
        let decoded = self.decode::<QuarantineEntry>(entry);
        if let Some((mark, stored)) = quarantined_mark(key).zip(decoded) {
            let stored = (stored, entry.revision);
            let is_news = {
                let mut entries = self.state.quarantine.entries.borrow_mut();
                entries.insert_stored(mark, stored)
            };
            if is_news {
                exchange::quarantine_began(&self.state, mark);
            }
        }
    }

    fn end_quarantine(&self, key: &str) {
        let Some(mark) = quarantined_mark(key) else {
            return;
        };
        let was_quarantined = self.state.quarantine.entries.borrow_mut().remove(mark);
        if was_quarantined {
            exchange::quarantine_ended(&self.state, mark);
        }
    }

    fn remove(&self, key: &str, revision: Revision) {
        let Some(key) = key.strip_prefix(self.prefix) else {
            return;
        };
        if key.starts_with(QUARANTINE_PREFIX) {
            return self.end_quarantine(key);
        }
        let mut peers = self.state.peers.borrow_mut();
        match key {
            CLAIM_KEY => peers.record_deletion(revision),
            // The entry has no lease and outlives the daemon that wrote it.
            RUNNER_HEALTH_KEY => {}
            _ => {
                if let Some(name) = key.strip_prefix(DAEMON_PREFIX) {
                    peers.remove(&DaemonName::from(name), self.state.now());
                }
            }
        }
    }

    fn decode<T>(&self, entry: &PlatformEntry) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let read = serde_json::from_str(&entry.value);
        read.inspect_err(|error| {
            slog::error!(self.state.log, "invalid gateway entry ignored";
                "key" => &entry.key, "cause" => error.to_string());
        })
        .ok()
    }
}

impl EntryHandler for PeerHandler {
    fn on_list(&self, _: Revision, entries: Vec<PlatformEntry>) {
        self.state.peers.borrow_mut().clear(self.state.now());
        self.state.quarantine.entries.borrow_mut().forget_stored();
        entries.iter().for_each(|entry| self.put(entry));
    }

    fn on_older_list(&self, revision: Revision, mut entries: Vec<PlatformEntry>) {
        // Who has died since the copy would appear to be healthy; the next holder publishes anew.
        entries.retain(|entry| entry.key.strip_prefix(self.prefix) != Some(RUNNER_HEALTH_KEY));
        self.state.quarantine.entries.borrow_mut().distrust_stored();
        self.on_list(revision, entries);
    }

    fn on_change(&self, events: Vec<WatchEvent>) {
        for event in &events {
            match event {
                WatchEvent::Put(entry) => self.put(entry),
                WatchEvent::Deleted { key, revision } => self.remove(key, *revision),
            }
        }
    }
}
