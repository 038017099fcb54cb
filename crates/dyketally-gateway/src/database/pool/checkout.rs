//! A connection of a pool in use.

use std::rc::Rc;

use dyketally::eligibility::Permission;
use dyketally::identifiers::DatabaseName;
use tokio::time::Instant;

use super::Pool;
use super::guards::{Pinned, Running};
use crate::database::connection::{Answer, Broken, Connection};
use crate::measures::Stage;
use crate::statement::batch::Batch;

/// A connection in use. Dropping it closes the connection; [`Checkout::give_back`] keeps it.
pub struct Checkout {
    pool: Rc<Pool>,
    connection: Option<Connection>,
    pinned: Option<Pinned>,
    /// Set from the time at which something may run to the end of what runs.
    running: Option<Running>,
}

impl Checkout {
    pub(super) fn new(
        pool: Rc<Pool>,
        connection: Connection,
        pinned: Option<Pinned>,
        running: Running,
    ) -> Self {
        Self {
            pool,
            connection: Some(connection),
            pinned,
            running: Some(running),
        }
    }

    /// The database that it leads to.
    pub fn database(&self) -> &DatabaseName {
        &self.pool.database
    }

    /// Waits for its turn to run a batch that goes on with a transaction. Whoever needs leave for the
    /// batch asks for it behind this wait.
    pub async fn wait_for_turn(&mut self, batch: &Batch) {
        if self.running.is_none() && batch.takes_slot() {
            self.running = Some(self.pool.turn().await);
        }
    }

    /// Runs a batch, for which `permission` was obtained.
    ///
    /// # Errors
    /// The connection broke; any of the steps may have run.
    pub async fn run(
        &mut self,
        batch: &Batch,
        permission: Permission,
    ) -> Result<Vec<Answer>, Broken> {
        debug_assert!(permission.is_for(self.database()));
        self.wait_for_turn(batch).await;
        let connection = self
            .connection
            .as_mut()
            .expect("a checkout has its connection until it is given back");
        let began = Instant::now();
        let silence = self.pool.gate.borrow().silence();
        let run = connection.run(batch);
        tokio::pin!(run);
        let answers = match tokio::time::timeout(silence, &mut run).await {
            Ok(answers) => answers?,
            Err(_) => {
                self.running = None;
                run.await?
            }
        };
        self.running = None;
        self.pool.measures.spent(Stage::Database, began.elapsed());
        self.pool.note_answers(&answers, began.elapsed());
        Ok(answers)
    }

    /// Returns the connection for others to use. It must be outside any transaction.
    pub fn give_back(mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        self.pinned = None;
        self.running = None;
        connection.idle_since = Instant::now();
        if self.pool.open.get() > self.pool.limit.get() {
            drop(connection);
            self.pool.closed();
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
            self.pool.closed();
        }
    }
}
