//! The duty to form groups, which one daemon holds at a time.
//!
//! The holder is elected by its claim in the store, which is bound to the
//! daemon's lease. The revision of the claim determines the holder's epochs. A
//! holder whose lease may have expired stops at once; to continue, it writes
//! its claim again and so gets new epochs.

use super::{
    adapter::Adapter,
    candidacy::{Candidacy, first_epoch},
    handlers::{CLAIM_KEY, RUNNER_HEALTH_KEY},
    lease::{LEASE_TTL, Lease, RETRY_DELAY},
    liveness::latest_data,
    orders::{self, OrderAnswers},
    peers::{Claim, RunnerHealth},
    planner::Planner,
    prober::Prober,
    state::GatewayState,
};
use crate::core::{
    input::PlatformAnswer,
    keys::{Era, Revision},
    output::Expect,
};
use metrics::gauge;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

/// Interval between two steps of a daemon.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// A daemon's participation in the duty, as candidate or holder.
pub struct Duty<A>
where
    A: Adapter,
{
    state: Rc<GatewayState>,
    lease: Rc<Lease<A>>,
    candidacy: Candidacy,
    /// Era of the store in which the duty may be claimed.
    era: Option<Era>,
    /// Set while this daemon holds the duty.
    active: Option<ActiveDuty<A>>,
}

/// State of the daemon that holds the duty.
struct ActiveDuty<A>
where
    A: Adapter,
{
    /// Revision of the claim under which it is held.
    claim: Revision,
    planner: Planner,
    prober: Prober<A>,
    publisher: Rc<HealthPublisher<A>>,
    answers: OrderAnswers,
}

impl<A> Duty<A>
where
    A: Adapter,
{
    /// Creates a candidate, which doesn't hold the duty yet.
    pub fn new(state: Rc<GatewayState>, lease: Rc<Lease<A>>) -> Self {
        gauge!("duty_held").set(0.0);
        let candidacy = Candidacy::new(state.settings.name.clone(), state.now());
        Self {
            state,
            lease,
            candidacy,
            era: None,
            active: None,
        }
    }

    /// Claims the duty whenever nobody holds it, and performs it, until the daemon stops.
    pub async fn run(mut self) {
        while !self.state.stopping.get() {
            self.step().await;
            compio::time::sleep(STEP_INTERVAL).await;
        }
    }

    /// Gives the duty up if the store has come back from an older copy, which may have revived an
    /// earlier claim or lost this one.
    fn check_era(&mut self) {
        let era = self.lease.store_era();
        let before = std::mem::replace(&mut self.era, era);
        let published = self.state.peers.borrow().published_era;
        let now = self.state.now();
        self.candidacy
            .bar_after_rollback(published, era, LEASE_TTL, now);
        if before == era || before.is_none() {
            return;
        }
        self.candidacy.bar(LEASE_TTL, now);
        self.state.peers.borrow_mut().forget_claim();
        if self.active.take().is_some() {
            gauge!("duty_held").set(0.0);
            slog::warn!(self.state.log, "duty given up"; "cause" => "the store's era has changed");
        }
    }

    /// Gives the duty up if this daemon reaches no runner; returns true while it should not have
    /// it.
    async fn check_reach(&mut self) -> bool {
        let now = self.state.now();
        if !self.state.reach.borrow().should_hand_over(now) {
            return false;
        }
        if self.active.take().is_some() {
            gauge!("duty_held").set(0.0);
            slog::warn!(self.state.log, "duty given up"; "cause" => "no runner is reached");
        }
        if let Some(revision) = self.own_claim() {
            let key = format!("{}{CLAIM_KEY}", A::OWN_PREFIX);
            if self.lease.delete(key, revision).await {
                self.state.peers.borrow_mut().forget_claim();
            }
        }
        true
    }

    /// Returns the revision of this daemon's claim, if it is the current one.
    fn own_claim(&self) -> Option<Revision> {
        let peers = self.state.peers.borrow();
        let (holder, revision) = peers.claim.as_ref()?;
        (*holder == self.state.settings.name).then_some(*revision)
    }

    /// Gives the duty up if its claim is gone from the store, or another daemon has claimed it since:
    /// the lease may have ended there before its time, and a successor be at work.
    fn check_claim(&mut self) {
        let Some(active) = &self.active else {
            return;
        };
        let is_lost = {
            let peers = self.state.peers.borrow();
            peers.has_lost_claim(&self.state.settings.name, active.claim)
        };
        if is_lost {
            self.active = None;
            self.lease.distrust();
            gauge!("duty_held").set(0.0);
            slog::warn!(self.state.log, "duty given up"; "cause" => "the claim is gone");
        }
    }

    async fn step(&mut self) {
        self.check_era();
        self.check_claim();
        if self.check_reach().await {
            return;
        }
        self.lease.set_batch_delay(self.active.is_some());
        if !self.lease.is_valid() {
            if self.active.take().is_some() {
                gauge!("duty_held").set(0.0);
                slog::warn!(self.state.log, "duty given up"; "cause" => "the lease may have expired");
            }
            return;
        }
        if self.active.is_none() {
            self.try_claim().await;
        }
        if let Some(active) = &mut self.active
            && self.lease.is_valid()
        {
            active.step(&self.state);
        }
    }

    /// Writes this daemon's claim unless another daemon holds the duty.
    async fn try_claim(&mut self) {
        let me = &self.state.settings.name;
        let now = self.state.now();
        if !self.state.is_ready() {
            return;
        }
        let expect = {
            let peers = self.state.peers.borrow();
            self.candidacy.bar_after_overwrite(&peers, LEASE_TTL, now);
            if !self.candidacy.should_claim(&peers, now) {
                return;
            }
            peers.claim_revision().map_or(Expect::Absent, Expect::At)
        };
        let claim = Claim { holder: me.clone() };
        let key = format!("{}{CLAIM_KEY}", A::OWN_PREFIX);
        match self
            .lease
            .write(&key, &claim, expect, self.lease.id())
            .await
        {
            Some(PlatformAnswer::Written { revision }) => {
                self.report_replaced();
                let peers = &self.state.peers;
                peers.borrow_mut().record_claim(claim.holder, revision);
                // The watch may have missed the effects of an earlier holder's recent orders.
                if self.lease.reload_runners().await {
                    self.activate(revision);
                }
            }
            Some(PlatformAnswer::Conflict { current, .. }) => {
                let found = current.map(|entry| (entry.value, entry.revision));
                self.record_claim(found);
            }
            _ => compio::time::sleep(RETRY_DELAY).await,
        }
    }

    /// Records who holds the duty; it may be this daemon, if an earlier write of its claim went
    /// unanswered.
    fn record_claim(&mut self, current: Option<(String, Revision)>) {
        let Some((value, revision)) = current else {
            self.state.peers.borrow_mut().forget_claim();
            return;
        };
        let mut peers = self.state.peers.borrow_mut();
        match serde_json::from_str::<Claim>(&value) {
            Ok(claim) => peers.record_claim(claim.holder, revision),
            Err(error) => {
                if peers.record_unreadable(revision) {
                    slog::error!(self.state.log, "claim in the store is invalid";
                        "value" => value, "cause" => error.to_string());
                }
            }
        }
    }

    /// Logs that this daemon's claim has replaced one that can't be read.
    fn report_replaced(&self) {
        if let Some(replaced) = &self.state.peers.borrow().unreadable_claim {
            slog::warn!(self.state.log, "unreadable claim of the duty replaced";
                "revision" => replaced.revision.0);
        }
    }

    /// Starts to perform the duty under the claim of a revision.
    fn activate(&mut self, revision: Revision) {
        gauge!("duty_held").set(1.0);
        slog::info!(self.state.log, "duty taken"; "revision" => revision.0);
        let epoch = first_epoch(self.era.unwrap_or_default(), revision);
        self.active = Some(ActiveDuty {
            claim: revision,
            planner: Planner::new(epoch),
            prober: Prober::new(self.state.clone()),
            publisher: Rc::new(HealthPublisher::new(self.lease.clone())),
            answers: OrderAnswers::default(),
        });
    }
}

