//! Takes the store's entries in: configuration, runners, and other daemons.

use super::{
    adapter::Adapter,
    feed::Sink,
    peers::{Presence, Verdict},
    roster::Runner,
    state::Site,
};
use crate::core::{
    input::{PlatformEntry, WatchEvent},
    keys::{DaemonName, HostName, Revision},
};
use serde::de::DeserializeOwned;
use std::{marker::PhantomData, rc::Rc};

/// Takes in the configuration.
pub struct SpecSink<A> {
    site: Rc<Site>,
    adapter: PhantomData<A>,
}

impl<A> SpecSink<A>
where
    A: Adapter,
{
    /// A sink for a gateway.
    pub fn new(site: Rc<Site>) -> Self {
        Self {
            site,
            adapter: PhantomData,
        }
    }

    fn take(&self, entry: &PlatformEntry) {
        if entry.key != A::SPEC_KEY {
            return;
        }
        match A::spec(&entry.value) {
            Ok(spec) => self.site.adopt(spec),
            Err(error) => slog::error!(self.site.log, "configuration refused";
                "revision" => entry.revision.0, "cause" => error.to_string()),
        }
    }
}

impl<A> Sink for SpecSink<A>
where
    A: Adapter,
{
    fn listed(&self, entries: Vec<PlatformEntry>) {
        entries.iter().for_each(|entry| self.take(entry));
    }

    fn changed(&self, events: Vec<WatchEvent>) {
        for event in &events {
            if let WatchEvent::Put(entry) = event {
                self.take(entry);
            }
        }
    }
}

/// The host that an entry's key names.
fn host_name<A>(key: &str) -> Option<HostName>
where
    A: Adapter,
{
    key.strip_prefix(A::RUNNER_PREFIX).map(HostName::from)
}

/// Takes in runners' entries.
pub struct RunnerSink<A> {
    site: Rc<Site>,
    adapter: PhantomData<A>,
}

impl<A> RunnerSink<A>
where
    A: Adapter,
{
    /// A sink for a gateway.
    pub fn new(site: Rc<Site>) -> Self {
        Self {
            site,
            adapter: PhantomData,
        }
    }

    /// What an entry says of a runner; one that can't be read names no runner.
    fn read(&self, name: &HostName, entry: &PlatformEntry) -> Option<Runner> {
        let read = A::runner(&entry.value);
        read.inspect_err(|error| {
            slog::debug!(self.site.log, "runner entry refused";
                "host" => name.as_str(), "cause" => error.to_string());
        })
        .ok()
    }

    fn change(&self, event: &WatchEvent) {
        let (key, entry) = match event {
            WatchEvent::Put(entry) => (&entry.key, Some(entry)),
            WatchEvent::Deleted { key, .. } => (key, None),
        };
        let Some(name) = host_name::<A>(key) else {
            return;
        };
        let runner = entry.and_then(|entry| self.read(&name, entry));
        let mut roster = self.site.roster.borrow_mut();
        match runner {
            Some(runner) => roster.put(name, runner),
            None => roster.mark_unlisted(&name, self.site.now()),
        }
    }
}

impl<A> Sink for RunnerSink<A>
where
    A: Adapter,
{
    fn listed(&self, entries: Vec<PlatformEntry>) {
        let read = |entry: &PlatformEntry| {
            let name = host_name::<A>(&entry.key)?;
            let runner = self.read(&name, entry)?;
            Some((name, runner))
        };
        let listed = entries.iter().filter_map(read).collect();
        let now = self.site.now();
        self.site.roster.borrow_mut().replace(listed, now);
        self.site.assemble();
        self.site.listed.set(true);
    }

    fn changed(&self, events: Vec<WatchEvent>) {
        events.iter().for_each(|event| self.change(event));
        let now = self.site.now();
        self.site.roster.borrow_mut().expire(now);
        self.site.assemble();
    }

    fn regained(&self) {
        let now = self.site.now();
        self.site.roster.borrow_mut().store_recovered(now);
    }
}

/// Takes in the daemons' own entries.
pub struct PeerSink {
    site: Rc<Site>,
    prefix: &'static str,
}

/// The part of an own key that names a daemon's presence.
pub const PRESENCE: &str = "daemons/";
/// The own key of the duty's holder.
pub const CLAIM: &str = "duty";
/// The own key of the runners found dead.
pub const VERDICT: &str = "lost";

impl PeerSink {
    /// A sink for a gateway.
    pub fn new(site: Rc<Site>, prefix: &'static str) -> Self {
        Self { site, prefix }
    }

    fn put(&self, entry: &PlatformEntry) {
        let Some(key) = entry.key.strip_prefix(self.prefix) else {
            return;
        };
        match key {
            CLAIM => {
                if let Some(claim) = self.read::<super::peers::Claim>(entry) {
                    self.site.peers.borrow_mut().claim = Some((claim.holder, entry.revision));
                }
            }
            VERDICT => self.take_verdict(entry),
            _ => {
                let name = key.strip_prefix(PRESENCE).map(DaemonName::from);
                if let (Some(name), Some(presence)) = (name, self.read::<Presence>(entry)) {
                    self.site.peers.borrow_mut().put(name, presence);
                }
            }
        }
    }

    fn take_verdict(&self, entry: &PlatformEntry) {
        if let Some(verdict) = self.read::<Verdict>(entry) {
            let mut roster = self.site.roster.borrow_mut();
            roster.mark_dead(&verdict.dead);
            roster.set_released(&verdict.ended);
            roster.set_unreachable(verdict.lost.into_iter().collect());
            roster.set_slow(verdict.slow.into_iter().collect());
            drop(roster);
            self.site.assemble();
        }
    }

    fn deleted(&self, key: &str, revision: Revision) {
        let Some(key) = key.strip_prefix(self.prefix) else {
            return;
        };
        let mut peers = self.site.peers.borrow_mut();
        match key {
            CLAIM => {
                if peers.claim.as_ref().is_some_and(|(_, at)| *at < revision) {
                    peers.claim = None;
                }
            }
            // It outlives its writer.
            VERDICT => {}
            _ => {
                if let Some(name) = key.strip_prefix(PRESENCE) {
                    peers.remove(&DaemonName::from(name));
                }
            }
        }
    }

    fn read<T>(&self, entry: &PlatformEntry) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let read = serde_json::from_str(&entry.value);
        read.inspect_err(|error| {
            slog::error!(self.site.log, "own entry refused";
                "key" => &entry.key, "cause" => error.to_string());
        })
        .ok()
    }
}

impl Sink for PeerSink {
    fn listed(&self, entries: Vec<PlatformEntry>) {
        self.site.peers.borrow_mut().clear();
        entries.iter().for_each(|entry| self.put(entry));
    }

    fn changed(&self, events: Vec<WatchEvent>) {
        for event in &events {
            match event {
                WatchEvent::Put(entry) => self.put(entry),
                WatchEvent::Deleted { key, revision } => self.deleted(key, *revision),
            }
        }
    }
}
