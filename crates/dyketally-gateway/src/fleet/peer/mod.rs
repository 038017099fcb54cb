//! The UDP socket for datagrams between nodes.
//!
//! Owns the socket and the open rounds of requests. Datagrams may get lost, so a caller that needs a reply
//! has to repeat its request. Requests that concern higher layers are passed to [`PeerRequests`].

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

/// No node counts a sign of life that this node sent it for longer than this.
const SIGN_OF_LIFE_VALIDITY: Duration = Duration::from_millis(1_200);
/// How long a node may take to reply to one request of [`Peers::is_reachable`]: regions are 20 ms apart.
const REACH_TIMEOUT: Duration = Duration::from_millis(70);
/// Number of requests that [`Peers::is_reachable`] sends: one datagram may get lost.
const REACH_ATTEMPTS: u32 = 2;
/// Longest datagram that is received, in bytes; well below the smallest MTU of a path.
const LONGEST_DATAGRAM: usize = 1_024;

/// The socket for datagrams between nodes.
pub struct Peers {
    access: Rc<DatabaseAccess>,
    socket: UdpSocket,
    polls: Rounds<Vote>,
    fence_rounds: Rounds<FenceReply>,
    sign_of_life_rounds: Rounds<SocketAddr>,
    permit_rounds: Rounds<Decision>,
    reach_rounds: Rounds<()>,
    next_round: Cell<u64>,
    heartbeats: RefCell<Option<mpsc::UnboundedSender<SocketAddr>>>,
    /// Nodes that requested a sign of life from this node, each with the time of the last request.
    sign_of_life_requesters: RefCell<HashMap<SocketAddr, Instant>>,
}

/// The reply of one node to a request to set a fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FenceReply {
    /// The address at which the replying node listens for other nodes.
    pub from: SocketAddr,
    /// True when the node hasn't set the fence, since the database has answered it after the suspicion or
    /// the round of fences is over.
    pub contested: bool,
    /// Addresses of the nodes to which the replying node has recently sent a sign of life.
    pub recently_answered: Vec<SocketAddr>,
}

impl Peers {
    /// Creates the node's messaging on a bound socket.
    pub fn new(access: Rc<DatabaseAccess>, socket: UdpSocket) -> Rc<Self> {
        Rc::new(Self {
            access,
            socket,
            polls: Rounds::default(),
            fence_rounds: Rounds::default(),
            sign_of_life_rounds: Rounds::default(),
            permit_rounds: Rounds::default(),
            reach_rounds: Rounds::default(),
            next_round: Cell::new(1),
            heartbeats: RefCell::default(),
            sign_of_life_requesters: RefCell::default(),
        })
    }

    /// Receives messages until the process ends; `requests` handles those that concern higher layers.
    pub async fn run(self: Rc<Self>, requests: Rc<dyn PeerRequests>) {
        let mut buffer = [0_u8; LONGEST_DATAGRAM];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // An earlier datagram was refused at its destination (ICMP port unreachable). It counts as
                // lost.
                continue;
            };
            // A message that can't be decoded is dropped: a newer build may send further kinds.
            if let Ok(message) = postcard::from_bytes(&buffer[..length]) {
                self.receive(&requests, from, message);
            }
        }
    }

    /// Addresses of the nodes that may still count a sign of life that this node sent them.
    pub fn recently_answered(&self) -> Vec<SocketAddr> {
        let mut requesters = self.sign_of_life_requesters.borrow_mut();
        requesters.retain(|_, at| at.elapsed() < SIGN_OF_LIFE_VALIDITY);
        requesters.keys().copied().collect()
    }

    /// Sends a message to one node, without a guarantee that it arrives.
    pub fn send(&self, to: SocketAddr, message: &PeerMessage) {
        if let Ok(bytes) = postcard::to_stdvec(message) {
            self.access
                .fleet
                .count_sent(message.kind(), to, bytes.len());
            // A datagram that can't be sent counts as lost.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    /// Sends a message to all other nodes that the store lists.
    pub fn broadcast(&self, message: &PeerMessage) {
        let own = &self.access.fleet.cx.settings.node.name;
        for address in self.access.fleet.membership.others(own) {
            self.send(address, message);
        }
    }

    /// Sends a message to all other nodes that may run, whether or not the store lists them.
    pub fn broadcast_to_possibly_running(&self, message: &PeerMessage) {
        let own = &self.access.fleet.cx.settings.node.name;
        for address in self.access.fleet.membership.possibly_running(own) {
            self.send(address, message);
        }
    }

    /// True when the node at `address` replies to a datagram within `REACH_ATTEMPTS` times `REACH_TIMEOUT`.
    pub async fn is_reachable(&self, address: SocketAddr) -> bool {
        let mut replies = self.collect_reach_replies();
        let message = PeerMessage::ReachRequest {
            round: replies.round,
        };
        for _ in 0..REACH_ATTEMPTS {
            self.send(address, &message);
            let reply = tokio::time::timeout(REACH_TIMEOUT, replies.receiver.recv());
            if matches!(reply.await, Ok(Some(()))) {
                return true;
            }
        }
        false
    }

    /// Addresses of the nodes whose heartbeats arrive from now on. Replaces an earlier receiver.
    pub fn subscribe_heartbeats(&self) -> mpsc::UnboundedReceiver<SocketAddr> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *self.heartbeats.borrow_mut() = Some(sender);
        receiver
    }

    /// Opens a round that collects replies to [`PeerMessage::Fence`].
    pub fn collect_fence_replies(&self) -> Replies<FenceReply> {
        self.fence_rounds.open(self.next_round())
    }

    /// Opens a round that collects the addresses of the nodes that send a sign of life.
    pub fn collect_signs_of_life(&self) -> Replies<SocketAddr> {
        self.sign_of_life_rounds.open(self.next_round())
    }

    /// Opens a round that collects decisions on a request for permits.
    pub fn collect_permits(&self) -> Replies<Decision> {
        self.permit_rounds.open(self.next_round())
    }

    /// Opens a round that collects replies to [`PeerMessage::ReachRequest`].
    pub fn collect_reach_replies(&self) -> Replies<()> {
        self.reach_rounds.open(self.next_round())
    }

    /// The next unused round number; rounds of all kinds share the sequence.
    fn next_round(&self) -> u64 {
        let round = self.next_round.get();
        self.next_round.set(round + 1);
        round
    }
}
