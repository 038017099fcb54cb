//! Ranges, puts and transactions.

use dyketally_proxy::stores::StoreError;
use dyketally_proxy::stores::key_value::{
    Condition, KeyOrder, KeyRange, Operation, OperationResult, RangeRequest, StoreRevision,
    TransactionRequest,
};
use rstest::rstest;

use crate::backend::{Backend, Implementation, put, read, swap, texts};

#[rstest]
#[case::one_key(KeyRange::key("b/1"), 0, KeyOrder::Ascending, &["b/1"], false)]
#[case::missing_key(KeyRange::key("b/9"), 0, KeyOrder::Ascending, &[], false)]
#[case::prefix(KeyRange::prefix("b/"), 0, KeyOrder::Ascending, &["b/1", "b/2", "b/3"], false)]
#[case::limit(KeyRange::prefix("b/"), 2, KeyOrder::Ascending, &["b/1", "b/2"], true)]
#[case::exact_limit(KeyRange::prefix("b/"), 3, KeyOrder::Ascending, &["b/1", "b/2", "b/3"], false)]
#[case::descending(KeyRange::prefix("b/"), 2, KeyOrder::Descending, &["b/3", "b/2"], true)]
#[case::half_open(KeyRange::between("b/2", "c"), 0, KeyOrder::Ascending, &["b/2", "b/3"], false)]
#[tokio::test]
async fn a_range_returns_its_keys(
    #[case] range: KeyRange,
    #[case] limit: u32,
    #[case] order: KeyOrder,
    #[case] expected: &[&str],
    #[case] more: bool,
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    for key in ["a", "b/1", "b/2", "b/3", "c"] {
        store.put(put(key, key)).await.expect("a put");
    }
    let request = RangeRequest {
        limit,
        order,
        ..RangeRequest::all(range)
    };
    let reply = store.range(request).await.expect("a range");
    let keys: Vec<String> = texts(&reply).into_iter().map(|(key, _)| key).collect();
    assert_eq!(keys, expected);
    assert_eq!(reply.more, more);
}

#[rstest]
#[tokio::test]
async fn revisions_grow_and_old_ones_stay_readable(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    let first = store.put(put("k", "one")).await.expect("a put");
    let second = store.put(put("k", "two")).await.expect("a put");
    assert_eq!(second, first.next());
    let newest = read(&*store, KeyRange::key("k")).await.expect("a range");
    assert_eq!(newest.store_revision, second);
    assert_eq!(newest.entries[0].created, first);
    assert_eq!(newest.entries[0].modified, second);
    let request = RangeRequest {
        at: Some(first),
        ..RangeRequest::all(KeyRange::key("k"))
    };
    let old = store.range(request.clone()).await.expect("an old range");
    assert_eq!(texts(&old), [("k".into(), "one".into())]);
    backend.compact(second).await;
    assert_eq!(store.range(request).await, Err(StoreError::Compacted));
}

#[rstest]
#[case::absent_and_is(None, None, true)]
#[case::absent_but_present(Some("x"), None, false)]
#[case::holds_and_does(Some("x"), Some("x"), true)]
#[case::holds_but_other(Some("y"), Some("x"), false)]
#[case::holds_but_absent(None, Some("x"), false)]
#[tokio::test]
async fn a_transaction_takes_effect_only_if_its_condition_holds(
    #[case] present: Option<&str>,
    #[case] expected: Option<&str>,
    #[case] succeeds: bool,
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    if let Some(value) = present {
        store.put(put("k", value)).await.expect("a put");
    }
    let reply = swap(&*store, "k", expected, "new").await.expect("a reply");
    assert_eq!(reply.succeeded, succeeds);
    let value = backend.true_value("k");
    if succeeds {
        assert_eq!(value.as_deref(), Some(&b"new"[..]));
        assert_eq!(reply.results, [OperationResult::Put]);
        return;
    }
    assert_eq!(value.as_deref(), present.map(str::as_bytes));
    let OperationResult::Range(seen) = &reply.results[0] else {
        panic!("the other branch reads: {:?}", reply.results);
    };
    assert_eq!(texts(seen).len(), usize::from(present.is_some()));
}

#[rstest]
#[tokio::test]
async fn a_transaction_is_one_revision_and_may_delete(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    let before = store.put(put("old/1", "x")).await.expect("a put");
    let request = TransactionRequest {
        conditions: vec![Condition::Unchanged {
            key: "old/1".into(),
            modified: before,
        }],
        then: vec![
            Operation::Put(put("new/1", "a")),
            Operation::Put(put("new/2", "b")),
            Operation::Delete(KeyRange::prefix("old/")),
        ],
        otherwise: Vec::new(),
    };
    let reply = store.transact(request.clone()).await.expect("a reply");
    assert!(reply.succeeded);
    assert_eq!(reply.store_revision, before.next());
    assert_eq!(reply.results[2], OperationResult::Deleted { count: 1 });
    let new = read(&*store, KeyRange::prefix("new/"))
        .await
        .expect("a range");
    let modified: Vec<StoreRevision> = new.entries.iter().map(|entry| entry.modified).collect();
    assert_eq!(modified, [before.next(), before.next()]);
    let again = store.transact(request).await.expect("a reply");
    assert!(!again.succeeded);
    assert_eq!(again.store_revision, before.next());
}

#[rstest]
#[tokio::test]
async fn of_two_swaps_at_once_one_wins(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    for round in 0..20_u32 {
        let expected = (round > 0).then(|| (round - 1).to_string());
        let value = round.to_string();
        let (left, right) = tokio::join!(
            swap(&*store, "k", expected.as_deref(), &value),
            swap(&*store, "k", expected.as_deref(), &value),
        );
        let won = [left, right].map(|reply| reply.expect("a reply").succeeded);
        assert_ne!(won[0], won[1], "round {round}");
    }
}
