//! Stand-in of the platform's store, as PROTOCOL.md and the news pages describe it.

use crate::base::{b64, quote, Conn, Head, J};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Item {
    pub value: String,
    pub revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Clone, Default)]
pub struct State {
    pub items: BTreeMap<String, Item>,
    events: Vec<(String, i64, Option<Item>)>,
    pub revision: i64,
    leases: BTreeMap<i64, (u64, Instant)>,
    last_lease: i64,
    era: u64,
    down: bool,
    /// Rises whenever open calls are to be cut.
    cuts: u64,
    /// Last sign of each runner.
    signs: BTreeMap<String, Instant>,
}

impl State {
    fn change(&mut self, key: &str, item: Option<Item>) {
        self.events
            .push((key.to_owned(), self.revision, item.clone()));
        match item {
            Some(item) => self.items.insert(key.to_owned(), item),
            None => self.items.remove(key),
        };
    }
    fn write(&mut self, key: &str, value: &str, lease: i64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value: b64(value.as_bytes()),
            revision: self.revision,
            created,
            lease,
        };
        self.change(key, Some(item));
    }
    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == id)
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.change(key, None));
    }
}

pub struct Store {
    pub state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddr,
}

/// Three ping intervals of silence.
const SILENCE: Duration = Duration::from_millis(3_600);

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind(crate::base::free_address()).expect("bind the store");
        let store = Arc::new(Store {
            state: Mutex::new(State {
                revision: 100,
                era: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            address: listener.local_addr().expect("an address"),
        });
        let (accepting, expiring) = (store.clone(), store.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            expiring.expire();
        });
        store
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        if state.down {
            return;
        }
        let now = Instant::now();
        let over: Vec<i64> = state
            .leases
            .iter()
            .filter(|(_, (_, at))| *at <= now)
            .map(|(id, _)| *id)
            .collect();
        over.iter().for_each(|id| state.end_lease(*id));
        let silent: Vec<String> = state
            .signs
            .iter()
            .filter(|(_, at)| now.duration_since(**at) >= SILENCE)
            .map(|(k, _)| k.clone())
            .collect();
        for key in silent {
            state.signs.remove(&key);
            if state.items.contains_key(&key) {
                state.revision += 1;
                state.change(&key, None);
            }
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.down {
            return false;
        }
        state.revision += 1;
        state.write(key, value, 0);
        drop(state);
        self.changed.notify_all();
        true
    }

    /// Writes a runner's entry, which is also a sign of it.
    pub fn put_entry(&self, id: &str, value: &str) -> bool {
        let key = format!("servers/{id}");
        if !self.put(&key, value) {
            return false;
        }
        self.state.lock().unwrap().signs.insert(key, Instant::now());
        true
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.signs.remove(key);
        if !state.down && state.items.contains_key(key) {
            state.revision += 1;
            state.change(key, None);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Takes the store away: open calls are cut, new ones too.
    pub fn set_down(&self, down: bool) {
        let mut state = self.state.lock().unwrap();
        state.down = down;
        state.cuts += 1;
        drop(state);
        self.changed.notify_all();
    }

    pub fn copy(&self) -> State {
        self.state.lock().unwrap().clone()
    }

    /// Comes back from an older copy; leases of the copy begin anew.
    pub fn restore(&self, copy: State) {
        let mut state = self.state.lock().unwrap();
        let (era, cuts) = (state.era + 1, state.cuts + 1);
        *state = copy;
        state.era = era;
        state.cuts = cuts;
        state.down = false;
        let now = Instant::now();
        state
            .leases
            .values_mut()
            .for_each(|(ttl, at)| *at = now + Duration::from_millis(*ttl));
        let keys: Vec<String> = state
            .items
            .keys()
            .filter(|k| k.starts_with("servers/"))
            .cloned()
            .collect();
        state.signs = keys.into_iter().map(|key| (key, now)).collect();
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Some(head) = conn.head() {
            let Some(body) = conn.body(&head, false) else {
                return;
            };
            let body = String::from_utf8_lossy(&body).into_owned();
            if !self.answer(&mut conn, &head, &body) {
                return;
            }
        }
    }

    fn answer(&self, conn: &mut Conn, head: &Head, body: &str) -> bool {
        let path = head.path().split('?').next().unwrap_or("").to_owned();
        if self.state.lock().unwrap().down {
            return false;
        }
        let (status, text, era) = match (head.method(), path.as_str()) {
            ("GET", "/kv-watch") => match self.watch(head) {
                Some(answer) => answer,
                None => return false,
            },
            (method, path) => {
                let mut state = self.state.lock().unwrap();
                let (status, text) = call(&mut state, method, path, head, body);
                let era = state.era;
                drop(state);
                self.changed.notify_all();
                (status, text, era)
            }
        };
        conn.json(status, &format!("Store-Era: {era}\r\n"), &text)
    }

    fn watch(&self, head: &Head) -> Option<(u16, String, u64)> {
        let prefix = head.query("Prefix").unwrap_or_default();
        let after: i64 = head
            .query("After")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let wait: u64 = head
            .query("WaitMs")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        let cuts = state.cuts;
        loop {
            if state.down || state.cuts != cuts {
                return None;
            }
            if after > state.revision {
                return Some((410, "{}".into(), state.era));
            }
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(key, revision, _)| *revision > after && key.starts_with(&prefix))
                .map(|(key, revision, item)| match item {
                    Some(item) => item_json(key, item),
                    None => format!(
                        "{{\"Key\":{},\"Revision\":{revision},\"Deleted\":true}}",
                        quote(key)
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let text = format!(
                    "{{\"events\":[{}],\"CurrentRev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return Some((200, text, state.era));
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":{},\"Value\":\"{}\",\"Revision\":{},\"CreatedRev\":{},\"Lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn call(state: &mut State, method: &str, path: &str, head: &Head, body: &str) -> (u16, String) {
    match (method, path) {
        ("GET", "/kv-key") => {
            let key = head.query("Key").unwrap_or_default();
            match state.items.get(&key) {
                Some(item) => (200, item_json(&key, item)),
                None => (404, "{}".into()),
            }
        }
        ("GET", "/kv-range") => {
            let prefix = head.query("Prefix").unwrap_or_default();
            let after = head.query("After").unwrap_or_default();
            let found: Vec<(&String, &Item)> = state
                .items
                .iter()
                .filter(|(k, _)| k.starts_with(&prefix) && **k > after)
                .collect();
            let more = found.len() > 500;
            let items: Vec<String> = found
                .iter()
                .take(500)
                .map(|(k, i)| item_json(k, i))
                .collect();
            (
                200,
                format!(
                    "{{\"Items\":[{}],\"MorePages\":{more},\"CurrentRev\":{}}}",
                    items.join(","),
                    state.revision
                ),
            )
        }
        ("POST", "/kv-txn") => {
            let Some(txn) = J::parse(body) else {
                return (400, "{}".into());
            };
            let mut items = Vec::new();
            let mut holds = true;
            for row in txn.get("Expected").arr() {
                let key = row.get("Key").str();
                let current = state.items.get(key);
                holds &=
                    current.map_or(0, |item| item.revision) == row.get("Revision").num() as i64;
                items.extend(current.map(|item| item_json(key, item)));
            }
            if !holds {
                return (412, format!("{{\"Items\":[{}]}}", items.join(",")));
            }
            for put in txn.get("Puts").arr() {
                let lease = put.get("Lease").num() as i64;
                if lease != 0 && !state.leases.contains_key(&lease) {
                    return (404, "{}".into());
                }
            }
            state.revision += 1;
            for put in txn.get("Puts").arr() {
                let value = unb64(put.get("Value").str());
                state.write(put.get("Key").str(), &value, put.get("Lease").num() as i64);
            }
            for key in txn.get("Deletes").arr() {
                state.change(key.str(), None);
            }
            (200, format!("{{\"Revision\":{}}}", state.revision))
        }
        ("POST", "/kv-lease") => {
            let ttl = J::parse(body)
                .map_or(0, |b| b.get("TtlMs").num() as u64)
                .clamp(1_000, 600_000);
            state.last_lease += 1;
            let id = 7_000 + state.last_lease;
            state
                .leases
                .insert(id, (ttl, Instant::now() + Duration::from_millis(ttl)));
            (200, format!("{{\"Lease\":{id},\"TtlMs\":{ttl}}}"))
        }
        ("POST", path) if path.starts_with("/kv-keep/") => {
            let id = path[9..].parse().unwrap_or(0);
            match state.leases.get_mut(&id) {
                Some((ttl, at)) => {
                    *at = Instant::now() + Duration::from_millis(*ttl);
                    (200, format!("{{\"TtlMs\":{ttl}}}"))
                }
                None => (404, "{}".into()),
            }
        }
        ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
            state.end_lease(path[14..].parse().unwrap_or(0));
            (200, "{}".into())
        }
        _ => (404, "{}".into()),
    }
}

fn unb64(text: &str) -> String {
    let mut out = Vec::new();
    let mut bits = 0u32;
    let mut n = 0;
    for c in text.bytes() {
        let v = match c {
            b'A'..=b'Z' => c - b'A',
            b'a'..=b'z' => c - b'a' + 26,
            b'0'..=b'9' => c - b'0' + 52,
            b'+' => 62,
            b'/' => 63,
            _ => continue,
        };
        bits = bits << 6 | v as u32;
        n += 6;
        if n >= 8 {
            n -= 8;
            out.push((bits >> n) as u8);
            bits &= (1 << n) - 1;
        }
    }
    String::from_utf8(out).unwrap_or_default()
}
