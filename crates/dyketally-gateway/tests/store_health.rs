//! What this node knows of the store by its calls.

use std::time::Duration;

use dyketally_gateway::context::store_health::StoreHealth;
use futures::FutureExt;

/// Whoever hears from the store first after it failed tells all who wait for it: watches that were
/// lost meanwhile say nothing by themselves.
#[tokio::test]
async fn the_first_answer_after_a_failure_tells_all_who_wait() {
    let health = StoreHealth::default();
    let watch = health.regained.notified();
    tokio::pin!(watch);
    assert!(watch.as_mut().now_or_never().is_none());
    health.replied();
    assert!(
        watch.as_mut().now_or_never().is_none(),
        "nothing had failed"
    );
    health.failed();
    health.replied();
    assert!(watch.now_or_never().is_some(), "the watch goes on waiting");
}

#[tokio::test(start_paused = true)]
async fn the_store_is_lost_only_when_it_fails_and_was_silent_for_a_while() {
    let health = StoreHealth::default();
    health.replied();
    tokio::time::advance(Duration::from_secs(10)).await;
    assert!(!health.is_lost(), "nothing was asked");
    health.failed();
    assert!(health.is_lost());
    health.replied();
    health.failed();
    assert!(!health.is_lost(), "it answered just now");
}
