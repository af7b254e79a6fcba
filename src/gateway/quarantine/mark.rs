//! What crashes are blamed on: a request that comes again, or a part of prompts.

use crate::core::keys::{Fingerprint, PromptPart};
use std::fmt;

/// Prefix of a request's name in the store and in logs.
const REQUEST_PREFIX: &str = "request-";

crate::record! {
    /// Property of requests that may make them crash runners.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum Mark {
        /// The request as a whole.
        Request(Fingerprint),
        /// A part of its prompt.
        Part(PromptPart),
    }
}

impl Mark {
    /// Reads a mark as it is displayed; none if the text names none.
    pub fn parse(text: &str) -> Option<Self> {
        let number = |digits| u64::from_str_radix(digits, 16).ok();
        match text.strip_prefix(REQUEST_PREFIX) {
            Some(digits) => number(digits).map(|number| Mark::Request(Fingerprint(number))),
            None => number(text).map(|number| Mark::Part(PromptPart(number))),
        }
    }

    /// Returns the marks of a request: its own, and those of its prompt's parts.
    pub fn of(request: Fingerprint, parts: &[PromptPart]) -> impl Iterator<Item = Mark> {
        let parts = parts.iter().copied().map(Mark::Part);
        std::iter::once(Mark::Request(request)).chain(parts)
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Mark::Request(request) => write!(f, "{REQUEST_PREFIX}{request}"),
            Mark::Part(part) => part.fmt(f),
        }
    }
}
