//! Routing: the choice of a runner for an attempt.
//!
//! A few runners are sampled at random, those likely to have the prompt's
//! prefix cached are added, and the one with the least predicted wait is
//! chosen. Sampling keeps daemons that share a lagging load report from all
//! choosing the same runner.

use super::{
    super::{
        group::{GroupKey, ServingGroup},
        input::{CacheEvent, Target},
        keys::{HostName, ModelName, ServiceName, VersionName},
        member::Health,
        options::{Mechanism, Options, RoutingPolicy},
        output::Route,
        time::{Span, Time},
    },
    Cluster,
    call::Call,
    load::{LoadEstimate, LoadTracker, PREFILL_PER_TOKEN},
    prefix::PrefixIndex,
    services::ServiceIndex,
};
use rand::{Rng, rngs::SmallRng};
use std::collections::HashMap;

/// Set of runners that requests wait for and run on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Pool {
    /// The groups of a model.
    Model(ModelName),
    /// The runners of a plain service.
    Service(ServiceName),
}

/// Result of a routing decision.
#[derive(Debug)]
pub(super) enum Choice {
    /// A runner was chosen.
    Start(ChosenRoute),
    /// Runners serve the request, but none that was considered has room.
    Full,
    /// No runner serves the request.
    NoRunner,
}

/// Route of the chosen runner.
#[derive(Debug)]
pub(super) struct ChosenRoute {
    pub(super) route: Route,
    pub(super) version: Option<VersionName>,
    /// Time allowed for the first part of the response in addition to the silence timeout.
    pub(super) extra_timeout: Span,
}

/// Number of runners sampled at random per decision.
const SAMPLE_COUNT: usize = 3;

/// Maximum number of groups for which all are considered instead of a sample.
const MAX_FULL_SCAN: usize = 6;

/// Time allowed for a plain service's response in addition to the silence timeout.
const SERVICE_EXTRA_TIMEOUT: Span = Span::from_secs(2);

/// Number of tokens that a waiting request is assumed to generate.
const MEAN_OUTPUT_TOKENS: u64 = 128;

/// Denominator of ratios in hundredths.
const PERCENT: u64 = 100;

/// Number of running requests that delay the first part by as much as one token gap.
const REQUESTS_PER_GAP: u64 = 4;

/// Maximum age of a model's statistics.
const MAX_STATS_AGE: Span = Span::from_secs(1);

/// Statistics over the runners of a model.
#[derive(Clone, Copy, Debug, Default)]
struct ModelStats {
    /// Median time between tokens.
    token_gap: Span,
    /// Ratio of the load of all daemons to this one's.
    load_ratio: u32,
}

/// State of routing between decisions.
#[derive(Debug, Default)]
pub(super) struct Router {
    trackers: HashMap<HostName, LoadTracker>,
    /// Groups by their head.
    head_groups: HashMap<HostName, GroupKey>,
    model_stats: HashMap<ModelName, (Time, ModelStats)>,
    services: ServiceIndex,
    prefixes: PrefixIndex,
    /// The last host whose cache events were read.
    last_read: Option<HostName>,
}

/// Queries.
impl Router {
    /// Returns the number of prompt blocks remembered.
    pub(super) fn block_count(&self) -> usize {
        self.prefixes.len()
    }

    /// Returns the sequence number of the next cache event wanted from a runner.
    pub(super) fn next_event(&self, host: &HostName) -> u64 {
        self.prefixes.next_event(host)
    }

    /// Returns true if another attempt may be sent over the same route.
    pub(super) fn is_usable(&self, cluster: &Cluster, options: &Options, route: &Route) -> bool {
        match route {
            Route::Group {
                group, epoch, host, ..
            } => {
                is_live(cluster, host)
                    && (cluster.groups.is_current(group, *epoch)
                        || !options.is_enabled(Mechanism::CompleteGroups))
            }
            Route::Service { host, .. } => is_live(cluster, host),
            Route::Daemon { .. } => false,
        }
    }

