//! Whether a database may still be taken for the leader of its group.
//!
//! A node that is in touch would hear of a successor: it has the fence before the successor is
//! appointed. An isolated node asks the group's other databases after each answer, and takes it for
//! a leader's only if none of them leads.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::is_majority;
use dyketally::identifiers::GroupName;
use dyketally::time::Timestamp;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::database::target::Target;
use crate::event::Event;
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::Peers;
use crate::gateway::Gateway;
use crate::ports::OwnStatement;

/// How long a database may take to tell whether it leads.
const ROLE_LIMIT: Duration = Duration::from_millis(300);
/// How long an isolated node takes no database of a group for its leader once the others couldn't
/// be asked.
const UNCLEAR_HOLDS: Duration = Duration::from_millis(700);
/// How long replies of other nodes are waited for.
const REPLIES_LIMIT: Duration = Duration::from_millis(300);
/// Pause before the contact is looked at again when there is nothing to ask.
const REST: Duration = Duration::from_millis(300);

/// What an isolated node found when it asked the other databases of a group.
#[derive(Clone, Copy, Debug)]
struct Vetting {
    /// When they were asked.
    asked: Timestamp,
    /// True when all replied and none leads.
    unrivalled: bool,
}

/// The vettings of one group.
#[derive(Debug, Default)]
pub struct Vettings {
    last: Cell<Option<Vetting>>,
    running: Cell<bool>,
    done: Notify,
}

impl Gateway {
    /// True when `target` must not be taken for a leader, whatever it says: it is being replaced,
    /// or another database is known to lead.
    fn is_replaced(&self, target: &Target) -> bool {
        if self.databases.is_fenced(&target.name) {
            return true;
        }
        let directory = self.databases.directory.borrow();
        let primary = directory.primary(&target.group);
        primary.is_some_and(|primary| {
            primary.name() != &target.name && !self.databases.is_fenced(primary.name())
        })
    }

    /// True when it is clear without asking that an answer of `target` is a leader's.
    pub fn surely_leads(&self, target: &Target) -> bool {
        !self.is_replaced(target) && self.cx.is_in_touch()
    }

    /// True when an answer of `target` that has just arrived is a leader's: no other database had
    /// taken the lead before.
    pub async fn is_upheld(self: &Rc<Self>, target: &Target) -> bool {
        if self.is_replaced(target) {
            return false;
        }
        self.is_unrivalled(target).await
    }

    /// True when no other database of the group can have taken the lead by now: this node would
    /// have heard of it, or all others deny it.
    pub async fn is_unrivalled(self: &Rc<Self>, target: &Target) -> bool {
        if self.databases.is_fenced(&target.name) {
            return false;
        }
        self.cx.is_in_touch() || self.others_deny_leading(target).await
    }

    /// True while this node is isolated and couldn't make sure lately that nobody else leads.
    pub fn is_unclear(&self, group: &GroupName) -> bool {
        if self.cx.is_in_touch() {
            return false;
        }
        let last = self.leadership.group(group).vettings.last.get();
        last.is_some_and(|last| {
            !last.unrivalled && self.cx.now().saturating_since(last.asked) < UNCLEAR_HOLDS
        })
    }

    /// Asks the group's other databases whether they lead; one round for all who wait.
    async fn others_deny_leading(self: &Rc<Self>, target: &Target) -> bool {
        let needed = self.cx.now();
        let state = self.leadership.group(&target.group);
        let until = Instant::now() + ROLE_LIMIT * 2;
        loop {
            let done = state.vettings.done.notified();
            if let Some(last) = state.vettings.last.get()
                && last.asked >= needed
            {
                return last.unrivalled;
            }
            self.start_vetting(target);
            if tokio::time::timeout_at(until, done).await.is_err() {
                return false;
            }
        }
    }

    fn start_vetting(self: &Rc<Self>, target: &Target) {
        let state = self.leadership.group(&target.group);
        if state.vettings.running.replace(true) {
            return;
        }
        let gateway = self.clone();
        let target = target.clone();
        tokio::task::spawn_local(async move {
            let asked = gateway.cx.now();
            let unrivalled = gateway.others_follow(&target).await;
            let vetting = Vetting { asked, unrivalled };
            state.vettings.last.set(Some(vetting));
            state.vettings.running.set(false);
            state.vettings.done.notify_waiters();
        });
    }

    async fn others_follow(self: &Rc<Self>, target: &Target) -> bool {
        let others = self.other_members(target);
        let asked = others
            .iter()
            .map(|other| self.ask_status(other, OwnStatement::Status, ROLE_LIMIT));
        let replies = futures::future::join_all(asked).await;
        let mut replies = replies.into_iter();
        replies.all(|status| status.is_some_and(|status| !status.leads))
    }

    fn other_members(&self, target: &Target) -> Vec<Target> {
        let directory = self.databases.directory.borrow();
        let members = directory.members(&target.group);
        let others = members.filter(|member| member.name() != &target.name);
        others
            .map(|member| self.databases.target(member, false))
            .collect()
    }
}

/// Asks the other nodes for a sign of life while the store doesn't reply, forever. Nodes that follow
/// a relay leave that to it: all nodes asking each other would grow with the square of the fleet.
pub async fn keep_in_touch(gateway: Rc<Gateway>, peers: Rc<Peers>) {
    let mut last_asked = None;
    let mut was_in_touch = false;
    loop {
        let in_touch = gateway.cx.is_in_touch();
        if in_touch != std::mem::replace(&mut was_in_touch, in_touch) {
            gateway.cx.events.write(match in_touch {
                true => &Event::InTouch,
                false => &Event::Isolated,
            });
        }
        let due = gateway.cx.contact.borrow_mut().ask_nodes_at(last_asked);
        let relies_on_relay =
            gateway.feed.has_relay() && gateway.fleet.coordinator.last_term().is_none();
        let due = due.filter(|_| !relies_on_relay);
        let now = gateway.cx.now();
        match due {
            Some(due) if due <= now => {
                last_asked = Some(now);
                let asking = ask_nodes(gateway.clone(), peers.clone(), now);
                tokio::task::spawn_local(asking);
            }
            Some(due) => tokio::time::sleep(due.saturating_since(now)).await,
            None => tokio::time::sleep(REST).await,
        }
    }
}

async fn ask_nodes(gateway: Rc<Gateway>, peers: Rc<Peers>, asked: Timestamp) {
    let own = &gateway.cx.settings.node.name;
    let nodes = gateway.fleet.membership.electorate(own);
    let mut replies = peers.collect_signs_of_life();
    let message = PeerMessage::AreYouThere {
        round: replies.round,
    };
    for node in &nodes {
        peers.send(*node, &message);
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
    gateway.cx.contact.borrow_mut().majority_replied(asked);
}
