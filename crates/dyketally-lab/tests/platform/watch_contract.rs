//! Watches: order, resumption, compaction and loss.

use dyketally_proxy::stores::StoreError;
use dyketally_proxy::stores::key_value::{
    KeyRange, KeyValueStore, Operation, StoreRevision, TransactionRequest, WatchEvent,
    WatchRequest, WatchStream,
};
use dyketally_proxy::stores::memory::{FaultPlan, Outage};
use futures::StreamExt;
use rstest::rstest;

use crate::backend::{Backend, Implementation, put};

async fn open(store: &dyn KeyValueStore, from: StoreRevision) -> WatchStream {
    let request = WatchRequest {
        range: KeyRange::prefix("w/"),
        from,
        longest_quiet: None,
    };
    store.watch(request).await.expect("a watch")
}

async fn established(watch: &mut WatchStream) {
    let first = watch.next().await.expect("a batch").expect("established");
    assert!(first.events.is_empty());
}

/// Reads until `count` events have come.
async fn events(watch: &mut WatchStream, count: usize) -> Vec<WatchEvent> {
    let mut events = Vec::new();
    while events.len() < count {
        let batch = watch.next().await.expect("a batch").expect("no error");
        events.extend(batch.events);
    }
    events
}

fn describe(events: &[WatchEvent]) -> Vec<String> {
    let describe = |event: &WatchEvent| match event {
        WatchEvent::Put(entry) => format!("{}={}", entry.key, entry.value.escape_ascii()),
        WatchEvent::Deleted { key, .. } => format!("{key} deleted"),
    };
    events.iter().map(describe).collect()
}

#[rstest]
#[tokio::test]
async fn a_watch_reports_changes_of_its_range_in_order(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    let before = store.put(put("w/0", "early")).await.expect("a put");
    let mut watch = open(&*store, before.next()).await;
    established(&mut watch).await;
    store.put(put("w/1", "a")).await.expect("a put");
    store.put(put("other", "x")).await.expect("a put");
    let transaction = TransactionRequest {
        then: vec![
            Operation::Delete(KeyRange::key("w/0")),
            Operation::Put(put("w/2", "b")),
        ],
        ..TransactionRequest::default()
    };
    store.transact(transaction).await.expect("a transaction");
    let seen = events(&mut watch, 3).await;
    assert_eq!(describe(&seen), ["w/1=a", "w/0 deleted", "w/2=b"]);
}

#[rstest]
#[tokio::test]
async fn a_resumed_watch_misses_nothing_and_repeats_nothing(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    let before = store.put(put("start", "")).await.expect("a put");
    let mut watch = open(&*store, before.next()).await;
    let first = store.put(put("w/1", "a")).await.expect("a put");
    assert_eq!(describe(&events(&mut watch, 1).await), ["w/1=a"]);
    let refuse = FaultPlan {
        outage: Outage::Refuse,
        ..FaultPlan::default()
    };
    backend.set_faults(refuse).await;
    let lost = watch.next().await.expect("the loss is reported");
    assert!(
        matches!(lost, Err(StoreError::Unavailable { .. })),
        "{lost:?}"
    );
    assert!(watch.next().await.is_none());
    backend.set_faults(FaultPlan::default()).await;
    store.put(put("w/2", "b")).await.expect("a put");
    store.put(put("w/3", "c")).await.expect("a put");
    let mut resumed = open(&*store, first.next()).await;
    assert_eq!(describe(&events(&mut resumed, 2).await), ["w/2=b", "w/3=c"]);
}

#[rstest]
#[tokio::test]
async fn a_watch_from_a_compacted_revision_says_so(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    let first = store.put(put("w/1", "a")).await.expect("a put");
    let second = store.put(put("w/1", "b")).await.expect("a put");
    backend.compact(second).await;
    let mut late = open(&*store, first).await;
    assert_eq!(late.next().await, Some(Err(StoreError::Compacted)));
    let mut fresh = open(&*store, second.next()).await;
    established(&mut fresh).await;
    store.put(put("w/2", "c")).await.expect("a put");
    assert_eq!(describe(&events(&mut fresh, 1).await), ["w/2=c"]);
}

#[rstest]
#[tokio::test]
async fn a_watch_survives_a_silent_stretch(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    let before = store.put(put("start", "")).await.expect("a put");
    let mut watch = open(&*store, before.next()).await;
    established(&mut watch).await;
    let hang = FaultPlan {
        outage: Outage::Hang,
        ..FaultPlan::default()
    };
    backend.set_faults(hang).await;
    store
        .put(put("w/1", "lost"))
        .await
        .expect_err("the service hangs");
    backend.set_faults(FaultPlan::default()).await;
    store.put(put("w/2", "b")).await.expect("a put");
    let seen = events(&mut watch, 1).await;
    assert_eq!(describe(&seen)[0].split('=').count(), 2);
}
