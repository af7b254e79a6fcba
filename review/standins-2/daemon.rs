//! Starts the project's program as the deploy file says, with settings like those of a small deployment.

use crate::base::free_address;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn signal(name: &str, pid: u32) {
    let command = format!("kill -{name} {pid}");
    // The process may have ended already.
    let _ = Command::new("sh")
        .args(["-c", &command])
        .stderr(Stdio::null())
        .status();
}

fn forget(pid: u32) {
    STARTED.lock().unwrap().retain(|started| *started != pid);
}

/// Ends all daemons that are left.
pub fn end_all() {
    let started = std::mem::take(&mut *STARTED.lock().unwrap());
    started.into_iter().for_each(|pid| signal("KILL", pid));
}

pub struct Daemon {
    pub name: String,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Daemon {
    /// Writes the settings, as deploy/settings.yaml renders them, and starts the daemon.
    pub fn start(folder: &Path, name: &str, hall: &str, store: SocketAddr) -> Daemon {
        let daemon = Self::launch(folder, name, hall, store, true);
        // Started again, the settings say that it isn't the first start of the system.
        daemon.await_listening();
        let text = std::fs::read_to_string(&daemon.settings).expect("settings");
        std::fs::write(
            &daemon.settings,
            text.replace("first: true", "first: false"),
        )
        .expect("settings");
        daemon
    }

    fn launch(folder: &Path, name: &str, hall: &str, store: SocketAddr, first: bool) -> Daemon {
        let ports: Vec<SocketAddr> = (0..5).map(|_| free_address()).collect();
        let settings = folder.join(format!("{name}.yaml"));
        let mut daemon = Daemon {
            name: name.to_owned(),
            caller: ports[0],
            ready: ports[1],
            settings,
            log: folder.join(format!("{name}.log")),
            process: None,
        };
        daemon.write_settings(&ports, hall, store, first);
        daemon.run();
        daemon
    }

    fn write_settings(&self, ports: &[SocketAddr], hall: &str, store: SocketAddr, first: bool) {
        let text = format!(
            "name: \"{}\"\nhall: \"{hall}\"\nlisten:\n  caller: \"{}\"\n  ready: \"{}\"\n  directory: \"{}\"\n  peer: \"{}\"\n  relay: \"{}\"\nstore: \"{store}\"\nretry:\n  ratio: 0.2\n  slack: 134\n  window_s: 10\ngrace_ms: 8000\nentries_ms: 2000\nevacuation_ms: \"\"\ncores: 0.25\nfirst: {first}\n",
            self.name, ports[0], ports[1], ports[2], ports[3], ports[4]
        );
        std::fs::write(&self.settings, text).expect("the settings are written");
    }

    /// Runs `target/release/hickoryledge platform`.
    pub fn run(&mut self) {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let process = Command::new("target/release/hickoryledge")
            .arg("platform")
            .env("HICKORYLEDGE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the daemon starts");
        STARTED.lock().unwrap().push(process.id());
        self.process = Some(process);
    }

    pub fn await_listening(&self) {
        let until = Instant::now() + Duration::from_secs(10);
        while std::net::TcpStream::connect(self.ready).is_err() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        crate::base::fetch(self.ready, request, Duration::from_secs(1)).status == 200
    }

    /// Waits for the end of a daemon that was told to stop.
    pub fn wait(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.wait();
            forget(process.id());
        }
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            forget(process.id());
        }
    }

    /// Sends it a signal, as `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            signal(name, process.id());
        }
    }

    pub fn log_lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
