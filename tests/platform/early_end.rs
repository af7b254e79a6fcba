//! Responses of a fake runner that come, and end, before it has read the request.

use super::http::write_text;
use socket2::SockRef;
use std::{
    io::{self, BufReader, Read as _},
    net::{Shutdown, TcpStream},
    thread,
    time::Duration,
};

/// Response to a request whose body is unread, or read in part.
#[derive(Clone, Copy, Debug)]
pub struct EarlyResponse {
    /// Text; `{own}` stands for the headers of the runner's responses.
    pub text: &'static str,
    /// Bytes of the body that are read first.
    pub read: usize,
    /// How the connection ends.
    pub end: ConnectionEnd,
}

/// End of the connection after an early response.
#[derive(Clone, Copy, Debug)]
pub enum ConnectionEnd {
    /// It is reset after some time.
    Reset(Duration),
    /// The writing half is closed, and the rest of the request is read.
    HalfClose,
}

impl EarlyResponse {
    /// Writes the response and ends the connection, which is closed once it is dropped. The peer may
    /// have closed it already.
    pub fn write(
        self,
        reader: &mut BufReader<TcpStream>,
        stream: &mut TcpStream,
        own_headers: &str,
    ) {
        let is_read = reader.read_exact(&mut vec![0; self.read]).is_ok();
        if !is_read || !write_text(stream, &self.text.replace("{own}", own_headers)) {
            return;
        }
        match self.end {
            ConnectionEnd::Reset(delay) => {
                thread::sleep(delay);
                let socket = SockRef::from(&*stream);
                socket.set_linger(Some(Duration::ZERO)).expect("set");
            }
            ConnectionEnd::HalfClose => {
                let _ = stream.shutdown(Shutdown::Write);
                let _ = io::copy(reader, &mut io::sink());
            }
        }
    }
}
