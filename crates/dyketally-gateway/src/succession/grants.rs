//! The failover coordinator's grants: nodes ask it several times a second, most by way of their relay,
//! and receive with each reply which fences stand.
//!
//! A node that is lost or cut off together with a primary has no grant half a second later, so a successor
//! needn't wait until its contact with the store has ended. `dyketally::failover::Contact` calls the grant
//! the short contact. Owns the questions that may yet be answered; relies on the
//! record of the coordinator and on the relay that this node follows.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::{GRANT_INTERVAL, SHORT_HOLDS};
use dyketally::time::Timestamp;
use rand::seq::IteratorRandom;

use crate::context::Context;
use crate::database::Databases;
use crate::fleet::Fleet;
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::Peers;
use crate::store::feed::Feed;

/// Questions for a grant that may yet be answered.
#[derive(Debug)]
struct Questions {
    /// Drawn at random at first: a former process of this node may have asked as well.
    next_round: u64,
    asked: VecDeque<(u64, Timestamp)>,
}

impl Default for Questions {
    fn default() -> Self {
        Self {
            next_round: rand::random::<u32>().into(),
            asked: VecDeque::new(),
        }
    }
}

impl Questions {
    fn ask(&mut self, now: Timestamp) -> u64 {
        let round = self.next_round;
        self.next_round += 1;
        self.asked.push_back((round, now));
        self.asked
            .retain(|(_, asked)| now.saturating_since(*asked) < SHORT_HOLDS);
        round
    }

    fn asked_at(&self, round: u64) -> Option<Timestamp> {
        let mut asked = self.asked.iter();
        asked.find(|(known, _)| *known == round).map(|(_, at)| *at)
    }
}

/// Asks for grants, and replies to other nodes that ask.
pub struct Grants {
    cx: Rc<Context>,
    fleet: Rc<Fleet>,
    databases: Rc<Databases>,
    feed: Rc<Feed>,
    questions: RefCell<Questions>,
}

impl Grants {
    /// Grants that aren't asked for yet.
    pub fn new(fleet: Rc<Fleet>, databases: Rc<Databases>, feed: Rc<Feed>) -> Rc<Self> {
        Rc::new(Self {
            cx: fleet.cx.clone(),
            fleet,
            databases,
            feed,
            questions: RefCell::default(),
        })
    }

    /// The reply to a node that asks for a grant: the coordinator grants it, all others report the age of
    /// their own.
    pub fn grant_reply(&self, round: u64) -> PeerMessage {
        let now = self.cx.now();
        let contact = self.cx.contact.borrow_mut();
        let granted = match self.fleet.coordinator.may_grant() {
            true => Some(Duration::ZERO),
            false => contact.granted_age(now),
        };
        let majority = contact.majority_age(now);
        let majority = majority.filter(|_| contact.is_long_held(now));
        PeerMessage::ContactReply {
            round,
            granted_ms: age_ms(granted),
            majority_ms: age_ms(majority),
            fenced: self.databases.standing_fences(),
        }
    }

    /// Records a reply, once the fences that stand where it comes from have been recorded.
    pub fn receive_grant(&self, round: u64, granted_ms: Option<u32>, majority_ms: Option<u32>) {
        let Some(asked) = self.questions.borrow().asked_at(round) else {
            return;
        };
        let mut contact = self.cx.contact.borrow_mut();
        if let Some(age) = granted_ms {
            contact.granted(asked - Duration::from_millis(age.into()));
        }
        // While this node is the coordinator only its own calls count.
        if let Some(age) = majority_ms
            && self.fleet.coordinator.last_term().is_none()
        {
            contact.majority_replied(asked - Duration::from_millis(age.into()));
        }
    }

    /// Asks for grants, forever.
    pub async fn run(self: Rc<Self>, peers: Rc<Peers>) {
        loop {
            let now = self.cx.now();
            if self.fleet.coordinator.may_grant() {
                self.cx.contact.borrow_mut().granted(now);
            } else {
                let round = self.questions.borrow_mut().ask(now);
                for source in self.sources() {
                    peers.send(source, &PeerMessage::ContactAsked { round });
                }
            }
            tokio::time::sleep(GRANT_INTERVAL).await;
        }
    }

    /// Whom this node asks: its relay, which is near; the coordinator while it has none. Where no grant
    /// comes by way of these, the coordinator and some other node of its zone, which may have a better
    /// relay.
    fn sources(&self) -> impl Iterator<Item = SocketAddr> {
        let relay = self.feed.relay();
        let is_late = self.cx.contact.borrow_mut().is_grant_late(self.cx.now());
        let coordinator = self.fleet.coordinator.address();
        let coordinator = coordinator.filter(|_| relay.is_none() || is_late);
        let neighbour = is_late.then(|| self.some_neighbour()).flatten();
        relay.into_iter().chain(coordinator).chain(neighbour)
    }

    fn some_neighbour(&self) -> Option<SocketAddr> {
        let own = &self.cx.settings.node;
        let nodes = self.fleet.membership.nodes();
        let others = nodes.values().filter(|node| node.node != own.name);
        let neighbours = others.filter(|node| node.locality.zone == own.zone);
        let neighbour = neighbours.choose(&mut rand::rng())?;
        Some(neighbour.address)
    }
}

/// The age of a grant in milliseconds, rounded up; `None` if it has ended.
fn age_ms(age: Option<Duration>) -> Option<u32> {
    let age = age.filter(|age| *age < SHORT_HOLDS)?;
    u32::try_from(age.as_millis() + u128::from(age > Duration::ZERO)).ok()
}
