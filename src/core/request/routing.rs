//! Routing: which runner gets an attempt.
//!
//! A few runners are drawn by chance, those likely to hold the prompt's prefix
//! are added, and the one with the least predicted wait is taken. Chance keeps
//! daemons that share a lagged report from all choosing the same runner.

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
    load::{Estimate, Lane, PREFILL},
    prefix::PrefixIndex,
    services::ServiceIndex,
};
use rand::{Rng, rngs::SmallRng};
use std::collections::HashMap;

/// Where requests wait and run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Pool {
    /// The groups of a model.
    Model(ModelName),
    /// The runners of a plain service.
    Service(ServiceName),
}

/// What routing found.
#[derive(Debug)]
pub(super) enum Choice {
    /// This runner.
    Start(Pick),
    /// Runners serve it, but none that was looked at has room.
    Full,
    /// No runner serves it.
    Nothing,
}

/// A runner chosen.
#[derive(Debug)]
pub(super) struct Pick {
    pub(super) route: Route,
    pub(super) version: Option<VersionName>,
    /// How long the answer's first part may take beyond the usual silence.
    pub(super) wait: Span,
}

/// Runners drawn by chance for one decision.
const DRAWS: usize = 3;

/// Up to so many runners, all are looked at.
const SMALL_POOL: usize = 6;

/// How long a plain service's answer may take beyond the usual silence.
const SERVICE_WAIT: Span = Span::from_secs(2);

/// Tokens that a waiting request is taken to generate.
const MEAN_TOKENS: u64 = 128;

/// One, in hundredths.
const PERCENT: u64 = 100;

/// Running requests that cost as much as one token gap.
const BATCH_SHARE: u64 = 4;

/// How long a comparison of a model's runners is used.
const PEERS_AGE: Span = Span::from_secs(1);

/// What the runners of a model have in common.
#[derive(Clone, Copy, Debug, Default)]
struct Peers {
    /// The middle time between tokens.
    gap: Span,
    /// The load of all daemons against this one's.
    scale: u32,
}

/// What routing remembers between decisions.
#[derive(Debug, Default)]
pub(super) struct Router {
    lanes: HashMap<HostName, Lane>,
    leads: HashMap<HostName, GroupKey>,
    peers: HashMap<ModelName, (Time, Peers)>,
    services: ServiceIndex,
    prefixes: PrefixIndex,
    last_read: Option<HostName>,
}

/// Queries.
impl Router {
    /// Blocks of prompts remembered.
    pub(super) fn blocks(&self) -> usize {
        self.prefixes.len()
    }

    /// The next cache event wanted from a runner.
    pub(super) fn next_event(&self, host: &HostName) -> u64 {
        self.prefixes.next(host)
    }

    /// Whether an attempt may be sent over the same route once more.
    pub(super) fn is_usable(&self, site: &Cluster, options: &Options, route: &Route) -> bool {
        match route {
            Route::Group {
                group, epoch, host, ..
            } => {
                is_live(site, host)
                    && (site.groups.is_current(group, *epoch)
                        || !options.has(Mechanism::CompleteGroups))
            }
            Route::Service { host, .. } => is_live(site, host),
            Route::Daemon { .. } => false,
        }
    }

    fn estimate(&self, site: &Cluster, now: Time, host: &HostName, peers: Peers) -> Estimate {
        let load = site.hosts.get(host).and_then(|h| h.load.as_ref());
        match self.lanes.get(host) {
            Some(lane) => lane.estimate(now, load, peers.scale),
            None => Lane::default().estimate(now, load, peers.scale),
        }
    }

    /// The predicted time to the answer's first part, in microseconds.
    fn score(&self, site: &Cluster, now: Time, call: &Call, host: &HostName, peers: Peers) -> u64 {
        let load = self.estimate(site, now, host, peers);
        let prompt = &call.request.prefix;
        let tokens = u64::from(call.request.prompt_tokens);
        let matched = self.prefixes.matched(prompt, host) as u64;
        let cached = tokens * matched / (prompt.len() as u64).max(1);
        let slowness = load.gap.0.max(peers.gap.0) * PERCENT / peers.gap.0.max(1);
        let unprocessed = tokens - cached + u64::from(load.pending);
        let prefill = unprocessed * PREFILL.0 * slowness / PERCENT;
        let over = u64::from(load.running.saturating_sub(load.slots));
        let queued = over * load.gap.0 * MEAN_TOKENS / u64::from(load.slots);
        let batch = u64::from(load.running + 1) * load.gap.0 / BATCH_SHARE;
        prefill + queued + batch
    }
}

