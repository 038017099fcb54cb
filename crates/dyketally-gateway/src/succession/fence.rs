//! Sets fences on all nodes: before a successor is appointed, every node has to stop treating the former
//! primary as the leader of its group.
//!
//! The failover coordinator sends a fence to all nodes and collects their confirmations; this is a round. The
//! fence is closed once no node can use the database any more, by the rule of
//! [`dyketally::failover::FenceRound`]. [`FenceKeeper`] owns the rounds that this node has begun as
//! coordinator; [`Databases`] keeps the fences that are set on this node.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::{FENCE_LIFETIME, FenceId, FenceRound, FenceVerdict};
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::time::Timestamp;
use dyketally_store::key_value::{KeyRange, Operation, TransactionRequest};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::database::Databases;
use crate::event::Event;
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::{FenceReply, Peers, Replies};
use crate::store::keys::StoreKeys;
use crate::store::parts::StoreParts;

/// Pause before a fence is sent again to nodes that didn't confirm it; a reply from another region takes
/// about 50 ms.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// Longest pause between two evaluations of a round, also when no node replies.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(25);
/// Most attempts to delete the key of a fence; without a deletion the key ends with the coordinator's lease.
const MAX_DELETION_ATTEMPTS: u32 = 4;
/// Pause between two attempts to delete the key of a fence.
const DELETION_PAUSE: Duration = Duration::from_millis(400);
/// Pauses before each of the datagrams that clear a fence on the other nodes. The datagram is repeated
/// because a node that misses it refuses statements for the primary until the fence expires.
const CLEAR_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(600),
];

/// Sets and clears fences on all nodes.
pub struct FenceKeeper {
    parts: StoreParts,
    databases: Rc<Databases>,
    peers: Rc<Peers>,
    /// The last round for each database.
    rounds: RefCell<HashMap<DatabaseName, FenceId>>,
    /// The fences whose keys this node put into the store.
    published: RefCell<HashMap<DatabaseName, Rc<PublishedFence>>>,
}

/// A fence whose key is written to the store, for nodes that this node doesn't reach.
#[derive(Debug, Default)]
struct PublishedFence {
    /// Since when the store has held the key; `None` until the write succeeded.
    since: Cell<Option<Timestamp>>,
    /// Notified when the key should be deleted.
    withdrawn: Notify,
}

/// A round whose result isn't known yet.
struct OpenRound {
    database: DatabaseName,
    id: FenceId,
    began: Instant,
    /// How long before the start of the round the database was suspected.
    suspected: Duration,
    round: FenceRound,
    /// Nodes that haven't confirmed the fence yet.
    pending: HashSet<SocketAddr>,
    /// Nodes that lately got a sign of life from a node that confirmed. An unconfirmed node among them may
    /// still count itself in contact with a majority, so it can't be treated as isolated.
    heard: HashSet<SocketAddr>,
    published: Option<Rc<PublishedFence>>,
}

impl FenceKeeper {
    /// Creates a keeper that has begun no round.
    pub fn new(parts: StoreParts, databases: Rc<Databases>, peers: Rc<Peers>) -> Self {
        Self {
            parts,
            databases,
            peers,
            rounds: RefCell::default(),
            published: RefCell::default(),
        }
    }

    /// Has all nodes stop treating `database`, which was suspected `suspected` ago, as the leader of `group`.
    /// Returns true once the fence is closed. False means that no successor may be appointed; the fence is
    /// then cleared.
    pub async fn close(
        &self,
        group: &GroupName,
        database: &DatabaseName,
        suspected: Duration,
    ) -> bool {
        let (verdict, round) = self.run_round(database, suspected).await;
        self.parts.cx.events.write(&Event::FailoverStep {
            group: group.as_str(),
            step: "fence",
            detail: format!("{database}: {verdict:?}, {round:?}"),
        });
        if verdict != FenceVerdict::Closed {
            self.clear(database);
        }
        verdict == FenceVerdict::Closed
    }

    /// Clears this coordinator's fence around `database` on all nodes, so that it may be treated as leader again.
    pub fn clear(&self, database: &DatabaseName) {
        self.withdraw(database);
        let Some(id) = self.rounds.borrow_mut().remove(database) else {
            return;
        };
        self.databases.clear_fence_round(database, id);
        self.broadcast_clear(database, id);
    }

    /// Clears all fences around `database`, which has taken the lead since they were set, including those of
    /// a former coordinator. Otherwise a node that misses the datagram naming the new leader would refuse
    /// statements for the primary until the fence expires.
    pub fn clear_all(&self, database: &DatabaseName) {
        self.withdraw(database);
        let own = self.rounds.borrow_mut().remove(database);
        let local = self.databases.fence_round(database);
        self.databases.clear_fence(database);
        let other = local.filter(|local| Some(*local) != own);
        for id in own.into_iter().chain(other) {
            self.broadcast_clear(database, id);
        }
    }

    /// Has the store's key of the fence around `database` deleted.
    fn withdraw(&self, database: &DatabaseName) {
        if let Some(published) = self.published.borrow_mut().remove(database) {
            published.withdrawn.notify_one();
        }
    }

