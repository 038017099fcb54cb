//! What a node tells operators about itself.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use dyketally::identifiers::{Locality, NodeName};
use dyketally::membership::Member;
use dyketally::policy::PolicySet;
use tokio::sync::watch;

use crate::admin::{
    CallerStatus, HomeStatus, Label, Metrics, NodeEntry, NodeState, NodeStatus, PrimaryStatus,
    Readiness, StatusSource, TenantQueue,
};
use crate::edge::Edge;
use crate::home::{HomeHandle, HomeStatus as RunningHome};
use crate::homes::Homes;
use crate::peers::{PeersHandle, View};

/// The status of one running node.
#[derive(Debug)]
pub(super) struct NodeReport {
    pub node: NodeName,
    pub locality: Locality,
    pub policies: watch::Receiver<Arc<PolicySet>>,
    pub edge: Edge,
    pub homes: Arc<Homes>,
    pub peers: PeersHandle,
}

impl NodeReport {
    fn state(&self) -> NodeState {
        if self.edge.leaving.turning_away.is_cancelled() {
            NodeState::Leaving
        } else if self.policies.borrow().tenants.is_empty() {
            NodeState::Starting
        } else {
            NodeState::Ready
        }
    }

    fn callers(&self) -> CallerStatus {
        let counters = &self.edge.counters;
        let count = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed) as u32;
        CallerStatus {
            connected: count(&counters.callers),
            limit: self.edge.limits.callers_at_most as u32,
            in_transaction: count(&counters.in_transaction),
        }
    }

    /// All members; this node tells its own revision, which no other node has told it.
    fn entries(&self, view: &View) -> Vec<NodeEntry> {
        let mut entries: Vec<NodeEntry> = view.members.iter().map(node_entry).collect();
        let own = entries.iter_mut().find(|entry| entry.node == self.node);
        if let Some(own) = own {
            own.revision = self.policies.borrow().revision;
        }
        entries
    }

    fn home(&self, handle: &HomeHandle) -> Option<HomeStatus> {
        let home = handle.status();
        let policies = self.policies.borrow().clone();
        let (group, member) = policies.database(&home.database)?;
        Some(HomeStatus {
            group: group.name.clone(),
            primary: primary_of(&home),
            log: home.own.map(|status| status.log),
            connections: open_connections(&home),
            connection_limit: member.connection_limit,
            slots_busy: home.queue.running as u32,
            slots: member.slots,
            queued: queues_of(&home),
            database: home.database,
        })
    }
}

fn primary_of(home: &RunningHome) -> Option<PrimaryStatus> {
    let database = home.primary.clone()?;
    let term = home.highest_term;
    Some(PrimaryStatus { database, term })
}

fn open_connections(home: &RunningHome) -> u32 {
    let connections = &home.connections;
    connections.idle + connections.busy + connections.pinned
}

fn queues_of(home: &RunningHome) -> Vec<TenantQueue> {
    let tenants = home.queue.tenants.iter();
    let waiting = tenants.filter(|(_, status)| status.queued > 0);
    waiting
        .map(|(tenant, status)| TenantQueue {
            tenant: tenant.clone(),
            queued: status.queued as u32,
        })
        .collect()
}

fn node_entry(member: &Member) -> NodeEntry {
    NodeEntry {
        node: member.node.clone(),
        state: member.state,
        incarnation: incarnation_of(member),
        locality: member.locality.clone(),
        revision: member.revision,
    }
}

#[async_trait]
impl StatusSource for NodeReport {
    fn readiness(&self) -> Readiness {
        let reason = match self.state() {
            NodeState::Ready => return Readiness::Ready,
            NodeState::Starting => {
                "no tenant is configured yet; publish templates and tenants with `dyketally`, or check that the platform or another node can be reached"
            }
            NodeState::Leaving => "the node is leaving; connect to another one",
        };
        Readiness::NotReady {
            reason: reason.to_owned(),
        }
    }

    async fn status(&self) -> NodeStatus {
        let view = self.peers.view();
        let own = view.member(&self.node);
        NodeStatus {
            node: self.node.clone(),
            incarnation: own.map_or(self.edge.incarnation, incarnation_of),
            state: self.state(),
            locality: self.locality.clone(),
            revision: self.policies.borrow().revision,
            members: self.entries(&view),
            homes: self
                .homes
                .handles()
                .iter()
                .filter_map(|home| self.home(home))
                .collect(),
            callers: self.callers(),
        }
    }

    fn add_counters(&self, metrics: &mut Metrics) {
        metrics.counters_of("edge", &[], &self.edge.counters.read());
        let peers = self.peers.counters();
        let help = "Bytes of membership datagrams sent.";
        metrics.counter("membership_bytes_sent", help, &[], peers.bytes_sent);
        let help = "Bytes of membership datagrams received.";
        metrics.counter("membership_bytes_received", help, &[], peers.bytes_received);
        let help = "Datagrams that were not messages of membership.";
        metrics.counter("membership_garbage", help, &[], peers.membership.garbage);
        for home in self.homes.handles() {
            let database = home.status().database;
            let labels = [Label::new("database", database.as_str())];
            for counter in home.counters().values() {
                let name = format!("home_{}", counter.name);
                metrics.counter(
                    &name,
                    "Events at the home, by name.",
                    &labels,
                    counter.value,
                );
            }
        }
    }
}

/// One number that grows with each start and with each refuted death.
fn incarnation_of(member: &Member) -> u64 {
    let incarnation = member.incarnation;
    incarnation
        .started
        .saturating_add(u64::from(incarnation.renewed))
}
