//! Statements that this node runs at databases on its own behalf: to learn their status, and whether they
//! lead. Owns nothing; relies on the fleet's access to databases.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dyketally::admission::Patience;
use dyketally::eligibility::{Permission, ServingRegions};
use dyketally::statement::{DatabaseStatus, FailureKind};
use tokio::time::Instant;

use crate::database::batch::Batch;
use crate::database::claim::{Claim, Work};
use crate::database::connection::Answer;
use crate::database::pool::OWN_PRIORITY;
use crate::database::target::Target;
use crate::fleet::access::DatabaseAccess;
use crate::fleet::connection::DatabaseConnection;
use crate::ports::OwnStatement;

/// How long a statement of this node's own may wait behind others for a connection: as long as a
/// confirmation may take. Not measured.
pub(super) const OWN_PATIENCE: Duration = Duration::from_millis(400);
/// Pause before a database that was busy is asked for its status again: short against the 300 to 400 ms
/// that the question may take. Not measured.
const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// A connection for statements of this node's own. Dropping it closes the connection.
pub(super) struct OwnConnection {
    access: Rc<DatabaseAccess>,
    target: Target,
    connection: DatabaseConnection,
}

impl OwnConnection {
    /// Runs statements of this node's own; the answers, if there are any.
    pub(super) async fn run(&mut self, batch: &Batch) -> Option<Vec<Answer>> {
        let target = &self.target;
        let permission = Permission::control(&target.name);
        let exchange = self
            .access
            .exchange(&mut self.connection, target, batch, permission);
        exchange.await.ok()
    }

    /// Returns the connection for others to use. It must be outside any transaction.
    pub(super) fn give_back(self) {
        self.connection.give_back();
    }
}

/// Runs statements of this node's own.
pub struct OwnStatements {
    access: Rc<DatabaseAccess>,
}

impl OwnStatements {
    /// Statements over connections by `access`.
    pub fn new(access: Rc<DatabaseAccess>) -> Rc<Self> {
        Rc::new(Self { access })
    }

    /// A connection for `work`, by `until` at the latest.
    pub(super) async fn connect(
        &self,
        target: &Target,
        until: Instant,
        work: Work,
    ) -> Option<OwnConnection> {
        let claim = Claim {
            priority: OWN_PRIORITY,
            until,
            patience: Patience {
                burst: OWN_PATIENCE,
                standing: OWN_PATIENCE,
            },
            work,
            user: None,
            regions: ServingRegions::anywhere(),
        };
        let values = BTreeMap::new();
        let connection = self.access.connect(target, &values, claim).await.ok()?;
        Some(OwnConnection {
            access: self.access.clone(),
            target: target.clone(),
            connection,
        })
    }

    /// Has a database carry out a statement that it answers with its status.
    pub(super) async fn ask_status(
        &self,
        target: &Target,
        statement: OwnStatement,
        limit: Duration,
    ) -> Option<DatabaseStatus> {
        let until = Instant::now() + limit;
        let asking = self.ask_until_free(target, statement, until);
        tokio::time::timeout_at(until, asking).await.ok()?
    }

    /// Asks again while the database is busy.
    async fn ask_until_free(
        &self,
        target: &Target,
        statement: OwnStatement,
        until: Instant,
    ) -> Option<DatabaseStatus> {
        let protocol = &self.access.databases.connector.protocol;
        loop {
            let mut connection = self.connect(target, until, Work::Control).await?;
            let batch = Batch::own([statement.clone()]);
            let answers = connection.run(&batch).await?;
            let answer = answers.into_iter().next()?;
            connection.give_back();
            match answer.end {
                Ok(_) => return protocol.status(answer.rows.first()?),
                Err(failure) if failure.kind == FailureKind::Busy => {
                    tokio::time::sleep(BUSY_PAUSE).await;
                }
                // Dropped: a database that refuses counts as one that didn't reply; the log of a failover
                // step shows it as a candidate without a position.
                Err(_) => return None,
            }
        }
    }
}
