//! The messages of a link to a home. They are encoded in postcard, which depends on the order of variants
//! and fields: nodes of different builds talk to each other.

use std::borrow::Cow;

use dyketally::identifiers::DatabaseName;
use serde::{Deserialize, Serialize};

use crate::database::batch::Batch;
use crate::database::claim::{Refusal, Work};
use crate::database::connection::{Answer, Broken};
use crate::ports::DatabaseUser;

/// A batch for a database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call<'a> {
    /// The database.
    pub database: DatabaseName,
    /// Rank under scarcity; 0 goes first.
    pub priority: u32,
    /// How long the call may take to reach the database, in milliseconds.
    pub patience_ms: u32,
    /// How long the call may wait behind others while their queue evens out a burst, in
    /// milliseconds.
    pub burst_ms: u32,
    /// The same while their queue stands.
    pub standing_ms: u32,
    /// What the connection is wanted for.
    pub work: Work,
    /// In whose name the connection must be open; `None` where any will do.
    pub user: Option<DatabaseUser>,
    /// What to run; only the receiver has one of its own.
    pub batch: Cow<'a, Batch>,
}

/// What became of a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum CallReply {
    /// The answers.
    Answers(Vec<Answer>),
    /// No step was run.
    Refused(Refusal),
    /// No step was run, since the home is about to stop: ask another.
    Leaving,
    /// The connection to the database broke; any step may have run.
    Broken(String),
}

/// Why a call has no answers.
#[derive(Clone, Debug)]
pub enum CallError {
    /// No step was run.
    NotRun(Refusal),
    /// The connection to the database broke; any step may have run.
    DatabaseBroke(Broken),
    /// The home didn't answer; any step may have run.
    HomeLost(Broken),
}
