//! Decides what a request has to leave to others when capacity doesn't suffice for all.
//!
//! Each daemon decides for its own callers, from their recent requests. In a
//! service with one rank nothing is recorded, and requests leave nothing.

use super::{
    admission::{Precedence, RETRY_SPREAD},
    fair_share::FairShare,
    rank::Rank,
    rank_demand::{RankDemand, slots_for},
    spec::Engine,
};
use crate::core::{
    keys::{AccountName, ModelName, ServiceName},
    time::{Span, Time},
};
use std::collections::BTreeMap;

/// Part of the slots left free for a rank that an account of this rank which is above its share
/// leaves to the others: as much as the next less urgent rank would.
const ACCOUNT_RESERVE_FRACTION: f64 = 1.0;

/// Half-life of the work by which accounts of a rank share; a daemon with seven requests a second
/// then counts about 150, a few for each of dozens of accounts.
const SHARE_HALF_LIFE: Span = Span::from_secs(15);

/// Half-life of the work by which an account is found starved, over which even a daemon with two
/// requests a second sees a few of each account.
const STARVATION_HALF_LIFE: Span = Span::from_secs(60);

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

    /// Returns true if the request can be in contention with others of another rank.
    fn is_ranked(&self) -> bool {
        self.rank.is_ranked() && self.engine.replication(self.model).is_some()
    }
}

/// Recent requests to the services that have several ranks.
#[derive(Clone, Debug, Default)]
pub struct Contention {
    services: BTreeMap<ServiceName, ServiceDemand>,
}

/// Recent requests to one service.
#[derive(Clone, Debug)]
struct ServiceDemand {
    models: BTreeMap<ModelName, RankDemand>,
    /// Work of the accounts, by priority. All models count together, as a daemon sees too few
    /// requests for each of them.
    shares: BTreeMap<u8, FairShare>,
    /// Work of the accounts over all ranks.
    total: FairShare,
    /// The same over a longer time.
    long_term: FairShare,
}

impl Default for ServiceDemand {
    fn default() -> Self {
        Self {
            models: BTreeMap::new(),
            shares: BTreeMap::new(),
            total: FairShare::new(SHARE_HALF_LIFE),
            long_term: FairShare::new(STARVATION_HALF_LIFE),
        }
    }
}

impl ServiceDemand {
    /// Returns the records that a request is counted in.
    fn records(&mut self, request: &Request<'_>) -> (&mut RankDemand, [&mut FairShare; 3]) {
        let demand = self.models.entry(request.model.clone()).or_default();
        let shares = self.shares.entry(request.rank.priority());
        let share = shares.or_insert_with(|| FairShare::new(SHARE_HALF_LIFE));
        (demand, [share, &mut self.total, &mut self.long_term])
    }

    /// Returns the fraction of a rank's work that other accounts ask for, if an account is above its
    /// share of this rank's work and of all work. One that sends all its requests at one rank has
    /// more than its share of that rank alone.
    fn others_if_above(&self, priority: u8, account: Option<&AccountName>) -> Option<f64> {
        self.total.others_if_above(account)?;
        self.shares.get(&priority)?.others_if_above(account)
    }
}

impl Contention {
    /// Records a request that arrived.
    pub fn record_request(&mut self, request: &Request<'_>, now: Time) {
        if !request.is_ranked() {
            return;
        }
        let (demand, shares) = self.entry(request).records(request);
        demand.record_request(request.rank.priority(), now);
        for share in shares {
            share.record_request(request.account, request.work(), now);
        }
    }

    /// Records a request that is sent to a head for the first time.
    pub fn record_admission(&mut self, request: &Request<'_>, now: Time) {
        if !request.is_ranked() {
            return;
        }
        let (demand, shares) = self.entry(request).records(request);
        demand.record_admission(request.rank.priority(), now);
        for share in shares {
            share.record_admission(request.account, request.work(), now);
        }
    }

    fn entry(&mut self, request: &Request<'_>) -> &mut ServiceDemand {
        self.services.entry(request.service.clone()).or_default()
    }
}

impl Contention {
    /// Returns what a request has to leave to others, if callers choose among `daemons` daemons.
    pub fn precedence(&self, request: &Request<'_>, daemons: usize, now: Time) -> Precedence {
        let known = self.services.get(request.service);
        let Some(service) = known.filter(|_| request.rank.is_ranked()) else {
            return Precedence::default();
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
        let is_starved = |account| service.long_term.is_starved(account);
        if request.account.is_some_and(is_starved) {
            return retry;
        }
        let others = service.others_if_above(priority, request.account);
        let rate = demand.rate(priority, now) * daemons as f64 * others.unwrap_or_default();
        let for_accounts = slots_for(rate, duration) * ACCOUNT_RESERVE_FRACTION;
        let (ahead, own) = demand.fractions(priority);
        Precedence {
            ahead,
            own,
            for_ranks: demand.reserve(priority, daemons, duration, now).ceil() as u32,
            for_accounts: for_accounts as u32,
            ..retry
        }
    }
}
