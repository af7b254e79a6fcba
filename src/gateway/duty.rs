//! The duty to order hosts into groups.
//!
//! One daemon holds the duty: its claim hangs on its lease, and the claim's
//! revision begins its epochs. A holder whose lease may have ended stops at
//! once; to go on it writes its claim again and so begins new epochs.

use super::{
    adapter::Adapter,
    lease::{Lease, RETRY_PAUSE},
    orders,
    peers::{Claim, Verdict},
    planner::Planner,
    prober::Prober,
    sinks::{CLAIM, VERDICT},
    state::Site,
};
use crate::core::{
    input::PlatformAnswer,
    keys::{Epoch, Revision},
    output::Expect,
};
use metrics::gauge;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

/// How often the holder looks at the groups.
const STEP: Duration = Duration::from_millis(100);

/// Epochs of one claim; later claims have larger revisions.
const EPOCHS_PER_CLAIM: i64 = 1_000;

/// A daemon's part in the duty.
pub struct Duty<A>
where
    A: Adapter,
{
    site: Rc<Site>,
    lease: Rc<Lease<A>>,
    holding: Option<Holding<A>>,
}

/// What the holder keeps.
struct Holding<A>
where
    A: Adapter,
{
    planner: Planner,
    prober: Prober<A>,
    verdicts: Rc<Verdicts<A>>,
}

impl<A> Duty<A>
where
    A: Adapter,
{
    /// A daemon that doesn't hold the duty.
    pub fn new(site: Rc<Site>, lease: Rc<Lease<A>>) -> Self {
        Self {
            site,
            lease,
            holding: None,
        }
    }

    /// Claims the duty when nobody holds it, and does it, until the daemon stops.
    pub async fn run(mut self) {
        while !self.site.stopping.get() {
            self.step().await;
            compio::time::sleep(STEP).await;
        }
    }

    async fn step(&mut self) {
        self.lease.pace_watches(self.holding.is_some());
        if !self.lease.is_valid() {
            if self.holding.take().is_some() {
                gauge!("duty_held").set(0.0);
                slog::warn!(self.site.log, "duty given up"; "cause" => "the lease may have ended");
            }
            return;
        }
        if self.holding.is_none() {
            self.claim().await;
        }
        if let Some(holding) = &mut self.holding
            && self.lease.is_valid()
        {
            holding.work(&self.site);
        }
    }

    async fn claim(&mut self) {
        let me = &self.site.settings.name;
        let expect = match &self.site.peers.borrow().claim {
            None => Expect::Absent,
            // Its own claim, from before its lease was in doubt or from an earlier run.
            Some((holder, revision)) if holder == me => Expect::At(*revision),
            Some(_) => return,
        };
        if !self.site.is_ready() {
            return;
        }
        let claim = Claim { holder: me.clone() };
        let key = format!("{}{CLAIM}", A::OWN_PREFIX);
        match self
            .lease
            .write(&key, &claim, expect, self.lease.id())
            .await
        {
            Some(PlatformAnswer::Written { revision }) => {
                self.site.peers.borrow_mut().claim = Some((claim.holder, revision));
                // Its watch may have been silent while an earlier holder ordered.
                if self.lease.read_runners().await {
                    self.begin(revision);
                }
            }
            Some(PlatformAnswer::Conflict { current, .. }) => {
                let found = current.map(|entry| (entry.value, entry.revision));
                self.found(found);
            }
            _ => compio::time::sleep(RETRY_PAUSE).await,
        }
    }

    /// Takes in who holds the duty; it may be this daemon, whose write was not answered.
    fn found(&mut self, current: Option<(String, Revision)>) {
        let Some((value, revision)) = current else {
            self.site.peers.borrow_mut().claim = None;
            return;
        };
        match serde_json::from_str::<Claim>(&value) {
            Ok(claim) => self.site.peers.borrow_mut().claim = Some((claim.holder, revision)),
            Err(error) => slog::error!(self.site.log, "claim refused";
                "value" => value, "cause" => error.to_string()),
        }
    }

    fn begin(&mut self, revision: Revision) {
        gauge!("duty_held").set(1.0);
        slog::info!(self.site.log, "duty taken"; "revision" => revision.0);
        let epoch = Epoch(revision.0 * EPOCHS_PER_CLAIM);
        self.holding = Some(Holding {
            planner: Planner::new(epoch),
            prober: Prober::new(self.site.clone()),
            verdicts: Rc::new(Verdicts::new(self.lease.clone())),
        });
    }
}

impl<A> Holding<A>
where
    A: Adapter,
{
    /// Probes, plans and orders once.
    fn work(&mut self, site: &Rc<Site>) {
        let Some(table) = site.table() else {
            return;
        };
        self.prober.step();
        let lost = self.prober.lost();
        let slow = self.prober.slow();
        {
            let mut roster = site.roster.borrow_mut();
            roster.set_unreachable(lost.clone());
            roster.set_slow(slow.clone());
        }
        site.assemble();
        self.planner.busy |= !site.settings.first || site.taken.get() > 0;
        let directives = {
            let roster = site.roster.borrow();
            let demand = site.demand.borrow();
            self.planner
                .step(&roster, table.spec(), &demand, site.now())
        };
        for directive in directives {
            orders::send::<A>(site, directive);
        }
        let roster = site.roster.borrow();
        let verdict = Verdict {
            dead: roster.dead(),
            lost: lost.into_iter().collect(),
            slow: slow.into_iter().collect(),
            ended: self.planner.ended(&roster, site.now()),
        };
        Verdicts::publish(&self.verdicts, verdict);
    }
}

/// Tells the other daemons, and successors, what the holder found out of runners.
struct Verdicts<A>
where
    A: Adapter,
{
    lease: Rc<Lease<A>>,
    wanted: RefCell<Verdict>,
    /// What was written last; none before the first write.
    written: RefCell<Option<Verdict>>,
    is_writing: Cell<bool>,
}

impl<A> Verdicts<A>
where
    A: Adapter,
{
    fn new(lease: Rc<Lease<A>>) -> Self {
        Self {
            lease,
            wanted: RefCell::default(),
            written: RefCell::default(),
            is_writing: Cell::new(false),
        }
    }

    /// Writes a verdict, unless it stands there already.
    fn publish(this: &Rc<Self>, verdict: Verdict) {
        this.wanted.replace(verdict);
        let is_written = this.written.borrow().as_ref() == Some(&*this.wanted.borrow());
        if is_written || this.is_writing.replace(true) {
            return;
        }
        let this = this.clone();
        compio::runtime::spawn(async move {
            let verdict = this.wanted.borrow().clone();
            let key = format!("{}{VERDICT}", A::OWN_PREFIX);
            if this.lease.overwrite(key, &verdict, None).await.is_some() {
                this.written.replace(Some(verdict));
            }
            this.is_writing.set(false);
        })
        .detach();
    }
}
