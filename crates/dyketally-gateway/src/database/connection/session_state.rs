//! The session state that a database holds for one connection: settings and prepared statements, left by the
//! session that used the connection last.
//!
//! Sessions share connections. Before a session's statements run, the connection is therefore given the
//! session's context, with as few commands as possible.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use dyketally::statement::{FailureKind, PreparedStatement};

use super::Answer;
use crate::database::batch::SessionContext;
use crate::ports::{DatabaseCommand, OwnStatement};

/// The names of a connection's prepared statements. They are as short as the shortest name that callers use, so that a
/// message for the database is never longer than the caller's.
const NAMES: &[u8; MAX_PREPARED] =
    b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ_-";
/// Maximum number of prepared statements of one connection. At this number the next context resets the
/// connection, which bounds the memory that the database uses for it.
const MAX_PREPARED: usize = 64;

/// Most bytes of settings and prepared statements that are kept for an idle connection. A connection with more is reset
/// before its next use, so that the memory is free as soon as the session's statement has run.
const KEPT_BYTES: usize = 16 << 10;

/// The settings and prepared statements that a connection has at its database.
#[derive(Debug, Default)]
pub(super) struct SessionState {
    values: Rc<BTreeMap<String, String>>,
    /// Names of the prepared statements on this connection.
    prepared: HashMap<PreparedStatement, String>,
    /// True when the state at the database may differ from this record.
    must_reset: bool,
}

impl SessionState {
    /// Has the connection reset before its next use if its state is uncertain.
    pub(super) fn reset_if(&mut self, is_uncertain: bool) {
        self.must_reset |= is_uncertain;
    }

    /// Forgets a long state, since no statement of its session is running any more.
    pub(super) fn forget_if_long(&mut self) {
        let values = self
            .values
            .iter()
            .map(|(name, value)| name.len() + value.len());
        let shapes = self.prepared.keys().map(|prepared| prepared.shape.len());
        if values.chain(shapes).sum::<usize>() > KEPT_BYTES {
            *self = Self {
                must_reset: true,
                ..Self::default()
            };
        }
    }

    /// Relative cost of giving the connection the settings `values`: 0 if no command is needed, 1 if settings must
    /// be sent, 2 if the connection must be reset first.
    pub(super) fn adoption_cost(&self, values: &BTreeMap<String, String>) -> u32 {
        if self.must_reset || !self.extends_to(values) {
            return 2;
        }
        u32::from(*self.values != *values)
    }

    /// True when `values` sets every setting that the connection has, so that no reset is needed.
    fn extends_to(&self, values: &BTreeMap<String, String>) -> bool {
        self.values.keys().all(|name| values.contains_key(name))
    }

    /// The commands that give the connection the state of `context`, and its name for the prepared statement. The
    /// commands must be sent before any other, since this record assumes that they ran.
    pub(super) fn adopt(
        &mut self,
        context: Option<&SessionContext>,
    ) -> (Vec<DatabaseCommand>, String) {
        let mut commands = Vec::new();
        let Some(SessionContext { values, prepared }) = context else {
            return (commands, String::new());
        };
        let full = self.prepared.len() >= MAX_PREPARED;
        if self.must_reset || full || !self.extends_to(values) {
            commands.push(DatabaseCommand::Own(OwnStatement::Reset));
            *self = Self::default();
        }
        for (name, value) in values.iter() {
            if self.values.get(name) != Some(value) {
                commands.push(DatabaseCommand::Own(OwnStatement::Set {
                    name: name.clone(),
                    value: value.clone(),
                }));
            }
        }
        self.values = values.clone();
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
        let name = char::from(NAMES[self.prepared.len()]).to_string();
        commands.push(DatabaseCommand::Own(OwnStatement::Prepare {
            name: name.clone(),
            prepared: prepared.clone(),
        }));
        self.prepared.insert(prepared.clone(), name.clone());
        name
    }

    /// Checks `answers`, of which the first `adopted` belong to the commands of [`SessionState::adopt`]. If one of
    /// those failed or a prepared statement was unknown, the connection is reset before its next use.
    pub(super) fn check_adoption(&mut self, answers: &[Answer], adopted: usize) {
        let (adoption, steps) = answers.split_at(adopted.min(answers.len()));
        let failed = adoption.iter().any(|answer| answer.end.is_err());
        let unknown = steps.iter().any(|answer| {
            matches!(&answer.end, Err(failure) if failure.kind == FailureKind::UnknownPrepared)
        });
        self.must_reset |= failed || unknown;
    }
}
