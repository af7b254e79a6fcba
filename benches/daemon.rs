//! Measures the overhead of a daemon: latency per request and per token
//! compared with calling the simulated runner directly, requests and tokens per
//! second of CPU time, and resident memory.
//!
//! Run it with `cargo build --release --examples && cargo bench --bench daemon`.

#[path = "../tests/common/mod.rs"]
mod common;

use anyhow::{Context as _, bail};
use bytes::Bytes;
use common::{Daemon, KEY, TestEnv};
use cyper_core::HyperStream;
use futures_util::future::{join, join_all};
use hdrhistogram::Histogram;
use hickoryledge::shell::http::connect;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Service calls made on each path to compare their latency.
const PAIRED_CALLS: usize = 5_000;
/// Tokens of each of the two streams whose latency is compared.
const PAIRED_TOKENS: usize = 3_000;
/// Connections that make calls concurrently in the call throughput test.
const LOAD_CONNECTIONS: usize = 64;
/// Period over which call throughput is measured.
const LOAD_WINDOW: Duration = Duration::from_secs(4);
/// Concurrent streams in the token throughput test.
const LOAD_STREAMS: usize = 128;
/// Tokens of each stream in the token throughput test.
const LOAD_TOKENS: usize = 500;
/// Streams held open while memory is measured.
const OPEN_STREAMS: usize = 1_000;
/// Period over which an idle daemon's CPU use is measured.
const IDLE_WINDOW: Duration = Duration::from_secs(5);
/// Clock ticks per second in which `/proc` counts CPU time.
const TICKS_PER_S: f64 = 100.0;
/// Streams that are opened concurrently.
const CONNECT_BATCH: usize = 100;

fn main() -> anyhow::Result<()> {
    let env = start_environment();
    let daemon = &env.daemons[0];
    let runtime = compio::runtime::Runtime::new()?;
    measure_idle(daemon)?;
    let service = env.runner("s1").address;
    runtime.block_on(compare_calls(daemon, service))?;
    let engine = env.runner(&env.group_hosts(0, "drafting-1")[0]).clone();
    runtime.block_on(compare_tokens(daemon, engine.address))?;
    runtime.block_on(measure_calls(daemon))?;
    runtime.block_on(measure_tokens(daemon))?;
    env.runner_fault(&engine.name, serde_json::json!({"slow": 50.0}));
    runtime.block_on(measure_open_streams(daemon))
}

/// Starts two daemons, one service, and one group of two hosts with slots for every stream.
fn start_environment() -> TestEnv {
    let mut env = TestEnv::new();
    for name in ["e1", "e2"] {
        env.start_runners("kalamaria-1", &[name], &["--slots", "4000"]);
    }
    env.start_runners("kalamaria-1", &["s1"], &["--service", "mailroom-app"]);
    env.publish_hosts();
    for name in ["entry-0", "entry-1"] {
        env.start_daemon(name);
    }
    for line in [
        &format!("account put papadakis --key {KEY}"),
        "model put drafting-llm --version v1 --size 2",
        "service put mailroom-app --idempotent",
        "group create drafting-1 --model drafting-llm --domain kalamaria-1",
    ] {
        env.operate(&line.split(' ').collect::<Vec<_>>());
    }
    env.wait_serving(0, "drafting-1");
    env
}

/// HTTP connection that is reused for several requests.
struct Client {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
}

impl Client {
    /// Connects to an address.
    async fn connect(address: SocketAddr) -> anyhow::Result<Self> {
        let stream = HyperStream::new_plain(connect(address).await?);
        let (sender, connection) = hyper::client::conn::http1::handshake(stream).await?;
        compio::runtime::spawn(async move {
            let _ = connection.await;
        })
        .detach();
        Ok(Self { sender, address })
    }

    /// Sends a POST request; fails unless the response has status 200.
    async fn post(&mut self, path: &str, body: String) -> anyhow::Result<Response<Incoming>> {
        let request = Request::post(path)
            .header("host", self.address.to_string())
            .header("authorization", format!("Bearer {KEY}"))
            .body(Full::new(Bytes::from(body)))?;
        self.sender.ready().await?;
        let answer = self.sender.send_request(request).await?;
        if answer.status() != StatusCode::OK {
            bail!("{path} at {}: {}", self.address, answer.status());
        }
        Ok(answer)
    }

