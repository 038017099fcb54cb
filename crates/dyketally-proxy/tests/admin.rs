//! Responses of the admin endpoint: health, readiness, status and metrics.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use dyketally::group::{LogPosition, Term};
use dyketally::identifiers::Locality;
use dyketally::membership::MemberState;
use dyketally::policy::Revision;
use dyketally_proxy::admin::{
    CallerStatus, HomeStatus, Label, Metrics, NodeEntry, NodeState, NodeStatus, PrimaryStatus,
    Readiness, StatusSource, TenantQueue, serve,
};
use rstest::rstest;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};

#[derive(Serialize)]
struct Counts {
    batches: u64,
    label: &'static str,
}

/// A source that always reports this readiness and [`fixed_status`].
struct FixedSource(Readiness);

#[async_trait]
impl StatusSource for FixedSource {
    fn readiness(&self) -> Readiness {
        self.0.clone()
    }

    async fn status(&self) -> NodeStatus {
        fixed_status()
    }

    fn add_counters(&self, metrics: &mut Metrics) {
        let counts = Counts {
            batches: 7,
            label: "left out",
        };
        metrics.counters_of("edge", &[Label::new("zone", "a\"b")], &counts);
    }
}

fn fixed_status() -> NodeStatus {
    let locality = Locality {
        region: "south".into(),
        zone: "a".into(),
    };
    let entry = |name: &str, state| NodeEntry {
        node: name.into(),
        state,
        incarnation: 1,
        locality: locality.clone(),
        revision: Revision(4),
    };
    NodeStatus {
        node: "proxy-1".into(),
        incarnation: 3,
        state: NodeState::Ready,
        locality: locality.clone(),
        revision: Revision(5),
        members: vec![
            entry("proxy-1", MemberState::Alive),
            entry("proxy-2", MemberState::Alive),
            entry("proxy-3", MemberState::Suspect),
        ],
        homes: vec![HomeStatus {
            database: "ledger-a".into(),
            group: "ledger".into(),
            primary: Some(PrimaryStatus {
                database: "ledger-b".into(),
                term: Term(9),
            }),
            log: Some(LogPosition::default()),
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

/// Starts an admin server that stops when the returned guard is dropped.
async fn start(readiness: Readiness) -> (SocketAddr, DropGuard) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
    let address = listener.local_addr().expect("address");
    let stopped = CancellationToken::new();
    let source = Arc::new(FixedSource(readiness));
    tokio::spawn(serve(listener, source, stopped.clone()));
    (address, stopped.drop_guard())
}

async fn get(address: SocketAddr, path: &str) -> reqwest::Response {
    let url = format!("http://{address}{path}");
    reqwest::get(url).await.expect("answer")
}

#[rstest]
#[case::health("/healthz", 200, "ok\n")]
#[case::ready("/readyz", 200, "ready\n")]
#[case::unknown("/other", 404, "")]
#[tokio::test]
async fn answers_while_ready(#[case] path: &str, #[case] status: u16, #[case] body: &str) {
    let (address, _guard) = start(Readiness::Ready).await;
    let response = get(address, path).await;
    assert_eq!(response.status().as_u16(), status);
    assert_eq!(response.text().await.expect("body"), body);
}

#[tokio::test]
async fn a_node_that_is_not_ready_is_healthy_and_tells_why() {
    let reason = "no configuration yet; check platform.key_value".to_owned();
    let (address, _guard) = start(Readiness::NotReady { reason }).await;
    assert_eq!(get(address, "/healthz").await.status().as_u16(), 200);
    let response = get(address, "/readyz").await;
    assert_eq!(response.status().as_u16(), 503);
    let body = response.text().await.expect("body");
    assert_eq!(body, "no configuration yet; check platform.key_value\n");
}

#[tokio::test]
async fn status_reads_back_as_the_type() {
    let (address, _guard) = start(Readiness::Ready).await;
    let status: NodeStatus = get(address, "/status").await.json().await.expect("status");
    assert_eq!(status, fixed_status());
}

#[rstest]
#[case::counter("dyketally_edge_batches_total{zone=\"a\\\"b\"} 7")]
#[case::counter_type("# TYPE dyketally_edge_batches_total counter")]
#[case::revision("dyketally_configuration_revision 5")]
#[case::members("dyketally_members{state=\"alive\"} 2")]
#[case::suspects("dyketally_members{state=\"suspect\"} 1")]
#[case::queue("dyketally_home_queued{database=\"ledger-a\",tenant=\"shops\"} 8")]
#[case::slots("dyketally_home_slots_busy{database=\"ledger-a\"} 5")]
#[case::term("dyketally_home_term{database=\"ledger-a\"} 9")]
#[case::callers("dyketally_callers 2")]
#[tokio::test]
async fn metrics_hold(#[case] line: &str) {
    let (address, _guard) = start(Readiness::Ready).await;
    let text = get(address, "/metrics").await.text().await.expect("text");
    assert!(text.lines().any(|other| other == line), "{text}");
}
