//! The decision logic: a deterministic state machine without I/O or a clock.
//!
//! [`Core::step`] takes the time and one [`Input`], and appends [`Output`]s for
//! the shell to a list. The same inputs give the same outputs, so any run can
//! be recorded and replayed. The parts are requests, groups, members (daemons
//! and runner hosts) and configuration; a part may query the others but never
//! changes them.

pub mod config;
pub mod ctx;
pub mod group;
pub mod input;
pub mod keys;
pub mod member;
pub mod message;
pub mod metric;
pub mod options;
pub mod output;
pub mod request;
pub mod status;
pub mod time;
pub mod timer;

use config::{Config, Key};
use ctx::{Ctx, CtxState, Identity};
use group::Groups;
use input::{
    CallInput, HostsInput, Input, OperatorInput, OperatorRequest, PeerInput, PlatformAnswer,
    PlatformInput, RunnerInput,
};
use keys::{HostName, Owner, PlatformId};
use member::{Hosts, Members};
use message::Message;
use metric::Metric;
use options::Options;
use output::{OperatorAnswer, Output};
use request::{Cluster, Requests};
use status::{Status, UpgradeStatus};
use time::Time;
use timer::Timer;

/// Decision logic of one daemon.
#[derive(Debug)]
pub struct Core {
    ctx_state: CtxState,
    parts: Parts,
}

/// Queries.
impl Core {
    /// Returns the configuration part.
    pub fn config(&self) -> &Config {
        &self.parts.config
    }

    /// Returns the member part: the other daemons.
    pub fn members(&self) -> &Members {
        &self.parts.members
    }

    /// Returns the runner hosts.
    pub fn hosts(&self) -> &Hosts {
        &self.parts.hosts
    }

    /// Returns the group part.
    pub fn groups(&self) -> &Groups {
        &self.parts.groups
    }

    /// Returns the request part.
    pub fn requests(&self) -> &Requests {
        &self.parts.requests
    }

    /// Returns the status report for operators.
    pub fn status(&self, now: Time) -> Status {
        self.parts.status(&self.ctx_state.me, now)
    }

    /// Returns the current metrics of all parts.
    pub fn metrics(&self) -> Vec<Metric> {
        let mut metrics = Vec::new();
        self.parts.config.metrics(&mut metrics);
        self.parts.members.metrics(&mut metrics);
        self.parts.hosts.metrics(&mut metrics);
        self.parts.groups.metrics(&mut metrics);
        self.parts.requests.metrics(&mut metrics);
        metrics
    }
}

/// Commands.
impl Core {
    /// Creates the logic of a daemon without any state; `seed` determines all randomness.
    pub fn new(me: Identity, options: Options, seed: u64) -> Self {
        Self {
            ctx_state: CtxState::new(me, options, seed),
            parts: Parts::default(),
        }
    }

    /// Handles one event and appends the outputs to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        let mut ctx = self.ctx_state.ctx(now, out);
        let changes = self.parts.handle(&mut ctx, input);
        self.parts.propagate(&mut ctx, changes);
    }
}

/// Changes by an event that the other parts must handle.
#[derive(Debug, Default)]
struct Changes {
    keys: Vec<Key>,
    hosts: Vec<HostName>,
}

impl Changes {
    fn keys(keys: Vec<Key>) -> Self {
        Self {
            keys,
            hosts: Vec::new(),
        }
    }

    fn hosts(hosts: Vec<HostName>) -> Self {
        Self {
            keys: Vec::new(),
            hosts,
        }
    }
}

/// All parts, separate from the context's state so that both can be borrowed at once.
#[derive(Debug, Default)]
struct Parts {
    config: Config,
    members: Members,
    hosts: Hosts,
    groups: Groups,
    requests: Requests,
}

impl Parts {
    fn handle(&mut self, ctx: &mut Ctx, input: Input) -> Changes {
        match input {
            Input::Start => self.on_start(ctx),
            Input::Timer(timer) => self.on_timer(ctx, timer),
            Input::Call(input) => self.on_call(ctx, input),
            Input::Runner(input) => self.on_runner(ctx, input),
            Input::Platform(input) => self.on_platform(ctx, input),
            Input::Hosts(input) => self.on_hosts(ctx, input),
            Input::Peer(input) => self.on_peer(ctx, input),
            Input::Operator(input) => self.on_operator(ctx, input),
            Input::Stop => self.on_stop(ctx),
        }
    }