    /// Makes a call and returns the time until its response was complete.
    async fn call(&mut self, path: &str) -> anyhow::Result<Duration> {
        let began = Instant::now();
        let answer = self.post(path, "x".repeat(200)).await?;
        answer.into_body().collect().await?;
        Ok(began.elapsed())
    }

    /// Starts a stream and returns its body once the response head has arrived.
    async fn stream(&mut self, tokens: usize) -> anyhow::Result<Incoming> {
        let body = format!(
            "{{\"model\":\"drafting-llm\",\"prompt\":\"notice\",\"max_tokens\":{tokens},\"stream\":true}}"
        );
        Ok(self.post("/v1/completions", body).await?.into_body())
    }
}

/// Returns the arrival time of each frame of a stream; fails if the stream is incomplete.
async fn arrival_times(mut body: Incoming) -> anyhow::Result<Vec<Instant>> {
    let mut times = Vec::new();
    let mut last = Bytes::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        times.push(Instant::now());
        last = data;
    }
    if !last.ends_with(b"[DONE]\n\n") {
        bail!("stream ended without [DONE]");
    }
    Ok(times)
}

/// Returns an empty histogram with three significant digits.
fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are valid")
}

/// Converts a duration to microseconds, at least 1.
fn micros(time: Duration) -> u64 {
    time.as_micros().max(1) as u64
}

/// Prints percentiles of both paths, in microseconds, and their ratios.
fn print_comparison(label: &str, direct: &Histogram<u64>, proxied: &Histogram<u64>) {
    for quantile in [0.5, 0.99] {
        let (direct_us, proxied_us) = (
            direct.value_at_quantile(quantile),
            proxied.value_at_quantile(quantile),
        );
        let ratio = proxied_us as f64 / direct_us as f64;
        let percentile = quantile * 100.0;
        println!(
            "{label} p{percentile}: direct {direct_us} us, through {proxied_us} us, ratio {ratio:.2}"
        );
    }
}

/// Compares the latency of service calls made directly and through the daemon.
async fn compare_calls(daemon: &Daemon, service: SocketAddr) -> anyhow::Result<()> {
    let mut direct = Client::connect(service).await?;
    let mut proxied = Client::connect(daemon.caller).await?;
    let (mut direct_times, mut proxied_times) = (histogram(), histogram());
    for _ in 0..PAIRED_CALLS {
        direct_times.record(micros(direct.call("/bench").await?))?;
        let path = "/services/mailroom-app/bench";
        proxied_times.record(micros(proxied.call(path).await?))?;
    }
    print_comparison("service call", &direct_times, &proxied_times);
    Ok(())
}

/// Compares the latency of tokens streamed directly and through the daemon.
///
/// Both streams run at once. An engine writes all tokens of a step together, so the time from
/// a token of the direct stream to the next one through the daemon is the latency it adds.
async fn compare_tokens(daemon: &Daemon, engine: SocketAddr) -> anyhow::Result<()> {
    let mut direct = Client::connect(engine).await?;
    let mut proxied = Client::connect(daemon.caller).await?;
    let began = Instant::now();
    let streams = join(direct.stream(PAIRED_TOKENS), proxied.stream(PAIRED_TOKENS));
    let (direct_times, proxied_times) = streams.await;
    let (direct_times, proxied_times) =
        join(arrival_times(direct_times?), arrival_times(proxied_times?)).await;
    let (direct_times, proxied_times) = (direct_times?, proxied_times?);
    let first = |times: &[Instant]| micros(times[0] - began);
    println!(
        "first token: direct {} us, through {} us",
        first(&direct_times),
        first(&proxied_times)
    );
    print_comparison(
        "gap between tokens",
        &token_gaps(&direct_times),
        &token_gaps(&proxied_times),
    );
    let mut added = histogram();
    for time in &proxied_times {
        let before = direct_times.partition_point(|direct| direct <= time);
        if before > 0 {
            added.record(micros(*time - direct_times[before - 1]))?;
        }
    }
    for quantile in [0.5, 0.99] {
        let value = added.value_at_quantile(quantile);
        println!("added to a token p{}: {value} us", quantile * 100.0);
    }
    Ok(())
}

/// Returns the distribution of the gaps between tokens.
fn token_gaps(times: &[Instant]) -> Histogram<u64> {
    let mut gaps = histogram();
    for pair in times.windows(2) {
        let _ = gaps.record(micros(pair[1] - pair[0]));
    }
    gaps
}

