//! Metrics of the process in the text format of Prometheus: what was counted and timed since its
//! start, and how things stand as they are asked for.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use dyketally::identifiers::TenantName;
use prometheus::{
    Encoder, Gauge, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use serde_json::Value;

use crate::gateway::Gateway;
use crate::statement::request::Served;

/// Upper bounds of the histograms' buckets, in seconds: from a statement in one zone to the longest
/// that callers wait.
const BUCKETS: [f64; 11] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0,
];
/// Tenants that have a label of their own; the rest are counted together.
const TENANTS_AT_MOST: usize = 100;
const OTHER_TENANTS: &str = "other";
const NO_TENANT: &str = "none";

/// Stages of a statement's way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waiting for a permit of the tenant's quota.
    Permit,
    /// Waiting for a connection or a turn.
    Queue,
    /// Opening a connection.
    Connection,
    /// At the database.
    Database,
    /// At a home and back, with what happens there.
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

/// How a pool met the wish for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handed {
    /// One was idle.
    Idle,
    /// One was opened, and there was room for it.
    Opened,
    /// One was opened after another user's was closed.
    Replaced,
}

impl Handed {
    fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Opened => "opened",
            Self::Replaced => "replaced",
        }
    }
}

/// What is counted and timed.
pub struct Measures {
    registry: Registry,
    statements: IntCounterVec,
    statement_seconds: HistogramVec,
    stage_seconds: HistogramVec,
    connections: IntCounterVec,
    over_quota: IntCounterVec,
    tenants: RefCell<BTreeSet<TenantName>>,
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
            tenants: RefCell::default(),
            registry,
        }
    }
}

impl Measures {
    /// Counts a statement that was answered.
    pub fn answered(&self, route: &str, served: &Served, elapsed: Duration) {
        let outcome = match &served.end {
            Ok(_) => "served".to_owned(),
            Err(failure) => format!("{:?}", failure.kind),
        };
        self.statements.with_label_values(&[route, &outcome]).inc();
        let seconds = self.statement_seconds.with_label_values(&[route]);
        seconds.observe(elapsed.as_secs_f64());
    }

    /// Takes in how long a statement spent in a stage.
    pub fn spent(&self, stage: Stage, elapsed: Duration) {
        let seconds = self.stage_seconds.with_label_values(&[stage.name()]);
        seconds.observe(elapsed.as_secs_f64());
    }

    /// Counts a connection that a pool handed out.
    pub fn handed_out(&self, group: &str, how: Handed) {
        self.connections
            .with_label_values(&[group, how.name()])
            .inc();
    }

    /// Counts an operation that was refused for its tenant's quota.
    pub fn refused_over_quota(&self, tenant: &TenantName) {
        let mut tenants = self.tenants.borrow_mut();
        if tenants.len() < TENANTS_AT_MOST {
            tenants.insert(tenant.clone());
        }
        let label = match tenants.contains(tenant) {
            true => tenant.as_str(),
            false => OTHER_TENANTS,
        };
        self.over_quota.with_label_values(&[label]).inc();
    }
}

/// The label of a statement's tenant in logs.
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

fn registered<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    metric: C,
) -> C {
    registry
        .register(Box::new(metric.clone()))
        .expect("each name is registered once");
    metric
}