    fn estimate(
        &self,
        cluster: &Cluster,
        now: Time,
        host: &HostName,
        stats: ModelStats,
    ) -> LoadEstimate {
        let load = cluster.hosts.get(host).and_then(|h| h.load.as_ref());
        match self.trackers.get(host) {
            Some(tracker) => tracker.estimate(now, load, stats.load_ratio),
            None => LoadTracker::default().estimate(now, load, stats.load_ratio),
        }
    }

    /// Predicts the time to the response's first part, in microseconds.
    fn predict_wait(
        &self,
        cluster: &Cluster,
        now: Time,
        call: &Call,
        host: &HostName,
        stats: ModelStats,
    ) -> u64 {
        let load = self.estimate(cluster, now, host, stats);
        let prompt = &call.request.prefix;
        let tokens = u64::from(call.request.prompt_tokens);
        let matched = self.prefixes.matching_blocks(prompt, host) as u64;
        let cached = tokens * matched / (prompt.len() as u64).max(1);
        let slowness = load.token_gap.0.max(stats.token_gap.0) * PERCENT / stats.token_gap.0.max(1);
        let unprocessed = tokens - cached + u64::from(load.pending);
        let prefill = unprocessed * PREFILL_PER_TOKEN.0 * slowness / PERCENT;
        let excess = u64::from(load.running.saturating_sub(load.slots));
        let queued = excess * load.token_gap.0 * MEAN_OUTPUT_TOKENS / u64::from(load.slots);
        let batch = u64::from(load.running + 1) * load.token_gap.0 / REQUESTS_PER_GAP;
        prefill + queued + batch
    }
}

/// Commands.
impl Router {
    /// Chooses a runner for the next attempt of a request.
    pub(super) fn choose(
        &mut self,
        rng: &mut SmallRng,
        options: &Options,
        cluster: &Cluster,
        now: Time,
        call: &Call,
    ) -> Choice {
        match &call.request.target {
            Target::Model { model, .. } => {
                self.choose_group(rng, options, cluster, now, model, call)
            }
            Target::Service { service } => self.choose_service(rng, cluster, now, service, call),
        }
    }

    /// Records the start of an attempt.
    pub(super) fn on_attempt_started(&mut self, now: Time, host: &HostName, call: &Call) {
        let tracker = self.trackers.entry(host.clone()).or_default();
        tracker.on_attempt_started(now, call.request.prompt_tokens);
        self.prefixes.record_prompt(&call.request.prefix, host);
    }

    /// Records the end of an attempt.
    pub(super) fn on_attempt_ended(&mut self, now: Time, host: &HostName, sent_at: Time) {
        if let Some(tracker) = self.trackers.get_mut(host) {
            tracker.on_attempt_ended(now, sent_at);
        }
    }

    /// Records the time per token between two parts of a response.
    pub(super) fn record_token_gap(&mut self, host: &HostName, token_gap: Span) {
        if let Some(tracker) = self.trackers.get_mut(host) {
            tracker.record_token_gap(token_gap);
        }
    }

    /// Returns the next few runners in use, in turn, whose cache events are to be read.
    pub(super) fn next_cache_reads(&mut self, count: usize) -> Vec<HostName> {
        let in_use = |host: &&HostName| {
            self.trackers
                .get(*host)
                .is_some_and(|tracker| tracker.in_flight() > 0)
        };
        let mut hosts: Vec<HostName> = self.head_groups.keys().filter(in_use).cloned().collect();
        hosts.sort_unstable();
        let start = hosts.partition_point(|host| Some(host) <= self.last_read.as_ref());
        hosts.rotate_left(start);
        hosts.truncate(count);
        self.last_read = hosts.last().cloned();
        hosts
    }

    /// Applies a runner's cache events.
    pub(super) fn on_cache_events(&mut self, host: &HostName, first: u64, events: Vec<CacheEvent>) {
        self.prefixes.on_events(host, first, events);
    }

