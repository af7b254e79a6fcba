//! Faults that tests inject into a simulated runner.

use serde::Deserialize;

/// Active faults; `POST /fault` replaces them all.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Factor by which steps take longer.
    pub slow: f64,
    /// Requests other than `/fault` get no response, and no steps are run.
    pub hang: bool,
    /// New requests are refused, and marked as not run.
    pub refuse: bool,
    /// Number of tokens after which a run stalls with its connection open.
    pub stall_after: Option<u32>,
    /// Number of tokens after which a run's connection is reset.
    pub cut_after: Option<u32>,
    /// Delay of each response, in milliseconds.
    pub late_ms: u64,
    /// Responses carry the number of another attempt.
    pub crossed: bool,
    /// Connections open when the fault is set stay silent permanently.
    pub mute_open: bool,
    /// Load reports state that the runner is leaving.
    pub leaving: bool,
    /// Requests for the load report fail.
    pub no_load: bool,
    /// Orders are carried out, but get no response.
    pub lose_orders: bool,
    /// Bodies of responses to calls never end.
    pub endless: bool,
}
