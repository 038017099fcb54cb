//! Statements on their way: requests, the choice of a database, reads, writes and transactions.
//!
//! [`Statements`] serves single statements (`read`, `write`); a [`transaction`] is held by its session and
//! served by the same part. Each collects what the rules in [`crate::decision`] ask for, and does as told:
//! `choose` finds a database, `attempt` sends to it, `ending` tells why a statement ends and what its caller
//! is told. [`dispatch`] keeps count of whether a statement may have run.
//!
//! Owns no state but when the log reported last that nothing may serve a group. Relies on `database`,
//! `fleet` for access to databases, and `succession` for who leads.

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

/// Serves statements.
pub struct Statements {
    cx: Rc<Context>,
    databases: Rc<Databases>,
    access: Rc<DatabaseAccess>,
    leadership: Rc<Leadership>,
    unserved: UnservedLog,
}

impl Statements {
    /// Serves statements from the databases that `access` reaches.
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
