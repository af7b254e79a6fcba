//! Stand-in of a runner, as PROTOCOL.md and the news pages describe it.

use crate::base::{quote, Conn, Head, J};
use crate::store::Store;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time for which a runner is down after a crash.
const DOWN_FOR: Duration = Duration::from_secs(3);

/// What a runner saw, in the order in which it saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub runner: String,
    pub id: String,
    pub what: String,
}

#[derive(Default)]
pub struct Journal(pub Mutex<Vec<Seen>>);

impl Journal {
    pub fn add(&self, runner: &str, id: &str, what: &str) {
        let seen = Seen {
            at: Instant::now(),
            runner: runner.into(),
            id: id.into(),
            what: what.into(),
        };
        self.0.lock().unwrap().push(seen);
    }
    pub fn all(&self) -> Vec<Seen> {
        self.0.lock().unwrap().clone()
    }
}

#[derive(Clone, Debug)]
pub struct Member {
    pub group: String,
    pub epoch: i64,
    pub model: String,
    pub members: Vec<String>,
    pub state: &'static str,
}

#[derive(Default)]
struct State {
    born: u64,
    seq: u64,
    draining: bool,
    /// Its entry was taken out: it writes none any more.
    is_gone: bool,
    staged: Vec<String>,
    last_model: Option<String>,
    highest_epoch: i64,
    member: Option<Member>,
}

/// How it works on requests.
#[derive(Clone)]
pub struct Kind {
    pub service: String,
    /// Fabric domain, of a model runner.
    pub domain: Option<String>,
    pub zone: String,
    pub slots: u32,
    /// Work of a plain request.
    pub work: Duration,
    /// Time between the events of a stream.
    pub gap: Duration,
    /// Time from the request to the first event.
    pub first: Duration,
    pub load: Duration,
    pub warm: Duration,
}

pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub kind: Kind,
    store: Arc<Store>,
    pub journal: Arc<Journal>,
    state: Mutex<State>,
    pub is_alive: AtomicBool,
    /// True while it is partitioned from the store.
    pub is_cut: AtomicBool,
    /// Part of prompts that crashes it, if any.
    pub bad_part: Mutex<Option<String>>,
    /// Time from the first event to the crash.
    pub crash_after: Mutex<Duration>,
    connections: Mutex<Vec<TcpStream>>,
    life: AtomicU64,
    pub running: AtomicU64,
    pub others: Mutex<Vec<Arc<Runner>>>,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

