//! A caller that keeps its session while it roams between proxies.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::timeout;
use tokio_postgres::Row;
use tokio_postgres::types::ToSql;

use super::client::{ConnectError, SessionClient};
use super::reply::Reply;

/// Parameters of a statement.
pub type Parameters<'a> = &'a [&'a (dyn ToSql + Sync)];

/// Whom a caller connects as, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerSettings {
    /// The proxies, in the order in which the caller tries them.
    pub proxies: Vec<SocketAddr>,
    /// The tenant's name.
    pub tenant: String,
    /// The database's name towards callers.
    pub database: String,
    /// Time after which the caller gives up on a statement and leaves the proxy.
    pub patience: Duration,
}

/// A caller: one session at a time, carried on by its token.
#[derive(Debug)]
pub struct Caller {
    settings: CallerSettings,
    current: usize,
    session: Option<SessionClient>,
    token: Option<String>,
}

impl Caller {
    /// A caller that begins at the proxy with number `first`.
    pub fn new(settings: CallerSettings, first: usize) -> Self {
        Self {
            settings,
            current: first,
            session: None,
            token: None,
        }
    }

    /// The session token that the caller carries.
    pub fn token(&self) -> Option<&str> {
        self.token.as_deref()
    }

    /// Leaves the present proxy; the next statement goes to the one with number `proxy`.
    pub fn roam(&mut self, proxy: usize) {
        self.session = None;
        self.current = proxy;
    }

    /// Leaves the present proxy for the next of the list.
    pub fn move_on(&mut self) {
        self.roam(self.current + 1);
    }

    /// The open session, opened at the present proxy if there is none.
    ///
    /// # Errors
    /// When the proxy can't be reached or refuses; the next attempt goes to the next proxy.
    pub async fn session(&mut self) -> Result<&SessionClient, ConnectError> {
        if self.session.as_ref().is_some_and(SessionClient::is_closed) {
            self.move_on();
        }
        if self.session.is_none() {
            match self.open().await {
                Ok(session) => self.session = Some(session),
                Err(error) => {
                    self.move_on();
                    return Err(error);
                }
            }
        }
        let address = self.address();
        self.session
            .as_ref()
            .ok_or(ConnectError::Unreachable(address))
    }

    /// Runs a statement that changes rows.
    pub async fn execute(&mut self, statement: &str, parameters: Parameters<'_>) -> Reply<u64> {
        let patience = self.settings.patience;
        let session = match self.session().await {
            Ok(session) => session,
            Err(error) => return not_connected(&error),
        };
        let reply = timeout(patience, session.execute(statement, parameters)).await;
        self.settle(reply.ok())
    }

    /// Runs a statement that gives rows.
    pub async fn query(&mut self, statement: &str, parameters: Parameters<'_>) -> Reply<Vec<Row>> {
        let patience = self.settings.patience;
        let session = match self.session().await {
            Ok(session) => session,
            Err(error) => return not_connected(&error),
        };
        let reply = timeout(patience, session.query(statement, parameters)).await;
        self.settle(reply.ok())
    }

    /// Runs statements without parameters; gives the first column of each row as text.
    pub async fn texts(&mut self, statements: &str) -> Reply<Vec<String>> {
        let patience = self.settings.patience;
        let session = match self.session().await {
            Ok(session) => session,
            Err(error) => return not_connected(&error),
        };
        let reply = timeout(patience, session.texts(statements)).await;
        self.settle(reply.ok())
    }

    /// Runs statements without parameters and drops what they give.
    pub async fn run(&mut self, statements: &str) -> Reply<()> {
        let patience = self.settings.patience;
        let session = match self.session().await {
            Ok(session) => session,
            Err(error) => return not_connected(&error),
        };
        let reply = timeout(patience, session.run(statements)).await;
        self.settle(reply.ok())
    }

    /// Takes over the token of the reply. Without a reply the proxy is left.
    fn settle<T>(&mut self, reply: Option<Reply<T>>) -> Reply<T> {
        let token = self.session.as_ref().and_then(SessionClient::token);
        self.token = token.or(self.token.take());
        let Some(reply) = reply else {
            self.move_on();
            return Reply::Unknown;
        };
        reply
    }

    fn address(&self) -> SocketAddr {
        let proxies = &self.settings.proxies;
        proxies[self.current % proxies.len()]
    }

    async fn open(&self) -> Result<SessionClient, ConnectError> {
        let CallerSettings {
            tenant, database, ..
        } = &self.settings;
        let address = self.address();
        let opening = SessionClient::connect(address, tenant, database, self.token());
        let opened = timeout(self.settings.patience, opening).await;
        opened.map_err(|_| ConnectError::Unreachable(address))?
    }
}

fn not_connected<T>(error: &ConnectError) -> Reply<T> {
    let reason = error.to_string();
    Reply::NotConnected { reason }
}
