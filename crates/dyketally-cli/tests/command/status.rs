//! `dyketally status` against the admin addresses of nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use dyketally::group::{LogPosition, Term};
use dyketally::identifiers::Locality;
use dyketally::membership::MemberState;
use dyketally::policy::Revision;
use dyketally_proxy::admin::{
    CallerStatus, HomeStatus, Metrics, NodeEntry, NodeState, NodeStatus, PrimaryStatus, Readiness,
    StatusSource, TenantQueue, serve,
};
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::support::{OK, UNAVAILABLE, dyketally};

struct NamedNode(&'static str);

#[async_trait]
impl StatusSource for NamedNode {
    fn readiness(&self) -> Readiness {
        Readiness::Ready
    }

    async fn status(&self) -> NodeStatus {
        status_of(self.0)
    }

    fn add_counters(&self, _metrics: &mut Metrics) {}
}

fn status_of(node: &str) -> NodeStatus {
    let locality = Locality {
        region: "south".into(),
        zone: "a".into(),
    };
    NodeStatus {
        node: node.into(),
        incarnation: 3,
        state: NodeState::Leaving,
        locality: locality.clone(),
        revision: Revision(5),
        members: vec![NodeEntry {
            node: "proxy-9".into(),
            state: MemberState::Suspect,
            incarnation: 1,
            locality,
            revision: Revision(4),
        }],
        homes: vec![HomeStatus {
            database: "ledger-a".into(),
            group: "ledger".into(),
            primary: Some(PrimaryStatus {
                database: "ledger-b".into(),
                term: Term(9),
            }),
            log: Some(LogPosition {
                term: Term(8),
                offset: 77,
            }),
            connections: 12,
            connection_limit: 40,
            slots_busy: 5,
            slots: 5,
            queued: vec![TenantQueue {
                tenant: "shops".into(),
                queued: 8,
            }],
        }],
        callers: CallerStatus {
            connected: 2,
            limit: 100,
            in_transaction: 1,
        },
    }
}

async fn start(node: &'static str) -> (SocketAddr, DropGuard) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    let stopped = CancellationToken::new();
    tokio::spawn(serve(listener, Arc::new(NamedNode(node)), stopped.clone()));
    (address, stopped.drop_guard())
}

/// An address where nothing listens: it was bound once and is free again.
async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    listener.local_addr().expect("address")
}

#[tokio::test]
async fn tables_show_nodes_members_and_homes() {
    let (first, _first) = start("proxy-1").await;
    let (second, _second) = start("proxy-2").await;
    let (first, second) = (first.to_string(), second.to_string());
    let ran = dyketally(&["status", "--node", &first, "--node", &second]).await;
    let ran = ran.expect(OK);
    ran.stdout_has(&["proxy-1", "proxy-2", "leaving", "2 of 100"]);
    ran.stdout_has(&["proxy-9", "suspect"]);
    ran.stdout_has(&["ledger-b", "8:77", "12 of 40", "5 of 5", "shops 8"]);
}

#[tokio::test]
async fn json_reads_back_as_the_type() {
    let (address, _guard) = start("proxy-1").await;
    let address = address.to_string();
    let ran = dyketally(&["status", "--node", &address, "--output", "json"]).await;
    let found: Vec<NodeStatus> = serde_json::from_value(ran.expect(OK).json()).expect("status");
    assert_eq!(found, [status_of("proxy-1")]);
}

#[tokio::test]
async fn nodes_that_answer_are_shown_beside_those_that_do_not() {
    let (address, _guard) = start("proxy-1").await;
    let (address, silent) = (address.to_string(), free_address().await.to_string());
    let ran = dyketally(&["status", "--node", &silent, "--node", &address]).await;
    let ran = ran.expect(UNAVAILABLE);
    ran.stdout_has(&["proxy-1"]);
    let told = format!("node {silent} did not answer");
    ran.stderr_has(&[&told, "check that it runs"]);
}
