//! Keeps this node in contact with more than half of the nodes while the store doesn't reply, so that it
//! still receives the fence around a primary that is being replaced.
//!
//! Owns the time of the last request. Relies on the datagrams between nodes, and on the relay that this node
//! follows, if any, which sends the requests in its place.

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

/// How long replies of other nodes are awaited; between regions they take up to 50 ms.
const REPLY_LIMIT: Duration = Duration::from_millis(300);
/// Pause before the contact is checked again when no request is due.
const IDLE_PAUSE: Duration = Duration::from_millis(300);

/// Requests signs of life from the other nodes.
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

    /// Requests signs of life from the other nodes whenever the store doesn't reply, forever. Nodes that
    /// follow a relay leave that to it: if every node asked every other one, the number of messages would
    /// grow with the square of the fleet.
    pub async fn run(self: Rc<Self>) {
        let mut last_request = None;
        let mut was_in_contact = false;
        loop {
            let in_contact = self.cx.is_available();
            if in_contact != std::mem::replace(&mut was_in_contact, in_contact) {
                self.cx.events.write(match in_contact {
                    true => &Event::InTouch,
                    false => &Event::Isolated,
                });
            }
            let due = self.cx.contact.borrow_mut().ask_nodes_at(last_request);
            let due = due.filter(|_| !self.relies_on_relay() && self.feed.may_poll_all_nodes());
            let now = self.cx.now();
            match due {
                Some(due) if due <= now => {
                    last_request = Some(now);
                    tokio::task::spawn_local(self.clone().request_signs_of_life(now));
                }
                Some(due) => tokio::time::sleep(due.saturating_since(now)).await,
                None => tokio::time::sleep(IDLE_PAUSE).await,
            }
        }
    }

    fn relies_on_relay(&self) -> bool {
        self.feed.has_relay() && self.fleet.coordinator.last_term().is_none()
    }

    async fn request_signs_of_life(self: Rc<Self>, asked: Timestamp) {
        let own = &self.cx.settings.node.name;
        let nodes = self.fleet.membership.possibly_running(own);
        let mut replies = self.peers.collect_signs_of_life();
        let message = PeerMessage::SignOfLifeRequest {
            round: replies.round,
        };
        for node in &nodes {
            self.peers.send(*node, &message);
        }
        let until = Instant::now() + REPLY_LIMIT;
        let mut replied = Vec::new();
        while !is_majority(replied.len(), nodes.len() + 1) {
            match tokio::time::timeout_at(until, replies.receiver.recv()).await {
                Ok(Some(from)) if !replied.contains(&from) => replied.push(from),
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return,
            }
        }
        self.cx.contact.borrow_mut().record_majority_reply(asked);
    }
}
