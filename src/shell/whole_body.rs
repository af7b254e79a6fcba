//! Reads the whole body of a request or of a runner's response into memory.

use super::{
    held_bytes::{HeldBytes, Reservation},
    request_body::RequestBody,
};
use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;

/// Maximum size of a response that is buffered in full.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Size up to which a response is buffered whatever others hold.
const FREE_RESPONSE_BYTES: usize = 64 << 10;

/// Size up to which a request is buffered whatever others hold.
const FREE_REQUEST_BYTES: usize = 64 << 10;

/// Reason for which a body can't be read in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It was cut off.
    Cut,
    /// It is longer than allowed.
    TooLong,
    /// It needs more memory than may be held now.
    NoMemory,
}

/// Reads a response's body; returns none if it is cut off, too long, or more than may be held now.
pub async fn read_whole(body: Incoming, held_bytes: &HeldBytes) -> Option<Bytes> {
    let mut reservation = held_bytes.reserve(FREE_RESPONSE_BYTES);
    let mut body = body;
    let read = read(&mut body, MAX_RESPONSE_BYTES, &mut reservation).await;
    read.ok().map(|bytes| reservation.bind(bytes))
}

/// Reads a request's body of at most `max_bytes`. The rest of one that fails is left to its
/// connection, which discards it.
///
/// # Errors
///
/// Fails if the body is cut off, too long, or more than may be held now.
pub async fn read_request(
    mut body: RequestBody,
    max_bytes: usize,
    held_bytes: &HeldBytes,
) -> Result<Bytes, BodyError> {
    let mut reservation = held_bytes.reserve(FREE_REQUEST_BYTES);
    let read = read(&mut body, max_bytes, &mut reservation).await;
    read.map(|bytes| reservation.bind(bytes))
}

async fn read<B>(
    body: &mut B,
    max_bytes: usize,
    reservation: &mut Reservation,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Cut)?;
        if let Some(bytes) = frame.data_ref() {
            append(&mut whole, bytes, max_bytes, reservation)?;
        }
    }
    Ok(Bytes::from(whole))
}

fn append(
    whole: &mut Vec<u8>,
    bytes: &[u8],
    max_bytes: usize,
    reservation: &mut Reservation,
) -> Result<(), BodyError> {
    let length = whole.len() + bytes.len();
    if length > max_bytes {
        return Err(BodyError::TooLong);
    }
    if length > whole.capacity() {
        let capacity = length.max(2 * whole.capacity()).min(max_bytes);
        if !reservation.resize(capacity) {
            return Err(BodyError::NoMemory);
        }
        whole.reserve_exact(capacity - whole.len());
    }
    whole.extend_from_slice(bytes);
    Ok(())
}
