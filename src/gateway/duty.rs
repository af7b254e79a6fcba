//! A daemon's lease, its entry among the daemons, and the duty to order groups.
//!
//! One daemon holds the duty: the entry of the claim hangs on its lease, and
//! the claim's revision begins its epochs. The holder counts its lease from
//! the moment at which the renewal was sent and stops a margin before its end.

use super::{
    adapter::Adapter,
    orders::Orders,
    peers::{Claim, Presence, Verdict},
    planner::Planner,
    prober::Prober,
    sinks::{CLAIM, PRESENCE, VERDICT},
    state::Site,
};
use crate::{
    core::{
        input::PlatformAnswer,
        keys::{Epoch, LeaseId, Revision},
        output::{Expect, PlatformCall},
        time::{Span, Time},
    },
    shell::platform::KeyValue,
};
use serde::Serialize;
use std::{rc::Rc, time::Duration};

/// How long a lease lasts unrenewed.
const LEASE: Span = Span::from_millis(2_500);

/// How often a lease is renewed.
const RENEWAL: Duration = Duration::from_millis(700);

/// How long before its end a lease is taken as ended.
const MARGIN: Span = Span::from_millis(400);

/// The pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// How often the holder looks at the groups.
const STEP: Duration = Duration::from_millis(100);

/// Epochs of one claim; later claims have larger revisions.
const EPOCHS_PER_CLAIM: i64 = 1_000;

/// The daemon's side of its lease.
pub struct Session<A>
where
    A: Adapter,
{
    site: Rc<Site>,
    store: A::Store,
    lease: Option<LeaseId>,
    /// Until when the lease surely holds.
    until: Time,
    /// Whether the entry among the daemons hangs on this lease.
    is_present: bool,
    holding: Option<Holding<A>>,
}

/// What the holder of the duty keeps.
struct Holding<A>
where
    A: Adapter,
{
    planner: Planner,
    prober: Prober<A>,
    orders: Orders<A>,
    /// The verdict as written last.
    written: Option<Verdict>,
}

