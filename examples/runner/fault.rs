//! How a stand-in runner is told to misbehave.

use serde::Deserialize;

/// Faults in force; `POST /fault` replaces them all.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Steps take this many times as long.
    pub slow: f64,
    /// Nothing is answered at all.
    pub hang: bool,
    /// New work is declined as not run.
    pub refuse: bool,
    /// Runs fall silent after this many tokens.
    pub stall_after: Option<u32>,
    /// Connections are cut after this many tokens.
    pub cut_after: Option<u32>,
    /// Answers begin this much later, in milliseconds.
    pub late_ms: u64,
    /// Answers claim to belong to another attempt.
    pub crossed: bool,
    /// Connections open at this moment go silent for good.
    pub mute_open: bool,
    /// Load reports say that the runner is leaving.
    pub leaving: bool,
    /// Load reports fail.
    pub no_load: bool,
    /// Orders are carried out but not answered.
    pub lose_orders: bool,
}
