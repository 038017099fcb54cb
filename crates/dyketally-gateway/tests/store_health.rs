//! Tests of `StoreHealth`, which tracks by the calls to the store whether it replies.

use std::time::Duration;

use dyketally_gateway::context::store_health::StoreHealth;
use futures::FutureExt;

/// The first reply of the store after a failure wakes all tasks that wait for it. Without that, watches that were
/// lost during the outage would stay lost, as they report nothing by themselves.
#[tokio::test]
async fn the_first_reply_after_a_failure_wakes_all_waiting_tasks() {
    let health = StoreHealth::default();
    let watch = health.regained.notified();
    tokio::pin!(watch);
    assert!(watch.as_mut().now_or_never().is_none());
    health.record_reply();
    assert!(
        watch.as_mut().now_or_never().is_none(),
        "woken by a reply although no call had failed"
    );
    health.record_failure();
    health.record_reply();
    assert!(
        watch.now_or_never().is_some(),
        "the reply after a failure did not wake the waiting watch"
    );
}

#[tokio::test(start_paused = true)]
async fn the_store_is_lost_only_after_a_failure_and_a_long_time_without_reply() {
    let health = StoreHealth::default();
    health.record_reply();
    tokio::time::advance(Duration::from_secs(10)).await;
    assert!(
        !health.is_lost(),
        "lost after 10 s without a reply although no call had failed"
    );
    health.record_failure();
    assert!(health.is_lost());
    health.record_reply();
    health.record_failure();
    assert!(
        !health.is_lost(),
        "lost although the store had just replied"
    );
}
