//! Measures memory and time of one daemon's decision logic at several cluster sizes.
//!
//! Prints a JSON line for each size, then the slopes between the smallest and
//! the largest. Memory freed at one size is reused at the next, so measure
//! memory in separate processes with `--only 0`, `--only 1` and `--only 2`.
//! Build with `--release`: times of a debug build aren't representative.

use std::{
    fs,
    time::{Duration, Instant},
};

use anyhow::Context;
use argh::FromArgs;
use hickoryledge::{
    core::{
        Core,
        config::{
            Key,
            record::{Account, Daemon, Duty, GroupSpec, Model, PlacedGroup, Placement, Stage},
        },
        ctx::Identity,
        input::{
            HostEntry, HostsInput, Input, OrderChecks, PlatformAnswer, PlatformEntry,
            PlatformInput, RunnerKind, WatchEvent,
        },
        keys::{Epoch, Incarnation, KeyHash, PlatformId, Revision},
        options::Options,
        output::{Output, PlatformCall},
        time::{Span, Time},
    },
    timers::Timers,
};
use serde_json::json;

/// Hosts in one group.
const GROUP_SIZE: usize = 16;

/// Accelerators per host.
const ACCELERATORS: u16 = 4;

/// Repetitions of each measured event.
const REPEATS: u32 = 200;

/// Virtual time over which an idle daemon is measured.
const IDLE_WINDOW: Span = Span::from_secs(60);

/// Measures one daemon's decision logic.
#[derive(FromArgs)]
struct Args {
    /// index of the only size to measure, counted from 0
    #[argh(option)]
    only: Option<usize>,
}

/// Size of the cluster.
#[derive(Clone, Copy)]
struct Size {
    daemons: usize,
    hosts: usize,
    domains: usize,
    accounts: usize,
}

/// Cluster sizes to measure, in ascending order.
const SIZES: [Size; 3] = [
    Size {
        daemons: 8,
        hosts: 68,
        domains: 3,
        accounts: 10,
    },
    Size {
        daemons: 85,
        hosts: 450,
        domains: 5,
        accounts: 50,
    },
    Size {
        daemons: 340,
        hosts: 1_800,
        domains: 15,
        accounts: 200,
    },
];

/// Results at one size.
struct Results {
    size: Size,
    /// Resident memory of the state after loading.
    state_bytes: f64,
    /// Time to load the configuration.
    load_us: f64,
    /// Time to apply a host list with one change.
    hosts_us: f64,
    /// Time to apply a changed account.
    change_us: f64,
    /// Time to apply a changed placement.
    placement_us: f64,
    /// Time spent per second of virtual time on an idle daemon.
    idle_us: f64,
}

/// Decision logic of one daemon, driven in virtual time.
struct Bench {
    core: Core,
    timers: Timers,
    now: Time,
    watch: PlatformId,
    revision: i64,
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    if let Some(index) = args.only {
        let size = SIZES.get(index).context("no size has this index")?;
        println!("{}", to_json(&measure(*size)?));
        return Ok(());
    }
    let mut all = Vec::new();
    for size in SIZES {
        let results = measure(size)?;
        println!("{}", to_json(&results));
        all.push(results);
    }
    let (first, last) = (&all[0], &all[all.len() - 1]);
    let hosts = (last.size.hosts - first.size.hosts) as f64;
    let per_host = |field: fn(&Results) -> f64| (field(last) - field(first)) / hosts;
    let slopes = json!({
        "slope": "for each host more, with daemons, groups and accounts in proportion",
        "hosts_us": per_host(|f| f.hosts_us),
        "change_us": per_host(|f| f.change_us),
        "placement_us": per_host(|f| f.placement_us),
        "idle_us_per_s": per_host(|f| f.idle_us),
    });
    println!("{slopes}");
    Ok(())
}

/// Formats the results of one size as JSON.
fn to_json(results: &Results) -> serde_json::Value {
    let Size {
        daemons,
        hosts,
        domains,
        accounts,
    } = results.size;
    json!({
        "daemons": daemons, "hosts": hosts, "domains": domains, "accounts": accounts,
        "state_bytes": results.state_bytes,
        "load_ms": results.load_us / 1e3,
        "hosts_us": results.hosts_us,
        "change_us": results.change_us,
        "placement_us": results.placement_us,
        "idle_us_per_s": results.idle_us,
    })
}

