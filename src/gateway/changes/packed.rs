//! Compressed entries.
//!
//! Entries of runners resemble each other. A watcher sends them to many daemons
//! at once, and its link would limit how soon these serve.

use crate::core::input::PlatformEntry;
use lz4_flex::block;
use serde::{Deserialize, Serialize};
use std::{error::Error, fmt};

/// Maximum size of unpacked entries, in bytes, so that a malformed size allocates no more. A page is
/// smaller, unless it holds a single large entry.
const MAX_UNPACKED_BYTES: usize = 4 << 20;

/// Entries, encoded and compressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Packed(Vec<u8>);

/// Reason for which packed entries can't be read.
#[derive(Debug)]
pub enum UnpackError {
    /// They claim to be larger than allowed.
    TooLarge(usize),
    /// They were not compressed by this module.
    Compression(block::DecompressError),
    /// They are no entries.
    Encoding(postcard::Error),
}

impl fmt::Display for UnpackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnpackError::TooLarge(bytes) => write!(f, "{bytes} bytes are too many"),
            UnpackError::Compression(error) => error.fmt(f),
            UnpackError::Encoding(error) => error.fmt(f),
        }
    }
}

impl Error for UnpackError {}

impl Packed {
    /// Packs entries.
    ///
    /// # Errors
    ///
    /// Fails if they can't be encoded.
    pub fn new(entries: &[PlatformEntry]) -> Result<Self, postcard::Error> {
        let bytes = postcard::to_stdvec(entries)?;
        Ok(Self(block::compress_prepend_size(&bytes)))
    }

    /// Returns the entries.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are malformed, or if the entries are too large.
    pub fn unpack(&self) -> Result<Vec<PlatformEntry>, UnpackError> {
        let (size, packed) = block::uncompressed_size(&self.0).map_err(UnpackError::Compression)?;
        if size > MAX_UNPACKED_BYTES {
            return Err(UnpackError::TooLarge(size));
        }
        let bytes = block::decompress(packed, size).map_err(UnpackError::Compression)?;
        postcard::from_bytes(&bytes).map_err(UnpackError::Encoding)
    }
}
