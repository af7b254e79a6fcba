//! Daemons with their store and their runners.

use super::{
    client::send_request,
    config,
    env::{Daemon, DaemonSettings, serve_store, wait_until},
    link::{Link, serve_store_view},
    options::Options,
    records::Life,
    runner::{Runner, Script},
    store::Store,
};
use nix::sys::signal::Signal;
use std::{
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

const HEAD_NAMES: [&str; 4] = ["h1", "h2", "h3", "h4"];

const PLAIN_NAMES: [&str; 4] = ["p1", "p2", "p3", "p4"];

/// Number of heads of the model.
pub const HEAD_COUNT: usize = HEAD_NAMES.len();

/// Factor by which the last head is slower than the configuration says.
const SLOW_PACE: f64 = 1.5;

/// Time for which callers keep a directory response, as a part of the grace period.
const TTL_PART: f64 = 5.0 / 8.0;

/// First port of the daemons.
const FIRST_PORT: u16 = 7_000;

/// Several daemons that share a store and runners.
pub struct Fleet {
    /// Heads of the model.
    pub heads: Vec<Arc<Runner>>,
    /// Runners of the plain service.
    pub plain_runners: Vec<Arc<Runner>>,
    /// Grace period of a stop.
    pub grace: Duration,
    /// Seed of the run.
    pub seed: u64,
    /// Time at which the load starts.
    pub started: Instant,
    /// Store of the daemons and runners.
    pub store: Arc<Store>,
    /// Each daemon's links to all runners.
    pub links: Vec<Vec<Link>>,
    /// Each daemon's link to the store; none if they reach it directly.
    pub store_links: Vec<Link>,
    settings: Vec<DaemonSettings>,
    slots: Vec<Mutex<Slot>>,
    ended: Mutex<Vec<Life>>,
    log_dir: PathBuf,
}

/// Running process of a daemon.
pub struct Slot {
    daemon: Daemon,
    /// What has happened to it so far.
    pub life: Life,
}

impl Fleet {
    /// Starts daemons and runners and waits until all daemons serve.
    pub fn start(options: &Options, seed: u64) -> Self {
        let store = Arc::new(Store::default());
        config::write(&store, 1);
        let plain_runners: Vec<Arc<Runner>> = PLAIN_NAMES[..options.plain_runners]
            .iter()
            .map(|name| start_runner(name, "plain", None, &store))
            .collect();
        let heads = HEAD_NAMES.map(|name| start_runner(name, "engines", Some(name), &store));
        heads[HEAD_COUNT - 1].slow_down(SLOW_PACE);
        let links: Vec<Vec<Link>> = (0..options.daemons)
            .map(|_| match options.has_links {
                true => start_links(plain_runners.iter().chain(&heads)),
                false => Vec::new(),
            })
            .collect();
        let store_addresses: Vec<SocketAddr> = links
            .iter()
            .map(|links| store_address(&store, links))
            .collect();
        let store_links: Vec<Link> = match options.has_links {
            true => store_addresses.iter().copied().map(Link::start).collect(),
            false => Vec::new(),
        };
        let log_dir = log_dir(seed);
        let settings: Vec<DaemonSettings> = (0..options.daemons)
            .map(|index| DaemonSettings {
                grace: options.grace,
                ttl: options.grace.mul_f64(TTL_PART),
                listen: listen_addresses(index),
                log: Some(log_dir.join(format!("d{index}.log"))),
                ..DaemonSettings::new(
                    &format!("d{index}"),
                    store_links
                        .get(index)
                        .map_or(store_addresses[index], Link::address),
                )
            })
            .collect();
        let slots = settings.iter().enumerate();
        let slots = slots.map(|(index, settings)| Mutex::new(Slot::start(index, settings)));
        let mut fleet = Self {
            heads: heads.to_vec(),
            plain_runners,
            grace: options.grace,
            seed,
            started: Instant::now(),
            store,
            links,
            store_links,
            slots: slots.collect(),
            settings,
            ended: Mutex::default(),
            log_dir,
        };
        wait_until("all daemons serve", || fleet.serves());
        fleet.started = Instant::now();
        fleet
    }

    /// Returns the addresses for callers, in the order of the daemons.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let settings = self.settings.iter();
        settings.map(|settings| settings.listen[0]).collect()
    }

    /// Returns the addresses for directory requests.
    pub fn directory_addresses(&self) -> Vec<SocketAddr> {
        let settings = self.settings.iter();
        settings.map(|settings| settings.listen[2]).collect()
    }

    /// Returns the running process of a daemon.
    pub fn slot(&self, index: usize) -> MutexGuard<'_, Slot> {
        self.slots[index].lock().expect("not poisoned")
    }

    /// Returns the number of daemons.
    pub fn size(&self) -> usize {
        self.slots.len()
    }

    /// Records the end of a daemon's process, if it has ended, and starts the next one.
    pub fn restart_if_ended(&self, index: usize) {
        let mut slot = self.slot(index);
        let Some(status) = slot.daemon.exit_status() else {
            return;
        };
        slot.life.end = Some((Instant::now(), status));
        let next = Slot::start(index, &self.settings[index]);
        let old = std::mem::replace(&mut *slot, next);
        self.ended.lock().expect("not poisoned").push(old.life);
    }

    /// Returns the lives of all processes so far.
    pub fn lives(&self) -> Vec<Life> {
        let mut lives = self.ended.lock().expect("not poisoned").clone();
        lives.extend((0..self.size()).map(|index| self.slot(index).life.clone()));
        lives.sort_by_key(|life| (life.daemon, life.started));
        lives
    }

    /// Returns all runners.
    pub fn runners(&self) -> impl Iterator<Item = &Arc<Runner>> {
        self.heads.iter().chain(&self.plain_runners)
    }

    /// Removes the daemons' logs.
    pub fn remove_logs(&self) {
        // A log that is still there does no harm.
        let _ = std::fs::remove_dir_all(&self.log_dir);
    }

    /// Returns the directory of the daemons' logs.
    pub fn log_dir(&self) -> &Path {
        &self.log_dir
    }

    /// Returns true if a daemon says that it reaches no runner.
    pub fn has_cut_off_daemon(&self) -> bool {
        let mut slots = (0..self.size()).map(|index| self.slot(index));
        slots.any(|slot| slot.daemon.metric("hickoryledge_cut_off") != 0.0)
    }

    /// Returns true if every daemon serves streams and requests to the plain service.
    pub fn serves(&self) -> bool {
        let key = format!("Authorization: Bearer {}", config::API_KEY);
        let model = [key.as_str(), "X-Model: m", "X-Token-Count: 100,20"];
        let all_open = self.heads.iter().all(|head| head.is_open());
        all_open
            && self.caller_addresses().into_iter().all(|address| {
                send_request(address, "GET", "/read/x", &model[..1], "").status == 200
                    && send_request(address, "POST", "/chat/x", &model, "{}").status == 200
            })
    }
}

