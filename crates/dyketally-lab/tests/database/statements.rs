//! SQL behaviour through `tokio-postgres`, by simple and by extended queries.

use dyketally_lab::database::RunningDatabase;
use rstest::rstest;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, SimpleQueryMessage};

use crate::support::{code, connect, fast_settings, single, status};

/// Rows as text, `NULL` for null; the count for a change.
async fn simple(client: &Client, sql: &str) -> Result<Vec<String>, tokio_postgres::Error> {
    let messages = client.simple_query(sql).await?;
    let lines = messages.into_iter().filter_map(|message| match message {
        SimpleQueryMessage::Row(row) => {
            let cells = (0..row.len()).map(|index| row.get(index).unwrap_or("NULL"));
            Some(cells.collect::<Vec<_>>().join("|"))
        }
        SimpleQueryMessage::CommandComplete(rows) => Some(format!("={rows}")),
        _ => None,
    });
    Ok(lines.collect())
}

async fn database_with_rows() -> (RunningDatabase, Client) {
    let database = single(fast_settings()).await;
    let client = connect(&database).await;
    let rows =
        "INSERT INTO stock VALUES ('chain', '3'), ('hub', '0'), ('note', NULL), ('word', 'x')";
    client.batch_execute(rows).await.expect("rows");
    (database, client)
}

#[rstest]
#[case::point_read("SELECT value FROM stock WHERE key = 'chain'", &["3", "=1"])]
#[case::missing_row("SELECT value FROM stock WHERE key = 'none'", &["=0"])]
#[case::null_value("SELECT value FROM stock WHERE key = 'note'", &["NULL", "=1"])]
#[case::unknown_table("SELECT value FROM orders WHERE key = 'none'", &["=0"])]
#[case::all_rows("SELECT key, value FROM stock", &["chain|3", "hub|0", "note|NULL", "word|x", "=4"])]
#[case::count("SELECT count(*) FROM stock", &["4", "=1"])]
#[case::count_nothing("SELECT count(*) FROM orders", &["0", "=1"])]
#[case::insert("INSERT INTO stock (key, value) VALUES ('new', '1')", &["=1"])]
#[case::skip_existing("INSERT INTO stock (key, value) VALUES ('hub', '1') ON CONFLICT DO NOTHING", &["=0"])]
#[case::skip_existing_by_column("INSERT INTO stock (key, value) VALUES ('hub', '1') ON CONFLICT (key) DO NOTHING", &["=0"])]
#[case::update("UPDATE stock SET value = '9' WHERE key = 'hub'", &["=1"])]
#[case::update_missing("UPDATE stock SET value = '9' WHERE key = 'none'", &["=0"])]
#[case::add("UPDATE stock SET value = value + '4' WHERE key = 'chain'; SELECT value FROM stock WHERE key = 'chain'", &["=1", "7", "=1"])]
#[case::subtract("UPDATE stock SET value = value + -4 WHERE key = 'chain'; SELECT value FROM stock WHERE key = 'chain'", &["=1", "-1", "=1"])]
#[case::delete("DELETE FROM stock WHERE key = 'hub'; SELECT count(*) FROM stock", &["=1", "3", "=1"])]
#[case::delete_missing("DELETE FROM stock WHERE key = 'none'", &["=0"])]
#[case::sleep("SELECT pg_sleep(0.001)", &["", "=1"])]
#[case::nothing("", &["=0"])]
#[case::rolled_back("BEGIN; DELETE FROM stock WHERE key = 'hub'; ROLLBACK; SELECT count(*) FROM stock", &["=0", "=1", "=0", "4", "=1"])]
#[tokio::test]
async fn simple_queries(#[case] sql: &str, #[case] expected: &[&str]) {
    let (_database, client) = database_with_rows().await;
    let lines = simple(&client, sql).await.expect("statement");
    assert_eq!(lines, expected);
}

#[rstest]
#[case::duplicate(
    "INSERT INTO stock (key, value) VALUES ('hub', '1')",
    SqlState::UNIQUE_VIOLATION
)]
#[case::null_key(
    "INSERT INTO stock (key, value) VALUES (NULL, '1')",
    SqlState::NOT_NULL_VIOLATION
)]
#[case::not_an_integer(
    "UPDATE stock SET value = value + '1' WHERE key = 'word'",
    SqlState::INVALID_TEXT_REPRESENTATION
)]
#[case::syntax("SELEC value FROM stock", SqlState::SYNTAX_ERROR)]
#[case::unsupported("CREATE TABLE t (a int)", SqlState::FEATURE_NOT_SUPPORTED)]
#[case::other_column("SELECT price FROM stock", SqlState::FEATURE_NOT_SUPPORTED)]
#[tokio::test]
async fn failing_statements(#[case] sql: &str, #[case] expected: SqlState) {
    let (_database, client) = database_with_rows().await;
    assert_eq!(code(client.simple_query(sql).await), expected, "simple");
    assert_eq!(code(client.query(sql, &[]).await), expected, "extended");
    // The connection is still good, and nothing has changed.
    let lines = simple(&client, "SELECT count(*) FROM stock").await;
    assert_eq!(lines.expect("statement"), ["4", "=1"]);
}

