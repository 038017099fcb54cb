//! Grants of the failover coordinator: a node requests a grant, in most cases from its relay, and receives the
//! fences in force with each reply. Relays and nodes without one do so several times a second, since others depend on
//! their grants; a node that follows a relay does so when a statement needs it.
//!
//! When a node is lost or cut off together with a primary, its grant ends within half a second, so a
//! successor can be appointed without waiting until that node's contact with the store has ended.
//! [`dyketally::failover::Contact`] calls the grant the short contact. [`Grants`] owns the requests that may
//! still be answered; it relies on the record of the coordinator and on the relay that this node follows.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::{GRANT_INTERVAL, SHORT_CONTACT_DURATION};
use dyketally::time::Timestamp;
use rand::seq::IteratorRandom;

use crate::context::Context;
use crate::database::Databases;
use crate::fleet::Fleet;
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::Peers;
use crate::store::feed::Feed;

/// Requests for a grant whose replies still count.
#[derive(Debug)]
struct PendingRequests {
    /// Number of the next request. It starts at random, so that replies to a former process of this node don't
    /// count as replies to this one.
    next_round: u64,
    /// Number and time of each request.
    requested: VecDeque<(u64, Timestamp)>,
}

impl Default for PendingRequests {
    fn default() -> Self {
        Self {
            next_round: rand::random::<u32>().into(),
            requested: VecDeque::new(),
        }
    }
}

impl PendingRequests {
    /// Records a request made at `now`; returns its number.
    fn record(&mut self, now: Timestamp) -> u64 {
        let round = self.next_round;
        self.next_round += 1;
        self.requested.push_back((round, now));
        self.requested
            .retain(|(_, requested)| now.saturating_since(*requested) < SHORT_CONTACT_DURATION);
        round
    }

    fn requested_at(&self, round: u64) -> Option<Timestamp> {
        let mut requested = self.requested.iter();
        requested
            .find(|(known, _)| *known == round)
            .map(|(_, at)| *at)
    }
}

/// Requests grants for this node, and replies to other nodes' requests.
pub struct Grants {
    cx: Rc<Context>,
    fleet: Rc<Fleet>,
    databases: Rc<Databases>,
    feed: Rc<Feed>,
    pending: RefCell<PendingRequests>,
}

impl Grants {
    /// Creates the part; no grant is requested yet.
    pub fn new(fleet: Rc<Fleet>, databases: Rc<Databases>, feed: Rc<Feed>) -> Rc<Self> {
        Rc::new(Self {
            cx: fleet.cx.clone(),
            fleet,
            databases,
            feed,
            pending: RefCell::default(),
        })
    }

    /// The reply to another node's request for a grant: the coordinator grants it, any other node reports the
    /// age of its own grant.
    pub fn grant_reply(&self, round: u64) -> PeerMessage {
        let now = self.cx.now();
        let contact = self.cx.contact.borrow_mut();
        let granted = match self.fleet.coordinator.may_grant() {
            true => Some(Duration::ZERO),
            false => contact.granted_age(now),
        };
        let majority = contact.majority_age(now);
        let majority = majority.filter(|_| contact.long_is_valid(now));
        PeerMessage::ContactReply {
            round,
            granted_ms: age_ms(granted),
            majority_ms: age_ms(majority),
            fenced: self.databases.active_fences(),
        }
    }

    /// Records a reply to a request of this node. The fences of the same reply have to be recorded first.
    pub fn receive_grant(&self, round: u64, granted_ms: Option<u32>, majority_ms: Option<u32>) {
        let Some(requested) = self.pending.borrow().requested_at(round) else {
            return;
        };
        let mut contact = self.cx.contact.borrow_mut();
        if let Some(age) = granted_ms {
            contact.record_grant(requested - Duration::from_millis(age.into()));
            self.cx.contact.granted.notify_waiters();
        }
        // While this node is the coordinator, only its own rounds count as contact with a majority.
        if let Some(age) = majority_ms
            && self.fleet.coordinator.last_term().is_none()
        {
            contact.record_majority_reply(requested - Duration::from_millis(age.into()));
        }
    }

    /// Requests grants, forever: at each [`GRANT_INTERVAL`], or for statements that need one while this node follows a
    /// relay.
    pub async fn run(self: Rc<Self>, peers: Rc<Peers>) {
        loop {
            if self.feed.has_relay() {
                self.rest_until_wanted().await;
                self.request_until_granted(&peers).await;
            } else {
                self.cx.contact.borrow_mut().request_grants_regularly();
                self.request(&peers);
                tokio::time::sleep(GRANT_INTERVAL).await;
            }
        }
    }

    /// Waits until a statement needs a grant or this node follows no relay any more.
    async fn rest_until_wanted(&self) {
        self.cx.contact.borrow_mut().rest();
        tokio::select! {
            () = self.cx.contact.grant_wanted.notified() => {}
            () = self.feed.relay_changes() => {}
        }
        self.cx.contact.borrow_mut().end_rest(self.cx.now());
    }

    async fn request_until_granted(&self, peers: &Peers) {
        while self.feed.has_relay() {
            let granted = self.cx.contact.granted.notified();
            self.request(peers);
            if tokio::time::timeout(GRANT_INTERVAL, granted).await.is_ok() {
                return;
            }
        }
    }

    fn request(&self, peers: &Peers) {
        let now = self.cx.now();
        if self.fleet.coordinator.may_grant() {
            self.cx.contact.borrow_mut().record_grant(now);
            return;
        }
        let round = self.pending.borrow_mut().record(now);
        for target in self.targets() {
            peers.send(target, &PeerMessage::ContactRequest { round });
        }
    }

    /// The nodes that this node sends its requests to: its relay, which is near, or the coordinator while it
    /// follows no relay. While grants are late, also the coordinator and a random other node of its zone,
    /// which may follow a better relay.
    fn targets(&self) -> impl Iterator<Item = SocketAddr> {
        let relay = self.feed.relay();
        let is_late = self.cx.contact.borrow_mut().is_grant_late(self.cx.now());
        let coordinator = self.fleet.coordinator.address();
        let coordinator = coordinator.filter(|_| relay.is_none() || is_late);
        let neighbour = is_late.then(|| self.random_neighbour()).flatten();
        relay.into_iter().chain(coordinator).chain(neighbour)
    }

    fn random_neighbour(&self) -> Option<SocketAddr> {
        let own = &self.cx.settings.node;
        let nodes = self.fleet.membership.nodes();
        let others = nodes.values().filter(|node| node.node != own.name);
        let neighbours = others.filter(|node| node.locality.zone == own.zone);
        let neighbour = neighbours.choose(&mut rand::rng())?;
        Some(neighbour.address)
    }
}

/// The age of a grant in milliseconds, rounded up; `None` if the grant has ended.
fn age_ms(age: Option<Duration>) -> Option<u32> {
    let age = age.filter(|age| *age < SHORT_CONTACT_DURATION)?;
    u32::try_from(age.as_millis() + u128::from(age > Duration::ZERO)).ok()
}
