//! Connection to a daemon that is kept open for many requests.

use std::{
    io::{self, BufRead as _, BufReader, ErrorKind, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason for which no whole response arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The connection was closed.
    Cut,
    /// Nothing arrived within the timeout.
    Silent,
    /// What arrived is no response.
    Garbage,
}

impl From<io::Error> for ReadError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::WouldBlock | ErrorKind::TimedOut => ReadError::Silent,
            ErrorKind::InvalidData => ReadError::Garbage,
            _ => ReadError::Cut,
        }
    }
}

/// Response, as far as it arrived.
#[derive(Debug, Default)]
pub struct Response {
    /// Status; 0 if no head arrived.
    pub status: u16,
    /// Body.
    pub body: String,
    /// Time after which a refused caller should retry.
    pub retry_after: Option<Duration>,
    /// True if the daemon closes the connection after this response.
    pub closes: bool,
    /// Reason for which it is not whole.
    pub error: Option<ReadError>,
}

/// Open connection.
pub struct Connection {
    /// Address of the daemon.
    pub address: SocketAddr,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects to an address; none if that fails.
    pub fn open(address: SocketAddr, read_timeout: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(read_timeout)).ok()?;
        Some(Self {
            address,
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request; returns false if the connection was closed.
    pub fn send(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Reads a response until its end or until the connection fails.
    pub fn read_response(&mut self) -> Response {
        let mut response = Response::default();
        response.error = self.read_into(&mut response).err();
        response
    }

    fn read_into(&mut self, response: &mut Response) -> Result<(), ReadError> {
        let status_line = self.read_line()?;
        let status = status_line.split(' ').nth(1);
        let status = status.and_then(|code| code.parse().ok());
        let mut length = 0;
        let mut is_chunked = false;
        loop {
            let line = self.read_line()?.to_lowercase();
            let Some((name, value)) = line.split_once(": ") else {
                break;
            };
            match name {
                "content-length" => length = value.parse().map_err(|_| ReadError::Garbage)?,
                "transfer-encoding" => is_chunked = value == "chunked",
                "connection" => response.closes = value == "close",
                "retry-after" => response.retry_after = seconds(value),
                _ => {}
            }
        }
        response.status = status.ok_or(ReadError::Garbage)?;
        match is_chunked {
            true => self.read_chunks(&mut response.body),
            false => self.read_text(length, &mut response.body),
        }
    }

    /// Reads a chunked body up to its last chunk.
    fn read_chunks(&mut self, body: &mut String) -> Result<(), ReadError> {
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(&line, 16).map_err(|_| ReadError::Garbage)?;
            self.read_text(size, body)?;
            self.read_line()?;
            if size == 0 {
                return Ok(());
            }
        }
    }

    fn read_text(&mut self, length: usize, body: &mut String) -> Result<(), ReadError> {
        let mut bytes = vec![0; length];
        self.reader.read_exact(&mut bytes)?;
        body.push_str(&String::from_utf8_lossy(&bytes));
        Ok(())
    }

    /// Reads a line, without its end.
    fn read_line(&mut self) -> Result<String, ReadError> {
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        match line.strip_suffix("\r\n") {
            Some(line) => Ok(line.to_owned()),
            None => Err(ReadError::Cut),
        }
    }
}

fn seconds(text: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(text.parse().ok()?).ok()
}
