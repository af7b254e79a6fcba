//! Counters of the request path and their export as metrics.

use super::super::{
    metric::Metric,
    output::{Doubt, Ending, Refusal},
};
use std::collections::BTreeMap;

/// Event counters of the request path.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) arrived: u64,
    pub(super) attempts: u64,
    pub(super) resumed: u64,
    pub(super) relayed: u64,
    /// Responses, or parts of one, that did not match their attempt.
    pub(super) mismatched: u64,
    /// Events of attempts that had already ended.
    pub(super) late: u64,
    pub(super) stalled: u64,
    pub(super) tokens: u64,
    complete: u64,
    refused: BTreeMap<Refusal, u64>,
    unknown: BTreeMap<Doubt, u64>,
}

impl Counters {
    /// Counts the ending of a request.
    pub(super) fn record_ending(&mut self, ending: &Ending) {
        match ending {
            Ending::Complete => self.complete += 1,
            Ending::Refused { reason, .. } => *self.refused.entry(*reason).or_default() += 1,
            Ending::Unknown(reason) => *self.unknown.entry(*reason).or_default() += 1,
        }
    }

    /// Appends the counters as metrics.
    pub(super) fn metrics(&self, metrics: &mut Vec<Metric>) {
        metrics.extend([
            Metric::counter("requests_arrived_total", self.arrived),
            Metric::counter("requests_complete_total", self.complete),
            Metric::counter("attempts_total", self.attempts),
            Metric::counter("attempts_resumed_total", self.resumed),
            Metric::counter("attempts_relayed_total", self.relayed),
            Metric::counter("attempts_stalled_total", self.stalled),
            Metric::counter("answers_mismatched_total", self.mismatched),
            Metric::counter("answers_late_total", self.late),
            Metric::counter("tokens_delivered_total", self.tokens),
        ]);
        for (reason, value) in &self.refused {
            let metric = Metric::counter("requests_refused_total", *value);
            metrics.push(metric.with_label("reason", label(reason)));
        }
        for (reason, value) in &self.unknown {
            let metric = Metric::counter("requests_unknown_total", *value);
            metrics.push(metric.with_label("reason", label(reason)));
        }
    }
}

/// Returns the name of a reason as it is serialized in responses.
fn label<T>(reason: &T) -> String
where
    T: serde::Serialize,
{
    match serde_json::to_value(reason) {
        Ok(serde_json::Value::String(text)) => text,
        _ => String::new(),
    }
}
