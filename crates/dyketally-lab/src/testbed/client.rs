//! A caller's session: an ordinary driver's connection that carries the session token.

use std::fmt;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Poll, ready};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_postgres::error::DbError;
use tokio_postgres::tls::NoTlsStream;
use tokio_postgres::types::ToSql;
use tokio_postgres::{Client, Config, Connection, NoTls, Row, SimpleQueryMessage};

use super::reply::Reply;

/// The parameter that carries the session token.
const SESSION_PARAMETER: &str = "dyketally.session";

/// Time to open a connection before it is given up.
const CONNECT_LIMIT: Duration = Duration::from_secs(5);

type DriverConnection = Connection<TcpStream, NoTlsStream>;

/// A session that could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The address can't be reached.
    #[error("nobody accepts connections at {0}; check that the proxy runs")]
    Unreachable(SocketAddr),
    /// The proxy refused the session.
    #[error("the session was refused: {}", error_text(.0))]
    Refused(#[from] tokio_postgres::Error),
}

/// The message of the proxy, if it sent one; the driver's own text leaves it out.
fn error_text(error: &tokio_postgres::Error) -> String {
    let message = error.as_db_error().map(|error| error.message().to_owned());
    message.unwrap_or_else(|| error.to_string())
}

/// One connection of a caller, to a proxy or straight to a database.
pub struct SessionClient {
    client: Client,
    connection: Arc<Mutex<ConnectionState>>,
    driver: JoinHandle<()>,
}

/// The driver's side of a connection.
enum ConnectionState {
    Open(Box<DriverConnection>),
    /// The connection is over. It was dropped, so that requests that wait are told.
    Ended {
        token: Option<String>,
        /// What the server said when no request waited for a reply.
        last_word: Option<Box<DbError>>,
    },
}

impl ConnectionState {
    fn token(&self) -> Option<String> {
        match self {
            Self::Open(connection) => connection.parameter(SESSION_PARAMETER).map(str::to_owned),
            Self::Ended { token, .. } => token.clone(),
        }
    }
}

impl SessionClient {
    /// Opens a session, with the token of an earlier one if it continues that.
    ///
    /// # Errors
    /// When the address can't be reached or the session is refused.
    pub async fn connect(
        address: SocketAddr,
        tenant: &str,
        database: &str,
        token: Option<&str>,
    ) -> Result<Self, ConnectError> {
        let opening = Self::open(address, tenant, database);
        let session = tokio::time::timeout(CONNECT_LIMIT, opening)
            .await
            .map_err(|_| ConnectError::Unreachable(address))??;
        if let Some(token) = token {
            let statement = format!("SET {SESSION_PARAMETER} = '{token}'");
            session.client.batch_execute(&statement).await?;
        }
        Ok(session)
    }

    async fn open(address: SocketAddr, tenant: &str, database: &str) -> Result<Self, ConnectError> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|_| ConnectError::Unreachable(address))?;
        // Without this the driver's small messages wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        let mut config = Config::new();
        config.user(tenant).dbname(database);
        let (client, connection) = config.connect_raw(stream, NoTls).await?;
        let connection = ConnectionState::Open(Box::new(connection));
        let connection = Arc::new(Mutex::new(connection));
        let driver = tokio::spawn(drive(Arc::clone(&connection)));
        Ok(Self {
            client,
            connection,
            driver,
        })
    }

    /// The driver's client, for what this type has no method for.
    pub fn driver(&self) -> &Client {
        &self.client
    }

    /// The session token of the latest reply.
    pub fn token(&self) -> Option<String> {
        lock(&self.connection).token()
    }

    /// True when the connection is over.
    pub fn is_closed(&self) -> bool {
        self.client.is_closed()
    }

    /// Runs a statement that changes rows; gives their number.
    pub async fn execute(&self, statement: &str, parameters: &[&(dyn ToSql + Sync)]) -> Reply<u64> {
        self.sort(self.client.execute(statement, parameters).await)
    }

    /// Runs a statement that gives rows.
    pub async fn query(
        &self,
        statement: &str,
        parameters: &[&(dyn ToSql + Sync)],
    ) -> Reply<Vec<Row>> {
        self.sort(self.client.query(statement, parameters).await)
    }

    /// Runs statements without parameters; gives the first column of each row as text.
    pub async fn texts(&self, statements: &str) -> Reply<Vec<String>> {
        let result = self.client.simple_query(statements).await;
        self.sort(result.map(|messages| first_columns(&messages)))
    }

    /// Runs statements without parameters and drops what they give.
    pub async fn run(&self, statements: &str) -> Reply<()> {
        self.sort(self.client.batch_execute(statements).await)
    }

    /// Sorts a result. The driver hands an error of the server to the request that waits; when
    /// none waited, the error ended the connection, and a later request was never sent.
    fn sort<T>(&self, result: Result<T, tokio_postgres::Error>) -> Reply<T> {
        let is_closed = result.as_ref().is_err_and(|error| error.is_closed());
        match (&*lock(&self.connection), is_closed) {
            (
                ConnectionState::Ended {
                    last_word: Some(error),
                    ..
                },
                true,
            ) => Reply::from_database_error(error),
            _ => Reply::from_result(result),
        }
    }
}

impl fmt::Debug for SessionClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("SessionClient")
            .finish_non_exhaustive()
    }
}

impl Drop for SessionClient {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn first_columns(messages: &[SimpleQueryMessage]) -> Vec<String> {
    let column = |message: &SimpleQueryMessage| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    };
    messages.iter().filter_map(column).collect()
}

/// Passes messages until the connection ends. The lock is held only while messages are taken in,
/// so a reply that the client has is never newer than the parameters that can be read.
async fn drive(connection: Arc<Mutex<ConnectionState>>) {
    poll_fn(|context| {
        loop {
            let mut state = lock(&connection);
            let ConnectionState::Open(open) = &mut *state else {
                return Poll::Ready(());
            };
            match ready!(open.poll_message(context)) {
                Some(Ok(_)) => {}
                ended => {
                    let error = ended.and_then(Result::err);
                    let last_word =
                        error.and_then(|error| error.as_db_error().cloned().map(Box::new));
                    let token = state.token();
                    *state = ConnectionState::Ended { token, last_word };
                }
            }
        }
    })
    .await;
}

fn lock(connection: &Mutex<ConnectionState>) -> MutexGuard<'_, ConnectionState> {
    connection.lock().unwrap_or_else(PoisonError::into_inner)
}
