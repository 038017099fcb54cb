//! The databases that one node doesn't take for leaders.

use std::collections::HashMap;
use std::time::Duration;

use crate::identifiers::DatabaseName;
use crate::time::Timestamp;

/// How long a fence stands that nobody lifts.
pub const FENCE_HOLDS: Duration = Duration::from_secs(8);

/// Fences by the time at which they were put up first, here or at the node that told of them.
///
/// Nodes tell each other of fences, so one that was lifted must not come back by way of a node that
/// doesn't know yet: what is heard counts only if it was put up after the last time that it was
/// lifted here, and never makes a fence last longer.
#[derive(Clone, Debug, Default)]
pub struct Fences {
    began: HashMap<DatabaseName, Timestamp>,
    lifted: HashMap<DatabaseName, Timestamp>,
}

impl Fences {
    /// Puts up a fence at `now`.
    pub fn put_up(&mut self, now: Timestamp, database: DatabaseName) {
        self.began
            .retain(|_, began| now.saturating_since(*began) < FENCE_HOLDS);
        self.lifted
            .retain(|_, lifted| now.saturating_since(*lifted) < FENCE_HOLDS);
        self.began.insert(database, now);
    }

    /// Takes in that another node has had a fence for `age`.
    pub fn heard(&mut self, now: Timestamp, database: DatabaseName, age: Duration) {
        let began = now - age;
        let was_lifted = self
            .lifted
            .get(&database)
            .is_some_and(|lifted| *lifted >= began);
        if !was_lifted {
            let known = self.began.entry(database).or_insert(began);
            *known = began.max(*known);
        }
    }

    /// Lifts a fence: the database leads, or isn't replaced.
    pub fn lift(&mut self, now: Timestamp, database: &DatabaseName) {
        self.began.remove(database);
        self.lifted.insert(database.clone(), now);
    }

    /// True while a database mustn't be taken for a leader.
    pub fn holds(&self, now: Timestamp, database: &DatabaseName) -> bool {
        let began = self.began.get(database);
        began.is_some_and(|began| now.saturating_since(*began) < FENCE_HOLDS)
    }

    /// The fences that stand, and for how long they have.
    pub fn standing(&self, now: Timestamp) -> Vec<(DatabaseName, Duration)> {
        let ages = self.began.iter();
        let ages = ages.map(|(database, began)| (database, now.saturating_since(*began)));
        let standing = ages.filter(|(_, age)| *age < FENCE_HOLDS);
        standing
            .map(|(database, age)| (database.clone(), age))
            .collect()
    }
}
