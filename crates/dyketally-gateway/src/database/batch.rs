//! Batches: statements that are sent to a database together, on one connection of this node or of a home.
//!
//! Calls between nodes carry them in postcard, which depends on the order of variants and fields.

use std::collections::BTreeMap;

use bytes::Bytes;
use dyketally::group::LogPosition;
use dyketally::statement::PreparedStatement;
use serde::{Deserialize, Serialize};

use crate::ports::{DatabaseCommand, OwnStatement};

/// What the connection must know of a session before its statements run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionContext {
    /// The session's values.
    pub values: BTreeMap<String, String>,
    /// A statement that must be prepared.
    pub prepared: Option<PreparedStatement>,
}

/// One statement of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// One of the gateway's own.
    Own(OwnStatement),
    /// A caller's statement with its text unchanged, on a log that holds `after`.
    Run {
        /// The caller's name for the attempt.
        id: Bytes,
        /// The text.
        text: Bytes,
        /// The position that the log must hold.
        after: Option<LogPosition>,
    },
    /// The context's prepared statement, on a log that holds `after`.
    Execute {
        /// The caller's name for the attempt.
        id: Bytes,
        /// The caller's arguments.
        arguments: String,
        /// The position that the log must hold.
        after: Option<LogPosition>,
    },
}

impl Step {
    fn is_control(&self) -> bool {
        match self {
            Step::Own(statement) => matches!(
                statement,
                OwnStatement::Status
                    | OwnStatement::Suspend { .. }
                    | OwnStatement::Resume
                    | OwnStatement::StepDown { .. }
            ),
            Step::Run { .. } | Step::Execute { .. } => false,
        }
    }

    /// The command, where `name` is the connection's name for the prepared statement.
    pub fn command(&self, name: &str) -> DatabaseCommand {
        match self.clone() {
            Step::Own(statement) => DatabaseCommand::Own(statement),
            Step::Run { id, text, after } => DatabaseCommand::Run { id, text, after },
            Step::Execute {
                id,
                arguments,
                after,
            } => DatabaseCommand::Execute {
                id,
                name: name.to_owned(),
                arguments,
                after,
            },
        }
    }
}

/// How the steps of a batch follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Flow {
    /// All in one flush; each runs whatever became of the others.
    Together,
    /// One after the other, up to the first that fails.
    UntilFailure,
}

/// When the connection's values are uncertain after a batch, so that it is reset before its next
/// use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reset {
    /// Never.
    Never,
    /// After a step that failed.
    AfterFailure,
    /// In any case.
    Always,
}

/// Steps for one connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// What the connection must know; `None` when it doesn't matter.
    pub context: Option<SessionContext>,
    /// The steps.
    pub steps: Vec<Step>,
    /// How they follow each other.
    pub flow: Flow,
    /// When the connection is reset afterwards.
    pub reset: Reset,
}

impl Batch {
    /// Requests that count while the database is cold: all but those for a status and the steps of a
    /// succession, which are few and can't wait.
    pub fn requests(&self) -> u32 {
        let counted = self.steps.iter().filter(|step| !step.is_control());
        counted.count() as u32
    }

    /// True when the batch has a caller's statement, which takes a slot of the database.
    pub fn takes_slot(&self) -> bool {
        self.steps.iter().any(|step| !matches!(step, Step::Own(_)))
    }

    /// Statements of the gateway's own, for which no session's context matters.
    pub fn own(statements: impl IntoIterator<Item = OwnStatement>) -> Self {
        Self {
            context: None,
            steps: statements.into_iter().map(Step::Own).collect(),
            flow: Flow::Together,
            reset: Reset::Never,
        }
    }

    /// True when the batch begins with what only a leading database may answer.
    pub fn needs_leader(&self) -> bool {
        match self.steps.first() {
            Some(Step::Own(statement)) => *statement == OwnStatement::Begin,
            Some(Step::Run { after, .. } | Step::Execute { after, .. }) => after.is_none(),
            None => false,
        }
    }

    /// Steps of a session.
    pub fn of(context: SessionContext, steps: Vec<Step>) -> Self {
        Self {
            context: Some(context),
            steps,
            flow: Flow::Together,
            reset: Reset::Never,
        }
    }
}
