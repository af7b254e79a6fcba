//! Small helpers of the stand-ins: JSON, Base64 and HTTP/1.1 over blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

impl J {
    pub fn get(&self, key: &str) -> &J {
        match self {
            J::Obj(fields) => fields
                .iter()
                .find(|(k, _)| k == key)
                .map_or(&J::Null, |(_, v)| v),
            _ => &J::Null,
        }
    }
    pub fn str(&self) -> &str {
        match self {
            J::Str(s) => s,
            _ => "",
        }
    }
    pub fn num(&self) -> f64 {
        match self {
            J::Num(n) => *n,
            _ => 0.0,
        }
    }
    pub fn arr(&self) -> &[J] {
        match self {
            J::Arr(a) => a,
            _ => &[],
        }
    }
    pub fn parse(text: &str) -> Option<J> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }
}

pub fn quote(s: &str) -> String {
    let mut out = String::from("\"");
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(b: &[u8], at: &mut usize) -> Option<J> {
    skip(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(b, at);
                if *b.get(*at)? == b'}' {
                    *at += 1;
                    return Some(J::Obj(fields));
                }
                if *b.get(*at)? == b',' {
                    *at += 1;
                    skip(b, at);
                }
                let J::Str(key) = parse_value(b, at)? else {
                    return None;
                };
                skip(b, at);
                if *b.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.push((key, parse_value(b, at)?));
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(J::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(b, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                let c = *b.get(*at)?;
                *at += 1;
                match c {
                    b'"' => return Some(J::Str(String::from_utf8_lossy(&out).into_owned())),
                    b'\\' => {
                        let e = *b.get(*at)?;
                        *at += 1;
                        match e {
                            b'n' => out.push(b'\n'),
                            b't' => out.push(b'\t'),
                            b'r' => out.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(b.get(*at..*at + 4)?).ok()?;
                                *at += 4;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                let c = char::from_u32(code).unwrap_or('?');
                                out.extend(c.to_string().as_bytes());
                            }
                            e => out.push(e),
                        }
                    }
                    c => out.push(c),
                }
            }
        }
        _ => {
            let start = *at;
            while *at < b.len() && !b",]} \n\r\t".contains(&b[*at]) {
                *at += 1;
            }
            match std::str::from_utf8(&b[start..*at]).ok()? {
                "null" => Some(J::Null),
                "true" => Some(J::Bool(true)),
                "false" => Some(J::Bool(false)),
                number => number.parse().ok().map(J::Num),
            }
        }
    }
}

const B64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn b64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (chunk[0] as u32) << 16
            | (*chunk.get(1).unwrap_or(&0) as u32) << 8
            | *chunk.get(2).unwrap_or(&0) as u32;
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(B64[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

/// Parsed head of a request or response.
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(k, _)| k.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path().split_once('?')?;
        query.split('&').find_map(|pair| {
            let (k, v) = pair.split_once('=')?;
            (k == name).then(|| v.to_owned())
        })
    }
}

/// Connection with a read buffer.
pub struct Conn {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            buf: Vec::new(),
        }
    }
    /// Reads more bytes; false at the end or on an error.
    fn fill(&mut self) -> bool {
        let mut block = [0; 16384];
        match self.stream.read(&mut block) {
            Ok(n) if n > 0 => {
                self.buf.extend_from_slice(&block[..n]);
                true
            }
            _ => false,
        }
    }
    pub fn head(&mut self) -> Option<Head> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next()?.to_owned();
                let headers = lines.filter_map(|l| {
                    let (k, v) = l.split_once(':')?;
                    Some((k.trim().to_owned(), v.trim().to_owned()))
                });
                return Some(Head {
                    first,
                    headers: headers.collect(),
                });
            }
            if self.buf.len() > 1 << 20 || !self.fill() {
                return None;
            }
        }
    }
    pub fn exact(&mut self, n: usize) -> Option<Vec<u8>> {
        while self.buf.len() < n {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buf.drain(..n).collect())
    }
    pub fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Some(line);
            }
            if !self.fill() {
                return None;
            }
        }
    }
    /// Reads the next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> Option<Vec<u8>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        let data = self.exact(size)?;
        self.line()?;
        Some(data)
    }
    /// Reads a whole body; none if it is cut off.
    pub fn body(&mut self, head: &Head, is_response: bool) -> Option<Vec<u8>> {
        if head
            .get("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"))
        {
            let mut all = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Some(all);
                }
                all.extend(chunk);
            }
        }
        match head.get("content-length") {
            Some(n) => self.exact(n.parse().ok()?),
            None if is_response => {
                while self.fill() {}
                Some(std::mem::take(&mut self.buf))
            }
            None => Some(Vec::new()),
        }
    }
    pub fn send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }
    /// Sends a response with a JSON body.
    pub fn json(&mut self, status: u16, headers: &str, body: &str) -> bool {
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.send(&text)
    }
    /// True if the peer has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        let mut one = [0; 1];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut one);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

/// Response of a daemon.
#[derive(Debug, Default, Clone)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub body: Vec<u8>,
    pub whole: bool,
}

/// Sends one request on a new connection and reads the whole response.
pub fn fetch(to: SocketAddr, request: &str, timeout: Duration) -> Answer {
    fetch_gap(to, request, timeout, timeout)
}

/// The same; gives up after `gap` without a byte.
pub fn fetch_gap(to: SocketAddr, request: &str, timeout: Duration, gap: Duration) -> Answer {
    let started = Instant::now();
    let none = Answer::default();
    let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return none;
    };
    let _ = stream.set_read_timeout(Some(gap.min(timeout)));
    let _ = stream.set_write_timeout(Some(timeout));
    let mut conn = Conn::new(stream);
    if !conn.send(request) {
        return none;
    }
    let Some(head) = conn.head() else { return none };
    let mut answer = Answer {
        status: head.status(),
        ..none
    };
    if head.get("transfer-encoding").is_some() {
        loop {
            match conn.chunk() {
                Some(chunk) if chunk.is_empty() => {
                    answer.whole = true;
                    return answer;
                }
                Some(chunk) => answer.body.extend(chunk),
                None => return answer,
            }
            if started.elapsed() > timeout {
                return answer;
            }
        }
    }
    if let Some(body) = conn.body(&head, true) {
        answer.body = body;
        answer.whole = true;
    }
    answer
}

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns a free address below the ports that the system gives to outgoing connections.
pub fn free_address() -> SocketAddr {
    loop {
        let number = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + (std::process::id() * 61 + number) % 18_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
