//! Settings of a daemon, read from a YAML file.
//!
//! The whole file is validated before any setting is used, and every error is reported with its
//! position.

mod document;
mod reader;
mod secret;
mod tree;

pub use reader::Diagnostic;
pub use secret::Secret;
pub use tree::Position;

use crate::{
    core::{
        keys::{DaemonName, HallName, RegionName},
        options::Options,
    },
    report::Objectives,
};
use document::read_settings;
use reader::{Diagnostics, Field};
use std::{
    fmt,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};
use tree::{Node, Value};

/// Addresses that a daemon listens on.
#[derive(Clone, Debug, PartialEq)]
pub struct Listen {
    /// Address for callers, health checks and metrics.
    pub caller: SocketAddr,
    /// Address for other daemons, over both UDP and TCP.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
}

/// Validated settings of a daemon, with defaults filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the daemon.
    pub name: DaemonName,
    /// Region that the daemon runs in.
    pub region: RegionName,
    /// Hall that the daemon runs in.
    pub hall: HallName,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Peer addresses of the daemons to contact first.
    pub peers: Vec<SocketAddr>,
    /// Addresses of the platform's key-value store, any of which may be used.
    pub platform: Vec<SocketAddr>,
    /// Address of the service that lists live and leaving hosts.
    pub host_list: SocketAddr,
    /// Key that authenticates messages between daemons.
    pub peer_key: Secret<[u8; 32]>,
    /// Token that authenticates operators.
    pub operator_token: Secret<String>,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum number of calls in flight.
    pub max_calls: usize,
    /// Timeout of reading a request's head, of reading its body, and of a write without progress.
    pub caller_timeout: Duration,
    /// Options of the decision logic.
    pub options: Options,
    /// Service-level objectives that the report checks.
    pub objectives: Objectives,
}

/// Error of a settings file that can't be used.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsError {
    /// Path of the settings file.
    pub file: PathBuf,
    /// Diagnostics, in the order of the file.
    pub diagnostics: Vec<Diagnostic>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is invalid:", self.file.display())?;
        for diagnostic in &self.diagnostics {
            write!(f, "\n  {diagnostic}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// Reads a settings file.
///
/// # Errors
///
/// Fails with a diagnostic for every error in the file.
pub fn read(file: &Path) -> Result<Settings, SettingsError> {
    let invalid = |diagnostics| SettingsError {
        file: file.to_owned(),
        diagnostics,
    };
    let text = std::fs::read_to_string(file)
        .map_err(|e| invalid(vec![without_position(e.to_string())]))?;
    parse(&text, file.parent().unwrap_or(Path::new("."))).map_err(invalid)
}

/// Reads settings from YAML text; paths of secret files are relative to `directory`.
///
/// # Errors
///
/// Fails with a diagnostic for every error, in the order of the text.
pub fn parse(text: &str, directory: &Path) -> Result<Settings, Vec<Diagnostic>> {
    let root: serde_saphyr::Spanned<Value> =
        serde_saphyr::from_str(text).map_err(|error| vec![syntax_error(&error)])?;
    let root = Node::from(root);
    let diagnostics = Diagnostics::default();
    let settings = read_settings(&Field::root(&diagnostics, &root), directory);
    let diagnostics = diagnostics.into_sorted();
    match settings {
        Some(settings) if diagnostics.is_empty() => Ok(settings),
        _ => Err(diagnostics),
    }
}

/// Creates a diagnostic that belongs to the file as a whole.
fn without_position(reason: String) -> Diagnostic {
    Diagnostic {
        position: Position::default(),
        field: String::new(),
        reason,
    }
}

/// Converts a YAML error, without the parser's excerpt of the file, which may hold secrets.
fn syntax_error(error: &serde_saphyr::Error) -> Diagnostic {
    let message = error.to_string();
    let line = message.lines().next().unwrap_or_default();
    Diagnostic {
        position: error.location().map(Position::from).unwrap_or_default(),
        ..without_position(line.trim_start_matches("error: ").to_owned())
    }
}
