//! Counters and gauges in the Prometheus text format, read at the time they are asked for.

use std::collections::BTreeMap;

use prometheus::TextEncoder;
use prometheus::proto::{Counter, Gauge, LabelPair, Metric, MetricFamily, MetricType};
use serde::Serialize;

/// Every name begins with this.
const NAMESPACE: &str = "dyketally";

/// What tells samples of one metric apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Label<'a> {
    /// The label's name.
    pub name: &'static str,
    /// Its value.
    pub value: &'a str,
}

impl<'a> Label<'a> {
    /// A label.
    pub fn new(name: &'static str, value: &'a str) -> Self {
        Self { name, value }
    }
}

/// Collects samples for one answer of `/metrics`.
#[derive(Debug, Default)]
pub struct Metrics(BTreeMap<String, MetricFamily>);

impl Metrics {
    /// Adds a sample of the counter `dyketally_<name>_total`.
    pub fn counter(&mut self, name: &str, help: &str, labels: &[Label<'_>], value: u64) {
        let mut counter = Counter::default();
        counter.set_value(value as f64);
        let mut metric = Metric::from_label(pairs(labels));
        metric.set_counter(counter);
        let name = format!("{NAMESPACE}_{name}_total");
        self.add(name, help, MetricType::COUNTER, metric);
    }

    /// Adds a sample of the gauge `dyketally_<name>`.
    pub fn gauge(&mut self, name: &str, help: &str, labels: &[Label<'_>], value: u64) {
        let mut gauge = Gauge::default();
        gauge.set_value(value as f64);
        let mut metric = Metric::from_label(pairs(labels));
        metric.set_gauge(gauge);
        let name = format!("{NAMESPACE}_{name}");
        self.add(name, help, MetricType::GAUGE, metric);
    }

    /// Adds a counter for each whole number among the fields of `counts`, named after the field.
    pub fn counters_of(&mut self, prefix: &str, labels: &[Label<'_>], counts: &impl Serialize) {
        let fields = match serde_json::to_value(counts) {
            Ok(serde_json::Value::Object(fields)) => fields,
            Ok(_) => return log::error!("{prefix}: counters are no struct and are left out"),
            Err(error) => return log::error!("{prefix}: counters are left out: {error}"),
        };
        for (field, value) in fields {
            if let Some(value) = value.as_u64() {
                let help = format!("Counter `{field}` of {prefix}.");
                self.counter(&format!("{prefix}_{field}"), &help, labels, value);
            }
        }
    }

    /// All samples in the text format, sorted by name.
    pub fn to_text(&self) -> Result<String, prometheus::Error> {
        let families: Vec<MetricFamily> = self.0.values().cloned().collect();
        TextEncoder::new().encode_to_string(&families)
    }

    fn add(&mut self, name: String, help: &str, kind: MetricType, metric: Metric) {
        let family = self.0.entry(name.clone()).or_insert_with(|| {
            let mut family = MetricFamily::default();
            family.set_name(name);
            family.set_help(help.to_owned());
            family.set_field_type(kind);
            family
        });
        family.mut_metric().push(metric);
    }
}

fn pairs(labels: &[Label<'_>]) -> Vec<LabelPair> {
    let pair = |label: &Label<'_>| {
        let mut pair = LabelPair::default();
        pair.set_name(label.name.to_owned());
        pair.set_value(label.value.to_owned());
        pair
    };
    labels.iter().map(pair).collect()
}