impl<A> ActiveDuty<A>
where
    A: Adapter,
{
    /// Sends due probes and orders, and publishes the health of runners.
    fn step(&mut self, state: &Rc<GatewayState>) {
        let Some(table) = state.route_table() else {
            return;
        };
        let proofs = self.prober.step();
        let unreachable = self.prober.unreachable(&proofs);
        let slow = self.prober.slow();
        {
            let mut roster = state.roster.borrow_mut();
            roster.set_unreachable(unreachable.clone());
            roster.set_slow(slow.clone());
            let reported = state.progress.borrow();
            for (epoch, at) in latest_data(&roster, &state.loads.borrow(), &reported) {
                roster.record_progress(epoch, at);
            }
        }
        state.refresh_groups();
        self.planner.has_traffic |= !state.settings.first || state.accepted.get() > 0;
        let directives = {
            let roster = state.roster.borrow();
            for answer in self.answers.take() {
                self.planner.order_answered(&roster, answer);
            }
            let mut demand = state.demand.borrow_mut();
            demand.set_daemons(state.peers.borrow().count());
            self.planner
                .step(&roster, table.spec(), &demand, state.now())
        };
        for directive in directives {
            orders::send::<A>(state, directive, self.answers.clone());
        }
        let roster = state.roster.borrow();
        let health = RunnerHealth {
            dead: roster.dead_instances(),
            lost: unreachable.into_iter().collect(),
            slow: slow.into_iter().collect(),
            ended: self.planner.released_groups(&roster, state.now()),
            era: self.publisher.lease.store_era(),
        };
        HealthPublisher::publish(&self.publisher, health);
    }
}

/// Publishes the health of runners to the other daemons and to successors.
struct HealthPublisher<A>
where
    A: Adapter,
{
    lease: Rc<Lease<A>>,
    /// Most recent health.
    latest: RefCell<RunnerHealth>,
    /// Health that was written last, if any.
    published: RefCell<Option<RunnerHealth>>,
    is_writing: Cell<bool>,
}

impl<A> HealthPublisher<A>
where
    A: Adapter,
{
    fn new(lease: Rc<Lease<A>>) -> Self {
        Self {
            lease,
            latest: RefCell::default(),
            published: RefCell::default(),
            is_writing: Cell::new(false),
        }
    }

    /// Writes the health of runners to the store, unless it equals what was written last.
    fn publish(this: &Rc<Self>, health: RunnerHealth) {
        this.latest.replace(health);
        let is_published = this.published.borrow().as_ref() == Some(&*this.latest.borrow());
        if is_published || this.is_writing.replace(true) {
            return;
        }
        let this = this.clone();
        compio::runtime::spawn(async move {
            let health = this.latest.borrow().clone();
            let key = format!("{}{RUNNER_HEALTH_KEY}", A::OWN_PREFIX);
            if this.lease.overwrite(key, &health, None).await.is_some() {
                this.published.replace(Some(health));
            }
            this.is_writing.set(false);
        })
        .detach();
    }
}
