//! What is known of the store and of the duty.

use std::time::Duration;

use dyketally_gateway::fleet::membership::Membership;
use futures::FutureExt;

/// Whoever hears from the store first after it failed tells all who wait for it: watches that were
/// lost meanwhile say nothing by themselves.
#[tokio::test]
async fn the_first_answer_after_a_failure_tells_all_who_wait() {
    let membership = Membership::default();
    let watch = membership.store_regained.notified();
    tokio::pin!(watch);
    assert!(watch.as_mut().now_or_never().is_none());
    membership.store_answered();
    assert!(
        watch.as_mut().now_or_never().is_none(),
        "nothing had failed"
    );
    membership.store_failed();
    membership.store_answered();
    assert!(watch.now_or_never().is_some(), "the watch goes on waiting");
}

#[tokio::test(start_paused = true)]
async fn the_store_is_lost_only_when_it_fails_and_was_silent_for_a_while() {
    let membership = Membership::default();
    membership.store_answered();
    tokio::time::advance(Duration::from_secs(10)).await;
    assert!(!membership.store_lost(), "nothing was asked");
    membership.store_failed();
    assert!(membership.store_lost());
    membership.store_answered();
    membership.store_failed();
    assert!(!membership.store_lost(), "it answered just now");
}
