//! Puts up fences on all nodes: before a successor is appointed, no node may take the former primary for
//! the leader of its group any more.
//!
//! [`FenceKeeper`] owns the rounds of fences that this node has begun as failover coordinator. Whether a
//! fence stands at a node its databases know; [`dyketally::failover::FenceRound`] judges the replies.

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

use crate::database::Databases;
use crate::event::Event;
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::{FenceReply, Peers, Replies};
use crate::store::keys::Keys;
use crate::store::parts::StoreParts;

/// Pause before nodes that didn't confirm are asked again: a reply from another region takes about 50 ms.
/// Not measured.
const ASK_AGAIN: Duration = Duration::from_millis(150);
/// Pause before the round is judged anew though no node has replied. Not measured.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);
/// Tries to delete the key of a fence, which else goes with the coordinator's lease. Not measured.
const DELETIONS_AT_MOST: u32 = 4;
/// Pause between two of them. Not measured.
const DELETION_PAUSE: Duration = Duration::from_millis(400);
/// Pauses before nodes are sent that a fence is lifted: datagrams get lost, and a node that misses all of
/// them refuses statements for the primary until the fence runs out. Not measured.
const LIFT_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(600),
];

/// Puts up fences on all nodes.
pub struct FenceKeeper {
    parts: StoreParts,
    databases: Rc<Databases>,
    peers: Rc<Peers>,
    /// The last round around each database.
    rounds: RefCell<HashMap<DatabaseName, FenceId>>,
    published: RefCell<HashMap<DatabaseName, Rc<Published>>>,
}

/// A fence whose key is in the store.
#[derive(Debug, Default)]
struct Published {
    /// Since when it is.
    since: Cell<Option<Timestamp>>,
    /// Notified when it should be deleted.
    withdrawn: Notify,
}

/// A round that isn't judged yet.
struct OpenRound {
    database: DatabaseName,
    id: FenceId,
    began: Instant,
    /// How long before the database was suspected.
    suspected: Duration,
    round: FenceRound,
    /// Nodes that didn't confirm yet.
    silent: HashSet<SocketAddr>,
    /// Silent nodes may have contact with a majority by way of those that confirm. These have lately had a
    /// sign of life of one of them.
    heard: HashSet<SocketAddr>,
    published: Option<Rc<Published>>,
}

