//! The nodes: who runs, what they tell each other, and whose connections they use.

pub mod holders;
pub mod home;
pub mod homes;
pub mod link;
pub mod liveness;
pub mod member;
pub mod membership;
pub mod message;
pub mod passed_over;
pub mod peer;
pub mod relay;
pub mod traffic;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use self::homes::Homes;
use self::link::Links;
use self::membership::Membership;
use self::peer::Peers;
use self::traffic::Traffic;
use crate::context::Context;

/// The nodes as this one knows and talks to them.
pub struct Fleet {
    /// What all parts share.
    pub cx: Rc<Context>,
    /// Nodes and the duty of replacing primaries.
    pub membership: Membership,
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
    pub fn new(cx: Rc<Context>) -> Rc<Self> {
        Rc::new(Self {
            cx,
            membership: Membership::default(),
            peers: RefCell::default(),
            traffic: Traffic::default(),
            homes: Homes::default(),
            links: Links::default(),
            calls: Cell::new(0),
        })
    }
}
