//! HTTP/1.1 for the stand-ins: blocking, one thread a connection.

use std::{
    io::{self, BufRead as _, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// True if the whole body came.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter().filter(|(known, _)| known == name);
        named.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Path and query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map_or(String::new(), |(_, value)| value.replace("%2F", "/"))
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the head of a message; nothing at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.start.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = line.trim_end();
        if message.start.is_empty() {
            message.start = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that follows a head; `whole` says whether it came to its end.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message, is_response: bool) {
    let read = match (message.header("transfer-encoding"), message.header("content-length")) {
        (Some(_), _) => read_chunks(reader, &mut message.body),
        (None, Some(length)) => {
            let length: usize = length.parse().unwrap_or_default();
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)
        }
        (None, None) if is_response => reader.read_to_end(&mut message.body).map(drop),
        (None, None) => Ok(()),
    };
    message.whole = read.is_ok();
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Writes a whole message; a content length is added.
pub fn write_message(
    stream: &mut TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{start}\r\n");
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Answers a request with JSON.
pub fn write_json(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &str) -> io::Result<()> {
    let mut all = vec![("Content-Type", "application/json")];
    all.extend_from_slice(headers);
    write_message(stream, &format!("HTTP/1.1 {status} S"), &all, body.as_bytes())
}

/// Serves connections on a listener, each request by `handle`, which returns false to close.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(Message, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(mut request)) = read_head(&mut reader) {
                    read_body(&mut reader, &mut request, false);
                    if !request.whole || !handle(request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
}

/// Connection of a client.
pub struct Connection {
    reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { reader, stream })
    }

    pub fn send(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        write_message(&mut self.stream, start, headers, body)
    }

    /// Reads a whole response; fails if the connection ends before its head.
    pub fn receive(&mut self) -> io::Result<Message> {
        let head = read_head(&mut self.reader)?;
        let mut message = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        read_body(&mut self.reader, &mut message, true);
        Ok(message)
    }

    pub fn call(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<Message> {
        self.send(start, headers, body)?;
        self.receive()
    }
}
