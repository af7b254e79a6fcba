//! Decides what a request has to leave to others when capacity doesn't suffice for all.
//!
//! Each daemon decides for its own callers, from their recent requests, and from the
//! work of the accounts at all daemons while it is known. In a service with one rank
//! no slots are left free, and only the totals order the accounts.

use super::{
    account_totals::AccountTotals,
    account_work::{AccountKey, ServiceKey, ShareKey, Work, WorkCounts, WorkReport},
    admission::{AdmissionClass, Precedence, RETRY_SPREAD},
    load_exchange::work_tally::PendingWork,
    rank::Rank,
    rank_demand::{RankDemand, slots_for},
    shares::Shares,
    spec::Engine,
};
use crate::core::{
    keys::{AccountName, ModelName, ServiceName},
    time::{Span, Time},
};
use std::collections::BTreeMap;

/// Delay by which each rank retries later than the next more urgent one.
const RETRY_STEP: Span = Span::from_millis(600);

/// Maximum factor on the time over which refused callers are spread.
const MAX_SPREAD_FACTOR: f64 = 4.0;

/// Request as far as it matters for contention.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Service of the request.
    pub service: &'a ServiceName,
    /// Requested model.
    pub model: &'a ModelName,
    /// Engine that serves the model.
    pub engine: &'a Engine,
    /// Rank within the service.
    pub rank: Rank,
    /// Account of the caller.
    pub account: Option<&'a AccountName>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Maximum length of the answer.
    pub answer_tokens: u32,
}

impl Request<'_> {
    /// Returns the replica time of the request.
    pub fn work(&self) -> Span {
        self.engine
            .replica_time(self.prompt_tokens, self.answer_tokens)
    }

    /// Returns the key of the work that it counts as.
    fn share_key(&self) -> ShareKey {
        ShareKey {
            service: ServiceKey::new(self.service),
            priority: self.rank.priority(),
            account: AccountKey::new(self.account),
        }
    }

    /// Returns true if the request can be in contention with others of another rank.
    fn is_ranked(&self) -> bool {
        self.rank.is_ranked() && self.is_served()
    }

    fn is_served(&self) -> bool {
        self.engine.replication(self.model).is_some()
    }
}

/// Recent requests to the services that have several ranks.
#[derive(Clone, Debug, Default)]
pub struct Contention {
    services: BTreeMap<ServiceName, ServiceDemand>,
    /// Work of the accounts at all daemons.
    totals: AccountTotals,
    /// Work at this daemon that the others don't know.
    pending: PendingWork,
}

/// Recent requests to one service.
#[derive(Clone, Debug, Default)]
struct ServiceDemand {
    models: BTreeMap<ModelName, RankDemand>,
    /// Work of the accounts at this daemon.
    shares: Shares,
}

impl Contention {
    /// Records a request that arrived.
    pub fn record_request(&mut self, request: &Request<'_>, now: Time) {
        if !request.is_ranked() {
            return;
        }
        let demand = self.demand(request);
        demand.record_request(request.rank.priority(), now);
        self.add(request, Work::of_request(request.work()), now);
    }

    /// Records a request that is sent to a head for the first time.
    pub fn record_admission(&mut self, request: &Request<'_>, now: Time) {
        if !request.is_ranked() {
            return;
        }
        let demand = self.demand(request);
        demand.record_admission(request.rank.priority(), now);
        self.add(request, Work::of_admission(request.work()), now);
    }

    /// Keeps the work of a request that arrived for the next report.
    pub fn report_request(&mut self, request: &Request<'_>, class: AdmissionClass) {
        let work = match class {
            AdmissionClass::Late => Work::of_late_request(request.work()),
            _ => Work::of_request(request.work()),
        };
        self.report(request, work);
    }

    /// Keeps the work of a request that is sent to a head for the first time for the next report.
    pub fn report_admission(&mut self, request: &Request<'_>) {
        self.report(request, Work::of_admission(request.work()));
    }

    /// Adds the work of accounts at all daemons in a second, as in a digest; `interval` is that of the
    /// digests.
    pub fn add_totals(&mut self, rates: &WorkCounts, interval: Span, now: Time) {
        self.totals.add(rates, interval, now);
    }

    /// Takes the work that isn't reported yet, if a report is due.
    pub fn take_report(&mut self, now: Time) -> Option<WorkReport> {
        self.pending.take(now)
    }

    /// Drops the work that isn't reported, as there will be no report.
    pub fn stop_reports(&mut self) {
        self.pending.stop();
    }

    fn add(&mut self, request: &Request<'_>, work: Work, now: Time) {
        let key = request.share_key();
        let shares = &mut self.service(request).shares;
        shares.add(key.priority, key.account, work, now);
    }

    fn report(&mut self, request: &Request<'_>, work: Work) {
        let is_shared = request.account.is_some() || request.rank.is_ranked();
        if is_shared && request.is_served() && self.pending.is_active() {
            self.pending.add(request.share_key(), work);
        }
    }

    fn demand(&mut self, request: &Request<'_>) -> &mut RankDemand {
        let models = &mut self.service(request).models;
        models.entry(request.model.clone()).or_default()
    }

    fn service(&mut self, request: &Request<'_>) -> &mut ServiceDemand {
        self.services.entry(request.service.clone()).or_default()
    }
}

impl Contention {
    /// Returns what a request has to leave to others, if callers choose among `daemons` daemons.
    pub fn precedence(&self, request: &Request<'_>, daemons: usize, now: Time) -> Precedence {
        let known = self.services.get(request.service);
        let Some(service) = known.filter(|_| request.rank.is_ranked()) else {
            return Precedence {
                share: self.totals.part(request.share_key(), now),
                ..Precedence::default()
            };
        };
        let (Some(demand), Some(replication)) = (
            service.models.get(request.model),
            request.engine.replication(request.model),
        ) else {
            return Precedence::default();
        };
        let engine = request.engine;
        let duration =
            engine.request_duration(replication, engine.usual_prompt, engine.usual_answer);
        let priority = request.rank.priority();
        let spread = demand.backlog_ratio(priority).min(MAX_SPREAD_FACTOR);
        let retry = Precedence {
            retry_offset: RETRY_STEP.times(u64::from(request.rank.position())),
            retry_spread: RETRY_SPREAD.scaled(spread),
            ..Precedence::default()
        };
        let key = request.share_key();
        let totals = self.totals.shares(key.service, key.account, now);
        let shares = totals.unwrap_or(&service.shares);
        if request.account.is_some() && shares.is_starved(key.account) {
            return retry;
        }
        let others = shares.others_if_above(priority, key.account);
        let rate = demand.rate(priority, now) * daemons as f64 * others.unwrap_or_default();
        // An account above its share leaves as much to the others as the next less urgent rank would.
        let for_accounts = slots_for(rate, duration);
        let (ahead, own) = demand.fractions(priority);
        Precedence {
            ahead,
            own,
            share: self.totals.part(key, now),
            for_ranks: demand.reserve(priority, daemons, duration, now).ceil() as u32,
            for_accounts: for_accounts as u32,
            ..retry
        }
    }
}