impl<A> Session<A>
where
    A: Adapter,
{
    /// A session without a lease.
    pub fn new(site: Rc<Site>, store: A::Store) -> Self {
        Self {
            site,
            store,
            lease: None,
            until: Time::default(),
            is_present: false,
            holding: None,
        }
    }

    /// Renews the lease, and does the duty while it is held.
    pub async fn run(mut self) {
        let mut renewal = Time::default();
        loop {
            if self.site.now() >= renewal {
                let kept = self.renew().await;
                let pause = if kept { RENEWAL } else { RETRY_PAUSE };
                renewal = self.site.now() + Span(pause.as_micros() as u64);
            }
            if self.site.stopping.get() {
                self.leave().await;
                return;
            }
            self.step().await;
            compio::time::sleep(STEP).await;
        }
    }

    /// Whether the lease surely holds now.
    fn is_valid(&self) -> bool {
        self.lease.is_some() && self.site.now() + MARGIN < self.until
    }

    /// Renews or grants the lease; false if that failed.
    async fn renew(&mut self) -> bool {
        let sent = self.site.now();
        let call = match self.lease {
            Some(lease) => PlatformCall::KeepAlive { lease },
            None => PlatformCall::Grant { ttl: LEASE },
        };
        match self.store.ask(call).await {
            Ok(PlatformAnswer::Leased { lease, ttl }) if ttl > Span::ZERO => {
                self.lease = Some(lease);
                self.until = sent + ttl;
                self.announce().await
            }
            Ok(_) => {
                self.lease = None;
                self.is_present = false;
                self.give_up("the lease has ended");
                false
            }
            Err(_) => false,
        }
    }

    /// Writes the entry among the daemons, once a lease.
    async fn announce(&mut self) -> bool {
        if self.is_present || self.site.stopping.get() {
            return true;
        }
        let settings = &self.site.settings;
        let presence = Presence {
            caller: settings.listen.caller,
            hall: settings.hall.clone(),
        };
        let key = format!("{}{PRESENCE}{}", A::OWN_PREFIX, settings.name);
        self.is_present = self.overwrite(key, &presence).await.is_some();
        self.is_present
    }

    /// Writes a key whatever it holds; none if that failed.
    async fn overwrite<T>(&self, key: String, value: &T) -> Option<Revision>
    where
        T: Serialize,
    {
        let value = serde_json::to_string(value).expect("an own entry is plain data");
        let mut expect = Expect::Absent;
        for _ in 0..2 {
            let put = PlatformCall::Put {
                key: key.clone(),
                value: value.clone(),
                expect,
                lease: self.lease,
            };
            match self.store.ask(put).await {
                Ok(PlatformAnswer::Written { revision }) => return Some(revision),
                Ok(PlatformAnswer::Conflict {
                    current: Some(entry),
                    ..
                }) => expect = Expect::At(entry.revision),
                Ok(_) => return None,
                Err(error) => {
                    slog::warn!(self.site.log, "write failed";
                        "key" => &key, "cause" => error.to_string());
                    return None;
                }
            }
        }
        None
    }

    /// Claims the duty if nobody holds it, and does it.
    async fn step(&mut self) {
        if !self.is_valid() {
            self.give_up("the lease may have ended");
            return;
        }
        if self.holding.is_none() {
            self.claim().await;
        }
        if self.holding.is_some() {
            self.work().await;
        }
    }

    async fn claim(&mut self) {
        let is_held = self.site.peers.borrow().claim.is_some();
        if is_held || !self.site.is_ready() {
            return;
        }
        let claim = Claim {
            holder: self.site.settings.name.clone(),
        };
        let put = PlatformCall::Put {
            key: format!("{}{CLAIM}", A::OWN_PREFIX),
            value: serde_json::to_string(&claim).expect("a claim is plain data"),
            expect: Expect::Absent,
            lease: self.lease,
        };
        match self.store.ask(put).await {
            Ok(PlatformAnswer::Written { revision }) => self.begin(revision),
            Ok(PlatformAnswer::Conflict {
                current: Some(entry),
                ..
            }) => self.found(&entry.value, entry.revision),
            Ok(_) => {}
            Err(error) => {
                slog::warn!(self.site.log, "claim failed"; "cause" => error.to_string());
                compio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    /// Takes in who holds the duty; it may be this daemon, whose write was not answered.
    fn found(&mut self, value: &str, revision: Revision) {
        let Ok(claim) = serde_json::from_str::<Claim>(value) else {
            slog::error!(self.site.log, "claim refused"; "value" => value);
            return;
        };
        let holder = claim.holder;
        self.site.peers.borrow_mut().claim = Some((holder, revision));
    }

    fn begin(&mut self, revision: Revision) {
        slog::info!(self.site.log, "duty taken"; "revision" => revision.0);
        let epoch = Epoch(revision.0 * EPOCHS_PER_CLAIM);
        self.holding = Some(Holding {
            planner: Planner::new(epoch),
            prober: Prober::new(self.site.clone()),
            orders: Orders::new(self.site.clone()),
            written: None,
        });
    }

    fn give_up(&mut self, cause: &str) {
        if self.holding.take().is_some() {
            slog::warn!(self.site.log, "duty given up"; "cause" => cause);
        }
    }

    /// Probes, plans and orders once.
    async fn work(&mut self) {
        let Some(table) = self.site.table() else {
            return;
        };
        let now = self.site.now();
        let Some(holding) = &mut self.holding else {
            return;
        };
        holding.prober.step();
        let lost = holding.prober.lost();
        self.site.roster.borrow_mut().set_lost(lost.clone());
        self.site.assemble();
        holding.planner.busy |= !self.site.settings.first || self.site.taken.get() > 0;
        let directives = {
            let roster = self.site.roster.borrow();
            holding.planner.step(&roster, table.spec(), now)
        };
        for directive in directives {
            holding.orders.send(directive);
        }
        let verdict = Verdict {
            lost: lost.into_iter().collect(),
        };
        let is_new = holding.written.as_ref() != Some(&verdict);
        if is_new {
            let key = format!("{}{VERDICT}", A::OWN_PREFIX);
            let written = self.overwrite(key, &verdict).await;
            if let (Some(_), Some(holding)) = (written, &mut self.holding) {
                holding.written = Some(verdict);
            }
        }
    }

    /// Ends the lease, so that others need not wait for its end.
    async fn leave(&mut self) {
        self.give_up("the daemon stops");
        if let Some(lease) = self.lease.take()
            && let Err(error) = self.store.ask(PlatformCall::Revoke { lease }).await
        {
            slog::warn!(self.site.log, "lease not ended"; "cause" => error.to_string());
        }
    }
}
