//! Fences: before a successor is appointed, all nodes stop taking the former primary for the
//! leader of its group.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::{FENCE_HOLDS, FenceRound, FenceVerdict};
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::time::Timestamp;
use dyketally_store::key_value::{KeyRange, KeyValueStore, Operation, TransactionRequest};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::event::Event;
use crate::fleet::membership::Keys;
use crate::fleet::peer::{FenceReply, PeerMessage, Peers, Replies};
use crate::gateway::Gateway;

/// Pause before nodes that didn't confirm are asked again.
const ASK_AGAIN: Duration = Duration::from_millis(150);

impl Gateway {
    /// Stops taking `database` for a leader; false when it has answered this node since it was
    /// suspected `suspected` ago, so that it shouldn't be replaced.
    pub fn fence(&self, database: &DatabaseName, suspected: Duration) -> bool {
        if self.has_answered_within(database, suspected) {
            return false;
        }
        self.put_up_fence(database.clone(), "a node");
        true
    }

    /// Stops taking `database` for a leader, as `source` told.
    pub fn put_up_fence(&self, database: DatabaseName, source: &str) {
        if !self.is_fenced(&database) {
            self.events.write(&Event::FencePutUp {
                database: database.as_str(),
                source,
            });
        }
        self.fences.borrow_mut().put_up(self.now(), database);
        self.tell_change();
    }

    /// True while `database` mustn't be taken for a leader.
    pub fn is_fenced(&self, database: &DatabaseName) -> bool {
        self.fences.borrow().holds(self.now(), database)
    }

    /// Takes in that `source` has had fences for some time.
    pub fn heard_of_fences(
        &self,
        fenced: impl IntoIterator<Item = (DatabaseName, Duration)>,
        source: &str,
    ) {
        let now = self.now();
        for (database, age) in fenced {
            let stood = self.is_fenced(&database);
            self.fences.borrow_mut().heard(now, database.clone(), age);
            if !stood && self.is_fenced(&database) {
                self.events.write(&Event::FencePutUp {
                    database: database.as_str(),
                    source,
                });
            }
        }
    }

    /// Takes `database` for a leader again.
    pub fn lift_fence(&self, database: &DatabaseName) {
        if self.is_fenced(database) {
            self.events.write(&Event::FenceLifted {
                database: database.as_str(),
            });
        }
        self.fences.borrow_mut().lift(self.now(), database);
        self.tell_change();
    }

    fn has_answered_within(&self, database: &DatabaseName, age: Duration) -> bool {
        let target = self.known_target(database);
        let since = Instant::now().checked_sub(age);
        match (target, since) {
            (Some(target), Some(since)) => target.state.answered_since(since),
            _ => false,
        }
    }
}

/// Puts up fences on all nodes.
pub struct FenceKeeper {
    gateway: Rc<Gateway>,
    peers: Rc<Peers>,
    store: Rc<dyn KeyValueStore>,
    keys: Rc<Keys>,
    published: RefCell<HashMap<DatabaseName, Rc<Published>>>,
}

/// A fence that the store tells of.
#[derive(Debug, Default)]
struct Published {
    /// Since when it does.
    since: Cell<Option<Timestamp>>,
    /// Told when it should no longer.
    withdrawn: Notify,
}

impl FenceKeeper {
    /// A keeper for the node of `gateway`.
    pub fn new(
        gateway: Rc<Gateway>,
        peers: Rc<Peers>,
        store: Rc<dyn KeyValueStore>,
        keys: Rc<Keys>,
    ) -> Self {
        Self {
            gateway,
            peers,
            store,
            keys,
            published: RefCell::default(),
        }
    }

    /// Has all nodes stop taking `database`, which was suspected `suspected` ago, for the leader of
    /// `group`; false when a successor mustn't be appointed.
    pub async fn close(
        &self,
        group: &GroupName,
        database: &DatabaseName,
        suspected: Duration,
    ) -> bool {
        let (verdict, round) = self.ask_until_judged(database, suspected).await;
        self.gateway.events.write(&Event::FailoverStep {
            group: group.as_str(),
            step: "fence",
            detail: format!("{database}: {verdict:?}, {round:?}"),
        });
        if verdict != FenceVerdict::Closed {
            self.lift(database);
        }
        verdict == FenceVerdict::Closed
    }

