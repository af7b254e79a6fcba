//! Measures how configuration spreads among real daemons on loopback.
//!
//! Starts the platform's stand-in and daemons, in separate processes, from
//! the programs built beside it; changes accounts through operators' calls;
//! and asks every daemon as a caller until it knows the new key. Prints one
//! JSON object: time from accepted to in force, platform calls a second in
//! steady state and after an outage, and what a daemon spends.

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

/// Measures how configuration spreads.
#[derive(FromArgs)]
struct Args {
    /// how many daemons
    #[argh(option, default = "8")]
    daemons: usize,
    /// how many halls they stand in
    #[argh(option, default = "3")]
    halls: usize,
    /// how many changes are made
    #[argh(option, default = "40")]
    changes: u64,
    /// how long the steady state is watched, in seconds
    #[argh(option, default = "10")]
    steady: u64,
    /// how long the platform is away, in seconds
    #[argh(option, default = "10")]
    outage: u64,
}

/// The pause before a change that wasn't accepted is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How long the calls after an outage are counted, second by second.
const AFTER_OUTAGE: u64 = 10;

#[compio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let fleet = Fleet::start(args.daemons, args.halls).await?;
    let mut bench = Bench::new(&fleet).await?;
    let began = Instant::now();
    bench.change().await?;
    let loaded = began.elapsed();
    compio::time::sleep(Duration::from_secs(5)).await;
    let steady = steady(&fleet, args.steady).await?;
    let mut spans = Vec::new();
    let mut slowest = Vec::new();
    for _ in 0..args.changes {
        let spread = bench.change().await?;
        slowest.push(spread.iter().copied().max().unwrap_or_default());
        spans.extend(spread);
    }
    let outage = outage(&fleet, &mut bench, args.outage).await?;
    let report = json!({
        "daemons": args.daemons,
        "halls": args.halls,
        "changes": args.changes,
        "first_change_ms": loaded.as_millis() as u64,
        "in_force_each_ms": quantiles(&mut spans),
        "in_force_all_ms": quantiles(&mut slowest),
        "steady": steady,
        "outage": outage,
    });
    println!("{report:#}");
    Ok(())
}

/// Makes changes and watches them come into force.
struct Bench {
    clients: Vec<Client>,
    probes: Vec<Probe>,
    number: u64,
}

impl Bench {
    async fn new(fleet: &Fleet) -> anyhow::Result<Self> {
        let mut clients = Vec::new();
        for daemon in &fleet.daemons {
            clients.push(client::connect_operator(daemon.operator, fleet::TOKEN).await?);
        }
        let probes = fleet.daemons.iter().map(|d| Probe::new(d.caller)).collect();
        Ok(Self {
            clients,
            probes,
            number: 0,
        })
    }

    /// Makes a change; gives each daemon's time from accepted to in force.
    async fn change(&mut self) -> anyhow::Result<Vec<Duration>> {
        self.number += 1;
        let key = format!("key-{}", self.number);
        let request = PutAccountRequest {
            operation: self.number,
            account: Some(Account {
                name: format!("account-{}", self.number % 50),
                key_hash: blake3::hash(key.as_bytes()).as_bytes().to_vec(),
                weight: 1,
                priority: 1,
                ..Account::default()
            }),
        };
        let index = self.number as usize % self.clients.len();
        while let Err(status) = self.clients[index].put_account(request.clone()).await {
            eprintln!(
                "change {} is asked again: {}",
                self.number,
                status.message()
            );
            compio::time::sleep(RETRY_PAUSE).await;
        }
        let accepted = Instant::now();
        let waits = self.probes.iter_mut().map(|p| p.wait_known(&key, accepted));
        join_all(waits).await.into_iter().collect()
    }
}

/// What the platform and the daemons are asked to do when nothing changes.
async fn steady(fleet: &Fleet, seconds: u64) -> anyhow::Result<Value> {
    let (calls, usage) = (fleet.calls().await?, fleet.usage().await);
    compio::time::sleep(Duration::from_secs(seconds)).await;
    let (after, spent) = (fleet.calls().await?, fleet.usage().await);
    let rate = |kind: &str| {
        let count = |calls: &Value| calls["calls"][kind].as_u64().unwrap_or(0);
        (count(&after) - count(&calls)) as f64 / seconds as f64
    };
    let kinds = after["calls"].as_object().cloned().unwrap_or_default();
    let rates: serde_json::Map<String, Value> = kinds
        .keys()
        .map(|kind| (kind.clone(), json!(rate(kind))))
        .collect();
    let spent = Usage::between(&usage, &spent);
    Ok(json!({
        "watching": after["watching"],
        "calls_per_s": rates,
        "digests_per_daemon_s": spent.digests / seconds as f64,
        "fetches_per_daemon_s": spent.fetches / seconds as f64,
        "cpu_percent_mean": spent.cpu_ms / (seconds as f64 * 10.0),
        "rss_mb_max": spent.rss_mb,
    }))
}

/// The calls of each second after the platform was away, and a change made then.
async fn outage(fleet: &Fleet, bench: &mut Bench, seconds: u64) -> anyhow::Result<Value> {
    let during = fleet.calls().await?;
    fleet.fault(json!({"mode": "hang"})).await?;
    compio::time::sleep(Duration::from_secs(seconds)).await;
    let mut last = fleet.calls().await?;
    let total = |calls: &Value| -> u64 {
        let kinds = calls["calls"].as_object();
        kinds.map_or(0, |kinds| kinds.values().filter_map(Value::as_u64).sum())
    };
    let rate_during = (total(&last) - total(&during)) as f64 / seconds as f64;
    fleet.fault(json!({"mode": "ok"})).await?;
    let asked = Instant::now();
    let change = bench.change().await?;
    let in_force = asked.elapsed();
    let mut rates = Vec::new();
    for _ in 0..AFTER_OUTAGE {
        compio::time::sleep(Duration::from_secs(1)).await;
        let now = fleet.calls().await?;
        rates.push(total(&now) - total(&last));
        last = now;
    }
    Ok(json!({
        "calls_per_s_during": rate_during,
        "change_asked_to_in_force_ms": in_force.as_millis() as u64,
        "change_accepted_to_in_force_ms": change.iter().max().map(Duration::as_millis).unwrap_or(0) as u64,
        "calls_each_s_after": rates,
        "watching_after": last["watching"],
    }))
}

fn quantiles(spans: &mut [Duration]) -> Value {
    spans.sort();
    let at = |share: f64| {
        let index = ((spans.len() as f64 * share).ceil() as usize).saturating_sub(1);
        let span = spans.get(index).copied().unwrap_or_default();
        (span.as_secs_f64() * 10_000.0).round() / 10.0
    };
    json!({"p50": at(0.5), "p99": at(0.99), "max": at(1.0)})
}