    /// Tells the other parts of the changes, in an order in which each reads only updated parts.
    fn propagate(&mut self, ctx: &mut Ctx, changes: Changes) {
        let Changes { keys, hosts } = changes;
        if keys.is_empty() && hosts.is_empty() {
            return;
        }
        let view = self.config.view();
        if !keys.is_empty() {
            self.members.on_config(ctx, view, &keys);
            self.groups
                .on_config(ctx, view, &self.hosts, &self.members, &keys);
        }
        if !hosts.is_empty() {
            self.groups
                .on_hosts(ctx, view, &self.hosts, &self.members, &hosts);
        }
        let (requests, cluster) = self.split_requests();
        requests.on_cluster_change(ctx, &cluster);
    }

    /// Returns the request part, and the other parts that it reads.
    fn split_requests(&mut self) -> (&mut Requests, Cluster<'_>) {
        let cluster = Cluster {
            view: self.config.view(),
            members: &self.members,
            hosts: &self.hosts,
            groups: &self.groups,
        };
        (&mut self.requests, cluster)
    }

    fn on_start(&mut self, ctx: &mut Ctx) -> Changes {
        self.members.on_start(ctx);
        self.groups.on_start(ctx);
        self.requests.on_start(ctx);
        Changes::keys(self.config.on_start(ctx))
    }

    fn on_timer(&mut self, ctx: &mut Ctx, timer: Timer) -> Changes {
        match timer {
            Timer::Config(timer) => Changes::keys(self.config.on_timer(ctx, timer, &self.members)),
            Timer::Member(timer) => {
                let view = self.config.view();
                let hosts = &mut self.hosts;
                Changes::hosts(self.members.on_timer(ctx, view, hosts, &self.groups, timer))
            }
            Timer::Group(timer) => {
                let view = self.config.view();
                let (hosts, members) = (&self.hosts, &self.members);
                self.groups
                    .on_timer(ctx, view, hosts, members, &self.requests, timer);
                Changes::default()
            }
            Timer::Request(timer) => {
                let (requests, cluster) = self.split_requests();
                let suspects = requests.on_timer(ctx, &cluster, timer);
                Changes::hosts(self.hosts.suspect(ctx, &suspects))
            }
        }
    }

    fn on_call(&mut self, ctx: &mut Ctx, input: CallInput) -> Changes {
        if let CallInput::Entries {
            call,
            credential,
            model,
        } = input
        {
            let view = self.config.view();
            self.members.on_entries(ctx, view, call, credential, model);
            return Changes::default();
        }
        let (requests, cluster) = self.split_requests();
        requests.on_call(ctx, &cluster, input);
        Changes::default()
    }

    fn on_runner(&mut self, ctx: &mut Ctx, input: RunnerInput) -> Changes {
        match input {
            RunnerInput::Load { host, report } => {
                Changes::hosts(self.hosts.on_load(ctx, host, report))
            }
            RunnerInput::Ordered {
                order,
                host,
                outcome,
            } => {
                let view = self.config.view();
                self.groups
                    .on_ordered(ctx, view, &self.hosts, &self.members, order, host, outcome);
                Changes::default()
            }
            RunnerInput::Holding { host, holding } => {
                let view = self.config.view();
                self.groups
                    .on_holding(ctx, view, &self.hosts, &self.members, host, holding);
                Changes::default()
            }
            input => {
                let (requests, cluster) = self.split_requests();
                let suspects = requests.on_runner(ctx, &cluster, input);
                Changes::hosts(self.hosts.suspect(ctx, &suspects))
            }
        }
    }

