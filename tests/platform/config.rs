//! Configuration of the tests, as an operator writes it.

use super::store::Store;
use serde_json::{Value, json};

/// API key that requests carry.
pub const API_KEY: &str = "secret-key";

/// API key of another account.
pub const OTHER_API_KEY: &str = "other-key";

/// Timeout of all routes, in milliseconds.
pub const TIMEOUT_MS: u64 = 4_000;

/// Requests a second that cold runners of the plain service tolerate, if they may be cold.
type ColdRate = Option<f64>;

/// Writes a version of the configuration; odd versions route `/moved/` to the plain service.
pub fn write(store: &Store, version: u64) {
    store.put("op/config", &value(version).to_string());
}

/// Writes a version of the configuration in which a head has this number of slots.
pub fn write_with_slots(store: &Store, version: u64, slots: u32) {
    store.put("op/config", &spec(version, slots, None).to_string());
}

/// Writes a version of the configuration in which runners of the plain service may be cold.
pub fn write_with(store: &Store, version: u64, cold_rate: ColdRate) {
    store.put("op/config", &spec(version, 8, cold_rate).to_string());
}

/// Writes a version of the configuration that allows bodies of this size.
pub fn write_with_body_limit(store: &Store, version: u64, bytes: usize) {
    let mut spec = value(version);
    spec["Limits"]["MaxBodyBytes"] = json!(bytes);
    store.put("op/config", &spec.to_string());
}

/// Returns a version of the configuration.
pub fn value(version: u64) -> Value {
    spec(version, 8, None)
}

fn spec(version: u64, slots: u32, cold_rate: ColdRate) -> Value {
    let route = |prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "Name": prefix, "Host": "a.example", "Prefix": prefix, "Kind": kind,
            "TimeoutMs": TIMEOUT_MS, "SloMs": 400, "Priority": 1, "Service": service,
            "Attempts": attempts, "Public": false, "Sticky": kind == "stream",
            "Resumable": kind == "stream", "GapAimMs": 250,
        })
    };
    let mut routes = vec![
        route("/read/", "safe", "plain", 2),
        route("/once/", "unsafe", "plain", 1),
        route("/chat/", "stream", "engines", 2),
    ];
    if version % 2 == 1 {
        routes.push(route("/moved/", "safe", "plain", 2));
    }
    let engine = json!({
        "Slots": slots, "Stride": 6, "step_ms": 6.45, "per_seq_ms": 0.1, "read_per_s": 56100.0,
        "chunk": 2048, "usual": {"prompt": 1115, "answer": 152}, "LoadsPerS": 5.5,
        "loads_at_once": 8, "FormMs": 300.0,
        "Models": [{"Name": "m", "size": 1, "Share": 1.0, "pace": 1.0, "LoadS": 1.0, "WarmS": 0.1}],
    });
    json!({
        "Version": version, "Routes": routes,
        "Services": [
            {"Name": "plain", "HealthPath": "/healthz", "MaxConns": 100, "ColdS": 20,
                "ColdPerS": cold_rate.unwrap_or_default()},
            {"Name": "engines", "HealthPath": "/healthz", "MaxConns": 100, "Engine": engine},
        ],
        "Tenants": [
            {"Name": "first", "ApiKeys": [API_KEY]},
            {"Name": "second", "ApiKeys": [OTHER_API_KEY]},
        ],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536,
            "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 20000},
    })
}
