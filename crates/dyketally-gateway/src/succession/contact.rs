//! Keeps this node in contact with most of the other nodes while the store doesn't reply: it then still
//! receives the fence of a primary that is replaced. Owns when it asked last; relies on the datagrams between
//! nodes, and leaves the asking to a relay where it follows one.

use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::is_majority;
use dyketally::time::Timestamp;
use tokio::time::Instant;

use crate::context::Context;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::Peers;
use crate::store::feed::Feed;

/// How long replies of other nodes are waited for: they reply within 50 ms between regions. Not measured.
const REPLIES_LIMIT: Duration = Duration::from_millis(300);
/// Pause before the contact is looked at again when there is nothing to ask. Not measured.
const REST: Duration = Duration::from_millis(300);

/// Asks the other nodes for signs of life.
pub struct ContactKeeper {
    cx: Rc<Context>,
    fleet: Rc<Fleet>,
    feed: Rc<Feed>,
    peers: Rc<Peers>,
}

impl ContactKeeper {
    /// A keeper that isn't running yet.
    pub fn new(fleet: Rc<Fleet>, feed: Rc<Feed>, peers: Rc<Peers>) -> Rc<Self> {
        Rc::new(Self {
            cx: fleet.cx.clone(),
            fleet,
            feed,
            peers,
        })
    }

    /// Asks the other nodes for a sign of life while the store doesn't reply, forever. Nodes that follow a
    /// relay leave that to it: all nodes asking each other would grow with the square of the fleet.
    pub async fn run(self: Rc<Self>) {
        let mut last_asked = None;
        let mut was_in_touch = false;
        loop {
            let in_touch = self.cx.is_in_touch();
            if in_touch != std::mem::replace(&mut was_in_touch, in_touch) {
                self.cx.events.write(match in_touch {
                    true => &Event::InTouch,
                    false => &Event::Isolated,
                });
            }
            let due = self.cx.contact.borrow_mut().ask_nodes_at(last_asked);
            let due = due.filter(|_| !self.relies_on_relay());
            let now = self.cx.now();
            match due {
                Some(due) if due <= now => {
                    last_asked = Some(now);
                    tokio::task::spawn_local(self.clone().ask_nodes(now));
                }
                Some(due) => tokio::time::sleep(due.saturating_since(now)).await,
                None => tokio::time::sleep(REST).await,
            }
        }
    }

    fn relies_on_relay(&self) -> bool {
        self.feed.has_relay() && self.fleet.coordinator.last_term().is_none()
    }

    async fn ask_nodes(self: Rc<Self>, asked: Timestamp) {
        let own = &self.cx.settings.node.name;
        let nodes = self.fleet.membership.electorate(own);
        let mut replies = self.peers.collect_signs_of_life();
        let message = PeerMessage::SignOfLifeAsked {
            round: replies.round,
        };
        for node in &nodes {
            self.peers.send(*node, &message);
        }
        let until = Instant::now() + REPLIES_LIMIT;
        let mut replied = Vec::new();
        while !is_majority(replied.len(), nodes.len() + 1) {
            match tokio::time::timeout_at(until, replies.receiver.recv()).await {
                Ok(Some(from)) if !replied.contains(&from) => replied.push(from),
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return,
            }
        }
        self.cx.contact.borrow_mut().majority_replied(asked);
    }
}
