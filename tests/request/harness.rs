//! Drives the request part by direct hand-over of its events.

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

/// One daemon's request part, and what it reads.
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
    drawn: u64,
    revision: i64,
    last_call: u64,
    /// Whether the platform's service is heard.
    pub is_heard: bool,
    /// Whether hosts found silent are reported to the hosts' part.
    pub reports_suspects: bool,
    /// Everything that came out and was not yet looked at.
    pub outputs: Vec<Output>,
    timers: BTreeMap<(Time, String), RequestTimer>,
    prefixes: BTreeMap<CallId, Vec<u64>>,
    listed: Vec<HostEntry>,
}

impl Rig {
    /// A daemon with one account, `clerk`.
    pub fn new(without: &[Mechanism]) -> Self {
        Self::for_daemon(1, 1, without)
    }

    /// A run of daemon `d1`, `d2`, …
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
            drawn: 0,
            revision: 0,
            last_call: 0,
            is_heard: true,
            reports_suspects: false,
            outputs: Vec::new(),
            timers: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            listed: Vec::new(),
        };
        rig.put_account("clerk", 1, serde_json::json!({}));
        rig
    }

    /// Writes a record into the view.
    pub fn put(&mut self, key: &str, value: serde_json::Value) {
        self.revision += 1;
        let entry = PlatformEntry {
            key: format!("{ROOT}{key}"),
            value: value.to_string(),
            revision: Revision(self.revision),
            lease: None,
        };
        let key = self.view.apply(WatchEvent::Put(entry));
        let keys = [key.expect("record is taken")];
        self.with(|parts, ctx| {
            let (view, hosts, members) = (parts.view, &*parts.hosts, &*parts.members);
            parts.groups.on_config(ctx, view, hosts, members, &keys);
            parts.members.on_config(ctx, view, &keys);
        });
    }

    /// Makes a run of another daemon known.
    pub fn put_daemon(&mut self, number: u16, incarnation: u64) {
        let name = format!("d{number}");
        let address = SocketAddr::from(([127, 0, 0, 1], number));
        let record = serde_json::json!({
            "name": name, "incarnation": incarnation, "region": "r1", "hall": "h1",
            "caller": address, "peer": address,
        });
        self.put(&format!("daemon/{name}"), record);
    }

    /// Writes an account whose key is told by `key`.
    pub fn put_account(&mut self, name: &str, key: u8, mut fields: serde_json::Value) {
        fields["name"] = name.into();
        fields["key"] = serde_json::to_value(KeyHash([key; 32])).expect("key is written");
        self.put(&format!("config/account/{name}"), fields);
    }

    /// A plain service with runners `NAME-0`, `NAME-1`, ….
    pub fn put_service(&mut self, name: &str, idempotent: bool, runners: usize) {
        let record = serde_json::json!({ "name": name, "idempotent": idempotent });
        self.put(&format!("config/service/{name}"), record);
        let kind = RunnerKind::Service(name.into());
        let entries = (0..runners)
            .map(|index| host(name, index, kind.clone()))
            .collect();
        self.list(entries);
    }

    /// A model whose groups `NAME-0`, `NAME-1`, … have the sizes given, in domain `f1`.
    pub fn put_groups(&mut self, model: &str, sizes: &[usize]) {
        let record = serde_json::json!({ "name": model, "version": "v1" });
        self.put(&format!("config/model/{model}"), record);
        let mut entries = Vec::new();
        let mut placed = serde_json::json!({});
        for (index, size) in sizes.iter().enumerate() {
            let group = format!("{model}-{index}");
            let record = serde_json::json!({ "name": group, "model": model, "domain": "f1" });
            self.put(&format!("config/group/{group}"), record);
            let hosts: Vec<HostEntry> = (0..*size)
                .map(|member| host(&group, member, RunnerKind::Engine))
                .collect();
            let names: Vec<_> = hosts.iter().map(|entry| entry.host.clone()).collect();
            placed[group] = serde_json::json!({
                "epoch": index + 1, "hosts": names, "model": model,
                "version": "v1", "stage": "serving",
            });
            entries.extend(hosts);
        }
        self.list(entries);
        let record = serde_json::json!({ "domain": "f1", "groups": placed, "serial": 100 });
        self.put("placement/f1", record);
        self.on_site();
    }

    /// Adds entries to the list of hosts, which is then taken over whole.
    pub fn list(&mut self, entries: Vec<HostEntry>) {
        self.listed.extend(entries);
        let entries = self.listed.clone();
        self.with(|parts, ctx| {
            let changed = parts.hosts.on_listed(ctx, entries);
            let (view, hosts, members) = (parts.view, &*parts.hosts, &*parts.members);
            parts.groups.on_hosts(ctx, view, hosts, members, &changed);
        });
        self.on_site();
    }

    /// Tells the part that what it reads has changed.
    pub fn on_site(&mut self) {
        self.with_site(|requests, ctx, site| requests.on_cluster_change(ctx, site));
    }

    /// The blocks of a call's prompt.
    pub fn prefix(&self, call: CallId) -> Vec<u64> {
        self.prefixes.get(&call).cloned().unwrap_or_default()
    }

    /// The identifier that the next call gets.
    pub fn next_call(&self) -> CallId {
        CallId(self.last_call + 1)
    }

    /// Hands over a caller's request.
    pub fn call(&mut self, request: CallRequest) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        if !request.prefix.is_empty() {
            self.prefixes.insert(call, request.prefix.clone());
        }
        let input = CallInput::Arrived { call, request };
        self.with_site(|requests, ctx, site| requests.on_call(ctx, site, input));
        call
    }

    /// A caller goes away.
    pub fn gone(&mut self, call: CallId) {
        let input = CallInput::Gone { call };
        self.with_site(|requests, ctx, site| requests.on_call(ctx, site, input));
    }

    /// Hands over a runner's event; gives back the hosts suspected.
    pub fn runner_event(&mut self, input: RunnerInput) -> usize {
        let mut suspects = Vec::new();
        self.with_site(|requests, ctx, site| {
            suspects = requests.on_runner(ctx, site, input);
        });
        self.suspect(suspects)
    }

    /// Begins an answer with the right echo.
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

    /// Hands over a part of an answer.
    pub fn chunk(&mut self, attempt: AttemptId, offset: u32, tokens: u32) {
        let payload = Payload(format!("{offset}").into());
        self.runner_event(RunnerInput::Chunk {
            attempt,
            offset,
            tokens,
            payload,
        });
    }

    pub fn fail(&mut self, attempt: AttemptId, failure: Failure) -> usize {
        self.runner_event(RunnerInput::Failed { attempt, failure })
    }

    /// Hands over a platform's answer; nothing means that the call failed.
    pub fn platform(&mut self, id: PlatformId, answer: Option<PlatformAnswer>) {
        self.with_site(|requests, ctx, site| requests.on_platform(ctx, site, id, answer));
    }

    pub fn stop(&mut self) {
        self.with_site(|requests, ctx, site| requests.on_stop(ctx, site));
    }

    /// Lets time pass, with every timer that comes due; gives back the hosts suspected.
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
            self.with_site(|requests, ctx, site| {
                found = requests.on_timer(ctx, site, timer);
            });
            suspects += self.suspect(found);
        }
        self.now = until;
        suspects
    }

    /// Lets a hosts' part that knows nothing take the place of this one.
    pub fn forget_hosts(&mut self) {
        self.hosts = Hosts::default();
    }

    /// A counted value.
    pub fn count(&self, name: &str) -> u64 {
        let mut counts = Vec::new();
        self.requests.counts(&mut counts);
        let found = counts.iter().find(|count| count.name.ends_with(name));
        found.expect("it is counted").value
    }

    /// Takes a load report, or the lack of one.
    pub fn report_load(&mut self, host: HostName, report: Option<LoadReport>) {
        self.with(|parts, ctx| {
            let changed = parts.hosts.on_load(ctx, host, report);
            let (view, hosts, members) = (parts.view, &*parts.hosts, &*parts.members);
            parts.groups.on_hosts(ctx, view, hosts, members, &changed);
        });
        self.on_site();
    }

    /// Hands on the hosts found silent; gives back how many there are.
    fn suspect(&mut self, suspects: Vec<HostName>) -> usize {
        if self.reports_suspects && !suspects.is_empty() {
            self.with(|parts, ctx| {
                let changed = parts.hosts.suspect(ctx, &suspects);
                let (view, hosts, members) = (parts.view, &*parts.hosts, &*parts.members);
                parts.groups.on_hosts(ctx, view, hosts, members, &changed);
            });
            self.on_site();
        }
        suspects.len()
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Time> {
        self.timers.keys().next().map(|(at, _)| *at)
    }

    /// Lets time pass until an attempt is sent; gives back the hosts suspected.
    pub fn pass_until_sent(&mut self) -> (Sent, usize) {
        let mut suspects = 0;
        for _ in 0..1_000 {
            suspects += self.advance(Span::from_millis(10));
            if let Some(sent) = self.sent().pop() {
                return (sent, suspects);
            }
        }
        panic!("no attempt is sent");
    }

    /// The attempts sent since the last look.
    pub fn sent(&mut self) -> Vec<Sent> {
        self.take(|output| match output {
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

    /// The one attempt sent since the last look.
    pub fn sent_one(&mut self) -> Sent {
        let mut sent = self.sent();
        assert_eq!(sent.len(), 1, "one attempt is sent");
        sent.remove(0)
    }

    /// The attempts cancelled since the last look.
    pub fn cancelled(&mut self) -> Vec<AttemptId> {
        self.take(|output| match output {
            Output::Runner(RunnerOutput::Cancel { attempt }) => Some(*attempt),
            _ => None,
        })
    }

    /// The requests that ended since the last look.
    pub fn ended(&mut self) -> Vec<(CallId, Ending)> {
        self.take(|output| match output {
            Output::Call(CallOutput::End { call, ending }) => Some((*call, ending.clone())),
            _ => None,
        })
    }

    /// The offsets passed on since the last look.
    pub fn delivered(&mut self) -> Vec<(CallId, u32)> {
        self.take(|output| match output {
            Output::Call(CallOutput::Deliver { call, offset, .. }) => Some((*call, *offset)),
            _ => None,
        })
    }

    /// The platform calls made since the last look.
    pub fn platform_calls(&mut self) -> Vec<(PlatformId, PlatformCall)> {
        self.take(|output| match output {
            Output::Platform { id, call } => Some((*id, call.clone())),
            _ => None,
        })
    }

    /// Whether the exit was asked for since the last look.
    pub fn exited(&mut self) -> bool {
        let exits = self.take(|output| matches!(output, Output::Exit).then_some(()));
        !exits.is_empty()
    }

    /// Runs something with this daemon's context.
    pub fn with<F>(&mut self, act: F)
    where
        F: FnOnce(&mut Parts<'_>, &mut Ctx<'_>),
    {
        if self.is_heard {
            self.members.on_platform_heard(self.now);
        }
        let mut out = Vec::new();
        let mut ctx = Ctx {
            now: self.now,
            me: &self.me,
            options: &self.options,
            rng: &mut self.rng,
            drawn: &mut self.drawn,
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

    fn with_site<F>(&mut self, act: F)
    where
        F: FnOnce(&mut Requests, &mut Ctx<'_>, &Cluster<'_>),
    {
        self.with(|parts, ctx| {
            let site = Cluster {
                view: parts.view,
                members: parts.members,
                hosts: parts.hosts,
                groups: parts.groups,
            };
            act(parts.requests, ctx, &site);
        });
    }

    fn take<T, F>(&mut self, pick: F) -> Vec<T>
    where
        F: Fn(&Output) -> Option<T>,
    {
        let found = self.outputs.iter().filter_map(&pick).collect();
        self.outputs.retain(|output| pick(output).is_none());
        found
    }
}

/// The parts, lent out apart from the context.
pub struct Parts<'a> {
    pub view: &'a View,
    pub members: &'a mut Members,
    pub hosts: &'a mut Hosts,
    pub groups: &'a mut Groups,
    pub requests: &'a mut Requests,
}

/// An attempt that was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt: AttemptId,
    pub call: CallId,
    pub route: Route,
    pub fresh: bool,
    pub resume_at: u32,
}

/// A call of a plain service by the account `clerk`.
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

/// A completion on a model by the account `clerk`.
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

/// The host `GROUP-INDEX`.
pub fn host(group: &str, index: usize, kind: RunnerKind) -> HostEntry {
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
