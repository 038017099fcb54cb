//! Writes the metrics as text: counters and timings since the start of the process, and gauges of its state at the
//! time of the request.

use dyketally::budget::Account;
use prometheus::{Encoder, Gauge, IntGaugeVec, Opts, Registry, TextEncoder};
use serde_json::Value;

use crate::gateway::Gateway;
use crate::measures::registered;

/// All metrics of a process, as text.
pub(super) fn metrics(gateway: &Gateway) -> String {
    Exposition { gateway }.text()
}

/// Collects the metrics of one process.
struct Exposition<'a> {
    gateway: &'a Gateway,
}

impl Exposition<'_> {
    fn text(&self) -> String {
        let state_registry = Registry::new();
        self.collect_counters(&state_registry);
        self.collect_state(&state_registry);
        let mut families = self.gateway.cx.measures.gather();
        families.extend(state_registry.gather());
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&families, &mut text) {
            return format!("# the metrics can't be encoded: {error}\n");
        }
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Collects the log's counters, under `dyketally_<name in the log>_total`.
    fn collect_counters(&self, registry: &Registry) {
        let Ok(Value::Object(counters)) = serde_json::to_value(&self.gateway.cx.counters) else {
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

    /// Collects gauges of the current state.
    fn collect_state(&self, registry: &Registry) {
        let set = |name: &str, help: &str, value: usize| {
            gauge(registry, name, help, Some(value as f64));
        };
        set(
            "dyketally_sessions",
            "Open sessions.",
            self.gateway.sessions.open_count(),
        );
        let held = gauges(
            registry,
            "dyketally_caller_bytes",
            "Bytes reserved for callers.",
            &["account"],
        );
        for account in Account::ALL {
            let bytes = self.gateway.cx.memory.held(account);
            held.with_label_values(&[account.name()]).set(bytes as i64);
        }
        set(
            "dyketally_nodes",
            "Nodes that run.",
            self.gateway.fleet.membership.node_count(),
        );
        let has_duty = usize::from(self.gateway.fleet.coordinator.last_term().is_some());
        set(
            "dyketally_duty",
            "1 while this node replaces primaries.",
            has_duty,
        );
        let in_touch = usize::from(self.gateway.cx.is_available());
        set(
            "dyketally_in_touch",
            "1 while this node hears of successions.",
            in_touch,
        );
        let routes = self.gateway.cx.routes();
        let revision = routes.revision.0 as f64;
        gauge(
            registry,
            "dyketally_configuration_revision",
            "Revision of the configuration in force.",
            Some(revision),
        );
        if let Some(age) = self.gateway.cx.configuration_age() {
            gauge(
                registry,
                "dyketally_configuration_age_seconds",
                "Time since the configuration was confirmed to be the newest one.",
                Some(age.as_secs_f64()),
            );
        }
        let lost_for = self.gateway.feed.watches_lost_for();
        gauge(
            registry,
            "dyketally_watch_lost_seconds",
            "Time for which this node's own watch of the store has been lost; 0 while it stands.",
            lost_for.map(|lost_for| lost_for.as_secs_f64()),
        );
        let name = "dyketally_sent_bytes_to_node_total";
        let sent = gauges(registry, name, "Bytes sent to another node.", &["node"]);
        for (node, bytes) in self.gateway.fleet.traffic.by_node() {
            let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
            sent.with_label_values(&[node.as_str()]).set(bytes);
        }
        let lag = self
            .gateway
            .databases
            .replica_lag
            .get()
            .value(self.gateway.cx.now());
        gauge(
            registry,
            "dyketally_replica_lag_seconds",
            "Time that commits are expected to take to replicas.",
            Some(lag.as_secs_f64()),
        );
        self.collect_places(registry);
        self.collect_databases(registry);
        self.collect_slow_starts(registry);
    }

    /// Collects the slow start of each database whose group has one.
    fn collect_slow_starts(&self, registry: &Registry) {
        let loads = gauges(
            registry,
            "dyketally_slow_start",
            "Whether a database may be cold, what this node may send to it then, and what became of it.",
            &["database", "what"],
        );
        for (name, pacer) in self.gateway.databases.pacers() {
            let Some(status) = pacer.status() else {
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

    /// Collects where operators allow statements to run: evacuated zones and restricted regions.
    fn collect_places(&self, registry: &Registry) {
        let evacuated = gauges(
            registry,
            "dyketally_evacuated",
            "1 for each zone whose databases get nothing more.",
            &["zone"],
        );
        for zone in self.gateway.databases.evacuated_zones() {
            evacuated.with_label_values(&[zone.as_str()]).set(1);
        }
        let serving = gauges(
            registry,
            "dyketally_serving_region",
            "1 for each region that may serve a route which not all regions serve.",
            &["route", "region"],
        );
        let routes = self.gateway.cx.routes();
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

    /// Collects the connection pool of each database, and whether it is its group's primary.
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
        let directory = self.gateway.databases.directory.borrow();
        for (name, state) in self.gateway.databases.states.borrow().iter() {
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
