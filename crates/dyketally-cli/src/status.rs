//! `dyketally status`: asks nodes for their state.

use std::net::SocketAddr;
use std::time::Duration;

use dyketally_proxy::admin::{HomeStatus, NodeEntry, NodeStatus, TenantQueue};
use tabled::Tabled;

use crate::command_line::OutputForm;
use crate::failure::{Failure, UnansweredNode};
use crate::output::Output;

/// Time that a node may take to answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// Asks all nodes and prints the answers. Nodes that don't answer are told at the end.
pub(crate) async fn status(nodes: &[SocketAddr], output: &mut Output<'_>) -> Result<(), Failure> {
    let mut found = Vec::new();
    let mut unanswered = Vec::new();
    for address in nodes {
        match fetch(*address).await {
            Ok(status) => found.push(status),
            Err(error) => unanswered.push(UnansweredNode {
                address: *address,
                reason: format!("{:#}", eyre::Report::new(error)),
            }),
        }
    }
    match output.form {
        OutputForm::Json => output.json(&found)?,
        OutputForm::Table => print_tables(&found, output)?,
    }
    match unanswered.is_empty() {
        true => Ok(()),
        false => Err(Failure::NodesUnavailable(unanswered)),
    }
}

async fn fetch(address: SocketAddr) -> Result<NodeStatus, reqwest::Error> {
    let client = reqwest::Client::builder().timeout(PATIENCE).build()?;
    let url = format!("http://{address}/status");
    let response = client.get(url).send().await?;
    response.error_for_status()?.json().await
}

#[derive(Tabled)]
#[tabled(rename_all = "lowercase")]
struct NodeRow {
    node: String,
    state: &'static str,
    incarnation: u64,
    region: String,
    zone: String,
    revision: u64,
    members: usize,
    homes: usize,
    callers: String,
    #[tabled(rename = "in transaction")]
    in_transaction: u32,
}

#[derive(Tabled)]
#[tabled(rename_all = "lowercase")]
struct MemberRow {
    #[tabled(rename = "seen by")]
    seen_by: String,
    node: String,
    state: &'static str,
    incarnation: u64,
    region: String,
    zone: String,
    revision: u64,
}

#[derive(Tabled)]
#[tabled(rename_all = "lowercase")]
struct HomeRow {
    node: String,
    database: String,
    group: String,
    primary: String,
    term: String,
    log: String,
    connections: String,
    slots: String,
    queued: String,
}

fn print_tables(found: &[NodeStatus], output: &mut Output<'_>) -> Result<(), Failure> {
    if found.is_empty() {
        return Ok(());
    }
    let nodes: Vec<NodeRow> = found.iter().map(node_row).collect();
    let members = |status: &NodeStatus| -> Vec<MemberRow> {
        let row = |entry| member_row(status.node.as_str(), entry);
        status.members.iter().map(row).collect()
    };
    let homes = |status: &NodeStatus| -> Vec<HomeRow> {
        let row = |home| home_row(status.node.as_str(), home);
        status.homes.iter().map(row).collect()
    };
    let members: Vec<MemberRow> = found.iter().flat_map(members).collect();
    let homes: Vec<HomeRow> = found.iter().flat_map(homes).collect();
    output.table("nodes", &nodes)?;
    output.table("members", &members)?;
    output.table("homes", &homes)
}

fn node_row(status: &NodeStatus) -> NodeRow {
    let callers = &status.callers;
    NodeRow {
        node: status.node.to_string(),
        state: status.state.as_str(),
        incarnation: status.incarnation,
        region: status.locality.region.to_string(),
        zone: status.locality.zone.to_string(),
        revision: status.revision.0,
        members: status.members.len(),
        homes: status.homes.len(),
        callers: format!("{} of {}", callers.connected, callers.limit),
        in_transaction: callers.in_transaction,
    }
}

fn member_row(seen_by: &str, entry: &NodeEntry) -> MemberRow {
    MemberRow {
        seen_by: seen_by.to_owned(),
        node: entry.node.to_string(),
        state: entry.state.as_str(),
        incarnation: entry.incarnation,
        region: entry.locality.region.to_string(),
        zone: entry.locality.zone.to_string(),
        revision: entry.revision.0,
    }
}

fn home_row(node: &str, home: &HomeStatus) -> HomeRow {
    let unknown = || "unknown".to_owned();
    let queue = |queue: &TenantQueue| format!("{} {}", queue.tenant, queue.queued);
    let queued: Vec<String> = home.queued.iter().map(queue).collect();
    let primary = home.primary.as_ref();
    HomeRow {
        node: node.to_owned(),
        database: home.database.to_string(),
        group: home.group.to_string(),
        primary: primary.map_or_else(unknown, |primary| primary.database.to_string()),
        term: primary.map_or_else(unknown, |primary| primary.term.0.to_string()),
        log: home
            .log
            .map_or_else(unknown, |log| format!("{}:{}", log.term.0, log.offset)),
        connections: format!("{} of {}", home.connections, home.connection_limit),
        slots: format!("{} of {}", home.slots_busy, home.slots),
        queued: queued.join(", "),
    }
}