    /// Drops runners that are gone and have no attempt in flight, and models without groups.
    pub(super) fn sweep(&mut self, cluster: &Cluster) {
        self.trackers
            .retain(|host, tracker| tracker.in_flight() > 0 || cluster.hosts.get(host).is_some());
        let trackers = &self.trackers;
        self.head_groups
            .retain(|host, _| trackers.contains_key(host));
        self.prefixes.retain(|host| trackers.contains_key(host));
        self.model_stats
            .retain(|model, _| !cluster.groups.serving(model).is_empty());
    }

    /// Marks the service index as outdated after hosts may have come or gone.
    pub(super) fn on_hosts_changed(&mut self) {
        self.services.invalidate();
    }

    /// Chooses the leading runner of one of a model's groups by the routing policy.
    fn choose_group(
        &mut self,
        rng: &mut SmallRng,
        options: &Options,
        cluster: &Cluster,
        now: Time,
        model: &ModelName,
        call: &Call,
    ) -> Choice {
        let stats = self.model_stats(cluster, now, model);
        let candidates = self.candidates(rng, options, cluster, now, model, call, stats);
        if candidates.is_empty() {
            return Choice::NoRunner;
        }
        let has_room = |host: &HostName| {
            options.routing != RoutingPolicy::Predicted
                || self.estimate(cluster, now, host, stats).has_room()
        };
        let best = candidates
            .into_iter()
            .filter(|(_, group)| has_room(&group.hosts[0]))
            .map(|(key, group)| {
                let score = match options.routing {
                    RoutingPolicy::Predicted => {
                        self.predict_wait(cluster, now, call, &group.hosts[0], stats)
                    }
                    RoutingPolicy::LeastReported => reported_load(cluster, &group.hosts[0]),
                    RoutingPolicy::Random => 0,
                };
                (score, rng.random::<u32>(), key, group)
            })
            .min_by_key(|(score, tie_breaker, ..)| (*score, *tie_breaker));
        let Some((score, _, key, group)) = best else {
            return Choice::Full;
        };
        self.head_groups.insert(group.hosts[0].clone(), key);
        Choice::Start(ChosenRoute {
            route: Route::Group {
                group: group.name.clone(),
                epoch: group.epoch,
                host: group.hosts[0].clone(),
                address: group.address,
            },
            version: Some(group.version.clone()),
            extra_timeout: Span(score).times(2),
        })
    }

