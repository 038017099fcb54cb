//! What load is offered to.

use std::net::SocketAddr;

use eyre::OptionExt;
use tokio_postgres::Statement;

use crate::testbed::{DATABASE, Row, SessionClient, Topology};

use super::{GROUP, TENANT};

/// Number of rows to read from.
const ROWS: usize = 100;

/// The value of each row.
const VALUE: &str = "100";

/// The measured statement.
const READ: &str = "SELECT value FROM stock WHERE key = $1";

/// The way from the client to the database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TargetKind {
    /// The client talks to a database.
    Direct,
    /// Edge and home of the database are one process.
    SameNode,
    /// Edge and home are two processes.
    TwoNodes,
}

impl TargetKind {
    /// How the target is called in results.
    pub(super) fn name(self) -> &'static str {
        match self {
            TargetKind::Direct => "straight to the database",
            TargetKind::SameNode => "edge and home in one proxy",
            TargetKind::TwoNodes => "edge and home in two proxies",
        }
    }
}

/// Where a client connects, and the session that it continues.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) kind: TargetKind,
    address: SocketAddr,
    token: Option<String>,
}

impl Target {
    /// A client with the statement prepared.
    pub(super) async fn connect(&self) -> eyre::Result<Reader> {
        let token = self.token.as_deref();
        let session = SessionClient::connect(self.address, TENANT, DATABASE, token).await?;
        let statement = session.driver().prepare(READ).await?;
        Ok(Reader {
            session,
            statement,
            next: 0,
        })
    }
}

/// A client that reads one row after the other.
#[derive(Debug)]
pub(super) struct Reader {
    session: SessionClient,
    statement: Statement,
    next: usize,
}

impl Reader {
    /// Reads a row and checks it.
    pub(super) async fn read(&mut self) -> eyre::Result<()> {
        let key = row_key(self.next % ROWS);
        self.next += 1;
        let client = self.session.driver();
        let row = client.query_one(&self.statement, &[&key]).await?;
        let value: &str = row.get(0);
        eyre::ensure!(value == VALUE, "read {value:?} instead of {VALUE:?}");
        Ok(())
    }
}

fn row_key(row: usize) -> String {
    format!("part-{row}")
}

/// Inserts the rows and waits until all replicas have them.
pub(super) async fn prepare_rows(topology: &Topology) -> eyre::Result<()> {
    let keys: Vec<String> = (0..ROWS).map(row_key).collect();
    let row = |key| Row { key, value: VALUE };
    let rows: Vec<Row<'_>> = keys.iter().map(|key| row(key.as_str())).collect();
    topology.insert(GROUP, "stock", &rows).await?;
    topology.group(GROUP).caught_up().await
}

/// The targets: a replica itself, the proxy in the replica's zone, and the proxy whose zone has
/// no database.
pub(super) async fn targets(topology: &Topology) -> eyre::Result<Vec<Target>> {
    let primary = topology.group(GROUP).primary().await?;
    let mut databases = topology.plan.databases.iter().enumerate();
    let replica = databases.find(|(_, database)| database.name != primary.name);
    let (number, replica) = replica.ok_or_eyre("the group has no replica")?;
    let edge = topology.plan.proxies.last().ok_or_eyre("no proxies")?;
    let token = Some(first_token(topology).await?);
    let target = |kind, address, token| Target {
        kind,
        address,
        token,
    };
    Ok(vec![
        target(TargetKind::Direct, replica.listen, None),
        target(
            TargetKind::SameNode,
            topology.plan.proxies[number].listen,
            token.clone(),
        ),
        target(TargetKind::TwoNodes, edge.listen, token),
    ])
}

/// A token that all replicas contain: without one, reads go to the primary.
async fn first_token(topology: &Topology) -> eyre::Result<String> {
    let edge = topology.plan.proxies.last().ok_or_eyre("no proxies")?;
    let session = SessionClient::connect(edge.listen, TENANT, DATABASE, None).await?;
    let statement = "INSERT INTO stock (key, value) VALUES ('last', '100')";
    session.run(statement).await.done()?;
    topology.group(GROUP).caught_up().await?;
    session
        .token()
        .ok_or_eyre("the write gave no session token")
}
