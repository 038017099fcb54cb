//! Serves statements: requests, the choice of a database, reads, writes and transactions.
//!
//! [`Statements`] serves single statements (`read`, `write`) and those of a [`transaction`], which is owned
//! by its session. Both collect the inputs of the rules in [`crate::decision`] and carry out their results:
//! `choose` finds a database, `attempt` sends to it, `ending` decides why a statement ends and what its
//! caller receives. [`dispatch`] tracks whether a statement may have run.
//!
//! The only state is the time of the last log line about a group that no database may serve. Depends on
//! `database`, on `fleet` for access to databases, and on `succession` for leadership.

mod attempt;
mod choose;
pub mod dispatch;
pub mod ending;
pub mod read;
pub mod request;
pub mod transaction;
mod unserved;
pub mod write;

use std::rc::Rc;

use self::unserved::UnservedLog;
use crate::context::Context;
use crate::database::Databases;
use crate::fleet::access::DatabaseAccess;
use crate::succession::Leadership;

/// Serves statements of callers.
pub struct Statements {
    cx: Rc<Context>,
    databases: Rc<Databases>,
    access: Rc<DatabaseAccess>,
    leadership: Rc<Leadership>,
    unserved: UnservedLog,
}

impl Statements {
    /// Serves statements with the databases that `access` reaches.
    pub fn new(
        cx: Rc<Context>,
        access: Rc<DatabaseAccess>,
        leadership: Rc<Leadership>,
    ) -> Rc<Self> {
        Rc::new(Self {
            cx,
            databases: access.databases.clone(),
            access,
            leadership,
            unserved: UnservedLog::default(),
        })
    }
}
