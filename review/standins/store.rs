//! Stand-in of the platform's store, as PROTOCOL.md describes it.
//!
//! It also plays the platform's part of the runners' registration: an entry of a runner is
//! removed after three ping intervals of silence.

use crate::{
    http::{self, Message, write_json},
    json::{Json, object},
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// `HeartbeatMs` of the site.
pub const PING: Duration = Duration::from_millis(1_200);

/// `HistoryS` of the site.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

struct Event {
    at: Instant,
    key: String,
    revision: i64,
    /// None if the key was deleted.
    item: Option<Item>,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: i64,
    events: Vec<Event>,
    /// Revision up to which the history is gone.
    forgotten: i64,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
    /// Last ping of each runner.
    pings: BTreeMap<String, Instant>,
    /// How often the store has come back from a copy.
    era: u64,
    /// True while the store is away.
    is_away: bool,
}

/// Copy of what the store holds.
pub struct Copy {
    items: BTreeMap<String, Item>,
    revision: i64,
    last_lease: i64,
    /// Length of each lease, and what was left of it.
    leases: BTreeMap<i64, (Duration, Duration)>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let mut state = State::default();
        state.revision = 10;
        state.forgotten = 10;
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let served = store.clone();
        http::serve(listener, move |request, stream| served.answer(request, stream));
        let kept = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                kept.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("not poisoned")
    }

    /// Writes a key for the operator or a runner.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    /// Records a ping of a runner, and writes its entry if it has changed.
    pub fn ping(&self, id: &str, entry: &str) {
        let key = format!("servers/{id}");
        let mut state = self.lock();
        state.pings.insert(key.clone(), Instant::now());
        if state.is_away {
            return;
        }
        let value = base64(entry.as_bytes());
        let is_same = state.items.get(&key).is_some_and(|item| item.value == value);
        if !is_same {
            state.put(&key, value, 0);
            self.state.1.notify_all();
        }
    }

    /// Returns true if a key is there.
    pub fn has(&self, key: &str) -> bool {
        self.lock().items.contains_key(key)
    }

    pub fn value(&self, key: &str) -> String {
        let state = self.lock();
        state.items.get(key).map_or(String::new(), |item| unbase64(&item.value))
    }

    /// Makes a copy.
    pub fn copy(&self) -> Copy {
        let state = self.lock();
        let now = Instant::now();
        let left = |lease: &Lease| (lease.ttl, lease.ends.saturating_duration_since(now));
        Copy {
            items: state.items.clone(),
            revision: state.revision,
            last_lease: state.last_lease,
            leases: state.leases.iter().map(|(id, lease)| (*id, left(lease))).collect(),
        }
    }

    /// Takes the store away: its calls are answered 503.
    pub fn go_away(&self) {
        self.lock().is_away = true;
        self.state.1.notify_all();
    }

    /// Brings the store back from a copy, in a new era. What was written since is gone until it is
    /// written again.
    pub fn come_back(&self, copy: &Copy) {
        let mut state = self.lock();
        let now = Instant::now();
        state.items = copy.items.clone();
        state.revision = copy.revision;
        state.last_lease = copy.last_lease;
        state.events.clear();
        state.forgotten = copy.revision;
        let leases = copy.leases.iter();
        state.leases = leases.map(|(id, (ttl, left))| (*id, Lease { ttl: *ttl, ends: now + *left })).collect();
        state.era += 1;
        state.is_away = false;
        drop(state);
        self.state.1.notify_all();
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        if state.is_away {
            return;
        }
        let ended: Vec<i64> =
            state.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        for id in &ended {
            state.end_lease(*id);
        }
        let silent: Vec<String> = state
            .pings
            .iter()
            .filter(|(_, at)| now.duration_since(**at) > 3 * PING)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &silent {
            state.pings.remove(key);
            state.delete(key);
        }
        let kept = state.events.iter().position(|event| now.duration_since(event.at) < HISTORY);
        let old = kept.unwrap_or(state.events.len());
        if old > 0 {
            state.forgotten = state.events[old - 1].revision;
            state.events.drain(..old);
        }
        if !ended.is_empty() || !silent.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn answer(&self, request: Message, stream: &mut TcpStream) -> bool {
        let era = self.lock().era.to_string();
        if self.lock().is_away {
            return write_json(stream, 503, &[], "").is_ok();
        }
        let (status, body) = match (request.method(), request.path()) {
            ("GET", "/kv-key") => self.read(&request),
            ("GET", "/kv-range") => self.range(&request),
            ("GET", "/kv-watch") => self.watch(&request),
            ("POST", "/kv-txn") => self.write(&request),
            ("POST", "/kv-lease") => self.grant(&request),
            ("POST", path) if path.starts_with("/kv-keep/") => self.keep(path),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => self.end(path),
            _ => (400, Json::Null),
        };
        let state = self.lock();
        if state.is_away || state.era.to_string() != era {
            // The answer of a call that waited is lost.
            return false;
        }
        drop(state);
        write_json(stream, status, &[("Store-Era", &era)], &body.to_string()).is_ok()
    }

    fn read(&self, request: &Message) -> (u16, Json) {
        let key = request.query("Key");
        let state = self.lock();
        match state.items.get(&key) {
            Some(item) => (200, item_json(&key, item)),
            None => (404, Json::Null),
        }
    }

    fn range(&self, request: &Message) -> (u16, Json) {
        let (prefix, after) = (request.query("Prefix"), request.query("After"));
        let state = self.lock();
        let mut items: Vec<Json> = Vec::new();
        let mut more = false;
        let mut bytes = 0;
        for (key, item) in state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after) {
            if items.len() >= 500 || bytes > 1_000_000 {
                more = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_json(key, item));
        }
        let body = [("Items", Json::List(items)), ("MorePages", more.into()), ("CurrentRev", state.revision.into())];
        (200, object(body))
    }

    fn watch(&self, request: &Message) -> (u16, Json) {
        let prefix = request.query("Prefix");
        let after: i64 = request.query("After").parse().unwrap_or_default();
        let wait: u64 = request.query("WaitMs").parse().unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        loop {
            if after < state.forgotten || after > state.revision {
                return (410, Json::Null);
            }
            let news = state.events.iter().filter(|event| event.revision > after && event.key.starts_with(&prefix));
            let events: Vec<Json> = news.map(event_json).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = [("events", Json::List(events)), ("CurrentRev", state.revision.into())];
                return (200, object(body));
            }
            state = self.state.1.wait_timeout(state, left).expect("not poisoned").0;
        }
    }

    fn write(&self, request: &Message) -> (u16, Json) {
        let body = Json::parse(&request.text());
        let mut state = self.lock();
        let expected = body.get("Expected").list();
        let current = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let holds = expected.iter().all(|row| current(row.get("Key").text()) == row.get("Revision").integer());
        if !holds {
            let keys = expected.iter().map(|row| row.get("Key").text());
            let items = keys.filter_map(|key| Some(item_json(key, state.items.get(key)?)));
            return (412, object([("Items", Json::List(items.collect()))]));
        }
        let puts = body.get("Puts").list();
        let leases = puts.iter().map(|put| put.get("Lease").integer());
        if leases.into_iter().any(|lease| lease != 0 && !state.leases.contains_key(&lease)) {
            return (404, Json::Null);
        }
        for put in puts {
            state.put(put.get("Key").text(), put.get("Value").text().to_owned(), put.get("Lease").integer());
        }
        for key in body.get("Deletes").list() {
            state.delete(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.state.1.notify_all();
        (200, object([("Revision", revision.into())]))
    }

    fn grant(&self, request: &Message) -> (u16, Json) {
        let ttl = Json::parse(&request.text()).get("TtlMs").integer().max(1_000) as u64;
        let mut state = self.lock();
        state.last_lease += 1;
        let id = 77_000 + state.last_lease;
        let ttl = Duration::from_millis(ttl);
        state.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
        (200, object([("Lease", id.into()), ("TtlMs", (ttl.as_millis() as i64).into())]))
    }

    fn keep(&self, path: &str) -> (u16, Json) {
        let id: i64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or_default();
        let mut state = self.lock();
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                (200, object([("TtlMs", (lease.ttl.as_millis() as i64).into())]))
            }
            None => (404, Json::Null),
        }
    }

    fn end(&self, path: &str) -> (u16, Json) {
        let id: i64 = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or_default();
        self.lock().end_lease(id);
        self.state.1.notify_all();
        (200, object([]))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { at: Instant::now(), key: key.to_owned(), revision, item: Some(item) });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.events.push(Event { at: Instant::now(), key: key.to_owned(), revision, item: None });
        }
    }

    fn end_lease(&mut self, id: i64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let attached = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    object([
        ("Key", key.into()),
        ("Value", item.value.as_str().into()),
        ("Revision", item.revision.into()),
        ("CreatedRev", item.created.into()),
        ("Lease", item.lease.into()),
    ])
}

fn event_json(event: &Event) -> Json {
    match &event.item {
        Some(item) => item_json(&event.key, item),
        None => {
            let members = [("Key", event.key.as_str().into()), ("Revision", event.revision.into()), ("Deleted", true.into())];
            object(members)
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = ALPHABET[(bits >> (18 - 6 * index)) as usize & 63];
            out.push(if index > group.len() { '=' } else { char::from(digit) });
        }
    }
    out
}

fn unbase64(text: &str) -> String {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = ALPHABET.iter().position(|known| *known == byte).unwrap_or_default() as u32;
        bits = bits << 6 | digit;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
