//! What a node reads when it starts, with as few calls as possible. In a large fleet a relay has the
//! rest. Relies on the feed to know when a relay is found.

use std::time::Duration;

use dyketally_store::StoreError;
use dyketally_store::key_value::{RangeRequest, StoreRevision};
use rand::Rng;
use tokio::time::Instant;

use super::Watcher;
use super::watched::FirstRead;
use crate::store::feed::Subject;

/// How long a node that has just started waits for a relay before it asks the store for what it needn't
/// know at once. Not measured.
const RELAY_AWAITED: Duration = Duration::from_millis(1_500);
/// The same at the first start of the whole system: all nodes have to get to know each other first, and
/// no caller waits to be served. Not measured.
const RELAY_AWAITED_AT_FIRST_START: Duration = Duration::from_secs(3);
/// The same when the answer is a long one: a relay may need a second for its own copy, and as long for
/// those that it sends. When 300 nodes start at once, with 1 MB each, asking the store instead takes its
/// link 2.4 s at the least (computed), and all of it crosses regions.
const RELAY_AWAITED_FOR_LONG: Duration = Duration::from_secs(4);
/// Length in bytes from which on a first answer on the configuration is taken from a relay. Shorter ones
/// arrive sooner from the store. Not measured.
const LONG_ANSWER: usize = 64 << 10;
/// Pause between two reads of the nodes' keys while no relay is known, and what is added to it at
/// random. Such reads cost little. Not measured.
const NODES_INTERVAL: Duration = Duration::from_millis(700);
const NODES_INTERVAL_SPREAD: Duration = Duration::from_millis(300);

impl Watcher {
    /// Reads what the node needs first, and waits for a relay. The revision from which on to watch, if
    /// that is known.
    pub(super) async fn start(&mut self) -> Option<StoreRevision> {
        let feed = self.parts.feed.clone();
        let began = Instant::now();
        let mut until = began + self.relay_awaited();
        let mut read_at = None;
        loop {
            // What a relay sends meanwhile may be newer than a large answer once it has arrived.
            let read = tokio::select! {
                biased;
                () = feed.until_subscribed() => return None,
                read = self.first_read() => read,
            };
            match read {
                Ok(read) => read_at = read.or(read_at),
                Err(StoreError::LongAnswer { .. }) => until = began + RELAY_AWAITED_FOR_LONG,
                // Dropped: the loop reads again, and `Watcher::run` logs the first failure of its own reads.
                Err(_) => {}
            }
            tokio::select! {
                () = feed.until_subscribed() => return None,
                () = feed.until_no_relay_needed() => return read_at,
                () = tokio::time::sleep_until(self.next_read(until)) => {}
            }
            if Instant::now() >= until {
                return read_at;
            }
        }
    }

    fn relay_awaited(&self) -> Duration {
        match self.parts.cx.settings.node.first_start {
            true => RELAY_AWAITED_AT_FIRST_START,
            false => RELAY_AWAITED,
        }
    }

    /// When the keys are read again if no relay has been found by then, at `until` at the latest.
    fn next_read(&self, until: Instant) -> Instant {
        let spread = NODES_INTERVAL_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
        match self.watched.subject {
            Subject::Nodes => until.min(Instant::now() + NODES_INTERVAL + spread),
            Subject::Configuration | Subject::Announcements => until,
        }
    }

    /// Reads the keys for the first time; the revision from which on to watch, if they are the newest.
    async fn first_read(&mut self) -> Result<Option<StoreRevision>, StoreError> {
        let range = self.watched.range();
        match self.watched.first {
            // No caller is served yet, and a relay will have them.
            FirstRead::Newest if self.parts.cx.settings.node.first_start => Ok(None),
            FirstRead::Newest => self.read(RangeRequest::all(range)).await.map(Some),
            FirstRead::Stale => {
                let request = RangeRequest::stale(range);
                let request = match self.watched.subject {
                    Subject::Configuration => request.unless_longer_than(LONG_ANSWER),
                    // Without the nodes' keys no relay is known, however long they are.
                    Subject::Nodes | Subject::Announcements => request,
                };
                self.read(request).await.map(|_| None)
            }
        }
    }
}
