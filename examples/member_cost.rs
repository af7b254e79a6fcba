//! Measures the cost of membership and load digests per daemon, in virtual time.
//!
//! The decision logic of each daemon gets the others' messages encrypted as on
//! the wire; runners and the platform's store are fakes. Prints one JSON
//! object: bytes per second and daemon by kind, packet headers included, and the
//! CPU time of the decision logic. Build with `--release`: times of a debug build
//! aren't representative.

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

/// Measures the cost of membership and load digests.
#[derive(FromArgs)]
struct Args {
    /// number of daemons
    #[argh(option, default = "8")]
    daemons: usize,
    /// number of fabric domains
    #[argh(option, default = "3")]
    domains: usize,
    /// number of hosts in each domain
    #[argh(option, default = "20")]
    hosts: usize,
    /// number of groups in each domain
    #[argh(option, default = "4")]
    groups: usize,
    /// number of hosts in each group
    #[argh(option, default = "4")]
    size: u16,
    /// virtual time over which traffic is measured, in seconds
    #[argh(option, default = "30")]
    seconds: u64,
    /// number of daemon deaths, leaving hosts and cut-off daemons to time, each
    #[argh(option, default = "0")]
    events: usize,
}

/// Timeout of the wait until the daemons have noticed an event.
const EVENT_TIMEOUT: Span = Span::from_secs(60);

/// Delay before the measurement, in which the groups are placed.
const WARM_UP_DELAY: Span = Span::from_secs(60);

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
    net.run(WARM_UP_DELAY);
    for daemon in &mut net.daemons {
        daemon.sent = Traffic::default();
        daemon.received = Traffic::default();
        daemon.cpu_time = Default::default();
    }
    let (calls_before, reads_before) = (net.registry_calls, net.load_reads);
    net.run(Span::from_secs(args.seconds));
    let seconds = args.seconds as f64;
    let per_s = |count: u64| count as f64 / seconds;
    let core_share = |daemon: &SimDaemon| daemon.cpu_time.as_secs_f64() / seconds;
    let share_mean = mean(&net, core_share);
    let share_max = net.daemons.iter().map(core_share).fold(0.0, f64::max);
    let load_reads = per_s(net.load_reads - reads_before);
    let registry_calls = per_s(net.registry_calls - calls_before);
    let sent = traffic_by_kind(&net, seconds, |daemon| daemon.sent);
    let received = traffic_by_kind(&net, seconds, |daemon| daemon.received);
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
        "death_known_everywhere_ms": measure_deaths(&mut net, args.events),
        "leaving_known_everywhere_ms": measure_leaving(&mut net, args.events),
        "cut_off_refuses_ms": measure_cut_offs(&mut net, args.events),
        "decision_core_share_mean": share_mean,
        "decision_core_share_max": share_max,
    });
    println!("{report:#}");
}

/// Kills daemons one at a time; returns quantiles of the time until no other
/// daemon lists the dead one.
fn measure_deaths(net: &mut Net, count: usize) -> Value {
    let mut times = Vec::new();
    for number in 0..count {
        let index = 2 + number % (net.daemons.len() - 2);
        let name = net.daemons[index].me.name.clone();
        let incarnation = net.daemons[index].me.incarnation.0;
        net.kill(index);
        let elapsed = net.run_until(EVENT_TIMEOUT, |net| {
            let others = net.daemons.iter().filter(|daemon| daemon.is_up);
            let mut addresses = others.map(|daemon| daemon.core.members().address(&name, None));
            addresses.all(|address| address.is_none())
        });
        times.push(elapsed.unwrap_or(EVENT_TIMEOUT));
        net.restart(index, name.as_str(), incarnation + 1);
        net.run(Span::from_millis(7_300 + 130 * number as u64));
    }
    quantiles(times)
}

/// Makes hosts report one at a time that they leave; returns quantiles of the time until
/// all daemons know.
fn measure_leaving(net: &mut Net, count: usize) -> Value {
    let hosts: Vec<_> = net.runners.keys().cloned().collect();
    let mut times = Vec::new();
    for number in 0..count {
        let host = &hosts[number * 7 % hosts.len()];
        set_leaving(net, host, true);
        let elapsed = net.run_until(EVENT_TIMEOUT, |net| {
            let health = |daemon: &SimDaemon| daemon.core.hosts().get(host).map(|h| h.health);
            let mut all = net.daemons.iter().map(health);
            all.all(|health| health.is_none_or(|health| health == Health::Leaving))
        });
        times.push(elapsed.unwrap_or(EVENT_TIMEOUT));
        set_leaving(net, host, false);
        net.run(Span::from_millis(40_300 + 70 * number as u64));
    }
    quantiles(times)
}

/// Sets the leaving flag in the load reports of a host.
fn set_leaving(net: &mut Net, host: &HostName, leaving: bool) {
    let runner = net.runners.get_mut(host).expect("host has a runner");
    runner.report.leaving = leaving;
}

/// Cuts the first daemon off from all others and the platform; returns quantiles of the
/// time until it refuses new work.
fn measure_cut_offs(net: &mut Net, count: usize) -> Value {
    let mut times = Vec::new();
    for number in 0..count {
        net.split(1, true);
        net.daemons[0].reaches_platform = false;
        let elapsed = net.run_until(EVENT_TIMEOUT, |net| {
            !net.daemons[0].core.members().is_fresh(net.now)
        });
        times.push(elapsed.unwrap_or(EVENT_TIMEOUT));
        net.split(1, false);
        net.daemons[0].reaches_platform = true;
        net.run(Span::from_millis(15_000 + 190 * number as u64));
    }
    quantiles(times)
}

/// Returns the count and quantiles, in milliseconds, or null without a value.
fn quantiles(mut times: Vec<Span>) -> Value {
    times.sort_unstable();
    let Some(last) = times.len().checked_sub(1) else {
        return Value::Null;
    };
    let at = |quantile: f64| times[(last as f64 * quantile).round() as usize].as_millis();
    json!({ "count": times.len(), "p50": at(0.5), "p95": at(0.95), "max": at(1.0) })
}

/// Returns the number of hosts whose load the last daemon knows.
fn hosts_with_load(net: &Net) -> usize {
    let last = net.daemons.last().expect("there is a daemon");
    last.core
        .hosts()
        .iter()
        .filter(|h| h.load.is_some())
        .count()
}

/// Returns mean and maximum traffic over the daemons, by kind.
fn traffic_by_kind<F>(net: &Net, seconds: f64, bytes: F) -> Value
where
    F: Fn(&SimDaemon) -> Traffic,
{
    let field = |pick: fn(Traffic) -> u64| {
        let each = |daemon: &SimDaemon| pick(bytes(daemon)) as f64 / seconds;
        let max = net.daemons.iter().map(each).fold(0.0, f64::max);
        json!({ "mean": mean(net, each).round(), "max": max.round() })
    };
    json!({
        "membership": field(|traffic| traffic.membership),
        "digests": field(|traffic| traffic.digests),
        "config": field(|traffic| traffic.config),
        "groups": field(|traffic| traffic.groups),
    })
}

/// Returns the mean of a value over the daemons.
fn mean<F>(net: &Net, value: F) -> f64
where
    F: Fn(&SimDaemon) -> f64,
{
    net.daemons.iter().map(value).sum::<f64>() / net.daemons.len() as f64
}
