//! A connection of a pool in use.

use std::rc::Rc;

use dyketally::eligibility::{Denial, Permission};
use dyketally::identifiers::DatabaseName;
use tokio::time::Instant;

use super::Pool;
use super::guards::Held;
use crate::database::batch::Batch;
use crate::database::connection::{Answer, Broken, Connection};
use crate::measures::Stage;

/// A connection in use. Dropping it closes the connection; [`Checkout::give_back`] keeps it.
pub struct Checkout {
    pool: Rc<Pool>,
    connection: Option<Connection>,
    held: Held,
}

/// Why a batch has no answers.
#[derive(Clone, Debug, thiserror::Error)]
pub enum RunError {
    /// Nothing was sent.
    #[error(transparent)]
    Denied(#[from] Denial),
    /// Any of the steps may have run.
    #[error(transparent)]
    Broken(#[from] Broken),
}

impl Checkout {
    pub(super) fn new(pool: Rc<Pool>, connection: Connection, held: Held) -> Self {
        Self {
            pool,
            connection: Some(connection),
            held,
        }
    }

    /// The database that it leads to.
    pub fn database(&self) -> &DatabaseName {
        &self.pool.database
    }

    /// Waits for its turn to run a batch that goes on with a transaction. The permission
    /// for the batch is obtained after this wait, since it may change meanwhile.
    pub async fn wait_for_turn(&mut self, batch: &Batch) {
        if self.held.running.is_none() && batch.takes_slot() {
            self.held.running = Some(self.pool.turn().await);
        }
    }

    /// Runs a batch, for which `permission` was obtained; any that its database takes while it is cold
    /// waits for its turn there.
    ///
    /// # Errors
    /// The database is cold and takes nothing from this node for now; or the connection broke.
    pub async fn run(
        &mut self,
        batch: &Batch,
        permission: Permission,
    ) -> Result<Vec<Answer>, RunError> {
        debug_assert!(permission.is_for(self.database()));
        self.wait_for_turn(batch).await;
        self.pool.pacer.turn(batch.requests()).await?;
        self.held.reserved = None;
        let connection = self
            .connection
            .as_mut()
            .expect("a checkout has its connection until it is given back");
        let opened = connection.opened();
        let began = Instant::now();
        let silence = self.pool.gate.borrow().silence();
        let run = connection.run(batch);
        tokio::pin!(run);
        let answers = match tokio::time::timeout(silence, &mut run).await {
            Ok(answers) => answers,
            Err(_) => {
                self.held.running = None;
                run.await
            }
        };
        let answers = answers.inspect_err(|_| self.pool.pacer.may_have_restarted())?;
        self.pool.pacer.answered(opened);
        self.held.running = None;
        self.pool.measures.spent(Stage::Database, began.elapsed());
        self.pool.note_answers(&answers, began.elapsed());
        Ok(answers)
    }

    /// Returns the connection for others to use. It must be outside any transaction.
    pub fn give_back(mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        self.held.pinned = None;
        self.held.running = None;
        self.held.reserved = None;
        connection.idle_since = Instant::now();
        if self.pool.open.get() > self.pool.size.share() {
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
