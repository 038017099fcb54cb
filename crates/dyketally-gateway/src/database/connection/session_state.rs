//! What a database holds for one connection: the values and prepared statements of the session that
//! used it last.
//!
//! Connections are shared by sessions, so before a session's statements run the connection is brought
//! to the session's context, with as few commands as possible.

use std::collections::{BTreeMap, HashMap};

use dyketally::statement::{FailureKind, PreparedStatement};

use super::Answer;
use crate::database::batch::SessionContext;
use crate::ports::{DatabaseCommand, OwnStatement};

/// Prepared statements that one connection keeps; one more resets it, which bounds what the database
/// holds for it. Not measured.
const PREPARED_AT_MOST: usize = 64;

/// The values and prepared statements that a connection has at its database.
#[derive(Debug, Default)]
pub(super) struct SessionState {
    values: BTreeMap<String, String>,
    /// The connection's names for its prepared statements.
    prepared: HashMap<PreparedStatement, String>,
    /// True when the database may hold something else than what is noted here.
    must_reset: bool,
}

impl SessionState {
    /// Has the connection reset before its next use.
    pub(super) fn reset_if(&mut self, is_uncertain: bool) {
        self.must_reset |= is_uncertain;
    }

    /// How much has to be sent before a session with `values` can use the connection: 0 for nothing.
    pub(super) fn distance(&self, values: &BTreeMap<String, String>) -> u32 {
        if self.must_reset || !self.extends_to(values) {
            return 2;
        }
        u32::from(&self.values != values)
    }

    fn extends_to(&self, values: &BTreeMap<String, String>) -> bool {
        self.values.keys().all(|name| values.contains_key(name))
    }

    /// The commands that bring the connection to `context`, which must be sent before anything
    /// else, and its name for the prepared statement.
    pub(super) fn adopt(
        &mut self,
        context: Option<&SessionContext>,
    ) -> (Vec<DatabaseCommand>, String) {
        let mut commands = Vec::new();
        let Some(SessionContext { values, prepared }) = context else {
            return (commands, String::new());
        };
        let full = self.prepared.len() >= PREPARED_AT_MOST;
        if self.must_reset || full || !self.extends_to(values) {
            commands.push(DatabaseCommand::Own(OwnStatement::Reset));
            *self = Self::default();
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                commands.push(DatabaseCommand::Own(OwnStatement::Set {
                    name: name.clone(),
                    value: value.clone(),
                }));
                self.values.insert(name.clone(), value.clone());
            }
        }
        let name = prepared.as_ref();
        let name = name.map(|prepared| self.prepare(prepared, &mut commands));
        (commands, name.unwrap_or_default())
    }

    fn prepare(
        &mut self,
        prepared: &PreparedStatement,
        commands: &mut Vec<DatabaseCommand>,
    ) -> String {
        if let Some(name) = self.prepared.get(prepared) {
            return name.clone();
        }
        let name = format!("p{}", self.prepared.len());
        commands.push(DatabaseCommand::Own(OwnStatement::Prepare {
            name: name.clone(),
            prepared: prepared.clone(),
        }));
        self.prepared.insert(prepared.clone(), name.clone());
        name
    }

    /// Checks the answers to `adopted` commands of [`SessionState::adopt`] and the statements behind
    /// them: a connection that isn't as was believed is reset before its next use.
    pub(super) fn check_adoption(&mut self, answers: &[Answer], adopted: usize) {
        let (adoption, steps) = answers.split_at(adopted.min(answers.len()));
        let failed = adoption.iter().any(|answer| answer.end.is_err());
        let unknown = steps.iter().any(|answer| {
            matches!(&answer.end, Err(failure) if failure.kind == FailureKind::UnknownPrepared)
        });
        self.must_reset |= failed || unknown;
    }
}