    /// Returns the groups to choose from: a sample if one of it has room, else all.
    #[expect(
        clippy::too_many_arguments,
        reason = "the request and all state that the choice depends on"
    )]
    fn candidates<'a>(
        &self,
        rng: &mut SmallRng,
        options: &Options,
        cluster: &Cluster<'a>,
        now: Time,
        model: &ModelName,
        call: &Call,
        stats: ModelStats,
    ) -> Vec<(GroupKey, &'a ServingGroup)> {
        let serving = cluster.groups.serving(model);
        let fits = |key: &GroupKey| {
            let group = cluster.groups.get(*key)?;
            let usable = group.model == *model
                && is_complete(cluster, options, group)
                && matches_request(group, call);
            usable.then_some((*key, group))
        };
        let all = || serving.iter().filter_map(fits).collect();
        if serving.len() <= MAX_FULL_SCAN || options.routing != RoutingPolicy::Predicted {
            return all();
        }
        let holders = self.prefixes.holders(&call.request.prefix).iter();
        let hints = holders.filter_map(|host| self.head_groups.get(host));
        let random = (0..SAMPLE_COUNT).map(|_| &serving[rng.random_range(0..serving.len())]);
        let sampled: Vec<_> = hints.chain(random).filter_map(fits).collect();
        let has_room = |group: &ServingGroup| {
            self.estimate(cluster, now, &group.hosts[0], stats)
                .has_room()
        };
        if sampled.iter().any(|(_, group)| has_room(group)) {
            return sampled;
        }
        all()
    }

    /// Chooses the runner with the fewest attempts in flight of a few sampled at random.
    fn choose_service(
        &mut self,
        rng: &mut SmallRng,
        cluster: &Cluster,
        now: Time,
        service: &ServiceName,
        call: &Call,
    ) -> Choice {
        let runners = self.services.runners(cluster, now, service);
        let usable: Vec<_> = runners
            .iter()
            .filter(|host| is_live(cluster, host) && !call.failed_hosts.contains(host))
            .collect();
        if usable.is_empty() {
            return Choice::NoRunner;
        }
        let candidates = (0..SAMPLE_COUNT).map(|_| usable[rng.random_range(0..usable.len())]);
        let trackers = &self.trackers;
        let in_flight = |host: &HostName| trackers.get(host).map_or(0, LoadTracker::in_flight);
        let best = candidates.min_by_key(|host| in_flight(host));
        let Some(host) = best.and_then(|host| cluster.hosts.get(host)) else {
            return Choice::NoRunner;
        };
        Choice::Start(ChosenRoute {
            route: Route::Service {
                host: host.entry.host.clone(),
                address: host.entry.address,
            },
            version: None,
            extra_timeout: SERVICE_EXTRA_TIMEOUT,
        })
    }

    /// Returns the statistics of a model, computed anew after [`MAX_STATS_AGE`].
    fn model_stats(&mut self, cluster: &Cluster, now: Time, model: &ModelName) -> ModelStats {
        if let Some((at, stats)) = self.model_stats.get(model)
            && now.since(*at) < MAX_STATS_AGE
        {
            return *stats;
        }
        let groups = cluster.groups.serving(model).iter();
        let mut token_gaps = Vec::new();
        let (mut own, mut all) = (0, 0);
        for group in groups.filter_map(|key| cluster.groups.get(*key)) {
            let host = &group.hosts[0];
            token_gaps.push(
                self.estimate(cluster, now, host, ModelStats::default())
                    .token_gap,
            );
            let load = cluster.hosts.get(host).and_then(|h| h.load.as_ref());
            let counts_at_report = self
                .trackers
                .get(host)
                .map(|tracker| tracker.counts_at_report(load));
            let (part, total) = counts_at_report.unwrap_or_default();
            own += part;
            all += total;
        }
        token_gaps.sort_unstable();
        let stats = ModelStats {
            token_gap: token_gaps
                .get(token_gaps.len() / 2)
                .copied()
                .unwrap_or_default(),
            load_ratio: (all / own.max(1)).max(1),
        };
        self.model_stats.insert(model.clone(), (now, stats));
        stats
    }
}

/// Returns the number of requests at a runner by its last report.
fn reported_load(cluster: &Cluster, host: &HostName) -> u64 {
    let load = cluster.hosts.get(host).and_then(|h| h.load.as_ref());
    load.map_or(0, |(_, report)| u64::from(report.running + report.waiting))
}

/// Returns true if a group can serve a request and hasn't failed it.
fn matches_request(group: &ServingGroup, call: &Call) -> bool {
    let Target::Model {
        version, adapter, ..
    } = &call.request.target
    else {
        return false;
    };
    let version_fits = |wanted: &Option<VersionName>| {
        wanted
            .as_ref()
            .is_none_or(|wanted| *wanted == group.version)
    };
    version_fits(version)
        && version_fits(&call.version)
        && adapter.as_ref().is_none_or(|a| group.adapters.contains(a))
        && (group.accounts.is_empty() || group.accounts.contains(&call.account))
        && !call.failed_hosts.contains(&group.hosts[0])
}

/// Returns true if all hosts of a group are live.
fn is_complete(cluster: &Cluster, options: &Options, group: &ServingGroup) -> bool {
    !options.is_enabled(Mechanism::CompleteGroups)
        || group.hosts.iter().all(|host| is_live(cluster, host))
}

fn is_live(cluster: &Cluster, host: &HostName) -> bool {
    cluster
        .hosts
        .get(host)
        .is_some_and(|h| h.health == Health::Live)
}
