//! Transactions: pinned to one connection, never mixed, rolled back when nobody owns them.

use std::time::Duration;

use dyketally::outcome::UnknownReason;
use dyketally_protocol::{Completion, TransactionStatus};
use dyketally_proxy::home::HomeOptions;

use crate::support::{Fixture, Setup, eventually, insert, select};

#[tokio::test]
async fn keeps_transactions_apart() {
    let fixture = Fixture::start().await;
    let primary = fixture.primary;
    let first = fixture.write(primary, "BEGIN");
    let second = fixture.write(primary, "BEGIN");
    let began = fixture.run(first.clone()).await;
    assert_eq!(began.transaction(), TransactionStatus::Open);
    assert!(fixture.run(second.clone()).await.is_done());
    assert!(fixture.run_next(&first, 0, &insert("a")).await.is_done());
    assert!(fixture.run_next(&second, 0, &insert("b")).await.is_done());
    let unseen = fixture.run_next(&second, 0, &select("a")).await;
    assert!(unseen.values().is_empty());
    let rolled_back = fixture.run_next(&first, 0, "ROLLBACK").await;
    assert_eq!(rolled_back.transaction(), TransactionStatus::Idle);
    let committed = fixture.run_next(&second, 0, "COMMIT").await;
    assert_eq!(committed.transaction(), TransactionStatus::Idle);
    assert!(committed.seen().offset > 0);
    let rows = fixture.databases[primary].control().table("orders").await;
    let keys: Vec<_> = rows.unwrap().into_iter().map(|row| row.key).collect();
    assert_eq!(keys, ["b"]);
}

#[tokio::test]
async fn reports_a_failed_transaction() {
    let fixture = Fixture::start().await;
    let begin = fixture.write(fixture.primary, "BEGIN");
    assert!(fixture.run(begin.clone()).await.is_done());
    let failed = fixture.run_next(&begin, 0, "INSERT INTO").await;
    assert_eq!(failed.transaction(), TransactionStatus::Failed);
    let ended = fixture.run_next(&begin, 0, "COMMIT").await;
    assert_eq!(ended.transaction(), TransactionStatus::Idle);
}

#[tokio::test]
async fn rolls_back_when_the_session_ends() {
    let fixture = Fixture::start().await;
    let home = &fixture.homes[fixture.primary];
    let begin = fixture.write(fixture.primary, "BEGIN");
    assert!(fixture.run(begin.clone()).await.is_done());
    assert!(fixture.run_next(&begin, 0, &insert("a")).await.is_done());
    home.end_session(&begin.session);
    let answer = fixture.run_next(&begin, 0, "COMMIT").await;
    assert_eq!(answer.completion, Completion::RolledBack);
    let rows = fixture.databases[fixture.primary]
        .control()
        .table("orders")
        .await;
    assert!(rows.unwrap().is_empty());
}

#[tokio::test]
async fn a_new_transaction_replaces_one_that_was_left_behind() {
    let fixture = Fixture::start().await;
    let begin = fixture.write(fixture.primary, "BEGIN");
    assert!(fixture.run(begin.clone()).await.is_done());
    assert!(fixture.run_next(&begin, 0, &insert("a")).await.is_done());
    assert!(fixture.run(begin.clone()).await.is_done());
    assert!(fixture.run_next(&begin, 1, &insert("b")).await.is_done());
    let stale = fixture.run_next(&begin, 0, "COMMIT").await;
    assert_eq!(stale.completion, Completion::RolledBack);
    assert!(fixture.run_next(&begin, 1, "COMMIT").await.is_done());
    let rows = fixture.databases[fixture.primary]
        .control()
        .table("orders")
        .await;
    let keys: Vec<_> = rows.unwrap().into_iter().map(|row| row.key).collect();
    assert_eq!(keys, ["b"]);
}

#[tokio::test]
async fn rolls_back_transactions_that_are_idle_for_too_long() {
    let setup = Setup {
        options: HomeOptions {
            idle_transaction_limit: Duration::from_millis(1),
            ..HomeOptions::default()
        },
        ..Setup::default()
    };
    let fixture = Fixture::start_with(setup).await;
    let home = &fixture.homes[fixture.primary];
    let begin = fixture.write(fixture.primary, "BEGIN");
    assert!(fixture.run(begin.clone()).await.is_done());
    eventually("the transaction is rolled back", || async {
        (home.status().idle_transactions == 0).then_some(())
    })
    .await;
    let answer = fixture.run_next(&begin, 0, "COMMIT").await;
    assert_eq!(answer.completion, Completion::RolledBack);
}

#[tokio::test]
async fn does_not_acknowledge_a_commit_at_a_deposed_primary() {
    let fixture = Fixture::start().await;
    let primary = fixture.primary;
    let begin = fixture.write(primary, "BEGIN");
    assert!(fixture.run(begin.clone()).await.is_done());
    assert!(fixture.run_next(&begin, 0, &insert("a")).await.is_done());
    fixture.cut_off_primary().await;
    let new = fixture.another_primary().await;
    let answer = fixture.run_next(&begin, 0, "COMMIT").await;
    // Rolled back if its home has heard of the election before it sent the commit.
    let refused = [
        Completion::RolledBack,
        Completion::Unknown {
            reason: UnknownReason::NotConfirmed,
        },
    ];
    assert!(refused.contains(&answer.completion), "{answer:?}");
    assert_eq!(answer.tags(), "");
    let rows = fixture.databases[new].control().table("orders").await;
    assert!(rows.unwrap().is_empty());
}

#[tokio::test]
async fn a_commit_on_a_broken_connection_is_of_unknown_outcome() {
    let mut fixture = Fixture::start().await;
    let primary = fixture.primary;
    let begin = fixture.write(primary, "BEGIN");
    assert!(fixture.run(begin.clone()).await.is_done());
    assert!(fixture.run_next(&begin, 0, &insert("a")).await.is_done());
    let mut commit = begin.clone();
    commit.transaction = Some(0);
    drop(fixture.databases.remove(primary));
    let answer = fixture.submit_to(primary, commit).answer().await;
    let unknown = matches!(answer.completion, Completion::Unknown { .. });
    assert!(unknown, "{answer:?}");
}
