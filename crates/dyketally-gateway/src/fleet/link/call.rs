//! The messages of a link to a home. They are encoded in postcard, which depends on the order of variants
//! and fields: keep both, since nodes of different builds exchange these messages.

use std::borrow::Cow;

use dyketally::identifiers::DatabaseName;
use serde::{Deserialize, Serialize};

use crate::database::batch::Batch;
use crate::database::connection::{Answer, Disconnected};
use crate::database::connection_request::{ConnectionUse, Refusal};
use crate::ports::DatabaseUser;

/// A request to a home to run a batch at a database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call<'a> {
    /// The database.
    pub database: DatabaseName,
    /// Priority in queues when connections or slots are scarce; 0 goes first.
    pub priority: u32,
    /// How long the call may take to reach the database, in milliseconds.
    pub wait_limit_ms: u32,
    /// Queue timeout in milliseconds while the queue for a connection absorbs a burst.
    pub burst_ms: u32,
    /// Queue timeout in milliseconds while the queue for a connection is a standing queue, one that doesn't
    /// drain.
    pub standing_ms: u32,
    /// The kind of use that the connection is wanted for.
    pub connection_use: ConnectionUse,
    /// The user as which the connection must be open; `None` if any user will do.
    pub user: Option<DatabaseUser>,
    /// The batch to run: borrowed by the sender, owned by the receiver.
    pub batch: Cow<'a, Batch>,
}

/// The home's reply to a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CallReply {
    /// The answers to the steps that were run.
    Answers(Vec<Answer>),
    /// No step was run, for the reason given.
    Refused(Refusal),
    /// No step was run, since the home is about to stop. The caller may call another home.
    Leaving,
    /// The home's connection to the database broke, for the reason given; any step may have run.
    Broken(String),
}

/// Why a call has no answers.
#[derive(Clone, Debug)]
pub enum CallError {
    /// No step was run, for the reason given.
    NotRun(Refusal),
    /// The connection to the database broke; any step may have run.
    DatabaseBroke(Disconnected),
    /// The home didn't reply, or stops while a transaction is open; any step may have run.
    HomeLost(Disconnected),
}