/// Measures all costs at one size.
fn measure(size: Size) -> anyhow::Result<Results> {
    let entries = config_entries(size);
    let hosts = host_entries(size);
    let before = resident_bytes()?;
    let began = Instant::now();
    let mut bench = Bench::start(entries)?;
    let load_us = micros(began.elapsed());
    bench.step(Input::Hosts(HostsInput::Listed(hosts.clone())));
    let state_bytes = resident_bytes()? - before;

    let mut host_lists = (0..REPEATS)
        .map(|number| with_leaving_host(&hosts, number))
        .collect::<Vec<_>>();
    let hosts_us = bench.mean_micros(REPEATS, |bench, _| {
        let list = host_lists.pop().unwrap_or_default();
        bench.step(Input::Hosts(HostsInput::Listed(list)));
    });
    let change_us = bench.mean_micros(REPEATS, |bench, number| {
        let name = format!("account-{}", number as usize % size.accounts);
        let account = Account {
            name: name.as_str().into(),
            rate: number,
            ..Account::default()
        };
        bench.write_record(&Key::Account(name.into()), &account);
    });
    let placement_us = bench.mean_micros(REPEATS, |bench, number| {
        let (key, mut placement) = placement(size, number as usize % size.domains);
        placement.serial += i64::from(number);
        bench.write_record(&key, &placement);
    });
    let began = Instant::now();
    bench.run_for(IDLE_WINDOW);
    let idle_us = micros(began.elapsed()) / IDLE_WINDOW.as_secs_f64();
    Ok(Results {
        size,
        state_bytes,
        load_us,
        hosts_us,
        change_us,
        placement_us,
        idle_us,
    })
}

impl Bench {
    /// Starts the daemon and loads its configuration.
    fn start(entries: Vec<PlatformEntry>) -> anyhow::Result<Self> {
        let me = Identity {
            name: "daemon-0".into(),
            incarnation: Incarnation(1),
            region: "r".into(),
            hall: "hall-0".into(),
            caller: "127.0.0.1:1".parse()?,
            peer: "127.0.0.1:2".parse()?,
            seeds: Vec::new(),
            secret: 1,
        };
        let mut bench = Self {
            core: Core::new(me, Options::default(), 1),
            timers: Timers::default(),
            now: Time(0),
            watch: PlatformId::default(),
            revision: 1_000_000,
        };
        let out = bench.step(Input::Start);
        let list = find_call(&out, |call| matches!(call, PlatformCall::List { .. }))?;
        let revision = Revision(bench.revision);
        let answer = PlatformAnswer::Entries { revision, entries };
        let out = bench.step(Input::Platform(PlatformInput::Answered {
            id: list,
            answer,
        }));
        bench.watch = find_call(&out, |call| matches!(call, PlatformCall::Watch { .. }))?;
        Ok(bench)
    }

    /// Processes an input, sets the timers that it asks for, and returns the outputs.
    fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.core.step(self.now, input, &mut out);
        for output in &out {
            if let Output::SetTimer { timer, at } = output {
                self.timers.set(timer.clone(), *at);
            }
        }
        out
    }

    /// Delivers a changed record as an event of the watch.
    fn write_record<T>(&mut self, key: &Key, record: &T)
    where
        T: serde::Serialize,
    {
        self.revision += 1;
        let revision = Revision(self.revision);
        let events = vec![WatchEvent::Put(config_entry(key, record, self.revision))];
        let id = self.watch;
        self.step(Input::Platform(PlatformInput::Watched {
            id,
            revision,
            events,
        }));
    }

    /// Advances the time by `span` and fires the timers that are due.
    fn run_for(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(at) = self.timers.next_due().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            if let Some(timer) = self.timers.pop_due(at) {
                self.step(Input::Timer(timer));
            }
        }
        self.now = end;
    }

    /// Returns the mean time of an event, in microseconds.
    fn mean_micros<F>(&mut self, repeats: u32, mut event: F) -> f64
    where
        F: FnMut(&mut Self, u32),
    {
        let began = Instant::now();
        for number in 0..repeats {
            event(self, number);
        }
        micros(began.elapsed()) / f64::from(repeats)
    }
}

/// Returns the id of the first platform call that matches.
fn find_call<F>(out: &[Output], wanted: F) -> anyhow::Result<PlatformId>
where
    F: Fn(&PlatformCall) -> bool,
{
    let mut calls = out.iter().filter_map(|output| match output {
        Output::Platform { id, call } if wanted(call) => Some(*id),
        _ => None,
    });
    calls
        .next()
        .context("daemon did not make the expected platform call")
}

