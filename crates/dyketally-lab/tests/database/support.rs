//! What the tests of the stand-in database share.

use std::time::Duration;

use dyketally_lab::database::{DatabaseSettings, DatabaseState, RunningDatabase, start};
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, NoTls};

/// Far beyond what any step takes; only a step that never comes runs into it.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
const POLL_PAUSE: Duration = Duration::from_millis(5);

/// Waits until `probe` yields a value.
pub async fn eventually<T, F: Future<Output = Option<T>>>(what: &str, probe: impl Fn() -> F) -> T {
    let polling = async {
        loop {
            if let Some(value) = probe().await {
                return value;
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    };
    let reached = tokio::time::timeout(LONGEST_WAIT, polling).await;
    reached.unwrap_or_else(|_| panic!("{what} did not come about"))
}

pub fn fast_settings() -> DatabaseSettings {
    DatabaseSettings {
        connect_cost_ms: 0,
        ..DatabaseSettings::default()
    }
}

/// A group of one, once it leads.
pub async fn single(settings: DatabaseSettings) -> RunningDatabase {
    let database = start(settings).await.expect("free ports");
    wait_for_state(&database, "a primary", DatabaseState::is_primary).await;
    database
}

pub async fn wait_for_state(
    database: &RunningDatabase,
    what: &str,
    reached: impl Fn(&DatabaseState) -> bool,
) -> DatabaseState {
    eventually(what, || async {
        let state = database.control().state().await.expect("control address");
        reached(&state).then_some(state)
    })
    .await
}

pub async fn connect(database: &RunningDatabase) -> Client {
    try_connect(database).await.expect("a connection")
}

pub async fn try_connect(database: &RunningDatabase) -> Result<Client, tokio_postgres::Error> {
    let text = database.connection_string();
    let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// The SQLSTATE of a statement that must fail.
pub fn code<T: std::fmt::Debug>(result: Result<T, tokio_postgres::Error>) -> SqlState {
    let error = result.expect_err("the statement must fail");
    let code = error.code().cloned();
    code.unwrap_or_else(|| panic!("no SQLSTATE: {error:?}"))
}

/// Term and offset of the log as the status statement reports them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    pub role: String,
    pub term: u64,
    pub log_term: u64,
    pub log_offset: u64,
}

pub async fn status(client: &Client) -> Status {
    let statement = "SELECT role, term, log_term, log_offset FROM dyketally_status";
    let row = client.query_one(statement, &[]).await.expect("status");
    let number = |index: usize| row.get::<_, &str>(index).parse().expect("a number");
    Status {
        role: row.get(0),
        term: number(1),
        log_term: number(2),
        log_offset: number(3),
    }
}
