//! Measures how fast configuration changes propagate among daemons on loopback.
//!
//! Starts the simulated platform and the daemons as separate processes, from the
//! programs in the same target folder; changes accounts through the operator API;
//! and polls every daemon as a caller until it accepts the new key. Prints one
//! JSON object: time from a change's acceptance until it is in force, platform
//! calls per second in steady state and after an outage, and the resource usage
//! of a daemon.

mod fleet;
mod probe;

use argh::FromArgs;
use fleet::{Fleet, Usage};
use futures_util::future::join_all;
use hickoryledge::{
    client::{self, Client},
    wire::operator::{Account, PutAccountRequest},
};
use probe::Probe;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Measures how fast configuration changes propagate.
#[derive(FromArgs)]
struct Args {
    /// number of daemons
    #[argh(option, default = "8")]
    daemons: usize,
    /// number of halls that the daemons are spread over
    #[argh(option, default = "3")]
    halls: usize,
    /// number of changes
    #[argh(option, default = "40")]
    changes: u64,
    /// duration of the steady state measurement, in seconds
    #[argh(option, default = "10")]
    steady: u64,
    /// duration of the platform outage, in seconds
    #[argh(option, default = "10")]
    outage: u64,
}

/// Delay before a change that wasn't accepted is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time after an outage over which calls are counted per second, in seconds.
const RECOVERY_WINDOW_S: u64 = 10;

#[compio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let fleet = Fleet::start(args.daemons, args.halls).await?;
    let mut bench = Bench::new(&fleet).await?;
    let began = Instant::now();
    bench.change().await?;
    let first_change = began.elapsed();
    compio::time::sleep(Duration::from_secs(5)).await;
    let steady = measure_steady(&fleet, args.steady).await?;
    let mut times = Vec::new();
    let mut slowest_times = Vec::new();
    for _ in 0..args.changes {
        let daemon_times = bench.change().await?;
        slowest_times.push(daemon_times.iter().copied().max().unwrap_or_default());
        times.extend(daemon_times);
    }
    let outage = measure_outage(&fleet, &mut bench, args.outage).await?;
    let report = json!({
        "daemons": args.daemons,
        "halls": args.halls,
        "changes": args.changes,
        "first_change_ms": first_change.as_millis() as u64,
        "in_force_each_ms": quantiles(&mut times),
        "in_force_all_ms": quantiles(&mut slowest_times),
        "steady": steady,
        "outage": outage,
    });
    println!("{report:#}");
    Ok(())
}

/// Makes changes, and waits until they are in force.
struct Bench {
    /// Operator connection to each daemon.
    clients: Vec<Client>,
    /// Probe of each daemon.
    probes: Vec<Probe>,
    /// Number of changes made.
    changes: u64,
}

impl Bench {
    /// Connects to the daemons.
    async fn new(fleet: &Fleet) -> anyhow::Result<Self> {
        let mut clients = Vec::new();
        for daemon in &fleet.daemons {
            clients.push(client::connect_operator(daemon.operator, fleet::TOKEN).await?);
        }
        let probes = fleet.daemons.iter().map(|d| Probe::new(d.caller)).collect();
        Ok(Self {
            clients,
            probes,
            changes: 0,
        })
    }

    /// Makes a change; returns each daemon's time from its acceptance until it is in force.
    async fn change(&mut self) -> anyhow::Result<Vec<Duration>> {
        self.changes += 1;
        let key = format!("key-{}", self.changes);
        let request = PutAccountRequest {
            operation: self.changes,
            account: Some(Account {
                name: format!("account-{}", self.changes % 50),
                key_hash: blake3::hash(key.as_bytes()).as_bytes().to_vec(),
                weight: 1,
                priority: 1,
                ..Account::default()
            }),
        };
        let index = self.changes as usize % self.clients.len();
        while let Err(status) = self.clients[index].put_account(request.clone()).await {
            eprintln!(
                "change {} was not accepted; retrying: {}",
                self.changes,
                status.message()
            );
            compio::time::sleep(RETRY_DELAY).await;
        }
        let accepted = Instant::now();
        let waits = self
            .probes
            .iter_mut()
            .map(|p| p.wait_accepted(&key, accepted));
        join_all(waits).await.into_iter().collect()
    }
}

/// Measures the platform calls and the daemons' resource usage while nothing changes.
async fn measure_steady(fleet: &Fleet, seconds: u64) -> anyhow::Result<Value> {
    let (calls_before, usage_before) = (fleet.calls().await?, fleet.usage().await);
    compio::time::sleep(Duration::from_secs(seconds)).await;
    let (calls_after, usage_after) = (fleet.calls().await?, fleet.usage().await);
    let rate = |kind: &str| {
        let count = |calls: &Value| calls["calls"][kind].as_u64().unwrap_or(0);
        (count(&calls_after) - count(&calls_before)) as f64 / seconds as f64
    };
    let kinds = calls_after["calls"]
        .as_object()
        .cloned()
        .unwrap_or_default();
    let rates: serde_json::Map<String, Value> = kinds
        .keys()
        .map(|kind| (kind.clone(), json!(rate(kind))))
        .collect();
    let usage = Usage::between(&usage_before, &usage_after);
    Ok(json!({
        "watching": calls_after["watching"],
        "calls_per_s": rates,
        "digests_per_daemon_s": usage.digests / seconds as f64,
        "fetches_per_daemon_s": usage.fetches / seconds as f64,
        "cpu_percent_mean": usage.cpu_ms / (seconds as f64 * 10.0),
        "rss_mb_max": usage.rss_mb,
    }))
}

/// Measures the calls per second during and after a platform outage, and a change made after it.
async fn measure_outage(fleet: &Fleet, bench: &mut Bench, seconds: u64) -> anyhow::Result<Value> {
    let before = fleet.calls().await?;
    fleet.set_fault(json!({"mode": "hang"})).await?;
    compio::time::sleep(Duration::from_secs(seconds)).await;
    let mut last = fleet.calls().await?;
    let total = |calls: &Value| -> u64 {
        let kinds = calls["calls"].as_object();
        kinds.map_or(0, |kinds| kinds.values().filter_map(Value::as_u64).sum())
    };
    let rate_during = (total(&last) - total(&before)) as f64 / seconds as f64;
    fleet.set_fault(json!({"mode": "ok"})).await?;
    let requested = Instant::now();
    let daemon_times = bench.change().await?;
    let in_force = requested.elapsed();
    let mut rates = Vec::new();
    for _ in 0..RECOVERY_WINDOW_S {
        compio::time::sleep(Duration::from_secs(1)).await;
        let now = fleet.calls().await?;
        rates.push(total(&now) - total(&last));
        last = now;
    }
    Ok(json!({
        "calls_per_s_during": rate_during,
        "change_asked_to_in_force_ms": in_force.as_millis() as u64,
        "change_accepted_to_in_force_ms": daemon_times.iter().max().map(Duration::as_millis).unwrap_or(0) as u64,
        "calls_each_s_after": rates,
        "watching_after": last["watching"],
    }))
}

/// Returns quantiles in milliseconds.
fn quantiles(times: &mut [Duration]) -> Value {
    times.sort();
    let at = |quantile: f64| {
        let index = ((times.len() as f64 * quantile).ceil() as usize).saturating_sub(1);
        let time = times.get(index).copied().unwrap_or_default();
        (time.as_secs_f64() * 10_000.0).round() / 10.0
    };
    json!({"p50": at(0.5), "p99": at(0.99), "max": at(1.0)})
}
