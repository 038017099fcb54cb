//! Choice of a database's home: a home that can't be reached is excluded before membership reports its node dead.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use dyketally::identifiers::{DatabaseName, Locality, NodeName, RequestId, SessionId};
use dyketally::outcome::NotRunReason;
use dyketally::policy::{Access, DatabasePolicy, GroupPolicy, PolicySet, Repeat, Urgency};
use dyketally_protocol::{Completion, ExecuteRequest, Freshness, StatementBatch};
use dyketally_proxy::home::{AddressRoutes, HomeOptions};
use dyketally_proxy::homes::{HomeLocation, Homes, LocateHome};
use dyketally_proxy::link::LinkPool;
use dyketally_proxy::reply::{HomeRequest, reply_channel};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Places every database's home at `first`, and ranks this node second.
#[derive(Debug)]
struct FirstThenHere {
    first: SocketAddr,
}

impl FirstThenHere {
    fn home(&self) -> HomeLocation {
        HomeLocation::At {
            node: NodeName::new("dead"),
            address: self.first,
        }
    }
}

impl LocateHome for FirstThenHere {
    fn locate(&self, _: &DatabaseName, _: &Locality) -> Option<HomeLocation> {
        Some(self.home())
    }

    fn rank(&self, _: &DatabaseName, _: &Locality) -> Vec<HomeLocation> {
        vec![self.home(), HomeLocation::Here]
    }
}

/// A loopback address that no socket listens on.
fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.local_addr().expect("address")
}

fn policies(database: &DatabaseName) -> PolicySet {
    let member = DatabasePolicy {
        name: database.clone(),
        address: closed_address(),
        locality: Locality {
            region: "north".into(),
            zone: "a".into(),
        },
        connection_limit: 1,
        slots: 1,
    };
    let group = GroupPolicy {
        name: "store".into(),
        members: vec![member],
        status_statement: "SELECT 1".to_owned(),
        ledger_table: "ledger".to_owned(),
    };
    PolicySet {
        groups: [(group.name.clone(), group)].into(),
        ..PolicySet::default()
    }
}

fn request(database: &DatabaseName) -> ExecuteRequest {
    ExecuteRequest {
        request: RequestId(0),
        database: database.clone(),
        tenant: "trial".into(),
        session: SessionId {
            edge: "edge".into(),
            incarnation: 1,
            number: 1,
        },
        transaction: None,
        access: Access::Write,
        urgency: Urgency::Normal,
        repeat: Repeat::Never,
        freshness: Freshness::Current,
        time_left: Duration::from_secs(5),
        batch: StatementBatch::default(),
    }
}

#[tokio::test]
async fn a_dead_home_is_passed_over_for_the_next() {
    let database = DatabaseName::new("store-a");
    let placement = Arc::new(FirstThenHere {
        first: closed_address(),
    });
    let policies = policies(&database);
    let (_, member) = policies.database(&database).expect("the database");
    let member = member.clone();
    let (_sender, receiver) = watch::channel(Arc::new(policies));
    let homes = Homes::new(
        receiver,
        placement.clone(),
        LinkPool::new("edge".into()),
        AddressRoutes::default(),
        HomeOptions::default(),
    );
    assert_eq!(homes.locate(&member), Some(placement.home()));

    let (reply, receiver) = reply_channel();
    let home_request = HomeRequest {
        execute: request(&database),
        cancelled: CancellationToken::new(),
        reply,
    };
    homes.submit(&placement.home(), home_request);
    let completion = receiver.completion.await.expect("a completion");
    assert!(
        matches!(
            completion,
            Completion::NotRun {
                reason: NotRunReason::Unreachable,
                ..
            }
        ),
        "{completion:?}"
    );
    assert_eq!(homes.locate(&member), Some(HomeLocation::Here));
}

#[tokio::test]
async fn a_node_without_a_configuration_is_no_home_yet() {
    let database = DatabaseName::new("store-a");
    let placement = Arc::new(FirstThenHere {
        first: closed_address(),
    });
    let (_sender, receiver) = watch::channel(Arc::new(PolicySet::default()));
    let homes = Homes::new(
        receiver,
        placement,
        LinkPool::new("edge".into()),
        AddressRoutes::default(),
        HomeOptions::default(),
    );
    let (reply, receiver) = reply_channel();
    homes.submit_here(HomeRequest {
        execute: request(&database),
        cancelled: CancellationToken::new(),
        reply,
    });
    let completion = receiver.completion.await.expect("a completion");
    let not_home = Completion::NotRun {
        reason: NotRunReason::NotHome,
        retry_after: None,
    };
    assert_eq!(completion, not_home);
}
