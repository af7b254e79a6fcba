//! Bytes of responses, or of requests, that a daemon holds in memory, bounded over all of them.
//!
//! A response may take as many of the bytes that are left as it leaves to the
//! others. One that never ends therefore can't take the memory of the process,
//! nor all that other responses need.

use bytes::Bytes;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Maximum number of bytes that all reservations hold together, in addition to their free bytes.
pub const MAX_HELD_BYTES: usize = 64 << 20;

/// Budget of the bytes that responses, or requests, hold.
#[derive(Clone, Debug, Default)]
pub struct HeldBytes(Arc<AtomicUsize>);

/// Bytes of one response, released when dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: HeldBytes,
    /// Bytes that are not counted, so that a small response never fails for the sake of others.
    free: usize,
    counted: usize,
}

impl HeldBytes {
    /// Starts a reservation whose first `free` bytes are not counted.
    pub fn reserve(&self, free: usize) -> Reservation {
        Reservation {
            budget: self.clone(),
            free,
            counted: 0,
        }
    }

    /// Returns bytes that are counted until they are dropped, except for the first `free`; none if
    /// they are too many.
    pub fn hold(&self, bytes: Bytes, free: usize) -> Option<Bytes> {
        let mut reservation = self.reserve(free);
        let is_held = reservation.resize(bytes.len());
        is_held.then(|| reservation.bind(bytes))
    }

    /// Returns the number of counted bytes.
    pub fn counted(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

impl Reservation {
    /// Changes the size to `bytes`; returns false, and changes nothing, if that is too much.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let counted = bytes.saturating_sub(self.free);
        let others = self.budget.counted() - self.counted;
        let is_growing = counted > self.counted;
        if is_growing && others + 2 * counted > MAX_HELD_BYTES {
            return false;
        }
        self.budget.0.store(others + counted, Ordering::Relaxed);
        self.counted = counted;
        true
    }

    /// Binds the reservation to bytes, so that it lasts as long as they do.
    pub fn bind(self, bytes: Bytes) -> Bytes {
        if self.counted == 0 {
            return bytes;
        }
        Bytes::from_owner(BoundBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.counted, Ordering::Relaxed);
    }
}

/// Bytes with their reservation.
struct BoundBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for BoundBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
