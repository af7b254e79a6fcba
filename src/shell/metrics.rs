//! Metrics: what the parts have counted, as Prometheus text.

use {
    crate::core::count::{Count, CountKind},
    metrics::{Key, Label, Level, Metadata, Recorder as _},
    metrics_exporter_prometheus::PrometheusBuilder,
};

/// What every name begins with.
const PREFIX: &str = "hickoryledge_";
const METADATA: Metadata<'static> =
    Metadata::new("hickoryledge", Level::INFO, Some(module_path!()));

/// The text for some counts.
pub fn render(counts: &[Count]) -> String {
    let recorder = PrometheusBuilder::new().build_recorder();
    for count in counts {
        let labels = match &count.label {
            Some((name, value)) => vec![Label::new(*name, value.clone())],
            None => Vec::new(),
        };
        let key = Key::from_parts(format!("{PREFIX}{}", count.name), labels);
        match count.kind {
            CountKind::Counter => {
                let counter = recorder.register_counter(&key, &METADATA);
                counter.absolute(count.value);
            }
            CountKind::Gauge => {
                let gauge = recorder.register_gauge(&key, &METADATA);
                gauge.set(count.value as f64);
            }
        }
    }
    recorder.handle().render()
}
