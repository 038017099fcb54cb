//! What an admitted statement holds. Each part goes back where it came from when it is dropped.

use std::sync::Arc;

use dyketally::admission::Ticket;
use dyketally::pool::ConnectionId;
use dyketally::time::Timestamp;

use super::connection::Connection;
use super::dispatch::Dispatcher;
use super::dispatch_state::IdleConnection;

/// A slot, and a connection for a statement that had none.
#[derive(Debug)]
pub struct Grant {
    /// The connection; `None` for a statement of an open transaction, or when the connection
    /// that was meant for it turned out to be broken.
    pub connection: Option<PooledConnection>,
    /// The slot.
    pub slot: Slot,
}

/// The right to have one statement running.
#[derive(Debug)]
pub struct Slot {
    dispatcher: Arc<Dispatcher>,
    ticket: Ticket,
}

impl Slot {
    pub(super) fn new(dispatcher: Arc<Dispatcher>, ticket: Ticket) -> Self {
        Self { dispatcher, ticket }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.dispatcher.slot_finished(self.ticket);
    }
}

/// A connection in use. Dropping it returns it to the pool, or closes it when it can't be reused.
#[derive(Debug)]
pub struct PooledConnection {
    dispatcher: Arc<Dispatcher>,
    id: ConnectionId,
    held: Option<IdleConnection>,
    opened_at: Timestamp,
}

impl PooledConnection {
    pub(super) fn new(dispatcher: Arc<Dispatcher>, id: ConnectionId, held: IdleConnection) -> Self {
        Self {
            dispatcher,
            id,
            opened_at: held.opened_at,
            held: Some(held),
        }
    }

    /// When the connection was opened.
    pub fn opened_at(&self) -> Timestamp {
        self.opened_at
    }

    /// The connection itself.
    pub fn get(&mut self) -> &mut Connection {
        let held = self.held.as_mut();
        &mut held
            .expect("a connection in use is held until it is dropped")
            .connection
    }

    /// A transaction holds the connection from now on.
    pub fn pin(&self) {
        self.dispatcher.pin(self.id);
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(held) = self.held.take() {
            self.dispatcher.release(self.id, held);
        }
    }
}
