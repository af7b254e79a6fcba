//! Token by which operators authenticate towards a gateway.
//!
//! Only its hash is kept. The setting may hold the hash itself, so that the
//! token doesn't appear in rendered settings.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};

/// Prefix of a setting that holds the token's hash.
const HASH_PREFIX: &str = "blake3:";

/// Minimum length of a token, in bytes.
const MIN_LENGTH: usize = 16;

/// Hash of the operators' token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OperatorToken(blake3::Hash);

impl OperatorToken {
    /// Parses the value of a token, or its BLAKE3 hash with a prefix.
    ///
    /// # Errors
    ///
    /// Fails if the value is too short, or if the hash isn't one.
    pub fn parse(text: &str) -> Result<Self, String> {
        if let Some(hash) = text.strip_prefix(HASH_PREFIX) {
            let hash = blake3::Hash::from_hex(hash);
            return hash.map(Self).map_err(|error| error.to_string());
        }
        if text.len() < MIN_LENGTH {
            return Err(format!("the token is shorter than {MIN_LENGTH} bytes"));
        }
        Ok(Self(blake3::hash(text.as_bytes())))
    }

    /// Returns the hash of the token, which compares in constant time.
    pub fn hash(&self) -> &blake3::Hash {
        &self.0
    }
}

impl Serialize for OperatorToken {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&format!("{HASH_PREFIX}{}", self.0))
    }
}

/// Reads a token that a settings file may lack. An empty text, or a placeholder that nobody filled in,
/// means that there is none: it would be a token that anybody can guess.
pub(super) fn optional<'de, D>(deserializer: D) -> Result<Option<OperatorToken>, D::Error>
where
    D: Deserializer<'de>,
{
    let text = Option::<String>::deserialize(deserializer)?.unwrap_or_default();
    if text.is_empty() || text.starts_with("{{") {
        return Ok(None);
    }
    OperatorToken::parse(&text)
        .map(Some)
        .map_err(D::Error::custom)
}
