//! Fences: before a successor is appointed, all nodes stop taking the former primary for the
//! leader of its group.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::{FENCE_HOLDS, FenceId, FenceRound, FenceVerdict};
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::time::Timestamp;
use dyketally_store::key_value::{KeyRange, Operation, TransactionRequest};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::event::Event;
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::{FenceReply, Peers, Replies};
use crate::gateway::Gateway;
use crate::store::keys::Keys;
use crate::store::parts::StoreParts;

/// Pause before nodes that didn't confirm are asked again.
const ASK_AGAIN: Duration = Duration::from_millis(150);
/// Pause before the round is judged anew though nobody has replied.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);
/// Tries to have the store no longer tell of a fence, and the pause between two of them.
const DELETIONS_AT_MOST: u32 = 4;
const DELETION_PAUSE: Duration = Duration::from_millis(400);
/// Pauses before nodes are told that a fence is lifted: datagrams get lost, and a node that misses all of
/// them refuses statements for the primary until the fence runs out.
const LIFT_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(600),
];

/// Puts up fences on all nodes.
pub struct FenceKeeper {
    gateway: Rc<Gateway>,
    parts: StoreParts,
    peers: Rc<Peers>,
    /// The last round around each database.
    rounds: RefCell<HashMap<DatabaseName, FenceId>>,
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
    pub fn new(gateway: Rc<Gateway>, parts: StoreParts, peers: Rc<Peers>) -> Self {
        Self {
            gateway,
            parts,
            peers,
            rounds: RefCell::default(),
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
        self.gateway.cx.events.write(&Event::FailoverStep {
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
        if let Some(published) = self.published.borrow_mut().remove(database) {
            published.withdrawn.notify_one();
        }
        let Some(id) = self.rounds.borrow_mut().remove(database) else {
            return;
        };
        self.gateway.databases.lift_round(database, id);
        let message = PeerMessage::LiftFence {
            database: database.clone(),
            id,
        };
        let peers = self.peers.clone();
        tokio::task::spawn_local(async move {
            for pause in LIFT_PAUSES {
                tokio::time::sleep(pause).await;
                peers.broadcast_to_electorate(&message);
            }
        });
    }

    async fn ask_until_judged(
        &self,
        database: &DatabaseName,
        suspected: Duration,
    ) -> (FenceVerdict, FenceRound) {
        let began = Instant::now();
        let gateway = &self.gateway;
        let id = FenceId(rand::random());
        self.rounds.borrow_mut().insert(database.clone(), id);
        let mut replies = self.peers.collect_fence_replies();
        let mut silent = self.others();
        let mut round = FenceRound::new(gateway.cx.now(), silent.len() + 1);
        match gateway.databases.fence(database, id, suspected) {
            true => round.confirmed(gateway.cx.now()),
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
            if gateway.fleet.coordinator.term().is_none() {
                round.lease_broken();
            }
            let former_holder = gateway.fleet.coordinator.former();
            let lapsed = former_holder
                .is_some_and(|holder| silent.contains(&holder) && !heard.contains(&holder));
            round.lapsed(usize::from(lapsed));
            let verdict = round.verdict(gateway.cx.now());
            if verdict != FenceVerdict::Open {
                return (verdict, round);
            }
            if Instant::now() >= ask_at {
                if began.elapsed() >= ASK_AGAIN {
                    published.get_or_insert_with(|| self.publish(database, id));
                }
                self.ask(
                    &silent,
                    &replies,
                    (database, id),
                    suspected + began.elapsed(),
                );
                ask_at = Instant::now() + ASK_AGAIN;
            }
            let look_at = ask_at.min(Instant::now() + LOOK_INTERVAL);
            let reply = tokio::time::timeout_at(look_at, replies.receiver.recv()).await;
            let Ok(Some(reply)) = reply else {
                continue;
            };
            heard.extend(reply.heard);
            match reply.contested {
                true => round.contested(),
                false if silent.remove(&reply.from) => round.confirmed(gateway.cx.now()),
                false => {}
            }
        }
    }

    /// Tells nodes that don't hear this one, by way of the store, for as long as the fence holds and
    /// isn't lifted.
    fn publish(&self, database: &DatabaseName, id: FenceId) -> Rc<Published> {
        let published = Rc::new(Published::default());
        let Some(lease) = self.gateway.fleet.coordinator.lease() else {
            return published;
        };
        let mut all = self.published.borrow_mut();
        all.insert(database.clone(), published.clone());
        let key = self.parts.keys.fence(database);
        let put = Keys::put_fence(key.clone(), id, lease.id);
        let store = self.parts.store.clone();
        let gateway = self.gateway.clone();
        let fence = published.clone();
        tokio::task::spawn_local(async move {
            if store.transact(unconditional(put)).await.is_ok() {
                fence.since.set(Some(gateway.cx.now()));
            }
            // Either way the store should no longer tell of it.
            let _ = tokio::time::timeout(FENCE_HOLDS, fence.withdrawn.notified()).await;
            let deletion = || Operation::Delete(KeyRange::key(key.clone()));
            // The key goes with the lease if all of these fail.
            for _ in 0..DELETIONS_AT_MOST {
                if store.transact(unconditional(deletion())).await.is_ok() {
                    return;
                }
                tokio::time::sleep(DELETION_PAUSE).await;
            }
        });
        published
    }

    fn others(&self) -> HashSet<SocketAddr> {
        let own = &self.gateway.cx.settings.node.name;
        self.gateway
            .fleet
            .membership
            .electorate(own)
            .into_iter()
            .collect()
    }

    fn ask(
        &self,
        nodes: &HashSet<SocketAddr>,
        replies: &Replies<FenceReply>,
        (database, id): (&DatabaseName, FenceId),
        suspected: Duration,
    ) {
        let message = PeerMessage::Fence {
            round: replies.round,
            database: database.clone(),
            id,
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
