//! Metrics of the decision logic, which the shell reads on request.

/// Value of one counter or gauge.
#[derive(Clone, Debug, PartialEq)]
pub struct Metric {
    /// Name, in Prometheus form.
    pub name: &'static str,
    /// Name and value of the label, if the metric has one.
    pub label: Option<(&'static str, String)>,
    /// Kind of the metric.
    pub kind: MetricKind,
    /// Current value.
    pub value: u64,
}

/// Kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Value that only increases.
    Counter,
    /// Value that may increase and decrease.
    Gauge,
}

impl Metric {
    /// Creates a counter.
    pub fn counter(name: &'static str, value: u64) -> Self {
        Self {
            name,
            label: None,
            kind: MetricKind::Counter,
            value,
        }
    }

    /// Creates a gauge.
    pub fn gauge(name: &'static str, value: u64) -> Self {
        Self {
            name,
            label: None,
            kind: MetricKind::Gauge,
            value,
        }
    }

    /// Sets the label.
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
