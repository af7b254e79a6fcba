//! State of a gateway, shared by its tasks.

use super::{
    budget::{PeakCount, RetryBudget},
    caller_timeouts::CallerTimeouts,
    changes::{
        Topics,
        source::{self, AvoidedPeers, Source},
    },
    contact::{ContactReport, StoreContact},
    contention::Contention,
    datagrams::Outbox,
    demand::Demand,
    drain::Drain,
    head_limits::HeadLimits,
    liveness::ReportedProgress,
    load::Loads,
    load_exchange::LoadExchange,
    notices::{LimitChange, Notices, RateLimit},
    open_requests::OpenRequests,
    outages::{Outages, ServingChange},
    peer_relay::{choice::RelayPeers, relayed::RelayedRequests},
    peers::Peers,
    permits::{Permits, Registration},
    quarantine::Quarantine,
    reach::Reach,
    roster::{HostKey, Roster},
    routes::RouteTable,
    settings::Settings,
    spec::Spec,
};
use crate::{
    core::{
        keys::{Era, Revision, ServiceName},
        time::{Span, Time},
    },
    shell::{Clock, held_bytes::HeldBytes, wakeup::Wakeup},
};
use http::HeaderName;
use metrics::{gauge, histogram};
use rand::{SeedableRng, rngs::SmallRng};
use slog::Logger;
use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    rc::Rc,
};

/// Fraction of the retry budget that is used, because a restarted daemon starts with an empty
/// window and could otherwise exceed the limit.
const BUDGET_FRACTION: f64 = 0.75;

/// Maximum number of unknown headers that are reported.
const MAX_UNKNOWN_HEADERS: usize = 32;

/// Settings, cluster view and request accounting of one daemon.
pub struct GatewayState {
    /// Settings of this daemon.
    pub settings: Settings,
    /// Root logger.
    pub log: Logger,
    /// Clock that also counts the time during which the host is suspended.
    pub clock: Clock,
    /// Route table of the configuration in use; none until one was read.
    pub route_table: RefCell<Option<Rc<RouteTable>>>,
    /// Known runners and groups.
    pub roster: RefCell<Roster>,
    /// Groups that served at the last refresh, and outages that have not been repaired.
    outages: RefCell<Outages>,
    /// Request load of each runner.
    pub loads: RefCell<Loads>,
    /// Exchange of request counts with other daemons.
    pub load_exchange: LoadExchange,
    /// How many requests the heads of each model may hold.
    pub head_limits: RefCell<HeadLimits>,
    /// Whether this daemon reaches any runner.
    pub reach: RefCell<Reach>,
    /// Peers to which requests are passed while no runner is reached.
    pub relay_peers: RefCell<RelayPeers>,
    /// Requests of other daemons that are being served.
    pub relayed: RelayedRequests,
    /// Bytes of responses that are held in memory.
    pub held_bytes: HeldBytes,
    /// Bytes of requests that are held in memory.
    pub request_bytes: HeldBytes,
    /// What runners say of themselves.
    pub notices: RefCell<Notices>,
    /// Permits for runners that name a rate limit.
    pub permits: Permits,
    /// Time during which the store holds this daemon's entry.
    pub registration: Cell<Registration>,
    /// Datagrams to other daemons.
    pub outbox: Outbox,
    /// Requests and parts of prompts that crash runners.
    pub quarantine: Quarantine,
    /// Progress of groups that other daemons reported.
    pub progress: RefCell<ReportedProgress>,
    /// Recent demand for each model.
    pub demand: RefCell<Demand>,
    /// Recent requests by rank and account.
    pub contention: RefCell<Contention>,
    /// Retry budget of each service.
    retry_budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
    /// Largest recent count of daemons, which share the retry budgets.
    daemon_count: RefCell<PeakCount>,
    /// Timeouts that callers of each route have sent.
    caller_timeouts: RefCell<CallerTimeouts>,
    /// Other daemons.
    pub peers: RefCell<Peers>,
    /// Whether the store answers this daemon, and its peers.
    pub contact: RefCell<StoreContact>,
    /// Tasks that wait until the store answers again, or a peer has contact with it.
    pub contact_changed: Wakeup,
    /// Changes of the store, as kept for subscribers.
    pub topics: Topics,
    /// Peers that failed as a source of changes.
    pub avoided_peers: RefCell<AvoidedPeers>,
    /// Number of subscriptions of other daemons.
    pub subscriptions: Cell<usize>,
    /// Unknown headers in responses of runners that were reported.
    unknown_headers: RefCell<HashSet<HeaderName>>,
    /// Random number generator.
    pub rng: RefCell<SmallRng>,
    /// True once the runners' entries were listed.
    pub runners_listed: Cell<bool>,
    /// Revision of the last full list of the runners' entries.
    pub runners_revision: Cell<Revision>,
    /// True once the daemon was told to stop.
    pub stopping: Cell<bool>,
    /// Decides on new requests once the daemon was told to stop.
    pub drain: Cell<Option<Drain>>,
    /// Requests that have not ended yet.
    pub open: OpenRequests,
    /// Number of requests accepted so far.
    pub accepted: Cell<u64>,
}

