//! Follows the store's entries under a prefix.
//!
//! A list is followed by the changes since the list's revision, which come
//! from the store or from a peer that watches it. Whoever delivers them, the
//! next source continues at the revision that was reached; if the store has
//! compacted that revision away, the list is read again.

use super::{
    backoff::Backoff,
    changes::{
        Topic,
        list::{self, PeerList},
        messages::{Changes, Subscribe},
        peer::FollowEnd,
        source::{self, Source},
        subscription,
    },
    state::GatewayState,
};
use crate::{
    core::{
        input::{PlatformAnswer, PlatformEntry, WatchEvent},
        keys::{DaemonName, Revision},
        output::PlatformCall,
        time::{Span, Time},
    },
    shell::platform::{KeyValueStore, WatchEnd},
};
use compio::time::timeout;
use futures_util::future::{Either, select};
use std::{net::SocketAddr, pin::pin, rc::Rc, time::Duration};

/// Interval at which a daemon checks whether its source is still the right one.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(700);

/// Time after a list in which a peer that lacks the changes since is of no use.
const NEW_LIST_AGE: Span = Span::from_millis(1_500);

/// Time for which a daemon that starts looks for a peer with a list before it asks the store.
const PEER_LIST_WAIT: Span = Span::from_millis(1_000);

/// Delay before peers that have no list yet are asked again.
const PEER_LIST_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Receiver of the entries under a prefix.
pub trait EntryHandler {
    /// Prefix of the daemons' entries, if a daemon that starts may list its entries from a peer.
    const DAEMON_PREFIX: Option<&'static str> = None;

    /// Replaces everything known by a full list of the entries as of a revision.
    fn on_list(&self, revision: Revision, entries: Vec<PlatformEntry>);

    /// Applies changes, in order.
    fn on_change(&self, events: Vec<WatchEvent>);

    /// Replaces everything known by the first full list of a new era, which may be older than what
    /// is known.
    fn on_older_list(&self, revision: Revision, entries: Vec<PlatformEntry>) {
        self.on_list(revision, entries);
    }

    /// Notes that calls to the store have begun to fail.
    fn on_loss(&self) {}

    /// Notes that changes arrive again, after those from `seen_until` on were missed.
    fn on_recovery(&self, _seen_until: Time) {}
}

/// Passes all entries under a prefix to a handler, for the lifetime of the process.
pub async fn watch_prefix<K, H>(state: Rc<GatewayState>, store: K, prefix: &'static str, handler: H)
where
    K: KeyValueStore,
    H: EntryHandler,
{
    let mut follower = Follower {
        topic: state.topics[prefix].clone(),
        state: &state,
        store,
        prefix,
        handler,
        lost_at: None,
        attempts: 0,
        seen_until: Time::default(),
        backoff: Backoff::default(),
        listed_at: Time::default(),
        contact_since: Time::default(),
    };
    // A run of this task that panicked may have been watching.
    follower.topic.set_watched(false);
    loop {
        match follower.list().await {
            Ok(()) => follower.follow().await,
            Err(cause) => {
                follower.record_failure(&cause);
                follower.wait_after_failure().await;
            }
        }
    }
}

/// Follower of the entries under one prefix.
struct Follower<'a, K, H> {
    state: &'a GatewayState,
    store: K,
    prefix: &'static str,
    topic: Rc<Topic>,
    handler: H,
    /// Time at which the store became unreachable, while it is; each change is logged once.
    lost_at: Option<Time>,
    /// Failed attempts since then.
    attempts: u32,
    /// Time up to which all changes were seen.
    seen_until: Time,
    backoff: Backoff,
    /// Time of the last list.
    listed_at: Time,
    /// Time at which the contact began in which this prefix last failed.
    contact_since: Time,
}

