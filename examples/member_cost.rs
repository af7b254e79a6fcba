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

use {
    argh::FromArgs,
    hickoryledge::core::{options::Options, time::Span},
    net::{Net, Node, Sent},
    serde_json::{Value, json},
};

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
}

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
    for node in &mut net.nodes {
        node.sent = Sent::default();
        node.received = Sent::default();
        node.spent = Default::default();
    }
    let (calls, reads) = (net.calls, net.reads);
    net.run(Span::from_secs(args.seconds));
    let seconds = args.seconds as f64;
    let per_s = |count: u64| count as f64 / seconds;
    let spent = |node: &Node| node.spent.as_secs_f64() / seconds;
    let report = json!({
        "daemons": args.daemons,
        "hosts": args.domains * args.hosts,
        "groups": args.domains * args.groups,
        "live_seen": net.nodes.iter().map(|n| n.core.members().live().count()).min(),
        "hosts_with_load": hosts_with_load(&net),
        "sent_bytes_per_s": kinds(&net, seconds, |node| node.sent),
        "received_bytes_per_s": kinds(&net, seconds, |node| node.received),
        "load_reads_per_s": per_s(net.reads - reads),
        "registry_calls_per_s": per_s(net.calls - calls),
        "decision_core_share_mean": mean(&net, spent),
        "decision_core_share_max": net.nodes.iter().map(spent).fold(0.0, f64::max),
    });
    println!("{report:#}");
}

/// Hosts whose load the last daemon knows.
fn hosts_with_load(net: &Net) -> usize {
    let last = net.nodes.last().expect("a daemon");
    last.core
        .hosts()
        .iter()
        .filter(|h| h.load.is_some())
        .count()
}

fn kinds<F>(net: &Net, seconds: f64, bytes: F) -> Value
where
    F: Fn(&Node) -> Sent,
{
    let field = |pick: fn(Sent) -> u64| {
        let each = |node: &Node| pick(bytes(node)) as f64 / seconds;
        let max = net.nodes.iter().map(each).fold(0.0, f64::max);
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
    F: Fn(&Node) -> f64,
{
    net.nodes.iter().map(value).sum::<f64>() / net.nodes.len() as f64
}