impl GatewayState {
    /// Creates the state of a daemon that has read nothing from the store yet.
    pub fn new(settings: Settings, log: Logger, prefixes: &[&'static str]) -> Self {
        Self {
            log,
            clock: Clock::start(),
            route_table: RefCell::new(None),
            roster: RefCell::default(),
            outages: RefCell::default(),
            loads: RefCell::default(),
            load_exchange: LoadExchange::default(),
            head_limits: RefCell::default(),
            reach: RefCell::default(),
            relay_peers: RefCell::default(),
            relayed: RelayedRequests::default(),
            held_bytes: HeldBytes::default(),
            request_bytes: HeldBytes::default(),
            notices: RefCell::default(),
            permits: Permits::default(),
            registration: Cell::default(),
            outbox: Outbox::default(),
            quarantine: Quarantine::default(),
            progress: RefCell::default(),
            demand: RefCell::default(),
            contention: RefCell::default(),
            retry_budgets: RefCell::default(),
            daemon_count: RefCell::default(),
            caller_timeouts: RefCell::default(),
            peers: RefCell::default(),
            contact: RefCell::default(),
            contact_changed: Wakeup::default(),
            topics: prefixes
                .iter()
                .map(|prefix| (*prefix, Rc::default()))
                .collect(),
            avoided_peers: RefCell::default(),
            subscriptions: Cell::new(0),
            unknown_headers: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(rand::random())),
            runners_listed: Cell::new(false),
            runners_revision: Cell::default(),
            stopping: Cell::new(false),
            drain: Cell::new(None),
            open: OpenRequests::default(),
            accepted: Cell::new(0),
            settings,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the route table of the configuration in use.
    pub fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.route_table.borrow().clone()
    }

    /// Applies a configuration, unless the same or a later version is in use.
    pub fn apply_spec(&self, spec: Spec) {
        let current = self.route_table().map(|table| table.spec().version);
        if current.is_some_and(|current| current >= spec.version) {
            return;
        }
        slog::info!(self.log, "configuration applied";
            "version" => spec.version,
            "before" => current.unwrap_or_default(),
            "routes" => spec.routes.len(),
            "accounts" => spec.accounts.len());
        gauge!("configuration_version").set(spec.version as f64);
        self.notices.borrow_mut().coldness.configure(&spec);
        *self.route_table.borrow_mut() = Some(Rc::new(RouteTable::new(spec)));
        self.refresh_groups();
    }

    /// Derives the groups from the runners' reports, and logs which start and stop serving.
    pub fn refresh_groups(&self) {
        let Some(table) = self.route_table() else {
            return;
        };
        let mut roster = self.roster.borrow_mut();
        roster.rebuild_groups(table.spec());
        let mut outages = self.outages.borrow_mut();
        for change in outages.update(&roster, self.now()) {
            self.record_change(change);
        }
        let now = self.now();
        let groups = roster.groups().iter();
        let serving = groups.filter(|group| roster.is_serving(group, now)).count();
        gauge!("groups_serving").set(serving as f64);
    }

    fn record_change(&self, change: ServingChange) {
        match change {
            ServingChange::Stopped { epoch, model } => {
                slog::info!(self.log, "group stopped serving";
                    "epoch" => epoch.0, "model" => model.as_str());
            }
            ServingChange::Started {
                epoch,
                model,
                repair_time,
            } => {
                slog::info!(self.log, "group started serving";
                    "epoch" => epoch.0,
                    "model" => model.as_str(),
                    "repair_ms" => repair_time.map(Span::as_millis));
                if let Some(repair_time) = repair_time {
                    histogram!("group_repair_seconds").record(repair_time.as_secs_f64());
                }
            }
        }
    }

    /// Sets the gauges of values that change with time alone.
    pub fn update_gauges(&self) {
        let cold = self.notices.borrow().coldness.count(self.now());
        gauge!("cold_runners").set(cold as f64);
    }

    /// Records a runner's rate limit, or that it has none; logs and returns the change if there is
    /// one.
    pub fn record_rate_limit(
        &self,
        host: HostKey,
        limit: Option<RateLimit>,
        heard_at: Time,
    ) -> Option<LimitChange> {
        let change = self
            .notices
            .borrow_mut()
            .record_limit(host, limit, heard_at)?;
        slog::info!(self.log, "rate limit of runner changed";
            "host" => self.host_name(host),
            "per_second" => change.after.map(RateLimit::per_second),
            "before" => change.before.map(RateLimit::per_second),
            "age_ms" => self.now().since(heard_at).as_millis());
        Some(change)
    }

    /// Records that a runner leaves, as it says itself or as a peer reports; returns true if that was
    /// not known.
    pub fn record_leaving(&self, host: HostKey, from_peer: bool) -> bool {
        if !self.roster.borrow_mut().mark_leaving(host) {
            return false;
        }
        slog::info!(self.log, "runner says that it leaves";
            "host" => self.host_name(host),
            "told" => from_peer);
        self.refresh_groups();
        true
    }

    /// Records that a runner wants no requests from this daemon for some time.
    pub fn record_pause(&self, host: HostKey, span: Span) {
        slog::info!(self.log, "runner asks for a pause";
            "host" => self.host_name(host),
            "pause_ms" => span.as_millis());
        let until = self.now() + span;
        self.notices.borrow_mut().record_pause(host, until);
    }

    pub(super) fn host_name(&self, host: HostKey) -> String {
        let roster = self.roster.borrow();
        let name = roster.host(host).map(|host| host.name.as_str().to_owned());
        name.unwrap_or_default()
    }

    /// Logs headers of runners' responses that no part of the daemon knows, each name once.
    pub fn report_unknown_headers(&self, names: &[HeaderName]) {
        let mut reported = self.unknown_headers.borrow_mut();
        for name in names {
            if reported.len() < MAX_UNKNOWN_HEADERS && reported.insert(name.clone()) {
                slog::warn!(self.log, "unknown header in response of runner";
                    "header" => name.as_str());
            }
        }
    }

    /// Counts a request for a service towards its retry budget.
    pub fn count_request(&self, service: &ServiceName) {
        let now = self.now();
        self.count_daemons(now);
        self.with_retry_budget(service, |budget| budget.record_request(now));
    }

    /// Takes one retry out of this daemon's part of a service's budget; false if none is left.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let daemons = self.count_daemons(now).max(1);
        let slack = self.settings.retry.slack * BUDGET_FRACTION / daemons as f64;
        self.with_retry_budget(service, |budget| budget.try_take(slack, now))
    }

