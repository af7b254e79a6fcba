//! Processes of the project, started with the command of the deploy file.

use crate::{http::Connection, record::Record};
use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// Processes that were started, to be ended with the case.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and then this one.
pub fn end(status: i32) -> ! {
    let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    std::process::exit(status)
}

fn with_child<A, T>(index: usize, act: A) -> T
where
    A: FnOnce(&mut Child) -> T,
{
    let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    act(&mut children[index])
}

/// Variable that holds the path of the settings, as DEPLOY.md says.
const SETTINGS: &str = "HICKORYLEDGE_CONFIG";

pub struct Daemon {
    pub name: String,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    /// Place among the children.
    index: usize,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("bound")
}

impl Daemon {
    /// Renders the template of the settings and starts the program of the deploy file.
    pub fn start(name: &str, root: &Path, folder: &Path, store: SocketAddr) -> Self {
        let [caller, ready, directory, peer, relay] = [(); 5].map(|()| free_address());
        let mut text = fs::read_to_string(root.join("deploy/settings.yaml")).expect("the template is there");
        let values = [
            ("Node", name.to_owned()),
            ("Zone", "hall".to_owned()),
            ("Listen.Front", caller.to_string()),
            ("Listen.Ready", ready.to_string()),
            ("Listen.Directory", directory.to_string()),
            ("Ip}}:{{InternalPorts.0", peer.to_string()),
            ("Ip}}:{{InternalPorts.1", relay.to_string()),
            ("Platform.Address", store.to_string()),
            ("Bounds.RetryRatio", "0.2".to_owned()),
            ("Bounds.RetrySlack", "134".to_owned()),
            ("Bounds.RetryWindowS", "10".to_owned()),
            ("Bounds.GraceS", "8".to_owned()),
            ("Limits.CpuShare", "0.25".to_owned()),
            ("Bootstrap", "true".to_owned()),
        ];
        for (field, value) in values {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("settings are written");
        let log = File::create(folder.join(format!("{name}.log"))).expect("log is created");
        let program = root.join("target/release/hickoryledge");
        let child = Command::new(program)
            .arg("platform")
            .current_dir(root)
            .env(SETTINGS, settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log is shared"))
            .stdout(log)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            eprintln!("the daemon doesn't start: {error}");
            end(2)
        });
        let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
        children.push(child);
        Self { name: name.to_owned(), caller, ready, index: children.len() - 1 }
    }

    pub fn id(&self) -> u32 {
        with_child(self.index, |child| child.id())
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_until_ready(&self, timeout: Duration) -> bool {
        wait_until(timeout, || {
            let answer = Connection::open(self.ready)
                .and_then(|mut connection| connection.call("GET /readyz HTTP/1.1", &[("Host", "x")], b""));
            answer.is_ok_and(|answer| answer.status() == 200)
        })
    }

    /// Returns true while the process runs.
    pub fn is_alive(&self) -> bool {
        with_child(self.index, |child| matches!(child.try_wait(), Ok(None)))
    }

    /// Memory that the process uses, in MB.
    pub fn memory_mb(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or_default() / 1024
    }

    /// Sends the process a signal, by its name.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.id());
        let _ = Command::new("bash").arg("-c").arg(command).status();
    }

    /// Kills the process.
    pub fn kill(&self) {
        with_child(self.index, |child| {
            let _ = child.kill();
            let _ = child.wait();
        });
    }
}

/// Waits for a condition; returns false if it doesn't hold in time.
pub fn wait_until<C>(timeout: Duration, mut condition: C) -> bool
where
    C: FnMut() -> bool,
{
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Folders of a case: the repository, the case's own, and a temporary one.
pub struct Case {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub temporary: PathBuf,
    pub record: Record,
    pub has_trouble: bool,
}

impl Case {
    /// Reads the arguments that `run.sh` gives: repository, folder of the case, temporary folder.
    pub fn from_arguments() -> Self {
        std::panic::set_hook(Box::new(|panic| {
            eprintln!("{panic}");
            end(2);
        }));
        let paths: Vec<PathBuf> = std::env::args().skip(1).map(PathBuf::from).collect();
        let [root, folder, temporary] = paths.try_into().expect("three folders are given");
        let record = Record::create(&folder.join("record.txt"));
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.say(if has_trouble { "with the disruption" } else { "without the disruption" });
        Self { root, folder, temporary, record, has_trouble }
    }

    /// Ends the case because it couldn't run.
    pub fn fail(&self, cause: &str) -> ! {
        self.record.say(&format!("couldn't run: {cause}"));
        end(2)
    }
}