impl<K, H> Follower<'_, K, H>
where
    K: KeyValueStore,
    H: EntryHandler,
{
    /// Lists all entries, from a peer or from the store.
    async fn list(&mut self) -> Result<(), String> {
        match self.list_from_peer().await {
            Some(list) => {
                self.apply_peer_list(list);
                Ok(())
            }
            None => self.list_from_store().await,
        }
    }

    /// Returns a peer's list, if this daemon starts in a large fleet and has no entries yet.
    async fn list_from_peer(&self) -> Option<PeerList> {
        let daemon_prefix = H::DAEMON_PREFIX.filter(|_| !self.topic.is_started())?;
        let until = self.state.now() + PEER_LIST_WAIT;
        let daemons = &self.state.topics[daemon_prefix];
        let listed = timeout(PEER_LIST_WAIT.into(), daemons.wait_for_list()).await;
        listed.ok()?;
        let sources = self.list_sources();
        // The sources may be starting too.
        while !sources.is_empty() && self.state.now() < until {
            for source in &sources {
                match list::fetch(*source, self.prefix).await {
                    Ok(list) => return Some(list),
                    // A peer of an earlier version has no lists.
                    Err(FollowEnd::Compacted) => return None,
                    Err(cause) => slog::debug!(self.state.log, "no list from a peer";
                        "prefix" => self.prefix, "peer" => source.to_string(), "cause" => %cause),
                }
            }
            compio::time::sleep(PEER_LIST_RETRY_DELAY).await;
        }
        None
    }

    fn list_sources(&self) -> Vec<SocketAddr> {
        let settings = &self.state.settings;
        let peers = self.state.peers.borrow();
        source::list_sources(&settings.name, &settings.hall, &peers)
    }

    fn apply_peer_list(&mut self, list: PeerList) {
        self.record_contact();
        self.listed_at = self.state.now();
        self.seen_until = Time(self.listed_at.0.saturating_sub(list.age.0));
        slog::info!(self.state.log, "entries listed from a peer";
            "prefix" => self.prefix, "entries" => list.entries.len());
        let (at, era) = (list.at, list.era);
        self.topic.list(at, era, &list.entries, self.seen_until);
        self.handler.on_list(at, list.entries);
    }

    async fn list_from_store(&mut self) -> Result<(), String> {
        let list = PlatformCall::List {
            prefix: self.prefix.to_owned(),
        };
        let (revision, entries) = match self.store.execute(list).await {
            Ok(PlatformAnswer::Entries { revision, entries }) => (revision, entries),
            Ok(_) => unreachable!("a list call returns entries"),
            Err(error) => return Err(error.to_string()),
        };
        self.record_success();
        self.listed_at = self.state.now();
        let (known, era) = (self.topic.era(), self.store.era());
        self.topic.list(revision, era, &entries, self.listed_at);
        self.seen_until = self.listed_at;
        if known.is_none() || known == era {
            self.handler.on_list(revision, entries);
            return Ok(());
        }
        slog::warn!(self.state.log, "store came back from an older copy";
            "prefix" => self.prefix, "era" => era.map(|era| era.0), "revision" => revision.0);
        // What was seen before says nothing of the copy.
        self.record_recovery(Time::default());
        self.handler.on_older_list(revision, entries);
        Ok(())
    }

    /// Follows the changes since the list, until a new list is needed.
    async fn follow(&mut self) {
        let state = self.state;
        loop {
            if self.store.era() != self.topic.era() {
                return;
            }
            let source = self.state.change_source();
            let store = self.store.clone();
            let end = match &source {
                Source::Store => self.watch_store().await,
                Source::Peer { name, address } => {
                    let follow = pin!(self.follow_peer(name, *address));
                    let change = pin!(wait_for_change(state, &store, &source));
                    let end = select(follow, change).await;
                    // While the store doesn't answer, another peer may still have the changes.
                    let may_list = !state.contact.borrow().is_lost(state.now());
                    match end {
                        Either::Left((FollowEnd::Compacted, _)) if may_list => {
                            Some(WatchEnd::Compacted)
                        }
                        _ => None,
                    }
                }
            };
            match end {
                Some(WatchEnd::Compacted) => return,
                Some(WatchEnd::Broken) => {
                    self.record_failure("watch interrupted");
                    self.wait_after_failure().await;
                }
                None => {}
            }
        }
    }

    /// Watches the store until that fails, or until there is a peer to follow.
    async fn watch_store(&mut self) -> Option<WatchEnd> {
        let store = self.store.clone();
        let state = self.state;
        let prefix = self.prefix.to_owned();
        let topic = self.topic.clone();
        let from = Revision(self.topic.end().0 + 1);
        let deliver = |revision: Revision, events: Vec<WatchEvent>| {
            self.record_success();
            self.apply(revision, events, state.now());
        };
        topic.set_watched(true);
        let watch = pin!(store.watch(prefix, from, deliver));
        let source_change = pin!(wait_for_change(state, &store, &Source::Store));
        let end = match select(watch, source_change).await {
            Either::Left((end, _)) => Some(end),
            Either::Right(_) => None,
        };
        topic.set_watched(false);
        end
    }

    /// Follows a peer until it can't be trusted to have all changes.
    async fn follow_peer(&mut self, name: &DaemonName, address: SocketAddr) -> FollowEnd {
        slog::info!(self.state.log, "following a peer";
            "prefix" => self.prefix, "peer" => name.as_str());
        let state = self.state;
        let request = Subscribe {
            prefix: self.prefix.to_owned(),
            after: self.topic.end(),
            era: self.topic.era(),
        };
        let prefix = self.prefix;
        let mut outages = None;
        let deliver = |changes: Changes, current_at: Time| {
            self.record_contact();
            let before = outages.replace(changes.outages);
            if before.is_some_and(|before| before < changes.outages) {
                self.record_recovery(self.seen_until);
            }
            self.apply(changes.end, changes.events, current_at);
        };
        let end = subscription::follow(state, address, request, deliver).await;
        slog::info!(state.log, "peer no longer followed";
            "prefix" => prefix, "peer" => name.as_str(), "cause" => %end);
        // A peer that has listed the entries anew can be followed from a new list on; one that is
        // behind that list, after a change of the store's era, can't yet. Without contact there is no
        // list to be had, and the next peer is tried.
        let now = state.now();
        let is_listed = now.since(self.listed_at) < NEW_LIST_AGE;
        let mut contact = state.contact.borrow_mut();
        let may_list = !is_listed && !contact.is_lost(now);
        if !may_list || !matches!(end, FollowEnd::Compacted) {
            let mut avoided = state.avoided_peers.borrow_mut();
            avoided.insert(name.clone(), now);
            contact.peer_failed(address, now);
        }
        end
    }

    fn apply(&mut self, end: Revision, events: Vec<WatchEvent>, fresh_at: Time) {
        self.topic.extend(end, &events, fresh_at);
        self.seen_until = fresh_at;
        if !events.is_empty() {
            self.handler.on_change(events);
        }
    }

    fn record_failure(&mut self, cause: &str) {
        self.attempts += 1;
        if self.lost_at.is_none() {
            slog::warn!(self.state.log, "store unreachable";
                "prefix" => self.prefix, "cause" => cause);
            self.lost_at = Some(self.state.now());
            self.handler.on_loss();
        }
    }

    fn record_success(&mut self) {
        self.state.store_answered(self.store.era());
        self.record_contact();
    }

    /// Waits until a failed call may be made again: when the store has answered another one, or a
    /// peer can be followed, at the latest after a delay.
    async fn wait_after_failure(&mut self) {
        let contact_since = self.state.contact.borrow().since();
        if std::mem::replace(&mut self.contact_since, contact_since) != contact_since {
            // The store came back while the call was under way.
            self.backoff.reset();
        }
        let changed = self.state.contact_changed.next();
        let delay = pin!(compio::time::sleep(self.backoff.next_delay()));
        select(changed, delay).await;
    }

    /// Records that changes arrive again, from whichever source.
    fn record_contact(&mut self) {
        self.backoff.reset();
        let attempts = std::mem::take(&mut self.attempts);
        if let Some(lost_at) = self.lost_at.take() {
            slog::info!(self.state.log, "store reachable again";
                "prefix" => self.prefix,
                "after_ms" => self.state.now().since(lost_at).as_millis(),
                "attempts" => attempts);
            self.record_recovery(self.seen_until);
        }
    }

    fn record_recovery(&mut self, seen_until: Time) {
        self.topic.count_outage();
        self.handler.on_recovery(seen_until);
    }
}

/// Waits until another source is the right one for this daemon, or the store's era changes.
async fn wait_for_change<K>(state: &GatewayState, store: &K, current: &Source)
where
    K: KeyValueStore,
{
    let era = store.era();
    loop {
        compio::time::sleep(SOURCE_CHECK_INTERVAL).await;
        if state.change_source() != *current || store.era() != era {
            return;
        }
    }
}
