//! Settings of a gateway, read from a YAML file.

use super::operator_token::{self, OperatorToken};
use crate::core::{
    keys::{DaemonName, HallName},
    time::Span,
};
use anyhow::Context as _;
use serde::{Deserialize, Deserializer, de::Error as _};
use std::{net::SocketAddr, path::Path};

crate::record! {
    /// Settings of a gateway.
    #[serde(deny_unknown_fields)]
    pub struct Settings {
        /// Name of the daemon, the same in every run.
        pub name: DaemonName,
        /// Hall that the daemon runs in.
        pub hall: HallName,
        /// Addresses to listen on.
        pub listen: Listen,
        /// Address of the store.
        pub store: SocketAddr,
        /// Limits on retries, over all daemons.
        pub retry: RetryLimits,
        /// Grace period of a stop, in milliseconds.
        pub grace_ms: u64,
        /// Time for which callers may cache the daemons' addresses, in milliseconds.
        pub entries_ms: u64,
        /// Time within which no more requests may be sent to the runners of an evacuated hall, in
        /// milliseconds; none if halls aren't evacuated.
        #[serde(default, deserialize_with = "optional_millis")]
        pub evacuation_ms: Option<u64>,
        /// Token of the operators who may ask what the daemon would do with a request, as its value
        /// or as `blake3:` with its hash; nobody may if there is none.
        #[serde(default, deserialize_with = "operator_token::optional")]
        pub operator_token: Option<OperatorToken>,
        /// Processor time that the daemon may use, in cores.
        #[serde(default)]
        pub cores: f64,
        /// True if the whole deployment starts for the first time.
        #[serde(default)]
        pub first: bool,
        /// Whether daemons tell each other how many requests they have at each head.
        #[serde(default)]
        pub load_exchange: LoadExchangeMode,
    }

    /// Whether daemons tell each other how many requests they have at each head.
    #[derive(Copy, Default, Eq)]
    pub enum LoadExchangeMode {
        /// While there are more daemons than a head has slots.
        #[default]
        Auto,
        /// Never.
        Off,
    }

    /// Addresses that a gateway listens on.
    #[serde(deny_unknown_fields)]
    pub struct Listen {
        /// Address for callers.
        pub caller: SocketAddr,
        /// Address for readiness probes and metrics.
        pub ready: SocketAddr,
        /// Address for directory requests, which return the daemons' addresses.
        pub directory: SocketAddr,
        /// Address for other daemons, which subscribe to the store's changes.
        #[serde(default)]
        pub peer: Option<SocketAddr>,
        /// Address for requests that other daemons pass on while they reach no runner.
        #[serde(default)]
        pub relay: Option<SocketAddr>,
    }

    /// Limits on retries over all daemons.
    #[serde(deny_unknown_fields)]
    pub struct RetryLimits {
        /// Retries for each request.
        pub ratio: f64,
        /// Retries that are allowed on top of the ratio.
        pub slack: f64,
        /// Window over which requests and retries are counted; written in seconds.
        #[serde(rename = "window_s", with = "seconds")]
        pub window: Span,
    }
}

/// Value that a template writes as text, since the platform may have none for it.
#[derive(Deserialize)]
#[serde(untagged)]
enum TemplateValue {
    Number(u64),
    Text(String),
}

/// Reads a number of milliseconds. An empty text, or a placeholder that nobody filled in, means that there
/// is none.
fn optional_millis<'de, D>(deserializer: D) -> Result<Option<u64>, D::Error>
where
    D: Deserializer<'de>,
{
    match TemplateValue::deserialize(deserializer)? {
        TemplateValue::Number(millis) => Ok(Some(millis)),
        TemplateValue::Text(text) if text.is_empty() || text.starts_with("{{") => Ok(None),
        TemplateValue::Text(text) => text.parse().map(Some).map_err(D::Error::custom),
    }
}

mod seconds {
    use super::Span;
    use serde::{Deserialize as _, Deserializer, Serializer};

    pub(super) fn serialize<S>(span: &Span, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_f64(span.as_secs_f64())
    }

    pub(super) fn deserialize<'de, D>(deserializer: D) -> Result<Span, D::Error>
    where
        D: Deserializer<'de>,
    {
        let seconds = f64::deserialize(deserializer)?;
        Ok(Span((seconds * 1e6) as u64))
    }
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or its content is invalid; the message names the place.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let text =
            std::fs::read_to_string(path).with_context(|| format!("read {}", path.display()))?;
        Self::parse(&text).with_context(|| path.display().to_string())
    }

    /// Parses settings from YAML text.
    ///
    /// # Errors
    ///
    /// Fails if the text is invalid; the message names the place.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        Ok(serde_saphyr::from_str(text)?)
    }
}
