//! A session's values and prepared statements, and the memory that they take.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use dyketally::budget::{
    Account, ENTRY_BYTES, FREE_BYTES, SESSION_STATE_BYTES, SESSION_STATE_ENTRIES,
};
use dyketally::statement::PreparedStatement;

use crate::context::memory::{MemoryBudget, Reservation};

/// The values and prepared statements of a session.
#[derive(Default)]
pub(super) struct Variables {
    values: Rc<BTreeMap<String, String>>,
    prepared: HashMap<String, PreparedStatement>,
    /// Bytes of the texts by which the session was opened.
    opening_bytes: usize,
    value_bytes: usize,
    prepared_bytes: usize,
    /// The bytes beyond the free ones.
    reservation: Option<Reservation>,
}

/// Why a session can't hold more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum StateLimit {
    /// The session has used up what a session may hold.
    #[error(
        "the session's values and prepared statements have reached the limit of {SESSION_STATE_ENTRIES} or of \
         {SESSION_STATE_BYTES} bytes; deallocate some, or use several sessions"
    )]
    Session,
    /// The sessions of this node have used up the memory for their state.
    #[error(
        "this node's memory for values and prepared statements is used up; connect to another node"
    )]
    Node,
}

impl Variables {
    /// The state of a session that was opened by texts of `opening_bytes` bytes.
    pub(super) fn of_session(
        opening_bytes: usize,
        memory: &MemoryBudget,
    ) -> Result<Self, StateLimit> {
        let mut variables = Self::default();
        variables.grow(memory, 0, opening_bytes)?;
        variables.opening_bytes = opening_bytes;
        Ok(variables)
    }

    /// The session's values.
    pub(super) fn values(&self) -> &Rc<BTreeMap<String, String>> {
        &self.values
    }

    /// The statement that is prepared under `name`.
    pub(super) fn prepared(&self, name: &str) -> Option<&PreparedStatement> {
        self.prepared.get(name)
    }

    /// Sets a value.
    pub(super) fn set(
        &mut self,
        memory: &MemoryBudget,
        name: String,
        value: String,
    ) -> Result<(), StateLimit> {
        let former = self.values.get(&name);
        let former = former.map_or(0, |value| entry_bytes(&name, value));
        let bytes = entry_bytes(&name, &value);
        self.grow(memory, former, bytes)?;
        self.value_bytes = self.value_bytes - former + bytes;
        Rc::make_mut(&mut self.values).insert(name, value);
        Ok(())
    }

    /// Prepares a statement.
    pub(super) fn prepare(
        &mut self,
        memory: &MemoryBudget,
        name: String,
        prepared: PreparedStatement,
    ) -> Result<(), StateLimit> {
        let former = self.prepared.get(&name);
        let former = former.map_or(0, |prepared| entry_bytes(&name, &prepared.shape));
        let bytes = entry_bytes(&name, &prepared.shape);
        self.grow(memory, former, bytes)?;
        self.prepared_bytes = self.prepared_bytes - former + bytes;
        self.prepared.insert(name, prepared);
        Ok(())
    }

    /// Forgets a prepared statement.
    pub(super) fn deallocate(&mut self, name: &str) {
        let Some((name, prepared)) = self.prepared.remove_entry(name) else {
            return;
        };
        self.prepared_bytes -= entry_bytes(&name, &prepared.shape);
        let reserved = self.bytes().saturating_sub(FREE_BYTES) as u64;
        if let Some(reservation) = &mut self.reservation {
            reservation.shrink_to(reserved);
        }
    }

    /// Bytes of state that a statement takes along to a database: the values, and the prepared statement that it
    /// runs.
    pub(super) fn carried_bytes(&self, prepared: Option<&PreparedStatement>) -> usize {
        self.value_bytes + prepared.map_or(0, |prepared| prepared.shape.len())
    }

    fn bytes(&self) -> usize {
        self.opening_bytes + self.value_bytes + self.prepared_bytes
    }

    /// Reserves the memory for an entry of `bytes` bytes, of which `former` were held before.
    fn grow(
        &mut self,
        memory: &MemoryBudget,
        former: usize,
        bytes: usize,
    ) -> Result<(), StateLimit> {
        let entries = self.values.len() + self.prepared.len() + usize::from(former == 0);
        let wanted = self.bytes() - former + bytes;
        if entries > SESSION_STATE_ENTRIES || wanted > SESSION_STATE_BYTES {
            return Err(StateLimit::Session);
        }
        let wanted = wanted.saturating_sub(FREE_BYTES) as u64;
        let reserved = self.reservation.as_ref().map_or(0, Reservation::bytes);
        if wanted <= reserved {
            return Ok(());
        }
        let more = memory.try_reserve(Account::SessionState, wanted - reserved);
        let more = more.ok_or(StateLimit::Node)?;
        match &mut self.reservation {
            Some(reservation) => reservation.merge(more),
            None => self.reservation = Some(more),
        }
        Ok(())
    }
}

fn entry_bytes(name: &str, text: &str) -> usize {
    name.len() + text.len() + ENTRY_BYTES
}
