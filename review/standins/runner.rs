//! Stand-in of a sound runner, as PROTOCOL.md describes it.

use crate::{
    http::{self, Message, write_json, write_message},
    json::{Json, object},
    record::Record,
    store::{PING, Store},
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// `FormMs` of the site.
const FORM: Duration = Duration::from_millis(300);

/// Time of a join if the host has the weights staged (`WarmS`), or of a quick load before the first request.
const WARM: Duration = Duration::from_millis(1_100);

/// Time of a join of the model of the last group.
const REJOIN: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Joining,
    Ready,
    Open,
    Closing,
}

impl State {
    fn name(self) -> &'static str {
        match self {
            State::Joining => "joining",
            State::Ready => "ready",
            State::Open => "open",
            State::Closing => "closing",
        }
    }
}

#[derive(Clone, Debug)]
struct Group {
    name: String,
    epoch: i64,
    model: String,
    members: Vec<String>,
    state: State,
}

#[derive(Default)]
struct Life {
    group: Option<Group>,
    last_model: String,
    staged: Vec<String>,
    seq: i64,
    /// Highest epoch seen.
    epoch: i64,
    running: u32,
    /// False while the runner is partitioned from the store.
    is_cut: bool,
    /// End of a silence.
    silent_until: Option<Instant>,
    last_ping: Option<Instant>,
}

/// What happened at all runners.
#[derive(Default)]
pub struct Cluster {
    runners: Mutex<BTreeMap<String, Arc<Runner>>>,
    /// Breaks of TWO.
    pub two: Mutex<Vec<String>>,
    /// Runs of each request by its id.
    pub runs: Mutex<BTreeMap<String, u32>>,
}

pub struct Runner {
    pub id: String,
    service: String,
    domain: Option<String>,
    pub address: SocketAddr,
    born: i64,
    life: Mutex<Life>,
    store: Store,
    cluster: Arc<Cluster>,
    record: Record,
    /// Time that a plain request takes.
    work: Duration,
}

