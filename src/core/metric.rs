//! Counted values, read by the shell when metrics are asked for.

/// One counter or gauge.
#[derive(Clone, Debug, PartialEq)]
pub struct Metric {
    /// Its name, in Prometheus form.
    pub name: &'static str,
    /// A label and its value, if the name alone doesn't tell it apart.
    pub label: Option<(&'static str, String)>,
    /// Whether it only grows.
    pub kind: MetricKind,
    /// Its value.
    pub value: u64,
}

/// How a counted value behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// It only grows.
    Counter,
    /// It goes up and down.
    Gauge,
}

impl Metric {
    /// A value that only grows.
    pub fn counter(name: &'static str, value: u64) -> Self {
        Self {
            name,
            label: None,
            kind: MetricKind::Counter,
            value,
        }
    }

    /// A value that goes up and down.
    pub fn gauge(name: &'static str, value: u64) -> Self {
        Self {
            name,
            label: None,
            kind: MetricKind::Gauge,
            value,
        }
    }

    /// The same value under a label.
    pub fn with_label<V>(self, label: &'static str, value: V) -> Self
    where
        V: ToString,
    {
        Self {
            label: Some((label, value.to_string())),
            ..self
        }
    }
}
