//! The project's own program, started as a separate process with the command of the deploy file and
//! with settings rendered from the template as DEPLOY.md says.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

pub struct Daemon {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    process: Child,
}

fn free_port() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("bound")
}

/// Returns the program and the arguments of the deploy file's only role.
fn command() -> Vec<String> {
    let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file is there");
    let line = deploy.lines().find(|line| line.starts_with("run = ")).expect("a role runs");
    let words = line.trim_start_matches("run = ").trim_matches('"');
    words.split(' ').map(str::to_owned).collect()
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let words = command();
    let output = File::options().create(true).append(true).open(log).expect("the log opens");
    Command::new(&words[0])
        .args(&words[1..])
        .env("HICKORYLEDGE_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("a file can be cloned"))
        .stderr(output)
        .spawn()
        .expect("the program starts; build it first")
}

impl Daemon {
    /// Starts a daemon; anew if another process has taken one of its ports meanwhile.
    pub fn start(name: &str, zone: &str, store: SocketAddr, folder: &Path, grace_s: u32) -> Self {
        loop {
            let mut daemon = Self::try_start(name, zone, store, folder, grace_s);
            if daemon.wait_end(Duration::from_millis(400)).is_none() {
                return daemon;
            }
        }
    }

    fn try_start(name: &str, zone: &str, store: SocketAddr, folder: &Path, grace_s: u32) -> Self {
        let (front, ready, directory) = (free_port(), free_port(), free_port());
        let fields = [
            ("Node", name.to_owned()),
            ("Zone", zone.to_owned()),
            ("Ip", "127.0.0.1".to_owned()),
            ("Listen.Front", front.to_string()),
            ("Listen.Ready", ready.to_string()),
            ("Listen.Directory", directory.to_string()),
            ("InternalPorts.0", free_port().port().to_string()),
            ("InternalPorts.1", free_port().port().to_string()),
            ("Platform.Address", store.to_string()),
            ("Bounds.RetryRatio", "0.2".to_owned()),
            ("Bounds.RetrySlack", "134".to_owned()),
            ("Bounds.RetryWindowS", "10".to_owned()),
            ("Bounds.GraceS", grace_s.to_string()),
            ("Bounds.EvacuateMs", String::new()),
            ("Limits.CpuShare", "0.25".to_owned()),
            ("Bootstrap", "true".to_owned()),
        ];
        let mut text = fs::read_to_string("deploy/settings.yaml").expect("the template is there");
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        let settings = folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let process = spawn(&settings, &log);
        Self { front, ready, process }
    }

    /// Waits until the process has ended, and returns its exit code.
    pub fn wait_end(&mut self, timeout: Duration) -> Option<i32> {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.process.try_wait() {
                return status.code().or(Some(-1));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
