//! Processes under measurement: the simulated platform and the daemons.

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

/// Operator token of the daemons.
pub const TOKEN: &str = "operators-token-of-measurement";

/// Number of daemons, the first to start, that the others' settings name as peers.
const SEED_DAEMONS: usize = 3;

/// Clock ticks per second in which `/proc` counts CPU time.
const TICKS_PER_S: f64 = 100.0;

/// Daemon process, which is killed when this is dropped.
pub struct Daemon {
    process: Child,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    peer: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// All processes, which are killed when this is dropped.
pub struct Fleet {
    /// Daemons in the order of their start.
    pub daemons: Vec<Daemon>,
    platform: Child,
    /// Address of the platform's host list and controls.
    hosts_address: SocketAddr,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = self.platform.kill();
        let _ = self.platform.wait();
    }
}

impl Fleet {
    /// Starts all processes, and waits until each one listens.
    pub async fn start(daemons: usize, halls: usize) -> anyhow::Result<Self> {
        let executable = std::env::current_exe()?;
        let examples = executable
            .parent()
            .context("the executable has no parent folder")?;
        let program = examples
            .parent()
            .context("the examples folder has no parent folder")?;
        let program = program.join("hickoryledge");
        let folder = tempfile::tempdir()?;
        let (platform, line) = launch(&examples.join("platform"), &[], "listening")?;
        let kv = address(&line["listening"]["kv"])?;
        let mut fleet = Self {
            daemons: Vec::new(),
            platform,
            hosts_address: address(&line["listening"]["hosts"])?,
        };
        for number in 0..daemons {
            let settings = fleet.write_settings(folder.path(), kv, number, halls)?;
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

    /// Returns the platform's call counts so far.
    pub async fn calls(&self) -> anyhow::Result<Value> {
        let body = send(self.hosts_address, "GET", "/calls", Value::Null).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Injects a fault into the simulated platform.
    pub async fn set_fault(&self, fault: Value) -> anyhow::Result<()> {
        send(self.hosts_address, "POST", "/fault", fault).await?;
        Ok(())
    }

    /// Returns the resource usage of each daemon so far.
    pub async fn usage(&self) -> Vec<Usage> {
        let mut usage = Vec::new();
        for daemon in &self.daemons {
            usage.push(Usage::of(daemon).await.unwrap_or_default());
        }
        usage
    }

    /// Writes the settings of a daemon, and returns their path.
    fn write_settings(
        &self,
        folder: &Path,
        kv: SocketAddr,
        number: usize,
        halls: usize,
    ) -> anyhow::Result<PathBuf> {
        let names: Vec<String> = (0..halls).map(|hall| format!("hall-{hall}")).collect();
        let seeds = self
            .daemons
            .iter()
            .take(SEED_DAEMONS)
            .map(|d| d.peer.to_string());
        let settings = json!({
            "name": format!("entry-{number}"),
            "region": "region",
            "hall": names[number % halls],
            "regions": {"region": names},
            "listen": {"caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0"},
            "peers": seeds.collect::<Vec<String>>(),
            "platform": [kv.to_string()],
            "host_list": self.hosts_address.to_string(),
            "peer_key": "key-between-daemons-of-measurement",
            "operator_token": TOKEN,
        });
        let path = folder.join(format!("{number}.yaml"));
        fs::write(&path, settings.to_string())?;
        Ok(path)
    }
}

/// Resource usage of a daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time, in milliseconds.
    pub cpu_ms: f64,
    /// Resident memory, in megabytes.
    pub rss_mb: f64,
    /// Number of digests sent.
    pub digests: f64,
    /// Number of fetches sent.
    pub fetches: f64,
}

impl Usage {
    /// Returns the mean usage between two samples, and the maximum memory at the second.
    pub fn between(before: &[Usage], after: &[Usage]) -> Usage {
        let mean = |field: fn(&Usage) -> f64| {
            let differences = before.iter().zip(after).map(|(b, a)| field(a) - field(b));
            differences.sum::<f64>() / after.len().max(1) as f64
        };
        Usage {
            cpu_ms: mean(|u| u.cpu_ms),
            rss_mb: after.iter().map(|u| u.rss_mb).fold(0.0, f64::max),
            digests: mean(|u| u.digests),
            fetches: mean(|u| u.fetches),
        }
    }

    /// Reads the usage of a daemon from `/proc` and its metrics.
    async fn of(daemon: &Daemon) -> anyhow::Result<Usage> {
        let folder = PathBuf::from(format!("/proc/{}", daemon.process.id()));
        let stat = fs::read_to_string(folder.join("stat"))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        let ticks: f64 = fields[12].parse::<f64>()? + fields[13].parse::<f64>()?;
        let status = fs::read_to_string(folder.join("status"))?;
        let resident_kb = number_after(&status, "VmRSS:");
        let metrics = send(daemon.caller, "GET", "/metrics", Value::Null).await?;
        let metrics = String::from_utf8_lossy(&metrics);
        Ok(Usage {
            cpu_ms: ticks * 1_000.0 / TICKS_PER_S,
            rss_mb: resident_kb / 1_024.0,
            digests: number_after(&metrics, "\nhickoryledge_config_digests_total"),
            fetches: number_after(&metrics, "\nhickoryledge_config_fetches_total"),
        })
    }
}

/// Returns the number that follows a label, or zero if there is none.
fn number_after(text: &str, label: &str) -> f64 {
    let rest = text.split_once(label).map_or("", |(_, rest)| rest);
    let word = rest.split_whitespace().next().unwrap_or("");
    word.parse().unwrap_or(0.0)
}

/// Starts a program, and returns the first JSON line of its output that has a field.
fn launch(program: &Path, args: &[&str], field: &str) -> anyhow::Result<(Child, Value)> {
    let mut process = Command::new(program)
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .with_context(|| format!("cannot start {}", program.display()))?;
    let output = process.stdout.take().context("the process has no stdout")?;
    let mut lines = BufReader::new(output).lines();
    let found = lines
        .by_ref()
        .map_while(Result::ok)
        .filter_map(|line| serde_json::from_str::<Value>(&line).ok())
        .find(|value| value.get(field).is_some());
    std::thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
    let line = found
        .with_context(|| format!("{} ended without printing its addresses", program.display()))?;
    Ok((process, line))
}

/// Sends a request and returns the body of the response.
async fn send(address: SocketAddr, method: &str, path: &str, body: Value) -> anyhow::Result<Bytes> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "measured")
        .body(Full::<Bytes>::from(body.to_string()))?;
    let response = http::send_once(address, request).await?;
    Ok(response.into_body().collect().await?.to_bytes())
}

/// Parses an address.
fn address(value: &Value) -> anyhow::Result<SocketAddr> {
    let text = value.as_str().context("address is not a string")?;
    Ok(text.parse()?)
}
