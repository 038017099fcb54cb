//! The socket for datagrams between nodes, and the rounds of questions and replies over it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::Evidence;
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::quota::Decision;
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::fleet::message::PeerMessage;
use crate::gateway::Gateway;

/// For longer than this no node counts a sign of life that this one gave it.
const SIGN_OF_LIFE_HOLDS: Duration = Duration::from_millis(1_200);
/// How long a node may take to reply that it is reached, and how often it is asked: regions lie 20 ms
/// apart, and a datagram may get lost.
const REACH_LIMIT: Duration = Duration::from_millis(70);
const REACH_TRIES: u32 = 2;
const LONGEST_DATAGRAM: usize = 1_024;
/// Nodes that are asked about a primary.
const POLLED_AT_MOST: usize = 12;

/// The socket that nodes talk over.
pub struct Peers {
    gateway: Rc<Gateway>,
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

/// Who waits for the replies of which round.
type Rounds<T> = Rc<RefCell<HashMap<u64, mpsc::UnboundedSender<T>>>>;

/// The replies of one round, collected until it is dropped.
pub struct Replies<T> {
    /// Names the round in questions and replies.
    pub round: u64,
    /// The replies.
    pub receiver: mpsc::UnboundedReceiver<T>,
    rounds: Rounds<T>,
}

impl<T> Drop for Replies<T> {
    fn drop(&mut self) {
        self.rounds.borrow_mut().remove(&self.round);
    }
}

/// What one node replied to a fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FenceReply {
    /// Where the node hears others.
    pub from: SocketAddr,
    /// True when the database has answered it since the suspicion.
    pub contested: bool,
    /// Nodes to which it has lately given a sign of life.
    pub heard: Vec<SocketAddr>,
}

/// What one node replied to a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// What it sees of the primary.
    pub evidence: Evidence,
    /// True when it has lost the store.
    pub store_lost: bool,
    /// Where the node hears others.
    pub from: SocketAddr,
}

/// A poll that collects votes until it is dropped.
pub struct Poll {
    /// How many other nodes were asked.
    pub asked: usize,
    /// The votes.
    pub votes: Replies<Vote>,
}

