//! Calls of a caller that opens a connection for each.

use std::{
    io::{ErrorKind, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
};

/// Response as a caller received it.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status; 0 if there was none.
    pub status: u16,
    /// Head, in lower case.
    pub head: String,
    /// Body, without its chunked encoding.
    pub body: String,
    /// False if a chunked body ended before its last chunk.
    pub is_complete: bool,
}

/// Sends one request on a new connection and returns the response.
pub fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[&str],
    body: &str,
) -> Response {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: a.example\r\n");
    let defaults = [
        "X-Request-Id: r1",
        "X-Deadline-Ms: 4000",
        "Connection: close",
    ];
    for header in headers.iter().chain(&defaults) {
        text.push_str(&format!("{header}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    let mut stream = TcpStream::connect(address).expect("the daemon listens");
    // A daemon may refuse a request and close before it has read all of it; a missing response has
    // status 0.
    if let Err(error) = stream.write_all(text.as_bytes()) {
        let is_closed = matches!(
            error.kind(),
            ErrorKind::BrokenPipe | ErrorKind::ConnectionReset
        );
        assert!(is_closed, "failed to send: {error}");
    }
    let mut bytes = Vec::new();
    // A connection reset ends the response like a close.
    let _ = stream.read_to_end(&mut bytes);
    parse_response(&String::from_utf8_lossy(&bytes))
}

/// Reads a response from its text; one that is missing has status 0.
pub fn parse_response(text: &str) -> Response {
    let (head, rest) = text.split_once("\r\n\r\n").unwrap_or((text, ""));
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let head = head.to_lowercase();
    let (body, is_complete) = match head.contains("transfer-encoding: chunked") {
        true => decode_chunked(rest),
        false => (rest.to_owned(), true),
    };
    Response {
        status: status.unwrap_or(0),
        head,
        body,
        is_complete,
    }
}

/// Decodes a chunked body; returns false with it if the last chunk is missing.
fn decode_chunked(mut text: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, rest)) = text.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a chunk size");
        if size == 0 {
            return (body, true);
        }
        if rest.len() < size + 2 {
            break;
        }
        body.push_str(&rest[..size]);
        text = &rest[size + 2..];
    }
    (body, false)
}
