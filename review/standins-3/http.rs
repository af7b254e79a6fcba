//! HTTP/1.1 as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// False if the body ended early.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let found = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        });
        found.map(decoded)
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a head; none at the end of the connection.
pub fn read_head<R: BufRead>(reader: &mut R) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = Vec::new();
        let length = reader.read_until(b'\n', &mut line).ok()?;
        if length == 0 {
            return None;
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if message.start.is_empty() {
            message.start = line;
            continue;
        }
        if line.is_empty() {
            return Some(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that a head announces, passing each part to `part`.
pub fn read_body<R: BufRead>(
    reader: &mut R,
    message: &mut Message,
    is_response: bool,
    mut part: impl FnMut(&[u8]),
) {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return;
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return;
            }
            if size == 0 {
                message.whole = true;
                return;
            }
            part(&chunk[..size]);
            message.body.extend(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse::<usize>().ok());
    match length {
        Some(length) => {
            let mut body = Vec::new();
            let read = reader.take(length as u64).read_to_end(&mut body);
            message.whole = read.is_ok() && body.len() == length;
            part(&body);
            message.body = body;
        }
        None if is_response => {
            let mut body = Vec::new();
            message.whole = reader.read_to_end(&mut body).is_ok();
            message.body = body;
        }
        None => message.whole = true,
    }
}

pub fn read_request<R: BufRead>(reader: &mut R) -> Option<Message> {
    let mut message = read_head(reader)?;
    read_body(reader, &mut message, false, |_| {});
    message.whole.then_some(message)
}

pub fn reply(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads the response; `events` sees each part of the body.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
    events: impl FnMut(&[u8]),
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader);
    let mut message = head.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut message, true, events);
    Ok(message)
}