/// Commands.
impl Router {
    /// Chooses a runner for a request's next attempt.
    pub(super) fn choose(
        &mut self,
        rng: &mut SmallRng,
        options: &Options,
        site: &Cluster,
        now: Time,
        call: &Call,
    ) -> Choice {
        match &call.request.target {
            Target::Model { model, .. } => self.choose_group(rng, options, site, now, model, call),
            Target::Service { service } => self.choose_service(rng, site, now, service, call),
        }
    }

    /// Notes that an attempt was sent.
    pub(super) fn began(&mut self, now: Time, host: &HostName, call: &Call) {
        let lane = self.lanes.entry(host.clone()).or_default();
        lane.began(now, call.request.prompt_tokens);
        self.prefixes.sent(&call.request.prefix, host);
    }

    /// Notes that an attempt has ended.
    pub(super) fn ended(&mut self, now: Time, host: &HostName, sent: Time) {
        if let Some(lane) = self.lanes.get_mut(host) {
            lane.ended(now, sent);
        }
    }

    /// Notes the time between two parts of an answer, for each token.
    pub(super) fn saw_gap(&mut self, host: &HostName, gap: Span) {
        if let Some(lane) = self.lanes.get_mut(host) {
            lane.saw_gap(gap);
        }
    }

    /// The next few runners in use whose cache events are to be read.
    pub(super) fn next_reads(&mut self, count: usize) -> Vec<HostName> {
        let in_use = |host: &&HostName| self.lanes.get(*host).is_some_and(|lane| lane.open() > 0);
        let mut used: Vec<HostName> = self.leads.keys().filter(in_use).cloned().collect();
        used.sort_unstable();
        let start = used.partition_point(|host| Some(host) <= self.last_read.as_ref());
        used.rotate_left(start);
        used.truncate(count);
        self.last_read = used.last().cloned();
        used
    }

    /// Takes a runner's cache events.
    pub(super) fn on_cache(&mut self, host: &HostName, first: u64, events: Vec<CacheEvent>) {
        self.prefixes.on_events(host, first, events);
    }

    /// Forgets runners that are gone and have nothing open, and models without groups.
    pub(super) fn sweep(&mut self, site: &Cluster) {
        self.lanes
            .retain(|host, lane| lane.open() > 0 || site.hosts.get(host).is_some());
        let lanes = &self.lanes;
        self.leads.retain(|host, _| lanes.contains_key(host));
        self.prefixes.retain(|host| lanes.contains_key(host));
        self.peers
            .retain(|model, _| !site.groups.serving(model).is_empty());
    }

    /// Notes that hosts may have come or gone.
    pub(super) fn on_site(&mut self) {
        self.services.invalidate();
    }

    fn choose_group(
        &mut self,
        rng: &mut SmallRng,
        options: &Options,
        site: &Cluster,
        now: Time,
        model: &ModelName,
        call: &Call,
    ) -> Choice {
        let peers = self.peers(site, now, model);
        let drawn = self.draw(rng, options, site, now, model, call, peers);
        if drawn.is_empty() {
            return Choice::Nothing;
        }
        let has_room = |host: &HostName| {
            options.routing != RoutingPolicy::Predicted
                || self.estimate(site, now, host, peers).has_room()
        };
        let best = drawn
            .into_iter()
            .filter(|(_, group)| has_room(&group.hosts[0]))
            .map(|(key, group)| {
                let score = match options.routing {
                    RoutingPolicy::Predicted => self.score(site, now, call, &group.hosts[0], peers),
                    RoutingPolicy::LeastReported => reported(site, &group.hosts[0]),
                    RoutingPolicy::Random => 0,
                };
                (score, rng.random::<u32>(), key, group)
            })
            .min_by_key(|(score, chance, ..)| (*score, *chance));
        let Some((score, _, key, group)) = best else {
            return Choice::Full;
        };
        self.leads.insert(group.hosts[0].clone(), key);
        Choice::Start(Pick {
            route: Route::Group {
                group: group.name.clone(),
                epoch: group.epoch,
                host: group.hosts[0].clone(),
                address: group.address,
            },
            version: Some(group.version.clone()),
            wait: Span(score).times(2),
        })
    }

