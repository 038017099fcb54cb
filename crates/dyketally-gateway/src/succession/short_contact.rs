//! The short contact: nodes ask the holder of the duty of replacing primaries several times a second how
//! lately they were in touch, most by way of their relay, and hear with each reply which fences stand.
//!
//! A node that is lost or cut off together with a primary has no short contact half a second later, so a
//! successor needn't wait until its contact with the store has ended.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::{GRANT_INTERVAL, SHORT_HOLDS};
use dyketally::time::Timestamp;
use rand::seq::IteratorRandom;

use crate::fleet::message::PeerMessage;
use crate::fleet::peer::Peers;
use crate::gateway::Gateway;

/// Questions for the short contact that may yet be answered.
#[derive(Debug)]
pub struct Questions {
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

impl Gateway {
    /// What this node tells another that asks for the short contact: it is granted by the holder of the
    /// duty, and passed on with its age by all others.
    pub fn tell_short_contact(&self, round: u64) -> PeerMessage {
        let now = self.cx.now();
        let contact = self.cx.contact.borrow_mut();
        let granted = match self.fleet.coordinator.may_grant() {
            true => Some(Duration::ZERO),
            false => contact.granted_age(now),
        };
        let majority = contact.majority_age(now);
        let majority = majority.filter(|_| contact.is_long_held(now));
        PeerMessage::ContactTold {
            round,
            granted_ms: short_age(granted),
            majority_ms: short_age(majority),
            fenced: self.databases.standing_fences(),
        }
    }

    /// Takes in what another node told of the short contact; the fences that stand there must have been
    /// taken in before.
    pub fn take_short_contact(
        &self,
        round: u64,
        granted_ms: Option<u32>,
        majority_ms: Option<u32>,
    ) {
        let Some(asked) = self.leadership.questions.borrow().asked_at(round) else {
            return;
        };
        let mut contact = self.cx.contact.borrow_mut();
        if let Some(age) = granted_ms {
            contact.granted(asked - Duration::from_millis(age.into()));
        }
        // While this node holds the duty only its own calls count.
        if let Some(age) = majority_ms
            && self.fleet.coordinator.last_term().is_none()
        {
            contact.majority_replied(asked - Duration::from_millis(age.into()));
        }
    }

    /// Whom this node asks for the short contact: its relay, which is near; the holder of the duty while
    /// it has none. Where no grant comes by way of these, the holder and some other node of its zone,
    /// which may have a better relay.
    fn short_contact_sources(&self) -> impl Iterator<Item = SocketAddr> {
        let relay = self.feed.relay();
        let is_late = self.cx.contact.borrow_mut().is_grant_late(self.cx.now());
        let holder = self.fleet.coordinator.address();
        let holder = holder.filter(|_| relay.is_none() || is_late);
        let neighbour = is_late.then(|| self.some_neighbour()).flatten();
        relay.into_iter().chain(holder).chain(neighbour)
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

/// The age of a short contact in milliseconds, rounded up; `None` if it has ended.
fn short_age(age: Option<Duration>) -> Option<u32> {
    let age = age.filter(|age| *age < SHORT_HOLDS)?;
    u32::try_from(age.as_millis() + u128::from(age > Duration::ZERO)).ok()
}

/// Keeps the short contact, forever.
pub async fn keep_short_contact(gateway: Rc<Gateway>, peers: Rc<Peers>) {
    loop {
        let now = gateway.cx.now();
        if gateway.fleet.coordinator.may_grant() {
            gateway.cx.contact.borrow_mut().granted(now);
        } else {
            let round = gateway.leadership.questions.borrow_mut().ask(now);
            for source in gateway.short_contact_sources() {
                peers.send(source, &PeerMessage::ContactAsked { round });
            }
        }
        tokio::time::sleep(GRANT_INTERVAL).await;
    }
}
