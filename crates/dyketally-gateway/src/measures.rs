//! Prometheus metrics that the process counts and times since its start: statements, their stages,
//! connections and quotas.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use dyketally::identifiers::TenantName;
use dyketally::statement::FailureKind;
use prometheus::proto::MetricFamily;
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry};

/// Upper bounds of the histograms' buckets, in seconds: from the time of a statement within one zone to the
/// longest time that callers wait.
const BUCKETS: [f64; 11] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];
/// Maximum number of tenants that get a label of their own; further tenants share `OTHER_TENANTS`.
const MAX_TENANT_LABELS: usize = 100;
/// Label of all tenants beyond `MAX_TENANT_LABELS`.
const OTHER_TENANTS: &str = "other";
/// Label of statements that belong to no tenant.
const NO_TENANT: &str = "none";

/// The stages in which a statement spends its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waiting for a permit of the tenant's quota.
    Permit,
    /// Waiting in a pool's queue for a connection or a slot.
    Queue,
    /// Opening a connection to a database.
    Connection,
    /// Running at the database, including the network round trip.
    Database,
    /// A whole call to a home, including the stages at the home.
    Link,
}

impl Stage {
    fn name(self) -> &'static str {
        match self {
            Self::Permit => "permit",
            Self::Queue => "queue",
            Self::Connection => "connection",
            Self::Database => "database",
            Self::Link => "link",
        }
    }
}

/// How a pool provided a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquired {
    /// An idle connection was used.
    Idle,
    /// A connection was opened within the pool's limit.
    Opened,
    /// A connection was opened after an idle connection of another user was closed for it.
    Replaced,
}

impl Acquired {
    fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Opened => "opened",
            Self::Replaced => "replaced",
        }
    }
}

/// The metrics of the process.
pub struct Measures {
    registry: Registry,
    statements: IntCounterVec,
    statement_seconds: HistogramVec,
    stage_seconds: HistogramVec,
    connections: IntCounterVec,
    over_quota: IntCounterVec,
    /// Tenants that have a label of their own.
    labelled_tenants: RefCell<BTreeSet<TenantName>>,
}

impl Default for Measures {
    fn default() -> Self {
        let registry = Registry::new();
        Self {
            statements: counter(
                &registry,
                "dyketally_statements_total",
                "Statements answered.",
                &["route", "outcome"],
            ),
            statement_seconds: histogram(
                &registry,
                "dyketally_statement_seconds",
                "Time from a statement's arrival to its answer.",
                "route",
            ),
            stage_seconds: histogram(
                &registry,
                "dyketally_stage_seconds",
                "Time that statements spent in a stage.",
                "stage",
            ),
            connections: counter(
                &registry,
                "dyketally_connections_total",
                "Connections handed out by pools.",
                &["group", "how"],
            ),
            over_quota: counter(
                &registry,
                "dyketally_over_quota_total",
                "Operations refused since their tenant has used up its quota.",
                &["tenant"],
            ),
            labelled_tenants: RefCell::default(),
            registry,
        }
    }
}

impl Measures {
    /// The current values of all metrics.
    pub fn gather(&self) -> Vec<MetricFamily> {
        self.registry.gather()
    }

    /// Records a statement that was answered: its outcome, `failed` if it failed, and the time since its
    /// arrival.
    pub fn count_statement(&self, route: &str, failed: Option<FailureKind>, elapsed: Duration) {
        let outcome = failed.map_or_else(|| "served".to_owned(), |kind| format!("{kind:?}"));
        self.statements.with_label_values(&[route, &outcome]).inc();
        let seconds = self.statement_seconds.with_label_values(&[route]);
        seconds.observe(elapsed.as_secs_f64());
    }

    /// Records how long a statement spent in a stage.
    pub fn record_stage(&self, stage: Stage, elapsed: Duration) {
        let seconds = self.stage_seconds.with_label_values(&[stage.name()]);
        seconds.observe(elapsed.as_secs_f64());
    }

    /// Counts a connection that was checked out of a pool.
    pub fn count_acquired(&self, group: &str, how: Acquired) {
        self.connections
            .with_label_values(&[group, how.name()])
            .inc();
    }

    /// Counts an operation that was refused since its tenant has used up its quota.
    pub fn refused_over_quota(&self, tenant: &TenantName) {
        let mut tenants = self.labelled_tenants.borrow_mut();
        if tenants.len() < MAX_TENANT_LABELS {
            tenants.insert(tenant.clone());
        }
        let label = match tenants.contains(tenant) {
            true => tenant.as_str(),
            false => OTHER_TENANTS,
        };
        self.over_quota.with_label_values(&[label]).inc();
    }
}

/// The label of a statement's tenant in the log; `none` without a tenant.
pub fn tenant_label(tenant: Option<&TenantName>) -> &str {
    tenant.map_or(NO_TENANT, TenantName::as_str)
}

fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counter = IntCounterVec::new(Opts::new(name, help), labels)
        .expect("the name and the labels are valid");
    registered(registry, counter)
}

fn histogram(registry: &Registry, name: &str, help: &str, label: &str) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
    let histogram = HistogramVec::new(options, &[label]).expect("the name and the label are valid");
    registered(registry, histogram)
}

/// Registers a metric and returns it. Panics if the registry has a metric of that name.
pub fn registered<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    metric: C,
) -> C {
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is registered once");
    metric
}