    /// Returns the largest recent number of daemons with an entry.
    pub fn count_daemons(&self, now: Time) -> usize {
        let count = self.peers.borrow().count();
        self.daemon_count.borrow_mut().record(count, now)
    }

    /// Estimates the time that a caller has spent on earlier attempts of its own.
    pub fn estimate_time_spent(&self, route: &str, timeout: Span) -> Span {
        let mut timeouts = self.caller_timeouts.borrow_mut();
        timeouts.time_spent(route, timeout)
    }

    fn with_retry_budget<F, T>(&self, service: &ServiceName, act: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        let limits = &self.settings.retry;
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(limits.ratio * BUDGET_FRACTION, limits.window));
        act(budget)
    }

    /// Returns true unless a stop leaves too little time for a request with this deadline and
    /// estimated duration.
    pub fn admits(&self, deadline: Time, estimate: Span) -> bool {
        let now = self.now();
        let drain = self.drain.get();
        drain.is_none_or(|drain| drain.admits(deadline, estimate, now))
    }

    /// Returns true if a stop leaves no more time to wait for runners.
    pub fn has_given_up(&self) -> bool {
        let now = self.now();
        self.drain
            .get()
            .is_some_and(|drain| drain.has_given_up(now))
    }

    /// Returns the source from which this daemon follows the store's changes.
    pub fn change_source(&self) -> Source {
        let peers = self.peers.borrow();
        let fallback = self.contact.borrow_mut().choose_peer(self.now());
        if let Some(peer) = fallback.and_then(|address| source::peer_at(&peers, address)) {
            return peer;
        }
        let own = &self.settings.name;
        let is_holder = peers.claim.as_ref().is_some_and(|(name, _)| name == own);
        // The holder of the duty must see changes at once.
        if is_holder {
            return Source::Store;
        }
        let avoided = self.avoided_peers.borrow();
        source::choose(own, &self.settings.hall, &peers, &avoided, self.now())
    }

    /// Records that the store has answered a call, in an era of its own.
    pub fn store_answered(&self, era: Option<Era>) {
        let now = self.now();
        for topic in self.topics.values() {
            topic.store_answered(now);
        }
        if self.contact.borrow_mut().answered(era, now) {
            self.contact_changed.wake();
        }
    }

    /// Records a peer's contact with the store; that of an unknown daemon is ignored.
    pub fn peer_reported_contact(&self, peer: SocketAddr, report: ContactReport) {
        if source::peer_at(&self.peers.borrow(), peer).is_none() {
            return;
        }
        let now = self.now();
        let mut contact = self.contact.borrow_mut();
        let has_peer = contact.record(peer, report, now);
        let mut roster = self.roster.borrow_mut();
        roster.limit_reentry(contact.outage_end(now), now);
        if has_peer {
            slog::info!(self.log, "store answers a peer and not this daemon";
                "peer" => peer.to_string());
            self.contact_changed.wake();
        }
    }

    /// Returns true if callers may be sent to this daemon.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.route_table.borrow().is_some() && self.runners_listed.get()
    }
}
