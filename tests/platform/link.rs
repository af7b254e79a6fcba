//! Links from one daemon to the runners, which can be cut while other daemons reach them.

use super::{env, store::Store};
use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::Value;
use socket2::{Domain, Socket, Type};
use std::{
    collections::BTreeMap,
    io::{Read as _, Write as _},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// How a cut link treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Open ones are reset, and new ones are refused.
    Refused,
    /// Open ones live on, and new ones are refused.
    NewRefused,
    /// Open ones are silent, and new ones hang.
    Hanging,
    /// Open ones fall silent for good, and new ones work.
    OpenSilent,
}

/// Connections that fill the queue of a listener that accepts none, so that further ones hang.
const QUEUE_FILLERS: usize = 4;

/// Time that a filler waits for its connection.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);

#[derive(Default)]
struct State {
    is_cut: AtomicBool,
    /// True while open connections carry nothing.
    is_silent: AtomicBool,
    /// Number of the first connection that has not fallen silent for good.
    first_sound: AtomicUsize,
    /// Number of connections that were carried.
    connections: AtomicUsize,
    /// Open connections by their numbers, with their far ends.
    open: Mutex<BTreeMap<usize, [TcpStream; 2]>>,
    /// Queue of a cut link, with its fillers.
    queue: Mutex<Option<(Socket, Vec<TcpStream>)>>,
}

/// Link to one runner.
pub struct Link {
    address: SocketAddr,
    /// Keeps the port, so that no connection of another test gets it while the link is cut.
    _port: Socket,
    state: Arc<State>,
    target: SocketAddr,
}

impl Link {
    /// Starts a link to an address.
    pub fn start(target: SocketAddr) -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
        let port = bind(any);
        let address = port.local_addr().expect("bound").as_socket();
        let link = Self {
            address: address.expect("an address"),
            _port: port,
            state: Arc::default(),
            target,
        };
        link.accept();
        link
    }

    fn accept(&self) {
        let listener = TcpListener::bind(self.address).expect("the port is this link's");
        let (state, target) = (self.state.clone(), self.target);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if state.is_cut.load(Ordering::SeqCst) {
                    return;
                }
                let number = state.connections.fetch_add(1, Ordering::SeqCst);
                if let Ok(far) = TcpStream::connect(target) {
                    carry(&state, number, [stream, far]);
                }
            }
        });
    }

    /// Returns the address at which the link listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns true if this is the link to the runner at an address.
    pub fn leads_to(&self, address: SocketAddr) -> bool {
        self.target == address
    }

    /// Returns the number of connections that were carried so far.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Cuts the link.
    pub fn cut(&self, cut: Cut) {
        if cut != Cut::OpenSilent {
            self.refuse();
        }
        self.cut_open(cut);
    }

    /// Refuses new connections.
    fn refuse(&self) {
        self.state.is_cut.store(true, Ordering::SeqCst);
        // A connection wakes the thread that accepts them, which closes the listener.
        env::wait_until("the listener is closed", || {
            TcpStream::connect(self.address).is_err()
        });
    }

    /// Cuts the connections that are open.
    fn cut_open(&self, cut: Cut) {
        self.state
            .is_silent
            .store(cut == Cut::Hanging, Ordering::SeqCst);
        match cut {
            Cut::Refused => self.reset_connections(),
            Cut::NewRefused => {}
            Cut::Hanging => self.fill_queue(),
            Cut::OpenSilent => {
                let first_sound = self.connections();
                self.state.first_sound.store(first_sound, Ordering::SeqCst);
            }
        }
    }

    fn reset_connections(&self) {
        let open = std::mem::take(&mut *self.state.open.lock().expect("not poisoned"));
        for stream in open.values().flatten() {
            // The peer may have closed it already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Listens again without accepting, and fills the queue of new connections.
    fn fill_queue(&self) {
        let queue = bind(self.address);
        queue.listen(0).expect("listens");
        let fill = |_| TcpStream::connect_timeout(&self.address, FILL_TIMEOUT).ok();
        let fillers = (0..QUEUE_FILLERS).filter_map(fill).collect();
        *self.state.queue.lock().expect("not poisoned") = Some((queue, fillers));
    }

    /// Carries new connections again.
    pub fn restore(&self) {
        *self.state.queue.lock().expect("not poisoned") = None;
        self.state.is_cut.store(false, Ordering::SeqCst);
        self.state.is_silent.store(false, Ordering::SeqCst);
        self.accept();
    }
}

/// Cuts links at the same time: no request that one of them breaks off begins at another.
pub fn cut_all(links: &[Link], cut: Cut) {
    links.iter().for_each(Link::refuse);
    links.iter().for_each(|link| link.cut_open(cut));
}

/// Returns a socket that is bound to an address, as others may be too.
fn bind(address: SocketAddr) -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("set");
    socket.bind(&address.into()).expect("the port is free");
    socket
}

