//! Membership of a fleet of nodes over UDP sockets on the loopback interface.

use std::future::Future;
use std::time::Duration;

use dyketally::identifiers::{Locality, NodeName};
use dyketally::membership::{Event, MemberState};
use dyketally::policy::Revision;
use dyketally_proxy::peers::{Peers, PeersError, PeersHandle, PeersSettings};
use tokio::net::UdpSocket;

/// Time limit of each wait, far longer than any of them takes even on a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Number of nodes in the fleet.
const COUNT: usize = 6;

fn name(number: usize) -> NodeName {
    format!("node-{number}").as_str().into()
}

fn locality(number: usize) -> Locality {
    Locality {
        region: "region".into(),
        zone: format!("zone-{}", number % 2).as_str().into(),
    }
}

async fn within_limit<T>(what: &str, future: impl Future<Output = T>) -> T {
    let result = tokio::time::timeout(WAIT_LIMIT, future).await;
    result.unwrap_or_else(|_| panic!("waited {WAIT_LIMIT:?} without success for {what}"))
}

/// Starts the fleet and waits until every node sees all others alive.
async fn start_fleet() -> Vec<PeersHandle> {
    let mut fleet: Vec<PeersHandle> = Vec::new();
    for number in 0..COUNT {
        let mut settings = PeersSettings::on_loopback(name(number), locality(number), 1);
        settings.seeds = fleet.iter().take(1).map(PeersHandle::address).collect();
        fleet.push(Peers::start(settings).await.expect("starts"));
    }
    for handle in &fleet {
        wait_for_live_count(handle, COUNT).await;
    }
    fleet
}

/// Waits until the node sees `count` live nodes.
async fn wait_for_live_count(handle: &PeersHandle, count: usize) {
    let mut views = handle.watch();
    let reached = views.wait_for(|view| view.live.nodes().len() == count);
    within_limit("the number of live nodes", reached)
        .await
        .expect("task runs");
}

/// Waits until `handle` sees `node` in `state`.
async fn wait_for_state(handle: &PeersHandle, node: &NodeName, state: MemberState) {
    let mut views = handle.watch();
    let reached = views.wait_for(|view| view.member(node).is_some_and(|it| it.state == state));
    within_limit("the state of a node", reached)
        .await
        .expect("task runs");
}

#[tokio::test]
async fn nodes_find_each_other_and_agree_on_homes() {
    let fleet = start_fleet().await;
    let home = |handle: &PeersHandle| handle.view().live.home(&"db".into(), &locality(0));
    let first = home(&fleet[0]).expect("a home");
    assert_eq!(first.locality, locality(0));
    assert!(
        fleet
            .iter()
            .all(|handle| home(handle).as_ref() == Some(&first))
    );
    let ranked = fleet[0].view();
    let ranked = ranked.live.rank(&"db".into(), &locality(0), 2);
    assert_eq!(ranked[0], &first);
}

#[tokio::test]
async fn a_leaving_node_is_the_last_choice_and_then_gone() {
    let fleet = start_fleet().await;
    let home = |handle: &PeersHandle| handle.view().live.home(&"db".into(), &locality(0));
    let leaving = home(&fleet[0]).expect("a home").node;
    let number = (0..COUNT)
        .find(|number| name(*number) == leaving)
        .expect("one of the fleet");
    fleet[number].announce_leaving().await;
    let others = || {
        (0..COUNT)
            .filter(|other| *other != number)
            .map(|other| &fleet[other])
    };
    for handle in others() {
        wait_for_state(handle, &leaving, MemberState::Leaving).await;
        assert_ne!(home(handle).expect("a home").node, leaving);
    }
    fleet[number].leave().await;
    for handle in others() {
        wait_for_state(handle, &leaving, MemberState::Left).await;
    }
}

#[tokio::test]
async fn a_crashed_node_is_detected() {
    let fleet = start_fleet().await;
    fleet[2].stop().await;
    for handle in fleet
        .iter()
        .enumerate()
        .filter(|(number, _)| *number != 2)
        .map(|(_, it)| it)
    {
        wait_for_state(handle, &name(2), MemberState::Dead).await;
    }
}

#[tokio::test]
async fn a_newer_revision_is_told() {
    let fleet = start_fleet().await;
    let mut events = fleet[3].events();
    fleet[0].set_revision(Revision(9)).await;
    let seen = async {
        loop {
            let event = events.recv().await.expect("task runs");
            if matches!(
                event,
                Event::RevisionSeen {
                    revision: Revision(9),
                    ..
                }
            ) {
                return;
            }
        }
    };
    within_limit("the newer revision", seen).await;
}

#[tokio::test]
async fn garbage_on_the_socket_is_counted() {
    let fleet = start_fleet().await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("binds");
    socket
        .send_to(&[7; 2_000], fleet[0].address())
        .await
        .expect("sends");
    let counted = async {
        while fleet[0].counters().membership.garbage == 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    within_limit("the counter of garbage", counted).await;
    wait_for_live_count(&fleet[0], COUNT).await;
}

#[tokio::test]
async fn a_taken_address_is_told_with_the_remedy() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("binds");
    let mut settings = PeersSettings::on_loopback(name(0), locality(0), 1);
    settings.listen = socket.local_addr().expect("bound");
    let error = Peers::start(settings).await.expect_err("taken");
    assert!(matches!(error, PeersError::Bind { .. }));
    assert!(error.to_string().contains("listen.membership"), "{error}");
}
