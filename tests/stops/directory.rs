//! Cached directory response of one caller.

use super::connection::Connection;
use rand::{rngs::SmallRng, seq::SliceRandom as _};
use serde_json::Value;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Number of daemons that are asked for one response.
const MAX_ASKED: usize = 3;

/// Timeout of one daemon's response.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Addresses of daemons, as one of them gave them.
pub struct Directory {
    sources: Vec<SocketAddr>,
    addresses: Vec<SocketAddr>,
    /// Factor on the time for which a response is kept.
    patience: u32,
    expires: Instant,
}

impl Directory {
    /// Creates an empty cache.
    pub fn new(sources: Vec<SocketAddr>, patience: u32) -> Self {
        Self {
            sources,
            addresses: Vec::new(),
            patience,
            expires: Instant::now(),
        }
    }

    /// Returns the addresses in random order; an old response is used until there is a new one.
    pub fn addresses(&mut self, rng: &mut SmallRng) -> Vec<SocketAddr> {
        if Instant::now() >= self.expires {
            self.refresh(rng);
        }
        let mut addresses = self.addresses.clone();
        addresses.shuffle(rng);
        addresses
    }

    /// Removes an address that could not be reached, until the next response.
    pub fn remove(&mut self, address: SocketAddr) {
        self.addresses.retain(|known| *known != address);
        if self.addresses.is_empty() {
            self.expires = Instant::now();
        }
    }

    fn refresh(&mut self, rng: &mut SmallRng) {
        self.sources.shuffle(rng);
        for source in self.sources.iter().take(MAX_ASKED) {
            if let Some((addresses, ttl)) = ask(*source) {
                self.addresses = addresses;
                self.expires = Instant::now() + ttl * self.patience;
                return;
            }
        }
    }
}

fn ask(source: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
    let mut connection = Connection::open(source, TIMEOUT)?;
    let request = "GET /resolve?Name=a.example HTTP/1.1\r\nHost: a.example\r\n\r\n";
    if !connection.send(request) {
        return None;
    }
    let response = connection.read_response();
    let body: Value = serde_json::from_str(&response.body).ok()?;
    let texts = body["Addresses"].as_array()?.iter();
    let addresses = texts.filter_map(|text| text.as_str()?.parse().ok());
    let ttl = Duration::from_secs_f64(body["TtlS"].as_f64()?);
    Some((addresses.collect(), ttl))
}
