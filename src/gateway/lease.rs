//! The daemon's lease in the store, its own entry, and writes to the store.
//!
//! The lease is counted from the time at which its last renewal was sent, by a
//! clock that also counts while the host is suspended, and is treated as
//! expired a margin before its end.

use super::{
    adapter::Adapter,
    backoff::Backoff,
    changes::source::{self, Source},
    handlers::{DAEMON_PREFIX, RunnerHandler},
    peers::DaemonEntry,
    permits::Registration,
    state::GatewayState,
    watch::EntryHandler as _,
};
use crate::{
    core::{
        input::PlatformAnswer,
        keys::{Era, LeaseId, Revision},
        output::{Expect, PlatformCall},
        time::{Span, Time},
    },
    shell::{connections::StopSignal, platform::KeyValueStore, supervisor::Supervisor},
};
use compio::runtime::JoinHandle;
use futures_channel::oneshot;
use futures_util::{FutureExt as _, future::select};
use serde::Serialize;
use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

/// Time to live of the lease.
pub(super) const LEASE_TTL: Span = Span::from_millis(3_000);

/// Interval between renewals of the lease. They also prove that this daemon is in contact with the
/// store, and find out when it is so again.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(700);

/// Interval between renewals of a subscriber's lease, on which no other daemon counts.
const SUBSCRIBER_RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time before its end from which the lease is treated as expired.
const EXPIRY_MARGIN: Span = Span::from_millis(400);

/// Minimum delay for which a watch collects changes before they are fetched.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(100);

/// Minimum batch delay of a daemon that watches the store for others.
const SHARED_BATCH_DELAY: Duration = Duration::from_millis(400);

/// Batch delay for each daemon that watches the store.
const BATCH_DELAY_PER_WATCHER: Duration = Duration::from_millis(15);

/// Maximum batch delay; a configuration must be in use within two seconds.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(900);

/// Delay after a failed call to the store.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Lease of this daemon, through which it also writes to the store.
pub struct Lease<A>
where
    A: Adapter,
{
    state: Rc<GatewayState>,
    store: A::Store,
    id: Cell<Option<LeaseId>>,
    /// Era of the store in which the lease was granted.
    era: Cell<Option<Era>>,
    /// Time until which the store is certain to hold the lease.
    expires: Cell<Time>,
    /// True if this daemon's entry was written under the current lease.
    is_registered: Cell<bool>,
}

/// Task that keeps a lease until the stop.
pub struct LeaseTask {
    stop: oneshot::Sender<()>,
    task: JoinHandle<Option<bool>>,
}

impl LeaseTask {
    /// Starts to renew a lease.
    pub fn start<A>(lease: Rc<Lease<A>>, supervisor: &Supervisor) -> Self
    where
        A: Adapter,
    {
        let (stop, stopped) = oneshot::channel();
        let stopped = stopped.shared();
        let maintain = move || lease.clone().maintain(stopped.clone());
        let task = supervisor.spawn("lease", maintain);
        Self { stop, task }
    }

    /// Revokes the lease, so that the other daemons forget this one at once; returns true if there
    /// is none any more.
    pub async fn revoke(self) -> bool {
        // Without a receiver the task has ended already.
        let _ = self.stop.send(());
        matches!(self.task.await, Ok(Some(true)))
    }
}

