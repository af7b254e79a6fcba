//! Values that must not be printed.

use std::fmt;

/// A secret: its debug text says nothing of it.
#[derive(Clone, PartialEq)]
pub struct Secret<T>(T);

impl<T> Secret<T> {
    /// Keeps a value from being printed.
    pub fn new(value: T) -> Self {
        Self(value)
    }

    /// The value itself.
    pub fn expose(&self) -> &T {
        &self.0
    }
}

impl<T> fmt::Debug for Secret<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(secret)")
    }
}
