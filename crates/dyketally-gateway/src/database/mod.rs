//! Databases as this node knows and uses them.
//!
//! Owns the directory of databases that announce themselves, their connections and health, the zones
//! that are evacuated, the fences that stand here, the pace at which cold databases are loaded, and what
//! was observed of each group. Answers which database a statement may be sent to, and hands out
//! connections.
//!
//! Relies on the context and the protocol of databases. Asks the fleet for this node's shares of
//! connections ([`ConnectionShares`]) and to forward connections ([`Forwarding`](connection::Forwarding)),
//! and succession to watch primaries ([`PrimaryWatch`]).

pub mod availability;
pub mod batch;
mod checkout;
pub mod claim;
pub mod connection;
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

/// The databases that announce themselves, shared with the parts that place work by them.
pub type SharedDirectory = Rc<RefCell<Directory>>;

/// The databases as this node knows and uses them.
pub struct Databases {
    cx: Rc<Context>,
    /// Opens connections to them.
    pub connector: Rc<Connector>,
    /// Those that announce themselves.
    pub directory: SharedDirectory,
    /// Those that this node uses.
    pub states: RefCell<HashMap<DatabaseName, Rc<DatabaseState>>>,
    /// How far replicas usually are behind.
    pub replica_lag: Cell<LagEstimate>,
    shares: Rc<dyn ConnectionShares>,
    watch: RefCell<Option<Weak<dyn PrimaryWatch>>>,
    /// Zones whose databases get nothing more.
    evacuations: RefCell<Evacuations>,
    /// Databases that are being replaced.
    fences: RefCell<Fences>,
    /// How databases may be loaded that have just started.
    pacers: RefCell<HashMap<DatabaseName, Rc<Pacer>>>,
    groups: RefCell<HashMap<GroupName, Rc<GroupState>>>,
    /// When the directory was last read as a whole.
    listed: Cell<Option<Instant>>,
    /// True while a task waits for unlisted databases.
    settling: Cell<bool>,
    /// True while a task is about to apply the shares of connections.
    sharing_soon: Cell<bool>,
}

impl Databases {
    /// The databases of `directory`; none is used yet.
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
            watch: RefCell::default(),
            evacuations: RefCell::default(),
            fences: RefCell::default(),
            pacers: RefCell::default(),
            groups: RefCell::default(),
            listed: Cell::new(None),
            settling: Cell::new(false),
            sharing_soon: Cell::new(false),
        })
    }
}
