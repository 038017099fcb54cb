//! Reads the keys that a node needs when it starts, with as few calls as possible. In a large fleet the other keys
//! come from a relay. Relies on the feed to know when this node follows a relay.

use std::time::Duration;

use dyketally_store::StoreError;
use dyketally_store::key_value::{KeyRange, RangeRequest, StoreRevision};
use rand::Rng;
use tokio::time::Instant;

use super::Watcher;
use super::watched::FirstRead;
use crate::fleet::membership::MAX_MESHED_NODES;
use crate::store::feed::Subject;
use crate::store::keys::StoreKeys;

/// How long a node that has just started waits for a relay before it reads from the store the keys that it doesn't
/// need at once.
const RELAY_WAIT: Duration = Duration::from_millis(1_500);
/// As [`RELAY_WAIT`], at the first start of the whole system: all nodes first have to find each other, and no caller
/// is waiting yet.
const RELAY_WAIT_AT_FIRST_START: Duration = Duration::from_secs(3);
/// As [`RELAY_WAIT`], when the store's reply would be long: a relay may need a second to read its own copy, and
/// another to send it to its followers. If 300 nodes that start at once read 1 MB each from the store instead, its
/// link is busy for at least 2.4 s (computed), and all of that data crosses regions.
const RELAY_WAIT_FOR_LONG_REPLY: Duration = Duration::from_secs(4);
/// Length in bytes above which a node takes its first configuration from a relay. A shorter one arrives sooner from
/// the store.
const LONG_REPLY: usize = 64 << 10;
/// How long a node waits before it reads the nodes' keys at the first start of the whole system: by then most nodes have
/// put theirs. From an incomplete list too many nodes would take themselves for relays.
const LIST_DELAY_AT_FIRST_START: Duration = Duration::from_secs(1);
/// Time limit for reading how many nodes there are.
const SIZE_TIMEOUT: Duration = Duration::from_millis(400);
/// Random time, up to this, that a node of a large fleet waits longer than [`RELAY_WAIT_FOR_LONG_REPLY`], and before it
/// reads all keys after it lost its relay: if no node had a relay, all would read all keys.
const OWN_READ_SPREAD: Duration = Duration::from_secs(8);
/// Pause between two reads of the nodes' keys while this node follows no relay. Such reads cost little.
const NODES_INTERVAL: Duration = Duration::from_millis(700);
/// Upper bound of the random time that is added to [`NODES_INTERVAL`].
const NODES_INTERVAL_JITTER: Duration = Duration::from_millis(300);

impl Watcher {
    /// Reads the keys that the node needs first, and waits for a relay. Returns the store revision to watch from, if
    /// the newest keys were read; `None` if this node follows a relay or has to read the keys again.
    pub(super) async fn start(&mut self) -> Option<StoreRevision> {
        let feed = self.parts.feed.clone();
        let began = Instant::now();
        let until = began + self.relay_wait();
        let until_in_large_fleet = began + RELAY_WAIT_FOR_LONG_REPLY + own_read_delay();
        let mut has_long_reply = false;
        let mut read_at = None;
        self.find_size().await;
        loop {
            // The read is abandoned once a relay is followed: by the time a large reply has arrived, the relay's
            // updates may be newer.
            let read = tokio::select! {
                biased;
                () = feed.until_subscribed() => return None,
                read = self.first_read() => read,
            };
            match read {
                Ok(read) => read_at = read.or(read_at),
                Err(StoreError::LongAnswer { .. }) => has_long_reply = true,
                // Not logged here: the loop reads again, and `Watcher::run` logs the first failure of its own reads.
                Err(_) => {}
            }
            let wait_until = || match has_long_reply || feed.is_large_fleet() {
                true => until_in_large_fleet,
                false => until,
            };
            tokio::select! {
                () = feed.until_subscribed() => return None,
                () = feed.until_no_relay_needed() => return read_at,
                () = self.until_nodes_wanted() => {}
                () = tokio::time::sleep_until(self.next_read(wait_until())) => {}
            }
            // Another watch may have found out meanwhile that the fleet is large.
            if Instant::now() >= wait_until() {
                return read_at;
            }
        }
    }

    /// Finds out whether the fleet is large before anything long is read: even a long answer that is given up costs the
    /// store 80 KB and a connection, and all nodes may start at once.
    async fn find_size(&self) {
        let feed = &self.parts.feed;
        let is_first_start = self.parts.cx.settings.node.first_start;
        match self.spec.subject {
            Subject::Nodes if is_first_start => {
                let jitter = NODES_INTERVAL_JITTER.mul_f64(rand::rng().random_range(0.0..1.0));
                tokio::time::sleep(LIST_DELAY_AT_FIRST_START + jitter).await;
            }
            Subject::Nodes => {
                let size = self.stored_size().await;
                if size.is_some_and(|size| size > MAX_MESHED_NODES) {
                    feed.record_long_list_of_nodes();
                }
                feed.record_size_requested();
            }
            Subject::Configuration | Subject::Announcements if is_first_start => {}
            Subject::Configuration | Subject::Announcements => feed.until_size_requested().await,
        }
    }

