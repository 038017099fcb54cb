//! Exchange of the entries in which two member tables differ: filling of pages, and how often they are
//! requested and sent.

use std::time::Duration;

use crate::time::Timestamp;

use super::digest::{BUCKETS, bucket_of};
use super::message::Update;
use super::table::{Entry, Status, Table};

/// Bytes of updates on one page; the rest of the datagram is for the header.
const PAGE_BYTES: usize = 1_000;

/// Most pages in one answer.
const PAGES_PER_ANSWER: usize = 4;

/// Time between two requests of a node that is joining.
const JOINING_INTERVAL: Duration = Duration::from_millis(200);

/// Least time between two requests of a node that has joined.
const REQUEST_INTERVAL: Duration = Duration::from_secs(2);

/// For [`SETTLING_TIME`] after its start, a node sends a request every [`SETTLING_INTERVAL`] while tables
/// differ, even if updates are arriving: in a fleet that starts all at once, the node through which it
/// joined knew few members.
const SETTLING_TIME: Duration = Duration::from_secs(30);
const SETTLING_INTERVAL: Duration = Duration::from_millis(500);

/// Tables differ for a while until an update has reached all nodes. A node therefore sends a request only
/// once its table has not changed for [`QUIET_TIME`], or once its last request is [`MAX_WAIT`] old.
const QUIET_TIME: Duration = Duration::from_secs(3);
const MAX_WAIT: Duration = Duration::from_secs(6);

/// Decides when pages may be requested and how many may be sent.
#[derive(Debug)]
pub(super) struct SyncPace {
    /// The table of another node has been received in full.
    pub(super) joined: bool,
    started: Timestamp,
    last_request: Timestamp,
    last_change: Timestamp,
    allowance: f64,
    allowance_at: Timestamp,
}

impl SyncPace {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            joined: false,
            started: now,
            last_request: now - REQUEST_INTERVAL,
            last_change: now,
            allowance: PAGES_PER_ANSWER as f64,
            allowance_at: now,
        }
    }

    /// Records a change of the member table.
    pub(super) fn record_change(&mut self, now: Timestamp) {
        self.last_change = now;
    }

    /// Makes this node send requests as a joining node does, because its whole table may be out of date.
    pub(super) fn restart_join(&mut self) {
        self.joined = false;
    }

    /// True when a request may be sent now; it then counts as sent.
    pub(super) fn take_request(&mut self, now: Timestamp) -> bool {
        let since_request = now.saturating_since(self.last_request);
        let since_change = now.saturating_since(self.last_change);
        let is_settling = now.saturating_since(self.started) < SETTLING_TIME;
        let due = if !self.joined {
            since_request >= JOINING_INTERVAL
        } else if is_settling {
            since_request >= SETTLING_INTERVAL
        } else {
            let quiet = since_change >= QUIET_TIME || since_request >= MAX_WAIT;
            since_request >= REQUEST_INTERVAL && quiet
        };
        if due {
            self.last_request = now;
        }
        due
    }

    /// Number of pages that may be sent now; they then count as sent.
    pub(super) fn take_pages(&mut self, pages_per_second: u32, now: Timestamp) -> usize {
        let elapsed = now.saturating_since(self.allowance_at).as_secs_f64();
        let most = f64::from(pages_per_second).max(PAGES_PER_ANSWER as f64);
        self.allowance = most.min(self.allowance + elapsed * f64::from(pages_per_second));
        self.allowance_at = now;
        let pages = (self.allowance as usize).min(PAGES_PER_ANSWER);
        self.allowance -= pages as f64;
        pages
    }

    /// Returns pages that were taken but not sent.
    pub(super) fn return_pages(&mut self, pages: usize) {
        self.allowance += pages as f64;
    }
}

/// Pages of one answer.
#[derive(Debug)]
pub(super) struct Pages {
    pub(super) pages: Vec<Vec<Update>>,
    /// True when not all entries fitted.
    pub(super) more: bool,
}

/// Fills at most `most` pages with the entries of the `differing` buckets, from `first_bucket` on.
pub(super) fn fill_pages(
    table: &Table,
    differing: &[bool; BUCKETS],
    first_bucket: usize,
    most: usize,
) -> Pages {
    let mut entries: Vec<_> = table
        .iter()
        .map(|entry| (bucket_of(&entry.record.node), entry))
        .filter(|(bucket, _)| differing[*bucket])
        .collect();
    entries.sort_by_key(|(bucket, _)| (bucket + BUCKETS - first_bucket) % BUCKETS);
    let mut pages = vec![Vec::new()];
    let mut remaining = PAGE_BYTES;
    for (_, entry) in entries {
        let update = update_of(entry);
        let size = update.encoded_size();
        if size > remaining {
            if pages.len() == most {
                return Pages { pages, more: true };
            }
            pages.push(Vec::new());
            remaining = PAGE_BYTES;
        }
        remaining = remaining.saturating_sub(size);
        if let Some(page) = pages.last_mut() {
            page.push(update);
        }
    }
    Pages { pages, more: false }
}

/// The entry of a member as an update. A suspected member is given as alive, because suspicions are passed
/// on separately.
pub(super) fn update_of(entry: &Entry) -> Update {
    let node = entry.record.node.clone();
    let incarnation = entry.record.incarnation;
    match entry.status {
        Status::Alive | Status::Suspect => Update::Alive(entry.record.clone()),
        Status::Dead => Update::Died { node, incarnation },
        Status::Left => Update::Left { node, incarnation },
    }
}
