//! Results of a scale run: JSON, and a table for people.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tabled::{Table, Tabled};

/// Median and worst of a number of values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// How many values.
    pub count: usize,
    /// The median.
    pub median: f64,
    /// The 99th percentile.
    pub percentile_99: f64,
    /// The greatest.
    pub worst: f64,
}

impl Spread {
    /// The spread of `values`.
    pub fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let Some(last) = values.len().checked_sub(1) else {
            return Self::default();
        };
        Self {
            count: values.len(),
            median: values[last / 2],
            percentile_99: values[last * 99 / 100],
            worst: values[last],
        }
    }
}

/// How long something took, in seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Timing {
    /// What.
    pub what: String,
    /// Seconds, over events and observers.
    pub seconds: Spread,
    /// Pairs of event and observer that had not come about when the phase ended.
    pub missing: usize,
}

impl Timing {
    /// The timing of `times`, where `None` is a time that is missing.
    pub fn of(what: &str, times: &[Option<Duration>]) -> Self {
        let known = times.iter().flatten().map(Duration::as_secs_f64);
        Self {
            what: what.to_owned(),
            seconds: Spread::of(known.collect()),
            missing: times.iter().filter(|time| time.is_none()).count(),
        }
    }
}

/// One phase of the run. Rates are of the nodes that ran throughout the phase.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Phase {
    /// Its name.
    pub name: String,
    /// How long it took, in seconds.
    pub seconds: f64,
    /// Datagram bytes received each second without headers, over nodes.
    pub bytes_in_per_second: Spread,
    /// Datagram bytes sent each second without headers, over nodes.
    pub bytes_out_per_second: Spread,
    /// Datagrams sent and received each second, over nodes.
    pub datagrams_per_second: Spread,
    /// Bytes received and sent each second with IP and UDP headers, over nodes.
    pub total_bytes_per_second: Spread,
    /// The same, in the worst second of each node.
    pub worst_second_bytes: Spread,
    /// Processor time of the process over time and nodes, in percent of a core.
    pub core_percent_per_node: f64,
    /// Running nodes that some node suspected.
    pub false_suspicions: usize,
    /// Running nodes that some node held dead.
    pub false_deaths: usize,
    /// Pauses that nodes noticed: signs that the machine was too busy.
    pub pauses: u64,
    /// Requests to the key-value service each second, over all nodes.
    pub service_requests_per_second: f64,
    /// What was timed.
    pub timings: Vec<Timing>,
}

/// How much of the placement a departure moved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Moved {
    /// Databases.
    pub databases: usize,
    /// Databases whose home was the node that departed.
    pub of_departed: usize,
    /// Other databases whose home changed.
    pub needless: usize,
    /// Time to compute all homes once at one node, in milliseconds.
    pub milliseconds_for_all: f64,
}

/// A whole run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// Hollow nodes.
    pub nodes: usize,
    /// Databases in the configuration.
    pub databases: usize,
    /// Processor cores of the machine.
    pub cores: usize,
    /// Growth of resident memory over nodes, in bytes, before the configuration is there.
    pub bytes_per_node_without_configuration: f64,
    /// Growth of resident memory over nodes, in bytes, at the end of the run.
    pub bytes_per_node: f64,
    /// Placement when a node departs.
    pub moved: Moved,
    /// The phases.
    pub phases: Vec<Phase>,
}

#[derive(Tabled)]
struct PhaseRow {
    phase: String,
    seconds: String,
    #[tabled(rename = "B/s median/worst")]
    total: String,
    #[tabled(rename = "worst second B median/worst")]
    worst_second: String,
    #[tabled(rename = "core %/node")]
    core: String,
    #[tabled(rename = "false suspicions/deaths")]
    mistaken: String,
    pauses: u64,
    #[tabled(rename = "service req/s")]
    service: String,
}

#[derive(Tabled)]
struct TimingRow {
    phase: String,
    what: String,
    #[tabled(rename = "median s")]
    median: String,
    #[tabled(rename = "p99 s")]
    percentile_99: String,
    #[tabled(rename = "worst s")]
    worst: String,
    observations: usize,
    missing: usize,
}

impl RunResult {
    /// The run as tables.
    pub fn to_tables(&self) -> String {
        let megabyte = 1e6;
        format!(
            "{} nodes, {} databases: {:.2} MB a node before the configuration, {:.2} MB at the end\n\
             one departure moved {} of {} databases ({} needlessly); all homes in {:.1} ms\n{}\n{}",
            self.nodes,
            self.databases,
            self.bytes_per_node_without_configuration / megabyte,
            self.bytes_per_node / megabyte,
            self.moved.of_departed,
            self.moved.databases,
            self.moved.needless,
            self.moved.milliseconds_for_all,
            Table::new(self.phases.iter().map(phase_row)),
            Table::new(self.phases.iter().flat_map(timing_rows)),
        )
    }
}

fn phase_row(phase: &Phase) -> PhaseRow {
    let pair = |spread: Spread| format!("{:.0} / {:.0}", spread.median, spread.worst);
    PhaseRow {
        phase: phase.name.clone(),
        seconds: format!("{:.1}", phase.seconds),
        total: pair(phase.total_bytes_per_second),
        worst_second: pair(phase.worst_second_bytes),
        core: format!("{:.3}", phase.core_percent_per_node),
        mistaken: format!("{} / {}", phase.false_suspicions, phase.false_deaths),
        pauses: phase.pauses,
        service: format!("{:.1}", phase.service_requests_per_second),
    }
}

fn timing_rows(phase: &Phase) -> impl Iterator<Item = TimingRow> + '_ {
    phase.timings.iter().map(|timing| TimingRow {
        phase: phase.name.clone(),
        what: timing.what.clone(),
        median: format!("{:.2}", timing.seconds.median),
        percentile_99: format!("{:.2}", timing.seconds.percentile_99),
        worst: format!("{:.2}", timing.seconds.worst),
        observations: timing.seconds.count,
        missing: timing.missing,
    })
}
