//! A daemon's lease in the store, and its entry among the daemons.
//!
//! The lease is counted from the moment at which its renewal was sent, by a
//! clock that counts a suspended machine, and is taken as ended a margin
//! before its end.

use super::{
    adapter::Adapter,
    feed::Sink as _,
    handlers::{PRESENCE, RunnerSink},
    peers::Presence,
    state::GatewayState,
};
use crate::{
    core::{
        input::PlatformAnswer,
        keys::{LeaseId, Revision},
        output::{Expect, PlatformCall},
        time::{Span, Time},
    },
    shell::platform::KeyValue,
};
use serde::Serialize;
use std::{cell::Cell, rc::Rc, time::Duration};

/// How long a lease lasts unrenewed.
const LEASE: Span = Span::from_millis(3_000);

/// How often a lease is renewed.
const RENEWAL: Duration = Duration::from_millis(700);

/// How long before its end a lease is taken as ended.
const MARGIN: Span = Span::from_millis(400);

/// How long changes gather at the least.
const GATHER_MIN: Duration = Duration::from_millis(100);

/// How long changes gather for each daemon that watches.
const GATHER_EACH: Duration = Duration::from_millis(15);

/// How long changes gather at the most; a configuration must be in force within two seconds.
const GATHER_MAX: Duration = Duration::from_millis(900);

/// The pause after a failed call.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A daemon's lease, and writes under it.
pub struct Lease<A>
where
    A: Adapter,
{
    site: Rc<GatewayState>,
    store: A::Store,
    id: Cell<Option<LeaseId>>,
    /// Until when the lease surely holds.
    until: Cell<Time>,
    /// Whether the entry among the daemons hangs on this lease.
    is_present: Cell<bool>,
}

impl<A> Lease<A>
where
    A: Adapter,
{
    /// A daemon without a lease.
    pub fn new(site: Rc<GatewayState>, store: A::Store) -> Self {
        Self {
            site,
            store,
            id: Cell::new(None),
            until: Cell::default(),
            is_present: Cell::new(false),
        }
    }

    /// Lets changes gather: the holder of the duty must see them at once, and the others' calls
    /// must not grow with their number.
    pub fn set_batch_delay(&self, is_holder: bool) {
        let daemons = self.site.peers.borrow().count() as u32;
        let pause = match is_holder {
            true => GATHER_MIN,
            false => (GATHER_EACH * daemons).clamp(GATHER_MIN, GATHER_MAX),
        };
        self.store.gather(pause);
    }

    /// The lease, if there is one.
    pub fn id(&self) -> Option<LeaseId> {
        self.id.get()
    }

    /// Whether the lease surely holds now.
    pub fn is_valid(&self) -> bool {
        self.id.get().is_some() && self.site.now() + MARGIN < self.until.get()
    }

    /// Keeps the lease until the daemon stops, then ends it.
    pub async fn keep(self: Rc<Self>) {
        while !self.site.stopping.get() {
            let is_kept = self.renew().await;
            let pause = if is_kept { RENEWAL } else { RETRY_DELAY };
            compio::time::sleep(pause).await;
        }
        let Some(lease) = self.id.take() else {
            return;
        };
        // Others need not wait for its end.
        if let Err(error) = self.store.ask(PlatformCall::Revoke { lease }).await {
            slog::warn!(self.site.log, "lease not ended"; "cause" => error.to_string());
        }
    }

    /// Renews or grants the lease; false if that failed.
    async fn renew(&self) -> bool {
        let sent = self.site.now();
        let call = match self.id.get() {
            Some(lease) => PlatformCall::KeepAlive { lease },
            None => PlatformCall::Grant { ttl: LEASE },
        };
        match self.store.ask(call).await {
            Ok(PlatformAnswer::Leased { lease, ttl }) if ttl > Span::ZERO => {
                self.id.set(Some(lease));
                self.until.set(sent + ttl);
                self.announce().await
            }
            Ok(_) => {
                slog::warn!(self.site.log, "lease ended");
                self.id.set(None);
                self.is_present.set(false);
                false
            }
            Err(_) => false,
        }
    }

    /// Writes the entry among the daemons, once a lease.
    async fn announce(&self) -> bool {
        if self.is_present.get() || self.site.stopping.get() {
            return true;
        }
        let settings = &self.site.settings;
        let presence = Presence {
            caller: settings.listen.caller,
            hall: settings.hall.clone(),
        };
        let key = format!("{}{PRESENCE}{}", A::OWN_PREFIX, settings.name);
        let written = self.overwrite(key, &presence, self.id()).await;
        self.is_present.set(written.is_some());
        written.is_some()
    }

    /// Reads all runners' entries anew; false if that failed.
    pub async fn reload_runners(&self) -> bool {
        let list = PlatformCall::List {
            prefix: A::RUNNER_PREFIX.to_owned(),
        };
        match self.store.ask(list).await {
            Ok(PlatformAnswer::Entries { entries, .. }) => {
                RunnerSink::<A>::new(self.site.clone()).listed(entries);
                true
            }
            Ok(_) => unreachable!("a list is answered with entries"),
            Err(error) => {
                slog::warn!(self.site.log, "runners not read"; "cause" => error.to_string());
                false
            }
        }
    }

    /// Writes a key whatever it holds, so that it goes with `lease`; none if that failed.
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

    /// Writes a key if it is as expected; none if no answer came.
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
            value: serde_json::to_string(value).expect("an own entry is plain data"),
            expect,
            lease,
        };
        let answer = self.store.ask(put).await;
        answer
            .inspect_err(|error| {
                slog::warn!(self.site.log, "write failed";
                    "key" => key, "cause" => error.to_string());
            })
            .ok()
    }
}
