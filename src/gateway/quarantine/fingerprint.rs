//! Recognizes a request that comes again, whichever daemon it comes to.

use crate::core::keys::{AccountName, Fingerprint};
use http::{Method, Uri};

/// What makes two requests the same; their host and path decide the route.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// HTTP method.
    pub method: &'a Method,
    /// Host that the caller names, without a port.
    pub host: &'a str,
    /// Path and query.
    pub uri: &'a Uri,
    /// Account of the caller.
    pub account: Option<&'a AccountName>,
    /// Request body.
    pub body: &'a [u8],
}

impl Identity<'_> {
    /// Returns the fingerprint, which the same request has at all daemons.
    pub fn fingerprint(&self) -> Fingerprint {
        let account = self.account.map(AccountName::as_str).unwrap_or_default();
        let path = self.uri.path_and_query().map(|path| path.as_str());
        let host = self.host.to_ascii_lowercase();
        let fields = [
            self.method.as_str().as_bytes(),
            host.as_bytes(),
            path.unwrap_or_default().as_bytes(),
            account.as_bytes(),
            self.body,
        ];
        let mut hasher = blake3::Hasher::new();
        for field in fields {
            // The length keeps the end of one field from being taken for the start of the next.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let hash = hasher.finalize();
        let (start, _) = hash.as_bytes().split_first_chunk().expect("32 bytes");
        Fingerprint(u64::from_le_bytes(*start))
    }
}
