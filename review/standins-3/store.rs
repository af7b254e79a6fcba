//! Stand-in of the platform's store, as PROTOCOL.md describes it.

use crate::{
    http::{self, Message},
    json::{Json, from_base64, to_base64},
};
use std::{
    collections::{BTreeMap, HashMap},
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// Key, revision, and the item unless it was deleted.
    events: Vec<(String, i64, Option<Item>)>,
    /// End and time to live of each lease.
    leases: HashMap<i64, (Instant, Duration)>,
    last_lease: i64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((key.to_owned(), self.revision, Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((key.to_owned(), self.revision, None));
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.delete(key));
        }
    }
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

fn item_json(key: &str, item: &Item) -> Json {
    Json::Obj(vec![
        ("Key".into(), Json::str(key)),
        ("Value".into(), Json::Str(to_base64(item.value.as_bytes()))),
        ("Revision".into(), Json::Int(item.revision)),
        ("CreatedRev".into(), Json::Int(item.created)),
        ("Lease".into(), Json::Int(item.lease)),
    ])
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("bound"),
            state: Mutex::new(State { revision: 100, ..State::default() }),
            changed: Condvar::new(),
        });
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            let mut state = expiring.state.lock().unwrap();
            let now = Instant::now();
            let ended: Vec<i64> = state
                .leases
                .iter()
                .filter(|(_, (end, _))| *end <= now)
                .map(|(lease, _)| *lease)
                .collect();
            ended.iter().for_each(|lease| state.end_lease(*lease));
            if !ended.is_empty() {
                expiring.changed.notify_all();
            }
        });
        store
    }

    /// Writes a key without a condition, as the operator and the runners do.
    pub fn put(&self, key: &str, value: &Json) -> i64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, value.to_string(), 0);
        self.changed.notify_all();
        state.revision
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.delete(key);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket can be cloned");
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = "Content-Type: application/json\r\n";
            if http::reply(&mut writer, status, headers, body.to_string().as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Json) {
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let path = request.path();
        match (request.method(), path) {
            ("GET", "/kv-key") => {
                let state = self.state.lock().unwrap();
                let key = request.query("Key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, Json::Obj(vec![])),
                }
            }
            ("GET", "/kv-range") => self.range(request),
            ("GET", "/kv-watch") => self.watch(request),
            ("POST", "/kv-txn") => self.transact(&body),
            ("POST", "/kv-lease") => {
                let mut state = self.state.lock().unwrap();
                let ttl = Duration::from_millis(body.get("TtlMs").int().max(1_000) as u64);
                state.last_lease += 1;
                let lease = 77_000 + state.last_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, lease_json(lease, ttl))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path["/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        (200, lease_json(lease, *ttl))
                    }
                    None => (404, Json::Obj(vec![])),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                let known = state.leases.contains_key(&lease);
                state.end_lease(lease);
                self.changed.notify_all();
                (if known { 200 } else { 404 }, Json::Obj(vec![]))
            }
            _ => (404, Json::Obj(vec![])),
        }
    }

    fn range(&self, request: &Message) -> (u16, Json) {
        let state = self.state.lock().unwrap();
        let prefix = request.query("Prefix").unwrap_or_default();
        let after = request.query("After").unwrap_or_default();
        let found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items = found.map(|(key, item)| item_json(key, item)).collect();
        let page = vec![
            ("Items".into(), Json::Arr(items)),
            ("MorePages".into(), Json::Bool(false)),
            ("CurrentRev".into(), Json::Int(state.revision)),
        ];
        (200, Json::Obj(page))
    }

    fn watch(&self, request: &Message) -> (u16, Json) {
        let prefix = request.query("Prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|text| text.parse::<i64>().ok());
        let after = number("After").unwrap_or(0);
        let wait = Duration::from_millis(number("WaitMs").unwrap_or(0).clamp(0, 30_000) as u64);
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<Json> = state
                .events
                .iter()
                .filter(|(key, revision, _)| *revision > after && key.starts_with(&prefix))
                .map(|(key, revision, item)| match item {
                    Some(item) => item_json(key, item),
                    None => Json::Obj(vec![
                        ("Key".into(), Json::str(key)),
                        ("Revision".into(), Json::Int(*revision)),
                        ("Deleted".into(), Json::Bool(true)),
                    ]),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let answer = vec![
                    ("events".into(), Json::Arr(events)),
                    ("CurrentRev".into(), Json::Int(state.revision)),
                ];
                return (200, Json::Obj(answer));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, Json) {
        let mut state = self.state.lock().unwrap();
        let rows = body.get("Expected").items();
        let holds = rows.iter().all(|row| {
            let revision = state.items.get(row.get("Key").text()).map_or(0, |item| item.revision);
            revision == row.get("Revision").int()
        });
        if !holds {
            let known = rows.iter().filter_map(|row| {
                let key = row.get("Key").text();
                state.items.get(key).map(|item| item_json(key, item))
            });
            return (412, Json::Obj(vec![("Items".into(), Json::Arr(known.collect()))]));
        }
        for put in body.get("Puts").items() {
            let lease = put.get("Lease").int();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, Json::Obj(vec![]));
            }
            let key = put.get("Key").text();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, Json::Obj(vec![]));
            }
        }
        state.revision += 1;
        for put in body.get("Puts").items() {
            let value = String::from_utf8_lossy(&from_base64(put.get("Value").text())).into_owned();
            state.put(put.get("Key").text(), value, put.get("Lease").int());
        }
        for key in body.get("Deletes").items() {
            state.delete(key.text());
        }
        self.changed.notify_all();
        (200, Json::Obj(vec![("Revision".into(), Json::Int(state.revision))]))
    }
}

fn lease_json(lease: i64, ttl: Duration) -> Json {
    Json::Obj(vec![
        ("Lease".into(), Json::Int(lease)),
        ("TtlMs".into(), Json::Int(ttl.as_millis() as i64)),
    ])
}
