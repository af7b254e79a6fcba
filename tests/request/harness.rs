//! Test rig that calls the request handling of the core directly with its events.

use hickoryledge::core::{
    config::{ROOT, View},
    ctx::{Ctx, Identity},
    group::Groups,
    input::{
        CallInput, CallRequest, Echo, Failure, HostEntry, LoadReport, OrderChecks, Payload,
        PlatformAnswer, PlatformEntry, RunnerInput, RunnerKind, Target, WatchEvent,
    },
    keys::{AttemptId, CallId, HostName, Incarnation, KeyHash, PlatformId, Revision},
    member::{Hosts, Members},
    options::{Mechanism, Options},
    output::{CallOutput, Ending, Output, PlatformCall, Route, RunnerOutput},
    request::{Cluster, Requests},
    time::{Span, Time},
    timer::{RequestTimer, Timer},
};
use rand::{SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, net::SocketAddr};

/// The request handling of one daemon with the state that it reads.
pub struct Rig {
    pub view: View,
    pub members: Members,
    pub hosts: Hosts,
    pub groups: Groups,
    pub requests: Requests,
    pub me: Identity,
    pub options: Options,
    pub now: Time,
    rng: SmallRng,
    last_id: u64,
    revision: i64,
    last_call: u64,
    /// True while the platform's store answers, which keeps the daemon's state fresh.
    pub platform_reachable: bool,
    /// True if hosts returned as suspects are reported to [`Hosts`].
    pub reports_suspects: bool,
    /// Outputs that no test has taken yet.
    pub outputs: Vec<Output>,
    timers: BTreeMap<(Time, String), RequestTimer>,
    prefixes: BTreeMap<CallId, Vec<u64>>,
    host_list: Vec<HostEntry>,
}

impl Rig {
    /// Creates a rig for daemon `d1` with one account, `clerk`.
    pub fn new(without: &[Mechanism]) -> Self {
        Self::for_daemon(1, 1, without)
    }

