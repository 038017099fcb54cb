//! When a node that followed a relay reads the store itself.
//!
//! A node that becomes a relay leaves the one it followed and reports at once that there is no other to search for.
//! If its watchers listen for that report only after they have seen the loss of the relay, they miss it, and the node
//! has no updates for the whole search limit of 1.5 s. The log of such a node had `relay_lost` at 10,771 ms and its
//! first read of the store at 12,272 ms.

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
        // `until_lost` has started to wait by now.
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
