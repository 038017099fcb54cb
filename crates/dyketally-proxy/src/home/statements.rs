//! Prepared statements that one connection has, bounded by evicting the least recently used.

use std::collections::HashMap;

use dyketally_protocol::StatementName;

/// Prepared statements that a connection keeps.
pub const STATEMENTS_PER_CONNECTION: usize = 100;

/// The prepared statements of one connection.
#[derive(Debug)]
pub struct StatementCache {
    last_used: HashMap<StatementName, u64>,
    capacity: usize,
    uses: u64,
}

impl StatementCache {
    /// An empty cache that holds up to `capacity` statements.
    pub fn new(capacity: usize) -> Self {
        Self {
            last_used: HashMap::new(),
            capacity,
            uses: 0,
        }
    }

    /// True when the connection has `statement`; counts as a use.
    pub fn touch(&mut self, statement: &StatementName) -> bool {
        self.uses += 1;
        match self.last_used.get_mut(statement) {
            Some(last_used) => {
                *last_used = self.uses;
                true
            }
            None => false,
        }
    }

    /// The database has prepared `statement`.
    pub fn insert(&mut self, statement: StatementName) {
        self.uses += 1;
        self.last_used.insert(statement, self.uses);
    }

    /// Removes the statements that must be closed to make room for `additional` ones, least
    /// recently used first, but none used after `batch_start`.
    pub fn make_room(&mut self, additional: usize, batch_start: u64) -> Vec<StatementName> {
        let mut evicted = Vec::new();
        while self.last_used.len() + additional > self.capacity {
            let Some(oldest) = self.least_recently_used(batch_start) else {
                break;
            };
            self.last_used.remove(&oldest);
            evicted.push(oldest);
        }
        evicted
    }

    /// Number of uses so far; statements touched later are newer than this.
    pub fn uses(&self) -> u64 {
        self.uses
    }

    fn least_recently_used(&self, batch_start: u64) -> Option<StatementName> {
        self.last_used
            .iter()
            .filter(|(_, last_used)| **last_used <= batch_start)
            .min_by_key(|(_, last_used)| **last_used)
            .map(|(statement, _)| statement.clone())
    }
}
