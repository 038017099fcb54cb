//! When a node that followed a relay asks the store itself.
//!
//! A node that turns out to be a relay leaves the one it followed, and has nobody else to look for: it says so
//! in the same turn. Its watchers began to listen for that only once they had seen that the relay was left,
//! which was too late, so each time the node was without updates for as long as a search for another
//! relay may take. In the log of such a node: `relay_lost` at 10,771 ms, its first read of the store at
//! 12,272 ms.

use std::net::SocketAddr;

use dyketally_gateway::store::feed::upstream::{SEARCH_LIMIT, Upstream};

fn relay() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7))
}

#[tokio::test(start_paused = true)]
async fn a_node_that_leaves_its_relay_for_the_store_asks_it_at_once() {
    let upstream = Upstream::default();
    upstream.subscribe(relay(), || false);
    let began = tokio::time::Instant::now();
    let leaves = async {
        // The watcher listens by now.
        tokio::task::yield_now().await;
        upstream.unsubscribe();
        upstream.none_found();
    };
    tokio::join!(upstream.until_lost(), leaves);
    assert!(began.elapsed() < SEARCH_LIMIT, "{:?}", began.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_node_whose_relay_is_lost_looks_for_another_one_first() {
    let upstream = Upstream::default();
    upstream.subscribe(relay(), || false);
    let began = tokio::time::Instant::now();
    let lost = async {
        tokio::task::yield_now().await;
        upstream.unsubscribe();
    };
    tokio::join!(upstream.until_lost(), lost);
    assert!(began.elapsed() >= SEARCH_LIMIT, "{:?}", began.elapsed());
}
