//! Measures what one daemon's decision logic holds and costs at several sizes.
//!
//! Prints a JSON line for each size, then the slopes between the smallest and
//! the largest. Memory freed at one size is used again at the next, so memory
//! is measured with `--only 0`, `--only 1` and `--only 2`, a process each.
//! Build it with `--release` for the figures to mean something.

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

/// Hosts in one replica.
const GROUP_SIZE: usize = 16;

/// Accelerators of one host.
const ACCELERATORS: u16 = 4;

/// How often an event is measured.
const REPEATS: u32 = 200;

/// How long an idle daemon is measured, in virtual time.
const IDLE: Span = Span::from_secs(60);

/// Measures one daemon's decision logic.
#[derive(FromArgs)]
struct Args {
    /// measure only this size, counted from 0
    #[argh(option)]
    only: Option<usize>,
}

/// The system's size.
#[derive(Clone, Copy)]
struct Size {
    daemons: usize,
    hosts: usize,
    domains: usize,
    accounts: usize,
}

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

/// What was measured at one size.
struct Figures {
    size: Size,
    bytes: f64,
    load: f64,
    hosts: f64,
    change: f64,
    placement: f64,
    idle: f64,
}

/// One daemon, driven by hand.
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
        let size = SIZES.get(index).context("there is no such size")?;
        println!("{}", line(&measure(*size)?));
        return Ok(());
    }
    let mut all = Vec::new();
    for size in SIZES {
        let figures = measure(size)?;
        println!("{}", line(&figures));
        all.push(figures);
    }
    let (first, last) = (&all[0], &all[all.len() - 1]);
    let hosts = (last.size.hosts - first.size.hosts) as f64;
    let per_host = |of: fn(&Figures) -> f64| (of(last) - of(first)) / hosts;
    let slopes = json!({
        "slope": "for each host more, with daemons, groups and accounts in proportion",
        "hosts_us": per_host(|f| f.hosts),
        "change_us": per_host(|f| f.change),
        "placement_us": per_host(|f| f.placement),
        "idle_us_per_s": per_host(|f| f.idle),
    });
    println!("{slopes}");
    Ok(())
}

fn line(figures: &Figures) -> serde_json::Value {
    let Size {
        daemons,
        hosts,
        domains,
        accounts,
    } = figures.size;
    json!({
        "daemons": daemons, "hosts": hosts, "domains": domains, "accounts": accounts,
        "state_bytes": figures.bytes,
        "load_ms": figures.load / 1e3,
        "hosts_us": figures.hosts,
        "change_us": figures.change,
        "placement_us": figures.placement,
        "idle_us_per_s": figures.idle,
    })
}

fn measure(size: Size) -> anyhow::Result<Figures> {
    let entries = entries(size);
    let hosts = hosts(size);
    let before = resident()?;
    let began = Instant::now();
    let mut bench = Bench::start(entries)?;
    let load = micros(began.elapsed());
    bench.step(Input::Hosts(HostsInput::Listed(hosts.clone())));
    let bytes = resident()? - before;

    let mut lists = (0..REPEATS)
        .map(|number| changed(&hosts, number))
        .collect::<Vec<_>>();
    let hosts = bench.time(REPEATS, |bench, _| {
        let list = lists.pop().unwrap_or_default();
        bench.step(Input::Hosts(HostsInput::Listed(list)));
    });
    let change = bench.time(REPEATS, |bench, number| {
        let name = format!("account-{}", number as usize % size.accounts);
        let account = Account {
            name: name.as_str().into(),
            rate: number,
            ..Account::default()
        };
        bench.write(&Key::Account(name.into()), &account);
    });
    let placement = bench.time(REPEATS, |bench, number| {
        let (key, mut placement) = placement(size, number as usize % size.domains);
        placement.serial += i64::from(number);
        bench.write(&key, &placement);
    });
    let began = Instant::now();
    bench.run(IDLE);
    let idle = micros(began.elapsed()) / IDLE.as_secs_f64();
    Ok(Figures {
        size,
        bytes,
        load,
        hosts,
        change,
        placement,
        idle,
    })
}

