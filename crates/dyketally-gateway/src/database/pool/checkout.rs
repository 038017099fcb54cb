//! A connection that is checked out of a pool.

use std::rc::Rc;

use dyketally::eligibility::{Denial, Permission};
use dyketally::identifiers::DatabaseName;
use tokio::time::Instant;

use super::Pool;
use super::guards::Guards;
use crate::database::batch::Batch;
use crate::database::connection::{Answer, Connection, Disconnected};
use crate::measures::Stage;

/// A checked-out connection. Dropping it closes the connection; [`Checkout::give_back`] returns it to the pool.
pub struct Checkout {
    pool: Rc<Pool>,
    connection: Option<Connection>,
    guards: Guards,
}

/// Why a batch has no answers.
#[derive(Clone, Debug, thiserror::Error)]
pub enum RunError {
    /// The database is cold, and nothing was sent.
    #[error(transparent)]
    Denied(#[from] Denial),
    /// The connection broke; any of the steps may have run.
    #[error(transparent)]
    Broken(#[from] Disconnected),
}

impl Checkout {
    pub(super) fn new(pool: Rc<Pool>, connection: Connection, guards: Guards) -> Self {
        Self {
            pool,
            connection: Some(connection),
            guards,
        }
    }

    /// The database to which the connection is open.
    pub fn database(&self) -> &DatabaseName {
        &self.pool.database
    }

    /// Waits until the pool's gate admits a further batch of an open transaction. Obtain the permission for the
    /// batch after this wait, since eligibility may change meanwhile.
    pub async fn wait_for_turn(&mut self, batch: &Batch) {
        if self.guards.running.is_none() && batch.takes_slot() {
            self.guards.running = Some(self.pool.wait_to_continue().await);
        }
    }

    /// Runs a batch, for which `permission` was obtained. While the database is cold, the batch first waits until
    /// the database's rate admits it.
    ///
    /// # Errors
    /// The database is cold and this node may not send to it for now, or the connection broke.
    pub async fn run(
        &mut self,
        batch: &Batch,
        permission: Permission,
    ) -> Result<Vec<Answer>, RunError> {
        debug_assert!(permission.is_for(self.database()));
        self.wait_for_turn(batch).await;
        self.pool.pacer.wait_to_send(batch.requests()).await?;
        self.guards.reserved = None;
        let connection = self
            .connection
            .as_mut()
            .expect("a checkout has its connection until it is given back");
        let opened = connection.opening_began();
        let began = Instant::now();
        let silence = self.pool.gate.borrow().answer_lost_after();
        let run = connection.run(batch);
        tokio::pin!(run);
        let answers = match tokio::time::timeout(silence, &mut run).await {
            Ok(answers) => answers,
            Err(_) => {
                self.guards.running = None;
                run.await
            }
        };
        let answers = answers.inspect_err(|_| self.pool.pacer.record_possible_restart())?;
        self.pool.pacer.answered(opened);
        self.guards.running = None;
        self.pool
            .measures
            .record_stage(Stage::Database, began.elapsed());
        self.pool.record_answers(&answers, began.elapsed());
        Ok(answers)
    }

    /// Returns the connection to the pool. No transaction may be open on it.
    pub fn give_back(mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        self.guards.pinned = None;
        self.guards.running = None;
        self.guards.reserved = None;
        connection.rest();
        if self.pool.open.get() > self.pool.size.assigned_limit() {
            drop(connection);
            self.pool.connection_closed();
            return;
        }
        self.pool.idle.borrow_mut().push(connection);
        self.pool.close_surplus();
        self.pool.wake_next();
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.connection_closed();
        }
    }
}
