//! The platform's stand-in and daemons, in separate processes.

use anyhow::Context as _;
use bytes::Bytes;
use hickoryledge::shell::http;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use serde_json::{Value, json};
use std::{
    fs,
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

/// The operators' token of the daemons.
pub const TOKEN: &str = "operators-token-of-measurement";

/// Daemons that are started before the others and named in their settings.
const SEEDS: usize = 3;

/// The clock ticks in which the system counts processor time, a second.
const TICKS_PER_S: f64 = 100.0;

/// One daemon.
pub struct Daemon {
    process: Child,
    /// Its address for callers.
    pub caller: SocketAddr,
    /// Its address for operators.
    pub operator: SocketAddr,
    peer: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// All processes; they end when it is dropped.
pub struct Fleet {
    /// The daemons.
    pub daemons: Vec<Daemon>,
    platform: Child,
    hosts: SocketAddr,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = self.platform.kill();
        let _ = self.platform.wait();
    }
}

impl Fleet {
    /// Starts everything, and waits until each process listens.
    pub async fn start(daemons: usize, halls: usize) -> anyhow::Result<Self> {
        let here = std::env::current_exe()?;
        let examples = here.parent().context("find the examples")?;
        let program = examples.parent().context("find the programs")?;
        let program = program.join("hickoryledge");
        let folder = tempfile::tempdir()?;
        let (platform, line) = launch(&examples.join("platform"), &[], "listening")?;
        let kv = address(&line["listening"]["kv"])?;
        let mut fleet = Self {
            daemons: Vec::new(),
            platform,
            hosts: address(&line["listening"]["hosts"])?,
        };
        for number in 0..daemons {
            let settings = fleet.settings(folder.path(), kv, number, halls)?;
            let settings = settings.to_string_lossy();
            let (process, line) = launch(&program, &["run", "--settings", &settings], "caller")?;
            fleet.daemons.push(Daemon {
                process,
                caller: address(&line["caller"])?,
                operator: address(&line["operator"])?,
                peer: address(&line["peer"])?,
            });
        }
        Ok(fleet)
    }

    /// What the platform has been asked so far.
    pub async fn calls(&self) -> anyhow::Result<Value> {
        let text = ask(self.hosts, "GET", "/calls", Value::Null).await?;
        Ok(serde_json::from_slice(&text)?)
    }

    /// Tells the platform's stand-in to misbehave.
    pub async fn fault(&self, fault: Value) -> anyhow::Result<()> {
        ask(self.hosts, "POST", "/fault", fault).await?;
        Ok(())
    }

    /// What each daemon has spent so far.
    pub async fn usage(&self) -> Vec<Usage> {
        let mut usage = Vec::new();
        for daemon in &self.daemons {
            usage.push(Usage::of(daemon).await.unwrap_or_default());
        }
        usage
    }

    fn settings(
        &self,
        folder: &Path,
        kv: SocketAddr,
        number: usize,
        halls: usize,
    ) -> anyhow::Result<PathBuf> {
        let names: Vec<String> = (0..halls).map(|hall| format!("hall-{hall}")).collect();
        let seeds = self.daemons.iter().take(SEEDS).map(|d| d.peer.to_string());
        let settings = json!({
            "name": format!("entry-{number}"),
            "region": "region",
            "hall": names[number % halls],
            "regions": {"region": names},
            "listen": {"caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0"},
            "peers": seeds.collect::<Vec<String>>(),
            "platform": [kv.to_string()],
            "host_list": self.hosts.to_string(),
            "peer_key": "key-between-daemons-of-measurement",
            "operator_token": TOKEN,
        });
        let path = folder.join(format!("{number}.yaml"));
        fs::write(&path, settings.to_string())?;
        Ok(path)
    }
}

/// What a daemon has spent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in milliseconds.
    pub cpu_ms: f64,
    /// Resident memory, in megabytes.
    pub rss_mb: f64,
    /// Digests sent.
    pub digests: f64,
    /// Fetches sent.
    pub fetches: f64,
}

impl Usage {
    /// The mean spent between two moments; the largest memory.
    pub fn between(before: &[Usage], after: &[Usage]) -> Usage {
        let mean = |field: fn(&Usage) -> f64| {
            let spent = before.iter().zip(after).map(|(b, a)| field(a) - field(b));
            spent.sum::<f64>() / after.len().max(1) as f64
        };
        Usage {
            cpu_ms: mean(|u| u.cpu_ms),
            rss_mb: after.iter().map(|u| u.rss_mb).fold(0.0, f64::max),
            digests: mean(|u| u.digests),
            fetches: mean(|u| u.fetches),
        }
    }

    async fn of(daemon: &Daemon) -> anyhow::Result<Usage> {
        let folder = PathBuf::from(format!("/proc/{}", daemon.process.id()));
        let stat = fs::read_to_string(folder.join("stat"))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        let ticks: f64 = fields[12].parse::<f64>()? + fields[13].parse::<f64>()?;
        let status = fs::read_to_string(folder.join("status"))?;
        let resident = number_after(&status, "VmRSS:");
        let metrics = ask(daemon.caller, "GET", "/metrics", Value::Null).await?;
        let metrics = String::from_utf8_lossy(&metrics);
        Ok(Usage {
            cpu_ms: ticks * 1_000.0 / TICKS_PER_S,
            rss_mb: resident / 1_024.0,
            digests: number_after(&metrics, "\nhickoryledge_config_digests_total"),
            fetches: number_after(&metrics, "\nhickoryledge_config_fetches_total"),
        })
    }
}

/// The number that follows a label; zero if there is none.
fn number_after(text: &str, label: &str) -> f64 {
    let rest = text.split_once(label).map_or("", |(_, rest)| rest);
    let word = rest.split_whitespace().next().unwrap_or("");
    word.parse().unwrap_or(0.0)
}

/// Starts a program, and gives the first JSON line that it prints with a field.
fn launch(program: &Path, args: &[&str], field: &str) -> anyhow::Result<(Child, Value)> {
    let mut process = Command::new(program)
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .with_context(|| format!("start {}", program.display()))?;
    let output = process.stdout.take().context("read its output")?;
    let mut lines = BufReader::new(output).lines();
    let found = lines
        .by_ref()
        .map_while(Result::ok)
        .filter_map(|line| serde_json::from_str::<Value>(&line).ok())
        .find(|value| value.get(field).is_some());
    std::thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
    let line = found.with_context(|| format!("{} says nothing", program.display()))?;
    Ok((process, line))
}

async fn ask(address: SocketAddr, method: &str, path: &str, body: Value) -> anyhow::Result<Bytes> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "measured")
        .body(Full::<Bytes>::from(body.to_string()))?;
    let answer = http::send_once(address, request).await?;
    Ok(answer.into_body().collect().await?.to_bytes())
}

fn address(value: &Value) -> anyhow::Result<SocketAddr> {
    let text = value.as_str().context("read an address")?;
    Ok(text.parse()?)
}