    /// Creates a rig for one incarnation of daemon `d1`, `d2`, …
    pub fn for_daemon(number: u16, incarnation: u64, without: &[Mechanism]) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], number));
        let mut rig = Self {
            view: View::default(),
            members: Members::default(),
            hosts: Hosts::default(),
            groups: Groups::default(),
            requests: Requests::default(),
            me: Identity {
                name: format!("d{number}").into(),
                incarnation: Incarnation(incarnation),
                region: "r1".into(),
                hall: "h1".into(),
                caller: address,
                peer: address,
                seeds: Vec::new(),
                secret: 7 + incarnation,
            },
            options: Options {
                without: without.to_vec(),
                ..Options::default()
            },
            now: Time(1),
            rng: SmallRng::seed_from_u64(u64::from(number) + incarnation * 1_000),
            last_id: 0,
            revision: 0,
            last_call: 0,
            platform_reachable: true,
            reports_suspects: false,
            outputs: Vec::new(),
            timers: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            host_list: Vec::new(),
        };
        rig.put_account("clerk", 1, serde_json::json!({}));
        rig
    }

    /// Writes a record into the view.
    pub fn put_record(&mut self, key: &str, value: serde_json::Value) {
        self.revision += 1;
        let entry = PlatformEntry {
            key: format!("{ROOT}{key}"),
            value: value.to_string(),
            revision: Revision(self.revision),
            lease: None,
        };
        let key = self.view.apply(WatchEvent::Put(entry));
        self.view.advance(Revision(self.revision));
        let keys = [key.expect("record is accepted")];
        self.with(|parts, ctx| {
            let (view, hosts, members) = (parts.view, &*parts.hosts, &*parts.members);
            parts.groups.on_config(ctx, view, hosts, members, &keys);
            parts.members.on_config(ctx, view, &keys);
        });
    }

    /// Makes the daemon as it is before it has read the view.
    pub fn forget_view(&mut self) {
        self.view = View::default();
    }

    /// Registers an incarnation of another daemon.
    pub fn put_daemon(&mut self, number: u16, incarnation: u64) {
        let name = format!("d{number}");
        let address = SocketAddr::from(([127, 0, 0, 1], number));
        let record = serde_json::json!({
            "name": name, "incarnation": incarnation, "region": "r1", "hall": "h1",
            "caller": address, "peer": address,
        });
        self.put_record(&format!("daemon/{name}"), record);
    }

    /// Writes an account whose key hash consists of bytes `key`.
    pub fn put_account(&mut self, name: &str, key: u8, mut fields: serde_json::Value) {
        fields["name"] = name.into();
        fields["key"] = serde_json::to_value(KeyHash([key; 32])).expect("key is serialized");
        self.put_record(&format!("config/account/{name}"), fields);
    }

    /// Configures a plain service with runners `NAME-0`, `NAME-1`, ….
    pub fn put_service(&mut self, name: &str, idempotent: bool, runners: usize) {
        let record = serde_json::json!({ "name": name, "idempotent": idempotent });
        self.put_record(&format!("config/service/{name}"), record);
        let kind = RunnerKind::Service(name.into());
        let entries = (0..runners)
            .map(|index| host_entry(name, index, kind.clone()))
            .collect();
        self.add_hosts(entries);
    }

    /// Configures a model with groups `NAME-0`, `NAME-1`, … of the given sizes in domain `f1`.
    pub fn put_groups(&mut self, model: &str, sizes: &[usize]) {
        let record = serde_json::json!({ "name": model, "version": "v1" });
        self.put_record(&format!("config/model/{model}"), record);
        let mut entries = Vec::new();
        let mut placed = serde_json::json!({});
        for (index, size) in sizes.iter().enumerate() {
            let group = format!("{model}-{index}");
            let record = serde_json::json!({ "name": group, "model": model, "domain": "f1" });
            self.put_record(&format!("config/group/{group}"), record);
            let hosts: Vec<HostEntry> = (0..*size)
                .map(|member| host_entry(&group, member, RunnerKind::Engine))
                .collect();
            let names: Vec<_> = hosts.iter().map(|entry| entry.host.clone()).collect();
            placed[group] = serde_json::json!({
                "epoch": index + 1, "hosts": names, "model": model,
                "version": "v1", "stage": "serving",
            });
            entries.extend(hosts);
        }
        self.add_hosts(entries);
        let record = serde_json::json!({ "domain": "f1", "groups": placed, "serial": 100 });
        self.put_record("placement/f1", record);
        self.on_cluster_change();
    }

    /// Adds entries to the list of hosts and applies the whole list.
    pub fn add_hosts(&mut self, entries: Vec<HostEntry>) {
        self.host_list.extend(entries);
        let entries = self.host_list.clone();
        self.with(|parts, ctx| {
            let changed = parts.hosts.on_listed(ctx, entries);
            let (view, hosts, members) = (parts.view, &*parts.hosts, &*parts.members);
            parts.groups.on_hosts(ctx, view, hosts, members, &changed);
        });
        self.on_cluster_change();
    }

    /// Reports a change of the state that request handling reads.
    pub fn on_cluster_change(&mut self) {
        self.with_cluster(|requests, ctx, cluster| requests.on_cluster_change(ctx, cluster));
    }

    /// Returns the prefix blocks of a call's prompt.
    pub fn prefix(&self, call: CallId) -> Vec<u64> {
        self.prefixes.get(&call).cloned().unwrap_or_default()
    }

    /// Returns the identifier of the next call.
    pub fn next_call(&self) -> CallId {
        CallId(self.last_call + 1)
    }

    /// Sends a caller's request.
    pub fn call(&mut self, request: CallRequest) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        if !request.prefix.is_empty() {
            self.prefixes.insert(call, request.prefix.clone());
        }
        let input = CallInput::Arrived { call, request };
        self.with_cluster(|requests, ctx, cluster| requests.on_call(ctx, cluster, input));
        call
    }

    /// Disconnects a caller.
    pub fn caller_gone(&mut self, call: CallId) {
        let input = CallInput::Gone { call };
        self.with_cluster(|requests, ctx, cluster| requests.on_call(ctx, cluster, input));
    }

    /// Passes in a runner's event; returns the number of hosts suspected.
    pub fn runner_event(&mut self, input: RunnerInput) -> usize {
        let mut suspects = Vec::new();
        self.with_cluster(|requests, ctx, cluster| {
            suspects = requests.on_runner(ctx, cluster, input);
        });
        self.report_suspects(suspects)
    }

    /// Begins a response with the matching echo.
    pub fn accept(&mut self, sent: &Sent) {
        let epoch = match &sent.route {
            Route::Group { epoch, .. } => Some(*epoch),
            _ => None,
        };
        let echo = Echo {
            attempt: Some(sent.attempt),
            epoch,
        };
        let attempt = sent.attempt;
        self.runner_event(RunnerInput::Accepted { attempt, echo });
    }

    /// Passes in a part of a response.
    pub fn chunk(&mut self, attempt: AttemptId, offset: u32, tokens: u32) {
        let payload = Payload(format!("{offset}").into());
        self.runner_event(RunnerInput::Chunk {
            attempt,
            offset,
            tokens,
            payload,
        });
    }

    /// Fails an attempt; returns the number of hosts suspected.
    pub fn fail(&mut self, attempt: AttemptId, failure: Failure) -> usize {
        self.runner_event(RunnerInput::Failed { attempt, failure })
    }

    /// Passes in the answer to a platform call; `None` if the call failed.
    pub fn platform_answer(&mut self, id: PlatformId, answer: Option<PlatformAnswer>) {
        self.with_cluster(|requests, ctx, cluster| requests.on_platform(ctx, cluster, id, answer));
    }

    pub fn stop(&mut self) {
        self.with_cluster(|requests, ctx, cluster| requests.on_stop(ctx, cluster));
    }

    /// Advances the time and fires due timers; returns the number of hosts suspected.
    pub fn advance(&mut self, span: Span) -> usize {
        let until = self.now + span;
        let mut suspects = 0;
        while let Some(entry) = self.timers.first_entry() {
            let at = entry.key().0;
            if at > until {
                break;
            }
            let timer = entry.remove();
            self.now = at;
            let mut found = Vec::new();
            self.with_cluster(|requests, ctx, cluster| {
                found = requests.on_timer(ctx, cluster, timer);
            });
            suspects += self.report_suspects(found);
        }
        self.now = until;
        suspects
    }

    /// Replaces the hosts by an empty list.
    pub fn forget_hosts(&mut self) {
        self.hosts = Hosts::default();
    }

    /// Returns the value of the first metric whose name ends with `name`.
    pub fn metric(&self, name: &str) -> u64 {
        let mut counts = Vec::new();
        self.requests.metrics(&mut counts);
        let found = counts.iter().find(|count| count.name.ends_with(name));
        found.expect("metric exists").value
    }

    /// Passes in a load report; `None` if the runner did not respond.
    pub fn report_load(&mut self, host: HostName, report: Option<LoadReport>) {
        self.with(|parts, ctx| {
            let changed = parts.hosts.on_load(ctx, host, report);
            let (view, hosts, members) = (parts.view, &*parts.hosts, &*parts.members);
            parts.groups.on_hosts(ctx, view, hosts, members, &changed);
        });
        self.on_cluster_change();
    }

    /// Reports suspected hosts if enabled; returns their number.
    fn report_suspects(&mut self, suspects: Vec<HostName>) -> usize {
        if self.reports_suspects && !suspects.is_empty() {
            self.with(|parts, ctx| {
                let changed = parts.hosts.suspect(ctx, &suspects);
                let (view, hosts, members) = (parts.view, &*parts.hosts, &*parts.members);
                parts.groups.on_hosts(ctx, view, hosts, members, &changed);
            });
            self.on_cluster_change();
        }
        suspects.len()
    }

    /// Returns the time at which the next timer is due.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.keys().next().map(|(at, _)| *at)
    }

    /// Advances the time until an attempt is sent; returns it and the number of hosts suspected.
    pub fn advance_until_sent(&mut self) -> (Sent, usize) {
        let mut suspects = 0;
        for _ in 0..1_000 {
            suspects += self.advance(Span::from_millis(10));
            if let Some(sent) = self.sent().pop() {
                return (sent, suspects);
            }
        }
        panic!("no attempt was sent");
    }

    /// Takes the attempts sent since the last call.
    pub fn sent(&mut self) -> Vec<Sent> {
        self.take_outputs(|output| match output {
            Output::Runner(RunnerOutput::Attempt {
                attempt,
                call,
                route,
                fresh,
                resume_at,
            }) => Some(Sent {
                attempt: *attempt,
                call: *call,
                route: route.clone(),
                fresh: *fresh,
                resume_at: *resume_at,
            }),
            _ => None,
        })
    }

    /// Takes the only attempt sent since the last call.
    pub fn sent_one(&mut self) -> Sent {
        let mut sent = self.sent();
        assert_eq!(sent.len(), 1, "one attempt is sent");
        sent.remove(0)
    }

    /// Takes the attempts cancelled since the last call.
    pub fn cancelled(&mut self) -> Vec<AttemptId> {
        self.take_outputs(|output| match output {
            Output::Runner(RunnerOutput::Cancel { attempt }) => Some(*attempt),
            _ => None,
        })
    }

    /// Takes the requests that ended since the last call.
    pub fn ended(&mut self) -> Vec<(CallId, Ending)> {
        self.take_outputs(|output| match output {
            Output::Call(CallOutput::End { call, ending }) => Some((*call, ending.clone())),
            _ => None,
        })
    }

    /// Takes the offsets delivered since the last call.
    pub fn delivered(&mut self) -> Vec<(CallId, u32)> {
        self.take_outputs(|output| match output {
            Output::Call(CallOutput::Deliver { call, offset, .. }) => Some((*call, *offset)),
            _ => None,
        })
    }

    /// Takes the platform calls made since the last call.
    pub fn platform_calls(&mut self) -> Vec<(PlatformId, PlatformCall)> {
        self.take_outputs(|output| match output {
            Output::Platform { id, call } => Some((*id, call.clone())),
            _ => None,
        })
    }

    /// Returns true if the exit was requested since the last call.
    pub fn exited(&mut self) -> bool {
        let exits = self.take_outputs(|output| matches!(output, Output::Exit).then_some(()));
        !exits.is_empty()
    }

    /// Runs a closure with the daemon's parts and context.
    pub fn with<F>(&mut self, act: F)
    where
        F: FnOnce(&mut Parts<'_>, &mut Ctx<'_>),
    {
        if self.platform_reachable {
            self.members.on_platform_reachable(self.now);
        }
        let mut out = Vec::new();
        let mut ctx = Ctx {
            now: self.now,
            me: &self.me,
            options: &self.options,
            rng: &mut self.rng,
            last_id: &mut self.last_id,
            out: &mut out,
        };
        let mut parts = Parts {
            view: &self.view,
            members: &mut self.members,
            hosts: &mut self.hosts,
            groups: &mut self.groups,
            requests: &mut self.requests,
        };
        act(&mut parts, &mut ctx);
        for output in out {
            match output {
                Output::SetTimer {
                    timer: Timer::Request(timer),
                    at,
                } => {
                    self.timers.insert((at, format!("{timer:?}")), timer);
                }
                output => self.outputs.push(output),
            }
        }
    }

    fn with_cluster<F>(&mut self, act: F)
    where
        F: FnOnce(&mut Requests, &mut Ctx<'_>, &Cluster<'_>),
    {
        self.with(|parts, ctx| {
            let cluster = Cluster {
                view: parts.view,
                members: parts.members,
                hosts: parts.hosts,
                groups: parts.groups,
            };
            act(parts.requests, ctx, &cluster);
        });
    }

    /// Removes and returns the outputs that `pick` selects.
    fn take_outputs<T, F>(&mut self, pick: F) -> Vec<T>
    where
        F: Fn(&Output) -> Option<T>,
    {
        let found = self.outputs.iter().filter_map(&pick).collect();
        self.outputs.retain(|output| pick(output).is_none());
        found
    }
}

