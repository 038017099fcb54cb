//! Batches: statements that run together on one database connection, of this node or of a home.
//!
//! Nodes send batches to each other in postcard, which depends on the order of variants and fields.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use dyketally::group::LogPosition;
use dyketally::statement::PreparedStatement;
use serde::{Deserialize, Serialize};

use crate::ports::{DatabaseCommand, OwnStatement};

/// The session state that a connection must have before the session's statements run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionContext {
    /// The session's settings, by name; shared with the session and with other attempts at the statement.
    pub values: Rc<BTreeMap<String, String>>,
    /// The prepared statement that [`Step::Execute`] runs; `None` if the batch has no such step.
    pub prepared: Option<PreparedStatement>,
}

/// One statement of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    /// A statement of the gateway's own.
    Own(OwnStatement),
    /// A caller's statement, its text unchanged.
    Run {
        /// The identifier that the caller gave the statement.
        id: Bytes,
        /// The statement's text.
        text: Bytes,
        /// The position that the database's log must hold; `None` where only the leader may run the statement.
        after: Option<LogPosition>,
    },
    /// The prepared statement of the batch's [`SessionContext`].
    Execute {
        /// The identifier that the caller gave the statement.
        id: Bytes,
        /// The caller's arguments.
        arguments: String,
        /// The position that the database's log must hold; `None` where only the leader may run the statement.
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

    /// The protocol command for this step; `name` is the connection's name for the prepared statement.
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

/// Whether the steps of a batch are pipelined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Flow {
    /// All steps are sent at once; each runs even if another one fails.
    Together,
    /// Each step is sent after the answer to the one before; the batch ends at the first step that fails.
    UntilFailure,
}

/// When a batch leaves the connection's session state uncertain, so that the connection is reset before its
/// next use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reset {
    /// The state stays certain.
    Never,
    /// The state is uncertain if a step failed.
    AfterFailure,
    /// The state is always uncertain.
    Always,
}

/// Steps that run in order on one connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The session state to establish first; `None` if the steps don't depend on it.
    pub context: Option<SessionContext>,
    /// The steps, in the order in which they run.
    pub steps: Vec<Step>,
    /// Whether the steps are pipelined.
    pub flow: Flow,
    /// When the connection is reset before its next use.
    pub reset: Reset,
}

impl Batch {
    /// Number of requests that count against a cold database's rate: all except status requests and the
    /// commands of a primary's replacement, which are few and can't wait.
    pub fn requests(&self) -> u32 {
        let counted = self.steps.iter().filter(|step| !step.is_control());
        counted.count() as u32
    }

    /// True when the batch contains a caller's statement, which takes a slot of the database.
    pub fn takes_slot(&self) -> bool {
        self.steps.iter().any(|step| !matches!(step, Step::Own(_)))
    }

    /// A batch of the gateway's own statements, which don't depend on session state.
    pub fn of_gateway(statements: impl IntoIterator<Item = OwnStatement>) -> Self {
        Self {
            context: None,
            steps: statements.into_iter().map(Step::Own).collect(),
            flow: Flow::Together,
            reset: Reset::Never,
        }
    }

    /// True when only the leader of the group may answer the first step.
    pub fn needs_leader(&self) -> bool {
        match self.steps.first() {
            Some(Step::Own(statement)) => *statement == OwnStatement::Begin,
            Some(Step::Run { after, .. } | Step::Execute { after, .. }) => after.is_none(),
            None => false,
        }
    }

    /// A batch of a session's steps, run with the session's state.
    pub fn for_session(context: SessionContext, steps: Vec<Step>) -> Self {
        Self {
            context: Some(context),
            steps,
            flow: Flow::Together,
            reset: Reset::Never,
        }
    }
}