impl Gateway {
    /// All metrics, as text.
    pub fn metrics(&self) -> String {
        let now = Registry::new();
        self.collect_counters(&now);
        self.collect_state(&now);
        let mut families = self.measures.registry.gather();
        families.extend(now.gather());
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            return format!("# the metrics can't be written: {error}\n");
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// The counters of the log under their names there.
    fn collect_counters(&self, registry: &Registry) {
        let Ok(Value::Object(counters)) = serde_json::to_value(&self.counters) else {
            return;
        };
        for (name, value) in counters {
            match value {
                Value::Number(count) => {
                    let name = format!("dyketally_{name}_total");
                    gauge(registry, &name, "See the log's counters.", count.as_f64());
                }
                Value::Object(kinds) => {
                    let name = format!("dyketally_{name}_total");
                    let vec = gauges(registry, &name, "See the log's counters.", &["kind"]);
                    for (kind, count) in kinds {
                        let count = count.as_i64().unwrap_or_default();
                        vec.with_label_values(&[&kind]).set(count);
                    }
                }
                _ => {}
            }
        }
    }

    fn collect_state(&self, registry: &Registry) {
        let set = |name: &str, help: &str, value: usize| {
            gauge(registry, name, help, Some(value as f64));
        };
        set("dyketally_sessions", "Open sessions.", self.sessions.open());
        set(
            "dyketally_nodes",
            "Nodes that run.",
            self.membership.node_count(),
        );
        let has_duty = usize::from(self.membership.last_duty().is_some());
        set(
            "dyketally_duty",
            "1 while this node replaces primaries.",
            has_duty,
        );
        let in_touch = usize::from(self.is_in_touch());
        set(
            "dyketally_in_touch",
            "1 while this node hears of successions.",
            in_touch,
        );
        let routes = self.routes();
        let revision = routes.revision.0 as f64;
        gauge(
            registry,
            "dyketally_configuration_revision",
            "Revision of the configuration in force.",
            Some(revision),
        );
        if let Some(age) = self.configuration_age() {
            gauge(
                registry,
                "dyketally_configuration_age_seconds",
                "Time since the configuration was confirmed to be the newest one.",
                Some(age.as_secs_f64()),
            );
        }
        let lost_for = self.feed.watches_lost_for();
        gauge(
            registry,
            "dyketally_watch_lost_seconds",
            "Time for which this node's own watch of the store has been lost; 0 while it stands.",
            lost_for.map(|lost_for| lost_for.as_secs_f64()),
        );
        let name = "dyketally_sent_bytes_to_node_total";
        let sent = gauges(registry, name, "Bytes sent to another node.", &["node"]);
        for (node, bytes) in self.traffic.by_node() {
            let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
            sent.with_label_values(&[node.as_str()]).set(bytes);
        }
        let lag = self.replica_lag.get().value(self.now());
        gauge(
            registry,
            "dyketally_replica_lag_seconds",
            "Time that commits are expected to take to replicas.",
            Some(lag.as_secs_f64()),
        );
        self.collect_places(registry);
        self.collect_databases(registry);
        self.collect_loads(registry);
    }

    /// Databases whose group has a slow start.
    fn collect_loads(&self, registry: &Registry) {
        let loads = gauges(
            registry,
            "dyketally_slow_start",
            "Whether a database may be cold, what this node may send to it then, and what became of it.",
            &["database", "what"],
        );
        for (name, loading) in self.loads.all() {
            let Some(status) = loading.status() else {
                continue;
            };
            let figures = [
                ("cold", i64::from(status.cold)),
                ("holder", i64::from(status.holder)),
                ("interval_ms", status.interval.as_millis() as i64),
                ("sent", status.sent as i64),
                ("refused", status.refused as i64),
            ];
            for (what, value) in figures {
                loads.with_label_values(&[name.as_str(), what]).set(value);
            }
        }
    }

    /// Where operators allow statements to run.
    fn collect_places(&self, registry: &Registry) {
        let evacuated = gauges(
            registry,
            "dyketally_evacuated",
            "1 for each zone whose databases get nothing more.",
            &["zone"],
        );
        for zone in self.evacuations.borrow().zones() {
            evacuated.with_label_values(&[zone.as_str()]).set(1);
        }
        let serving = gauges(
            registry,
            "dyketally_serving_region",
            "1 for each region that may serve a route which not all regions serve.",
            &["route", "region"],
        );
        let routes = self.routes();
        for route in routes.routes.values() {
            for region in route.regions.named() {
                let labels = [route.name.as_str(), region.as_str()];
                serving.with_label_values(&labels).set(1);
            }
        }
        let tenants = routes.tenants.iter().flat_map(|tenants| tenants.tenants());
        let bound = tenants.filter(|tenant| !tenant.regions.is_anywhere());
        gauge(
            registry,
            "dyketally_bound_tenants",
            "Tenants that not all regions serve.",
            Some(bound.count() as f64),
        );
    }

    fn collect_databases(&self, registry: &Registry) {
        let pools = gauges(
            registry,
            "dyketally_pool",
            "Connections of this node to a database, their limit, and who waits.",
            &["database", "what"],
        );
        let leads = gauges(
            registry,
            "dyketally_leads",
            "1 for the database that is taken for its group's primary.",
            &["group", "database"],
        );
        let directory = self.directory.borrow();
        for (name, state) in self.databases.borrow().iter() {
            let status = state.pool.status();
            let figures = [
                ("open", status.open),
                ("idle", status.idle),
                ("pinned", status.pinned),
                ("limit", status.limit),
                ("waiting", status.waiting),
            ];
            for (what, value) in figures {
                pools
                    .with_label_values(&[name.as_str(), what])
                    .set(value.into());
            }
            if let Some(member) = directory.member(name) {
                let group = &member.announcement.group;
                let primary = directory.primary(group);
                let is_primary = primary.is_some_and(|primary| primary.name() == name);
                leads
                    .with_label_values(&[group.as_str(), name.as_str()])
                    .set(is_primary.into());
            }
        }
    }
}

fn gauge(registry: &Registry, name: &str, help: &str, value: Option<f64>) {
    let gauge = Gauge::new(name, help).expect("the name is valid");
    gauge.set(value.unwrap_or_default());
    registered(registry, gauge);
}

fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let gauges =
        IntGaugeVec::new(Opts::new(name, help), labels).expect("the name and the labels are valid");
    registered(registry, gauges)
}
