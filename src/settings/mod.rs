//! Settings: read from YAML, checked whole, then passed down resolved.

mod document;
mod reader;
mod secret;
mod tree;

pub use reader::Fault;
pub use secret::Secret;
pub use tree::Place;

use crate::{
    core::{
        keys::{DaemonName, HallName, RegionName},
        options::Options,
    },
    report::Objectives,
};
use document::document;
use reader::{Faults, Field};
use std::{
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};
use tree::{Node, Value};

/// The addresses that a daemon listens on.
#[derive(Clone, Debug, PartialEq)]
pub struct Listen {
    /// For callers, and for health and metrics.
    pub caller: SocketAddr,
    /// For other daemons, UDP and TCP alike.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// A daemon's settings, resolved.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The daemon's name.
    pub name: DaemonName,
    /// Its region.
    pub region: RegionName,
    /// Its hall.
    pub hall: HallName,
    /// Where it listens.
    pub listen: Listen,
    /// Daemons to ask first.
    pub peers: Vec<SocketAddr>,
    /// The platform's key-value service, any of these addresses.
    pub platform: Vec<SocketAddr>,
    /// The list of live and leaving hosts.
    pub host_list: SocketAddr,
    /// The key that daemons authenticate each other's messages with.
    pub peer_key: Secret<[u8; 32]>,
    /// The token that operators present.
    pub operator_token: Secret<String>,
    /// The largest request body taken, in bytes.
    pub max_body: usize,
    /// The most calls open at once.
    pub max_calls: usize,
    /// How long a caller may take to send a request's head, again its body, and to read nothing.
    pub caller_timeout: Duration,
    /// Tunables of the decision logic.
    pub options: Options,
    /// What the report holds the daemon to.
    pub objectives: Objectives,
}

/// Why a settings file was refused.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    /// The file.
    pub file: PathBuf,
    /// Everything wrong with it, in the order of the file.
    pub faults: Vec<Fault>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is refused:", self.file.display())?;
        for fault in &self.faults {
            write!(f, "\n  {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// Reads a settings file.
///
/// # Errors
///
/// Refuses the file with everything that is wrong in it.
pub fn read(file: &Path) -> Result<Settings, SettingsError> {
    let refuse = |faults| SettingsError {
        file: file.to_owned(),
        faults,
    };
    let text = std::fs::read_to_string(file).map_err(|e| refuse(vec![no_place(e.to_string())]))?;
    parse(&text, file.parent().unwrap_or(Path::new("."))).map_err(refuse)
}

/// Reads settings from YAML text; secret files are found from `folder`.
///
/// # Errors
///
/// Gives everything that is wrong, in the order of the text.
pub fn parse(text: &str, folder: &Path) -> Result<Settings, Vec<Fault>> {
    let root: serde_saphyr::Spanned<Value> =
        serde_saphyr::from_str(text).map_err(|error| vec![syntax(&error)])?;
    let root = Node::from(root);
    let faults = Faults::default();
    let settings = document(&Field::root(&faults, &root), folder);
    let faults = faults.into_sorted();
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

fn no_place(reason: String) -> Fault {
    Fault {
        place: Place::default(),
        field: String::new(),
        reason,
    }
}

/// The library's message without its excerpt of the file, which may hold secrets.
fn syntax(error: &serde_saphyr::Error) -> Fault {
    let message = error.to_string();
    let line = message.lines().next().unwrap_or_default();
    Fault {
        place: error.location().map(Place::from).unwrap_or_default(),
        ..no_place(line.trim_start_matches("error: ").to_owned())
    }
}
