//! The nodes of the gateway: which nodes run, the messages between them, and access to databases through
//! them.
//!
//! Owns the records of nodes and of the failover coordinator, the UDP socket for datagrams between nodes,
//! the links to other nodes, and the placement of connections. The homes of a database are the nodes that
//! keep connections to it; other nodes send their statements to a home. Gives the layers above access to
//! databases ([`access::DatabaseAccess`]), directly or through other nodes.
//!
//! Relies on the context and on `database`. Calls higher layers to reply to datagrams
//! ([`peer::PeerRequests`]) and to serve subscriptions to the store ([`listener::ServeFeed`]).

pub mod access;
pub mod connection;
pub mod coordinator;
pub mod forwarding;
pub mod home;
mod home_probe;
pub mod homes;
mod incoming;
pub mod link;
pub mod listener;
pub mod membership;
pub mod message;
pub mod opening;
pub mod passive_exclusions;
pub mod peer;
pub mod traffic;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use self::coordinator::CoordinatorState;
use self::homes::Homes;
use self::link::Links;
use self::membership::Membership;
use self::peer::Peers;
use self::traffic::Traffic;
use crate::context::Context;
use crate::database::SharedDirectory;

/// The nodes that this node knows, and its communication with them.
pub struct Fleet {
    /// The context that all parts of the process share.
    pub cx: Rc<Context>,
    directory: SharedDirectory,
    /// The nodes that run.
    pub membership: Membership,
    /// Which node is the failover coordinator.
    pub coordinator: CoordinatorState,
    /// The socket for datagrams between nodes; `None` until it is bound.
    pub peers: RefCell<Option<Rc<Peers>>>,
    /// Bytes that this process sent to other nodes, by receiver.
    pub traffic: Traffic,
    /// Which nodes keep connections to which database.
    pub homes: Homes,
    /// Links to the homes of databases.
    pub links: Links,
    /// Number of calls from other nodes that are running on this node, plus their open transactions.
    pub calls: Cell<usize>,
}

impl Fleet {
    /// Creates the state of a node that knows no other nodes yet.
    pub fn new(cx: Rc<Context>, directory: SharedDirectory) -> Rc<Self> {
        Rc::new(Self {
            cx,
            directory,
            membership: Membership::default(),
            coordinator: CoordinatorState::default(),
            peers: RefCell::default(),
            traffic: Traffic::default(),
            homes: Homes::default(),
            links: Links::default(),
            calls: Cell::new(0),
        })
    }
}