    fn on_platform(&mut self, ctx: &mut Ctx, input: PlatformInput) -> Changes {
        match input {
            PlatformInput::Answered { id, answer } => {
                self.members.on_platform_reachable(ctx.now);
                self.on_platform_answer(ctx, id, Some(answer))
            }
            PlatformInput::Failed { id } => self.on_platform_answer(ctx, id, None),
            PlatformInput::Watched {
                id,
                revision,
                events,
            } => {
                self.members.on_platform_reachable(ctx.now);
                Changes::keys(self.config.on_watched(ctx, id, revision, events))
            }
            PlatformInput::WatchEnded { id, compacted } => {
                Changes::keys(self.config.on_watch_ended(ctx, id, compacted))
            }
        }
    }

    fn on_platform_answer(
        &mut self,
        ctx: &mut Ctx,
        id: PlatformId,
        answer: Option<PlatformAnswer>,
    ) -> Changes {
        match id.owner {
            Owner::Config => return Changes::keys(self.config.on_platform(ctx, id, answer)),
            Owner::Member => self.members.on_platform(ctx, id, answer),
            Owner::Group => {
                let view = self.config.view();
                self.groups
                    .on_platform(ctx, view, &self.hosts, &self.members, id, answer);
            }
            Owner::Request => {
                let (requests, cluster) = self.split_requests();
                requests.on_platform(ctx, &cluster, id, answer);
            }
        }
        Changes::default()
    }

    fn on_hosts(&mut self, ctx: &mut Ctx, input: HostsInput) -> Changes {
        match input {
            HostsInput::Listed(entries) => Changes::hosts(self.hosts.on_listed(ctx, entries)),
            HostsInput::Failed => Changes::default(),
        }
    }

    fn on_peer(&mut self, ctx: &mut Ctx, input: PeerInput) -> Changes {
        let (from, incarnation, address, message) = match input {
            PeerInput::Received {
                from,
                incarnation,
                address,
                message,
            } => (from, incarnation, address, message),
            PeerInput::Undelivered { address } => {
                self.members.on_undelivered(ctx, address);
                return Changes::default();
            }
        };
        if !self.members.on_contact(ctx, &from, incarnation, address) {
            return Changes::default();
        }
        match message {
            Message::Config(message) => {
                if let Some(revision) = message.revision() {
                    self.members.note_revision(&from, revision);
                }
                Changes::keys(self.config.on_message(ctx, &self.members, &from, message))
            }
            Message::Member(message) => {
                let view = self.config.view();
                let hosts = &mut self.hosts;
                Changes::hosts(self.members.on_message(ctx, view, hosts, &from, message))
            }
            Message::Group(message) => {
                let view = self.config.view();
                self.groups
                    .on_message(ctx, view, &self.members, &self.requests, &from, message);
                Changes::default()
            }
        }
    }

    fn on_operator(&mut self, ctx: &mut Ctx, input: OperatorInput) -> Changes {
        let OperatorInput {
            command,
            operation,
            request,
        } = input;
        if let OperatorRequest::Status = request {
            let answer = OperatorAnswer::Status(Box::new(self.status(ctx.me, ctx.now)));
            ctx.push(Output::Operator { command, answer });
            return Changes::default();
        }
        if let Err(reason) = self.groups.check(self.config.view(), &self.hosts, &request) {
            let answer = OperatorAnswer::Invalid(reason);
            ctx.push(Output::Operator { command, answer });
            return Changes::default();
        }
        self.config.on_operator(ctx, command, operation, request);
        Changes::default()
    }

    fn on_stop(&mut self, ctx: &mut Ctx) -> Changes {
        self.members.on_stop(ctx, self.config.view());
        self.groups.on_stop(ctx);
        let (requests, cluster) = self.split_requests();
        requests.on_stop(ctx, &cluster);
        Changes::default()
    }

    fn status(&self, me: &Identity, now: Time) -> Status {
        let view = self.config.view();
        let groups = self.groups.status(view, &self.hosts);
        let upgrades = view.upgrades();
        Status {
            daemon: me.name.clone(),
            revision: view.revision(),
            fresh: self.members.is_fresh(now),
            upgrades: upgrades
                .map(|upgrade| UpgradeStatus::new(&upgrade.record, &groups))
                .collect(),
            groups,
            daemons: self.members.status(view),
            domains: self.groups.domain_status(view, &self.hosts),
        }
    }
}