#[tokio::test]
async fn extended_queries_with_parameters() {
    let (_database, client) = database_with_rows().await;
    let insert = client
        .prepare("INSERT INTO orders (key, value) VALUES ($1, $2)")
        .await
        .expect("prepare");
    let null: Option<&str> = None;
    for (key, value) in [("1", Some("a")), ("2", null)] {
        let inserted = client.execute(&insert, &[&key, &value]).await;
        assert_eq!(inserted.expect("insert"), 1);
    }
    let again = client.execute(&insert, &[&"1", &"b"]).await;
    assert_eq!(code(again), SqlState::UNIQUE_VIOLATION);

    let rows = client.query("SELECT key, value FROM orders", &[]).await;
    let rows = rows.expect("rows");
    let pairs = rows.iter().map(|row| (row.get(0), row.get(1)));
    let pairs: Vec<(&str, Option<&str>)> = pairs.collect();
    assert_eq!(pairs, [("1", Some("a")), ("2", None)]);

    let add = "UPDATE stock SET value = value + $2 WHERE key = $1";
    let added = client.execute(add, &[&"chain", &"10"]).await;
    assert_eq!(added.expect("update"), 1);
    let read = "SELECT value FROM stock WHERE key = $1";
    let row = client.query_one(read, &[&"chain"]).await.expect("row");
    assert_eq!(row.get::<_, &str>(0), "13");
    let count = client.query_one("SELECT count(*) FROM orders", &[]).await;
    assert_eq!(count.expect("count").get::<_, i64>(0), 2);
}

#[tokio::test]
async fn a_transaction_sees_its_own_writes_and_others_see_them_after_the_commit() {
    let (database, mut client) = database_with_rows().await;
    let other = connect(&database).await;
    let read = "SELECT value FROM stock WHERE key = 'hub'";
    let before = status(&other).await;

    let transaction = client.transaction().await.expect("begin");
    let update = "UPDATE stock SET value = $2 WHERE key = $1";
    transaction
        .execute(update, &[&"hub", &"5"])
        .await
        .expect("update");
    transaction
        .execute(update, &[&"chain", &"6"])
        .await
        .expect("update");
    let own = transaction.query_one(read, &[]).await.expect("row");
    assert_eq!(own.get::<_, &str>(0), "5");
    let unseen = other.query_one(read, &[]).await.expect("row");
    assert_eq!(unseen.get::<_, &str>(0), "0");
    transaction.commit().await.expect("commit");

    let seen = other.query_one(read, &[]).await.expect("row");
    assert_eq!(seen.get::<_, &str>(0), "5");
    let after = status(&other).await;
    assert_eq!(
        after.log_offset,
        before.log_offset + 1,
        "one entry for the transaction"
    );
}

#[tokio::test]
async fn of_two_transactions_that_write_a_row_the_second_commit_fails() {
    let (database, mut client) = database_with_rows().await;
    let mut other_client = connect(&database).await;
    let add = "UPDATE stock SET value = value + '1' WHERE key = 'chain'";
    let first = client.transaction().await.expect("begin");
    let second = other_client.transaction().await.expect("begin");
    first.execute(add, &[]).await.expect("update");
    second.execute(add, &[]).await.expect("update");
    first.commit().await.expect("commit");
    let conflict = second.commit().await;
    assert_eq!(code(conflict), SqlState::T_R_SERIALIZATION_FAILURE);

    // The failed commit has ended the transaction.
    let read = "SELECT value FROM stock WHERE key = 'chain'";
    let row = other_client.query_one(read, &[]).await.expect("row");
    assert_eq!(row.get::<_, &str>(0), "4");
}

#[tokio::test]
async fn after_an_error_a_transaction_can_only_be_ended() {
    let (_database, client) = database_with_rows().await;
    client.batch_execute("BEGIN").await.expect("begin");
    let change = "UPDATE stock SET value = '9' WHERE key = 'hub'";
    client.execute(change, &[]).await.expect("update");
    let duplicate = "INSERT INTO stock VALUES ('hub', '1')";
    let failed = client.execute(duplicate, &[]).await;
    assert_eq!(code(failed), SqlState::UNIQUE_VIOLATION);
    let refused = client.simple_query(change).await;
    assert_eq!(code(refused), SqlState::IN_FAILED_SQL_TRANSACTION);
    client
        .batch_execute("COMMIT")
        .await
        .expect("ends by rolling back");
    let lines = simple(&client, "SELECT value FROM stock WHERE key = 'hub'").await;
    assert_eq!(lines.expect("row"), ["0", "=1"]);
}
