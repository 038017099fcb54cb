//! The nodes: which run, what they send each other, and whose connections to databases they use.
//!
//! Owns what is known of the nodes and of the failover coordinator, the socket for datagrams, the links
//! to other nodes, and the placement of connections: which nodes are the homes of a database. Gives the
//! layers above access to databases ([`access::DatabaseAccess`]), directly or by way of other nodes.
//!
//! Relies on the context and on `database`. Asks higher layers what to reply to datagrams
//! ([`peer::PeerRequests`]) and to serve subscriptions to the store ([`listener::ServeFeed`]).

pub mod access;
pub mod connection;
pub mod coordinator;
pub mod forwarding;
pub mod home;
mod home_search;
pub mod homes;
pub mod link;
pub mod listener;
pub mod membership;
pub mod message;
pub mod opening;
pub mod passed_over;
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

/// The nodes as this one knows and talks to them.
pub struct Fleet {
    /// What all parts share.
    pub cx: Rc<Context>,
    directory: SharedDirectory,
    /// The nodes that run.
    pub membership: Membership,
    /// Which of them is the failover coordinator.
    pub coordinator: CoordinatorState,
    /// The socket that nodes talk over, once it is bound.
    pub peers: RefCell<Option<Rc<Peers>>>,
    /// Where the bytes go that this process sends to other nodes.
    pub traffic: Traffic,
    /// Which nodes keep connections to which database.
    pub homes: Homes,
    /// Links to the homes of databases.
    pub links: Links,
    /// Calls of other nodes that run here, and their transactions that are open.
    pub calls: Cell<usize>,
}

impl Fleet {
    /// No other nodes are known yet.
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
