//! Another runner at a fake runner's address, whose entry has not been written yet.

use super::http::{RecordedRequest, write_response};
use serde_json::{Value, json};
use std::{
    net::TcpStream,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
};

/// What it says of itself in each response.
const LEAVING: &str = "Server-Leaving: 1\r\nX-Server-Load: 8,8,8\r\n";

/// Runner that may have taken the place of a fake one.
#[derive(Debug, Default)]
pub struct Successor {
    is_there: AtomicBool,
    probes: AtomicUsize,
    refusals: AtomicUsize,
    orders: AtomicUsize,
}

impl Successor {
    /// Puts it in the place of the fake runner, or takes it away again.
    pub fn set_there(&self, is_there: bool) {
        self.is_there.store(is_there, Ordering::SeqCst);
    }

    /// Returns true while it is in the place of the fake runner.
    pub fn is_there(&self) -> bool {
        self.is_there.load(Ordering::SeqCst)
    }

    /// Returns the number of probes that it has answered.
    pub fn probes(&self) -> usize {
        self.probes.load(Ordering::SeqCst)
    }

    /// Returns the number of requests and orders that it has refused as meant for another one.
    pub fn refusals(&self) -> usize {
        self.refusals.load(Ordering::SeqCst)
    }

    /// Returns the number of orders that it has carried out.
    pub fn orders(&self) -> usize {
        self.orders.load(Ordering::SeqCst)
    }

    /// Responds to one request; `entry` is that of the runner whose place it has.
    pub fn respond(
        &self,
        stream: &mut TcpStream,
        request: &RecordedRequest,
        entry: &Value,
    ) -> bool {
        if request.request_line.starts_with("GET /report") {
            self.probes.fetch_add(1, Ordering::SeqCst);
            let mut report = entry.clone();
            report["born"] = json!(entry["born"].as_u64().expect("a number") + 1);
            return write_response(stream, 200, LEAVING, &report.to_string());
        }
        if request.header("x-expect-instance").is_some() {
            self.refusals.fetch_add(1, Ordering::SeqCst);
            let id = request.header("x-request-id").unwrap_or_default();
            let head = format!("X-Request-Id: {id}\r\nX-Not-Run: 1\r\n{LEAVING}");
            return write_response(stream, 421, &head, "");
        }
        self.orders.fetch_add(1, Ordering::SeqCst);
        write_response(stream, 202, "", "")
    }
}
