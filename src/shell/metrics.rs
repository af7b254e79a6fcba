//! Exports metrics as Prometheus text.
//!
//! The metrics of the core are read when the metrics are requested; the drivers
//! count through the macros of the `metrics` crate.

use crate::core::metric::{Metric, MetricKind};
use metrics::{
    Counter, Gauge, Histogram, Key, KeyName, Label, Level, Metadata, Recorder, SharedString, Unit,
};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use std::sync::OnceLock;

/// Prefix of every metric name.
const PREFIX: &str = "hickoryledge_";
const METADATA: Metadata<'static> =
    Metadata::new("hickoryledge", Level::INFO, Some(module_path!()));

/// Handle to the metrics counted by the drivers of this process.
static DRIVER_METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder for the drivers' metrics; does nothing if it is installed.
pub fn install() {
    DRIVER_METRICS.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        let _ = metrics::set_global_recorder(PrefixedRecorder(recorder));
        handle
    });
}

/// Renders the given metrics and those of the drivers as Prometheus text.
pub fn render(metrics: &[Metric]) -> String {
    let recorder = PrefixedRecorder(PrometheusBuilder::new().build_recorder());
    for metric in metrics {
        let labels = match &metric.label {
            Some((name, value)) => vec![Label::new(*name, value.clone())],
            None => Vec::new(),
        };
        let key = Key::from_parts(metric.name, labels);
        match metric.kind {
            MetricKind::Counter => {
                let counter = recorder.register_counter(&key, &METADATA);
                counter.absolute(metric.value);
            }
            MetricKind::Gauge => {
                let gauge = recorder.register_gauge(&key, &METADATA);
                gauge.set(metric.value as f64);
            }
        }
    }
    let mut text = recorder.0.handle().render();
    if let Some(handle) = DRIVER_METRICS.get() {
        text.push_str(&handle.render());
    }
    text
}

/// Recorder that adds the prefix to every metric name.
struct PrefixedRecorder(PrometheusRecorder);

fn add_prefix(key: &Key) -> Key {
    let name = format!("{PREFIX}{}", key.name());
    Key::from_parts(name, key.labels().cloned().collect::<Vec<_>>())
}

impl Recorder for PrefixedRecorder {
    fn describe_counter(&self, _key: KeyName, _unit: Option<Unit>, _text: SharedString) {}

    fn describe_gauge(&self, _key: KeyName, _unit: Option<Unit>, _text: SharedString) {}

    fn describe_histogram(&self, _key: KeyName, _unit: Option<Unit>, _text: SharedString) {}

    fn register_counter(&self, key: &Key, metadata: &Metadata<'_>) -> Counter {
        self.0.register_counter(&add_prefix(key), metadata)
    }

    fn register_gauge(&self, key: &Key, metadata: &Metadata<'_>) -> Gauge {
        self.0.register_gauge(&add_prefix(key), metadata)
    }

    fn register_histogram(&self, key: &Key, metadata: &Metadata<'_>) -> Histogram {
        self.0.register_histogram(&add_prefix(key), metadata)
    }
}