impl FenceKeeper {
    /// A keeper that has begun no round.
    pub fn new(parts: StoreParts, databases: Rc<Databases>, peers: Rc<Peers>) -> Self {
        Self {
            parts,
            databases,
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
        self.parts.cx.events.write(&Event::FailoverStep {
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
        self.withdraw(database);
        let Some(id) = self.rounds.borrow_mut().remove(database) else {
            return;
        };
        self.databases.lift_round(database, id);
        self.broadcast_lift(database, id);
    }

    /// Lifts all fences around `database`, which has taken the lead since they were put up, also those of a
    /// former coordinator. Nodes that miss the datagram which names the new leader would go on refusing
    /// what only that can run until the fence runs out.
    pub fn lift_all(&self, database: &DatabaseName) {
        self.withdraw(database);
        let own = self.rounds.borrow_mut().remove(database);
        let standing = self.databases.fence_round(database);
        self.databases.lift_fence(database);
        let other = standing.filter(|standing| Some(*standing) != own);
        for id in own.into_iter().chain(other) {
            self.broadcast_lift(database, id);
        }
    }

    fn withdraw(&self, database: &DatabaseName) {
        if let Some(published) = self.published.borrow_mut().remove(database) {
            published.withdrawn.notify_one();
        }
    }

    fn broadcast_lift(&self, database: &DatabaseName, id: FenceId) {
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
        let mut replies = self.peers.collect_fence_replies();
        let mut open = self.begin(database, suspected);
        let mut ask_at = open.began;
        loop {
            let verdict = self.judge(&mut open);
            if verdict != FenceVerdict::Open {
                return (verdict, open.round);
            }
            if Instant::now() >= ask_at {
                if open.published.is_none() && open.began.elapsed() >= ASK_AGAIN {
                    open.published = Some(self.publish(database, open.id));
                }
                self.ask(&open, &replies);
                ask_at = Instant::now() + ASK_AGAIN;
            }
            let look_at = ask_at.min(Instant::now() + LOOK_INTERVAL);
            let reply = tokio::time::timeout_at(look_at, replies.receiver.recv()).await;
            if let Ok(Some(reply)) = reply {
                self.receive(&mut open, reply);
            }
        }
    }

    /// Begins a round with this node's own fence.
    fn begin(&self, database: &DatabaseName, suspected: Duration) -> OpenRound {
        let cx = &self.parts.cx;
        let began = Instant::now();
        let id = FenceId(rand::random());
        self.rounds.borrow_mut().insert(database.clone(), id);
        let own = &cx.settings.node.name;
        let others = self.parts.fleet.membership.electorate(own);
        let silent: HashSet<SocketAddr> = others.into_iter().collect();
        let mut round = FenceRound::new(cx.now(), silent.len() + 1);
        match self.databases.fence(database, id, suspected) {
            true => round.confirmed(cx.now()),
            false => round.contested(),
        }
        OpenRound {
            database: database.clone(),
            id,
            began,
            suspected,
            round,
            silent,
            heard: self.peers.heard().into_iter().collect(),
            published: None,
        }
    }

    fn judge(&self, open: &mut OpenRound) -> FenceVerdict {
        let published = open.published.as_ref();
        if let Some(at) = published.and_then(|published| published.since.get()) {
            open.round.published(at);
        }
        let coordinator = &self.parts.fleet.coordinator;
        if coordinator.term().is_none() {
            open.round.lease_broken();
        }
        // The former coordinator is isolated since its lease lapsed, unless a node that confirms has given
        // it a sign of life.
        let lapsed = coordinator
            .former()
            .is_some_and(|former| open.silent.contains(&former) && !open.heard.contains(&former));
        open.round.lapsed(usize::from(lapsed));
        open.round.verdict(self.parts.cx.now())
    }

    fn ask(&self, open: &OpenRound, replies: &Replies<FenceReply>) {
        let suspected = open.suspected + open.began.elapsed();
        let message = PeerMessage::Fence {
            round: replies.round,
            database: open.database.clone(),
            id: open.id,
            suspected_ms: suspected.as_millis().try_into().unwrap_or(u32::MAX),
        };
        for node in &open.silent {
            self.peers.send(*node, &message);
        }
    }

    fn receive(&self, open: &mut OpenRound, reply: FenceReply) {
        open.heard.extend(reply.heard);
        match reply.contested {
            true => open.round.contested(),
            false if open.silent.remove(&reply.from) => {
                open.round.confirmed(self.parts.cx.now());
            }
            false => {}
        }
    }

    /// Puts the fence's key into the store, for nodes that this one doesn't reach, for as long as the fence
    /// holds and isn't lifted.
    fn publish(&self, database: &DatabaseName, id: FenceId) -> Rc<Published> {
        let published = Rc::new(Published::default());
        let Some(lease) = self.parts.fleet.coordinator.lease() else {
            return published;
        };
        let mut all = self.published.borrow_mut();
        all.insert(database.clone(), published.clone());
        let key = self.parts.keys.fence(database);
        let put = Keys::put_fence(key.clone(), id, lease.id);
        let parts = self.parts.clone();
        let fence = published.clone();
        tokio::task::spawn_local(async move {
            if parts.store.transact(unconditional(put)).await.is_ok() {
                fence.since.set(Some(parts.cx.now()));
            }
            // Either way the key has to go.
            let _ = tokio::time::timeout(FENCE_HOLDS, fence.withdrawn.notified()).await;
            let deletion = || Operation::Delete(KeyRange::key(key.clone()));
            // The key goes with the lease if all of these fail.
            for _ in 0..DELETIONS_AT_MOST {
                let deleted = parts.store.transact(unconditional(deletion())).await;
                if deleted.is_ok() {
                    return;
                }
                tokio::time::sleep(DELETION_PAUSE).await;
            }
        });
        published
    }
}

fn unconditional(operation: Operation) -> TransactionRequest {
    TransactionRequest {
        then: vec![operation],
        ..TransactionRequest::default()
    }
}