    /// The groups to choose among: a few if one of them has room, else all.
    #[expect(
        clippy::too_many_arguments,
        reason = "the call and what it is judged by"
    )]
    fn draw<'a>(
        &self,
        rng: &mut SmallRng,
        options: &Options,
        site: &Cluster<'a>,
        now: Time,
        model: &ModelName,
        call: &Call,
        peers: Peers,
    ) -> Vec<(GroupKey, &'a ServingGroup)> {
        let serving = site.groups.serving(model);
        let fits = |key: &GroupKey| {
            let group = site.groups.get(*key)?;
            let usable =
                group.model == *model && is_whole(site, options, group) && suits(group, call);
            usable.then_some((*key, group))
        };
        let all = || serving.iter().filter_map(fits).collect();
        if serving.len() <= SMALL_POOL || options.routing != RoutingPolicy::Predicted {
            return all();
        }
        let holders = self.prefixes.holders(&call.request.prefix).iter();
        let hints = holders.filter_map(|host| self.leads.get(host));
        let random = (0..DRAWS).map(|_| &serving[rng.random_range(0..serving.len())]);
        let few: Vec<_> = hints.chain(random).filter_map(fits).collect();
        let has_room =
            |group: &ServingGroup| self.estimate(site, now, &group.hosts[0], peers).has_room();
        if few.iter().any(|(_, group)| has_room(group)) {
            return few;
        }
        all()
    }

    fn choose_service(
        &mut self,
        rng: &mut SmallRng,
        site: &Cluster,
        now: Time,
        service: &ServiceName,
        call: &Call,
    ) -> Choice {
        let runners = self.services.runners(site, now, service);
        let fit: Vec<_> = runners
            .iter()
            .filter(|host| is_live(site, host) && !call.tried.contains(host))
            .collect();
        if fit.is_empty() {
            return Choice::Nothing;
        }
        let drawn = (0..DRAWS).map(|_| fit[rng.random_range(0..fit.len())]);
        let lanes = &self.lanes;
        let open = |host: &HostName| lanes.get(host).map_or(0, Lane::open);
        let best = drawn.min_by_key(|host| open(host));
        let Some(host) = best.and_then(|host| site.hosts.get(host)) else {
            return Choice::Nothing;
        };
        Choice::Start(Pick {
            route: Route::Service {
                host: host.entry.host.clone(),
                address: host.entry.address,
            },
            version: None,
            wait: SERVICE_WAIT,
        })
    }

    /// What the runners of a model lately had in common.
    fn peers(&mut self, site: &Cluster, now: Time, model: &ModelName) -> Peers {
        if let Some((at, peers)) = self.peers.get(model)
            && now.since(*at) < PEERS_AGE
        {
            return *peers;
        }
        let groups = site.groups.serving(model).iter();
        let mut gaps = Vec::new();
        let (mut own, mut all) = (0, 0);
        for group in groups.filter_map(|key| site.groups.get(*key)) {
            let host = &group.hosts[0];
            gaps.push(self.estimate(site, now, host, Peers::default()).gap);
            let load = site.hosts.get(host).and_then(|h| h.load.as_ref());
            let shares = self.lanes.get(host).map(|lane| lane.shares(load));
            let (part, total) = shares.unwrap_or_default();
            own += part;
            all += total;
        }
        gaps.sort_unstable();
        let peers = Peers {
            gap: gaps.get(gaps.len() / 2).copied().unwrap_or_default(),
            scale: (all / own.max(1)).max(1),
        };
        self.peers.insert(model.clone(), (now, peers));
        peers
    }
}

/// Requests at a runner by its last report.
fn reported(site: &Cluster, host: &HostName) -> u64 {
    let load = site.hosts.get(host).and_then(|h| h.load.as_ref());
    load.map_or(0, |(_, report)| u64::from(report.running + report.waiting))
}

/// Whether a group suits a request.
fn suits(group: &ServingGroup, call: &Call) -> bool {
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
        && !call.tried.contains(&group.hosts[0])
}

/// Whether all members of a group are there and take work.
fn is_whole(site: &Cluster, options: &Options, group: &ServingGroup) -> bool {
    !options.has(Mechanism::CompleteGroups) || group.hosts.iter().all(|host| is_live(site, host))
}

fn is_live(site: &Cluster, host: &HostName) -> bool {
    site.hosts
        .get(host)
        .is_some_and(|h| h.health == Health::Live)
}
