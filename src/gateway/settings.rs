//! A gateway's settings, read from YAML.

use crate::core::{
    keys::{DaemonName, HallName},
    time::Span,
};
use anyhow::Context as _;
use std::{net::SocketAddr, path::Path};

crate::record! {
    /// A gateway's settings.
    #[serde(deny_unknown_fields)]
    pub struct Settings {
        /// Its name, the same in every run.
        pub name: DaemonName,
        /// Its hall.
        pub hall: HallName,
        /// Where it listens.
        pub listen: Listen,
        /// The store's address.
        pub store: SocketAddr,
        /// The limits on repeats, over all daemons.
        pub retry: RetryBounds,
        /// How long a stop may take, in milliseconds.
        pub grace_ms: u64,
        /// How long callers may keep the daemons' addresses, in milliseconds.
        pub entries_ms: u64,
        /// Whether the whole deployment starts for the first time.
        #[serde(default)]
        pub first: bool,
    }

    /// Where a gateway listens.
    #[serde(deny_unknown_fields)]
    pub struct Listen {
        /// For callers.
        pub caller: SocketAddr,
        /// For questions whether it is ready, and for metrics.
        pub ready: SocketAddr,
        /// For questions which daemons to use.
        pub directory: SocketAddr,
    }

    /// Limits on repeats over all daemons.
    #[serde(deny_unknown_fields)]
    pub struct RetryBounds {
        /// Repeats for each request.
        pub ratio: f64,
        /// Repeats allowed besides.
        pub slack: f64,
        /// The window over which both are counted, in seconds.
        #[serde(rename = "window_s", with = "seconds")]
        pub window: Span,
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
    /// Fails if the file can't be read or is refused; the message names the place.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let text =
            std::fs::read_to_string(path).with_context(|| format!("read {}", path.display()))?;
        Self::parse(&text).with_context(|| path.display().to_string())
    }

    /// Reads settings from text.
    ///
    /// # Errors
    ///
    /// Fails if the text is refused; the message names the place.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        Ok(serde_saphyr::from_str(text)?)
    }
}
