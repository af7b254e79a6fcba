//! Fake of the platform's store, in memory.

use super::trouble::{Endless, TroubleCount};
use base64::{Engine as _, engine::general_purpose::STANDARD};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Items on a page of a list, unless a test sets another number.
const PAGE_SIZE: usize = 500;

/// Maximum time that a watch without changes waits; shorter than the daemon asks for.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(300);

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    lease: i64,
}

#[derive(Clone, Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// All changes, in order: the key, the revision, and the item unless it was deleted.
    events: Vec<(String, i64, Option<Item>)>,
    revision: i64,
    /// Revision before which all changes were dropped.
    compacted: i64,
    /// Id of the lease that was granted last.
    last_lease: i64,
    /// Leases that were revoked or have expired.
    ended_leases: BTreeSet<i64>,
    /// Lists and writes so far: the path, and the prefix or the key.
    calls: Vec<(String, String)>,
    /// Renewals of leases and watch calls, in order: the path, and the prefix or the lease.
    contacts: Vec<(String, String)>,
    /// Requested wait of each watch call, in milliseconds, by its prefix.
    waits: BTreeMap<String, Vec<u64>>,
}

/// Fake store.
pub struct Store {
    state: Mutex<State>,
    /// Items on a page of a list.
    page_size: AtomicUsize,
    /// How lists of the runners go wrong, if they do.
    list_trouble: Mutex<Option<ListTrouble>>,
    /// Number of times that an older copy was restored.
    era: AtomicU64,
    /// True while all calls fail without effect.
    is_failing: AtomicBool,
    /// Bytes that it sends in place of responses.
    trouble: Mutex<Option<Endless>>,
    /// Endless responses that it has sent.
    pub troubles: TroubleCount,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            page_size: AtomicUsize::new(PAGE_SIZE),
            list_trouble: Mutex::default(),
            era: AtomicU64::default(),
            is_failing: AtomicBool::default(),
            trouble: Mutex::default(),
            troubles: TroubleCount::default(),
        }
    }
}

/// Ways in which lists don't come to their end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListTrouble {
    /// Each page is the first one.
    Repeated,
    /// Each page after the first one is empty, and says that more follow.
    Empty,
    /// Each page has the items of the first one under new keys.
    Endless,
}

/// Copy of a store's state.
pub struct Copy(State);