impl Runner {
    pub fn start(
        id: &str,
        service: &str,
        domain: Option<&str>,
        work: Duration,
        store: &Store,
        cluster: &Arc<Cluster>,
        record: &Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            domain: domain.map(str::to_owned),
            address: listener.local_addr().expect("bound"),
            born: since_epoch.as_millis() as i64,
            life: Mutex::default(),
            store: store.clone(),
            cluster: cluster.clone(),
            record: record.clone(),
            work,
        });
        cluster.runners.lock().expect("not poisoned").insert(id.to_owned(), runner.clone());
        let served = runner.clone();
        http::serve(listener, move |request, stream| served.serve(request, stream));
        let pinging = runner.clone();
        thread::spawn(move || {
            loop {
                pinging.ping();
                thread::sleep(PING);
            }
        });
        runner
    }

    fn lock(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("not poisoned")
    }

    pub fn state(&self) -> Option<State> {
        self.lock().group.as_ref().map(|group| group.state)
    }

    /// Returns true if the runner is the head of a group that is open.
    pub fn is_open_head(&self) -> bool {
        self.state() == Some(State::Open)
    }

    /// Partitions the runner from the store, or ends that; returns the time of its last ping.
    pub fn set_cut(&self, is_cut: bool) -> Instant {
        self.record.line(&format!("runner {}: {} the store", self.id, if is_cut { "partitioned from" } else { "reaches" }));
        let mut life = self.lock();
        life.is_cut = is_cut;
        let last = life.last_ping.unwrap_or_else(Instant::now);
        drop(life);
        self.ping();
        last
    }

    /// Lets the runner fall silent: it answers nothing meanwhile, and goes on afterwards.
    pub fn fall_silent(&self, span: Duration) {
        self.record.line(&format!("runner {}: silent for {} ms", self.id, span.as_millis()));
        self.lock().silent_until = Some(Instant::now() + span);
    }

    fn wait_while_silent(&self) {
        let until = self.lock().silent_until;
        if let Some(until) = until {
            thread::sleep(until.saturating_duration_since(Instant::now()));
        }
    }

    fn ping(&self) {
        let entry = {
            let mut life = self.lock();
            if life.is_cut {
                return;
            }
            life.last_ping = Some(Instant::now());
            self.entry(&life)
        };
        self.store.ping(&self.id, &entry);
    }

    fn assignment(&self, life: &Life) -> Vec<(&'static str, Json)> {
        let model = life.group.as_ref().map(|group| group.model.clone()).or(life.staged.first().cloned());
        let models = model.map(|name| object([("Name", name.as_str().into()), ("Version", 1.into()), ("Adapters", Json::List(Vec::new()))]));
        let staged = life.staged.iter().map(|name| name.as_str().into()).collect();
        let mut members = vec![
            ("Phase", "unified".into()),
            ("Models", Json::List(models.into_iter().collect())),
            ("Staged", Json::List(staged)),
            ("Seq", life.seq.into()),
            ("born", self.born.into()),
        ];
        if let Some(domain) = &self.domain {
            members.push(("Domain", domain.as_str().into()));
        }
        if let Some(group) = &life.group {
            let rank = group.members.iter().position(|member| *member == self.id).unwrap_or_default();
            members.push(("group", object([
                ("Name", group.name.as_str().into()),
                ("epoch", group.epoch.into()),
                ("rank", (rank as i64).into()),
                ("State", group.state.name().into()),
            ])));
        }
        members
    }

    fn entry(&self, life: &Life) -> String {
        let mut members = vec![
            ("Service", self.service.as_str().into()),
            ("Address", self.address.to_string().as_str().into()),
            ("Zone", "hall".into()),
            ("Version", "v1".into()),
            ("Slots", 26.into()),
            ("State", "ready".into()),
            ("ColdLeftMs", 0.into()),
        ];
        members.extend(self.assignment(life));
        Json::Object(members.into_iter().map(|(name, value)| (name.to_owned(), value)).collect()).to_string()
    }

    fn serve(self: &Arc<Self>, request: Message, stream: &mut TcpStream) -> bool {
        self.wait_while_silent();
        match (request.method(), request.path()) {
            ("GET", "/report") => {
                let body = {
                    let life = self.lock();
                    let mut members = self.assignment(&life);
                    members.push(("Busy", false.into()));
                    members.push(("Queued", 0.into()));
                    members.push(("Running", i64::from(life.running).into()));
                    members.push(("pace", 1.into()));
                    Json::Object(members.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
                };
                write_json(stream, 200, &[], &body.to_string()).is_ok()
            }
            ("POST", "/order") => {
                let status = self.order(&Json::parse(&request.text()));
                self.record.line(&format!("runner {}: order {} -> {status}", self.id, request.text()));
                self.ping();
                write_json(stream, status, &[], "").is_ok()
            }
            _ => self.run(&request, stream),
        }
    }

    /// Carries out an order and returns the status of the answer.
    fn order(self: &Arc<Self>, order: &Json) -> u16 {
        let (name, epoch) = (order.get("group").text(), order.get("epoch").integer());
        match order.get("Op").text() {
            "join" => self.join(order),
            "Phase" => {
                let model = order.get("Model").text().to_owned();
                let runner = self.clone();
                self.lock().seq += 1;
                thread::spawn(move || {
                    thread::sleep(WARM);
                    runner.lock().staged = vec![model];
                    runner.ping();
                });
                202
            }
            operation => {
                let mut life = self.lock();
                let is_own = life.group.as_ref().is_some_and(|group| group.name == name && group.epoch == epoch);
                if !is_own {
                    return 409;
                }
                let running = life.running;
                let group = life.group.as_mut().expect("it has a group");
                match (operation, group.state) {
                    ("open", State::Open) | ("close", State::Ready) => 200,
                    ("open", State::Ready) if group.members.first() == Some(&self.id) => {
                        life.seq += 1;
                        drop(life);
                        self.after(FORM, epoch, State::Ready, State::Open);
                        202
                    }
                    ("close", State::Open | State::Closing) => {
                        let is_cut = order.get("Mode").text() == "cut";
                        group.state = if is_cut || running == 0 { State::Ready } else { State::Closing };
                        life.seq += 1;
                        202
                    }
                    ("leave", _) => {
                        life.group = None;
                        life.seq += 1;
                        202
                    }
                    _ => 409,
                }
            }
        }
    }

    fn join(self: &Arc<Self>, order: &Json) -> u16 {
        let members: Vec<String> = order.get("Members").list().iter().map(|member| member.text().to_owned()).collect();
        let group = Group {
            name: order.get("group").text().to_owned(),
            epoch: order.get("epoch").integer(),
            model: order.get("Model").text().to_owned(),
            members,
            state: State::Joining,
        };
        let current = self.lock().group.clone();
        let same = current.as_ref().filter(|known| known.name == group.name && known.epoch == group.epoch);
        if let Some(same) = same {
            return if same.members == group.members { 200 } else { 412 };
        }
        if group.epoch < self.lock().epoch {
            return 412;
        }
        if let Some(current) = &current {
            self.check_two(current, &group);
        }
        let mut life = self.lock();
        let is_warm = life.last_model == group.model;
        life.epoch = group.epoch;
        life.last_model = group.model.clone();
        life.seq += 1;
        let epoch = group.epoch;
        let model = group.model.clone();
        life.group = Some(group);
        drop(life);
        let runner = self.clone();
        let span = if is_warm { REJOIN } else { WARM };
        thread::spawn(move || {
            thread::sleep(span);
            runner.lock().staged = vec![model];
        });
        self.after(span, epoch, State::Joining, State::Ready);
        202
    }

    /// TWO: a runner takes a join of another group while the head of its group is open or closing.
    fn check_two(&self, current: &Group, next: &Group) {
        let head = current.members.first().cloned().unwrap_or_default();
        let runners = self.cluster.runners.lock().expect("not poisoned");
        let state = runners.get(&head).and_then(|head| {
            let life = head.lock();
            let group = life.group.as_ref().filter(|group| group.name == current.name && group.epoch == current.epoch);
            group.map(|group| group.state)
        });
        if let Some(state @ (State::Open | State::Closing)) = state {
            let text = format!(
                "TWO: {} takes a join of {} while {head}, the head of its group {}, is {}",
                self.id, next.name, current.name, state.name()
            );
            self.record.line(&text);
            self.cluster.two.lock().expect("not poisoned").push(text);
        }
    }

    fn after(self: &Arc<Self>, span: Duration, epoch: i64, from: State, to: State) {
        let runner = self.clone();
        thread::spawn(move || {
            thread::sleep(span);
            let mut life = runner.lock();
            if let Some(group) = life.group.as_mut().filter(|group| group.epoch == epoch && group.state == from) {
                group.state = to;
                runner.record.line(&format!("runner {}: {} in {}", runner.id, to.name(), group.name));
            }
            drop(life);
            runner.ping();
        });
    }

    /// Runs a request and answers it.
    fn run(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let expected = request.header("x-expect-instance");
        let may_run = self.domain.is_none() || self.is_open_head();
        if expected.is_some_and(|expected| expected != self.id) || !may_run {
            let headers = [("X-Request-Id", id.as_str()), ("X-Instance-Id", &self.id), ("X-Not-Run", "1")];
            return write_message(stream, "HTTP/1.1 421 S", &headers, b"").is_ok();
        }
        *self.cluster.runs.lock().expect("not poisoned").entry(id.clone()).or_default() += 1;
        self.record.line(&format!("runner {}: runs {id}", self.id));
        self.lock().running += 1;
        thread::sleep(self.work);
        self.lock().running -= 1;
        let headers = [("X-Request-Id", id.as_str()), ("X-Response-Stamp", "stamp"), ("Content-Type", "text/plain")];
        let body = format!("the bytes of {id}");
        let is_written = write_message(stream, "HTTP/1.1 200 OK", &headers, body.as_bytes()).is_ok();
        self.record.line(&format!("runner {}: answered {id}, written: {is_written}", self.id));
        is_written
    }
}