/// Returns the configuration of a cluster.
fn config_entries(size: Size) -> Vec<PlatformEntry> {
    let model = Model {
        name: "m".into(),
        version: "v1".into(),
        size: GROUP_SIZE as u16,
        ..Model::default()
    };
    let mut entries = vec![config_entry(&Key::Model("m".into()), &model, 1)];
    for number in 0..size.accounts {
        let name = format!("account-{number}");
        let key = KeyHash(*blake3::hash(name.as_bytes()).as_bytes());
        let account = Account {
            name: name.as_str().into(),
            key,
            ..Account::default()
        };
        entries.push(config_entry(&Key::Account(name.into()), &account, 2));
    }
    for number in 0..size.daemons {
        let name = format!("daemon-{number}");
        let daemon = Daemon {
            name: name.as_str().into(),
            hall: hall(number, size),
            ..Daemon::default()
        };
        entries.push(config_entry(&Key::Daemon(name.into()), &daemon, 3));
    }
    for domain in 0..size.domains {
        let (key, placement) = placement(size, domain);
        for name in placement.groups.keys() {
            let domain = placement.domain.clone();
            let spec = GroupSpec {
                name: name.clone(),
                model: "m".into(),
                domain,
                ..GroupSpec::default()
            };
            entries.push(config_entry(&Key::Group(name.clone()), &spec, 4));
        }
        let duty = Duty {
            daemon: "daemon-1".into(),
            ..Duty::default()
        };
        entries.push(config_entry(&Key::Duty(placement.domain.clone()), &duty, 5));
        entries.push(config_entry(&key, &placement, 6));
    }
    entries
}

/// Returns the name of the hall of a daemon or host.
fn hall<T>(number: usize, size: Size) -> T
where
    T: From<String>,
{
    T::from(format!("hall-{}", number % size.domains))
}

/// Returns a domain's placement, which forms as many complete groups as its hosts allow.
fn placement(size: Size, domain: usize) -> (Key, Placement) {
    let name = format!("domain-{domain}");
    let host_indices: Vec<usize> = (0..size.hosts)
        .filter(|host| host % size.domains == domain)
        .collect();
    let groups = host_indices
        .chunks_exact(GROUP_SIZE)
        .enumerate()
        .map(|(number, hosts)| {
            let placed = PlacedGroup {
                epoch: Epoch(1),
                hosts: hosts
                    .iter()
                    .map(|host| format!("host-{host}").into())
                    .collect(),
                model: "m".into(),
                version: "v1".into(),
                stage: Stage::Serving,
                ..PlacedGroup::default()
            };
            (format!("group-{domain}-{number}").into(), placed)
        });
    let placement = Placement {
        domain: name.as_str().into(),
        groups: groups.collect(),
        serial: 1,
        ..Placement::default()
    };
    (Key::Placement(name.into()), placement)
}

/// Returns the host list.
fn host_entries(size: Size) -> Vec<HostEntry> {
    let host = |number: usize| HostEntry {
        host: format!("host-{number}").into(),
        hall: hall(number, size),
        domain: format!("domain-{}", number % size.domains).into(),
        address: ([127, 0, 0, 1], 10_000 + number as u16).into(),
        accelerators: ACCELERATORS,
        kind: RunnerKind::Engine,
        leaving: false,
        checks: OrderChecks::Fenced,
    };
    (0..size.hosts).map(host).collect()
}

/// Returns the list with one host leaving, a different one for each number.
fn with_leaving_host(hosts: &[HostEntry], number: u32) -> Vec<HostEntry> {
    let mut hosts = hosts.to_vec();
    let index = number as usize % hosts.len();
    hosts[index].leaving = true;
    hosts
}

/// Returns a record as the platform's store holds it.
fn config_entry<T>(key: &Key, record: &T, revision: i64) -> PlatformEntry
where
    T: serde::Serialize,
{
    PlatformEntry {
        key: key.path(),
        value: serde_json::to_string(record).unwrap_or_default(),
        revision: Revision(revision),
        lease: None,
    }
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> anyhow::Result<f64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .context("/proc/self/status has no VmRSS")?;
    let kilobytes = line
        .split_whitespace()
        .nth(1)
        .context("VmRSS has no value")?;
    Ok(kilobytes.parse::<f64>()? * 1024.0)
}

/// Converts a duration to microseconds.
fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