impl Store {
    /// Writes a key, as an operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().expect("not poisoned");
        state.put(key, STANDARD.encode(value), 0);
    }

    /// Deletes a key, as the platform does.
    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().expect("not poisoned");
        state.delete(key);
    }

    /// Lets all further calls fail without effect, or no more; waiting watches are cut.
    pub fn set_failing(&self, is_failing: bool) {
        self.is_failing.store(is_failing, Ordering::SeqCst);
    }

    /// Puts this number of items on each page of a list.
    pub fn set_page_size(&self, items: usize) {
        self.page_size.store(items, Ordering::SeqCst);
    }

    /// Lets no list of the runners come to its end, or each does again.
    pub fn set_list_trouble(&self, trouble: Option<ListTrouble>) {
        *self.list_trouble.lock().expect("not poisoned") = trouble;
    }

    /// Sends bytes without end in place of all further responses, or no more.
    pub fn set_trouble(&self, trouble: Option<Endless>) {
        *self.trouble.lock().expect("not poisoned") = trouble;
    }

    /// Returns the bytes that are sent in place of responses.
    pub fn trouble(&self) -> Option<Endless> {
        *self.trouble.lock().expect("not poisoned")
    }

    /// Returns a copy of the state.
    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().expect("not poisoned").clone())
    }

    /// Comes back from an older copy: what was written since is lost, leases too.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.lock().expect("not poisoned");
        let calls = std::mem::take(&mut state.calls);
        *state = copy.0;
        state.calls = calls;
        self.era.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns the header of all responses.
    pub fn response_head(&self) -> String {
        format!("Store-Era: {}\r\n", self.era.load(Ordering::SeqCst))
    }

    /// Returns the value of a key; empty if there is none.
    pub fn value(&self, key: &str) -> String {
        let state = self.state.lock().expect("not poisoned");
        let value = state
            .items
            .get(key)
            .map(|item| STANDARD.decode(&item.value));
        let bytes = value.map(|decoded| decoded.expect("Base64"));
        String::from_utf8(bytes.unwrap_or_default()).expect("text")
    }

    /// Lets the lease expire that a key is attached to.
    pub fn expire_lease_of(&self, key: &str) {
        let mut state = self.state.lock().expect("not poisoned");
        let lease = state.items[key].lease;
        state.revoke(lease);
    }

    /// Returns the revision of a key; 0 if there is none.
    pub fn revision_of(&self, key: &str) -> i64 {
        let state = self.state.lock().expect("not poisoned");
        state.items.get(key).map_or(0, |item| item.revision)
    }

    /// Returns the lease that a key is attached to, as it stands in calls.
    pub fn lease_of(&self, key: &str) -> String {
        let state = self.state.lock().expect("not poisoned");
        state.items[key].lease.to_string()
    }

    /// Drops all changes so far; a watch that needs them must list again.
    pub fn forget_history(&self) {
        let mut state = self.state.lock().expect("not poisoned");
        state.events.clear();
        // Whatever was read before the next change is too old.
        state.revision += 1;
        state.compacted = state.revision;
    }

    /// Returns the keys under a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().expect("not poisoned");
        let keys = state.items.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns the lists and writes so far: the path, and the prefix or the key.
    pub fn calls(&self) -> Vec<(String, String)> {
        let state = self.state.lock().expect("not poisoned");
        state.calls.clone()
    }

    /// Returns the renewals of leases and the watch calls so far, in order: the path, and the prefix
    /// or the lease.
    pub fn contacts(&self) -> Vec<(String, String)> {
        let state = self.state.lock().expect("not poisoned");
        state.contacts.clone()
    }

    /// Returns the requested waits of the watch calls of a prefix, in milliseconds.
    pub fn waits(&self, prefix: &str) -> Vec<u64> {
        let state = self.state.lock().expect("not poisoned");
        state.waits.get(prefix).cloned().unwrap_or_default()
    }

    /// Records the start of a watch call.
    fn record_watch(&self, prefix: &str, wait_ms: u64) {
        let mut state = self.state.lock().expect("not poisoned");
        let waits = state.waits.entry(prefix.to_owned()).or_default();
        waits.push(wait_ms);
        let call = ("/kv-watch".to_owned(), prefix.to_owned());
        state.contacts.push(call);
    }

    /// Returns the response to a call; none while a watch has no changes, unless it is due. What it
    /// says of the revision then must hold at the time at which there were none.
    pub fn respond(
        &self,
        method: &str,
        path: &str,
        query: &str,
        body: &[u8],
        is_due: bool,
    ) -> Option<(u16, Value)> {
        if self.is_failing.load(Ordering::SeqCst) {
            return Some((503, json!({})));
        }
        let mut state = self.state.lock().expect("not poisoned");
        let query = parameters(query);
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        match (method, path) {
            ("GET", "/kv-range") => {
                let prefix = &query["Prefix"];
                state.calls.push((path.to_owned(), prefix.clone()));
                let page_size = self.page_size.load(Ordering::SeqCst);
                let trouble = *self.list_trouble.lock().expect("not poisoned");
                let trouble = trouble.filter(|_| prefix == "servers/");
                let after = query.get("After").filter(|_| trouble.is_none());
                let mut page = state.range(prefix, after, page_size);
                if let Some(trouble) = trouble {
                    trouble.apply(&mut page, query.get("After"));
                }
                Some((200, page))
            }
            ("GET", "/kv-watch") => {
                let after = query["After"].parse().expect("a revision");
                if after < state.compacted || after > state.revision {
                    return Some((410, json!({})));
                }
                let none = json!({"events": [], "CurrentRev": state.revision});
                let changes = state.changes(&query["Prefix"], after);
                changes.or(is_due.then_some(none)).map(|body| (200, body))
            }
            ("POST", "/kv-txn") => Some(state.transact(&body)),
            ("POST", "/kv-lease") => {
                state.last_lease += 1;
                Some((
                    200,
                    json!({"Lease": state.last_lease, "TtlMs": body["TtlMs"]}),
                ))
            }
            ("POST", _) if path.starts_with("/kv-keep/") => {
                let id = &path["/kv-keep/".len()..];
                let lease: i64 = id.parse().expect("a lease");
                state.contacts.push(("/kv-keep".to_owned(), id.to_owned()));
                let is_held = lease <= state.last_lease && !state.ended_leases.contains(&lease);
                match is_held {
                    true => Some((200, json!({"TtlMs": 3_000}))),
                    false => Some((404, json!({}))),
                }
            }
            ("DELETE", _) => {
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok());
                state.revoke(lease.expect("a lease"));
                Some((200, json!({})))
            }
            _ => Some((404, json!({}))),
        }
    }

    /// Returns the time that a call may wait for changes, and records the wait that a watch call
    /// requests.
    pub fn watch_wait(&self, path: &str, query: &str) -> Duration {
        if path != "/kv-watch" {
            return MAX_WATCH_WAIT;
        }
        let query = parameters(query);
        let wait_ms = query["WaitMs"].parse().expect("whole milliseconds");
        self.record_watch(&query["Prefix"], wait_ms);
        MAX_WATCH_WAIT.min(Duration::from_millis(wait_ms))
    }
}

