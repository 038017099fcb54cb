//! Gauges that follow from a node's status.

use std::collections::BTreeMap;

use dyketally::membership::MemberState;

use super::metrics::{Label, Metrics};
use super::status::{HomeStatus, NodeState, NodeStatus};

/// Adds the gauges of `status`.
pub(super) fn add_gauges(metrics: &mut Metrics, status: &NodeStatus) {
    let ready = u64::from(status.state == NodeState::Ready);
    metrics.gauge("ready", "1 while the node takes new callers.", &[], ready);
    let help = "Revision of the configuration in force.";
    metrics.gauge("configuration_revision", help, &[], status.revision.0);
    let callers = &status.callers;
    let help = "Callers connected.";
    metrics.gauge("callers", help, &[], callers.connected.into());
    let help = "Callers with an open transaction.";
    metrics.gauge(
        "callers_in_transaction",
        help,
        &[],
        callers.in_transaction.into(),
    );
    add_members(metrics, status);
    for home in &status.homes {
        add_home(metrics, home);
    }
}

fn add_members(metrics: &mut Metrics, status: &NodeStatus) {
    let mut counts: BTreeMap<MemberState, u64> = BTreeMap::new();
    for entry in &status.members {
        *counts.entry(entry.state).or_default() += 1;
    }
    for (state, count) in counts {
        let labels = [Label::new("state", state.as_str())];
        metrics.gauge("members", "Nodes known, by state.", &labels, count);
    }
}

fn add_home(metrics: &mut Metrics, home: &HomeStatus) {
    let database = Label::new("database", home.database.as_str());
    let labels = [database];
    let help = "Open connections to the database.";
    metrics.gauge("home_connections", help, &labels, home.connections.into());
    let help = "Connections that the database grants.";
    metrics.gauge(
        "home_connection_limit",
        help,
        &labels,
        home.connection_limit.into(),
    );
    let help = "Statements that run at the database.";
    metrics.gauge("home_slots_busy", help, &labels, home.slots_busy.into());
    let help = "Statements that may run at the database at one time.";
    metrics.gauge("home_slots", help, &labels, home.slots.into());
    if let Some(primary) = &home.primary {
        let help = "Term of the group's primary, as the home knows it.";
        metrics.gauge("home_term", help, &labels, primary.term.0);
    }
    for queue in &home.queued {
        let labels = [database, Label::new("tenant", queue.tenant.as_str())];
        let help = "Statements that wait at the home.";
        metrics.gauge("home_queued", help, &labels, queue.queued.into());
    }
}
