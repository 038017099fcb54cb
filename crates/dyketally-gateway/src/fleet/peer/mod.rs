//! The socket for datagrams between nodes.
//!
//! Owns the socket and the rounds of questions that are open. Datagrams may get lost: who needs a reply
//! asks again. What concerns higher layers is answered by them, see [`PeerRequests`].

mod poll;
mod requests;
mod rounds;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::quota::Decision;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::fleet::access::DatabaseAccess;
use crate::fleet::message::PeerMessage;

pub use self::poll::{Poll, Vote};
pub use self::requests::PeerRequests;
pub use self::rounds::Replies;
use self::rounds::Rounds;

/// For longer than this no node counts a sign of life that this one gave it. Not measured.
const SIGN_OF_LIFE_HOLDS: Duration = Duration::from_millis(1_200);
/// How long a node may take to reply that it is reached, and how often it is asked: regions lie 20 ms
/// apart, and a datagram may get lost. Not measured.
const REACH_LIMIT: Duration = Duration::from_millis(70);
const REACH_TRIES: u32 = 2;
/// Longest datagram, in bytes; well below what a path carries in one piece.
const LONGEST_DATAGRAM: usize = 1_024;

/// The socket that nodes talk over.
pub struct Peers {
    access: Rc<DatabaseAccess>,
    socket: UdpSocket,
    polls: Rounds<Vote>,
    fence_rounds: Rounds<FenceReply>,
    life_rounds: Rounds<SocketAddr>,
    permit_rounds: Rounds<Decision>,
    reach_rounds: Rounds<()>,
    next_round: Cell<u64>,
    heartbeats: RefCell<Option<mpsc::UnboundedSender<SocketAddr>>>,
    /// Nodes that asked this one for a sign of life, and when.
    asked_by: RefCell<HashMap<SocketAddr, Instant>>,
}

/// What one node replied to a fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FenceReply {
    /// Where the node listens for others.
    pub from: SocketAddr,
    /// True when the database has answered it since the suspicion.
    pub contested: bool,
    /// Nodes to which it has lately given a sign of life.
    pub heard: Vec<SocketAddr>,
}

impl Peers {
    /// Takes over a bound socket.
    pub fn new(access: Rc<DatabaseAccess>, socket: UdpSocket) -> Rc<Self> {
        Rc::new(Self {
            access,
            socket,
            polls: Rounds::default(),
            fence_rounds: Rounds::default(),
            life_rounds: Rounds::default(),
            permit_rounds: Rounds::default(),
            reach_rounds: Rounds::default(),
            next_round: Cell::new(1),
            heartbeats: RefCell::default(),
            asked_by: RefCell::default(),
        })
    }

    /// Receives messages until the process ends; `requests` answers those that concern higher layers.
    pub async fn run(self: Rc<Self>, requests: Rc<dyn PeerRequests>) {
        let mut buffer = [0_u8; LONGEST_DATAGRAM];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // A former datagram wasn't delivered: its address refuses them. That is a loss like others.
                continue;
            };
            // What can't be read is dropped: a newer build may know more kinds.
            if let Ok(message) = postcard::from_bytes(&buffer[..length]) {
                self.receive(&requests, from, message);
            }
        }
    }

    /// Nodes that may count this one among those that replied to them lately.
    pub fn heard(&self) -> Vec<SocketAddr> {
        let mut asked_by = self.asked_by.borrow_mut();
        asked_by.retain(|_, at| at.elapsed() < SIGN_OF_LIFE_HOLDS);
        asked_by.keys().copied().collect()
    }

    /// Sends one message; it may get lost.
    pub fn send(&self, to: SocketAddr, message: &PeerMessage) {
        if let Ok(bytes) = postcard::to_stdvec(message) {
            self.access
                .fleet
                .count_sent(message.kind(), to, bytes.len());
            // A datagram that can't be sent is one that got lost.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    /// Sends one message to all other nodes.
    pub fn broadcast(&self, message: &PeerMessage) {
        let own = &self.access.fleet.cx.settings.node.name;
        for address in self.access.fleet.membership.others(own) {
            self.send(address, message);
        }
    }

    /// Sends one message to all other nodes that may run, listed or not.
    pub fn broadcast_to_electorate(&self, message: &PeerMessage) {
        let own = &self.access.fleet.cx.settings.node.name;
        for address in self.access.fleet.membership.electorate(own) {
            self.send(address, message);
        }
    }

    /// True when the node at `address` replies to a datagram soon.
    pub async fn is_reached(&self, address: SocketAddr) -> bool {
        let mut replies = self.collect_reach_replies();
        let message = PeerMessage::ReachAsked {
            round: replies.round,
        };
        for _ in 0..REACH_TRIES {
            self.send(address, &message);
            let reply = tokio::time::timeout(REACH_LIMIT, replies.receiver.recv());
            if matches!(reply.await, Ok(Some(()))) {
                return true;
            }
        }
        false
    }

    /// Where the nodes listen whose heartbeats arrive from now on.
    pub fn heartbeats(&self) -> mpsc::UnboundedReceiver<SocketAddr> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *self.heartbeats.borrow_mut() = Some(sender);
        receiver
    }

    /// Collects the replies to a fence.
    pub fn collect_fence_replies(&self) -> Replies<FenceReply> {
        self.fence_rounds.open(self.next_round())
    }

    /// Collects signs of life: the addresses of the nodes that reply.
    pub fn collect_signs_of_life(&self) -> Replies<SocketAddr> {
        self.life_rounds.open(self.next_round())
    }

    /// Collects the decision on a question for permits.
    pub fn collect_permits(&self) -> Replies<Decision> {
        self.permit_rounds.open(self.next_round())
    }

    /// Collects the replies of nodes that are reached.
    pub fn collect_reach_replies(&self) -> Replies<()> {
        self.reach_rounds.open(self.next_round())
    }

    /// A number for the next round of any kind.
    fn next_round(&self) -> u64 {
        let round = self.next_round.get();
        self.next_round.set(round + 1);
        round
    }
}
