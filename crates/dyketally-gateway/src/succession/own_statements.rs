//! Statements that the gateway runs at databases on its own behalf: to get their status, to check whether
//! they lead, and for the steps of a failover. Owns nothing; relies on the fleet's access to databases.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dyketally::admission::QueueTimeouts;
use dyketally::eligibility::{Permission, ServingRegions};
use dyketally::statement::{DatabaseStatus, FailureKind};
use tokio::time::Instant;

use crate::database::batch::Batch;
use crate::database::connection::Answer;
use crate::database::connection_request::{ConnectionRequest, ConnectionUse};
use crate::database::pool::GATEWAY_PRIORITY;
use crate::database::target::Target;
use crate::fleet::access::DatabaseAccess;
use crate::fleet::connection::DatabaseConnection;
use crate::ports::OwnStatement;

/// Queue timeout of the gateway's own statements for a connection. It equals the time limit of a
/// confirmation.
pub(super) const OWN_QUEUE_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before a busy database is asked for its status again: short compared with the time limits of status
/// requests, which are 300 to 400 ms.
const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// A connection checked out for the gateway's own statements. Dropping it closes the connection.
pub(super) struct OwnConnection {
    access: Rc<DatabaseAccess>,
    target: Target,
    connection: DatabaseConnection,
}

impl OwnConnection {
    /// Runs a batch of the gateway's own statements; `None` if it wasn't answered.
    pub(super) async fn run(&mut self, batch: &Batch) -> Option<Vec<Answer>> {
        let target = &self.target;
        let permission = Permission::control(&target.name);
        let exchange = self
            .access
            .exchange(&mut self.connection, target, batch, permission);
        exchange.await.ok()
    }

    /// Returns the connection to its pool. No transaction may be open on it.
    pub(super) fn give_back(self) {
        self.connection.give_back();
    }
}

/// Runs the gateway's own statements.
pub struct OwnStatements {
    access: Rc<DatabaseAccess>,
}

impl OwnStatements {
    /// Creates the part; statements run on connections of `access`.
    pub fn new(access: Rc<DatabaseAccess>) -> Rc<Self> {
        Rc::new(Self { access })
    }

    /// Checks out a connection to `target` for `connection_use`; `None` if there is none by `deadline`.
    pub(super) async fn connect(
        &self,
        target: &Target,
        deadline: Instant,
        connection_use: ConnectionUse,
    ) -> Option<OwnConnection> {
        let request = ConnectionRequest {
            priority: GATEWAY_PRIORITY,
            deadline,
            queue_timeout: QueueTimeouts {
                burst: OWN_QUEUE_TIMEOUT,
                standing: OWN_QUEUE_TIMEOUT,
            },
            connection_use,
            user: None,
            regions: ServingRegions::anywhere(),
        };
        let values = BTreeMap::new();
        let connection = self.access.connect(target, &values, request).await.ok()?;
        Some(OwnConnection {
            access: self.access.clone(),
            target: target.clone(),
            connection,
        })
    }

    /// Runs a statement that the database answers with its status; `None` without such an answer within `limit`.
    pub(super) async fn ask_status(
        &self,
        target: &Target,
        statement: OwnStatement,
        limit: Duration,
    ) -> Option<DatabaseStatus> {
        let until = Instant::now() + limit;
        let request = self.ask_until_free(target, statement, until);
        tokio::time::timeout_at(until, request).await.ok()?
    }

    /// Runs `statement`, and repeats it while the database answers that it is busy.
    async fn ask_until_free(
        &self,
        target: &Target,
        statement: OwnStatement,
        until: Instant,
    ) -> Option<DatabaseStatus> {
        let protocol = &self.access.databases.connector.protocol;
        loop {
            let mut connection = self.connect(target, until, ConnectionUse::Control).await?;
            let batch = Batch::of_gateway([statement.clone()]);
            let answers = connection.run(&batch).await?;
            let answer = answers.into_iter().next()?;
            connection.give_back();
            match answer.end {
                Ok(_) => return protocol.status(answer.rows.first()?),
                Err(failure) if failure.kind == FailureKind::Busy => {
                    tokio::time::sleep(BUSY_PAUSE).await;
                }
                // Dropped: a database that refuses counts as one that didn't reply. The log of a survey shows it
                // as a candidate without a received position.
                Err(_) => return None,
            }
        }
    }
}
