//! Proxy between a daemon and the store, whose open connections can fall silent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

struct Link {
    is_silent: AtomicBool,
    /// Last request line with its time.
    last: Mutex<(String, Instant)>,
}

pub struct Proxy {
    pub address: SocketAddr,
    links: Mutex<Vec<Arc<Link>>>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Arc<Proxy> {
        let listener = TcpListener::bind(crate::base::free_address()).expect("bind the proxy");
        let proxy = Arc::new(Proxy {
            address: listener.local_addr().expect("an address"),
            links: Mutex::default(),
        });
        let this = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let link = Arc::new(Link {
                    is_silent: AtomicBool::new(false),
                    last: Mutex::new((String::new(), Instant::now())),
                });
                this.links.lock().unwrap().push(link.clone());
                let (near_in, far_in) = (near.try_clone().unwrap(), far.try_clone().unwrap());
                let up = link.clone();
                thread::spawn(move || pump(near_in, far, &up, true));
                thread::spawn(move || pump(far_in, near, &link, false));
            }
        });
        proxy
    }

    /// Lets the connection fall silent on which a call with this text was sent last; returns when.
    pub fn silence(&self, text: &str) -> Option<Instant> {
        let links = self.links.lock().unwrap();
        let found = links
            .iter()
            .filter(|l| {
                l.last.lock().unwrap().0.contains(text) && !l.is_silent.load(Ordering::SeqCst)
            })
            .last()?;
        found.is_silent.store(true, Ordering::SeqCst);
        let at = found.last.lock().unwrap().1;
        Some(at)
    }

    /// Time of the last call with this text.
    pub fn last(&self, text: &str) -> Option<Instant> {
        let links = self.links.lock().unwrap();
        links
            .iter()
            .filter(|l| l.last.lock().unwrap().0.contains(text))
            .map(|l| l.last.lock().unwrap().1)
            .max()
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, link: &Link, is_up: bool) {
    let mut block = [0; 65536];
    loop {
        let Ok(n) = from.read(&mut block) else { break };
        if n == 0 {
            break;
        }
        if is_up {
            let text = String::from_utf8_lossy(&block[..n]).into_owned();
            if let Some(line) = text.lines().next().filter(|l| l.contains("HTTP/1.1")) {
                *link.last.lock().unwrap() = (line.to_owned(), Instant::now());
            }
        }
        if link.is_silent.load(Ordering::SeqCst) {
            continue;
        }
        if to.write_all(&block[..n]).is_err() {
            break;
        }
    }
    if !link.is_silent.load(Ordering::SeqCst) {
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}
