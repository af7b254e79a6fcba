//! Metrics as Prometheus text: what the parts of the decision logic have
//! counted, read when asked for, and what drivers count through the `metrics`
//! crate's macros.

use crate::core::metric::{Metric, MetricKind};
use metrics::{
    Counter, Gauge, Histogram, Key, KeyName, Label, Level, Metadata, Recorder, SharedString, Unit,
};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use std::sync::OnceLock;

/// What every name begins with.
const PREFIX: &str = "hickoryledge_";
const METADATA: Metadata<'static> =
    Metadata::new("hickoryledge", Level::INFO, Some(module_path!()));

/// What the drivers of this process have counted.
static DRIVERS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Begins to collect what drivers count; does nothing if it has begun.
pub fn install() {
    DRIVERS.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        let _ = metrics::set_global_recorder(Prefixed(recorder));
        handle
    });
}

/// The text for some counts and for what drivers have counted.
pub fn render(counts: &[Metric]) -> String {
    let recorder = Prefixed(PrometheusBuilder::new().build_recorder());
    for count in counts {
        let labels = match &count.label {
            Some((name, value)) => vec![Label::new(*name, value.clone())],
            None => Vec::new(),
        };
        let key = Key::from_parts(count.name, labels);
        match count.kind {
            MetricKind::Counter => {
                let counter = recorder.register_counter(&key, &METADATA);
                counter.absolute(count.value);
            }
            MetricKind::Gauge => {
                let gauge = recorder.register_gauge(&key, &METADATA);
                gauge.set(count.value as f64);
            }
        }
    }
    let mut text = recorder.0.handle().render();
    if let Some(drivers) = DRIVERS.get() {
        text.push_str(&drivers.render());
    }
    text
}

/// Puts the prefix before every name.
struct Prefixed(PrometheusRecorder);

fn prefixed(key: &Key) -> Key {
    let name = format!("{PREFIX}{}", key.name());
    Key::from_parts(name, key.labels().cloned().collect::<Vec<_>>())
}

impl Recorder for Prefixed {
    fn describe_counter(&self, _key: KeyName, _unit: Option<Unit>, _text: SharedString) {}

    fn describe_gauge(&self, _key: KeyName, _unit: Option<Unit>, _text: SharedString) {}

    fn describe_histogram(&self, _key: KeyName, _unit: Option<Unit>, _text: SharedString) {}

    fn register_counter(&self, key: &Key, metadata: &Metadata<'_>) -> Counter {
        self.0.register_counter(&prefixed(key), metadata)
    }

    fn register_gauge(&self, key: &Key, metadata: &Metadata<'_>) -> Gauge {
        self.0.register_gauge(&prefixed(key), metadata)
    }

    fn register_histogram(&self, key: &Key, metadata: &Metadata<'_>) -> Histogram {
        self.0.register_histogram(&prefixed(key), metadata)
    }
}
