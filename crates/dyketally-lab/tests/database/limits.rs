//! Connection limit, slots, cancellation and leaving.

use dyketally_lab::database::{DatabaseSettings, DatabaseState};
use rstest::rstest;
use tokio_postgres::NoTls;
use tokio_postgres::error::SqlState;

use crate::support::{
    code, connect, eventually, fast_settings, single, status, try_connect, wait_for_state,
};

const READ: &str = "SELECT value FROM t WHERE key = 'a'";

#[rstest]
#[case(1)]
#[case(3)]
#[tokio::test]
async fn one_connection_beyond_the_limit_is_refused(#[case] limit: u32) {
    let settings = DatabaseSettings {
        connection_limit: limit,
        ..fast_settings()
    };
    let database = single(settings).await;
    let mut clients = Vec::new();
    for _ in 0..limit {
        clients.push(connect(&database).await);
    }
    let refused = try_connect(&database).await;
    assert_eq!(code(refused.map(drop)), SqlState::TOO_MANY_CONNECTIONS);

    let limit = u64::from(limit);
    let state = database.control().state().await.expect("state");
    assert_eq!(state.connections, limit);
    assert_eq!(state.most_connections, limit);
    assert_eq!(state.refused_connections, 1);

    clients.pop();
    eventually("a free connection", || async {
        try_connect(&database).await.ok()
    })
    .await;
}

#[tokio::test]
async fn no_more_statements_run_than_there_are_slots() {
    let settings = DatabaseSettings {
        slots: 2,
        service_time_us: 20_000,
        ..fast_settings()
    };
    let database = single(settings).await;
    let mut running = tokio::task::JoinSet::new();
    for _ in 0..6 {
        let client = connect(&database).await;
        running.spawn(async move { client.query(READ, &[]).await });
    }
    while let Some(result) = running.join_next().await {
        result.expect("task").expect("statement");
    }
    let state = database.control().state().await.expect("state");
    assert_eq!(state.most_busy_slots, 2);
    assert_eq!(state.busy_slots, 0);
}

#[tokio::test]
async fn the_status_statement_needs_no_slot() {
    let settings = DatabaseSettings {
        slots: 1,
        ..fast_settings()
    };
    let database = single(settings).await;
    let sleeper = connect(&database).await;
    let sleep = tokio::spawn(async move { sleeper.batch_execute("SELECT pg_sleep(600)").await });
    wait_for_state(&database, "a busy slot", |state| state.busy_slots == 1).await;
    let client = connect(&database).await;
    assert_eq!(status(&client).await.role, "primary");
    sleep.abort();
}

#[tokio::test]
async fn a_cancelled_statement_frees_its_slot() {
    let database = single(fast_settings()).await;
    let client = connect(&database).await;
    let token = client.cancel_token();
    let sleep = tokio::spawn(async move { client.batch_execute("SELECT pg_sleep(600)").await });
    wait_for_state(&database, "a busy slot", |state| state.busy_slots == 1).await;
    token.cancel_query(NoTls).await.expect("cancel");
    let cancelled = sleep.await.expect("task");
    assert_eq!(code(cancelled), SqlState::QUERY_CANCELED);
    wait_for_state(&database, "a free slot", |state| state.busy_slots == 0).await;
}

#[tokio::test]
async fn a_held_back_reply_belongs_to_a_write_that_took_effect() {
    let settings = DatabaseSettings {
        reply_delay_us: 3_600_000_000,
        ..fast_settings()
    };
    let database = single(settings).await;
    let before = database.control().state().await.expect("state").log_offset;
    let writer = connect(&database).await;
    let insert = "INSERT INTO t VALUES ('a', '1')";
    let reply = tokio::spawn(async move { writer.execute(insert, &[]).await });
    wait_for_state(&database, "the write", |state| state.log_offset > before).await;
    assert!(!reply.is_finished());
    drop(database);
    assert!(
        reply.await.expect("task").is_err(),
        "cut off without a reply"
    );
}

#[tokio::test]
async fn a_leaving_database_finishes_transactions_and_takes_no_connections() {
    let database = single(fast_settings()).await;
    let idle = connect(&database).await;
    let busy = connect(&database).await;
    busy.batch_execute("BEGIN").await.expect("begin");
    database.control().leave().await.expect("leave");

    let refused = try_connect(&database).await;
    assert_eq!(code(refused.map(drop)), SqlState::CANNOT_CONNECT_NOW);
    eventually("the idle connection closes", || async {
        idle.is_closed().then_some(())
    })
    .await;
    assert!(!busy.is_closed());
    busy.batch_execute("INSERT INTO t VALUES ('a', '1')")
        .await
        .expect("insert");
    busy.batch_execute("COMMIT").await.expect("commit");
    eventually("the last connection closes", || async {
        busy.is_closed().then_some(())
    })
    .await;

    let rows = database.control().table("t").await.expect("table");
    assert_eq!(rows.len(), 1, "the transaction was committed");
    wait_for_state(&database, "no connection", |state: &DatabaseState| {
        state.connections == 0 && state.leaving
    })
    .await;
}
