//! What a gateway knows, shared by its tasks.

use super::{
    budget::RetryBudget,
    demand::Demand,
    load::Loads,
    outages::{Outages, ServingChange},
    peers::Peers,
    roster::Roster,
    routes::RouteTable,
    settings::Settings,
    spec::Spec,
};
use crate::{
    core::{
        keys::ServiceName,
        time::{Span, Time},
    },
    shell::Clock,
};
use metrics::{gauge, histogram};
use rand::{SeedableRng, rngs::SmallRng};
use slog::Logger;
use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

/// The part of the retry budget that is used: daemons that restart count anew.
const BUDGET_PART: f64 = 0.75;

/// A gateway's knowledge and means, shared by its tasks.
pub struct Site {
    /// Its settings.
    pub settings: Settings,
    /// Its log.
    pub log: Logger,
    /// Its clock; counts the time of a suspended machine.
    pub clock: Clock,
    /// The version in force; none until one was read.
    pub table: RefCell<Option<Rc<RouteTable>>>,
    /// Runners and groups.
    pub roster: RefCell<Roster>,
    /// The groups that served when last looked at, and those lost since.
    outages: RefCell<Outages>,
    /// The load of runners.
    pub loads: RefCell<Loads>,
    /// Work asked of each model.
    pub demand: RefCell<Demand>,
    /// Repeats allowed at each service.
    budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
    /// The longest time that callers of each route have said they will wait.
    patience: RefCell<BTreeMap<String, Span>>,
    /// Other daemons.
    pub peers: RefCell<Peers>,
    /// The source of chance.
    pub rng: RefCell<SmallRng>,
    /// Whether runners were listed once.
    pub listed: Cell<bool>,
    /// Whether the daemon was told to stop.
    pub stopping: Cell<bool>,
    /// When answers under way are cut, once the daemon was told to stop.
    pub ends: Cell<Option<Time>>,
    /// Requests taken so far.
    pub taken: Cell<u64>,
}

impl Site {
    /// A gateway that knows nothing yet.
    pub fn new(settings: Settings, log: Logger) -> Self {
        Self {
            log,
            clock: Clock::start(),
            table: RefCell::new(None),
            roster: RefCell::default(),
            outages: RefCell::default(),
            loads: RefCell::default(),
            demand: RefCell::default(),
            budgets: RefCell::default(),
            patience: RefCell::default(),
            peers: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(rand::random())),
            listed: Cell::new(false),
            stopping: Cell::new(false),
            ends: Cell::new(None),
            taken: Cell::new(0),
            settings,
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The version in force.
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Puts a version in force, unless a later one is.
    pub fn adopt(&self, spec: Spec) {
        let held = self.table().map(|table| table.spec().version);
        if held.is_some_and(|held| held >= spec.version) {
            return;
        }
        slog::info!(self.log, "configuration in force";
            "version" => spec.version,
            "before" => held.unwrap_or_default(),
            "routes" => spec.routes.len(),
            "accounts" => spec.accounts.len());
        gauge!("configuration_version").set(spec.version as f64);
        *self.table.borrow_mut() = Some(Rc::new(RouteTable::new(spec)));
        self.assemble();
    }

    /// Puts the groups together from what runners say, and logs which begin and cease to serve.
    pub fn assemble(&self) {
        let Some(table) = self.table() else {
            return;
        };
        let mut roster = self.roster.borrow_mut();
        roster.rebuild_groups(table.spec());
        let mut outages = self.outages.borrow_mut();
        for change in outages.update(&roster, self.now()) {
            self.note_change(change);
        }
        gauge!("groups_serving").set(outages.serving_count() as f64);
    }

    fn note_change(&self, change: ServingChange) {
        match change {
            ServingChange::Stopped { epoch, model } => {
                slog::info!(self.log, "group no longer serves";
                    "epoch" => epoch.0, "model" => model.as_str());
            }
            ServingChange::Started {
                epoch,
                model,
                repair_time,
            } => {
                slog::info!(self.log, "group serves";
                    "epoch" => epoch.0,
                    "model" => model.as_str(),
                    "repair_ms" => repair_time.map(Span::as_millis));
                if let Some(repair) = repair_time {
                    histogram!("group_repair_seconds").record(repair.as_secs_f64());
                }
            }
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&self, service: &ServiceName) {
        let now = self.now();
        self.with_budget(service, |budget| budget.request(now));
    }

    /// Takes one repeat at a service out of this daemon's part of the budget.
    pub fn may_repeat(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let daemons = self.peers.borrow().count().max(1);
        let slack = self.settings.retry.slack * BUDGET_PART / daemons as f64;
        self.with_budget(service, |budget| budget.take(slack, now))
    }

    /// The time that a caller has spent on earlier tries, judged by what others wait.
    pub fn spent(&self, route: &str, deadline: Span) -> Span {
        let mut patience = self.patience.borrow_mut();
        let longest = patience.entry(route.to_owned()).or_default();
        *longest = deadline.max(*longest);
        *longest - deadline
    }

    fn with_budget<F, T>(&self, service: &ServiceName, act: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        let bounds = &self.settings.retry;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(bounds.ratio * BUDGET_PART, bounds.window));
        act(budget)
    }

    /// Whether a request that needs so long can be answered before the daemon ends.
    pub fn has_time(&self, needed: Span) -> bool {
        let now = self.now();
        self.ends.get().is_none_or(|end| now + needed <= end)
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && self.table.borrow().is_some() && self.listed.get()
    }
}