/// Carries bytes in both directions until one of the ends closes.
fn carry(state: &Arc<State>, number: usize, ends: [TcpStream; 2]) {
    let copies = ends.each_ref().map(|end| end.try_clone().expect("cloned"));
    let mut open = state.open.lock().expect("not poisoned");
    open.insert(number, copies);
    let state = state.clone();
    thread::spawn(move || {
        let [near, far] = &ends;
        thread::scope(|scope| {
            scope.spawn(|| copy(&state, number, near, far));
            copy(&state, number, far, near);
        });
        let mut open = state.open.lock().expect("not poisoned");
        open.remove(&number);
    });
}

fn copy(state: &State, number: usize, mut from: &TcpStream, mut to: &TcpStream) {
    let mut buffer = [0; 4_096];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if number < state.first_sound.load(Ordering::SeqCst) {
            continue;
        }
        while state.is_silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
        }
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    // The peer may have closed the connection already.
    let _ = to.shutdown(Shutdown::Both);
}

/// Serves a view of the store in which runners are reached through links; returns its address.
pub fn serve_store_view(store: Arc<Store>, links: &[Link]) -> SocketAddr {
    let addresses: BTreeMap<String, String> = links
        .iter()
        .map(|link| (link.target.to_string(), link.address.to_string()))
        .collect();
    env::serve_store_as(store, move |body| rewrite(body, &addresses))
}

/// Replaces the runners' addresses in the body of a response.
fn rewrite(body: String, addresses: &BTreeMap<String, String>) -> String {
    let Ok(mut json) = serde_json::from_str::<Value>(&body) else {
        return body;
    };
    for list in ["Items", "events"] {
        let items = json[list].as_array_mut().into_iter().flatten();
        for item in items {
            rewrite_item(item, addresses);
        }
    }
    json.to_string()
}

fn rewrite_item(item: &mut Value, addresses: &BTreeMap<String, String>) {
    let is_runner = item["Key"]
        .as_str()
        .is_some_and(|key| key.starts_with("servers/"));
    let Some(value) = item["Value"].as_str().filter(|_| is_runner) else {
        return;
    };
    let bytes = STANDARD.decode(value).expect("an encoded value");
    let mut entry: Value = serde_json::from_slice(&bytes).expect("an entry");
    let link = entry["Address"]
        .as_str()
        .and_then(|address| addresses.get(address));
    if let Some(link) = link.cloned() {
        entry["Address"] = link.into();
        item["Value"] = STANDARD.encode(entry.to_string()).into();
    }
}

// A connection of another test got the port, and the link could not listen again.
#[test]
fn link_keeps_its_port_while_it_is_cut() {
    let runner = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let link = Link::start(runner.local_addr().expect("bound"));
    for cut in [Cut::Refused, Cut::Hanging] {
        link.cut(cut);
        let other = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        assert!(other.bind(&link.address.into()).is_err());
        link.restore();
        TcpStream::connect(link.address).expect("a connection");
    }
}
