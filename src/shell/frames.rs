//! Length-prefixed frames on a TCP connection.
//!
//! A frame is preceded by its length, a big-endian number of four bytes.

use compio::{
    BufResult,
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};
use std::io;

/// Reads one frame of at most `max_bytes` bytes.
///
/// # Errors
///
/// Fails if the connection ends or the frame is too long.
pub async fn read_frame(stream: &mut TcpStream, max_bytes: usize) -> io::Result<Vec<u8>> {
    let BufResult(result, length) = stream.read_exact([0u8; 4]).await;
    result?;
    let length = u32::from_be_bytes(length) as usize;
    if length > max_bytes {
        return Err(io::Error::from(io::ErrorKind::InvalidData));
    }
    let BufResult(result, frame) = stream.read_exact(vec![0; length]).await;
    result?;
    Ok(frame)
}

/// Writes one frame.
///
/// # Errors
///
/// Fails if the connection ends.
pub async fn write_frame(stream: &mut TcpStream, frame: Vec<u8>) -> io::Result<()> {
    let mut bytes = Vec::with_capacity(frame.len() + 4);
    bytes.extend_from_slice(&(frame.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&frame);
    let BufResult(result, _) = stream.write_all(bytes).await;
    result
}
