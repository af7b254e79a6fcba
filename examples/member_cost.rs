//! Measures what membership and load digests cost a daemon, in virtual time.
//!
//! Cores are handed each other's outputs, sealed as on the wire; runners and
//! the platform's service are fakes. Prints one JSON object: bytes a second for
//! each daemon by kind, packet headers included, and the time that the decision
//! logic took. Build it with `--release` for the times to mean something.

#[path = "../tests/fakes/mod.rs"]
mod fakes;
#[allow(dead_code)]
#[path = "../tests/member/net.rs"]
mod net;
#[path = "../tests/group/runner.rs"]
mod runner;

use argh::FromArgs;
use hickoryledge::core::{keys::HostName, member::Health, options::Options, time::Span};
use net::{Net, SimDaemon, Traffic};
use serde_json::{Value, json};

/// Measures what membership and load digests cost.
#[derive(FromArgs)]
struct Args {
    /// how many daemons
    #[argh(option, default = "8")]
    daemons: usize,
    /// how many fabric domains
    #[argh(option, default = "3")]
    domains: usize,
    /// hosts in each domain
    #[argh(option, default = "20")]
    hosts: usize,
    /// groups in each domain
    #[argh(option, default = "4")]
    groups: usize,
    /// hosts in each group
    #[argh(option, default = "4")]
    size: u16,
    /// how long it is measured, in seconds
    #[argh(option, default = "30")]
    seconds: u64,
    /// how many deaths, leaving hosts and cut-off daemons are timed
    #[argh(option, default = "0")]
    events: usize,
}

/// The longest that an event is waited for.
const PATIENCE: Span = Span::from_secs(60);

/// How long the daemons have to find each other and to place the groups.
const WARM_UP: Span = Span::from_secs(60);

fn main() {
    let args: Args = argh::from_env();
    let mut net = Net::new(args.daemons, 1, Options::default());
    net.start();
    net.run(Span::from_secs(10));
    for domain in 0..args.domains {
        let name = format!("rack{domain:02}");
        net.add_hosts(&name, args.hosts);
        net.put_groups(&name, args.groups, args.size);
    }
    net.run(WARM_UP);
    for node in &mut net.daemons {
        node.sent = Traffic::default();
        node.received = Traffic::default();
        node.cpu_time = Default::default();
    }
    let (calls, reads) = (net.registry_calls, net.load_reads);
    net.run(Span::from_secs(args.seconds));
    let seconds = args.seconds as f64;
    let per_s = |count: u64| count as f64 / seconds;
    let spent = |node: &SimDaemon| node.cpu_time.as_secs_f64() / seconds;
    let share_mean = mean(&net, spent);
    let share_max = net.daemons.iter().map(spent).fold(0.0, f64::max);
    let load_reads = per_s(net.load_reads - reads);
    let registry_calls = per_s(net.registry_calls - calls);
    let sent = kinds(&net, seconds, |node| node.sent);
    let received = kinds(&net, seconds, |node| node.received);
    let report = json!({
        "daemons": args.daemons,
        "hosts": args.domains * args.hosts,
        "groups": args.domains * args.groups,
        "live_seen": net.daemons.iter().map(|n| n.core.members().live().count()).min(),
        "hosts_with_load": hosts_with_load(&net),
        "sent_bytes_per_s": sent,
        "received_bytes_per_s": received,
        "load_reads_per_s": load_reads,
        "registry_calls_per_s": registry_calls,
        "death_known_everywhere_ms": deaths(&mut net, args.events),
        "leaving_known_everywhere_ms": leavings(&mut net, args.events),
        "cut_off_refuses_ms": cuts(&mut net, args.events),
        "decision_core_share_mean": share_mean,
        "decision_core_share_max": share_max,
    });
    println!("{report:#}");
}