impl Peers {
    /// Takes over a bound socket.
    pub fn new(gateway: Rc<Gateway>, socket: UdpSocket) -> Rc<Self> {
        Rc::new(Self {
            gateway,
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

    /// Receives messages, forever.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = [0_u8; LONGEST_DATAGRAM];
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            if let Ok(message) = postcard::from_bytes(&buffer[..length]) {
                self.receive(from, message);
            }
        }
    }

    fn receive(self: &Rc<Self>, from: SocketAddr, message: PeerMessage) {
        match message {
            PeerMessage::Suspect { group, database } => {
                self.gateway.leadership.suspicions.record(group, database)
            }
            PeerMessage::Poll {
                poll,
                group,
                database,
            } => {
                self.gateway.cx.store_health.check.notify_one();
                let peers = self.clone();
                tokio::task::spawn_local(async move {
                    let evidence = peers
                        .gateway
                        .leadership
                        .suspicions
                        .evidence(&group, &database)
                        .await;
                    let store_lost = peers.gateway.cx.store_health.is_lost();
                    if let Some(evidence) = evidence {
                        let vote = PeerMessage::Vote {
                            poll,
                            evidence,
                            store_lost,
                        };
                        peers.send(from, &vote);
                    }
                });
            }
            PeerMessage::Vote {
                poll,
                evidence,
                store_lost,
            } => {
                let vote = Vote {
                    evidence,
                    store_lost,
                    from,
                };
                pass_on(&self.polls, poll, vote);
            }
            PeerMessage::Fence {
                round,
                database,
                id,
                suspected_ms,
            } => {
                let suspected = Duration::from_millis(suspected_ms.into());
                let contested = !self.gateway.databases.fence(&database, id, suspected);
                let reply = PeerMessage::FenceReply {
                    round,
                    contested,
                    heard: self.heard(),
                };
                self.send(from, &reply);
            }
            PeerMessage::FenceReply {
                round,
                contested,
                heard,
            } => {
                let reply = FenceReply {
                    from,
                    contested,
                    heard,
                };
                pass_on(&self.fence_rounds, round, reply);
            }
            PeerMessage::LiftFence { database, id } => {
                self.gateway.databases.lift_round(&database, id)
            }
            PeerMessage::AreYouThere { round } => {
                self.asked_by.borrow_mut().insert(from, Instant::now());
                let gateway = &self.gateway;
                let fenced = gateway.databases.standing_fences();
                self.send(from, &PeerMessage::Here { round, fenced });
            }
            PeerMessage::Here { round, fenced } => {
                self.gateway
                    .databases
                    .heard_of_fences(fenced, "a sign of life");
                pass_on(&self.life_rounds, round, from);
            }
            PeerMessage::ContactAsked { round } => {
                let told = self.gateway.leadership.grants.grant_reply(round);
                self.send(from, &told);
            }
            PeerMessage::ContactTold {
                round,
                granted_ms,
                majority_ms,
                fenced,
            } => {
                self.gateway
                    .databases
                    .heard_of_fences(fenced, "a reply about contact");
                self.gateway
                    .leadership
                    .grants
                    .receive_grant(round, granted_ms, majority_ms);
            }
            PeerMessage::HeartbeatAsked => self.send(from, &PeerMessage::Heartbeat),
            PeerMessage::Heartbeat => {
                if let Some(heartbeats) = self.heartbeats.borrow().as_ref() {
                    // The process may be about to stop.
                    let _ = heartbeats.send(from);
                }
            }
            PeerMessage::RelaysAsked { zone } => {
                let relays = self.gateway.feed.relays_for(&zone);
                self.send(from, &PeerMessage::Relays { relays });
            }
            PeerMessage::Relays { relays } => self.gateway.fleet.membership.relays_named(relays),
            PeerMessage::PermitAsked {
                round,
                tenant,
                wanted,
                role,
            } => {
                if let Some(decision) = self.gateway.quotas.account(&tenant, wanted, role) {
                    self.send(from, &PeerMessage::PermitDecided { round, decision });
                }
            }
            PeerMessage::PermitDecided { round, decision } => {
                pass_on(&self.permit_rounds, round, decision);
            }
            PeerMessage::ReachAsked { round } => {
                self.send(from, &PeerMessage::ReachReply { round });
            }
            PeerMessage::ReachReply { round } => pass_on(&self.reach_rounds, round, ()),
            PeerMessage::Ends { node } => self.gateway.fleet.membership.ended(&node),
            PeerMessage::HasDuty { record } => {
                self.gateway.fleet.coordinator.receive_announcement(record)
            }
            PeerMessage::Leads { database, .. } => {
                let mut directory = self.gateway.databases.directory.borrow_mut();
                directory.acted_as_primary(&database);
                drop(directory);
                self.gateway.databases.lift_fence(&database);
            }
        }
    }

    /// Nodes that may count this one among those they are in touch with.
    pub fn heard(&self) -> Vec<SocketAddr> {
        let mut asked_by = self.asked_by.borrow_mut();
        asked_by.retain(|_, at| at.elapsed() < SIGN_OF_LIFE_HOLDS);
        asked_by.keys().copied().collect()
    }

    /// Sends one message; it may get lost.
    pub fn send(&self, to: SocketAddr, message: &PeerMessage) {
        if let Ok(bytes) = postcard::to_stdvec(message) {
            self.gateway
                .fleet
                .count_sent(message.kind(), to, bytes.len());
            // A datagram that can't be sent is one that got lost.
            let _ = self.socket.try_send_to(&bytes, to);
        }
    }

    /// Sends one message to all other nodes.
    pub fn broadcast(&self, message: &PeerMessage) {
        let own = &self.gateway.cx.settings.node.name;
        for address in self.gateway.fleet.membership.others(own) {
            self.send(address, message);
        }
    }

    /// Sends one message to all other nodes that may run, listed or not.
    pub fn broadcast_to_electorate(&self, message: &PeerMessage) {
        let own = &self.gateway.cx.settings.node.name;
        for address in self.gateway.fleet.membership.electorate(own) {
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

    fn polled(&self, database: &DatabaseName) -> Vec<SocketAddr> {
        let own = &self.gateway.cx.settings.node.name;
        let mut polled = self.gateway.fleet.homes_of(database);
        let mut others = self.gateway.fleet.membership.electorate(own);
        others.retain(|address| !polled.contains(address));
        others.shuffle(&mut rand::rng());
        // The database's own zone or region may be lost with it, and couldn't tell.
        if let Some(locality) = self.gateway.databases.locality_of(database) {
            let near = self.gateway.fleet.membership.near(&locality);
            others.sort_by_key(|address| near.contains(address));
        }
        polled.extend(others);
        polled.truncate(POLLED_AT_MOST);
        polled
    }

    /// Asks other nodes what they see of a primary: its homes, and others drawn at random, since
    /// each of them may have to open a connection to find out.
    pub fn poll(&self, group: &GroupName, database: &DatabaseName) -> Poll {
        let votes = self.collect(&self.polls);
        let message = PeerMessage::Poll {
            poll: votes.round,
            group: group.clone(),
            database: database.clone(),
        };
        let polled = self.polled(database);
        for address in &polled {
            self.send(*address, &message);
        }
        Poll {
            asked: polled.len(),
            votes,
        }
    }

    /// Where the nodes listen whose heartbeats arrive from now on.
    pub fn heartbeats(&self) -> mpsc::UnboundedReceiver<SocketAddr> {
        let (sender, receiver) = mpsc::unbounded_channel();
        *self.heartbeats.borrow_mut() = Some(sender);
        receiver
    }

    /// Collects the replies to a fence.
    pub fn collect_fence_replies(&self) -> Replies<FenceReply> {
        self.collect(&self.fence_rounds)
    }

    /// Collects signs of life: the addresses of the nodes that reply.
    pub fn collect_signs_of_life(&self) -> Replies<SocketAddr> {
        self.collect(&self.life_rounds)
    }

    /// Collects the decision on a question for permits.
    pub fn collect_permits(&self) -> Replies<Decision> {
        self.collect(&self.permit_rounds)
    }

    /// Collects the replies of nodes that are reached.
    pub fn collect_reach_replies(&self) -> Replies<()> {
        self.collect(&self.reach_rounds)
    }

    fn collect<T>(&self, rounds: &Rounds<T>) -> Replies<T> {
        let round = self.next_round.get();
        self.next_round.set(round + 1);
        let (sender, receiver) = mpsc::unbounded_channel();
        rounds.borrow_mut().insert(round, sender);
        Replies {
            round,
            receiver,
            rounds: rounds.clone(),
        }
    }
}

fn pass_on<T>(rounds: &Rounds<T>, round: u64, reply: T) {
    if let Some(sender) = rounds.borrow().get(&round) {
        // The round may just have ended.
        let _ = sender.send(reply);
    }
}