impl Slot {
    fn start(index: usize, settings: &DaemonSettings) -> Self {
        let started = Instant::now();
        Self {
            daemon: Daemon::start_with(settings),
            life: Life {
                daemon: index,
                started,
                signals: Vec::new(),
                end: None,
            },
        }
    }

    /// Sends a signal to the process, unless it has ended.
    pub fn signal(&mut self, signal: Signal) {
        if self.daemon.exit_status().is_none() {
            self.life.signals.push((signal, Instant::now()));
            self.daemon.signal(signal);
        }
    }
}

fn start_runner(
    name: &'static str,
    service: &str,
    domain: Option<&str>,
    store: &Arc<Store>,
) -> Arc<Runner> {
    Runner::start(name, service, domain, store.clone(), Script::default())
}

fn start_links<'a, I>(runners: I) -> Vec<Link>
where
    I: Iterator<Item = &'a Arc<Runner>>,
{
    runners
        .map(|runner| Link::start(runner.address()))
        .collect()
}

/// Serves the store to one daemon, which reaches the runners by its links if it has any.
fn store_address(store: &Arc<Store>, links: &[Link]) -> SocketAddr {
    match links {
        [] => serve_store(store.clone()),
        links => serve_store_view(store.clone(), links),
    }
}

/// Returns the addresses of a daemon, on a loopback address of this test program: outgoing
/// connections can't take its ports while the daemon restarts.
fn listen_addresses(index: usize) -> [SocketAddr; 4] {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, 64 + high % 128, middle, low);
    let port = FIRST_PORT + 4 * index as u16;
    [0, 1, 2, 3].map(|offset| SocketAddr::from((own, port + offset)))
}

/// Creates an empty directory for the logs of a seed.
fn log_dir(seed: u64) -> PathBuf {
    let parent = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stops");
    let thread = std::thread::current();
    let test = thread.name().unwrap_or("test").replace("::", "-");
    let path = parent.join(format!("{}-{test}-seed-{seed}", std::process::id()));
    std::fs::create_dir_all(&path).expect("the directory is created");
    path
}