impl<A> Lease<A>
where
    A: Adapter,
{
    /// Creates a handle that holds no lease yet.
    pub fn new(state: Rc<GatewayState>, store: A::Store) -> Self {
        Self {
            state,
            store,
            id: Cell::new(None),
            era: Cell::default(),
            expires: Cell::default(),
            is_registered: Cell::new(false),
        }
    }

    /// Sets the delay for which watches collect changes: the holder of the duty must see changes
    /// at once, while the calls of the others must not grow with their number.
    pub fn set_batch_delay(&self, is_holder: bool) {
        let peers = self.state.peers.borrow();
        let watchers = source::watcher_count(&peers);
        let min = match watchers < peers.count() {
            true => SHARED_BATCH_DELAY,
            false => MIN_BATCH_DELAY,
        };
        let delay = match is_holder {
            true => MIN_BATCH_DELAY,
            false => (BATCH_DELAY_PER_WATCHER * watchers as u32).clamp(min, MAX_BATCH_DELAY),
        };
        self.store.set_batch_delay(delay);
    }

    /// Returns the lease's identifier, if a lease is held.
    pub fn id(&self) -> Option<LeaseId> {
        self.id.get()
    }

    /// Returns true if the lease is certain to be held now.
    pub fn is_valid(&self) -> bool {
        let is_current = self.era.get() == self.store.era();
        let is_held = self.id.get().is_some() && is_current;
        is_held && self.state.now() + EXPIRY_MARGIN < self.expires.get()
    }

    /// Treats the lease as expired until it is renewed.
    pub fn distrust(&self) {
        self.expires.set(Time::default());
    }

    /// Renews the lease until the stop, then revokes it; returns true if that succeeded.
    async fn maintain(self: Rc<Self>, stop: StopSignal) -> bool {
        let mut backoff = Backoff::of_probe();
        while !self.state.stopping.get() {
            let delay = match self.renew().await {
                true => {
                    backoff.reset();
                    self.renewal_interval()
                }
                false => backoff.next_delay(),
            };
            select(pin!(compio::time::sleep(delay)), stop.clone()).await;
        }
        self.state.registration.set(Registration::default());
        let Some(lease) = self.id.take() else {
            return true;
        };
        // Without this, the other daemons would have to wait until the lease expires.
        let revoked = self.store.execute(PlatformCall::Revoke { lease }).await;
        revoked
            .inspect_err(|error| {
                slog::warn!(self.state.log, "lease not revoked"; "cause" => error.to_string());
            })
            .is_ok()
    }

    fn renewal_interval(&self) -> Duration {
        match self.state.change_source() {
            Source::Store => RENEWAL_INTERVAL,
            Source::Peer { .. } => SUBSCRIBER_RENEWAL_INTERVAL,
        }
    }

    /// Returns the store's era.
    pub fn store_era(&self) -> Option<Era> {
        self.store.era()
    }

    /// Forgets a lease of an earlier era: it may be gone, or another daemon's.
    fn check_era(&self) {
        let era = self.store.era();
        if self.era.replace(era) == era || self.id.get().is_none() {
            return;
        }
        slog::warn!(self.state.log, "lease of an earlier era forgotten"; "era" => era.map(|era| era.0));
        self.forget();
    }

    fn forget(&self) {
        self.id.set(None);
        self.is_registered.set(false);
        self.state.registration.set(Registration::default());
    }

    /// Renews the lease, or obtains one; false if that failed.
    async fn renew(&self) -> bool {
        self.check_era();
        let sent = self.state.now();
        let call = match self.id.get() {
            Some(lease) => PlatformCall::KeepAlive { lease },
            None => PlatformCall::Grant { ttl: LEASE_TTL },
        };
        match self.store.execute(call).await {
            Ok(PlatformAnswer::Leased { lease, ttl }) if ttl > Span::ZERO => {
                self.era.set(self.store.era());
                self.id.set(Some(lease));
                self.expires.set(sent + ttl);
                let mut registration = self.state.registration.get();
                registration.renew(sent, sent + (ttl - EXPIRY_MARGIN));
                self.state.registration.set(registration);
                self.state.store_answered(self.store.era());
                self.register().await
            }
            Ok(_) => {
                self.state.store_answered(self.store.era());
                slog::warn!(self.state.log, "lease expired");
                self.forget();
                false
            }
            Err(_) => false,
        }
    }

    /// Writes this daemon's entry, once for each lease.
    async fn register(&self) -> bool {
        if self.is_registered.get() || self.state.stopping.get() {
            return true;
        }
        let settings = &self.state.settings;
        let entry = DaemonEntry {
            caller: settings.listen.caller,
            hall: settings.hall.clone(),
            peer: settings.listen.peer,
            relay: settings.listen.relay,
            processor_percent: (settings.cores * 100.0) as u32,
        };
        let key = format!("{}{DAEMON_PREFIX}{}", A::OWN_PREFIX, settings.name);
        let written = self.overwrite(key, &entry, self.id()).await;
        self.is_registered.set(written.is_some());
        written.is_some()
    }

    /// Lists all runners' entries again; false if that failed.
    pub async fn reload_runners(&self) -> bool {
        let list = PlatformCall::List {
            prefix: A::RUNNER_PREFIX.to_owned(),
        };
        match self.store.execute(list).await {
            Ok(PlatformAnswer::Entries { revision, entries }) => {
                RunnerHandler::<A>::new(self.state.clone()).on_list(revision, entries);
                true
            }
            Ok(_) => unreachable!("a list call returns entries"),
            Err(error) => {
                slog::warn!(self.state.log, "runners not listed"; "cause" => error.to_string());
                false
            }
        }
    }

    /// Writes a key whatever its value, attached to `lease`; returns no revision if that failed.
    pub async fn overwrite<T>(
        &self,
        key: String,
        value: &T,
        lease: Option<LeaseId>,
    ) -> Option<Revision>
    where
        T: Serialize,
    {
        let mut expect = Expect::Absent;
        for _ in 0..2 {
            match self.write(&key, value, expect, lease).await? {
                PlatformAnswer::Written { revision } => return Some(revision),
                PlatformAnswer::Conflict {
                    current: Some(entry),
                    ..
                } => expect = Expect::At(entry.revision),
                _ => return None,
            }
        }
        None
    }

    /// Deletes a key if it still has this revision; false if the store did not answer.
    pub async fn delete(&self, key: String, revision: Revision) -> bool {
        let expect = Expect::At(revision);
        let delete = PlatformCall::Delete {
            key: key.clone(),
            expect,
        };
        let answer = self.store.execute(delete).await;
        answer
            .inspect_err(|error| {
                slog::warn!(self.state.log, "store delete failed";
                    "key" => key, "cause" => error.to_string());
            })
            .is_ok()
    }

    /// Writes a key if it is as expected; returns nothing if the store did not answer.
    pub async fn write<T>(
        &self,
        key: &str,
        value: &T,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Option<PlatformAnswer>
    where
        T: Serialize,
    {
        let put = PlatformCall::Put {
            key: key.to_owned(),
            value: serde_json::to_string(value).expect("a gateway entry serializes to JSON"),
            expect,
            lease,
        };
        let answer = self.store.execute(put).await;
        answer
            .inspect_err(|error| {
                slog::warn!(self.state.log, "store write failed";
                    "key" => key, "cause" => error.to_string());
            })
            .ok()
    }
}
