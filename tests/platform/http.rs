//! HTTP/1.1 as the fakes speak it: reading requests, and writing responses and streams.

use std::{
    io::{BufRead as _, BufReader, Read as _, Write as _},
    net::TcpStream,
    time::Instant,
};

/// Request as it was received.
#[derive(Clone, Debug)]
pub struct RecordedRequest {
    /// Request line.
    pub request_line: String,
    /// Headers, with names in lower case.
    pub headers: Vec<String>,
    /// Body.
    pub body: Vec<u8>,
    /// Time at which it was received.
    pub at: Instant,
}

impl RecordedRequest {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        self.headers
            .iter()
            .find_map(|line| line.strip_prefix(&prefix))
    }
}

/// Reads one request; returns none if the connection ended.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<RecordedRequest> {
    let mut request = read_head(reader)?;
    read_body(reader, &mut request)?;
    Some(request)
}

/// Reads the head of a request; returns none if the connection ended.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<RecordedRequest> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let request_line = lines.remove(0);
    let headers: Vec<String> = lines
        .iter()
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| format!("{}: {value}", name.to_lowercase()))
        .collect();
    Some(RecordedRequest {
        request_line,
        headers,
        body: Vec::new(),
        at: Instant::now(),
    })
}

/// Reads the body of a request whose head was read; returns none if the connection ended.
pub fn read_body(reader: &mut BufReader<TcpStream>, request: &mut RecordedRequest) -> Option<()> {
    let content_length = request
        .header("content-length")
        .and_then(|text| text.parse().ok());
    request.body = vec![0; content_length.unwrap_or(0)];
    reader.read_exact(&mut request.body).ok()
}

/// Writes the head of a stream and its events.
pub fn write_events(stream: &mut TcpStream, own_headers: &str, after: u64, last: u64) {
    write_text(stream, &stream_head(own_headers));
    for id in after + 1..=last {
        write_text(stream, &event_chunk(id));
    }
}

/// Returns the head of a response that is a stream.
pub fn stream_head(own_headers: &str) -> String {
    let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    format!("HTTP/1.1 200 OK\r\n{kind}{own_headers}\r\n")
}

/// Returns an event as text.
pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}

/// Returns an event as a chunk of a response.
pub fn event_chunk(id: u64) -> String {
    let event = event_text(id);
    format!("{:x}\r\n{event}\r\n", event.len())
}

/// Writes one response; returns false if the connection ended.
pub fn write_response(stream: &mut TcpStream, status: u16, head: &str, body: &str) -> bool {
    let length = body.len();
    write_text(
        stream,
        &format!("HTTP/1.1 {status} Status\r\nContent-Length: {length}\r\n{head}\r\n{body}"),
    )
}

/// Writes text; returns false if the connection ended.
pub fn write_text(stream: &mut TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}
