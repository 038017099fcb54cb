//! Opens connections to databases, directly or through another node.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dyketally::identifiers::{DatabaseName, GroupName};
use tokio::net::TcpStream;

use super::{Connection, OpenError};
use crate::ports::{DatabaseUser, SharedDatabaseProtocol};

/// Route to a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// To the database's own address.
    Direct(SocketAddr),
    /// Through the node at this address, which forwards the connection.
    Forwarded(SocketAddr),
}

/// Opens connections that another node forwards to a database.
#[async_trait(?Send)]
pub trait Forwarding {
    /// Connects to `database` through the node at address `node`.
    ///
    /// # Errors
    /// The node can't be reached.
    async fn connect(&self, node: SocketAddr, database: &DatabaseName) -> io::Result<TcpStream>;
}

/// The database to which a connection must be open; the database checks it.
#[derive(Clone, Copy, Debug)]
pub struct Destination<'a> {
    /// Group to which the database must belong.
    pub group: &'a GroupName,
    /// Name of the database.
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

    /// Opens a connection that stays in the name of `user`.
    ///
    /// # Errors
    /// The database can't be reached within `limit`, or rejects the connection.
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
