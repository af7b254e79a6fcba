//! A plain runner as a process of its own, so that a case can kill it: `review-rig half-runner ID`.
//!
//! Its answers have neither a length nor chunks and end with the connection. It prints its address,
//! and a line for each answer of which it has written the first half; the second half follows 1.5 s later.

use crate::http;
use std::{
    io::{BufReader, Write},
    net::{Shutdown, TcpListener, TcpStream},
    time::Duration,
};

/// Time between the halves of an answer.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Events of a stream.
pub const EVENTS: usize = 10;

/// Returns the halves of the answer to a request.
pub fn halves(path: &str, id: &str) -> (String, String) {
    if path.starts_with("/tell/") {
        let events: Vec<String> =
            (1..=EVENTS).map(|number| format!("id: {number}\ndata: {id} {number}\n\n")).collect();
        return (events[..EVENTS / 2].concat(), events[EVENTS / 2..].concat());
    }
    let line = |number| format!("line {number} of the answer to {id}\n");
    ((1..=5).map(line).collect(), (6..=10).map(line).collect())
}

pub fn run(id: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    println!("{}", listener.local_addr().expect("bound"));
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        std::thread::spawn(move || serve(stream, &id));
    }
}

fn serve(stream: TcpStream, own: &str) {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().expect("a socket can be cloned");
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read_request(&mut reader) {
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|id| id != own) {
            let _ = http::reply(&mut writer, 421, &format!("X-Instance-Id: {own}\r\n"), b"");
            continue;
        }
        if request.path() == "/healthz" {
            let _ = http::reply(&mut writer, 200, &format!("X-Instance-Id: {own}\r\n"), b"");
            continue;
        }
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let (first, second) = halves(request.path(), &id);
        let kind = match request.path().starts_with("/tell/") {
            true => "text/event-stream",
            false => "text/plain",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nConnection: close\r\n\
             X-Request-Id: {id}\r\nX-Response-Stamp: {own}.{id}\r\n\r\n"
        );
        let _ = writer.write_all((head + &first).as_bytes());
        println!("{id}");
        std::thread::sleep(PAUSE);
        let _ = writer.write_all(second.as_bytes());
        let _ = writer.shutdown(Shutdown::Both);
        return;
    }
}