/// Measures call throughput and the CPU time that it takes.
async fn measure_calls(daemon: &Daemon) -> anyhow::Result<()> {
    let before = cpu_seconds(daemon)?;
    let began = Instant::now();
    let callers = (0..LOAD_CONNECTIONS).map(|_| async {
        let mut client = Client::connect(daemon.caller).await?;
        let mut calls = 0_u64;
        while began.elapsed() < LOAD_WINDOW {
            client.call("/services/mailroom-app/bench").await?;
            calls += 1;
        }
        anyhow::Ok(calls)
    });
    let calls = join_all(callers).await;
    let calls: u64 = calls
        .into_iter()
        .collect::<anyhow::Result<Vec<_>>>()?
        .iter()
        .sum();
    let (wall, used) = (began.elapsed().as_secs_f64(), cpu_seconds(daemon)? - before);
    println!(
        "{LOAD_CONNECTIONS} connections: {:.0} calls/s, daemon at {:.0}% of a core, {:.0} calls/s for a whole core",
        calls as f64 / wall,
        used / wall * 100.0,
        calls as f64 / used
    );
    Ok(())
}

/// Measures token throughput and the CPU time that it takes.
async fn measure_tokens(daemon: &Daemon) -> anyhow::Result<()> {
    let before = cpu_seconds(daemon)?;
    let began = Instant::now();
    let callers = (0..LOAD_STREAMS).map(|_| async {
        let mut client = Client::connect(daemon.caller).await?;
        arrival_times(client.stream(LOAD_TOKENS).await?).await
    });
    let streams = join_all(callers).await;
    streams.into_iter().collect::<anyhow::Result<Vec<_>>>()?;
    let tokens = (LOAD_STREAMS * LOAD_TOKENS) as f64;
    let (wall, used) = (began.elapsed().as_secs_f64(), cpu_seconds(daemon)? - before);
    println!(
        "{LOAD_STREAMS} streams: {:.0} tokens/s, daemon at {:.0}% of a core, {:.0} tokens/s for a whole core",
        tokens / wall,
        used / wall * 100.0,
        tokens / used
    );
    Ok(())
}

/// Measures the daemon's memory and threads with many open streams.
async fn measure_open_streams(daemon: &Daemon) -> anyhow::Result<()> {
    let mut streams = Vec::new();
    while streams.len() < OPEN_STREAMS {
        let batch = (0..CONNECT_BATCH).map(|_| async {
            let mut client = Client::connect(daemon.caller).await?;
            let body = client.stream(1_000_000).await?;
            anyhow::Ok((client, body))
        });
        let opened = join_all(batch).await;
        streams.extend(opened.into_iter().collect::<anyhow::Result<Vec<_>>>()?);
    }
    let open = proc_status(daemon, "VmRSS:")?;
    let threads = proc_status(daemon, "Threads:")?;
    println!(
        "with {} streams open: resident {open} KiB, {threads} threads",
        streams.len()
    );
    Ok(())
}

/// Measures an idle daemon's memory and CPU use.
fn measure_idle(daemon: &Daemon) -> anyhow::Result<()> {
    let before = cpu_seconds(daemon)?;
    std::thread::sleep(IDLE_WINDOW);
    let used = (cpu_seconds(daemon)? - before) / IDLE_WINDOW.as_secs_f64();
    println!("resident idle: {} KiB", proc_status(daemon, "VmRSS:")?);
    println!("idle, {:.2}% of a core", used * 100.0);
    Ok(())
}

/// Returns the CPU time that a daemon has used, in seconds.
fn cpu_seconds(daemon: &Daemon) -> anyhow::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{}/stat", daemon.process.id()))?;
    let fields = text
        .rsplit(')')
        .next()
        .context("no fields after the process name in /proc/PID/stat")?;
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: u64 = ticks.filter_map(|field| field.parse::<u64>().ok()).sum();
    Ok(ticks as f64 / TICKS_PER_S)
}

/// Returns a numeric field of `/proc/PID/status` of a daemon.
fn proc_status(daemon: &Daemon, field: &str) -> anyhow::Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{}/status", daemon.process.id()))?;
    let line = text.lines().find(|line| line.starts_with(field));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(value
        .context("field is missing in /proc/PID/status")?
        .parse()?)
}