/// Kills daemons one after the other; the time until none thinks the dead one alive.
fn deaths(net: &mut Net, count: usize) -> Value {
    let mut spans = Vec::new();
    for number in 0..count {
        let index = 2 + number % (net.daemons.len() - 2);
        let name = net.daemons[index].me.name.clone();
        let run = net.daemons[index].me.incarnation.0;
        net.kill(index);
        let known = net.run_until(PATIENCE, |net| {
            let others = net.daemons.iter().filter(|node| node.is_up);
            let mut address = others.map(|node| node.core.members().address(&name, None));
            address.all(|address| address.is_none())
        });
        spans.push(known.unwrap_or(PATIENCE));
        net.restart(index, name.as_str(), run + 1);
        net.run(Span::from_millis(7_300 + 130 * number as u64));
    }
    quantiles(spans)
}

/// Has the load reports of hosts say that they leave; the time until all daemons know.
fn leavings(net: &mut Net, count: usize) -> Value {
    let hosts: Vec<_> = net.runners.keys().cloned().collect();
    let mut spans = Vec::new();
    for number in 0..count {
        let host = &hosts[number * 7 % hosts.len()];
        set_leaving(net, host, true);
        let known = net.run_until(PATIENCE, |net| {
            let health = |node: &SimDaemon| node.core.hosts().get(host).map(|h| h.health);
            let mut all = net.daemons.iter().map(health);
            all.all(|health| health.is_none_or(|health| health == Health::Leaving))
        });
        spans.push(known.unwrap_or(PATIENCE));
        set_leaving(net, host, false);
        net.run(Span::from_millis(40_300 + 70 * number as u64));
    }
    quantiles(spans)
}

fn set_leaving(net: &mut Net, host: &HostName, leaving: bool) {
    let runner = net.runners.get_mut(host).expect("a runner");
    runner.report.leaving = leaving;
}

/// Cuts the first daemon off from all; the time until it refuses new work.
fn cuts(net: &mut Net, count: usize) -> Value {
    let mut spans = Vec::new();
    for number in 0..count {
        net.split(1, true);
        net.daemons[0].reaches_platform = false;
        let stale = net.run_until(PATIENCE, |net| {
            !net.daemons[0].core.members().is_fresh(net.now)
        });
        spans.push(stale.unwrap_or(PATIENCE));
        net.split(1, false);
        net.daemons[0].reaches_platform = true;
        net.run(Span::from_millis(15_000 + 190 * number as u64));
    }
    quantiles(spans)
}

fn quantiles(mut spans: Vec<Span>) -> Value {
    spans.sort_unstable();
    let Some(last) = spans.len().checked_sub(1) else {
        return Value::Null;
    };
    let at = |share: f64| spans[(last as f64 * share).round() as usize].as_millis();
    json!({ "count": spans.len(), "p50": at(0.5), "p95": at(0.95), "max": at(1.0) })
}

/// Hosts whose load the last daemon knows.
fn hosts_with_load(net: &Net) -> usize {
    let last = net.daemons.last().expect("a daemon");
    last.core
        .hosts()
        .iter()
        .filter(|h| h.load.is_some())
        .count()
}

fn kinds<F>(net: &Net, seconds: f64, bytes: F) -> Value
where
    F: Fn(&SimDaemon) -> Traffic,
{
    let field = |pick: fn(Traffic) -> u64| {
        let each = |node: &SimDaemon| pick(bytes(node)) as f64 / seconds;
        let max = net.daemons.iter().map(each).fold(0.0, f64::max);
        json!({ "mean": mean(net, each).round(), "max": max.round() })
    };
    json!({
        "membership": field(|s| s.membership),
        "digests": field(|s| s.digests),
        "config": field(|s| s.config),
        "groups": field(|s| s.groups),
    })
}

fn mean<F>(net: &Net, value: F) -> f64
where
    F: Fn(&SimDaemon) -> f64,
{
    net.daemons.iter().map(value).sum::<f64>() / net.daemons.len() as f64
}
