//! Opens connections to databases, directly or by way of another node.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dyketally::identifiers::{DatabaseName, GroupName};
use tokio::net::TcpStream;

use super::{Connection, OpenError};
use crate::ports::{DatabaseUser, SharedDatabaseProtocol};

/// How a database is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// At its own address.
    Direct(SocketAddr),
    /// By way of the node at this address, which forwards the connection.
    Forwarded(SocketAddr),
}

/// Asks other nodes to forward connections to databases.
#[async_trait(?Send)]
pub trait Forwarding {
    /// Connects to `database` by way of `node`.
    ///
    /// # Errors
    /// The node can't be reached.
    async fn connect(&self, node: SocketAddr, database: &DatabaseName) -> io::Result<TcpStream>;
}

/// The database that a connection must lead to.
#[derive(Clone, Copy, Debug)]
pub struct Destination<'a> {
    /// The group that it must belong to.
    pub group: &'a GroupName,
    /// Its name.
    pub database: &'a DatabaseName,
}

/// Opens connections to databases.
pub struct Connector {
    /// The protocol of databases.
    pub protocol: SharedDatabaseProtocol,
    forwarding: Rc<dyn Forwarding>,
}

impl Connector {
    /// A connector for databases that speak `protocol`.
    pub fn new(protocol: SharedDatabaseProtocol, forwarding: Rc<dyn Forwarding>) -> Rc<Self> {
        Rc::new(Self {
            protocol,
            forwarding,
        })
    }

    /// Connects in the name of `user`, for as long as the connection lives.
    ///
    /// # Errors
    /// The database can't be reached within `limit`, or turns the connection away.
    pub async fn open(
        &self,
        route: Route,
        to: Destination<'_>,
        user: DatabaseUser,
        limit: Duration,
    ) -> Result<Connection, OpenError> {
        let opening = Connection::open(self, route, to, user);
        match tokio::time::timeout(limit, opening).await {
            Ok(result) => result,
            Err(_) => Err(OpenError::Silent),
        }
    }

    pub(super) async fn dial(&self, route: Route, to: Destination<'_>) -> io::Result<TcpStream> {
        match route {
            Route::Direct(address) => TcpStream::connect(address).await,
            Route::Forwarded(node) => self.forwarding.connect(node, to.database).await,
        }
    }
}