impl Runner {
    pub fn start(id: &str, kind: Kind, store: &Arc<Store>, journal: &Arc<Journal>) -> Arc<Runner> {
        let listener = TcpListener::bind(crate::base::free_address()).expect("bind a runner");
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            kind,
            store: store.clone(),
            journal: journal.clone(),
            state: Mutex::new(State {
                born: unix_ms(),
                ..State::default()
            }),
            is_alive: AtomicBool::new(true),
            is_cut: AtomicBool::new(false),
            bad_part: Mutex::new(None),
            crash_after: Mutex::default(),
            connections: Mutex::default(),
            life: AtomicU64::new(0),
            running: AtomicU64::new(0),
            others: Mutex::default(),
        });
        runner.clone().listen(listener);
        let beating = runner.clone();
        thread::spawn(move || beating.beat());
        runner.write_entry();
        runner
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("set non-blocking");
        let life = self.life.load(Ordering::SeqCst);
        thread::spawn(move || {
            while self.life.load(Ordering::SeqCst) == life {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(clone) = stream.try_clone() {
                            self.connections.lock().unwrap().push(clone);
                        }
                        let this = self.clone();
                        thread::spawn(move || this.serve(stream, life));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Writes its entry every 1.2 s (`HeartbeatMs`).
    fn beat(self: Arc<Self>) {
        loop {
            thread::sleep(Duration::from_millis(1_200));
            if self.is_alive.load(Ordering::SeqCst) {
                self.write_entry();
            }
        }
    }

    pub fn write_entry(&self) {
        if self.is_cut.load(Ordering::SeqCst) {
            return;
        }
        let entry = {
            let state = self.state.lock().unwrap();
            if state.is_gone {
                return;
            }
            let fields = self.assignment(&state);
            let domain = self
                .kind
                .domain
                .as_ref()
                .map_or(String::new(), |d| format!("\"Domain\":{},", quote(d)));
            format!(
                "{{\"Service\":{},\"Address\":\"{}\",\"Zone\":{},\"Version\":\"v1\",\"Slots\":{},\"State\":\"{}\",\"ColdLeftMs\":0,{domain}\"Phase\":\"unified\",\"born\":{},\"Seq\":{},{fields}}}",
                quote(&self.kind.service), self.address, quote(&self.kind.zone), self.kind.slots,
                if state.draining { "draining" } else { "ready" }, state.born, state.seq,
            )
        };
        self.store.put_entry(&self.id, &entry);
    }

    fn assignment(&self, state: &State) -> String {
        let staged: Vec<String> = state.staged.iter().map(|m| quote(m)).collect();
        let staged = format!("\"Staged\":[{}]", staged.join(","));
        match &state.member {
            None => format!("\"Models\":[],{staged}"),
            Some(m) => {
                let rank = m.members.iter().position(|id| *id == self.id).unwrap_or(0);
                format!(
                    "\"Models\":[{{\"Name\":{},\"Version\":1,\"Adapters\":[]}}],{staged},\"group\":{{\"Name\":{},\"epoch\":{},\"rank\":{rank},\"State\":\"{}\"}}",
                    quote(&m.model), quote(&m.group), m.epoch, m.state,
                )
            }
        }
    }

    pub fn member(&self) -> Option<Member> {
        self.state.lock().unwrap().member.clone()
    }

    /// True if it is the head of a group that takes requests.
    pub fn is_open(&self) -> bool {
        self.member()
            .is_some_and(|m| m.state == "open" && m.members[0] == self.id)
    }

    /// Leaves without a word: its entry is taken out, and it serves on.
    pub fn leave_unannounced(&self) {
        self.state.lock().unwrap().is_gone = true;
        self.store.delete(&format!("servers/{}", self.id));
    }

    /// Crashes: all connections end, and new ones are refused.
    pub fn crash(&self) {
        self.is_alive.store(false, Ordering::SeqCst);
        self.life.fetch_add(1, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.journal.add(&self.id, "", "crashed");
    }

    /// Starts again under its id, knowing nothing of before.
    pub fn restart(self: &Arc<Self>) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        };
        {
            let mut state = self.state.lock().unwrap();
            let staged = std::mem::take(&mut state.staged);
            *state = State {
                born: unix_ms(),
                staged,
                ..State::default()
            };
        }
        self.running.store(0, Ordering::SeqCst);
        self.is_alive.store(true, Ordering::SeqCst);
        self.clone().listen(listener);
        self.write_entry();
        self.journal.add(&self.id, "", "is back");
    }

    fn is_in(&self, life: u64) -> bool {
        self.life.load(Ordering::SeqCst) == life
    }

    fn serve(self: Arc<Self>, stream: TcpStream, life: u64) {
        let mut conn = Conn::new(stream);
        while let Some(head) = conn.head() {
            let Some(body) = conn.body(&head, false) else {
                return;
            };
            if !self.is_in(life) {
                return;
            }
            let expected = head.get("x-expect-instance");
            let path = head.path().split('?').next().unwrap_or("").to_owned();
            if expected.is_some_and(|id| id != self.id) {
                let id = echo(&head);
                let headers = format!("{id}X-Instance-Id: {}\r\nX-Not-Run: 1\r\n", self.id);
                if !conn.json(421, &headers, "{}") {
                    return;
                }
                continue;
            }
            let goes_on = match (head.method(), path.as_str()) {
                ("GET", "/report") => self.report(&mut conn),
                ("POST", "/order") => self.order(&mut conn, &String::from_utf8_lossy(&body)),
                ("GET", "/healthz") => {
                    conn.json(200, &format!("X-Instance-Id: {}\r\n", self.id), "{}")
                }
                _ if self.kind.domain.is_some() => self.generate(&mut conn, &head, life),
                _ => self.work(&mut conn, &head, life),
            };
            if !goes_on {
                return;
            }
        }
    }

    fn report(&self, conn: &mut Conn) -> bool {
        let state = self.state.lock().unwrap();
        let text = format!(
            "{{\"Phase\":\"unified\",\"born\":{},\"Busy\":false,\"Seq\":{},\"Queued\":0,\"Running\":{},\"KvUsed\":0,\"KvTotal\":2470000,\"Handles\":0,\"pace\":1.0,{}}}",
            state.born, state.seq, self.running.load(Ordering::SeqCst), self.assignment(&state),
        );
        drop(state);
        conn.json(200, &format!("X-Instance-Id: {}\r\n", self.id), &text)
    }

    /// Headers that stand in all its answers to requests.
    fn notes(&self, head: &Head) -> String {
        let running = self.running.load(Ordering::SeqCst);
        format!(
            "{}X-Instance-Id: {}\r\nX-Server-Load: {running},0,{}\r\n",
            echo(head),
            self.id,
            self.kind.slots
        )
    }

    fn work(&self, conn: &mut Conn, head: &Head, life: u64) -> bool {
        let id = head.get("x-request-id").unwrap_or("").to_owned();
        self.journal.add(&self.id, &id, "runs");
        self.running.fetch_add(1, Ordering::SeqCst);
        thread::sleep(self.kind.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if !self.is_in(life) {
            return false;
        }
        let headers = format!("{}X-Response-Stamp: {}.{id}\r\n", self.notes(head), self.id);
        conn.json(
            200,
            &headers,
            &format!("{{\"from\":\"{}\",\"id\":\"{id}\"}}", self.id),
        )
    }

    fn generate(self: &Arc<Self>, conn: &mut Conn, head: &Head, life: u64) -> bool {
        let id = head.get("x-request-id").unwrap_or("").to_owned();
        if !self.is_open() {
            let headers = format!(
                "{}At-Server: {}\r\nX-Not-Run: 1\r\n",
                self.notes(head),
                self.id
            );
            return conn.json(421, &headers, "{}");
        }
        if self.running.load(Ordering::SeqCst) >= u64::from(self.kind.slots) {
            let headers = format!("{}X-Not-Run: 1\r\n", self.notes(head));
            return conn.json(503, &headers, "{}");
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        self.journal.add(&self.id, &id, "reached");
        let goes_on = self.write_events(conn, head, &id, life);
        if self.is_in(life) {
            self.running.fetch_sub(1, Ordering::SeqCst);
        }
        self.journal.add(&self.id, &id, "ended");
        goes_on
    }

    fn write_events(self: &Arc<Self>, conn: &mut Conn, head: &Head, id: &str, life: u64) -> bool {
        if !self.wait(conn, self.kind.first, life) {
            return false;
        }
        self.journal.add(&self.id, id, "runs");
        let parts = head.get("x-prompt-prefix").unwrap_or("").to_owned();
        let bad = self.bad_part.lock().unwrap().clone();
        if bad.is_some_and(|bad| {
            parts
                .split(',')
                .any(|part| part.split(':').next() == Some(&bad))
        }) {
            let delay = *self.crash_after.lock().unwrap();
            self.crash_later(id, life, delay);
            if delay.is_zero() {
                return false;
            }
        }
        let headers = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}X-Response-Stamp: {}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.notes(head), self.id
        );
        if !conn.send(&headers) {
            return false;
        }
        let from: u32 = head
            .get("last-event-id")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let tokens = head
            .get("x-token-count")
            .and_then(|v| v.split(',').nth(1)?.parse().ok());
        let events = tokens
            .unwrap_or(crate::site::LONG)
            .div_ceil(crate::site::EVENT);
        for number in from + 1..=events {
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            if !self.is_in(life) || !conn.send(&format!("{:x}\r\n{event}\r\n", event.len())) {
                return false;
            }
            if number < events && !self.wait(conn, self.kind.gap, life) {
                return false;
            }
        }
        conn.send("0\r\n\r\n")
    }

    /// Crashes after a time, and starts again after another one.
    fn crash_later(self: &Arc<Self>, id: &str, life: u64, delay: Duration) {
        let (this, id) = (self.clone(), id.to_owned());
        let crash = move || {
            thread::sleep(delay);
            if !this.is_in(life) {
                return;
            }
            this.journal.add(&this.id, &id, "crashes on it");
            this.crash();
            thread::spawn(move || {
                thread::sleep(DOWN_FOR);
                this.restart();
            });
        };
        match delay.is_zero() {
            true => crash(),
            false => drop(thread::spawn(crash)),
        }
    }

    /// Works for a time; false if the caller has left or it has crashed.
    fn wait(&self, conn: &mut Conn, time: Duration, life: u64) -> bool {
        let until = Instant::now() + time;
        loop {
            if !self.is_in(life) || conn.is_closed() {
                return false;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            thread::sleep(left.min(Duration::from_millis(10)));
        }
    }

    fn order(self: &Arc<Self>, conn: &mut Conn, body: &str) -> bool {
        let Some(order) = J::parse(body) else {
            return conn.json(400, "", "{}");
        };
        let op = order.get("Op").str().to_owned();
        let epoch = order.get("epoch").num() as i64;
        let group = order.get("group").str().to_owned();
        let (status, note) = self.carry_out(&order, &op, &group, epoch);
        let members: Vec<&str> = order.get("Members").arr().iter().map(J::str).collect();
        self.journal.add(
            &self.id,
            "",
            &format!("order {op} {group} epoch {epoch} {members:?}: {status}{note}"),
        );
        self.write_entry();
        conn.json(status, &format!("X-Instance-Id: {}\r\n", self.id), "{}")
    }

    fn carry_out(self: &Arc<Self>, order: &J, op: &str, group: &str, epoch: i64) -> (u16, String) {
        let none = String::new();
        let mut state = self.state.lock().unwrap();
        let is_own = state
            .member
            .as_ref()
            .is_some_and(|m| m.group == group && m.epoch == epoch);
        match op {
            "join" => {
                let members: Vec<String> = order
                    .get("Members")
                    .arr()
                    .iter()
                    .map(|m| m.str().to_owned())
                    .collect();
                if is_own {
                    let same = state.member.as_ref().is_some_and(|m| m.members == members);
                    return (if same { 200 } else { 412 }, none);
                }
                if epoch < state.highest_epoch {
                    return (412, none);
                }
                let before = state.member.clone();
                drop(state);
                let head = before.as_ref().map(|m| m.members[0].clone());
                let head_is_open = before.as_ref().is_some_and(|m| self.head_is_open(m));
                let mut state = self.state.lock().unwrap();
                state.highest_epoch = epoch;
                let model = order.get("Model").str().to_owned();
                let time = if state.last_model.as_ref() == Some(&model) {
                    Duration::from_millis(200)
                } else if state.staged.contains(&model) {
                    self.kind.warm
                } else {
                    self.kind.load
                };
                state.last_model = Some(model.clone());
                state.staged = vec![model.clone()];
                state.seq += 1;
                state.member = Some(Member {
                    group: group.into(),
                    epoch,
                    model,
                    members,
                    state: "joining",
                });
                let (this, life, group) = (
                    self.clone(),
                    self.life.load(Ordering::SeqCst),
                    group.to_owned(),
                );
                thread::spawn(move || {
                    thread::sleep(time);
                    this.advance(life, &group, epoch, "joining", "ready");
                });
                let note = if head_is_open {
                    format!(
                        " TWO: its group's head {} is open",
                        head.unwrap_or_default()
                    )
                } else {
                    none
                };
                (202, note)
            }
            "Phase" => {
                let model = order.get("Model").str().to_owned();
                if state.staged.contains(&model) {
                    return (200, none);
                }
                state.seq += 1;
                let (this, life, time) = (
                    self.clone(),
                    self.life.load(Ordering::SeqCst),
                    self.kind.load,
                );
                thread::spawn(move || {
                    thread::sleep(time);
                    if this.is_in(life) {
                        this.state.lock().unwrap().staged = vec![model];
                        this.write_entry();
                    }
                });
                (202, none)
            }
            "open" | "close" | "leave" if !is_own => (409, none),
            "leave" => {
                state.seq += 1;
                state.member = None;
                (202, none)
            }
            "open" => {
                let member = state.member.as_mut().expect("checked");
                let is_head = member.members[0] == self.id;
                match member.state {
                    "open" if is_head => (200, none),
                    "ready" if is_head => {
                        state.seq += 1;
                        let (this, life, group) = (
                            self.clone(),
                            self.life.load(Ordering::SeqCst),
                            group.to_owned(),
                        );
                        thread::spawn(move || {
                            thread::sleep(Duration::from_millis(300));
                            this.advance(life, &group, epoch, "ready", "open");
                        });
                        (202, none)
                    }
                    _ => (409, none),
                }
            }
            "close" => {
                let cut = order.get("Mode").str() == "cut";
                let member = state.member.as_mut().expect("checked");
                match member.state {
                    "ready" => (200, none),
                    "open" | "closing" => {
                        member.state = if cut { "ready" } else { "closing" };
                        state.seq += 1;
                        let (this, life, group) = (
                            self.clone(),
                            self.life.load(Ordering::SeqCst),
                            group.to_owned(),
                        );
                        thread::spawn(move || {
                            while this.is_in(life) && this.running.load(Ordering::SeqCst) > 0 {
                                thread::sleep(Duration::from_millis(10));
                            }
                            this.advance(life, &group, epoch, "closing", "ready");
                        });
                        (202, none)
                    }
                    _ => (409, none),
                }
            }
            _ => (400, none),
        }
    }

    fn head_is_open(&self, member: &Member) -> bool {
        let is_open = |m: Option<Member>| {
            m.is_some_and(|m| {
                m.group == member.group
                    && m.epoch == member.epoch
                    && matches!(m.state, "open" | "closing")
            })
        };
        if member.members[0] == self.id {
            return is_open(self.member());
        }
        let others = self.others.lock().unwrap().clone();
        let head = others.iter().find(|r| r.id == member.members[0]);
        head.is_some_and(|head| head.is_alive.load(Ordering::SeqCst) && is_open(head.member()))
    }

    fn advance(&self, life: u64, group: &str, epoch: i64, from: &str, to: &'static str) {
        if !self.is_in(life) {
            return;
        }
        {
            let mut state = self.state.lock().unwrap();
            let Some(member) = state.member.as_mut() else {
                return;
            };
            if member.group != group || member.epoch != epoch || member.state != from {
                return;
            }
            member.state = to;
        }
        self.journal
            .add(&self.id, "", &format!("is {to} in {group} epoch {epoch}"));
        self.write_entry();
    }
}

fn echo(head: &Head) -> String {
    head.get("x-request-id")
        .map_or(String::new(), |id| format!("X-Request-Id: {id}\r\n"))
}
