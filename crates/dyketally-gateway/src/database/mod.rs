//! Databases as this node knows and uses them: the directory of those that announce themselves, what was
//! observed of their groups, connections and pools of them, and their health.

pub mod availability;
pub mod batch;
pub mod claim;
pub mod connection;
pub mod group;
pub mod health;
pub mod loading;
pub mod pool;
pub mod target;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use dyketally::directory::Directory;
use dyketally::eligibility::Evacuations;
use dyketally::failover::Fences;
use dyketally::freshness::LagEstimate;
use dyketally::identifiers::{DatabaseName, GroupName};
use tokio::time::Instant;

use self::group::GroupState;
use self::health::DatabaseState;
use self::loading::Loading;
use crate::context::Context;
use crate::ports::SharedDatabaseProtocol;

/// The databases as this node knows and uses them.
pub struct Databases {
    /// What all parts share.
    pub cx: Rc<Context>,
    /// The protocol of databases.
    pub protocol: SharedDatabaseProtocol,
    /// The databases that announce themselves.
    pub directory: RefCell<Directory>,
    /// Databases as this node uses them.
    pub states: RefCell<HashMap<DatabaseName, Rc<DatabaseState>>>,
    /// Zones whose databases get nothing more.
    pub evacuations: RefCell<Evacuations>,
    /// Databases that are being replaced.
    pub fences: RefCell<Fences>,
    /// How databases may be loaded that have just started.
    pub loads: RefCell<HashMap<DatabaseName, Rc<Loading>>>,
    /// How far replicas usually are behind.
    pub replica_lag: Cell<LagEstimate>,
    groups: RefCell<HashMap<GroupName, Rc<GroupState>>>,
    /// When the directory was last read as a whole.
    pub listed: Cell<Option<Instant>>,
}

impl Databases {
    /// None are known yet.
    pub fn new(cx: Rc<Context>, protocol: SharedDatabaseProtocol) -> Rc<Self> {
        Rc::new(Self {
            cx,
            protocol,
            directory: RefCell::default(),
            states: RefCell::default(),
            evacuations: RefCell::default(),
            fences: RefCell::default(),
            loads: RefCell::default(),
            replica_lag: Cell::default(),
            groups: RefCell::default(),
            listed: Cell::new(None),
        })
    }

    /// How a database may be loaded.
    pub fn loading(&self, database: &DatabaseName) -> Rc<Loading> {
        let mut known = self.loads.borrow_mut();
        let new = || Loading::new(self.cx.contact.clone(), self.cx.clock.started());
        known.entry(database.clone()).or_insert_with(new).clone()
    }

    /// How all databases may be loaded that are known.
    pub fn loadings(&self) -> Vec<(DatabaseName, Rc<Loading>)> {
        let known = self.loads.borrow();
        let known = known.iter();
        known
            .map(|(name, loading)| (name.clone(), loading.clone()))
            .collect()
    }
}
