//! Wrapper for secrets that keeps them out of logs and debug output.

use std::fmt;

/// Secret value, which is not shown by `Debug`.
#[derive(Clone, PartialEq)]
pub struct Secret<T>(T);

impl<T> Secret<T> {
    /// Wraps a secret value.
    pub fn new(value: T) -> Self {
        Self(value)
    }

    /// Returns the secret value.
    pub fn expose(&self) -> &T {
        &self.0
    }
}

impl<T> fmt::Debug for Secret<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(secret)")
    }
}