impl ListTrouble {
    /// Changes the first page of a list to the one that comes after a key.
    fn apply(self, page: &mut Value, after: Option<&String>) {
        page["MorePages"] = json!(true);
        let items = page["Items"].as_array_mut().expect("a list");
        match self {
            Self::Repeated => {}
            Self::Empty if after.is_some() => items.clear(),
            Self::Empty => {}
            Self::Endless => {
                let number = after.and_then(|key| key.rsplit_once('~')?.1.parse().ok());
                let number: u64 = number.map_or(0, |number: u64| number + 1);
                for item in items {
                    let key = item["Key"].as_str().expect("a key");
                    item["Key"] = json!(format!("{key}~{number}"));
                }
            }
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        self.revision += 1;
        let item = Item {
            value,
            revision: self.revision,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events
            .push((key.to_owned(), self.revision, Some(item)));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((key.to_owned(), self.revision, None));
        }
    }

    /// Revokes a lease and deletes the keys that are attached to it.
    fn revoke(&mut self, lease: i64) {
        self.ended_leases.insert(lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.delete(key));
    }

    /// Returns a page of the items under a prefix, from the first one after a key on.
    fn range(&self, prefix: &str, after: Option<&String>, page_size: usize) -> Value {
        let start = after.map_or(Bound::Unbounded, |key| Bound::Excluded(key.clone()));
        let later = self.items.range((start, Bound::Unbounded));
        let mut found = later.filter(|(key, _)| key.starts_with(prefix));
        let page = found.by_ref().take(page_size);
        let items: Vec<Value> = page.map(|(key, item)| item_json(key, item)).collect();
        let has_more = found.next().is_some();
        json!({"Items": items, "MorePages": has_more, "CurrentRev": self.revision})
    }

    /// Returns the changes under a prefix after a revision, if there are any.
    fn changes(&self, prefix: &str, after: i64) -> Option<Value> {
        let found = self
            .events
            .iter()
            .filter(|(key, revision, _)| *revision > after && key.starts_with(prefix));
        let events: Vec<Value> = found
            .map(|(key, revision, item)| match item {
                Some(item) => item_json(key, item),
                None => json!({"Key": key, "Revision": revision, "Deleted": true}),
            })
            .collect();
        (!events.is_empty()).then(|| json!({"events": events, "CurrentRev": self.revision}))
    }

    /// Runs a transaction and returns its status and body.
    fn transact(&mut self, body: &Value) -> (u16, Value) {
        for expected in body["Expected"].as_array().into_iter().flatten() {
            let key = expected["Key"].as_str().expect("a key");
            let current_revision = self.items.get(key).map_or(0, |item| item.revision);
            if current_revision != expected["Revision"] {
                let current = self.items.get(key).map(|item| item_json(key, item));
                let items: Vec<Value> = current.into_iter().collect();
                return (412, json!({"Items": items}));
            }
        }
        for put in body["Puts"].as_array().into_iter().flatten() {
            let key = put["Key"].as_str().expect("a key");
            let value = put["Value"].as_str().expect("a value").to_owned();
            self.calls.push(("/kv-txn".to_owned(), key.to_owned()));
            self.put(key, value, put["Lease"].as_i64().unwrap_or_default());
        }
        for key in body["Deletes"].as_array().into_iter().flatten() {
            self.delete(key.as_str().expect("a key"));
        }
        (200, json!({"Revision": self.revision}))
    }
}

/// Decodes the parameters of a query as those of a form.
fn parameters(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), decoded(value)))
        .collect()
}

fn decoded(value: &str) -> String {
    let spaced = value.replace('+', " ");
    let text = percent_decode_str(&spaced).decode_utf8();
    text.expect("text").into_owned()
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "Key": key, "Value": item.value, "Revision": item.revision,
        "CreatedRev": item.revision, "Lease": item.lease,
    })
}