/// The daemon's parts, borrowed separately from the context.
pub struct Parts<'a> {
    pub view: &'a View,
    pub members: &'a mut Members,
    pub hosts: &'a mut Hosts,
    pub groups: &'a mut Groups,
    pub requests: &'a mut Requests,
}

/// An attempt sent by the daemon.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt: AttemptId,
    pub call: CallId,
    pub route: Route,
    pub fresh: bool,
    pub resume_at: u32,
}

/// Returns a call of a plain service by the account `clerk`.
pub fn service_call(service: &str) -> CallRequest {
    CallRequest {
        credential: KeyHash([1; 32]),
        target: Target::Service {
            service: service.into(),
        },
        idempotent: true,
        ticket: None,
        idempotency_key: None,
        deadline: None,
        prompt_tokens: 0,
        max_tokens: 0,
        prefix: Vec::new(),
        relayed_by: None,
    }
}

/// Returns a completion request for a model by the account `clerk`.
pub fn model_call(model: &str) -> CallRequest {
    CallRequest {
        target: Target::Model {
            model: model.into(),
            version: None,
            adapter: None,
        },
        prompt_tokens: 100,
        max_tokens: 100,
        ..service_call("")
    }
}

/// Returns the entry of host `GROUP-INDEX`.
pub fn host_entry(group: &str, index: usize, kind: RunnerKind) -> HostEntry {
    HostEntry {
        host: format!("{group}-{index}").into(),
        hall: "h1".into(),
        domain: "f1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
        accelerators: 4,
        kind,
        leaving: false,
        checks: OrderChecks::Nothing,
    }
}