impl Bench {
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
        let list = call(&out, |call| matches!(call, PlatformCall::List { .. }))?;
        let revision = Revision(bench.revision);
        let answer = PlatformAnswer::Entries { revision, entries };
        let out = bench.step(Input::Platform(PlatformInput::Answered {
            id: list,
            answer,
        }));
        bench.watch = call(&out, |call| matches!(call, PlatformCall::Watch { .. }))?;
        Ok(bench)
    }

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

    /// Tells of a written record, as the watch does.
    fn write<T>(&mut self, key: &Key, record: &T)
    where
        T: serde::Serialize,
    {
        self.revision += 1;
        let revision = Revision(self.revision);
        let events = vec![WatchEvent::Put(entry(key, record, self.revision))];
        let id = self.watch;
        self.step(Input::Platform(PlatformInput::Watched {
            id,
            revision,
            events,
        }));
    }

    /// Lets timers run, and the watch mark progress, for a time.
    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while let Some(at) = self.timers.next_due().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            if let Some(timer) = self.timers.pop_due(at) {
                self.step(Input::Timer(timer));
            }
        }
        self.now = end;
    }

    /// The mean time of an event, in microseconds.
    fn time<F>(&mut self, repeats: u32, mut event: F) -> f64
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

fn call<F>(out: &[Output], wanted: F) -> anyhow::Result<PlatformId>
where
    F: Fn(&PlatformCall) -> bool,
{
    let mut calls = out.iter().filter_map(|output| match output {
        Output::Platform { id, call } if wanted(call) => Some(*id),
        _ => None,
    });
    calls.next().context("the call was not made")
}

fn entries(size: Size) -> Vec<PlatformEntry> {
    let model = Model {
        name: "m".into(),
        version: "v1".into(),
        size: GROUP_SIZE as u16,
        ..Model::default()
    };
    let mut entries = vec![entry(&Key::Model("m".into()), &model, 1)];
    for number in 0..size.accounts {
        let name = format!("account-{number}");
        let key = KeyHash(*blake3::hash(name.as_bytes()).as_bytes());
        let account = Account {
            name: name.as_str().into(),
            key,
            ..Account::default()
        };
        entries.push(entry(&Key::Account(name.into()), &account, 2));
    }
    for number in 0..size.daemons {
        let name = format!("daemon-{number}");
        let daemon = Daemon {
            name: name.as_str().into(),
            hall: hall(number, size),
            ..Daemon::default()
        };
        entries.push(entry(&Key::Daemon(name.into()), &daemon, 3));
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
            entries.push(entry(&Key::Group(name.clone()), &spec, 4));
        }
        let duty = Duty {
            daemon: "daemon-1".into(),
            ..Duty::default()
        };
        entries.push(entry(&Key::Duty(placement.domain.clone()), &duty, 5));
        entries.push(entry(&key, &placement, 6));
    }
    entries
}

fn hall<T>(number: usize, size: Size) -> T
where
    T: From<String>,
{
    T::from(format!("hall-{}", number % size.domains))
}

/// A domain's record, its hosts in groups as far as they go round.
fn placement(size: Size, domain: usize) -> (Key, Placement) {
    let name = format!("domain-{domain}");
    let mine: Vec<usize> = (0..size.hosts)
        .filter(|host| host % size.domains == domain)
        .collect();
    let groups = mine
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

fn hosts(size: Size) -> Vec<HostEntry> {
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

/// The list with one host leaving, another each time.
fn changed(hosts: &[HostEntry], number: u32) -> Vec<HostEntry> {
    let mut hosts = hosts.to_vec();
    let index = number as usize % hosts.len();
    hosts[index].leaving = true;
    hosts
}

fn entry<T>(key: &Key, record: &T, revision: i64) -> PlatformEntry
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

/// Resident memory, in bytes.
fn resident() -> anyhow::Result<f64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .context("no VmRSS")?;
    let kilobytes = line.split_whitespace().nth(1).context("no figure")?;
    Ok(kilobytes.parse::<f64>()? * 1024.0)
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
