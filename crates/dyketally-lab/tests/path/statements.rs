//! Statements of all kinds through edge, home and database, and back.

use tokio_postgres::SimpleQueryMessage;
use tokio_postgres::error::SqlState;

use crate::support::System;

#[tokio::test]
async fn prepared_statements_write_and_read() {
    let system = System::start().await;
    let client = system.client().await;
    let inserted = client
        .execute(
            "INSERT INTO items (key, value) VALUES ($1, $2)",
            &[&"a", &"1"],
        )
        .await
        .expect("insert");
    assert_eq!(inserted, 1);
    for _ in 0..3 {
        let row = client
            .query_one("SELECT value FROM items WHERE key = $1", &[&"a"])
            .await
            .expect("select");
        assert_eq!(row.get::<_, String>(0), "1");
    }
}

#[tokio::test]
async fn simple_queries_return_rows() {
    let system = System::start().await;
    let client = system.client().await;
    client
        .batch_execute("INSERT INTO items (key, value) VALUES ('a', '1')")
        .await
        .expect("insert");
    let messages = client
        .simple_query("SELECT key, value FROM items")
        .await
        .expect("select");
    let rows: Vec<_> = messages
        .iter()
        .filter_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(1),
            _ => None,
        })
        .collect();
    assert_eq!(rows, ["1"]);
}

#[tokio::test]
async fn a_database_error_is_an_answer() {
    let system = System::start().await;
    let client = system.client().await;
    let insert = "INSERT INTO items (key, value) VALUES ('a', '1')";
    client.batch_execute(insert).await.expect("first insert");
    let error = client.batch_execute(insert).await.expect_err("second");
    assert_eq!(error.code(), Some(&SqlState::UNIQUE_VIOLATION));
    client
        .simple_query("SELECT count(*) FROM items")
        .await
        .expect("session goes on");
}

#[tokio::test]
async fn transactions_commit_and_roll_back() {
    let system = System::start().await;
    let mut client = system.client().await;
    let insert = "INSERT INTO items (key, value) VALUES ($1, $2)";

    let kept = client.transaction().await.expect("begin");
    kept.execute(insert, &[&"kept", &"1"])
        .await
        .expect("insert");
    kept.commit().await.expect("commit");

    let dropped = client.transaction().await.expect("begin");
    dropped
        .execute(insert, &[&"dropped", &"1"])
        .await
        .expect("insert");
    dropped.rollback().await.expect("rollback");

    let rows = client
        .query("SELECT key, value FROM items", &[])
        .await
        .expect("select");
    let keys: Vec<String> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(keys, ["kept"]);
}

#[tokio::test]
async fn pipelined_statements_are_answered_in_order() {
    let system = System::start().await;
    let client = system.client().await;
    let insert = "INSERT INTO items (key, value) VALUES ($1, $2)";
    let statement = client.prepare(insert).await.expect("prepare");
    let keys: Vec<String> = (0..50).map(|number| format!("key-{number}")).collect();
    let writes = keys.iter().map(|key| {
        let (client, statement) = (&client, &statement);
        async move { client.execute(statement, &[key, key]).await }
    });
    for written in futures::future::join_all(writes).await {
        assert_eq!(written.expect("insert"), 1);
    }
    let select = client
        .prepare("SELECT value FROM items WHERE key = $1")
        .await
        .expect("prepare");
    let reads = keys.iter().map(|key| {
        let (client, select) = (&client, &select);
        async move { (key, client.query_one(select, &[key]).await) }
    });
    for (key, row) in futures::future::join_all(reads).await {
        assert_eq!(row.expect("select").get::<_, String>(0), *key);
    }
}

#[tokio::test]
async fn a_reply_larger_than_the_window_streams_through() {
    let system = System::start().await;
    let client = system.client().await;
    let value = "x".repeat(100_000);
    let insert = "INSERT INTO items (key, value) VALUES ($1, $2)";
    for number in 0..40 {
        let key = format!("key-{number}");
        client
            .execute(insert, &[&key, &value])
            .await
            .expect("insert");
    }
    let rows = client
        .query("SELECT key, value FROM items", &[])
        .await
        .expect("select");
    assert_eq!(rows.len(), 40);
    assert!(rows.iter().all(|row| row.get::<_, &str>(1) == value));
}
