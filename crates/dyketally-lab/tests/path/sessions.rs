//! Sessions: tokens out and in, roaming, cancel requests, the planned stop.

use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

use crate::support::System;

async fn token(client: &Client) -> String {
    let messages = client
        .simple_query("SHOW dyketally.session")
        .await
        .expect("show");
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    row.expect("one row").to_owned()
}

#[tokio::test]
async fn a_write_gives_a_token_that_another_session_can_take() {
    let system = System::start().await;
    let writer = system.client().await;
    assert_eq!(token(&writer).await, "");
    writer
        .batch_execute("INSERT INTO items (key, value) VALUES ('a', '1')")
        .await
        .expect("insert");
    let seen = token(&writer).await;
    assert!(seen.starts_with("v1:store:"), "{seen}");

    let mut config = system.config();
    config.options(format!("-c dyketally.session={seen}"));
    let roamed = system.connect(&mut config).await;
    assert_eq!(token(&roamed).await, seen);
    let row = roamed
        .query_one("SELECT value FROM items WHERE key = $1", &[&"a"])
        .await
        .expect("select");
    assert_eq!(row.get::<_, String>(0), "1");
}

#[tokio::test]
async fn a_token_can_be_set_and_forgotten() {
    let system = System::start().await;
    let client = system.client().await;
    client
        .batch_execute("SET dyketally.session = 'v1:store:1:0'")
        .await
        .expect("set");
    assert_eq!(token(&client).await, "v1:store:1:0");
    client
        .batch_execute("SET dyketally.session TO ''")
        .await
        .expect("forget");
    assert_eq!(token(&client).await, "");
}

#[tokio::test]
async fn a_token_from_the_future_is_judged_by_the_primary() {
    let system = System::start().await;
    let client = system.client().await;
    client
        .batch_execute("SET dyketally.session = 'v1:store:999:999999'")
        .await
        .expect("set");
    client
        .simple_query("SELECT count(*) FROM items")
        .await
        .expect("read at the primary");
}

#[tokio::test]
async fn a_cancel_request_ends_the_running_statement() {
    let system = System::start().await;
    let client = system.client().await;
    let cancel = client.cancel_token();
    let sleeping = client.batch_execute("SELECT pg_sleep(4)");
    let cancelling = async {
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        cancel.cancel_query(NoTls).await
    };
    let (slept, cancelled) = futures::future::join(sleeping, cancelling).await;
    cancelled.expect("cancel request");
    assert!(slept.is_err(), "the statement was cancelled");
    client
        .simple_query("SELECT count(*) FROM items")
        .await
        .expect("session goes on");
}

#[tokio::test]
async fn a_planned_stop_waits_for_the_statement_in_flight() {
    let system = System::start().await;
    let client = system.client().await;
    let sleeping = client.batch_execute("SELECT pg_sleep(0.5)");
    let stopping = async {
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        system.node.stop().await
    };
    let (slept, report) = futures::future::join(sleeping, stopping).await;
    slept.expect("the statement in flight ends normally");
    assert!(report.is_clean(), "{report}");
    assert!(
        client
            .simple_query("SELECT count(*) FROM items")
            .await
            .is_err()
    );
}

#[tokio::test]
async fn a_planned_stop_answers_the_next_statement_with_not_run() {
    let system = System::start().await;
    let client = system.client().await;
    client
        .simple_query("SELECT count(*) FROM items")
        .await
        .expect("served before the stop");
    let stopping = tokio::spawn(system.node.stop());
    let error = loop {
        match client.simple_query("SELECT count(*) FROM items").await {
            Ok(_) => {}
            Err(error) => break error,
        }
    };
    assert_eq!(error.code(), Some(&SqlState::CANNOT_CONNECT_NOW));
    let report = stopping.await.expect("the stop ends");
    assert!(report.is_clean(), "{report}");
}

#[tokio::test]
async fn a_planned_stop_lets_an_open_transaction_commit() {
    let system = System::start().await;
    let mut client = system.client().await;
    let transaction = client.transaction().await.expect("begin");
    transaction
        .batch_execute("INSERT INTO items (key, value) VALUES ('a', '1')")
        .await
        .expect("insert");
    let config = system.config();
    let stopping = tokio::spawn(system.node.stop());
    // New callers are refused once present ones are turned away.
    while config.connect(NoTls).await.is_ok() {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    transaction
        .commit()
        .await
        .expect("the open transaction commits");
    let report = stopping.await.expect("the stop ends");
    assert!(report.is_clean(), "{report}");
}
