//! Crashes of a fake runner: its process ends and starts again some time later.

use super::http::RecordedRequest;
use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// Time until a crashed runner listens again.
const DOWNTIME: Duration = Duration::from_millis(2_000);

/// Time between the ends of the connections and of the listener, if the listener is last.
const LISTENER_DELAY: Duration = Duration::from_millis(20);

/// Pause between two looks at whether the listener is closed.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// What crashes a runner, and the state of its process.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Part of a prompt that crashes the runner.
    part: Mutex<Option<String>>,
    /// Path and body of a request that crashes the runner.
    request: Mutex<Option<(String, String)>>,
    /// True if a crashed runner is back at once, so that its address always listens.
    is_instant: AtomicBool,
    /// True if a crash closes the connections before the listener.
    is_listener_last: AtomicBool,
    is_down: AtomicBool,
    is_closed: AtomicBool,
    count: AtomicUsize,
    /// Open connections by their numbers.
    connections: Mutex<BTreeMap<usize, TcpStream>>,
    tracked: AtomicUsize,
}

impl Crashes {
    /// Lets each request whose prompt has a part crash the runner.
    pub fn set_part(&self, part: &str) {
        *self.part.lock().expect("not poisoned") = Some(part.to_owned());
    }

    /// Lets each request with a path and a body crash the runner.
    pub fn set_request(&self, path: &str, body: &str) {
        let request = (path.to_owned(), body.to_owned());
        *self.request.lock().expect("not poisoned") = Some(request);
    }

    /// Lets the runner be back at once after each crash.
    pub fn restart_at_once(&self) {
        self.is_instant.store(true, Ordering::SeqCst);
    }

    /// Lets each crash close the listener some time after the connections.
    pub fn close_listener_last(&self) {
        self.is_listener_last.store(true, Ordering::SeqCst);
    }

    /// Returns true if the runner is back at once after each crash.
    pub fn is_instant(&self) -> bool {
        self.is_instant.load(Ordering::SeqCst)
    }

    /// Returns true if a request crashes the runner before it responds.
    pub fn is_triggered_by(&self, request: &RecordedRequest) -> bool {
        let crashing = self.request.lock().expect("not poisoned");
        crashing.as_ref().is_some_and(|(path, body)| {
            let actual = request.request_line.split(' ').nth(1);
            actual == Some(path) && request.body == body.as_bytes()
        })
    }

    /// Returns true if a prompt, as a list of parts with their lengths, crashes the runner.
    pub fn is_triggered_by_prompt(&self, prompt: &str) -> bool {
        let crashing = self.part.lock().expect("not poisoned");
        let mut parts = prompt.split(',').filter_map(|part| part.split(':').next());
        crashing
            .as_deref()
            .is_some_and(|crashing| parts.any(|part| part == crashing))
    }

    /// Returns the number of crashes so far.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Keeps a connection, so that a crash can close it; returns its number.
    pub fn track(&self, stream: &TcpStream) -> usize {
        let number = self.tracked.fetch_add(1, Ordering::SeqCst);
        let clone = stream.try_clone().expect("cloned");
        let mut connections = self.connections.lock().expect("not poisoned");
        connections.insert(number, clone);
        number
    }

    /// Forgets a connection that has ended.
    pub fn forget(&self, number: usize) {
        let mut connections = self.connections.lock().expect("not poisoned");
        connections.remove(&number);
    }

    /// Returns true from a crash until the runner listens again.
    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Ends the runner's process: closes its listener and all its connections.
    pub fn crash(&self, address: SocketAddr) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        self.count.fetch_add(1, Ordering::SeqCst);
        if self.is_instant() {
            self.close_connections();
            self.is_down.store(false, Ordering::SeqCst);
            return;
        }
        if self.is_listener_last.load(Ordering::SeqCst) {
            self.close_connections();
            thread::sleep(LISTENER_DELAY);
        }
        while !self.is_closed.load(Ordering::SeqCst) {
            // Wakes the thread that accepts connections.
            let _ = TcpStream::connect(address);
            thread::sleep(POLL_INTERVAL);
        }
        self.close_connections();
    }

    fn close_connections(&self) {
        let mut connections = self.connections.lock().expect("not poisoned");
        while let Some((_, stream)) = connections.pop_first() {
            // The peer may have closed it already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Closes the listener of a crashed runner, and returns a new one after the downtime.
    pub fn reopen(&self, listener: TcpListener) -> TcpListener {
        let address = listener.local_addr().expect("bound");
        drop(listener);
        self.is_closed.store(true, Ordering::SeqCst);
        thread::sleep(DOWNTIME);
        let listener = TcpListener::bind(address).expect("the port is free again");
        self.is_closed.store(false, Ordering::SeqCst);
        self.is_down.store(false, Ordering::SeqCst);
        listener
    }
}