    /// Has all nodes take `database` for a leader again.
    pub fn lift(&self, database: &DatabaseName) {
        self.gateway.lift_fence(database);
        if let Some(published) = self.published.borrow_mut().remove(database) {
            published.withdrawn.notify_one();
        }
        let database = database.clone();
        let message = PeerMessage::LiftFence { database };
        self.peers.broadcast_to_electorate(&message);
    }

    async fn ask_until_judged(
        &self,
        database: &DatabaseName,
        suspected: Duration,
    ) -> (FenceVerdict, FenceRound) {
        let began = Instant::now();
        let gateway = &self.gateway;
        let mut replies = self.peers.collect_fence_replies();
        let mut silent = self.others();
        let mut round = FenceRound::new(gateway.now(), silent.len() + 1);
        match gateway.fence(database, suspected) {
            true => round.confirmed(gateway.now()),
            false => round.contested(),
        }
        // Silent nodes that may be in touch with a majority by way of those that confirm.
        let mut heard: HashSet<SocketAddr> = self.peers.heard().into_iter().collect();
        let mut ask_at = began;
        let mut published: Option<Rc<Published>> = None;
        loop {
            if let Some(at) = published
                .as_ref()
                .and_then(|published| published.since.get())
            {
                round.published(at);
            }
            let former_holder = gateway.membership.former_holder();
            let lapsed = former_holder
                .is_some_and(|holder| silent.contains(&holder) && !heard.contains(&holder));
            round.lapsed(usize::from(lapsed));
            let verdict = round.verdict(gateway.now());
            if verdict != FenceVerdict::Open {
                return (verdict, round);
            }
            if Instant::now() >= ask_at {
                if began.elapsed() >= ASK_AGAIN {
                    published.get_or_insert_with(|| self.publish(database));
                }
                self.ask(&silent, &replies, database, suspected + began.elapsed());
                ask_at = Instant::now() + ASK_AGAIN;
            }
            let reply = tokio::time::timeout_at(ask_at, replies.receiver.recv()).await;
            let Ok(Some(reply)) = reply else {
                continue;
            };
            heard.extend(reply.heard);
            match reply.contested {
                true => round.contested(),
                false if silent.remove(&reply.from) => round.confirmed(gateway.now()),
                false => {}
            }
        }
    }

    /// Tells nodes that don't hear this one, by way of the store, for as long as the fence holds and
    /// isn't lifted.
    fn publish(&self, database: &DatabaseName) -> Rc<Published> {
        let published = Rc::new(Published::default());
        let Some(lease) = self.gateway.membership.duty_lease() else {
            return published;
        };
        let mut all = self.published.borrow_mut();
        all.insert(database.clone(), published.clone());
        let key = self.keys.fence(database);
        let put = self.keys.put(key.clone(), lease.id);
        let store = self.store.clone();
        let gateway = self.gateway.clone();
        let fence = published.clone();
        tokio::task::spawn_local(async move {
            if store.transact(unconditional(put)).await.is_ok() {
                fence.since.set(Some(gateway.now()));
            }
            // Either way the store should no longer tell of it.
            let _ = tokio::time::timeout(FENCE_HOLDS, fence.withdrawn.notified()).await;
            let deletion = Operation::Delete(KeyRange::key(key));
            // The key goes with the lease if this fails.
            let _ = store.transact(unconditional(deletion)).await;
        });
        published
    }

    fn others(&self) -> HashSet<SocketAddr> {
        let own = &self.gateway.settings.node.name;
        self.gateway
            .membership
            .electorate(own)
            .into_iter()
            .collect()
    }

    fn ask(
        &self,
        nodes: &HashSet<SocketAddr>,
        replies: &Replies<FenceReply>,
        database: &DatabaseName,
        suspected: Duration,
    ) {
        let message = PeerMessage::Fence {
            round: replies.round,
            database: database.clone(),
            suspected_ms: suspected.as_millis().try_into().unwrap_or(u32::MAX),
        };
        for node in nodes {
            self.peers.send(*node, &message);
        }
    }
}

fn unconditional(operation: Operation) -> TransactionRequest {
    TransactionRequest {
        then: vec![operation],
        ..TransactionRequest::default()
    }
}