    fn broadcast_clear(&self, database: &DatabaseName, id: FenceId) {
        let message = PeerMessage::ClearFence {
            database: database.clone(),
            id,
        };
        let peers = self.peers.clone();
        tokio::task::spawn_local(async move {
            for pause in CLEAR_PAUSES {
                tokio::time::sleep(pause).await;
                peers.broadcast_to_possibly_running(&message);
            }
        });
    }

    /// Sends the fence to all nodes until the result of the round is known.
    async fn run_round(
        &self,
        database: &DatabaseName,
        suspected: Duration,
    ) -> (FenceVerdict, FenceRound) {
        let mut replies = self.peers.collect_fence_replies();
        let mut open = self.begin(database, suspected);
        let mut send_at = open.began;
        loop {
            let verdict = self.evaluate(&mut open);
            if verdict != FenceVerdict::Open {
                return (verdict, open.round);
            }
            if Instant::now() >= send_at {
                if open.published.is_none() && open.began.elapsed() >= RESEND_INTERVAL {
                    open.published = Some(self.publish(database, open.id));
                }
                self.send_fence(&open, &replies);
                send_at = Instant::now() + RESEND_INTERVAL;
            }
            let evaluate_at = send_at.min(Instant::now() + EVALUATION_INTERVAL);
            let reply = tokio::time::timeout_at(evaluate_at, replies.receiver.recv()).await;
            if let Ok(Some(reply)) = reply {
                self.receive(&mut open, reply);
            }
        }
    }

    /// Begins a round by setting the fence on this node.
    fn begin(&self, database: &DatabaseName, suspected: Duration) -> OpenRound {
        let cx = &self.parts.cx;
        let began = Instant::now();
        let id = FenceId(rand::random());
        self.rounds.borrow_mut().insert(database.clone(), id);
        let own = &cx.settings.node.name;
        let others = self.parts.fleet.membership.possibly_running(own);
        let pending: HashSet<SocketAddr> = others.into_iter().collect();
        let mut round = FenceRound::new(cx.now(), pending.len() + 1);
        match self
            .databases
            .set_fence_unless_answered(database, id, suspected)
        {
            true => round.record_confirmation(cx.now()),
            false => round.record_contested(),
        }
        OpenRound {
            database: database.clone(),
            id,
            began,
            suspected,
            round,
            pending,
            heard: self.peers.recently_answered().into_iter().collect(),
            published: None,
        }
    }

    /// The result of the round so far.
    fn evaluate(&self, open: &mut OpenRound) -> FenceVerdict {
        let published = open.published.as_ref();
        if let Some(at) = published.and_then(|published| published.since.get()) {
            open.round.record_published(at);
        }
        let coordinator = &self.parts.fleet.coordinator;
        if coordinator.term().is_none() {
            open.round.record_lease_broken();
        }
        // The former coordinator's lease has lapsed, so it is isolated unless a node that confirmed has
        // lately sent it a sign of life.
        let lapsed = coordinator
            .former_address()
            .is_some_and(|former| open.pending.contains(&former) && !open.heard.contains(&former));
        open.round.set_isolated(usize::from(lapsed));
        open.round.verdict(self.parts.cx.now())
    }

    fn send_fence(&self, open: &OpenRound, replies: &Replies<FenceReply>) {
        let suspected = open.suspected + open.began.elapsed();
        let message = PeerMessage::Fence {
            round: replies.round,
            database: open.database.clone(),
            id: open.id,
            suspected_ms: suspected.as_millis().try_into().unwrap_or(u32::MAX),
        };
        for node in &open.pending {
            self.peers.send(*node, &message);
        }
    }

    fn receive(&self, open: &mut OpenRound, reply: FenceReply) {
        open.heard.extend(reply.recently_answered);
        match reply.contested {
            true => open.round.record_contested(),
            false if open.pending.remove(&reply.from) => {
                open.round.record_confirmation(self.parts.cx.now());
            }
            false => {}
        }
    }

    /// Writes the fence's key to the store, for nodes that this node doesn't reach, and deletes it once the
    /// fence is cleared or has expired.
    fn publish(&self, database: &DatabaseName, id: FenceId) -> Rc<PublishedFence> {
        let published = Rc::new(PublishedFence::default());
        let Some(lease) = self.parts.fleet.coordinator.lease() else {
            return published;
        };
        let mut all = self.published.borrow_mut();
        all.insert(database.clone(), published.clone());
        let key = self.parts.keys.fence(database);
        let put = StoreKeys::put_fence(key.clone(), id, lease.id);
        let parts = self.parts.clone();
        let fence = published.clone();
        tokio::task::spawn_local(async move {
            if parts.store.transact(unconditional(put)).await.is_ok() {
                fence.since.set(Some(parts.cx.now()));
            }
            // The key is deleted whether the fence was withdrawn or has expired.
            let _ = tokio::time::timeout(FENCE_LIFETIME, fence.withdrawn.notified()).await;
            let deletion = || Operation::Delete(KeyRange::key(key.clone()));
            // If all attempts fail, the key ends with the coordinator's lease.
            for _ in 0..MAX_DELETION_ATTEMPTS {
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
