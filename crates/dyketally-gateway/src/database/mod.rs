//! This node's view of the databases, and its connections to them.
//!
//! Owns the directory of announced databases, the connection pools, the health of each database, the evacuated
//! zones, the fences in force at this node, the rate limits for cold databases, and the observed positions and
//! lag of each group. Decides which database a statement may be sent to and checks out connections.
//!
//! Depends on the context and the database protocol. Through traits it uses the fleet, for this node's shares
//! of connections ([`ConnectionShares`]) and for forwarded connections
//! ([`Forwarding`](connection::Forwarding)), and succession, which watches primaries ([`PrimaryWatch`]).

pub mod availability;
pub mod batch;
mod checkout;
pub mod connection;
pub mod connection_request;
mod directory_changes;
mod eligibility;
mod evacuation;
mod fences;
pub mod group;
pub mod health;
pub mod pacer;
pub mod pool;
pub mod primary;
mod regions;
pub mod shares;
pub mod slow_start;
pub mod target;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};

use dyketally::directory::Directory;
use dyketally::eligibility::Evacuations;
use dyketally::failover::Fences;
use dyketally::freshness::LagEstimate;
use dyketally::identifiers::{DatabaseName, GroupName};
use tokio::time::Instant;

use self::connection::Connector;
use self::group::GroupState;
use self::health::DatabaseState;
use self::pacer::Pacer;
use self::primary::PrimaryWatch;
use self::shares::ConnectionShares;
use crate::context::Context;

/// The directory of announced databases, shared with the fleet, which assigns connections to nodes by it.
pub type SharedDirectory = Rc<RefCell<Directory>>;

/// The databases that this node knows, with its connections to them and what it observed of them.
pub struct Databases {
    cx: Rc<Context>,
    /// Opens connections to databases.
    pub connector: Rc<Connector>,
    /// Databases that announce themselves.
    pub directory: SharedDirectory,
    /// Pool and health of each database that this node has used.
    pub states: RefCell<HashMap<DatabaseName, Rc<DatabaseState>>>,
    /// Estimated replication lag, over the replicas of all groups.
    pub replica_lag: Cell<LagEstimate>,
    shares: Rc<dyn ConnectionShares>,
    primary_watch: RefCell<Option<Weak<dyn PrimaryWatch>>>,
    /// Evacuated zones, whose databases get no new statements.
    evacuations: RefCell<Evacuations>,
    /// Fences around databases that are being replaced as primaries.
    fences: RefCell<Fences>,
    /// Rate limits of databases while they are cold.
    pacers: RefCell<HashMap<DatabaseName, Rc<Pacer>>>,
    groups: RefCell<HashMap<GroupName, Rc<GroupState>>>,
    /// When the complete directory was last read from the store; `None` before the first time.
    directory_listed_at: Cell<Option<Instant>>,
    /// True while a task waits to remove databases that the last complete read of the directory lacked.
    removing_unlisted: Cell<bool>,
    /// True while a spawned task is about to apply the shares of connections.
    shares_pending: Cell<bool>,
}

impl Databases {
    /// Starts with the databases of `directory` and without connections.
    pub fn new(
        cx: Rc<Context>,
        directory: SharedDirectory,
        connector: Rc<Connector>,
        shares: Rc<dyn ConnectionShares>,
    ) -> Rc<Self> {
        Rc::new(Self {
            cx,
            connector,
            directory,
            states: RefCell::default(),
            replica_lag: Cell::default(),
            shares,
            primary_watch: RefCell::default(),
            evacuations: RefCell::default(),
            fences: RefCell::default(),
            pacers: RefCell::default(),
            groups: RefCell::default(),
            directory_listed_at: Cell::new(None),
            removing_unlisted: Cell::new(false),
            shares_pending: Cell::new(false),
        })
    }
}
