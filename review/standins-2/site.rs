//! A small deployment: store, runners, daemons, configuration and clients.

use crate::base::{fetch_gap, Answer};
use crate::daemon::Daemon;
use crate::runner::{Journal, Kind, Runner};
use crate::store::Store;
use crate::Stage;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Tokens of a long answer, which comes in 29 events.
pub const LONG: u32 = 174;
/// Tokens of an event.
pub const EVENT: u32 = 6;
pub const OTHER_KEY: &str = "q7vdkxw3r5t0m2ycazp8";

/// Group size of the model and the seconds of its loads.
pub struct Model {
    pub size: u32,
    pub load_s: f64,
    pub warm_s: f64,
}

pub fn config(version: u32, slots: u32, model: &Model) -> String {
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 service: &str,
                 timeout: u32,
                 attempts: u32| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"ficu95.example\",\"Prefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutMs\":{timeout},\"SloMs\":400,\"Priority\":1,\"Service\":\"{service}\",\"Attempts\":{attempts},\"Public\":false,\"Sticky\":{s},\"Resumable\":{s},\"GapAimMs\":250}}",
            s = kind == "stream"
        )
    };
    format!(
        "{{\"Version\":{version},\"Routes\":[{},{},{}],\"Services\":[{{\"Name\":\"llm\",\"HealthPath\":\"/healthz\",\"MaxConns\":314,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{{\"Slots\":{slots},\"KvCacheTokens\":2470000,\"Stride\":6,\"Models\":[{{\"Name\":\"m0\",\"size\":{},\"Share\":1.0,\"pace\":1.0,\"LoadS\":{},\"WarmS\":{}}}],\"step_ms\":6.45,\"per_seq_ms\":0.0967,\"context_per_k\":0.00293,\"read_per_s\":56100.0,\"pairs_per_m\":0.309,\"chunk\":2048,\"usual\":{{\"prompt\":1420,\"answer\":170}},\"LoadsPerS\":5.5,\"loads_at_once\":8,\"FormMs\":300.0,\"report_lag_ms\":200.0}}}},{{\"Name\":\"app\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}}],\"Tenants\":[{{\"Name\":\"hule930\",\"ApiKeys\":[\"{KEY}\"]}},{{\"Name\":\"zoru114\",\"ApiKeys\":[\"{OTHER_KEY}\"]}}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":20000}}}}",
        route("r-chat", "/chat/", "stream", "llm", 8000, 2),
        route("r-once", "/once/", "unsafe", "app", 2000, 1),
        route("r-read", "/read/", "safe", "app", 2000, 2),
        model.size, model.load_s, model.warm_s
    )
}

pub struct Site {
    pub store: Arc<Store>,
    pub journal: Arc<Journal>,
    pub models: Vec<Arc<Runner>>,
    pub apps: Vec<Arc<Runner>>,
    pub daemons: Vec<Daemon>,
}

pub fn model_kind() -> Kind {
    Kind {
        service: "llm".into(),
        domain: Some("f1".into()),
        zone: "hall-a".into(),
        slots: 26,
        work: Duration::ZERO,
        gap: Duration::from_millis(45),
        first: Duration::from_millis(93),
        load: Duration::from_millis(1_600),
        warm: Duration::from_millis(1_600),
    }
}

pub fn app_kind(work_ms: u64) -> Kind {
    Kind {
        service: "app".into(),
        domain: None,
        slots: 6,
        work: Duration::from_millis(work_ms),
        ..model_kind()
    }
}

impl Site {
    pub fn new() -> Site {
        Site {
            store: Store::start(),
            journal: Arc::new(Journal::default()),
            models: Vec::new(),
            apps: Vec::new(),
            daemons: Vec::new(),
        }
    }

    pub fn add_models(&mut self, count: usize, kind: &Kind) {
        for _ in 0..count {
            let id = format!("i-m{:02}", self.models.len() + 1);
            self.models
                .push(Runner::start(&id, kind.clone(), &self.store, &self.journal));
        }
        for runner in &self.models {
            *runner.others.lock().unwrap() = self.models.clone();
        }
    }

    pub fn add_apps(&mut self, count: usize, kind: &Kind) {
        for _ in 0..count {
            let id = format!("i-a{:02}", self.apps.len() + 1);
            self.apps
                .push(Runner::start(&id, kind.clone(), &self.store, &self.journal));
        }
    }

    pub fn start_daemons(&mut self, stage: &Stage, count: usize) {
        for number in 1..=count {
            let daemon = Daemon::start(
                &stage.folder,
                &format!("front-{number}"),
                "hall-a",
                self.store.address,
            );
            self.daemons.push(daemon);
        }
    }

    /// Waits for a condition; false if it doesn't come true.
    pub fn until<F>(&self, limit: Duration, mut condition: F) -> bool
    where
        F: FnMut(&Site) -> bool,
    {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if condition(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn open_heads(&self) -> usize {
        self.models.iter().filter(|r| r.is_open()).count()
    }
}

/// A client's request for a stream.
pub fn chat(key: &str, id: &str, parts: &str, tokens: u32) -> String {
    let body = format!("{id:x<1500}");
    format!(
        "POST /chat/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Model: m0\r\nX-Token-Count: 1460,{tokens}\r\nX-Prompt-Prefix: {parts}\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A client's request to the plain service.
pub fn plain(method: &str, path: &str, id: &str) -> String {
    let length = if method == "POST" {
        "Content-Length: 0\r\n"
    } else {
        ""
    };
    format!("{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer {KEY}\r\n{length}\r\n")
}

/// Sends a stream's request as a client does, which leaves after two seconds without an event.
pub fn send_chat(
    to: std::net::SocketAddr,
    key: &str,
    id: &str,
    parts: &str,
    tokens: u32,
) -> Answer {
    fetch_gap(
        to,
        &chat(key, id, parts, tokens),
        Duration::from_secs(8),
        Duration::from_secs(2),
    )
}