    /// The number of nodes that the store holds; `None` if it holds none or doesn't reply soon.
    async fn stored_size(&self) -> Option<usize> {
        let key = KeyRange::key(self.parts.keys.fleet_size());
        let read = self.parts.store.range(RangeRequest::stale(key));
        let reply = tokio::time::timeout(SIZE_TIMEOUT, read).await.ok()?.ok()?;
        StoreKeys::fleet_size_of(reply.entries.first()?)
    }

    /// Waits until other nodes depend on this node's knowledge of the nodes.
    async fn until_nodes_wanted(&self) {
        match self.spec.subject {
            Subject::Nodes => self.parts.feed.until_nodes_wanted().await,
            Subject::Configuration | Subject::Announcements => std::future::pending().await,
        }
    }

    /// Waits before all keys are read because no relay was found. In a large fleet a node that isn't a relay waits for a
    /// random time, as many others may be without a relay, too; less if it finds one.
    pub(super) async fn wait_before_own_read(&self) {
        let feed = &self.parts.feed;
        if feed.is_large_fleet() && feed.may_follow_relays() {
            // Whether the time has passed or a relay is followed, the caller checks for a relay.
            let _ = tokio::time::timeout(own_read_delay(), feed.until_subscribed()).await;
        }
    }

    fn relay_wait(&self) -> Duration {
        match self.parts.cx.settings.node.first_start {
            true => RELAY_WAIT_AT_FIRST_START,
            false => RELAY_WAIT,
        }
    }

    /// When the keys are read again if this node follows no relay by then; `until` at the latest.
    fn next_read(&self, until: Instant) -> Instant {
        let jitter = NODES_INTERVAL_JITTER.mul_f64(rand::rng().random_range(0.0..1.0));
        match self.spec.subject {
            Subject::Nodes => until.min(Instant::now() + NODES_INTERVAL + jitter),
            Subject::Configuration | Subject::Announcements => until,
        }
    }

    /// Reads the keys for the first time; returns the store revision to watch from if the newest keys were read.
    async fn first_read(&mut self) -> Result<Option<StoreRevision>, StoreError> {
        let range = self.spec.range();
        let is_sent_by_relay =
            self.spec.subject != Subject::Nodes && self.parts.feed.is_large_fleet();
        match self.spec.first_read {
            _ if is_sent_by_relay => Ok(None),
            // Nothing is read: there are no callers yet, and a relay will send the keys.
            FirstRead::Newest if self.parts.cx.settings.node.first_start => Ok(None),
            FirstRead::Newest => {
                let request = RangeRequest::all(range).unless_longer_than(LONG_REPLY);
                self.read(request).await.map(Some)
            }
            FirstRead::Stale if self.spec.subject == Subject::Nodes => {
                self.read_nodes().await.map(|()| None)
            }
            FirstRead::Stale => {
                let request = RangeRequest::stale(range).unless_longer_than(LONG_REPLY);
                self.read(request).await.map(|_| None)
            }
        }
    }

    /// Reads the nodes' keys, by which this node finds relays. If there are many, it reads only who the failover
    /// coordinator is and asks that node for relays, unless other nodes depend on this one: if each of n nodes read all
    /// n keys, the store would send n² of them.
    async fn read_nodes(&mut self) -> Result<(), StoreError> {
        let feed = self.parts.feed.clone();
        let all = RangeRequest::stale(self.spec.range());
        if feed.are_nodes_wanted() {
            return self.read(all).await.map(drop);
        }
        if !feed.is_large_fleet() {
            match self.read(all.unless_longer_than(LONG_REPLY)).await {
                Err(StoreError::LongAnswer { .. }) => feed.record_long_list_of_nodes(),
                read => return read.map(drop),
            }
        }
        self.read_coordinator().await
    }

    async fn read_coordinator(&self) -> Result<(), StoreError> {
        let key = KeyRange::key(self.parts.keys.coordinator());
        let reply = self.parts.store.range(RangeRequest::stale(key)).await?;
        let coordinator = &self.parts.fleet.coordinator;
        match reply.entries.first() {
            Some(entry) => coordinator.record_entry(entry),
            None => coordinator.forget_record(),
        }
        coordinator.check_vacancy(self.parts.keys.record());
        Ok(())
    }
}

/// A random time up to [`OWN_READ_SPREAD`].
fn own_read_delay() -> Duration {
    OWN_READ_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0))
}
